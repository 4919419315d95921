//! An exchange whose request or answer is streamed. Both directions run at the same time: an answer may
//! start, and end, while its request is still being sent.

use crate::call::RequestBody;
use crate::conn::{ExchangeError, OutgoingRequest};
use crate::pipe::{StreamItem, StreamReader, StreamWriter};
use applemill_answers::{AnswerLimits, AnswerReader, BodyPiece, BodyReader, CompleteAnswer};
use applemill_flow::CutReason;
use applemill_ledger::{AnswerProgress, RequestProgress};
use applemill_socket::Socket;
use bytes::{Buf, Bytes, BytesMut};
use hyper::{HeaderMap, Response};
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The largest read of a streamed body.
const READ_SIZE_BYTES: usize = 64 * 1024;
/// The largest read before the body is streamed. Bytes after the head are held in addition to the stream's
/// buffer, so this is kept small.
const HEAD_READ_SIZE_BYTES: usize = 8 * 1024;

/// The result of a successful exchange.
pub enum ExchangeEnd {
    /// A complete answer, buffered.
    Buffered(CompleteAnswer),
    /// A streamed answer, forwarded up to its last byte.
    Streamed {
        /// Nothing followed the answer, and the server keeps the connection open.
        reusable: bool,
    },
}

/// Decides how the body of an answer is handled.
pub trait AnswerSink {
    /// Called when the head is received. Returns the stream for the body, or `None` if the body is buffered.
    /// `request_progress` is how much of the request was sent by then.
    fn accept(
        &mut self,
        head: &Response<()>,
        length: Option<u64>,
        request_progress: RequestProgress,
    ) -> Option<StreamWriter>;
}

/// Writes the request.
struct RequestWriter {
    /// Written before `data`: the head, or a chunk's size.
    prefix: BytesMut,
    data: Bytes,
    /// Written after `data`.
    suffix: Bytes,
    rest: RemainingBody,
    sent_bytes: usize,
}

enum RemainingBody {
    /// The body is complete.
    Done,
    /// The rest is sent in chunks.
    Chunked(StreamReader),
    /// The rest has this length.
    Sized(StreamReader, u64),
    /// The client aborted its request: the backend must never receive a complete one.
    ClientAborted,
}

impl RequestWriter {
    fn new(request: OutgoingRequest) -> RequestWriter {
        let OutgoingRequest { head, body, is_head_request: _ } = request;
        let (data, rest) = match body {
            RequestBody::Buffered(bytes) => (bytes, RemainingBody::Done),
            RequestBody::Streamed(reader, Some(length)) => {
                (Bytes::new(), RemainingBody::Sized(reader, length))
            }
            RequestBody::Streamed(reader, None) => (Bytes::new(), RemainingBody::Chunked(reader)),
        };
        RequestWriter { prefix: head, data, suffix: Bytes::new(), rest, sent_bytes: 0 }
    }

    fn is_sent(&self) -> bool {
        self.prefix.is_empty()
            && self.data.is_empty()
            && self.suffix.is_empty()
            && matches!(self.rest, RemainingBody::Done)
    }

    fn progress(&self) -> RequestProgress {
        match self.sent_bytes {
            0 => RequestProgress::Nothing,
            _ if self.is_sent() => RequestProgress::Complete,
            _ => RequestProgress::Partial,
        }
    }

    fn start_chunk(&mut self, bytes: Bytes) {
        // Writing to a buffer in memory does not fail.
        let _ = std::fmt::Write::write_fmt(&mut self.prefix, format_args!("{:x}\r\n", bytes.len()));
        (self.data, self.suffix) = (bytes, Bytes::from_static(b"\r\n"));
    }

    fn start_last_chunk(&mut self, trailers: &HeaderMap) {
        self.prefix.extend_from_slice(b"0\r\n");
        for (name, value) in trailers {
            self.prefix.extend_from_slice(name.as_str().as_bytes());
            self.prefix.extend_from_slice(b": ");
            self.prefix.extend_from_slice(value.as_bytes());
            self.prefix.extend_from_slice(b"\r\n");
        }
        self.prefix.extend_from_slice(b"\r\n");
    }

