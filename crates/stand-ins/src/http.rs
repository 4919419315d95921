//! HTTP messages, read and written plainly: what comes is taken as it came.

use std::collections::HashMap;
use std::io::BufRead;

/// One HTTP message as it came.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request or status line.
    pub first_line: String,
    /// Headers by lower-case name; of one that came twice, the last.
    pub headers: HashMap<String, String>,
    /// The body, by its Content-Length.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one; none where the other side ended or sent something else.
    pub fn read(stream: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if message.first_line.is_empty() {
                message.first_line = line.to_owned();
            } else if line.is_empty() {
                break;
            } else {
                let (name, value) = line.split_once(':')?;
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        let length = message.headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// A header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The status of an answer; 0 where there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// The bytes of an answer; `headers` are whole lines.
pub fn reply(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
