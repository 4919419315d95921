//! Trial: clients that write the head of their next request in two pieces, after a rest.

use crate::platform;
use crate::rig::{Outcome, Rig, header, listen, read_head, split_head, status};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const CLIENTS: usize = 10;
/// Together with the pause, longer than the 2.2 s after which the node ends a resting connection.
const REST: Duration = Duration::from_millis(1900);
/// Between the two pieces of a head. Clients that never finish are owed an end within 3 s.
const PAUSE: Duration = Duration::from_millis(500);
/// Longer than the 0.9 s that the client of a bid waits.
const PATIENCE: Duration = Duration::from_millis(2000);

/// Reads an answer without a body longer than its piece; `None` if there is none in time.
fn read_answer(stream: &mut TcpStream) -> Option<u16> {
    let mut got = Vec::new();
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    loop {
        if let Some((head, begin)) = split_head(&got) {
            let length = header(&head, "content-length")?.parse::<usize>().ok()?;
            if got.len() >= begin + length {
                return Some(status(&head));
            }
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => got.extend_from_slice(&buffer[..n]),
            _ => return None,
        }
    }
}

/// Sends two bids on one connection. Returns whether both were answered.
fn client(rig: &Rig, node: std::net::SocketAddr, number: usize) -> Result<bool, String> {
    let mut stream = TcpStream::connect(node).map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let first = platform::request(&format!("c{number}-first"), true);
    stream.write_all(first.as_bytes()).map_err(|e| e.to_string())?;
    if read_answer(&mut stream).is_none() {
        return Err("the first bid was not answered".into());
    }
    let answered = rig.now();
    std::thread::sleep(REST);
    let second = platform::request(&format!("c{number}-second"), true);
    let (begin, rest) = second.split_at(if rig.trouble() { second.len() / 2 } else { second.len() });
    let begun = rig.now() - answered;
    let mut written = stream.write_all(begin.as_bytes());
    if !rest.is_empty() {
        std::thread::sleep(PAUSE);
        written = written.and_then(|()| stream.write_all(rest.as_bytes()));
    }
    let whole = rig.now() - answered;
    let answer = if written.is_ok() { read_answer(&mut stream) } else { None };
    rig.say(&format!(
        "client {number}: second bid begun {begun:.3} s and whole {whole:.3} s after the first one's answer \
         (written: {written:?}), ended {:.3} s after it: {answer:?}",
        rig.now() - answered
    ));
    Ok(answer.is_some())
}

pub fn play(rig: &Rig) -> Outcome {
    let mut servers = Vec::new();
    for _ in 0..3 {
        let rig = rig.clone();
        servers.push(listen(move |mut stream| {
            while let Ok(Some((head, _))) = read_head(&mut stream) {
                rig.say(&format!("server: {}", header(&head, "x-trace-id").unwrap_or_default()));
                std::thread::sleep(Duration::from_millis(20));
                if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                    return;
                }
            }
        })?);
    }
    let node = platform::start(rig, &servers)?;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let rig = rig.clone();
            std::thread::spawn(move || client(&rig, node, number))
        })
        .collect();
    let mut lost = 0;
    for played in clients {
        let answered = played.join().map_err(|_| "a client ended early")??;
        lost += usize::from(!answered);
    }
    rig.say(&format!("{lost} of {CLIENTS} second bids were not answered"));
    Ok(lost > 0)
}
