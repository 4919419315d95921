//! A bare relay: what a machine asks for passing requests on, with no decision and no check. One fixed backend, kept
//! connections, a parser that finds the end of a message, and the node's own runtime. The floor that a node is measured
//! against.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

const READ: usize = 16 * 1024;

/// Connections to the backend that carry nothing.
type Kept = Rc<RefCell<Vec<TcpStream>>>;

/// Relays what comes at `listen` to `backend`, for as long as the process lives.
///
/// # Errors
/// There is no listening there.
pub fn relay(listen: SocketAddr, backend: SocketAddr) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind(listen).await?;
        let kept = Kept::default();
        loop {
            let (client, _) = listener.accept().await?;
            let kept = kept.clone();
            spawn_local(async move {
                // A client or backend that goes ends its own connection only.
                let _ = converse(client, backend, &kept).await;
            });
        }
    })
}

async fn converse(mut client: TcpStream, backend: SocketAddr, kept: &Kept) -> io::Result<()> {
    client.set_nodelay(true)?;
    let mut from_client = Vec::new();
    loop {
        let Some(request) = head(&mut client, &mut from_client, false).await? else { return Ok(()) };
        let idle = kept.borrow_mut().pop();
        let mut server = match idle {
            Some(server) => server,
            None => TcpStream::connect(backend).await?,
        };
        server.set_nodelay(true)?;
        pass(&mut client, &mut server, &mut from_client, request).await?;
        let mut from_server = Vec::new();
        let Some(answer) = head(&mut server, &mut from_server, true).await? else { return Ok(()) };
        pass(&mut server, &mut client, &mut from_server, answer).await?;
        kept.borrow_mut().push(server);
    }
}

/// A message's length with its head, and whether chunks follow.
struct Framing {
    head: usize,
    body: u64,
    chunked: bool,
}

/// Reads until a head is there; none where the other side ended.
async fn head(from: &mut TcpStream, came: &mut Vec<u8>, answer: bool) -> io::Result<Option<Framing>> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let (length, headers) = if answer {
            let mut parsed = httparse::Response::new(&mut headers);
            (parsed.parse(came), parsed.headers)
        } else {
            let mut parsed = httparse::Request::new(&mut headers);
            (parsed.parse(came), parsed.headers)
        };
        if let httparse::Status::Complete(head) = length.map_err(io::Error::other)? {
            let value = |name: &str| {
                let found = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
                found.and_then(|h| std::str::from_utf8(h.value).ok())
            };
            let chunked = value("transfer-encoding").is_some();
            let body = value("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            return Ok(Some(Framing { head, body, chunked }));
        }
        if read(from, came).await? == 0 {
            return Ok(None);
        }
    }
}

async fn read(from: &mut TcpStream, came: &mut Vec<u8>) -> io::Result<usize> {
    came.reserve(READ);
    from.read_buf(came).await
}

/// Passes one message on as it comes.
async fn pass(
    from: &mut TcpStream,
    to: &mut TcpStream,
    came: &mut Vec<u8>,
    framing: Framing,
) -> io::Result<()> {
    if framing.chunked {
        return Err(io::Error::other("only lengths are measured"));
    }
    let mut left = framing.head as u64 + framing.body;
    loop {
        let part = usize::try_from(left).unwrap_or(usize::MAX).min(came.len());
        to.write_all(came.get(..part).unwrap_or_default()).await?;
        came.drain(..part);
        left -= part as u64;
        if left == 0 {
            return Ok(());
        }
        if read(from, came).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