    /// Writes until it would block or everything is sent.
    fn poll(&mut self, socket: &mut Socket, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            while !(self.prefix.is_empty() && self.data.is_empty() && self.suffix.is_empty()) {
                let parts =
                    [IoSlice::new(&self.prefix), IoSlice::new(&self.data), IoSlice::new(&self.suffix)];
                let n = ready!(Pin::new(&mut *socket).poll_write_vectored(cx, &parts))?;
                if n == 0 {
                    return Poll::Ready(Err(ErrorKind::WriteZero.into()));
                }
                self.sent_bytes += n;
                let prefix_bytes = n.min(self.prefix.len());
                self.prefix.advance(prefix_bytes);
                let data_bytes = (n - prefix_bytes).min(self.data.len());
                self.data.advance(data_bytes);
                self.suffix.advance((n - prefix_bytes - data_bytes).min(self.suffix.len()));
            }
            let (next, sized) = match &mut self.rest {
                RemainingBody::Done => return Poll::Ready(Ok(())),
                RemainingBody::ClientAborted => return Poll::Pending,
                RemainingBody::Chunked(reader) => (ready!(reader.poll_next(cx)), None),
                RemainingBody::Sized(reader, left) => (ready!(reader.poll_next(cx)), Some(left)),
            };
            match (next, sized) {
                (StreamItem::Data(bytes), None) => self.start_chunk(bytes),
                (StreamItem::Data(bytes), Some(left)) if bytes.len() as u64 <= *left => {
                    *left -= bytes.len() as u64;
                    self.data = bytes;
                }
                (StreamItem::End(trailers), None) => {
                    self.start_last_chunk(&trailers);
                    self.rest = RemainingBody::Done;
                }
                (StreamItem::End(_), Some(0)) => self.rest = RemainingBody::Done,
                // The backend does not read its request: its own failure.
                (StreamItem::Cut(CutReason::SlowSink), _) => {
                    return Poll::Ready(Err(ErrorKind::TimedOut.into()));
                }
                _ => self.rest = RemainingBody::ClientAborted,
            }
        }
    }
}

/// The state of the answer.
enum AnswerState {
    /// Reading the head, and then the body if it is buffered.
    Reading(AnswerReader),
    /// Forwarding a streamed body.
    Forwarding(BodyReader, StreamWriter),
    Done,
}

/// The state of a request and its answer, at least one of them streamed.
pub struct StreamedExchange {
    request_writer: RequestWriter,
    answer: AnswerState,
    received_any: bool,
    /// Why writing failed. What the server sent before it closed may still be read.
    write_error: Option<io::Error>,
}

impl StreamedExchange {
    pub fn new(request: OutgoingRequest, limits: AnswerLimits) -> StreamedExchange {
        let answer = AnswerState::Reading(AnswerReader::new(limits, request.is_head_request));
        StreamedExchange {
            request_writer: RequestWriter::new(request),
            answer,
            received_any: false,
            write_error: None,
        }
    }

    /// The request was sent completely.
    pub fn request_sent(&self) -> bool {
        self.request_writer.is_sent()
    }

    /// How much was sent and received; `None` once the answer's body is forwarded.
    pub fn current_progress(&self) -> Option<(RequestProgress, AnswerProgress)> {
        let answer_progress = match &self.answer {
            AnswerState::Reading(reader) if reader.has_head() => AnswerProgress::HeadComplete,
            AnswerState::Reading(_) if self.received_any => AnswerProgress::Started,
            AnswerState::Reading(_) => AnswerProgress::Nothing,
            AnswerState::Forwarding(..) | AnswerState::Done => return None,
        };
        Some((self.request_writer.progress(), answer_progress))
    }

