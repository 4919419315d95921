//! Connections to backends, and the attempts and probes on them. One request at a time on each.

use crate::socket::{Descriptors, Slot, Socket};
use birchspoke::interface::{BackendId, Load, Outcome};
use birchspoke::wire;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

/// Bodies hold at most this much, either way.
pub const BODY_LIMIT: usize = 64 * 1024;
/// How long this node will wait, as a backend is told.
pub const EXPIRES: &str = "x-expires-in-ms";
const NEVER_RAN: &str = "x-never-ran";
const LOAD: &str = "endpoint-load-metrics";
/// An idle connection is dropped after this part of the time at which the backend drops it: a request that
/// crosses the backend's close may have run, and an unsafe one is then lost.
const IDLE_PART: f64 = 0.7;
/// A probe that takes longer has failed.
const PROBE_LIMIT: Duration = Duration::from_millis(250);

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
    /// Its body.
    pub body: Bytes,
    /// What kind of body that is, if told.
    pub content_type: Option<HeaderValue>,
}

/// How an attempt or a probe ended.
pub struct Finish {
    /// How.
    pub outcome: Outcome,
    /// What a served attempt brought.
    pub reply: Option<Reply>,
    /// The load report, if there was one.
    pub load: Load,
}

impl From<Outcome> for Finish {
    fn from(outcome: Outcome) -> Finish {
        Finish { outcome, reply: None, load: Load::default() }
    }
}

type Driven = Pin<Box<Connection<TokioIo<Socket>, Full<Bytes>>>>;

/// A connection whose reading and writing happen only while somebody exchanges on it: nothing is left
/// running behind an idle one, and dropping it closes the socket at once.
pub struct Conn {
    sender: SendRequest<Full<Bytes>>,
    connection: Option<Driven>,
    socket: Socket,
}

impl Conn {
    /// Connects; the caller bounds the time.
    pub async fn open(address: SocketAddr, slot: Slot) -> Result<Conn, Box<dyn std::error::Error>> {
        let socket = Socket::new(TcpStream::connect(address).await?, slot);
        let (sender, connection) = http1::handshake(TokioIo::new(socket.clone())).await?;
        Ok(Conn { sender, connection: Some(Box::pin(connection)), socket })
    }

    /// Runs `wanted` together with the connection's own reading and writing.
    async fn drive<F: Future>(connection: &mut Option<Driven>, wanted: F) -> F::Output {
        let mut wanted = pin!(wanted);
        poll_fn(|cx| {
            if let Poll::Ready(value) = wanted.as_mut().poll(cx) {
                return Poll::Ready(value);
            }
            if connection.as_mut().is_some_and(|c| c.as_mut().poll(cx).is_ready()) {
                *connection = None;
            }
            wanted.as_mut().poll(cx)
        })
        .await
    }

    /// One request and its whole answer.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<Response<Bytes>, Box<dyn std::error::Error + Send + Sync>> {
        let sent = self.sender.send_request(request);
        let (head, body) = Conn::drive(&mut self.connection, sent).await?.into_parts();
        let body = Conn::drive(&mut self.connection, Limited::<Incoming>::new(body, limit).collect());
        let body = body.await?.to_bytes();
        // One more turn: the connection sees that the answer is over and is ready for the next.
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
}

struct Idle {
    conn: Conn,
    since: Instant,
}

/// One attempt: what is sent, where, and for how long it is waited for.
pub struct Errand {
    /// Which backend.
    pub backend: BackendId,
    /// Where that is.
    pub address: SocketAddr,
    /// What to send.
    pub call: Rc<Call>,
    /// When to stop waiting.
    pub until: Instant,
}

/// The connections to backends.
pub struct Upstream {
    idle: RefCell<HashMap<BackendId, Vec<Idle>>>,
    descriptors: Rc<Descriptors>,
    connect_limit: Duration,
    idle_limit: Duration,
}

/// The process or the whole machine has no descriptor left (EMFILE, ENFILE).
fn out_of_descriptors(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(23 | 24))
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64((ms.clamp(0.0, 86_400_000.0)) / 1000.0)
}

impl Upstream {
    /// No connections yet.
    pub fn new(descriptors: Rc<Descriptors>, connect_timeout_ms: f64, conn_idle_ms: f64) -> Rc<Upstream> {
        let upstream = Rc::new(Upstream {
            idle: RefCell::default(),
            descriptors: descriptors.clone(),
            connect_limit: millis(connect_timeout_ms),
            idle_limit: millis(conn_idle_ms * IDLE_PART),
        });
        let weak = Rc::downgrade(&upstream);
        descriptors.on_backends(Box::new(move || weak.upgrade().is_some_and(|u| u.drop_oldest())));
        upstream
    }

    /// Closes the connections to a backend that carry nothing.
    ///
    /// Not only for the decisions: a backend that broke a connection, or does not answer a probe, may have
    /// been away. What was open to it before is reset as soon as something is sent on it, and an unsafe
    /// request would be lost.
    pub fn release(&self, backend: BackendId) {
        let closed = self.idle.borrow_mut().remove(&backend);
        drop(closed);
    }

