//! A client's request, turned from head and body into what the decisions and a backend need, or turned away.
//!
//! What is turned away costs no backend anything and is answered at once. Its connection ends with the answer:
//! the rest of what such a client sends is not wanted, and may not mean what it seems to.

use applemill_operator::{Operator, RunningPool, Version};
use applemill_routes::{self as routes, Found, Header, normal_host, normal_path};
use applemill_upstream::names::{
    CUSTOMER, EXPIRES, IDEMPOTENCY_KEY, OBJECT, QOS, SECOND_TRY, SIZE_HINT, TRACE_ID,
};
use applemill_upstream::{BODY_LIMIT, Call, end_to_end, without_own};
use birchspoke::interface::{Class, Effect, Request as Asked, RequestId};
use birchspoke::wire::stable_hash;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode, Uri};
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The client counts from its send, this node from the arrival: time for the way here, the answer's way
/// back, and this loop. The decisions end a request so long before the client gives up.
const MARGIN: Duration = Duration::from_millis(4);
/// And so long before, the node ends what the decisions have not.
const LAST_MARGIN: Duration = Duration::from_millis(1);
/// A body that is not there so long after its head is not waited for.
const BODY_TIME: Duration = Duration::from_millis(600);
/// When to come back to a node that is full.
const FULL_FOR: &str = "1";

/// An answer of this node's own.
pub type Own = Response<Full<Bytes>>;

