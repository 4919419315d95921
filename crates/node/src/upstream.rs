//! A connection to a backend or to discovery, and the exchanges on it, one at a time. Which one carries what, and what
//! becomes of it, is the ledger's.

use crate::socket::{Slot, Socket};
use applemill_ledger::{Heard, Written};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::error::Error as _;
use std::future::{Future, poll_fn};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::Poll;
use thiserror::Error;
use tokio::net::TcpStream;

/// Why there is no whole answer.
#[derive(Debug, Error)]
pub enum Failure {
    /// The connection broke or ended.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// Something came that is no answer. Whoever sent it is there, and may have run the request.
    #[error("what came is no answer")]
    Spoilt,
}

impl From<hyper::Error> for Failure {
    fn from(e: hyper::Error) -> Failure {
        // In a body, what is no chunk comes as an error of reading.
        let reading = e.source().and_then(|s| s.downcast_ref::<io::Error>()).map(io::Error::kind);
        let garbled = matches!(reading, Some(ErrorKind::InvalidInput | ErrorKind::InvalidData));
        if e.is_parse() || garbled { Failure::Spoilt } else { Failure::Broken(e) }
    }
}

/// Whether the end of an answer can be told: one length within the limit, or chunks, and not both. One that
/// ends with its connection may have been cut anywhere.
fn check(headers: &HeaderMap, body: &Incoming, limit: usize) -> Result<(), Failure> {
    let chunked = headers.contains_key(TRANSFER_ENCODING);
    let told = chunked != headers.contains_key(CONTENT_LENGTH) || body.size_hint().exact() == Some(0);
    let fits = body.size_hint().lower() <= limit as u64;
    if told && fits { Ok(()) } else { Err(Failure::Spoilt) }
}

type Driven = Pin<Box<Connection<TokioIo<Socket>, Full<Bytes>>>>;

/// A connection whose reading and writing happen only while somebody exchanges on it: nothing is left
/// running behind an idle one, and dropping it closes the socket at once.
pub struct Conn {
    sender: SendRequest<Full<Bytes>>,
    connection: Option<Driven>,
    socket: Socket,
    /// Where it leads.
    pub address: SocketAddr,
}

impl Conn {
    /// Connects; the caller bounds the time. `buffer` is what it reads ahead, in bytes.
    pub async fn open(
        address: SocketAddr,
        slot: Slot,
        buffer: usize,
    ) -> Result<Conn, Box<dyn std::error::Error>> {
        let socket = Socket::new(TcpStream::connect(address).await?, slot);
        let io = TokioIo::new(socket.clone());
        let (sender, connection) = http1::Builder::new().max_buf_size(buffer).handshake(io).await?;
        Ok(Conn { sender, connection: Some(Box::pin(connection)), socket, address })
    }

    /// Runs `wanted` together with the connection's own reading and writing. Whenever that has to wait, `waits` hears.
    async fn drive<F: Future>(
        connection: &mut Option<Driven>,
        wanted: F,
        mut waits: impl FnMut(),
    ) -> F::Output {
        let mut wanted = pin!(wanted);
        poll_fn(|cx| {
            if let Poll::Ready(value) = wanted.as_mut().poll(cx) {
                return Poll::Ready(value);
            }
            if connection.as_mut().is_some_and(|c| c.as_mut().poll(cx).is_ready()) {
                *connection = None;
            }
            let polled = wanted.as_mut().poll(cx);
            if polled.is_pending() {
                waits();
            }
            polled
        })
        .await
    }

    /// One request and its whole answer, with a body of `limit` bytes at most. `progress` hears how much has left and
    /// come before anything else can happen in this process, but for the end of a whole answer. The caller bounds the
    /// time.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: usize,
        mut progress: impl FnMut(Written, Heard),
    ) -> Result<Response<Bytes>, Failure> {
        let socket = self.socket.clone();
        let (written, read) = (socket.written(), socket.read());
        let told = Cell::new((Written::Nothing, Heard::Nothing));
        let mut tell = |headed: bool| {
            let left = match socket.written() > written {
                false => Written::Nothing,
                true if socket.flushed() < socket.written() => Written::Part,
                true => Written::Whole,
            };
            let heard = match socket.read() > read {
                _ if headed => Heard::Headed,
                true => Heard::Begun,
                false => Heard::Nothing,
            };
            if told.replace((left, heard)) != (left, heard) {
                progress(left, heard);
            }
        };
        let end = self.answer(request, limit, &mut tell).await;
        // An answer to what was not asked is told as one.
        if end.is_err() || told.get().0 == Written::Nothing {
            tell(false);
        }
        end
    }

    async fn answer(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: usize,
        tell: &mut impl FnMut(bool),
    ) -> Result<Response<Bytes>, Failure> {
        let sent = self.sender.send_request(request);
        let (head, body) = Conn::drive(&mut self.connection, sent, || tell(false)).await?.into_parts();
        check(&head.headers, &body, limit)?;
        let whole = Limited::<Incoming>::new(body, limit).collect();
        let body = match Conn::drive(&mut self.connection, whole, || tell(true)).await {
            Ok(body) => body.to_bytes(),
            Err(e) => return Err(e.downcast::<hyper::Error>().map_or(Failure::Spoilt, |e| (*e).into())),
        };
        // One more turn: the connection sees that the answer is over and is ready for the next, or that more
        // came than belongs to it.
        poll_fn(|cx| {
            if self.connection.as_mut().is_some_and(|c| c.as_mut().poll(cx).is_ready()) {
                self.connection = None;
            }
            Poll::Ready(())
        })
        .await;
        Ok(Response::from_parts(head, body))
    }

    /// Open at both ends and with nothing unread, which would be a farewell.
    pub fn alive(&self) -> bool {
        self.connection.is_some() && !self.sender.is_closed() && self.socket.quiet()
    }

    /// The same, and ready for another request.
    pub fn again(&self) -> bool {
        self.sender.is_ready() && self.alive()
    }
}