    fn drop_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|v| !v.is_empty()).min_by_key(|v| v.first().map(|i| i.since));
        let closed = oldest.map(|v| v.remove(0));
        closed.is_some()
    }

    /// Closes what has been idle for long and what the backend has closed.
    pub fn sweep(&self) {
        for list in self.idle.borrow_mut().values_mut() {
            list.retain(|i| i.since.elapsed() < self.idle_limit && i.conn.alive());
        }
    }

    fn take_idle(&self, backend: BackendId) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&backend)?;
        while let Some(Idle { conn, since }) = list.pop() {
            // Looked at once more here: the sweep may be late, and the backend may have closed it since.
            if since.elapsed() < self.idle_limit && conn.alive() {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps a connection whose exchange is over, if it can carry another.
    pub fn keep(&self, backend: BackendId, conn: Conn) {
        if conn.alive() && conn.sender.is_ready() {
            let kept = Idle { conn, since: Instant::now() };
            self.idle.borrow_mut().entry(backend).or_default().push(kept);
        }
    }

    /// A connection to the backend, by `until` at the latest.
    ///
    /// Where this node itself has no descriptor for one, the attempt is not made: `NotConnected` would
    /// blame the backends, and all of them would be held for dead.
    async fn connection(
        &self,
        backend: BackendId,
        address: SocketAddr,
        until: Instant,
    ) -> Result<Conn, Outcome> {
        if let Some(conn) = self.take_idle(backend) {
            return Ok(conn);
        }
        let limit = || self.connect_limit.min(until.saturating_duration_since(Instant::now()));
        let slot = tokio::time::timeout(limit(), self.descriptors.take()).await;
        let slot = slot.map_err(|_| Outcome::Skipped)?;
        match tokio::time::timeout(limit(), Conn::open(address, slot)).await {
            Ok(Ok(conn)) => Ok(conn),
            Ok(Err(e)) if e.downcast_ref::<io::Error>().is_some_and(out_of_descriptors) => {
                Err(Outcome::Skipped)
            }
            _ => Err(Outcome::NotConnected),
        }
    }

    /// Sends one attempt and waits for its end. `wanted` says whether request and backend still stand.
    /// A connection that may be kept comes back.
    pub async fn attempt(&self, errand: &Errand, wanted: impl Fn() -> bool) -> (Finish, Option<Conn>) {
        let mut conn = match self.connection(errand.backend, errand.address, errand.until).await {
            Ok(conn) => conn,
            Err(outcome) => return (outcome.into(), None),
        };
        // The handshake took time: a drain told meanwhile holds for this send too.
        if !wanted() {
            return (Outcome::NotConnected.into(), None);
        }
        let written = conn.socket.written();
        let left = errand.until.saturating_duration_since(Instant::now());
        let request = errand.call.request(errand.address, left);
        let answer = tokio::time::timeout(left, conn.exchange(request, BODY_LIMIT)).await;
        let finish = match answer {
            Ok(Ok(answer)) => finish(answer),
            // Not one byte of it left this node: it never ran.
            _ if conn.socket.written() == written => return (Outcome::NotConnected.into(), None),
            Err(_) => return (Outcome::TimedOut.into(), None),
            // Served in part or past the limit is no answer; what was written may have run.
            Ok(Err(e)) if e.is::<LengthLimitError>() => return (Outcome::Error.into(), None),
            Ok(Err(_)) => {
                self.release(errand.backend);
                return (Outcome::Reset.into(), None);
            }
        };
        (finish, Some(conn))
    }

    /// Asks a backend whether it is there.
    pub async fn probe(
        &self,
        backend: BackendId,
        address: SocketAddr,
        path: &'static str,
    ) -> (Finish, Option<Conn>) {
        let until = Instant::now() + PROBE_LIMIT;
        let mut conn = match self.connection(backend, address, until).await {
            Ok(conn) => conn,
            Err(outcome) => return (outcome.into(), None),
        };
        let call = Call {
            method: Method::GET,
            target: Uri::from_static(path),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            _room: None,
        };
        let left = until.saturating_duration_since(Instant::now());
        let request = call.request(address, left);
        match tokio::time::timeout(left, conn.exchange(request, BODY_LIMIT)).await {
            Err(_) => {
                self.release(backend);
                (Outcome::TimedOut.into(), None)
            }
            Ok(Err(_)) => {
                self.release(backend);
                (Outcome::Reset.into(), None)
            }
            Ok(Ok(answer)) => {
                let text = String::from_utf8_lossy(answer.body()).into_owned();
                let mut end = finish(answer);
                end.load = wire::load_report(&text);
                (end, Some(conn))
            }
        }
    }
}

impl Call {
    fn request(&self, address: SocketAddr, left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        if !headers.contains_key(HOST)
            && let Ok(host) = HeaderValue::from_str(&address.to_string())
        {
            headers.insert(HOST, host);
        }
        let left = u64::try_from(left.as_micros().div_ceil(1000)).unwrap_or(u64::MAX);
        headers.insert(EXPIRES, HeaderValue::from(left));
        request
    }
}

/// What a backend's whole answer says.
fn finish(answer: Response<Bytes>) -> Finish {
    let (head, body) = answer.into_parts();
    let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    let load = header(LOAD).map(wire::load_report).unwrap_or_default();
    let unseen = header(NEVER_RAN) == Some("1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Done,
        // The only proof that a backend gives; any other status may have run.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen => Outcome::Full,
        _ => Outcome::Error,
    };
    let content_type = head.headers.get(CONTENT_TYPE).cloned();
    let reply = (outcome == Outcome::Done).then_some(Reply { body, content_type });
    Finish { outcome, reply, load }
}