    /// Writes and reads until both would block.
    pub fn poll(
        &mut self,
        socket: &mut Socket,
        sink: &mut impl AnswerSink,
        cx: &mut Context<'_>,
    ) -> Poll<Result<ExchangeEnd, ExchangeError>> {
        if self.write_error.is_none()
            && let Poll::Ready(Err(e)) = self.request_writer.poll(socket, cx)
        {
            if e.kind() == ErrorKind::TimedOut {
                return Poll::Ready(Err(e.into()));
            }
            self.write_error = Some(e);
        }
        loop {
            // A client that aborts its request does not need the rest of the answer.
            if let (AnswerState::Forwarding(..), RemainingBody::ClientAborted) =
                (&self.answer, &self.request_writer.rest)
            {
                return Poll::Ready(Err(ExchangeError::ReaderGone));
            }
            let capacity = match &mut self.answer {
                AnswerState::Reading(_) => HEAD_READ_SIZE_BYTES,
                AnswerState::Done => return Poll::Pending,
                AnswerState::Forwarding(body, writer) => {
                    // The client may leave with the last byte. Waiting for capacity then would fail and lose
                    // a connection that can be reused.
                    let capacity =
                        if body.is_complete() { Poll::Ready(Ok(1)) } else { writer.poll_capacity(cx) };
                    let Ok(capacity) = ready!(capacity) else {
                        // Only a slow answer is the server's fault; other causes are the client, the time
                        // limit or the route's limits.
                        let slow = writer.cut_reason() == Some(CutReason::SlowSource);
                        return Poll::Ready(Err(if slow {
                            ExchangeError::TooSlow
                        } else {
                            ExchangeError::ReaderGone
                        }));
                    };
                    match body.next(capacity)? {
                        BodyPiece::Data(bytes) => {
                            writer.push(bytes);
                            continue;
                        }
                        BodyPiece::End { trailers, reusable } => {
                            writer.finish(trailers);
                            self.answer = AnswerState::Done;
                            return Poll::Ready(Ok(ExchangeEnd::Streamed { reusable }));
                        }
                        BodyPiece::More => capacity.min(READ_SIZE_BYTES),
                    }
                }
            };
            let mut buffer = [MaybeUninit::uninit(); READ_SIZE_BYTES];
            let mut read = ReadBuf::uninit(buffer.get_mut(..capacity).unwrap_or_default());
            match Pin::new(&mut *socket).poll_read(cx, &mut read) {
                Poll::Ready(Ok(())) if !read.filled().is_empty() => {}
                Poll::Ready(Ok(())) if self.request_writer.is_sent() && self.ends_at_close() => {
                    match self.close_answer()? {
                        Some(end) => return Poll::Ready(Ok(end)),
                        None => continue,
                    }
                }
                Poll::Ready(end) => {
                    let end = end.err().unwrap_or_else(|| ErrorKind::UnexpectedEof.into());
                    return Poll::Ready(Err(self.write_error.take().unwrap_or(end).into()));
                }
                Poll::Pending => return Poll::Pending,
            }
            self.received_any = true;
            if let Some(end) = self.handle_bytes(read.filled(), sink)? {
                return Poll::Ready(Ok(end));
            }
        }
    }

    /// Whether the answer ends where the server closes the connection.
    fn ends_at_close(&self) -> bool {
        match &self.answer {
            AnswerState::Reading(reader) => reader.ends_at_close(),
            AnswerState::Forwarding(body, _) => body.ends_at_close(),
            AnswerState::Done => false,
        }
    }

    /// The server has closed the connection, which ends the answer. What is left of a body that is forwarded
    /// still has to be passed on.
    fn close_answer(&mut self) -> Result<Option<ExchangeEnd>, ExchangeError> {
        match &mut self.answer {
            AnswerState::Reading(reader) => Ok(reader.close()?.map(ExchangeEnd::Buffered)),
            AnswerState::Forwarding(body, _) => {
                body.close();
                Ok(None)
            }
            AnswerState::Done => Ok(None),
        }
    }

    fn handle_bytes(
        &mut self,
        bytes: &[u8],
        sink: &mut impl AnswerSink,
    ) -> Result<Option<ExchangeEnd>, ExchangeError> {
        let mut reader = match std::mem::replace(&mut self.answer, AnswerState::Done) {
            AnswerState::Reading(reader) => reader,
            AnswerState::Forwarding(mut body, writer) => {
                body.push(bytes);
                self.answer = AnswerState::Forwarding(body, writer);
                return Ok(None);
            }
            AnswerState::Done => return Ok(None),
        };
        if reader.has_head() || !reader.push_head(bytes)? {
            let complete = if reader.has_head() { reader.push(bytes)? } else { None };
            self.answer = AnswerState::Reading(reader);
            return Ok(complete.map(ExchangeEnd::Buffered));
        }
        let writer = reader
            .head()
            .and_then(|head| sink.accept(head, reader.content_length(), self.request_writer.progress()));
        match writer {
            Some(writer) => {
                if let Some((_, body)) = reader.into_body() {
                    self.answer = AnswerState::Forwarding(body, writer);
                }
                Ok(None)
            }
            None => {
                let complete = reader.push(&[])?;
                self.answer = AnswerState::Reading(reader);
                Ok(complete.map(ExchangeEnd::Buffered))
            }
        }
    }
}
