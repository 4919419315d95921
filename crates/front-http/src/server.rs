//! The client side: accepts connections, serves their requests and closes idle ones.

use crate::body::OutgoingBody;
use crate::request::{
    NodeResponse, ParsedRequest, Rejection, RequestReader, closing_response, node_response, plain,
};
use crate::upload::Upload;
use applemill_ledger::Answer;
use applemill_operator::RunningPool;
use applemill_socket::{
    ClientIdentity, DescriptorPermit, Descriptors, Layer, OpenedConnection, Socket, Stream,
};
use applemill_upstream::{PendingAnswer, Reply as BackendReply, ReplyBody};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tracing::warn;

/// A connection without a complete request head for this long, since it began or since its last answer, is
/// closed: it is silent, sends only part of a request, or does not read its answer.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2200);
/// When the idle time-out is checked again on a connection that was in use.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long, and up to how many bytes, data is read that a client still sends when its connection ends.
/// Closing a socket with unread bytes resets the connection and loses an answer that is still in transit.
const LINGER_TIME: Duration = Duration::from_millis(500);
const LINGER_MAX_BYTES: usize = 1024 * 1024;
/// Returning clients keep their connections while they hold at most one in this many of all descriptors.
const RETURNING_SHARE_DIVISOR: usize = 4;
/// The first request of a new connection is expected within this time.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(25);
/// If descriptors are scarce, a client that has not completed its request for this long may be closed.
const STALLED_AFTER: Duration = Duration::from_millis(100);
/// After the notice to stop, new connections arrive for up to 0.4 s. Connections are accepted for that time
/// plus a margin, and then until none has arrived for [`QUIET_TIME`].
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(700);
const QUIET_TIME: Duration = Duration::from_millis(150);
/// Upper limit for accepting after the notice to stop: SIGKILL would end later requests without an answer.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(1500);

/// Counts a client that has sent a request and may send more, until it is dropped.
struct ReturningClient(Rc<Cell<usize>>);

impl ReturningClient {
    fn new(count: &Rc<Cell<usize>>) -> ReturningClient {
        count.set(count.get() + 1);
        ReturningClient(count.clone())
    }
}

impl Drop for ReturningClient {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// One client connection.
struct Client {
    socket: Socket,
    busy: Cell<bool>,
    /// Set from the first complete request head until the connection is finished.
    returning: RefCell<Option<ReturningClient>>,
    returning_clients: Rc<Cell<usize>>,
    idle_since: Cell<Instant>,
    /// The number of bytes read when the connection last became idle.
    bytes_read_when_idle: Cell<u64>,
    /// When an incomplete request was first seen.
    stalled_since: Cell<Option<Instant>>,
    /// The last answer was sent; the rest of the input is read and discarded.
    finished: Cell<bool>,
    close: Notify,
}

/// The order in which connections are closed to free descriptors, first to last.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ClosePriority {
    Finished,
    NoRequestYet,
    Idle,
    Stalled,
}

impl Client {
    /// The priority for closing; `None` while a request is served.
    fn close_priority(&self) -> Option<ClosePriority> {
        match self.socket.bytes_read() == self.bytes_read_when_idle.get() {
            _ if self.finished.get() => Some(ClosePriority::Finished),
            _ if self.busy.get() => None,
            _ if self.returning.borrow().is_none() => Some(ClosePriority::NoRequestYet),
            true => Some(ClosePriority::Idle),
            false => Some(ClosePriority::Stalled),
        }
    }

    /// Whether the connection can be closed now. This also checks the socket for unread bytes. A new
    /// connection gets time for its first request.
    fn can_close(&self) -> bool {
        let request_started = self.socket.bytes_read() != self.bytes_read_when_idle.get();
        match self.close_priority() {
            None => false,
            Some(ClosePriority::Finished) => true,
            Some(ClosePriority::NoRequestYet) => {
                self.idle_since.get().elapsed() > FIRST_REQUEST_GRACE
                    && (request_started || self.socket.is_quiet())
            }
            Some(ClosePriority::Idle) => self.socket.is_quiet(),
            Some(ClosePriority::Stalled) => {
                let since = self.stalled_since.get().unwrap_or_else(Instant::now);
                self.stalled_since.set(Some(since));
                since.elapsed() > STALLED_AFTER
            }
        }
    }

