//! The client side: connections, what they ask, and the answers they get.

use crate::driver::{Answer, Driver};
use crate::log;
use crate::socket::{Descriptors, Slot, Socket};
use crate::upstream::{BODY_LIMIT, Call, EXPIRES};
use birchspoke::interface::{Class, Effect, Request as Asked, RequestId};
use birchspoke::wire::{Names, stable_hash};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// The client counts from its send, this node from the arrival: time for the way here, the answer's way
/// back, and this loop. The decisions end a request so long before the client gives up.
const MARGIN: Duration = Duration::from_millis(4);
/// And so long before, the node ends what the decisions have not.
const LAST_MARGIN: Duration = Duration::from_millis(1);
/// A client's wait beyond this is not believed.
const LONGEST_WAIT: Duration = Duration::from_secs(600);
/// A connection whose next head takes longer is closed, idle or not.
const HEAD_LIMIT: Duration = Duration::from_secs(60);
/// Time for the body of a request that is wrong anyhow.
const BODY_TIME: Duration = Duration::from_secs(2);
/// And of one that announces itself as too long, which its client may be holding back.
const LONG_BODY_TIME: Duration = Duration::from_millis(500);
/// How far a body that is too long is read.
const READ_ON: usize = 4 * 1024 * 1024;
/// A connection this young has its first request under way.
const FRESH: Duration = Duration::from_millis(500);
/// Under pressure, a client that has not gone on with a request for so long is in the others' way.
const STUCK: Duration = Duration::from_millis(1000);
/// After the notice to stop: new connections come for up to 0.4 s, and a margin; then until none has come
/// for a moment.
const ACCEPT_ON: Duration = Duration::from_millis(700);
const QUIET: Duration = Duration::from_millis(150);
/// But so long at most: SIGKILL would find unanswered what is taken later.
const ACCEPT_END: Duration = Duration::from_millis(1500);

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

/// One client connection.
struct Client {
    socket: Socket,
    busy: Cell<bool>,
    idle_since: Cell<Instant>,
    /// Bytes read when it last turned idle.
    read: Cell<u64>,
    /// When it was first looked at with a request begun and not read whole.
    stuck_since: Cell<Option<Instant>>,
    close: Notify,
}

impl Client {
    /// Nothing asked, nothing being read, nothing waiting to be read. Who has just connected is about to ask.
    fn idle(&self) -> bool {
        let fresh = self.socket.read() == 0 && self.idle_since.get().elapsed() < FRESH;
        !fresh && !self.busy.get() && self.socket.read() == self.read.get() && self.socket.quiet()
    }

    /// Has begun a request long ago and not gone on with it.
    fn stuck(&self) -> bool {
        if self.busy.get() || self.socket.read() == self.read.get() {
            return false;
        }
        let seen = self.stuck_since.get().unwrap_or_else(Instant::now);
        self.stuck_since.set(Some(seen));
        seen.elapsed() > STUCK
    }
}

/// Marks a connection as busy for as long as a request is on it.
struct Busy(Rc<Client>);

impl Busy {
    fn new(client: Rc<Client>) -> Busy {
        client.busy.set(true);
        client.stuck_since.set(None);
        Busy(client)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.idle_since.set(Instant::now());
        self.0.read.set(self.0.socket.read());
    }
}

/// A client's place among those connected: given up however its task ends, or its descriptor would stay.
struct Listed {
    server: Rc<Server>,
    number: u64,
}

impl Drop for Listed {
    fn drop(&mut self) {
        let client = self.server.clients.borrow_mut().remove(&self.number);
        drop(client);
        self.server.closed.notify_one();
    }
}

/// The client side of the node.
pub struct Server {
    driver: Rc<Driver>,
    names: Rc<Names>,
    classes: Vec<Class>,
    open_cap: usize,
    descriptors: Rc<Descriptors>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    stopping: Cell<Option<Instant>>,
    stop: Notify,
    closed: Notify,
}

impl Server {
    /// A server with no clients yet.
    pub fn new(
        driver: Rc<Driver>,
        names: Rc<Names>,
        classes: Vec<Class>,
        open_cap: usize,
        descriptors: Rc<Descriptors>,
    ) -> Rc<Server> {
        let server = Rc::new(Server {
            driver,
            names,
            classes,
            open_cap,
            descriptors: descriptors.clone(),
            clients: RefCell::default(),
            next: Cell::new(0),
            stopping: Cell::new(None),
            stop: Notify::new(),
            closed: Notify::new(),
        });
        let weak = Rc::downgrade(&server);
        descriptors.on_pressure(Box::new(move || {
            if let Some(server) = weak.upgrade() {
                server.close_longest_idle();
            }
            // It closes when its task has its turn, not at once.
            false
        }));
        server
    }

