//! What is sent to backends and what comes back, as HTTP: requests made from what clients asked, and answers read for
//! what they mean. How long they are waited for, and what follows, is the ledger's.

use crate::conn::Outgoing;
use crate::names::{EXPIRES, LOAD, NEVER_RAN};
use applemill_ledger::{Cargo, Finish};
use birchspoke::interface::Outcome;
use birchspoke::wire;
use bytes::{Bytes, BytesMut};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, HeaderMap, HeaderName, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Method, Response, StatusCode, Uri};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::OwnedSemaphorePermit;

/// Bodies hold at most this much, either way.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Room for most heads.
const HEAD_AT_FIRST: usize = 512;

/// What a client asked, to be sent on unchanged.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The room that the body takes, given back with it.
    pub _room: Option<OwnedSemaphorePermit>,
}

/// A whole answer of a backend.
#[derive(Debug)]
pub struct Reply {
    /// Its status; 200 where the platform's protocol is spoken.
    pub status: StatusCode,
    /// The headers that go on; there, what kind of body it is, if told.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// What backends speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// The platform's protocol: 200 alone is an answer.
    Platform,
    /// Any HTTP: whatever is no server's error is an answer, and goes on as it is.
    Plain,
}

/// What goes out to a backend: to it at `address`, which is told that `left_ms` are left; `probe_path` is asked for
/// where nobody's request is sent.
pub fn outgoing(
    cargo: &Cargo<Rc<Call>>,
    address: SocketAddr,
    left_ms: f64,
    probe_path: &'static str,
) -> Outgoing {
    match cargo {
        Cargo::Call(call) => call.outgoing(address, left_ms),
        Cargo::Probe => Call {
            method: Method::GET,
            target: Uri::from_static(probe_path),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            _room: None,
        }
        .outgoing(address, left_ms),
    }
}

impl Call {
    /// Written as bytes at once: an attempt needs no headers of its own.
    fn outgoing(&self, address: SocketAddr, left_ms: f64) -> Outgoing {
        let mut head = BytesMut::with_capacity(HEAD_AT_FIRST);
        // Writing to memory does not fail.
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
        if !self.body.is_empty() || !matches!(self.method, Method::GET | Method::HEAD) {
            let _ = write!(head, "{CONTENT_LENGTH}: {}\r\n", self.body.len());
        }
        let _ = write!(head, "{EXPIRES}: {}\r\n\r\n", left_ms.ceil() as u64);
        Outgoing { head, body: self.body.clone(), to_head: self.method == Method::HEAD }
    }
}

/// Headers that concern one connection only, or that are made anew.
const OWN_HEADERS: [HeaderName; 9] = [
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

/// The headers that go on: without those of the connection, and those that it names as such (RFC 9110, 7.6.1).
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = (headers.get_all(CONNECTION).iter())
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    without_own(headers)
}

/// The headers without those of the connection.
pub fn without_own(mut headers: HeaderMap) -> HeaderMap {
    // Most have one or none of them, and looking is cheaper than nine searches.
    while let Some(name) = headers.keys().find(|name| OWN_HEADERS.contains(name)).cloned() {
        headers.remove(name);
    }
    headers
}

/// What a backend's answer to a probe says.
pub fn probe_finish(answer: Response<Bytes>) -> Finish<Reply> {
    let load = wire::load_report(&String::from_utf8_lossy(answer.body()));
    Finish { load, ..finish(answer, Dialect::Platform) }
}

/// What a backend's whole answer says.
pub fn finish(answer: Response<Bytes>, dialect: Dialect) -> Finish<Reply> {
    let (mut head, body) = answer.into_parts();
    let header = |name: HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
    let load = header(LOAD).map(wire::load_report).unwrap_or_default();
    let unseen = header(NEVER_RAN) == Some("1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Done,
        status if dialect == Dialect::Plain && !status.is_server_error() => Outcome::Done,
        // The only proof that a backend gives; any other status may have run.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen => Outcome::Full,
        _ => Outcome::Error,
    };
    let reply = (outcome == Outcome::Done).then(|| {
        let headers = match dialect {
            Dialect::Platform => {
                head.headers.remove(CONTENT_TYPE).map(|v| (CONTENT_TYPE, v)).into_iter().collect()
            }
            Dialect::Plain => end_to_end(head.headers),
        };
        Reply { status: head.status, headers, body }
    });
    Finish { outcome, reply, load }
}
