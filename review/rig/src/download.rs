//! Downloads whose clients stop reading for a few seconds, well within the route's pace.

use crate::rig::{Outcome, Rig, free_address, header, listen, read_head, split_head, status};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The pause of a client behind the head; the route's window is 8 s.
const PAUSE: Duration = Duration::from_secs(4);
/// Sizes of the downloads: from this much under what a connection holds, in these steps.
const BELOW: usize = 128 * 1024;
const STEP: usize = 8 * 1024;
const DOWNLOADS: usize = 32;
/// Larger than what any connection holds.
const LARGE: usize = 64 * 1024 * 1024;

/// How many bytes of each answer the server has written, by the request's path.
type Written = Arc<Mutex<HashMap<String, usize>>>;

/// A server of catalogues: `/catalogues/SIZE/N` has so many bytes. An odd N is answered in chunks.
fn start_server(written: &Written) -> Result<SocketAddr, String> {
    let written = written.clone();
    listen(move |mut stream| {
        let part = [b'x'; 64 * 1024];
        while let Ok(Some((head, _))) = read_head(&mut stream) {
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let size: usize = path.split('/').nth(2).and_then(|s| s.parse().ok()).unwrap_or(0);
            let chunked = is_chunked(&path);
            let framing = if chunked {
                "Transfer-Encoding: chunked".into()
            } else {
                format!("Content-Length: {size}")
            };
            if stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes()).is_err() {
                return;
            }
            let mut sent = 0;
            while sent < size {
                let next = part.len().min(size - sent);
                let mut bytes = Vec::new();
                if chunked {
                    bytes.extend_from_slice(format!("{next:x}\r\n").as_bytes());
                }
                bytes.extend_from_slice(&part[..next]);
                if chunked {
                    bytes.extend_from_slice(if sent + next == size { b"\r\n0\r\n\r\n" } else { b"\r\n" });
                }
                if stream.write_all(&bytes).is_err() {
                    return;
                }
                sent += next;
                written.lock().unwrap().insert(path.clone(), sent);
            }
        }
    })
}

/// Whether the server answers in chunks, to a client of HTTP/1.0: the end of its connection is then the only
/// end that the client sees.
fn is_chunked(path: &str) -> bool {
    path.split('/').nth(3).and_then(|n| n.parse::<usize>().ok()).is_some_and(|n| n % 2 == 1)
}

/// A download that has begun.
struct Download {
    stream: TcpStream,
    status: u16,
    /// The length that the client was told.
    length: Option<usize>,
    got: usize,
}

fn begin(node: SocketAddr, path: &str) -> Result<Download, String> {
    let mut stream = TcpStream::connect(node).map_err(|e| e.to_string())?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let version = if is_chunked(path) { "1.0" } else { "1.1" };
    let request = format!("GET {path} HTTP/{version}\r\nHost: auction.lv\r\n\r\n");
    stream.write_all(request.as_bytes()).map_err(|e| e.to_string())?;
    let mut bytes = Vec::new();
    loop {
        let mut buffer = [0; 512];
        match stream.read(&mut buffer) {
            Ok(0) => return Err("the connection was closed before the head".into()),
            Ok(n) => bytes.extend_from_slice(&buffer[..n]),
            Err(e) => return Err(e.to_string()),
        }
        if let Some((head, begin)) = split_head(&bytes) {
            let length = header(&head, "content-length").and_then(|v| v.parse().ok());
            return Ok(Download { stream, status: status(&head), length, got: bytes.len() - begin });
        }
    }
}

/// The bytes that the system holds of a connection between these two ports, at both of its ends. Reads the
/// system's list of connections and changes nothing.
fn held_by_system(node: u16, client: u16) -> usize {
    let list = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let port =
        |field: &str| u16::from_str_radix(field.rsplit(':').next().unwrap_or_default(), 16).unwrap_or(0);
    let mut held = 0;
    for line in list.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (Some(local), Some(remote), Some((sent, received))) =
            (fields.get(1), fields.get(2), fields.get(4).and_then(|q| q.split_once(':')))
        else {
            continue;
        };
        let number = |text: &str| usize::from_str_radix(text, 16).unwrap_or(0);
        if (port(local), port(remote)) == (node, client) {
            held += number(sent);
        } else if (port(local), port(remote)) == (client, node) {
            held += number(received);
        }
    }
    held
}

