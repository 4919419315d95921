//! Connections to backends, and the attempts and probes on them. One request at a time on each.

use crate::socket::{Descriptors, Slot, Socket};
use birchspoke::interface::{BackendId, Load, Outcome};
use birchspoke::wire;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::error::Error as _;
use std::future::{Future, poll_fn};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use thiserror::Error;
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
/// What comes right behind an answer is no answer to the next request: a connection is used again only once it
/// has been quiet for so long.
const SETTLED: Duration = Duration::from_millis(10);
/// An answer whose head is there is whole so soon, or it never will be.
const BODY_TIME: Duration = Duration::from_millis(100);
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

    /// One request and its whole answer, with a body of `limit` bytes at most, which is there within
    /// `body_time` after the head.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: usize,
        body_time: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let sent = self.sender.send_request(request);
        let (head, body) = Conn::drive(&mut self.connection, sent).await?.into_parts();
        check(&head.headers, &body, limit)?;
        let whole = Conn::drive(&mut self.connection, Limited::<Incoming>::new(body, limit).collect());
        let body = match tokio::time::timeout(body_time, whole).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => {
                return Err(e.downcast::<hyper::Error>().map_or(Failure::Spoilt, |e| (*e).into()));
            }
            Err(_) => return Err(Failure::Spoilt),
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
}

struct Idle {
    conn: Conn,
    since: Instant,
}

/// Up to what age kept connections are good, learned from what became of requests on them.
///
/// A backend, or something on the way to it, may drop idle connections sooner than the settings say and without
/// a word: what is written on one is reset unread, and an unsafe request is lost. Any such age shows, also one
/// that changes, since evidence fades; one that few backends have is taken for all. It costs a handshake for each
/// connection that is not used again, so it hurts where old connections break for another reason.
#[derive(Debug)]
struct Ages {
    /// Requests, and those whose connection broke with no answer begun, by age; the first is for new connections.
    seen: [(f64, f64); Ages::STEPS],
    faded: Instant,
}

impl Ages {
    /// Two steps for each doubling, from the youngest that is told apart on.
    const STEPS: usize = 24;
    const YOUNGEST_MS: f64 = 10.0;
    /// Evidence is half as much after this.
    const HALF_LIFE: Duration = Duration::from_secs(30);
    /// Breaks without which there is no such age.
    const LEAST: f64 = 4.0;
    /// A share of breaks is above that of younger ones by more than a factor and an amount.
    const FACTOR: f64 = 2.0;
    const AMOUNT: f64 = 0.1;

    fn new() -> Ages {
        Ages { seen: [(0.0, 0.0); Ages::STEPS], faded: Instant::now() }
    }

    fn step(age: Duration) -> usize {
        let doublings = (age.as_secs_f64() * 1000.0 / Ages::YOUNGEST_MS).max(1.0).log2();
        (1 + (2.0 * doublings) as usize).min(Ages::STEPS - 1)
    }

    fn from(step: usize) -> Duration {
        Duration::from_secs_f64(Ages::YOUNGEST_MS / 1000.0 * ((step as f64 - 1.0) / 2.0).exp2())
    }

    fn note(&mut self, age: Option<Duration>, broke: bool) {
        let keep = 0.5_f64.powf(self.faded.elapsed().as_secs_f64() / Ages::HALF_LIFE.as_secs_f64());
        self.faded = Instant::now();
        for (used, broken) in &mut self.seen {
            (*used, *broken) = (*used * keep, *broken * keep);
        }
        if let Some((used, broken)) = self.seen.get_mut(age.map_or(0, Ages::step)) {
            (*used, *broken) = (*used + 1.0, *broken + f64::from(u8::from(broke)));
        }
    }

    /// The age from which on they are not good: of some step and of all older ones together more break than of
    /// what is younger.
    fn limit(&self) -> Option<Duration> {
        let mut younger = (0.0, 0.0);
        let total = self.seen.iter().fold((0.0, 0.0), |t, s| (t.0 + s.0, t.1 + s.1));
        self.seen.iter().enumerate().find_map(|(step, &(used, broken))| {
            let bound = younger.1 / f64::max(younger.0, 1.0) * Ages::FACTOR + Ages::AMOUNT;
            let older = (total.0 - younger.0, total.1 - younger.1);
            younger = (younger.0 + used, younger.1 + broken);
            let bad = broken > used * bound && older.1 > older.0 * bound && older.1 >= Ages::LEAST;
            (bad && step > 0).then(|| Ages::from(step))
        })
    }
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
    /// What is spoken there.
    pub dialect: Dialect,
}

/// The connections to backends.
pub struct Upstream {
    idle: RefCell<HashMap<BackendId, Vec<Idle>>>,
    descriptors: Rc<Descriptors>,
    connect_limit: Duration,
    idle_limit: Duration,
    ages: RefCell<Ages>,
    buffer: usize,
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
    pub fn new(
        descriptors: Rc<Descriptors>,
        connect_timeout_ms: f64,
        conn_idle_ms: f64,
        buffer: usize,
    ) -> Rc<Upstream> {
        let upstream = Rc::new(Upstream {
            idle: RefCell::default(),
            descriptors: descriptors.clone(),
            connect_limit: millis(connect_timeout_ms),
            idle_limit: millis(conn_idle_ms * IDLE_PART),
            ages: RefCell::new(Ages::new()),
            buffer,
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

    /// How long a connection may have been idle to be used again.
    fn idle_limit(&self) -> Duration {
        self.ages.borrow().limit().map_or(self.idle_limit, |good| good.min(self.idle_limit))
    }

    /// Closes what has been idle for long and what the backend has closed.
    pub fn sweep(&self) {
        let limit = self.idle_limit();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|i| i.since.elapsed() < limit && i.conn.alive());
            !list.is_empty()
        });
    }

