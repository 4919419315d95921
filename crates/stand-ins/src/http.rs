//! A minimal reader and writer of HTTP messages, which checks only what it needs for framing.

use std::collections::HashMap;
use std::io::BufRead;

/// A received HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request or status line.
    pub first_line: String,
    /// Headers by lower-case name; the last value if a name occurs more than once.
    pub headers: HashMap<String, String>,
    /// The body, of the length in Content-Length; empty without one.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message; none at the end of the stream or if it is malformed.
    pub fn read(stream: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::read_head(stream)?;
        let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// Reads request or status line and headers, and leaves the body in the stream.
    pub fn read_head(stream: &mut impl BufRead) -> Option<Message> {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let headers = read_headers(stream)?.into_iter().collect();
        Some(Message { first_line: line.trim_end().to_owned(), headers, body: Vec::new() })
    }

    /// A header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The status of an answer; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads headers or trailers up to the empty line, with names in lower case; none at the end of the stream or
/// if malformed.
pub fn read_headers(stream: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// The bytes of an answer. `headers` are complete lines, each with its CRLF.
pub fn reply(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