/// An answer with a fixed text.
pub fn plain(status: StatusCode, text: &'static str) -> Own {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The same, and the end of its connection.
pub fn farewell(status: StatusCode, text: &'static str) -> Own {
    let mut response = plain(status, text);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Why a request is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turned {
    /// It is wrong, and this tells how.
    Wrong(StatusCode, &'static str),
    /// This node holds all that it can.
    Full,
}

impl From<Turned> for Own {
    fn from(turned: Turned) -> Own {
        match turned {
            Turned::Wrong(status, text) => farewell(status, text),
            Turned::Full => {
                let mut response = farewell(StatusCode::SERVICE_UNAVAILABLE, "full, try again later\n");
                response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(FULL_FOR));
                response
            }
        }
    }
}

/// The ids of the requests that are open.
#[derive(Clone, Default)]
struct Ids(Rc<RefCell<HashSet<HeaderValue>>>);

/// An id's place among those, given up when dropped.
pub struct OpenId {
    ids: Ids,
    id: HeaderValue,
}

impl Ids {
    /// None for an id that an open request has.
    fn open(&self, id: HeaderValue) -> Option<OpenId> {
        let new = self.0.borrow_mut().insert(id.clone());
        new.then(|| OpenId { ids: self.clone(), id })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}

/// Held for as long as a request is open.
pub struct Held {
    _id: Option<OpenId>,
    _version: Option<Rc<Version>>,
}

/// A request as it was read.
pub struct Reading {
    /// The number of its pool.
    pub pool: usize,
    /// What the decisions need.
    pub asked: Asked,
    /// What goes on to a backend.
    pub call: Call,
    /// When the decisions must have ended it.
    pub deadline: Instant,
    /// When this node does so without them.
    pub expires: Instant,
    /// Held for as long as the request is open.
    pub held: Held,
}

/// A request whose head is read.
struct Headed {
    pool: usize,
    asked: Asked,
    id: Option<HeaderValue>,
    version: Option<Rc<Version>>,
    /// What its body's length is told to be, and may be.
    length: Option<usize>,
    limit: usize,
    /// How long its client waits.
    wait: Duration,
    method: Method,
    target: Uri,
    headers: HeaderMap,
}

/// Reads requests.
pub struct Reader {
    pools: Rc<[RunningPool]>,
    /// The platform's; none where there is none.
    classes: Vec<Class>,
    operator: Option<Rc<Operator>>,
    ids: Ids,
    /// Bytes that all bodies together may still take.
    room: Arc<Semaphore>,
}

fn wrong(text: &'static str) -> Turned {
    Turned::Wrong(StatusCode::BAD_REQUEST, text)
}

/// The platform's requests come here.
fn is_platforms(path: &str) -> bool {
    path.strip_prefix("/api").is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// A header that is there once and is text.
fn once<'h>(headers: &'h HeaderMap, name: &str) -> Header<'h> {
    let mut all = headers.get_all(name).iter();
    match (all.next(), all.next()) {
        (None, _) => Header::Absent,
        (Some(value), None) => value.to_str().map_or(Header::Unclear, Header::Once),
        _ => Header::Unclear,
    }
}

/// Clients tell lengths: of a request with both framings hyper has taken the length away by now, so that one cannot
/// be told from one with the other framing alone.
fn no_codings(head: &Parts) -> Result<(), Turned> {
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(Turned::Wrong(StatusCode::LENGTH_REQUIRED, "no transfer codings\n"));
    }
    Ok(())
}

/// The length of a body as it is told, or what it is where none is told.
fn length(head: &Parts, absent: Option<usize>) -> Result<Option<usize>, Turned> {
    match head.headers.get(CONTENT_LENGTH) {
        None if absent.is_some() => Ok(absent),
        None => Err(Turned::Wrong(StatusCode::LENGTH_REQUIRED, "Content-Length is missing\n")),
        Some(length) => Ok(length.to_str().ok().and_then(|l| l.parse().ok())),
    }
}

impl Reader {
    /// `classes` are the platform's, empty where no platform is; `room` is what all the bodies of open requests may
    /// take, in bytes.
    pub fn new(
        pools: Rc<[RunningPool]>,
        classes: Vec<Class>,
        operator: Option<Rc<Operator>>,
        room: usize,
    ) -> Reader {
        let room = Arc::new(Semaphore::new(room.clamp(BODY_LIMIT, Semaphore::MAX_PERMITS)));
        Reader { pools, classes, operator, ids: Ids::default(), room }
    }

    /// Reads and checks a request. What is wrong with it is answered here; no backend hears of it.
    pub async fn read(&self, arrived: Instant, head: Parts, body: Incoming) -> Result<Reading, Turned> {
        let headed = if !self.classes.is_empty() && is_platforms(head.uri.path()) {
            self.platform(head)?
        } else if let Some(operator) = &self.operator {
            self.routed(head, &operator.current())?
        } else {
            return Err(Turned::Wrong(StatusCode::NOT_FOUND, "no such path\n"));
        };
        self.whole(arrived, headed, body).await
    }

    /// A request in the platform's form.
    fn platform(&self, head: Parts) -> Result<Headed, Turned> {
        let header = |name: HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
        no_codings(&head)?;
        let Some(id) = head.headers.get(TRACE_ID).filter(|id| !id.is_empty()).cloned() else {
            return Err(wrong("X-Trace-Id is missing\n"));
        };
        let Some(pool) = self.pools.first() else { return Err(Turned::Full) };
        let class = pool.names.class(header(QOS).unwrap_or_default());
        let Some(known) = self.classes.get(class) else {
            return Err(wrong("X-Qos names no class\n"));
        };
        let length = length(&head, (head.method == Method::GET).then_some(0))?;
        let keyed = head.headers.contains_key(IDEMPOTENCY_KEY);
        // The class tells how often the request may run; a method that says otherwise is a mistake, and
        // taking it for either could run something twice.
        let agrees = match known.effect {
            Effect::Safe => head.method == Method::GET && length == Some(0),
            Effect::Keyed(_) => head.method == Method::POST && keyed,
            Effect::Unsafe => head.method == Method::POST && !keyed,
        };
        if !agrees {
            return Err(wrong("method, body and Idempotency-Key do not agree with the class\n"));
        }
        // No client waits longer than its class allows.
        let class_wait = wait_of(known.deadline_ms);
        let wait = match head.headers.get(EXPIRES) {
            None => class_wait,
            Some(wait) => match wait.to_str().ok().and_then(|v| v.trim().parse().ok()) {
                Some(ms) => class_wait.min(Duration::from_millis(ms)),
                None => return Err(wrong("X-Expires-In-Ms is no number of milliseconds\n")),
            },
        };
        let effort = header(SIZE_HINT).and_then(|v| v.trim().parse::<f64>().ok());
        let asked = Asked {
            id: RequestId(0),
            class,
            tenant: header(CUSTOMER).and_then(|t| pool.names.tenant(t)),
            key: header(OBJECT).map(stable_hash),
            deadline_ms: 0.0,
            effort_ms: effort.filter(|e| e.is_finite()).map(|us| us / 1000.0),
            retry: header(SECOND_TRY) == Some("1"),
        };
        let target =
            head.uri.path_and_query().map_or_else(|| Uri::from_static("/"), |p| Uri::from(p.clone()));
        Ok(Headed {
            pool: 0,
            asked,
            id: Some(id),
            version: None,
            length,
            limit: BODY_LIMIT,
            wait,
            method: head.method,
            target,
            headers: without_own(head.headers),
        })
    }

    /// Any HTTP request, by the route that takes it. What two programs could take for two things is refused.
    fn routed(&self, head: Parts, version: &Rc<Version>) -> Result<Headed, Turned> {
        no_codings(&head)?;
        let length = length(&head, Some(0))?;
        let Ok(path) = normal_path(head.uri.path()) else {
            return Err(wrong("the path could mean two things\n"));
        };
        // In its normal form it may turn out to be the platform's, whose form it does not have.
        if !self.classes.is_empty() && is_platforms(&path) {
            return Err(wrong("the path could mean two things\n"));
        }
        let host = match (head.uri.authority(), once(&head.headers, "host")) {
            (_, Header::Unclear) => return Err(wrong("Host is there twice, or is no text\n")),
            (Some(authority), _) => Some(authority.as_str()),
            (None, Header::Once(host)) => Some(host),
            (None, Header::Absent) => None,
        };
        let host = match host.map(normal_host) {
            Some(None) => return Err(wrong("Host is no host\n")),
            Some(Some(host)) => Some(host),
            None => None,
        };
        let header = |name: &str| once(&head.headers, name);
        let asked = routes::Asked {
            host: host.as_deref(),
            path: &path,
            method: head.method.as_str(),
            header: &header,
        };
        let route = match version.rules.find(&asked) {
            Found::Route(route) => route,
            Found::Nothing => return Err(Turned::Wrong(StatusCode::NOT_FOUND, "no route takes this\n")),
            Found::Unclear(_) => return Err(wrong("a header that the route goes by is there twice\n")),
        };
        let Some(chosen) = version.rules.routes.get(route) else { return Err(Turned::Full) };
        let chosen = match figure(&chosen.effective.class_from, &path, &head.headers)? {
            None => chosen,
            Some(name) => chosen.by_class.get(name).ok_or(wrong("the request names no class\n"))?,
        };
        let Some(way) = version.way(chosen, &self.pools) else { return Err(Turned::Full) };
        let Some(pool) = self.pools.get(way.pool) else { return Err(Turned::Full) };
        let figures = Figures::read(&chosen.effective, &path, &head.headers)?;
        let class = chosen.effective.class.as_ref().and_then(|c| version.rules.file.classes.get(c.value));
        let keyed = class.and_then(|c| c.effect.as_ref()).is_some_and(|e| e.value == routes::Effect::Keyed);
        if keyed && !matches!(once(&head.headers, "idempotency-key"), Header::Once(key) if !key.is_empty())
        {
            return Err(wrong("Idempotency-Key is missing, or is there twice\n"));
        }
        let id = head.headers.get(TRACE_ID).filter(|id| !id.is_empty()).cloned();
        let class_wait = wait_of(chosen.effective.deadline_ms.value);
        let asked = Asked {
            id: RequestId(0),
            class: way.class,
            tenant: figures.tenant.and_then(|t| pool.names.tenant(t)),
            key: figures.key.map(stable_hash),
            deadline_ms: 0.0,
            effort_ms: None,
            retry: false,
        };
        let target = match head.uri.query() {
            Some(query) => Uri::try_from(format!("{path}?{query}")),
            None => Uri::try_from(path.as_ref()),
        };
        Ok(Headed {
            pool: way.pool,
            asked,
            id,
            version: Some(version.clone()),
            length,
            limit: usize::try_from(chosen.effective.body_limit.value).unwrap_or(BODY_LIMIT).min(BODY_LIMIT),
            wait: figures.patience.map_or(class_wait, |p| class_wait.min(p)),
            target: target.map_err(|_| wrong("the path could mean two things\n"))?,
            method: head.method,
            headers: end_to_end(head.headers),
        })
    }

    /// The body, and all that is owed from then on.
    async fn whole(&self, arrived: Instant, headed: Headed, body: Incoming) -> Result<Reading, Turned> {
        let Headed { pool, asked, id, version, length, limit, wait, method, target, headers } = headed;
        if length.is_none_or(|l| l > limit) {
            return Err(Turned::Wrong(StatusCode::PAYLOAD_TOO_LARGE, "the body is over the limit\n"));
        }
        let expires = arrived + wait.saturating_sub(LAST_MARGIN);
        let whole = collect(body, &self.room);
        let (body, room) = match tokio::time::timeout_at(expires.min(arrived + BODY_TIME).into(), whole)
            .await
        {
            Ok(Ok(whole)) => whole,
            Ok(Err(Unread::NoRoom)) => return Err(Turned::Full),
            Ok(Err(Unread::Broken)) => return Err(wrong("the body cannot be read\n")),
            Err(_) => {
                return Err(Turned::Wrong(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n"));
            }
        };
        // Whoever holds back its body holds no id.
        let id = match id.map(|id| self.ids.open(id)) {
            Some(None) => {
                return Err(Turned::Wrong(StatusCode::CONFLICT, "an open request has this X-Trace-Id\n"));
            }
            Some(id) => id,
            None => None,
        };
        let call = Call { method, target, headers, body, _room: room };
        let held = Held { _id: id, _version: version };
        Ok(Reading { pool, asked, call, deadline: arrived + wait.saturating_sub(MARGIN), expires, held })
    }
}

fn wait_of(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 6e5) / 1000.0)
}

/// What a route reads from a request, where it says.
struct Figures<'h> {
    tenant: Option<&'h str>,
    key: Option<&'h str>,
    patience: Option<Duration>,
}