    /// Whether the connection carries no request and the idle time-out is over.
    fn idle_timed_out(&self) -> bool {
        let times_out_at = self.idle_since.get() + IDLE_TIMEOUT;
        let request_started = self.socket.bytes_read() != self.bytes_read_when_idle.get();
        // Unread bytes get one more check interval to be read.
        let has_unread_bytes =
            !request_started && !self.socket.is_quiet() && times_out_at.elapsed() < RECHECK_INTERVAL;
        !self.busy.get() && times_out_at <= Instant::now() && !has_unread_bytes
    }
}

/// Marks a connection as busy while a request is served.
struct BusyGuard(Rc<Client>);

impl BusyGuard {
    fn new(client: Rc<Client>) -> BusyGuard {
        client.busy.set(true);
        client
            .returning
            .borrow_mut()
            .get_or_insert_with(|| ReturningClient::new(&client.returning_clients));
        client.stalled_since.set(None);
        BusyGuard(client)
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.idle_since.set(Instant::now());
        self.0.bytes_read_when_idle.set(self.0.socket.bytes_read());
    }
}

/// Removes a client from the list of clients when its task ends in any way; otherwise its descriptor would
/// stay open.
struct ClientRegistration {
    server: Rc<Server>,
    number: u64,
}

impl Drop for ClientRegistration {
    fn drop(&mut self) {
        let client = self.server.clients.borrow_mut().remove(&self.number);
        drop(client);
        self.server.client_closed.notify_one();
    }
}

/// Returns a page generated by the node for a path, or `None` if there is none.
pub type NodePages = Box<dyn Fn(&str) -> Option<String>>;
/// Returns why the node is not ready, in addition to the server's own checks; `None` if it is ready.
pub type NotReadyReason = Box<dyn Fn() -> Option<String>>;
/// Path prefix where certificate authorities request ACME challenges (RFC 8555, 8.3).
const ACME_CHALLENGE_PREFIX: &str = "/.well-known/acme-challenge/";

/// The client side of the node.
pub struct Server {
    pools: Rc<[RunningPool]>,
    reader: RequestReader,
    open_cap: usize,
    read_buffer_bytes: usize,
    descriptors: Rc<Descriptors>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    /// The number of clients that have sent a request and may send more.
    returning_clients: Rc<Cell<usize>>,
    next_client_number: Cell<u64>,
    stopping: Cell<Option<Instant>>,
    /// Connections are not accepted because another process accepts them or is about to.
    paused: Cell<bool>,
    pages: Option<NodePages>,
    not_ready_reason: Option<NotReadyReason>,
    state_changed: Notify,
    client_closed: Notify,
}

impl Server {
    /// A server without clients. At most `open_cap` requests are open at the same time, and
    /// `read_buffer_bytes` is the size of a connection's read buffer. `/up` shows its page of `pages`, and
    /// with `not_ready_reason` also the reason why the node is not ready.
    pub fn new(
        pools: Rc<[RunningPool]>,
        reader: RequestReader,
        open_cap: usize,
        read_buffer_bytes: usize,
        descriptors: Rc<Descriptors>,
        pages: Option<NodePages>,
        not_ready_reason: Option<NotReadyReason>,
    ) -> Rc<Server> {
        let server = Rc::new(Server {
            pools,
            reader,
            open_cap,
            read_buffer_bytes,
            descriptors: descriptors.clone(),
            clients: RefCell::default(),
            returning_clients: Rc::default(),
            next_client_number: Cell::new(0),
            stopping: Cell::new(None),
            paused: Cell::new(false),
            pages,
            not_ready_reason,
            state_changed: Notify::new(),
            client_closed: Notify::new(),
        });
        let weak = Rc::downgrade(&server);
        descriptors.set_client_reclaimer(Box::new(move || {
            if let Some(server) = weak.upgrade() {
                server.close_one_client();
            }
            // The client's task closes the connection later, not during this call.
            false
        }));
        server
    }

