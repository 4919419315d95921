//! A keyed upload whose first attempt loses its connection, and whose client takes its time.

use crate::rig::{Outcome, Rig, free_address, header, listen, read_head};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long the servers of the pool together remember a key.
const REMEMBERED_S: f64 = 5.0;
/// The client sends so many pieces, one each time: 1.8 KiB a second, where 1 KiB is asked for.
const PIECES: usize = 14;
const PIECE: usize = 1000;
const PIECE_TIME: Duration = Duration::from_millis(550);
/// The connection of the first attempt is reset this long after its first byte.
const RESET_AFTER: Duration = Duration::from_secs(1);

/// What the servers of the pool did.
#[derive(Default)]
struct Floor {
    /// When each key was last applied: the memory that the pool shares.
    applied_at: HashMap<String, f64>,
    effects: Vec<(f64, String, usize)>,
    first_byte: Option<f64>,
    last_byte: Option<f64>,
}

/// A server that stores an upload when its sending ends, as much as came of it, and drops repeats of a key.
fn start_server(rig: &Rig, floor: &Arc<Mutex<Floor>>, name: &'static str) -> Result<SocketAddr, String> {
    let (rig, floor) = (rig.clone(), floor.clone());
    listen(move |mut stream| {
        let Ok(Some((head, rest))) = read_head(&mut stream) else { return };
        let key = header(&head, "idempotency-key").unwrap_or_default();
        let length = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        rig.say(&format!("server {name}: head of a request with key {key}, {length} bytes to come"));
        floor.lock().unwrap().first_byte.get_or_insert(rig.now());
        let mut got = rest.len();
        let mut buffer = [0; 4096];
        while got < length {
            match stream.read(&mut buffer) {
                Ok(n) if n > 0 => got += n,
                _ => break,
            }
            rig.say(&format!("server {name}: {got} bytes"));
        }
        let now = rig.now();
        let mut floor = floor.lock().unwrap();
        let known = floor.applied_at.get(&key).is_some_and(|at| now - at < REMEMBERED_S);
        let what = if known { "a repeat, dropped" } else { "applied" };
        rig.say(&format!("server {name}: the upload ended with {got} of {length} bytes: {what}"));
        if !known {
            floor.applied_at.insert(key.clone(), now);
            floor.effects.push((now, key, got));
        }
        if got == length {
            floor.last_byte = Some(now);
            let _ =
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
        }
    })
}

/// A path to a server. The first connection of all that carries bytes is reset after a while.
fn start_path(rig: &Rig, to: SocketAddr, used: &Arc<AtomicBool>) -> Result<SocketAddr, String> {
    let (rig, used) = (rig.clone(), used.clone());
    let copy = |mut from: TcpStream, mut to: TcpStream| {
        let _ = std::io::copy(&mut from, &mut to);
        let _ = to.shutdown(Shutdown::Write);
    };
    listen(move |mut near| {
        let Ok(mut far) = TcpStream::connect(to) else { return };
        let mut buffer = [0; 4096];
        let Ok(first) = near.read(&mut buffer) else { return };
        if first == 0 || far.write_all(&buffer[..first]).is_err() {
            return;
        }
        let is_first = !used.swap(true, Ordering::SeqCst);
        let pairs =
            (near.try_clone().and_then(|n| Ok((n, far.try_clone()?))), near.try_clone(), far.try_clone());
        let (Ok((n1, f1)), Ok(n2), Ok(f2)) = pairs else { return };
        std::thread::spawn(move || copy(n1, f1));
        std::thread::spawn(move || copy(f2, n2));
        if is_first && rig.trouble() {
            std::thread::sleep(RESET_AFTER);
            rig.say("path: breaks the connection of the first attempt");
            let _ = far.shutdown(Shutdown::Both);
            let _ = near.shutdown(Shutdown::Both);
        }
    })
}

fn file_text(listens: SocketAddr, servers: [SocketAddr; 2]) -> String {
    let [a, b] = servers;
    // The class is that of the payments in deploy/operator.toml, the pace that of deploy/streams.toml.
    format!(
        r#"
[node]
name = "floor-1"
memory = "64MiB"

[[listener]]
name = "front"
address = "{listens}"

[pool.floor]
servers = [{{ address = "{a}" }}, {{ address = "{b}" }}]
acts_on = "part"

[class.report]
effect = "keyed"
patience = "4s"
worth = 10
repeats_dropped_by = "pool"
repeats_dropped_for = "5s"
attempts = 2
attempt_timeout = "1900ms"
retry = "may-have-run"

[[route]]
name = "condition reports"
prefix = "/reports"
method = "POST"
class = "report"
pool = "floor"
body = "stream"
body_limit = "80MiB"
pace = "8KiB"
pace_window = "8s"
stream_time = "1440m"
"#
    )
}

pub fn play(rig: &Rig) -> Outcome {
    let (floor, used) = (Arc::new(Mutex::new(Floor::default())), Arc::new(AtomicBool::new(false)));
    let a = start_path(rig, start_server(rig, &floor, "A")?, &used)?;
    let b = start_path(rig, start_server(rig, &floor, "B")?, &used)?;
    let listens = free_address()?;
    let file = rig.temporary("operator.toml");
    std::fs::write(&file, file_text(listens, [a, b])).map_err(|e| e.to_string())?;
    let (checked, _) = rig.command(&["check", &file.display().to_string()])?;
    if checked != 0 {
        return Err("the check refuses the file".into());
    }
    rig.start_node(&file)?;
    rig.wait_until_up(listens)?;

    let mut client = TcpStream::connect(listens).map_err(|e| e.to_string())?;
    let _ = client.set_nodelay(true);
    let head = format!(
        "POST /reports/7 HTTP/1.1\r\nHost: auction.lv\r\nIdempotency-Key: K1\r\nContent-Length: {}\r\n\r\n",
        PIECES * PIECE
    );
    rig.say("client: sends one request with key K1");
    client.write_all(head.as_bytes()).map_err(|e| e.to_string())?;
    for piece in 0..PIECES {
        if piece > 0 {
            std::thread::sleep(PIECE_TIME);
        }
        if let Err(e) = client.write_all(&[b'x'; PIECE]) {
            rig.say(&format!("client: cannot send on: {e}"));
            break;
        }
    }
    rig.say("client: has sent all that it could");
    let _ = client.set_read_timeout(Some(Duration::from_secs(6)));
    let mut answer = [0; 200];
    match client.read(&mut answer) {
        Ok(n) => rig.say(&format!("client: {:?}", String::from_utf8_lossy(&answer[..n]))),
        Err(e) => rig.say(&format!("client: no answer: {e}")),
    }
    std::thread::sleep(Duration::from_millis(500));

    let floor = floor.lock().unwrap();
    for (at, key, bytes) in &floor.effects {
        rig.say(&format!("effect of key {key} at {at:.3}, with {bytes} bytes"));
    }
    if let (Some(first), Some(last)) = (floor.first_byte, floor.last_byte) {
        rig.say(&format!(
            "the last byte of the last attempt came {:.3} s after the first byte of the first; keys are \
             remembered for {REMEMBERED_S} s",
            last - first
        ));
    }
    if floor.effects.is_empty() {
        return Err("no server has applied the request".into());
    }
    Ok(floor.effects.len() > 1)
}
