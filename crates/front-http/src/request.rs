//! Parses a client's request into the input for the balancer and the request for a backend, or rejects it.
//!
//! A rejected request is answered at once and reaches no backend. Its connection is closed after the answer:
//! the bytes that follow an invalid request cannot be trusted to be another request.

use crate::buffered_body::{BodyError, read_body};
use crate::head::{declared_length, forwarded_headers, host, reject_transfer_encoding, streamed_length};
use crate::open_ids::{ClientRequestId, IdConflict, KeepId, OpenIdGuard, OpenIds};
use crate::rejection::{BODY_TOO_LARGE, Rejection, invalid};
use crate::request_memory::RequestMemory;
use crate::route_fields::{RequestSources, RouteFields, single_header};
use crate::upload::Upload;
use applemill_balancer::interface::{Class, Effect, Request as BalancerRequest, RequestId};
use applemill_balancer::wire::stable_hash;
use applemill_blame::RequestTraits;
use applemill_flow::{Memory, MinRate, StreamLimits};
use applemill_operator::{ConfigVersion, Operator, RunningPool};
use applemill_routes::{self as routes, Found, Header, normal_path};
use applemill_socket::ClientIdentity;
use applemill_upstream::headers::{
    CUSTOMER, EXPIRES, IDEMPOTENCY_KEY, OBJECT, QOS, SECOND_TRY, SIZE_HINT, TRACE_ID,
};
use applemill_upstream::{
    BODY_LIMIT, Body, Call, RequestDeadlines, StreamPool, StreamedAnswer, without_connection_headers,
};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long before the client's time-out the balancer ends a request. The client counts from when it sends
/// and this node from the arrival: the margin covers the network in both directions and delays of the event
/// loop.
const DEADLINE_MARGIN: Duration = Duration::from_millis(4);
/// How long before the client's time-out the ledger ends a request that the balancer has not ended.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1);
/// Time-out for a buffered body, from the arrival of its head.
const BODY_TIMEOUT: Duration = Duration::from_millis(600);
/// How many characters of a tenant or key are kept for display.
const MAX_SHOWN_CHARS: usize = 64;

/// Held while a request is open: its id stays reserved and its configuration version in use.
pub struct RequestGuard {
    pub(crate) id: Option<OpenIdGuard>,
    _version: Option<Rc<ConfigVersion>>,
}

/// A parsed request.
pub struct ParsedRequest {
    /// The index of the pool.
    pub pool: usize,
    /// The request as the balancer sees it.
    pub request: BalancerRequest,
    /// The traits that failures may be attributed to.
    pub traits: Option<Rc<RequestTraits>>,
    /// The request that is sent to a backend.
    pub call: Call,
    /// The deadlines.
    pub deadlines: RequestDeadlines,
    /// The body, if it is streamed.
    pub upload: Option<Upload>,
    /// Must be held while the request is open.
    pub guard: RequestGuard,
}

/// A parsed request head.
struct RequestHead {
    pool: usize,
    request: BalancerRequest,
    traits: Option<Rc<RequestTraits>>,
    id: Option<ClientRequestId>,
    version: Option<Rc<ConfigVersion>>,
    /// The declared length of the body; `None` with chunked encoding.
    declared_length: Option<u64>,
    limit: u64,
    /// The limits of streamed bodies.
    streamed: StreamedBodies,
    /// How long the client waits for the answer.
    wait: Duration,
    method: Method,
    target: Uri,
    headers: HeaderMap,
}

/// The limits for a streamed request body and answer; `None` where the body is buffered.
#[derive(Clone, Copy, Default)]
struct StreamedBodies {
    body: Option<StreamLimits>,
    answer: Option<StreamLimits>,
}

impl StreamedBodies {
    fn of(route: &routes::Effective) -> StreamedBodies {
        let values = &route.streams;
        let stream_limits = |max_bytes: u64, replay_bytes: u64| StreamLimits {
            max_bytes,
            buffer_bytes: usize::try_from(values.hold.value).unwrap_or(BODY_LIMIT),
            replay_bytes: usize::try_from(replay_bytes).unwrap_or(0),
            min_rate: Some(MinRate { bytes: values.pace.value, window_ms: values.pace_window_ms.value }),
            max_duration_ms: values.time_ms.value,
        };
        let is_streamed = |mode: routes::Mode| mode == routes::Mode::Stream;
        StreamedBodies {
            body: is_streamed(values.body.value)
                .then(|| stream_limits(route.body_limit.value, values.replay.value)),
            answer: is_streamed(values.answer.value).then(|| stream_limits(values.answer_limit.value, 0)),
        }
    }
}