    /// Closes one client to free a descriptor. Connections without a request go before those of returning
    /// clients, and the longest idle first. If connections without a request hold most places, only these are
    /// closed: a new one may be about to send its request, and waiting for that is better than closing a
    /// returning client.
    fn close_one_client(&self) {
        let clients = self.clients.borrow();
        let mut order: Vec<_> =
            clients.values().filter_map(|c| Some((c.close_priority()?, c.idle_since.get(), c))).collect();
        let without_request = order
            .iter()
            .filter(|(close_priority, ..)| *close_priority == ClosePriority::NoRequestYet)
            .count();
        if 2 * without_request > clients.len() {
            order.retain(|(close_priority, ..)| *close_priority <= ClosePriority::NoRequestYet);
        }
        order.sort_unstable_by_key(|(close_priority, since, _)| (*close_priority, *since));
        if let Some((.., client)) = order.into_iter().find(|(.., c)| c.can_close()) {
            client.close.notify_one();
        }
    }

    fn close_idle(&self) {
        for client in self.clients.borrow().values().filter(|c| c.can_close()) {
            client.close.notify_one();
        }
    }

    /// Accepts connections until [`Server::stop`], and then for as long as new ones arrive, up to a limit.
    /// `layer` wraps each connection, for example in TLS.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener, layer: Option<Rc<dyn Layer>>) {
        let mut last_accepted = Instant::now();
        loop {
            let stop_accepting_at = self
                .stopping
                .get()
                .map(|at| (at + MIN_ACCEPT_TIME).max(last_accepted + QUIET_TIME).min(at + MAX_ACCEPT_TIME));
            let done_accepting = async {
                match stop_accepting_at {
                    Some(at) => tokio::time::sleep_until(at.into()).await,
                    None => std::future::pending().await,
                }
            };
            let accepted = tokio::select! {
                accepted = listener.accept(), if !self.paused.get() => accepted,
                () = done_accepting => return,
                () = self.state_changed.notified() => continue,
            };
            match accepted {
                Ok((stream, _)) => {
                    last_accepted = Instant::now();
                    // Waits while descriptors are scarce; further connections wait in the backlog.
                    let permit = self.descriptors.acquire_for_client().await;
                    self.serve(stream, permit, layer.clone());
                }
                Err(e) => {
                    // No descriptor is left, or the client is already gone. Neither may end the node or make
                    // this loop spin.
                    warn!("accepting a connection failed: {e}");
                    self.descriptors.reclaim_any();
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    /// Closes idle connections until no client is left, at most until `end`. Open requests are still
    /// answered.
    pub async fn drain_connections(self: &Rc<Self>, end: Instant) {
        while Instant::now() < end && !self.clients.borrow().is_empty() {
            self.close_idle();
            let _ = tokio::time::timeout(Duration::from_millis(20), self.client_closed.notified()).await;
        }
    }

    /// Pauses or resumes accepting. While paused, new connections wait in the listeners' backlogs.
    pub fn set_paused(&self, paused: bool) {
        self.paused.set(paused);
        self.state_changed.notify_waiters();
    }

    /// Starts the shutdown: from now on every answer closes its connection.
    pub fn stop(&self) {
        self.stopping.set(Some(Instant::now()));
        self.state_changed.notify_waiters();
    }

    fn serve(self: &Rc<Self>, stream: TcpStream, permit: DescriptorPermit, layer: Option<Rc<dyn Layer>>) {
        let socket = Socket::new(stream, permit);
        let client = Rc::new(Client {
            socket: socket.clone(),
            busy: Cell::new(false),
            returning: RefCell::default(),
            returning_clients: self.returning_clients.clone(),
            idle_since: Cell::new(Instant::now()),
            bytes_read_when_idle: Cell::new(0),
            stalled_since: Cell::new(None),
            finished: Cell::new(false),
            close: Notify::new(),
        });
        let number = self.next_client_number.get();
        self.next_client_number.set(number + 1);
        self.clients.borrow_mut().insert(number, client.clone());
        let registration = ClientRegistration { server: self.clone(), number };
        match layer {
            None => drop(spawn_local(async move {
                registration.server.serve_connection(&client, None, socket).await
            })),
            Some(layer) => drop(spawn_local(async move {
                let opened = tokio::select! {
                    opened = layer.open(socket) => opened,
                    () = client.close.notified() => return,
                };
                // The layer has already answered a client that it rejects.
                let Ok(OpenedConnection { stream, caller }) = opened else { return };
                client.bytes_read_when_idle.set(client.socket.bytes_read());
                registration.server.serve_connection(&client, caller, stream).await;
            })),
        }
    }

    async fn serve_connection(
        self: &Rc<Self>,
        client: &Rc<Client>,
        caller: Option<Rc<ClientIdentity>>,
        stream: impl Stream,
    ) {
        let caller = caller.as_deref();
        let service = service_fn(|request| {
            let busy = BusyGuard::new(client.clone());
            async move {
                let mut response = self.respond(request, caller).await;
                // With a streamed answer, the client is busy until the last byte is sent.
                response.body_mut().hold_until_sent(busy);
                Ok::<_, Infallible>(response)
            }
        });
        let mut connection = pin!(
            http1::Builder::new()
                .max_buf_size(self.read_buffer_bytes)
                .serve_connection(TokioIo::new(stream), service)
        );
        let mut check_at = Instant::now() + IDLE_TIMEOUT;
        let mut shutting_down_idle = false;
        loop {
            tokio::select! {
                // Other errors are the client's: it is gone, or it violated the protocol and was told so.
                end = connection.as_mut() => {
                    if end.is_err_and(|e| e.is_user()) {
                        // The answer's body was cut short. A reset keeps the client from taking the end of
                        // the connection for the end of the body.
                        client.socket.set_reset_on_close();
                        return;
                    }
                    break;
                }
                () = client.close.notified() => {
                    // Check again: a request may have arrived since.
                    match client.close_priority().filter(|_| client.can_close()) {
                        Some(ClosePriority::Idle) => {
                            // The last answer may still be in transit; nothing more is read.
                            connection.as_mut().graceful_shutdown();
                            shutting_down_idle = true;
                        }
                        Some(_) => return,
                        None => {}
                    }
                }
                () = tokio::time::sleep_until(check_at.into()) => {
                    if client.idle_timed_out() {
                        return;
                    }
                    let times_out_at = client.idle_since.get() + IDLE_TIMEOUT;
                    check_at = times_out_at.max(Instant::now() + RECHECK_INTERVAL);
                }
            }
        }
        if shutting_down_idle {
            return;
        }
        client.finished.set(true);
        drop(client.returning.take());
        tokio::select! {
            _ = tokio::time::timeout(LINGER_TIME, client.socket.discard(LINGER_MAX_BYTES)) => {}
            () = client.close.notified() => {}
        }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        caller: Option<&ClientIdentity>,
    ) -> NodeResponse<BusyGuard> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let page = || self.pages.as_ref().and_then(|pages| pages(path));
        let mut response = if path.starts_with(ACME_CHALLENGE_PREFIX)
            && let Some(text) = page()
        {
            node_response(StatusCode::OK, text)
        } else if path != "/up" {
            match self.reader.read(arrived, head, body, caller).await {
                Ok(parsed) => self.forward(parsed).await,
                Err(rejection) => rejection.into(),
            }
        } else if matches!(head.method, Method::GET | Method::HEAD) {
            let (status, why) = match self.not_ready_reason() {
                None => (StatusCode::OK, String::new()),
                Some(why) => (StatusCode::SERVICE_UNAVAILABLE, why),
            };
            // The platform expects only a status.
            let why = if self.not_ready_reason.is_some() { why } else { String::new() };
            node_response(status, why + &page().unwrap_or_default())
        } else {
            closing_response(StatusCode::METHOD_NOT_ALLOWED, "")
        };
        if self.stopping.get().is_some() || self.too_many_returning() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Whether requests could be served.
    pub fn is_ready(&self) -> bool {
        self.not_ready_reason().is_none()
    }

    /// Why requests could not be served, as a line of text.
    fn not_ready_reason(&self) -> Option<String> {
        if self.stopping.get().is_some() {
            return Some("not ready: told to stop\n".to_owned());
        }
        if !self.pools.iter().any(|p| p.driver.is_ready()) {
            return Some("not ready: no pool has a server that is up\n".to_owned());
        }
        let why = self.not_ready_reason.as_ref().and_then(|why| why())?;
        Some(format!("not ready: {why}\n"))
    }

    /// Whether there are too many returning clients. Connections are then closed after their answers, which
    /// makes descriptors available to other clients.
    fn too_many_returning(&self) -> bool {
        self.returning_clients.get() > self.descriptors.limit() / RETURNING_SHARE_DIVISOR
    }

    async fn forward(
        &self,
        ParsedRequest { pool, request, traits, call, deadlines, upload, guard }: ParsedRequest,
    ) -> NodeResponse<BusyGuard> {
        let open: usize = self.pools.iter().map(|p| p.driver.open()).sum();
        let Some(pool) = self.pools.get(pool).filter(|_| open < self.open_cap) else {
            return Rejection::Overloaded.into();
        };
        let pending_answer = pool.driver.submit(request, traits, call, deadlines);
        let response = match upload {
            None => to_response(pending_answer.answer().await),
            Some(upload) => {
                let chunked = upload.chunked;
                let mut response = answer_during_upload(pending_answer, upload).await;
                if chunked {
                    // A request that also declared a length cannot be told from this one (RFC 9112, 6.1):
                    // read no further request from the connection.
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                response
            }
        };
        drop(guard);
        response
    }
}

/// Waits for the answer to a request while its body is uploaded.
async fn answer_during_upload(pending_answer: PendingAnswer, upload: Upload) -> NodeResponse<BusyGuard> {
    let mut answer = pin!(pending_answer.answer());
    // If the request is refused at once, the client is not asked to send the body.
    let first_poll = poll_fn(|cx| Poll::Ready(answer.as_mut().poll(cx))).await;
    let answered = match first_poll {
        Poll::Ready(answered) => answered,
        Poll::Pending => {
            // The upload continues after an early answer, as long as the backend reads.
            let mut upload_task = spawn_local(upload.run());
            let end = tokio::select! {
                biased;
                answered = answer.as_mut() => Err(answered),
                end = &mut upload_task => Ok(end),
            };
            match end {
                Ok(Ok(Err(rejection))) => return rejection.into(),
                Ok(_) => return to_response(answer.await),
                Err(answered) => answered,
            }
        }
    };
    let mut response = to_response(answered);
    // The body was not read to its end: what follows on the connection is not a request.
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Converts an answer to a response for the client.
fn to_response(answer: Answer<BackendReply>) -> NodeResponse<BusyGuard> {
    match answer {
        Answer::Served(reply) => {
            let mut response = Response::new(match reply.body {
                ReplyBody::Buffered(bytes) => OutgoingBody::Buffered(bytes),
                ReplyBody::Streamed(reader, remaining) => {
                    OutgoingBody::Streamed { reader, remaining, ended: false, guard: None }
                }
            });
            *response.status_mut() = reply.status;
            *response.headers_mut() = reply.headers;
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
