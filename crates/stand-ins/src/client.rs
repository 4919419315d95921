//! HTTP clients: one connection, one request, or many concurrent requests.

use crate::PATIENCE;
use crate::http::Message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

/// A client's connection.
pub struct Client {
    /// The socket.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects; panics if it cannot.
    pub fn connect(address: SocketAddr) -> Client {
        Client::try_connect(address).unwrap()
    }

    /// Connects; none on failure.
    pub fn try_connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let reader = BufReader::new(stream.try_clone().unwrap());
        Some(Client { stream, reader })
    }

    /// Sends bytes; false if the connection is broken.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads an answer; none if it is incomplete or malformed.
    pub fn answer(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Sends a request and waits for the answer; panics without one.
    pub fn ask(&mut self, bytes: &[u8]) -> Message {
        assert!(self.send(bytes));
        self.answer().expect("an answer")
    }
}

/// Sends one request on a new connection; none without a complete answer.
pub fn attempt(address: SocketAddr, bytes: &[u8]) -> Option<Message> {
    let mut client = Client::try_connect(address)?;
    client.send(bytes);
    client.answer()
}

/// Like [`attempt`], but panics without an answer.
pub fn ask(address: SocketAddr, bytes: &[u8]) -> Message {
    attempt(address, bytes).expect("an answer")
}

/// A request of a class, with the platform's request headers.
pub fn request(class: &str, expires_ms: u64) -> Vec<u8> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let head = format!(
        "Host: api.internal\r\nX-Trace-Id: {n:016x}\r\nX-Qos: {class}\r\nX-Expires-In-Ms: {expires_ms}\r\nX-Object: o{n}\r\n"
    );
    match class {
        "page" => format!("GET /api HTTP/1.1\r\n{head}\r\n"),
        "pay" => {
            format!(
                "POST /api HTTP/1.1\r\n{head}Idempotency-Key: {n:032x}\r\nContent-Length: 4\r\n\r\nbody"
            )
        }
        _ => format!("POST /api HTTP/1.1\r\n{head}Content-Length: 4\r\n\r\nbody"),
    }
    .into_bytes()
}

/// Sends requests of one class, each on a new connection, in batches of `at_once` concurrent ones. Returns
/// the statuses, 0 without an answer.
pub fn play_many(
    address: SocketAddr,
    class: &str,
    expires_ms: u64,
    count: usize,
    at_once: usize,
) -> Vec<u16> {
    let mut statuses = Vec::new();
    for _ in 0..count.div_ceil(at_once) {
        let requests: Vec<_> = (0..at_once)
            .map(|_| {
                let bytes = request(class, expires_ms);
                thread::spawn(move || attempt(address, &bytes).map_or(0, |m| m.status()))
            })
            .collect();
        statuses.extend(requests.into_iter().map(|r| r.join().unwrap()));
    }
    statuses
}
