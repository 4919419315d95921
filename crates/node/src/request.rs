//! A client's request, turned from head and body into what the decisions and a backend need, or turned away.
//!
//! What is turned away costs no backend anything and is answered at once. Its connection ends with the answer:
//! the rest of what such a client sends is not wanted, and may not mean what it seems to.

use crate::upstream::{BODY_LIMIT, Call, EXPIRES};
use birchspoke::interface::{Class, Effect, Request as Asked, RequestId};
use birchspoke::wire::{Names, stable_hash};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
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

/// Headers that concern one connection only, or that are made anew.
const OWN_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

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

/// This node holds all that it can.
pub fn full() -> Own {
    let mut response = farewell(StatusCode::SERVICE_UNAVAILABLE, "full, try again later\n");
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(FULL_FOR));
    response
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

/// A request as it was read.
pub struct Reading {
    /// What the decisions need.
    pub asked: Asked,
    /// What goes on to a backend.
    pub call: Call,
    /// When the decisions must have ended it.
    pub deadline: Instant,
    /// When this node does so without them.
    pub expires: Instant,
    /// Held for as long as the request is open.
    pub id: OpenId,
}

/// Reads requests.
pub struct Reader {
    names: Rc<Names>,
    classes: Vec<Class>,
    ids: Ids,
    /// Bytes that all bodies together may still take.
    room: Arc<Semaphore>,
}

impl Reader {
    /// `room` is what all the bodies of open requests may take, in bytes.
    pub fn new(names: Rc<Names>, classes: Vec<Class>, room: usize) -> Reader {
        let room = Arc::new(Semaphore::new(room.clamp(BODY_LIMIT, Semaphore::MAX_PERMITS)));
        Reader { names, classes, ids: Ids::default(), room }
    }

    /// Reads and checks a request. What is wrong with it is answered here; no backend hears of it.
    pub async fn read(&self, arrived: Instant, head: Parts, body: Incoming) -> Result<Reading, Own> {
        let wrong = |text| farewell(StatusCode::BAD_REQUEST, text);
        let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        // Clients tell lengths. Of a request with both framings hyper has taken the length away by now, so
        // that one cannot be told from one with the other framing alone.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return Err(farewell(StatusCode::LENGTH_REQUIRED, "no transfer codings\n"));
        }
        let Some(id) = head.headers.get("x-trace-id").filter(|id| !id.is_empty()).cloned() else {
            return Err(wrong("X-Trace-Id is missing\n"));
        };
        let class = self.names.class(header("x-qos").unwrap_or_default());
        let Some(known) = self.classes.get(class) else {
            return Err(wrong("X-Qos names no class\n"));
        };
        let length = match head.headers.get(CONTENT_LENGTH) {
            None if head.method == Method::GET => Some(0),
            None => return Err(farewell(StatusCode::LENGTH_REQUIRED, "Content-Length is missing\n")),
            Some(length) => length.to_str().ok().and_then(|l| l.parse().ok()),
        };
        let keyed = head.headers.contains_key("idempotency-key");
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
        let class_wait = Duration::from_secs_f64(known.deadline_ms.clamp(0.0, 6e5) / 1000.0);
        let wait = match head.headers.get(EXPIRES) {
            None => class_wait,
            Some(wait) => match wait.to_str().ok().and_then(|v| v.trim().parse().ok()) {
                Some(ms) => class_wait.min(Duration::from_millis(ms)),
                None => return Err(wrong("X-Expires-In-Ms is no number of milliseconds\n")),
            },
        };
        if length.is_none_or(|l: usize| l > BODY_LIMIT) {
            return Err(farewell(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n"));
        }
        let expires = arrived + wait.saturating_sub(LAST_MARGIN);
        let whole = collect(body, &self.room);
        let (body, room) = match tokio::time::timeout_at(expires.min(arrived + BODY_TIME).into(), whole)
            .await
        {
            Ok(Ok(whole)) => whole,
            Ok(Err(Unread::NoRoom)) => return Err(full()),
            Ok(Err(Unread::Broken)) => return Err(wrong("the body cannot be read\n")),
            Err(_) => return Err(farewell(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n")),
        };
        // Whoever holds back its body holds no id.
        let Some(id) = self.ids.open(id) else {
            return Err(farewell(StatusCode::CONFLICT, "an open request has this X-Trace-Id\n"));
        };
        let effort = header("x-size-hint").and_then(|v| v.trim().parse::<f64>().ok());
        let asked = Asked {
            id: RequestId(0),
            class,
            tenant: header("x-customer").and_then(|t| self.names.tenant(t)),
            key: header("x-object").map(stable_hash),
            deadline_ms: 0.0,
            effort_ms: effort.filter(|e| e.is_finite()).map(|us| us / 1000.0),
            retry: header("x-second-try") == Some("1"),
        };
        let target =
            head.uri.path_and_query().map_or_else(|| Uri::from_static("/"), |p| Uri::from(p.clone()));
        let call = Call { method: head.method, target, headers: onward(head.headers), body, _room: room };
        Ok(Reading { asked, call, deadline: arrived + wait.saturating_sub(MARGIN), expires, id })
    }
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

/// The headers that go on to a backend.
fn onward(mut headers: HeaderMap) -> HeaderMap {
    for name in OWN_HEADERS {
        headers.remove(name);
    }
    headers
}
