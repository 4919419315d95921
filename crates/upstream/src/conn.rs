//! A connection to a backend or to discovery, and the exchanges on it, one at a time. The ledger assigns
//! requests to connections and handles their results; the crate `answers` parses answers.

use crate::call::RequestBody;
use crate::streamed::{AnswerSink, ExchangeEnd, StreamedExchange};
use applemill_answers::{AnswerLimits, AnswerReader, CompleteAnswer, MalformedAnswer};
use applemill_ledger::{AnswerProgress, RequestProgress};
use applemill_socket::{ConnectError, DescriptorPermit, Socket, connect};
use bytes::{Buf, Bytes, BytesMut};
use hyper::Response;
use std::cell::Cell;
use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Size of the buffer for one read, larger than most answers. It is on the stack: an idle connection holds
/// none.
const READ_SIZE_BYTES: usize = 8 * 1024;

/// Why an exchange brought no complete answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection failed or was closed.
    #[error("connection lost: {0}")]
    ConnectionLost(#[from] io::Error),
    /// The received bytes are not a valid answer. The backend is reachable and may have run the request.
    #[error(transparent)]
    MalformedAnswer(#[from] MalformedAnswer),
    /// The answer had started, and its reader is gone.
    #[error("the reader of the answer is gone")]
    ReaderGone,
    /// The answer had started, and the rest arrived too slowly.
    #[error("the rest of the answer arrived too slowly")]
    TooSlow,
}

/// A request as it is written to a connection.
pub struct OutgoingRequest {
    /// The head, including the empty line at its end.
    pub head: BytesMut,
    /// The body.
    pub body: RequestBody,
    /// The method is HEAD: the answer has no body.
    pub is_head_request: bool,
}

impl OutgoingRequest {
    /// A GET request for a path.
    pub fn get(path: &str, host: SocketAddr) -> OutgoingRequest {
        let head = format!("GET {path} HTTP/1.1\r\nhost: {host}\r\n\r\n");
        OutgoingRequest {
            head: BytesMut::from(head.as_str()),
            body: RequestBody::Buffered(Bytes::new()),
            is_head_request: false,
        }
    }
}

/// A connection that reads and writes only during an exchange. An idle one has no task and no buffer, and
/// dropping it closes the socket at once.
pub struct Conn {
    socket: Socket,
    /// The last answer was complete and the server keeps the connection open.
    usable: bool,
    max_head_bytes: usize,
    /// The remote address.
    pub address: SocketAddr,
}

impl Conn {
    /// Connects without a time-out, which the caller applies. Heads of answers are limited to
    /// `max_head_bytes`.
    ///
    /// # Errors
    /// The address cannot be reached, or this machine cannot start a connection at present.
    pub async fn connect(
        address: SocketAddr,
        permit: DescriptorPermit,
        max_head_bytes: usize,
    ) -> Result<Conn, ConnectError> {
        let socket = Socket::new(connect(address).await?, permit);
        Ok(Conn { socket, usable: true, max_head_bytes, address })
    }

    /// Sends a request and reads its complete answer, with a body of at most `max_body_bytes`. `progress` is
    /// called with what was sent and received before any other task runs, except at the end of a complete
    /// answer. The caller applies the time-out.
    ///
    /// # Errors
    /// There is no complete answer; the connection cannot be used again.
    pub async fn exchange(
        &mut self,
        request: OutgoingRequest,
        max_body_bytes: usize,
        mut progress: impl FnMut(RequestProgress, AnswerProgress),
    ) -> Result<Response<Bytes>, ExchangeError> {
        let mut exchange = self.start_exchange(request, max_body_bytes)?;
        let last_reported = Cell::new((RequestProgress::Nothing, AnswerProgress::Nothing));
        let mut report = |current: (RequestProgress, AnswerProgress)| {
            if last_reported.replace(current) != current {
                progress(current.0, current.1);
            }
        };
        let end = poll_fn(|cx| {
            let polled = exchange.poll(&mut self.socket, cx);
            if polled.is_pending() {
                report(exchange.current_progress());
            }
            polled
        })
        .await;
        // How a failure is handled depends on what was sent. A complete answer needs no report, unless
        // nothing was reported before: an answer to a request that was not sent must be seen as one.
        if end.is_err() || last_reported.get().0 == RequestProgress::Nothing {
            report(exchange.current_progress());
        }
        let complete = end?;
        self.usable = complete.reusable && exchange.request_sent();
        Ok(complete.answer)
    }

    /// Like [`Conn::exchange`], for a large answer that may arrive slowly: `moved` is called whenever a part of
    /// it has arrived.
    ///
    /// # Errors
    /// There is no complete answer; the connection cannot be used again.
    pub async fn fetch(
        &mut self,
        request: OutgoingRequest,
        max_body_bytes: usize,
        mut moved: impl FnMut(),
    ) -> Result<Response<Bytes>, ExchangeError> {
        let mut exchange = self.start_exchange(request, max_body_bytes)?;
        let mut received_bytes = 0;
        let end = poll_fn(|cx| {
            let polled = exchange.poll(&mut self.socket, cx);
            if exchange.received_bytes > received_bytes {
                received_bytes = exchange.received_bytes;
                moved();
            }
            polled
        });
        let complete = end.await?;
        self.usable = complete.reusable && exchange.request_sent();
        Ok(complete.answer)
    }

    fn start_exchange(
        &mut self,
        request: OutgoingRequest,
        max_body_bytes: usize,
    ) -> Result<Exchange, ExchangeError> {
        self.usable = false;
        let limits = AnswerLimits { head_bytes: self.max_head_bytes, body_bytes: max_body_bytes };
        let reader = AnswerReader::new(limits, request.is_head_request);
        let RequestBody::Buffered(body) = request.body else {
            return Err(io::Error::from(ErrorKind::InvalidInput).into());
        };
        Ok(Exchange { reader, head: request.head, body, sent_bytes: 0, received_bytes: 0 })
    }

    /// Like [`Conn::exchange`], for a request or an answer that is streamed. `sink` decides how the answer's
    /// body is handled once its head is received; no progress is reported after that. The result says whether
    /// the connection can be reused.
    ///
    /// # Errors
    /// The answer is incomplete; the connection cannot be used again.
    pub async fn stream(
        &mut self,
        request: OutgoingRequest,
        max_body_bytes: usize,
        sink: &mut impl AnswerSink,
        mut progress: impl FnMut(RequestProgress, AnswerProgress),
    ) -> Result<ExchangeEnd, ExchangeError> {
        self.usable = false;
        let mut exchange = StreamedExchange::new(
            request,
            AnswerLimits { head_bytes: self.max_head_bytes, body_bytes: max_body_bytes },
        );
        let mut last_reported = (RequestProgress::Nothing, AnswerProgress::Nothing);
        let mut report = |current: Option<(RequestProgress, AnswerProgress)>| {
            if let Some(current) = current.filter(|current| *current != last_reported) {
                last_reported = current;
                progress(current.0, current.1);
            }
        };
        let end = poll_fn(|cx| {
            let polled = exchange.poll(&mut self.socket, sink, cx);
            report(exchange.current_progress());
            polled
        })
        .await?;
        self.usable = exchange.request_sent()
            && match &end {
                ExchangeEnd::Buffered(complete) => complete.reusable,
                ExchangeEnd::Streamed { reusable } => *reusable,
            };
        Ok(end)
    }

    /// Whether both ends are open and nothing is unread. Unread bytes on an idle connection mean that the
    /// server is closing it.
    pub fn is_alive(&self) -> bool {
        self.usable && self.socket.is_quiet()
    }
}

/// The state of a request and its answer, both buffered.
struct Exchange {
    head: BytesMut,
    body: Bytes,
    reader: AnswerReader,
    sent_bytes: usize,
    received_bytes: usize,
}

impl Exchange {
    fn request_sent(&self) -> bool {
        self.head.is_empty() && self.body.is_empty()
    }

    fn current_progress(&self) -> (RequestProgress, AnswerProgress) {
        let request_progress = match self.sent_bytes {
            0 => RequestProgress::Nothing,
            _ if self.request_sent() => RequestProgress::Complete,
            _ => RequestProgress::Partial,
        };
        let answer_progress = match self.received_bytes {
            _ if self.reader.has_head() => AnswerProgress::HeadComplete,
            0 => AnswerProgress::Nothing,
            _ => AnswerProgress::Started,
        };
        (request_progress, answer_progress)
    }

    /// Writes and reads until both would block: an answer may arrive while its request is still being sent.
    fn poll(
        &mut self,
        socket: &mut Socket,
        cx: &mut Context<'_>,
    ) -> Poll<Result<CompleteAnswer, ExchangeError>> {
        if !self.request_sent()
            && let Poll::Ready(Err(e)) = self.poll_write(socket, cx)
        {
            return Poll::Ready(Err(e.into()));
        }
        loop {
            let mut buffer = [MaybeUninit::uninit(); READ_SIZE_BYTES];
            let mut read = ReadBuf::uninit(&mut buffer);
            match ready!(Pin::new(&mut *socket).poll_read(cx, &mut read)) {
                // A reset is no end of an answer: what came of it can't be told from a whole one.
                Err(_) if self.reader.ends_at_close() => return Poll::Ready(Err(MalformedAnswer.into())),
                result => result?,
            }
            if read.filled().is_empty() {
                let complete = self.reader.close()?;
                return Poll::Ready(complete.ok_or(io::Error::from(ErrorKind::UnexpectedEof).into()));
            }
            self.received_bytes += read.filled().len();
            if let Some(complete) = self.reader.push(read.filled())? {
                return Poll::Ready(Ok(complete));
            }
        }
    }

    fn poll_write(&mut self, socket: &mut Socket, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let (head, body) = (&mut self.head, &mut self.body);
        while !head.is_empty() || !body.is_empty() {
            let parts = [IoSlice::new(head), IoSlice::new(body)];
            let n = ready!(Pin::new(&mut *socket).poll_write_vectored(cx, &parts))?;
            if n == 0 {
                return Poll::Ready(Err(ErrorKind::WriteZero.into()));
            }
            self.sent_bytes += n;
            let head_bytes = n.min(head.len());
            head.advance(head_bytes);
            body.advance((n - head_bytes).min(body.len()));
        }
        Poll::Ready(Ok(()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use applemill_socket::Descriptors;
    use std::io::{Read, Write};
    use std::net::TcpListener;

    /// Whether an exchange succeeds and the progress it reports, with a server that writes `pieces` 30 ms
    /// apart after it has received the request.
    fn reported_progress(
        pieces: &'static [&'static str],
    ) -> (bool, Vec<(RequestProgress, AnswerProgress)>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            assert!(stream.read(&mut [0; 1024]).unwrap() > 0);
            for piece in pieces {
                std::thread::sleep(std::time::Duration::from_millis(30));
                stream.write_all(piece.as_bytes()).unwrap();
            }
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let (succeeded, reported) = runtime.block_on(async {
            let permit = Descriptors::new(64, 64).acquire_immediately();
            let mut conn = Conn::connect(address, permit, 8192).await.unwrap();
            let mut reported = Vec::new();
            let end = conn
                .exchange(OutgoingRequest::get("/", address), 100, |sent, received| {
                    reported.push((sent, received))
                })
                .await;
            (end.is_ok(), reported)
        });
        server.join().unwrap();
        (succeeded, reported)
    }

    #[test]
    fn an_exchange_reports_progress_when_it_waits_and_none_after_a_complete_answer() {
        let (complete, nothing) = (RequestProgress::Complete, AnswerProgress::Nothing);
        assert_eq!(
            reported_progress(&["HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"]),
            (true, vec![(complete, nothing)])
        );
        let pieces = &["HTTP/1.1 102 Wait\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", "x"];
        let expected = vec![
            (complete, nothing),
            (complete, AnswerProgress::Started),
            (complete, AnswerProgress::HeadComplete),
        ];
        assert_eq!(reported_progress(pieces), (true, expected));
        // A failed exchange reports everything that was received.
        assert_eq!(
            reported_progress(&["none\r\n\r\n"]),
            (false, vec![(complete, nothing), (complete, AnswerProgress::Started)])
        );
    }
}