impl<'h> Figures<'h> {
    fn read(
        route: &'h routes::Effective,
        path: &'h str,
        headers: &'h HeaderMap,
    ) -> Result<Figures<'h>, Turned> {
        let patience = match figure(&route.patience_from, path, headers)? {
            None => None,
            Some(text) => match text.trim().parse() {
                Ok(ms) => Some(Duration::from_millis(ms)),
                Err(_) => return Err(wrong("the client's patience is no number of milliseconds\n")),
            },
        };
        let (tenant, key) = (figure(&route.tenant, path, headers)?, figure(&route.key, path, headers)?);
        Ok(Figures { tenant, key, patience })
    }
}

/// What stands where a route says; none where nothing does.
fn figure<'h>(
    source: &'h Option<routes::Held<routes::Source>>,
    path: &'h str,
    headers: &'h HeaderMap,
) -> Result<Option<&'h str>, Turned> {
    let found = match source.as_ref().map(|s| &s.value) {
        None => None,
        Some(routes::Source::Value(text)) => Some(text.as_str()),
        // The first piece is what stands before the first slash: nothing.
        Some(routes::Source::Segment(n)) => path.split('/').nth(*n),
        Some(routes::Source::Header(name)) => match once(headers, name) {
            Header::Absent => None,
            Header::Once(text) => Some(text),
            Header::Unclear => return Err(wrong("a header that the route reads is there twice\n")),
        },
    };
    Ok(found.filter(|text| !text.is_empty()))
}

/// Why a body was not read.
enum Unread {
    NoRoom,
    Broken,
}

/// A whole body, no longer than its head has said. It takes room as it comes: what is announced and held back
/// takes none from others.
async fn collect(
    mut body: Incoming,
    room: &Arc<Semaphore>,
) -> Result<(Bytes, Option<OwnedSemaphorePermit>), Unread> {
    let mut kept = BytesMut::new();
    let mut held: Option<OwnedSemaphorePermit> = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Unread::Broken)?.into_data() else { continue };
        let more = room.clone().try_acquire_many_owned(data.len() as u32).map_err(|_| Unread::NoRoom)?;
        match &mut held {
            Some(held) => held.merge(more),
            None => held = Some(more),
        }
        kept.extend_from_slice(&data);
    }
    Ok((kept.freeze(), held))
}
