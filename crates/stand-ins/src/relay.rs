//! A minimal relay, the baseline for measurements of a node: it shows the cost of forwarding requests on a
//! machine without any decision or check. It has one fixed backend, reuses connections, finds the end of a
//! message with the same kind of parser and runs on the same runtime as a node.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Space reserved for one read.
const READ_BYTES: usize = 16 * 1024;

/// Idle connections to the backend.
type IdleConnections = Rc<RefCell<Vec<TcpStream>>>;

/// Relays requests from `listen` to `backend` until the process ends.
///
/// # Errors
/// The relay cannot listen, or cannot accept a connection.
pub fn relay(listen: SocketAddr, backend: SocketAddr) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind(listen).await?;
        let idle = IdleConnections::default();
        loop {
            let (client, _) = listener.accept().await?;
            let idle = idle.clone();
            spawn_local(async move {
                // An error ends this connection only.
                let _ = serve_connection(client, backend, &idle).await;
            });
        }
    })
}

async fn serve_connection(
    mut client: TcpStream,
    backend: SocketAddr,
    idle: &IdleConnections,
) -> io::Result<()> {
    client.set_nodelay(true)?;
    let mut from_client = Vec::new();
    loop {
        let Some(request) = read_head(&mut client, &mut from_client, false).await? else { return Ok(()) };
        let reused = idle.borrow_mut().pop();
        let mut server = match reused {
            Some(server) => server,
            None => TcpStream::connect(backend).await?,
        };
        server.set_nodelay(true)?;
        forward(&mut client, &mut server, &mut from_client, request).await?;
        let mut from_server = Vec::new();
        let Some(answer) = read_head(&mut server, &mut from_server, true).await? else { return Ok(()) };
        forward(&mut server, &mut client, &mut from_server, answer).await?;
        idle.borrow_mut().push(server);
    }
}

/// Length of a message's head and body, and whether the body is chunked.
struct Framing {
    head_bytes: usize,
    body_bytes: u64,
    chunked: bool,
}

/// Reads until the head is complete; none if the connection ended first.
async fn read_head(
    from: &mut TcpStream,
    buffer: &mut Vec<u8>,
    answer: bool,
) -> io::Result<Option<Framing>> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let (length, headers) = if answer {
            let mut parsed = httparse::Response::new(&mut headers);
            (parsed.parse(buffer), parsed.headers)
        } else {
            let mut parsed = httparse::Request::new(&mut headers);
            (parsed.parse(buffer), parsed.headers)
        };
        if let httparse::Status::Complete(head) = length.map_err(io::Error::other)? {
            let value = |name: &str| {
                let found = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
                found.and_then(|h| std::str::from_utf8(h.value).ok())
            };
            let chunked = value("transfer-encoding").is_some();
            let body = value("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            return Ok(Some(Framing { head_bytes: head, body_bytes: body, chunked }));
        }
        if read(from, buffer).await? == 0 {
            return Ok(None);
        }
    }
}

async fn read(from: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    buffer.reserve(READ_BYTES);
    from.read_buf(buffer).await
}

/// Forwards one message as it arrives.
async fn forward(
    from: &mut TcpStream,
    to: &mut TcpStream,
    buffer: &mut Vec<u8>,
    framing: Framing,
) -> io::Result<()> {
    if framing.chunked {
        return Err(io::Error::other("the relay does not support chunked bodies"));
    }
    let mut left = framing.head_bytes as u64 + framing.body_bytes;
    loop {
        let part = usize::try_from(left).unwrap_or(usize::MAX).min(buffer.len());
        to.write_all(buffer.get(..part).unwrap_or_default()).await?;
        buffer.drain(..part);
        left -= part as u64;
        if left == 0 {
            return Ok(());
        }
        if read(from, buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
