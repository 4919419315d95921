//! The client of the admin socket, for the command line.

use serde_json::Value;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// Time limit of each read and write on the socket.
const IO_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a call to a node failed.
#[derive(Debug)]
pub enum CallError {
    /// The socket cannot be connected to, read or written, for example because no node runs or permission is
    /// missing.
    Unreachable(std::io::Error),
    /// The answer is not one of a node.
    Malformed,
    /// The node rejected the request, with its reason.
    Rejected(String),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallError::Unreachable(e) => write!(f, "no node answers there: {e}"),
            CallError::Malformed => f.write_str("what answers there is no node of this version"),
            CallError::Rejected(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for CallError {}

/// Requests a JSON page from the node at this socket, or sends it a command.
///
/// # Errors
/// The node cannot be reached, its answer is malformed, or it rejects the request.
pub fn call(socket: &Path, path: &str, command: Option<&Value>) -> Result<Value, CallError> {
    let (succeeded, body) = exchange(socket, path, command)?;
    let value: Value = serde_json::from_str(&body).map_err(|_| CallError::Malformed)?;
    if succeeded { Ok(value) } else { Err(rejection(&body)) }
}

/// Requests a page that is not JSON from the node at this socket.
///
/// # Errors
/// The node cannot be reached, its answer is malformed, or there is no such page.
pub fn fetch(socket: &Path, path: &str) -> Result<String, CallError> {
    let (succeeded, body) = exchange(socket, path, None)?;
    if succeeded { Ok(body) } else { Err(rejection(&body)) }
}

/// The error for an answer that rejects the request, with the reason that the node gives.
fn rejection(body: &str) -> CallError {
    let value: Value = serde_json::from_str(body).unwrap_or_default();
    value["wrong"].as_str().map_or(CallError::Malformed, |reason| CallError::Rejected(reason.to_owned()))
}

/// Sends one HTTP request and returns whether the status is 200, and the body of the answer.
fn exchange(socket: &Path, path: &str, command: Option<&Value>) -> Result<(bool, String), CallError> {
    let mut stream = UnixStream::connect(socket).map_err(CallError::Unreachable)?;
    let timeouts_set =
        stream.set_read_timeout(Some(IO_TIMEOUT)).and(stream.set_write_timeout(Some(IO_TIMEOUT)));
    timeouts_set.map_err(CallError::Unreachable)?;
    let body = command.map(Value::to_string).unwrap_or_default();
    let method = if command.is_some() { "POST" } else { "GET" };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut answer = String::new();
    let result = stream.write_all(request.as_bytes()).and_then(|()| stream.read_to_string(&mut answer));
    result.map_err(CallError::Unreachable)?;
    let (head, body) = answer.split_once("\r\n\r\n").ok_or(CallError::Malformed)?;
    Ok((head.split(' ').nth(1) == Some("200"), body.to_owned()))
}