/// How many bytes of an answer leave the node while its client reads nothing.
fn measure_room(rig: &Rig, node: SocketAddr) -> Result<usize, String> {
    let download = begin(node, &format!("/catalogues/{LARGE}/room"))?;
    if download.status != 200 {
        return Err(format!("the first download was answered {}", download.status));
    }
    std::thread::sleep(Duration::from_millis(1500));
    let client = download.stream.local_addr().map_err(|e| e.to_string())?.port();
    let room = held_by_system(node.port(), client) + download.got;
    rig.say(&format!("a connection whose client reads nothing holds {room} bytes of an answer"));
    if room < 2 * BELOW || room > LARGE / 2 {
        return Err("the room of a connection could not be measured".into());
    }
    Ok(room)
}

/// How a download ended.
#[derive(Clone, Copy, PartialEq)]
enum End {
    Whole,
    /// Cut, and its client sees that.
    Cut,
    /// Cut, and its client takes it for whole.
    CutUnseen,
    /// Cut, but its server had not written all.
    ByServer,
}

/// Plays one client.
fn client(rig: &Rig, node: SocketAddr, path: &str, size: usize, written: &Written) -> Result<End, String> {
    let begun = Instant::now();
    let mut download = loop {
        let download = begin(node, path)?;
        match download.status {
            200 => break download,
            503 if begun.elapsed() < Duration::from_secs(10) => {
                rig.say(&format!("client: {path}: refused, tries again"));
                std::thread::sleep(Duration::from_millis(500));
            }
            other => return Err(format!("{path}: status {other}")),
        }
    };
    if rig.trouble() {
        std::thread::sleep(PAUSE);
    }
    let mut buffer = vec![0; 64 * 1024];
    let error = loop {
        if download.length.is_some_and(|length| download.got >= length) {
            break None;
        }
        match download.stream.read(&mut buffer) {
            Ok(0) => break None,
            Ok(n) => download.got += n,
            Err(e) => break Some(e),
        }
    };
    let by_server = written.lock().unwrap().get(path).copied().unwrap_or(0);
    let (end, text) = match error {
        _ if download.got == size => (End::Whole, "whole".to_owned()),
        _ if by_server < size => (End::ByServer, "cut, and the server has not written all".to_owned()),
        Some(e) => (End::Cut, format!("cut: {e}")),
        None if download.length.is_some() => (End::Cut, "cut: the connection was closed".to_owned()),
        None => (End::CutUnseen, "cut: the connection was closed as if this were all".to_owned()),
    };
    rig.say(&format!(
        "client: {path}: {} of {size} bytes after {:.2} s, {text}; the server has written {by_server}",
        download.got,
        begun.elapsed().as_secs_f64()
    ));
    Ok(end)
}

pub fn play(rig: &Rig) -> Outcome {
    let written = Written::default();
    let (server, listens) = (start_server(&written)?, free_address()?);
    let text = rig.read_of_root("deploy/streams.toml")?;
    let text = text
        .replace("127.0.0.1:8080", &listens.to_string())
        .replace(", { address = \"127.0.0.1:9002\" }", "")
        .replace("127.0.0.1:9001", &server.to_string());
    let file = rig.temporary("operator.toml");
    std::fs::write(&file, text).map_err(|e| e.to_string())?;
    rig.start_node(&file)?;
    rig.wait_until_up(listens)?;

    let room = measure_room(rig, listens)?;
    let clients: Vec<_> = (0..DOWNLOADS)
        .map(|number| {
            std::thread::sleep(Duration::from_millis(50));
            let size = room - BELOW + number * STEP;
            let (rig, written) = (rig.clone(), written.clone());
            std::thread::spawn(move || {
                client(&rig, listens, &format!("/catalogues/{size}/{number}"), size, &written)
            })
        })
        .collect();
    let mut ends = Vec::new();
    for client in clients {
        match client.join().map_err(|_| "a client ended early")? {
            Ok(end) => ends.push(end),
            Err(why) => rig.say(&format!("client: no download: {why}")),
        }
    }
    let count = |wanted: End| ends.iter().filter(|end| **end == wanted).count();
    let (seen, unseen) = (count(End::Cut), count(End::CutUnseen));
    rig.say(&format!(
        "{} downloads came whole; {} were cut though their servers had written all, {unseen} of them with an end \
         that looks whole",
        count(End::Whole),
        seen + unseen
    ));
    if ends.len() < DOWNLOADS / 2 {
        return Err("too few downloads began".into());
    }
    Ok(seen + unseen > 0)
}
