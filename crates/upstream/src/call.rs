//! HTTP messages exchanged with backends: builds requests from client requests and interprets answers.
//! Time-outs and retries are left to the ledger.

use crate::conn::OutgoingRequest;
use crate::headers::{EXPIRES, LOAD, NEVER_RAN};
use crate::pipe::{Replay, StreamReader};
use applemill_balancer::interface::Outcome;
use applemill_balancer::wire;
use applemill_flow::{BodyReservation, StreamLimits, StreamReservation};
use applemill_ledger::{ExchangeResult, Payload};
use bytes::{Bytes, BytesMut};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, HeaderMap, HeaderName, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode, Uri};
use std::cell::Cell;
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The largest request or answer body that is buffered, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// The longest time for which a client may read nothing of an answer (one hour), in milliseconds.
const MAX_UNREAD_MS: f64 = 3_600_000.0;

/// Initial capacity for a request head; most heads fit.
const HEAD_CAPACITY_BYTES: usize = 512;

/// A client's request as it is forwarded to a backend.
pub struct Call {
    /// The request method.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Body,
    /// The stream settings for the answer, or `None` if the answer is buffered.
    pub answer: Option<StreamedAnswer>,
}

/// A request body.
pub enum Body {
    /// The complete body and its memory reservation, which is released with it.
    Buffered(Bytes, Option<BodyReservation>),
    /// A body that is still being received, and its length if declared.
    Streamed(Replay, Option<u64>),
}

impl Body {
    /// An empty body.
    pub fn none() -> Body {
        Body::Buffered(Bytes::new(), None)
    }
}

/// Resources for a streamed answer. The memory is reserved when the request is accepted: no answer is started
/// that has no memory.
pub struct StreamedAnswer {
    /// The limits of the stream.
    pub stream_limits: StreamLimits,
    /// The memory reservation, taken when an answer starts.
    pub reservation: Cell<Option<StreamReservation>>,
}

impl StreamedAnswer {
    /// How long the client may read nothing of the answer: the window in which its pace is measured.
    pub fn unread_timeout(&self) -> Option<Duration> {
        let window_ms = self.stream_limits.min_rate?.window_ms;
        Some(Duration::from_secs_f64(window_ms.clamp(0.0, MAX_UNREAD_MS) / 1000.0))
    }
}

/// A request body as it is written to a backend.
pub enum RequestBody {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is still being received, and its length if declared.
    Streamed(StreamReader, Option<u64>),
}

/// A backend's answer for the client.
pub struct Reply {
    /// The status; always 200 with [`Protocol::Platform`].
    pub status: StatusCode,
    /// The headers for the client; with [`Protocol::Platform`] only `Content-Type`, if present.
    pub headers: HeaderMap,
    /// The answer body.
    pub body: ReplyBody,
}

/// An answer body.
pub enum ReplyBody {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is still being received, and its length if declared.
    Streamed(StreamReader, Option<u64>),
}

/// The protocol that backends speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// The platform's protocol: only status 200 is a successful answer.
    Platform,
    /// Any HTTP: every status below 500 is a successful answer and is forwarded unchanged.
    Plain,
}

/// Builds the request for the backend at `address`. The backend is told that `remaining_ms` are left to
/// answer; a probe requests `probe_path`. Returns `None` if the body can no longer be replayed from its
/// start.
pub fn build_request(
    payload: &Payload<Rc<Call>>,
    address: SocketAddr,
    remaining_ms: f64,
    probe_path: &'static str,
) -> Option<OutgoingRequest> {
    match payload {
        Payload::Call(call) => call.build_request(address, remaining_ms),
        Payload::Probe => Call {
            method: Method::GET,
            target: Uri::from_static(probe_path),
            headers: HeaderMap::new(),
            body: Body::none(),
            answer: None,
        }
        .build_request(address, remaining_ms),
    }
}