/// Reads and validates requests.
pub struct RequestReader {
    pools: Rc<[RunningPool]>,
    /// The platform's classes; empty without a platform.
    classes: Vec<Class>,
    operator: Option<Rc<Operator>>,
    open_ids: OpenIds,
    /// The memory limit for all bodies together.
    memory: Memory,
    stream_pool: StreamPool,
}

/// Whether the path belongs to the platform's API.
fn is_platform_path(path: &str) -> bool {
    path.strip_prefix("/api").is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

impl RequestReader {
    /// `classes` are the platform's classes, empty without a platform; `kept_ids` ids are kept of requests that
    /// may have run and must not run again; `memory` limits the bodies of open
    /// requests.
    pub fn new(
        pools: Rc<[RunningPool]>,
        classes: Vec<Class>,
        operator: Option<Rc<Operator>>,
        kept_ids: usize,
        memory: Memory,
        stream_pool: StreamPool,
    ) -> RequestReader {
        RequestReader { pools, classes, operator, open_ids: OpenIds::new(kept_ids), memory, stream_pool }
    }

    /// Reads and validates a request.
    ///
    /// # Errors
    /// The request is rejected; no backend receives it.
    pub async fn read(
        &self,
        arrived: Instant,
        head: Parts,
        body: Incoming,
        caller: Option<&ClientIdentity>,
    ) -> Result<ParsedRequest, Rejection> {
        let request_head = if !self.classes.is_empty() && is_platform_path(head.uri.path()) {
            self.parse_platform(head)?
        } else if let Some(operator) = &self.operator {
            self.parse_routed(head, &operator.current(), caller)?
        } else {
            return Err(Rejection::Invalid(StatusCode::NOT_FOUND, "no such path\n"));
        };
        if request_head.streamed.body.is_some() || request_head.streamed.answer.is_some() {
            self.read_streamed(arrived, request_head, body).await
        } else {
            self.read_buffered(arrived, request_head, body).await
        }
    }

    /// Parses the head of a request in the platform's format.
    fn parse_platform(&self, head: Parts) -> Result<RequestHead, Rejection> {
        let header = |name: HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
        reject_transfer_encoding(&head)?;
        let Some(id) = head.headers.get(TRACE_ID).filter(|id| !id.is_empty()).cloned() else {
            return Err(invalid("X-Trace-Id is missing\n"));
        };
        let Some(pool) = self.pools.first() else { return Err(Rejection::Overloaded) };
        let class = pool.names.class(header(QOS).unwrap_or_default());
        let Some(class_info) = self.classes.get(class) else {
            return Err(invalid("X-Qos names no class\n"));
        };
        host(&head)?;
        let declared_length = declared_length(&head, (head.method == Method::GET).then_some(0))?;
        let keyed = head.headers.contains_key(IDEMPOTENCY_KEY);
        // The class says whether the request may run more than once. If the method contradicts it, following
        // either could run something twice.
        let consistent = match class_info.effect {
            Effect::Safe => head.method == Method::GET && declared_length == 0,
            Effect::Keyed(_) => head.method == Method::POST && keyed,
            Effect::Unsafe => head.method == Method::POST && !keyed,
        };
        if !consistent {
            return Err(invalid("method, body and Idempotency-Key do not agree with the class\n"));
        }
        // The class limits how long a client waits.
        let class_wait = wait_duration(class_info.deadline_ms);
        let wait = match head.headers.get(EXPIRES) {
            None => class_wait,
            Some(wait) => match wait.to_str().ok().and_then(|v| v.trim().parse().ok()) {
                Some(ms) => class_wait.min(Duration::from_millis(ms)),
                None => return Err(invalid("X-Expires-In-Ms is no number of milliseconds\n")),
            },
        };
        let effort = header(SIZE_HINT).and_then(|v| v.trim().parse::<f64>().ok());
        let request = BalancerRequest {
            id: RequestId(0),
            class,
            tenant: header(CUSTOMER).and_then(|t| pool.names.tenant(t)),
            key: header(OBJECT).map(stable_hash),
            deadline_ms: 0.0,
            effort_ms: effort.filter(|e| e.is_finite()).map(|us| us / 1000.0),
            retry: header(SECOND_TRY) == Some("1"),
            suspect: false,
        };
        let target =
            head.uri.path_and_query().map_or_else(|| Uri::from_static("/"), |p| Uri::from(p.clone()));
        Ok(RequestHead {
            pool: 0,
            request,
            traits: None,
            id: Some(ClientRequestId { value: id, keep: KeepId::for_platform(class_info.effect) }),
            version: None,
            declared_length: Some(declared_length),
            limit: BODY_LIMIT as u64,
            streamed: StreamedBodies::default(),
            wait,
            method: head.method,
            target,
            headers: without_connection_headers(head.headers),
        })
    }

    /// Any HTTP request, by the route that takes it. What two programs could take for two things is refused.
    fn parse_routed(
        &self,
        head: Parts,
        version: &Rc<ConfigVersion>,
        caller: Option<&ClientIdentity>,
    ) -> Result<RequestHead, Rejection> {
        let Ok(path) = normal_path(head.uri.path()) else {
            return Err(invalid("the path could mean two things\n"));
        };
        // After normalization the path may belong to the platform, but the request is not in the platform's
        // format.
        if !self.classes.is_empty() && is_platform_path(&path) {
            return Err(invalid("the path could mean two things\n"));
        }
        let host = host(&head)?;
        let header = |name: &str| single_header(&head.headers, name);
        let query = routes::RouteQuery {
            host: host.as_deref(),
            path: &path,
            method: head.method.as_str(),
            header: &header,
        };
        let route = match version.rules.find(&query) {
            Found::Route(route) => route,
            Found::Nothing => {
                return Err(Rejection::Invalid(StatusCode::NOT_FOUND, "no route takes this\n"));
            }
            Found::Unclear(_) => return Err(invalid("a header that the route goes by is there twice\n")),
        };
        let Some(matched) = version.rules.routes.get(route) else { return Err(Rejection::Overloaded) };
        let sources = RequestSources { path: &path, headers: &head.headers, caller };
        let matched = match sources.value(&matched.effective.class_from)? {
            None => matched,
            Some(name) => matched.by_class.get(name).ok_or(invalid("the request names no class\n"))?,
        };
        let streamed = StreamedBodies::of(&matched.effective);
        let declared_length = if streamed.body.is_some() {
            streamed_length(&head)?
        } else {
            reject_transfer_encoding(&head)?;
            Some(declared_length(&head, Some(0))?)
        };
        let Some(route_target) = version.target(matched, &self.pools) else {
            return Err(Rejection::Overloaded);
        };
        let Some(pool) = self.pools.get(route_target.pool) else { return Err(Rejection::Overloaded) };
        let fields = RouteFields::read(&matched.effective, &sources)?;
        let class = matched.effective.class.as_ref().and_then(|c| version.rules.file.classes.get(c.value));
        let keyed = class.and_then(|c| c.effect.as_ref()).is_some_and(|e| e.value == routes::Effect::Keyed);
        if keyed && !matches!(header("idempotency-key"), Header::Once(key) if !key.is_empty()) {
            return Err(invalid("Idempotency-Key is missing, or is there twice\n"));
        }
        let id = head.headers.get(TRACE_ID).filter(|id| !id.is_empty()).cloned();
        let id = id.map(|value| ClientRequestId { value, keep: KeepId::for_route(class) });
        let class_wait = wait_duration(matched.effective.deadline_ms.value);
        let request = BalancerRequest {
            id: RequestId(0),
            class: route_target.class,
            tenant: fields.tenant.and_then(|t| pool.names.tenant(t)),
            key: fields.key.map(stable_hash),
            deadline_ms: 0.0,
            effort_ms: None,
            retry: false,
            suspect: false,
        };
        let traits = version.route(route).map(|(id, name)| {
            let text = |value: Option<&str>| value.map(|v| Rc::from(truncate_for_display(v)));
            Rc::new(RequestTraits {
                route: Some(*id),
                class: route_target.class as u64,
                tenant: fields.tenant.map(stable_hash),
                key: request.key,
                route_text: Some(name.clone()),
                class_text: text(class.map(|c| c.name.value.as_str())),
                tenant_text: text(fields.tenant),
                key_text: text(fields.key),
            })
        });
        let target = match head.uri.query() {
            Some(query) => Uri::try_from(format!("{path}?{query}")),
            None => Uri::try_from(path.as_ref()),
        };
        Ok(RequestHead {
            pool: route_target.pool,
            request,
            traits,
            id,
            version: Some(version.clone()),
            declared_length,
            limit: match streamed.body {
                Some(stream_limits) => stream_limits.max_bytes,
                None => matched.effective.body_limit.value.min(BODY_LIMIT as u64),
            },
            streamed,
            wait: fields.client_timeout.map_or(class_wait, |timeout| class_wait.min(timeout)),
            target: target.map_err(|_| invalid("the path could mean two things\n"))?,
            method: head.method,
            headers: forwarded_headers(
                head.headers,
                head.uri.authority(),
                streamed.body.is_some(),
                streamed.answer.is_some(),
            ),
        })
    }

    /// Reads a buffered body and completes the request.
    async fn read_buffered(
        &self,
        arrived: Instant,
        request_head: RequestHead,
        body: Incoming,
    ) -> Result<ParsedRequest, Rejection> {
        let RequestHead {
            pool,
            request,
            traits,
            id,
            version,
            declared_length,
            limit,
            wait,
            method,
            target,
            headers,
            ..
        } = request_head;
        let Some(declared_bytes) =
            declared_length.filter(|l| *l <= limit).and_then(|l| usize::try_from(l).ok())
        else {
            return Err(BODY_TOO_LARGE);
        };
        let mut memory = RequestMemory::new(&self.memory);
        memory.add_head(&headers).map_err(|_| Rejection::Overloaded)?;
        let expires = arrived + wait.saturating_sub(EXPIRY_MARGIN);
        let reading = read_body(body, declared_bytes, &mut memory);
        let body = match tokio::time::timeout_at(expires.min(arrived + BODY_TIMEOUT).into(), reading).await
        {
            Ok(Ok(received)) => received,
            Ok(Err(BodyError::OutOfMemory)) => return Err(Rejection::Overloaded),
            Ok(Err(BodyError::ReadFailed)) => return Err(invalid("the body cannot be read\n")),
            Err(_) => {
                return Err(Rejection::Invalid(
                    StatusCode::REQUEST_TIMEOUT,
                    "the body did not come in time\n",
                ));
            }
        };
        // The id is reserved only now: a client that delays its body must not hold one.
        let guard = RequestGuard { id: self.open_id(id)?, _version: version };
        let call = Call {
            method,
            target,
            headers,
            body: Body::Buffered(body, memory.into_reservation()),
            answer: None,
        };
        let deadlines = RequestDeadlines {
            deadline: arrived + wait.saturating_sub(DEADLINE_MARGIN),
            expires,
            upload: None,
        };
        Ok(ParsedRequest { pool, request, traits, call, deadlines, upload: None, guard })
    }

    fn open_id(&self, id: Option<ClientRequestId>) -> Result<Option<OpenIdGuard>, Rejection> {
        let opened = id.map(|id| self.open_ids.open(id)).transpose();
        opened.map_err(|conflict| {
            let text = match conflict {
                IdConflict::Open => "an open request has this X-Trace-Id\n",
                IdConflict::MayHaveRun => "a request with this X-Trace-Id may have run\n",
            };
            Rejection::Invalid(StatusCode::CONFLICT, text)
        })
    }

    /// Completes a request with a streamed body or answer. Memory is reserved now, so that no stream starts
    /// without it.
    async fn read_streamed(
        &self,
        arrived: Instant,
        request_head: RequestHead,
        body: Incoming,
    ) -> Result<ParsedRequest, Rejection> {
        let answer = match request_head.streamed.answer {
            Some(stream_limits) => {
                let reservation = self.memory.reserve_stream().map_err(|_| Rejection::Overloaded)?;
                Some(StreamedAnswer { stream_limits, reservation: Cell::new(Some(reservation)) })
            }
            None => None,
        };
        let body_is_empty = request_head.declared_length == Some(0);
        let Some(stream_limits) = request_head.streamed.body.filter(|_| !body_is_empty) else {
            let mut parsed = self.read_buffered(arrived, request_head, body).await?;
            parsed.call.answer = answer;
            return Ok(parsed);
        };
        let RequestHead {
            pool,
            request,
            traits,
            id,
            version,
            declared_length,
            limit,
            wait,
            method,
            target,
            headers,
            ..
        } = request_head;
        if declared_length.is_some_and(|l| l > limit) {
            return Err(BODY_TOO_LARGE);
        }
        let reservation = self.memory.reserve_stream().map_err(|_| Rejection::Overloaded)?;
        let guard = RequestGuard { id: self.open_id(id)?, _version: version };
        let (writer, reader) = self.stream_pool.open(stream_limits, reservation);
        let call = Call {
            method,
            target,
            headers,
            body: Body::Streamed(reader.into_replay(), declared_length),
            answer,
        };
        // The client's waiting time starts when it has sent its last byte, as for any other request
        // (PROTOCOL); until then the stream's minimum rate applies.
        let latest_end = arrived + Duration::from_secs_f64(stream_limits.max_duration_ms / 1000.0) + wait;
        let deadlines = RequestDeadlines {
            deadline: latest_end.checked_sub(DEADLINE_MARGIN).unwrap_or(latest_end),
            expires: latest_end.checked_sub(EXPIRY_MARGIN).unwrap_or(latest_end),
            upload: Some(wait.saturating_sub(EXPIRY_MARGIN)),
        };
        Ok(ParsedRequest {
            pool,
            request,
            traits,
            call,
            deadlines,
            upload: Some(Upload { body, writer, chunked: declared_length.is_none() }),
            guard,
        })
    }
}

/// Shortens a value for pages and log lines.
fn truncate_for_display(value: &str) -> &str {
    value.char_indices().nth(MAX_SHOWN_CHARS).and_then(|(end, _)| value.get(..end)).unwrap_or(value)
}

fn wait_duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 6e5) / 1000.0)
}