    /// Makes room: of what may be closed, the one that has asked for nothing the longest.
    fn close_longest_idle(&self) {
        let clients = self.clients.borrow();
        let mut order: Vec<&Rc<Client>> = clients.values().filter(|c| !c.busy.get()).collect();
        order.sort_by_key(|c| c.idle_since.get());
        if let Some(client) = order.into_iter().find(|c| c.idle() || c.stuck()) {
            client.close.notify_one();
        }
    }

    fn close_idle(&self) {
        for client in self.clients.borrow().values().filter(|c| c.idle()) {
            client.close.notify_one();
        }
    }

    /// Takes connections until told to stop, and then for as long as they still come.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener) {
        let mut last = Instant::now();
        loop {
            let quiet_at =
                self.stopping.get().map(|at| (at + ACCEPT_ON).max(last + QUIET).min(at + ACCEPT_END));
            let quiet = async {
                match quiet_at {
                    Some(at) => tokio::time::sleep_until(at.into()).await,
                    None => std::future::pending().await,
                }
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = quiet => return,
                () = self.stop.notified() => continue,
            };
            match accepted {
                Ok((stream, _)) => {
                    last = Instant::now();
                    // Under pressure this waits for a place: others wait in the backlog and are taken then.
                    let slot = self.descriptors.take_for_client().await;
                    self.serve(stream, slot);
                }
                Err(e) => {
                    // Out of descriptors, or a client that has gone already: neither may end the node or
                    // keep it busy.
                    log::line(&format!("accept: {e}"));
                    self.descriptors.relieve();
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    /// Answers what is there with a farewell and closes what carries nothing; returns when no client is
    /// left, or at `end`.
    pub async fn wind_down(self: &Rc<Self>, end: Instant) {
        while Instant::now() < end && !self.clients.borrow().is_empty() {
            self.close_idle();
            let _ = tokio::time::timeout(Duration::from_millis(20), self.closed.notified()).await;
        }
    }

    /// From now on every answer closes its connection.
    pub fn stop(&self) {
        self.stopping.set(Some(Instant::now()));
        self.stop.notify_one();
    }

    fn serve(self: &Rc<Self>, stream: TcpStream, slot: Slot) {
        let socket = Socket::new(stream, slot);
        let client = Rc::new(Client {
            socket: socket.clone(),
            busy: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            read: Cell::new(0),
            stuck_since: Cell::new(None),
            close: Notify::new(),
        });
        let number = self.next.get();
        self.next.set(number + 1);
        self.clients.borrow_mut().insert(number, client.clone());
        let listed = Listed { server: self.clone(), number };
        spawn_local(async move { listed.server.converse(&client, socket).await });
    }

    async fn converse(self: &Rc<Self>, client: &Rc<Client>, socket: Socket) {
        let service = service_fn(|request| {
            let busy = Busy::new(client.clone());
            async move {
                let response = self.respond(request).await;
                drop(busy);
                Ok::<_, Infallible>(response)
            }
        });
        let mut connection = pin!(
            http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_LIMIT)
                .serve_connection(TokioIo::new(socket), service)
        );
        loop {
            tokio::select! {
                // Errors are the client's: gone, or not speaking the protocol and told so.
                _ = connection.as_mut() => return,
                () = client.close.notified() => {
                    // Looked at again: a request may have come since.
                    if client.stuck() || client.idle() && client.socket.read() == 0 {
                        return;
                    }
                    if client.idle() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let mut response = if path == "/api" || path.starts_with("/api/") {
            match self.read(arrived, head, body).await {
                Ok(reading) => answer(self.ask(reading).await),
                Err(refused) => refused,
            }
        } else if path != "/up" {
            self.turn_away(arrived, body, StatusCode::NOT_FOUND, "no such path\n").await
        } else if matches!(head.method, Method::GET | Method::HEAD) {
            let ready = self.driver.ready() && self.stopping.get().is_none();
            plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
        } else {
            self.turn_away(arrived, body, StatusCode::METHOD_NOT_ALLOWED, "").await
        };
        if self.stopping.get().is_some() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Answers a request that is wrong, once its body is read: a socket closed with unread bytes resets,
    /// and the answer under way would be lost.
    async fn turn_away(
        &self,
        arrived: Instant,
        body: Incoming,
        status: StatusCode,
        text: &'static str,
    ) -> Response<Full<Bytes>> {
        match collect(body, arrived + BODY_TIME).await {
            Ok(_) => plain(status, text),
            Err(BodyError::Long) => farewell(status, text),
            Err(BodyError::Cut | BodyError::Late) => farewell(StatusCode::BAD_REQUEST, text),
        }
    }

    async fn ask(&self, Reading { asked, call, deadline, expires }: Reading) -> Answer {
        if self.driver.open() >= self.open_cap {
            return Answer::Refused { retry_after_ms: 0.0 };
        }
        self.driver.submit(asked, call, deadline, expires).answer().await
    }

    /// Reads and checks a request. What is wrong with it is answered here; no backend hears of it.
    async fn read(
        &self,
        arrived: Instant,
        head: Parts,
        body: Incoming,
    ) -> Result<Reading, Response<Full<Bytes>>> {
        let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        if header("x-trace-id").is_none_or(str::is_empty) {
            let text = "X-Trace-Id is missing\n";
            return Err(self.turn_away(arrived, body, StatusCode::BAD_REQUEST, text).await);
        }
        let class = self.names.class(header("x-qos").unwrap_or_default());
        let known = self.classes.get(class);
        let keyed = head.headers.contains_key("idempotency-key");
        // The class tells how often the request may run; a method that says otherwise is a mistake, and
        // taking it for either could run something twice.
        let agrees = match known.map(|c| c.effect) {
            Some(Effect::Safe) => head.method == Method::GET,
            Some(Effect::Keyed(_)) => head.method == Method::POST && keyed,
            Some(Effect::Unsafe) => head.method == Method::POST && !keyed,
            None => matches!(head.method, Method::GET | Method::POST),
        };
        if !agrees {
            let text = "method and Idempotency-Key do not agree with the class\n";
            return Err(self.turn_away(arrived, body, StatusCode::BAD_REQUEST, text).await);
        }
        let shortest = || self.classes.iter().map(|c| c.deadline_ms).fold(f64::INFINITY, f64::min);
        let class_wait = known.map_or_else(shortest, |c| c.deadline_ms);
        let wait = header(EXPIRES)
            .and_then(|v| v.trim().parse::<u64>().ok())
            .map_or(Duration::from_secs_f64(class_wait.clamp(0.0, 6e5) / 1000.0), Duration::from_millis)
            .min(LONGEST_WAIT);
        let expires = arrived + wait.saturating_sub(LAST_MARGIN);
        let body = collect(body, expires).await.map_err(|e| match e {
            BodyError::Long => farewell(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n"),
            BodyError::Cut => farewell(StatusCode::BAD_REQUEST, "the body cannot be read\n"),
            BodyError::Late => farewell(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n"),
        })?;
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
        let call = Call { method: head.method, target, headers: onward(head.headers), body };
        Ok(Reading { asked, call, deadline: arrived + wait.saturating_sub(MARGIN), expires })
    }
}

struct Reading {
    asked: Asked,
    call: Call,
    deadline: Instant,
    expires: Instant,
}

/// Why there is no body.
enum BodyError {
    Long,
    Cut,
    Late,
}

/// A whole body. One that is too long is read on for a while without being kept, so that its client is
/// done sending when the answer comes.
async fn collect(mut body: Incoming, until: Instant) -> Result<Bytes, BodyError> {
    let mut kept = BytesMut::new();
    let mut length = 0;
    let announced = body.size_hint().lower() > BODY_LIMIT as u64;
    let until = if announced { until.min(Instant::now() + LONG_BODY_TIME) } else { until };
    let read = async {
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| BodyError::Cut)?.into_data() else { continue };
            length += data.len();
            if length <= BODY_LIMIT {
                kept.extend_from_slice(&data);
            } else if length > READ_ON {
                break;
            }
        }
        Ok(())
    };
    let read = tokio::time::timeout_at(until.into(), read).await;
    match read {
        _ if announced || length > BODY_LIMIT => Err(BodyError::Long),
        Ok(whole) => whole.map(|()| kept.freeze()),
        Err(_) => Err(BodyError::Late),
    }
}

/// The headers that go on to a backend.
fn onward(mut headers: HeaderMap) -> HeaderMap {
    for name in OWN_HEADERS {
        headers.remove(name);
    }
    headers
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// An answer after which the rest of what the client sends cannot be made sense of, or is not wanted.
fn farewell(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = plain(status, text);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// The answer as the client sees it.
fn answer(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served(reply) => {
            let mut response = Response::new(Full::new(reply.body));
            if let Some(content_type) = reply.content_type {
                response.headers_mut().insert(CONTENT_TYPE, content_type);
            }
            response
        }
        Answer::Refused { retry_after_ms } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "try again later\n");
            if retry_after_ms > 0.0
                && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", retry_after_ms / 1000.0))
            {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}
