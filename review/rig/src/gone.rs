//! Trial: a client that sends three requests at once and goes.

use crate::platform;
use crate::rig::{Outcome, Rig, header, listen, read_head};
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CLIENTS: usize = 5;
/// An attempt that begins later than this after the close is a break.
const ALLOWED_S: f64 = 0.1;
const WORK: Duration = Duration::from_millis(400);

pub fn play(rig: &Rig) -> Outcome {
    let begun: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    let mut servers = Vec::new();
    for _ in 0..3 {
        let (rig, begun) = (rig.clone(), begun.clone());
        servers.push(listen(move |mut stream| {
            while let Ok(Some((head, _))) = read_head(&mut stream) {
                let id = header(&head, "x-trace-id").unwrap_or_default();
                rig.say(&format!("server: bid {id}"));
                begun.lock().unwrap().push((id, rig.now()));
                std::thread::sleep(WORK);
                if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                    return;
                }
            }
        })?);
    }
    let node = platform::start(rig, &servers)?;
    let mut late = 0;
    for client in 0..CLIENTS {
        let mut stream = TcpStream::connect(node).map_err(|e| e.to_string())?;
        let count = if rig.trouble() { 3 } else { 1 };
        let requests: String =
            (0..count).map(|n| platform::request(&format!("c{client}-{n}"), true)).collect();
        stream.write_all(requests.as_bytes()).map_err(|e| e.to_string())?;
        std::thread::sleep(Duration::from_millis(50));
        drop(stream);
        let closed = rig.now();
        rig.say(&format!("client {client}: has sent {count} at once and closes its connection"));
        std::thread::sleep(Duration::from_millis(1800));
        for (id, at) in
            begun.lock().unwrap().iter().filter(|(id, _)| id.starts_with(&format!("c{client}-")))
        {
            if at - closed > ALLOWED_S {
                late += 1;
                rig.say(&format!("bid {id} began {:.3} s after its client had gone", at - closed));
            }
        }
    }
    if begun.lock().unwrap().len() < CLIENTS {
        return Err("too few bids reached a server".into());
    }
    Ok(late > 0)
}