impl Call {
    /// Writes the head directly as bytes, which spares a copy of the header map for each attempt.
    fn build_request(&self, address: SocketAddr, remaining_ms: f64) -> Option<OutgoingRequest> {
        let mut head = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
        // Writing to a buffer in memory does not fail.
        let _ = write!(head, "{} {} HTTP/1.1\r\n", self.method, self.target);
        for (name, value) in self.headers.iter().filter(|(name, _)| *name != EXPIRES) {
            head.extend_from_slice(name.as_str().as_bytes());
            head.extend_from_slice(b": ");
            head.extend_from_slice(value.as_bytes());
            head.extend_from_slice(b"\r\n");
        }
        if !self.headers.contains_key(HOST) {
            let _ = write!(head, "{HOST}: {address}\r\n");
        }
        let body = match &self.body {
            Body::Buffered(body, _) => {
                if !body.is_empty() || !matches!(self.method, Method::GET | Method::HEAD) {
                    let _ = write!(head, "{CONTENT_LENGTH}: {}\r\n", body.len());
                }
                RequestBody::Buffered(body.clone())
            }
            Body::Streamed(replay, length) => {
                let _ = match length {
                    Some(length) => write!(head, "{CONTENT_LENGTH}: {length}\r\n"),
                    None => write!(head, "{TRANSFER_ENCODING}: chunked\r\n"),
                };
                RequestBody::Streamed(replay.reader()?, *length)
            }
        };
        let _ = write!(head, "{EXPIRES}: {}\r\n\r\n", remaining_ms.ceil() as u64);
        Some(OutgoingRequest { head, body, is_head_request: self.method == Method::HEAD })
    }
}

/// Headers that concern a single connection or that are generated for each request.
const CONNECTION_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the connection headers and every header listed in `Connection` (RFC 9110, 7.6.1).
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = (headers.get_all(CONNECTION).iter())
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    without_connection_headers(headers)
}

/// Removes the connection headers.
pub fn without_connection_headers(mut headers: HeaderMap) -> HeaderMap {
    // Most requests have at most one of them, and one scan is cheaper than nine look-ups.
    while let Some(name) = headers.keys().find(|name| CONNECTION_HEADERS.contains(name)).cloned() {
        headers.remove(name);
    }
    headers
}

/// Interprets the answer to a probe; the load report is in the body.
pub fn parse_probe_answer(answer: Response<Bytes>) -> ExchangeResult<Reply> {
    let load = wire::load_report(&String::from_utf8_lossy(answer.body()));
    ExchangeResult { load, ..parse_answer(answer, Protocol::Platform) }
}

/// Interprets a complete answer.
pub fn parse_answer(answer: Response<Bytes>, protocol: Protocol) -> ExchangeResult<Reply> {
    let (head, body) = answer.into_parts();
    exchange_result(head, protocol, |_| ReplyBody::Buffered(body))
}

/// Interprets the head of an answer whose body would be streamed. Returns `None` if the answer is not
/// successful; its body is then buffered.
pub fn parse_streamed_head(
    head: &Response<()>,
    protocol: Protocol,
    is_head_request: bool,
    body: impl FnOnce() -> ReplyBody,
) -> Option<ExchangeResult<Reply>> {
    let (copy, ()) = head.clone().into_parts();
    let (trailer, length) = (copy.headers.get(TRAILER).cloned(), copy.headers.get(CONTENT_LENGTH).cloned());
    if outcome(&copy, protocol) != Outcome::Done {
        return None;
    }
    Some(exchange_result(copy, protocol, |headers| {
        // The announcement of trailers is forwarded with the body; an answer without a body keeps its length.
        headers.extend(trailer.map(|v| (TRAILER, v)));
        let has_no_body = is_head_request || head.status() == StatusCode::NOT_MODIFIED;
        headers.extend(length.filter(|_| has_no_body).map(|v| (CONTENT_LENGTH, v)));
        body()
    }))
}

fn outcome(head: &Parts, protocol: Protocol) -> Outcome {
    let never_ran = head.headers.get(NEVER_RAN).is_some_and(|v| v == "1");
    match head.status {
        StatusCode::OK => Outcome::Done,
        status if protocol == Protocol::Plain && !status.is_server_error() => Outcome::Done,
        // Only this header proves that the request did not run; with any other answer it may have run.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => Outcome::Full,
        _ => Outcome::Error,
    }
}

fn exchange_result(
    mut head: Parts,
    protocol: Protocol,
    body: impl FnOnce(&mut HeaderMap) -> ReplyBody,
) -> ExchangeResult<Reply> {
    let header = |name: HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
    let load = header(LOAD).map(wire::load_report).unwrap_or_default();
    let outcome = outcome(&head, protocol);
    let reply = (outcome == Outcome::Done).then(|| {
        let mut headers = match protocol {
            Protocol::Platform => {
                head.headers.remove(CONTENT_TYPE).map(|v| (CONTENT_TYPE, v)).into_iter().collect()
            }
            Protocol::Plain => end_to_end(head.headers),
        };
        let body = body(&mut headers);
        Reply { status: head.status, headers, body }
    });
    ExchangeResult { outcome, reply, load }
}