    /// The youngest kept connection that is quiet and good. Only those that are to be taken are looked at: what a
    /// request costs must not grow with what is kept. Whatever else has ended meanwhile is the sweep's.
    fn take_idle(&self, backend: BackendId) -> Option<Idle> {
        let (limit, now) = (self.idle_limit(), Instant::now());
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&backend)?;
        // They are kept in the order in which they turned idle: the oldest come first.
        let mut settled = list.partition_point(|i| now.duration_since(i.since) >= SETTLED);
        while settled > 0 {
            settled -= 1;
            if now.duration_since(list.get(settled)?.since) >= limit {
                // And so are all before it.
                list.drain(..=settled);
                return None;
            }
            // Looked at once more here: the backend may have closed it since.
            let kept = list.remove(settled);
            if kept.conn.alive() {
                return Some(kept);
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

    /// A connection to the backend, by `until` at the latest, and for how long it was idle if it was kept.
    ///
    /// Where this node itself has no descriptor for one, the attempt is not made: `NotConnected` would
    /// blame the backends, and all of them would be held for dead.
    async fn connection(
        &self,
        backend: BackendId,
        address: SocketAddr,
        until: Instant,
    ) -> Result<(Conn, Option<Duration>), Outcome> {
        if let Some(idle) = self.take_idle(backend) {
            return Ok((idle.conn, Some(idle.since.elapsed())));
        }
        let limit = || self.connect_limit.min(until.saturating_duration_since(Instant::now()));
        let slot = tokio::time::timeout(limit(), self.descriptors.take()).await;
        let slot = slot.map_err(|_| Outcome::Skipped)?;
        match tokio::time::timeout(limit(), Conn::open(address, slot, self.buffer)).await {
            Ok(Ok(conn)) => Ok((conn, None)),
            Ok(Err(e)) if e.downcast_ref::<io::Error>().is_some_and(out_of_descriptors) => {
                Err(Outcome::Skipped)
            }
            _ => Err(Outcome::NotConnected),
        }
    }

    /// Sends one attempt and waits for its end. `wanted` says whether request and backend still stand.
    /// A connection that may be kept comes back.
    pub async fn attempt(&self, errand: &Errand, wanted: impl Fn() -> bool) -> (Finish, Option<Conn>) {
        let (mut conn, age) = match self.connection(errand.backend, errand.address, errand.until).await {
            Ok(found) => found,
            Err(outcome) => return (outcome.into(), None),
        };
        // The handshake took time: a drain told meanwhile holds for this send too.
        if !wanted() {
            return (Outcome::NotConnected.into(), None);
        }
        let (written, read) = (conn.socket.written(), conn.socket.read());
        let left = errand.until.saturating_duration_since(Instant::now());
        let request = errand.call.request(errand.address, left);
        let answer = tokio::time::timeout(left, conn.exchange(request, BODY_LIMIT, BODY_TIME)).await;
        // Silence tells nothing of the connection.
        if let Ok(end) = &answer {
            let broke = matches!(end, Err(Failure::Broken(_))) && conn.socket.read() == read;
            self.ages.borrow_mut().note(age, broke);
        }
        let outcome = match answer {
            Ok(Ok(answer)) => return (finish(answer, errand.dialect), Some(conn)),
            // Not one byte of it left this node: it never ran.
            _ if conn.socket.written() == written => Outcome::NotConnected,
            // What was written may have run. A backend that says anything at all is not silent.
            Err(_) if conn.socket.read() == read => Outcome::TimedOut,
            Err(_) | Ok(Err(Failure::Spoilt)) => Outcome::Error,
            Ok(Err(Failure::Broken(_))) => {
                self.release(errand.backend);
                Outcome::Reset
            }
        };
        (outcome.into(), None)
    }

    /// Asks a backend whether it is there.
    pub async fn probe(
        &self,
        backend: BackendId,
        address: SocketAddr,
        path: &'static str,
    ) -> (Finish, Option<Conn>) {
        let until = Instant::now() + PROBE_LIMIT;
        let (mut conn, _) = match self.connection(backend, address, until).await {
            Ok(found) => found,
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
        match tokio::time::timeout(left, conn.exchange(request, BODY_LIMIT, BODY_TIME)).await {
            Err(_) => {
                self.release(backend);
                (Outcome::TimedOut.into(), None)
            }
            Ok(Err(Failure::Spoilt)) => (Outcome::Error.into(), None),
            Ok(Err(Failure::Broken(_))) => {
                self.release(backend);
                (Outcome::Reset.into(), None)
            }
            Ok(Ok(answer)) => {
                let text = String::from_utf8_lossy(answer.body()).into_owned();
                let mut end = finish(answer, Dialect::Platform);
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
    for name in OWN_HEADERS {
        headers.remove(name);
    }
    headers
}

/// What a backend's whole answer says.
fn finish(answer: Response<Bytes>, dialect: Dialect) -> Finish {
    let (mut head, body) = answer.into_parts();
    let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
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
