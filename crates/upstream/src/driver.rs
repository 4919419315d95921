//! Runs a pool's ledger on real sockets: passes it inputs with their times and executes the effects it
//! returns.
//!
//! The driver owns the sockets, the task that waits for the next timer, and the channels to discovery and to
//! the other nodes. It makes no decisions.

use crate::call::{self, BODY_LIMIT, Body, Call, Protocol, Reply, ReplyBody};
use crate::clock::Clock;
use crate::conn::{Conn, ExchangeError, OutgoingRequest};
use crate::exchange_log::ExchangeLog;
use crate::peers::Peers;
use crate::pending_answer::PendingAnswer;
use crate::pipe::{StreamPool, StreamWriter};
use crate::streamed::{AnswerSink, ExchangeEnd};
use applemill_balancer::Balancer;
use applemill_balancer::interface::{Outcome, Reporting, Request, RequestId};
use applemill_blame::{Blame, Culprit, RequestTraits};
use applemill_ledger::{
    Answer, AnswerProgress, ConnEvent, ConnId, Effect, Ledger, Limits, Payload, RequestProgress,
};
use applemill_socket::{ConnectError, Descriptors};
use bytes::Bytes;
use hyper::{Method, Response};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::{AbortHandle, spawn_local};
use tracing::{debug, info};

/// Delivers the answer to the task that waits for it.
type AnswerSender = oneshot::Sender<Answer<Reply>>;
/// An input to a pool's ledger.
pub type Input = applemill_ledger::Input<AnswerSender, Rc<Call>, Reply>;
type DriverEffect = Effect<AnswerSender, Rc<Call>, Reply>;

/// The state of a connection.
enum ConnState {
    /// A task uses the connection; aborting the task closes it.
    Busy(AbortHandle),
    /// The connection carries no request.
    Idle(Conn),
}

/// Resources shared by the pools of a node.
pub struct SharedResources {
    /// The limit on open descriptors.
    pub descriptors: Rc<Descriptors>,
    /// Communication with the other nodes, if there are any.
    pub peers: Option<Rc<Peers>>,
    /// The pool of streams.
    pub stream_pool: StreamPool,
    /// The largest head of an answer, in bytes.
    pub buffer: usize,
    /// The configured limits for connections.
    pub limits: Limits,
}

/// The deadlines of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestDeadlines {
    /// When the balancer must have ended the request.
    pub deadline: Instant,
    /// When the ledger ends the request if the balancer has not.
    pub expires: Instant,
    /// For a streamed body: how long the client waits after the last byte of the request was sent.
    pub upload: Option<Duration>,
}

/// The properties of a pool's backends.
pub struct PoolKind {
    /// How the backends report their load.
    pub reporting: Reporting,
    /// The protocol that the backends speak.
    pub protocol: Protocol,
    /// Whether a backend may act on a request that was received only in part.
    pub acts_on_partial: bool,
    /// Attributes failures to servers, routes, classes, tenants or keys; `None` if that is disabled.
    pub blame: Option<Blame>,
}

/// Drives one pool of backends.
pub struct Driver {
    ledger: RefCell<Ledger<AnswerSender, Rc<Call>>>,
    inbox: RefCell<VecDeque<Input>>,
    conns: RefCell<HashMap<ConnId, ConnState>>,
    /// The clock for the times of inputs.
    pub clock: Clock,
    shared: Rc<SharedResources>,
    watch: mpsc::UnboundedSender<bool>,
    probe_path: &'static str,
    protocol: Protocol,
    next_request_id: Cell<u64>,
    /// When the timer task wakes next, in milliseconds of the clock.
    next_timer_ms: Cell<Option<f64>>,
    timer_changed: Notify,
}

impl Driver {
    /// A driver for a pool without known backends. `watch` receives whether the balancer wants to watch the
    /// list. Needs a running `LocalSet`.
    pub fn new(
        balancer: Balancer,
        kind: PoolKind,
        shared: Rc<SharedResources>,
        watch: mpsc::UnboundedSender<bool>,
    ) -> Rc<Driver> {
        let PoolKind { reporting, protocol, acts_on_partial, blame } = kind;
        let limits = Limits { acts_on_partial, ..shared.limits };
        let ledger = Ledger::new(balancer, limits);
        let ledger = match blame {
            Some(blame) => ledger.with_blame(blame),
            None => ledger,
        };
        let driver = Rc::new(Driver {
            ledger: RefCell::new(ledger),
            inbox: RefCell::default(),
            conns: RefCell::default(),
            clock: Clock::new(),
            shared,
            watch,
            probe_path: if reporting == Reporting::None { "/alive" } else { "/metrics/load" },
            protocol,
            next_request_id: Cell::new(0),
            next_timer_ms: Cell::new(None),
            timer_changed: Notify::new(),
        });
        spawn_local(driver.clone().run_timer());
        driver
    }

    /// Submits a request to the ledger; the returned handle waits for its answer.
    pub fn submit(
        self: &Rc<Self>,
        mut request: Request,
        traits: Option<Rc<RequestTraits>>,
        call: Call,
        deadlines: RequestDeadlines,
    ) -> PendingAnswer {
        let id = RequestId(self.next_request_id.get());
        self.next_request_id.set(id.0 + 1);
        request.id = id;
        request.deadline_ms = self.clock.at_ms(deadlines.deadline);
        let expires_ms = self.clock.at_ms(deadlines.expires);
        let upload_ms = deadlines.upload.map(|wait| wait.as_secs_f64() * 1000.0);
        let (sender, answer) = oneshot::channel();
        let call = Rc::new(call);
        self.handle(Input::Arrived {
            request,
            expires_ms,
            upload_ms,
            work: traits,
            call: call.clone(),
            owed: sender,
        });
        if let Body::Streamed(replay, _) = &call.body {
            let driver = self.clone();
            replay.on_not_replayable(Box::new(move || driver.handle(Input::NotReplayable(id))));
        }
        PendingAnswer { driver: self.clone(), id, answer }
    }

    /// The number of open requests.
    pub fn open(&self) -> usize {
        self.ledger.borrow().open()
    }

    /// The current culprits, and the time they refer to in milliseconds of the clock.
    pub fn culprits(&self) -> (Vec<Culprit>, f64) {
        let ledger = self.ledger.try_borrow();
        let culprits =
            ledger.iter().filter_map(|ledger| ledger.blame()).flat_map(Blame::culprits).collect();
        (culprits, self.clock.now_ms())
    }

    /// Exports what was learned about the backends, as text, for the process that replaces this one.
    pub fn export_learned(&self) -> String {
        let learned = self.ledger.borrow().export_learned();
        serde_json::to_string(&learned).unwrap_or_default()
    }

    /// Imports the state exported by another process. Returns false, without a change, if it does not fit
    /// this pool.
    pub fn import_learned(&self, text: &str) -> bool {
        let learned = serde_json::from_str(text);
        learned.is_ok_and(|learned| self.ledger.borrow_mut().import_learned(&learned))
    }

    /// Whether a request could be served.
    pub fn is_ready(&self) -> bool {
        self.ledger.borrow().is_ready()
    }

    /// Whether the list of backends may still be used.
    fn has_valid_list(&self) -> bool {
        self.ledger.borrow().has_valid_list(self.clock.now_ms())
    }

    /// When the longest idle connection became idle, in milliseconds of the clock.
    pub fn oldest_idle_since_ms(&self) -> Option<f64> {
        self.ledger.try_borrow().ok()?.oldest_idle_since_ms()
    }

    /// Closes connections that have been idle for too long, and those that backends have closed.
    pub fn sweep(self: &Rc<Self>) {
        self.handle(Input::CloseExpired);
        let conns = self.conns.borrow();
        let closed =
            conns.iter().filter(|(_, state)| matches!(state, ConnState::Idle(conn) if !conn.is_alive()));
        let closed: Vec<ConnId> = closed.map(|(id, _)| *id).collect();
        drop(conns);
        for conn in closed {
            self.handle(Input::Conn(conn, ConnEvent::Stale));
        }
    }

    /// Handles an input. Inputs that arise meanwhile are queued and handled after it.
    pub fn handle(self: &Rc<Self>, input: Input) {
        self.handle_at(self.clock.now_ms(), input);
    }

    fn handle_at(self: &Rc<Self>, now: f64, input: Input) {
        self.inbox.borrow_mut().push_back(input);
        let Ok(mut ledger) = self.ledger.try_borrow_mut() else { return };
        let mut effects = Vec::new();
        loop {
            let next = self.inbox.borrow_mut().pop_front();
            let Some(input) = next else { break };
            ledger.handle(now, input, &mut effects);
            for effect in effects.drain(..) {
                self.execute(effect);
            }
        }
        let due = ledger.next_due_ms();
        if due.is_some_and(|due| self.next_timer_ms.get().is_none_or(|old| due < old)) {
            self.next_timer_ms.set(due);
            self.timer_changed.notify_one();
        }
    }

    /// Reports timers when they are due, as long as the node runs. A cancelled timer causes a wake-up without
    /// effect.
    async fn run_timer(self: Rc<Self>) {
        loop {
            let Some(due) = self.next_timer_ms.get() else {
                self.timer_changed.notified().await;
                continue;
            };
            tokio::select! {
                biased;
                () = tokio::time::sleep_until(self.clock.instant(due).into()) => {
                    self.next_timer_ms.set(None);
                    // Rounding may make the current time smaller than `due`, and the timer would not be due.
                    self.handle_at(self.clock.now_ms().max(due), Input::TimerDue);
                }
                () = self.timer_changed.notified() => {}
            }
        }
    }

    fn enqueue_event(&self, conn: ConnId, event: ConnEvent<Reply>) {
        self.inbox.borrow_mut().push_back(Input::Conn(conn, event));
    }

    fn execute(self: &Rc<Self>, effect: DriverEffect) {
        match effect {
            Effect::Dial(conn, address) => self.dial(conn, address),
            Effect::Send { conn, payload, left_ms, kept } => self.send(conn, &payload, left_ms, kept),
            Effect::Close(conn) => {
                let closed = self.conns.borrow_mut().remove(&conn);
                if let Some(ConnState::Busy(task)) = closed {
                    task.abort();
                }
            }
            // Sending fails if the client has left.
            Effect::Answer(sender, answer) => drop(sender.send(answer)),
            Effect::Tell(to, bytes) => {
                if let Some(peers) = &self.shared.peers {
                    peers.send(to, &bytes);
                }
            }
            // Sending fails if the watch has ended, as it does when the node stops.
            Effect::Watch(on) => drop(self.watch.send(on)),
            Effect::Log(text) => info!("{text}"),
        }
    }

    fn dial(self: &Rc<Self>, conn: ConnId, address: SocketAddr) {
        let report = TaskReport::new(self, conn);
        let task = spawn_local(async move {
            let shared = &report.driver.shared;
            let permit = shared.descriptors.acquire().await;
            report.driver.handle(Input::Conn(conn, ConnEvent::Dialling));
            match Conn::connect(address, permit, shared.buffer).await {
                Ok(open_conn) => {
                    report.driver.set_idle(conn, open_conn);
                    report.end(ConnEvent::Connected);
                }
                Err(e) => {
                    debug!(%address, "connection to a backend failed: {e}");
                    report.end(match e {
                        ConnectError::Local(_) => ConnEvent::LocalFailure,
                        ConnectError::Remote(_) => ConnEvent::ConnectFailed,
                    });
                }
            }
        });
        self.conns.borrow_mut().insert(conn, ConnState::Busy(task.abort_handle()));
    }

    /// Returns a connection after a task has used it, unless it was closed meanwhile.
    fn set_idle(&self, conn: ConnId, open_conn: Conn) {
        if let Some(state) = self.conns.borrow_mut().get_mut(&conn) {
            *state = ConnState::Idle(open_conn);
        }
    }

    fn send(self: &Rc<Self>, conn: ConnId, payload: &Payload<Rc<Call>>, left_ms: f64, kept: bool) {
        let state = self.conns.borrow_mut().remove(&conn);
        let Some(ConnState::Idle(mut open_conn)) = state else {
            return self.enqueue_event(conn, ConnEvent::Disconnected);
        };
        if kept && !open_conn.is_alive() {
            return self.enqueue_event(conn, ConnEvent::Stale);
        }
        let Some(request) = call::build_request(payload, open_conn.address, left_ms, self.probe_path)
        else {
            // Unreachable: the ledger learns that a body is not replayable before it sends again.
            return self.enqueue_event(conn, ConnEvent::Disconnected);
        };
        let log = ExchangeLog::start(payload, open_conn.address, left_ms, kept);
        if let Payload::Call(call) = payload
            && (call.answer.is_some() || matches!(call.body, Body::Streamed(..)))
        {
            return self.stream(conn, open_conn, request, call.clone(), log);
        }
        let is_probe = matches!(payload, Payload::Probe);
        let report = TaskReport::new(self, conn);
        let task = spawn_local(async move {
            if !report.driver.has_valid_list() {
                return report.end(ConnEvent::Stale);
            }
            let progress = |sent, received| {
                report.driver.handle(Input::Conn(conn, ConnEvent::Progress(sent, received)));
            };
            let end = open_conn.exchange(request, BODY_LIMIT, progress).await;
            log.ended(end.as_ref().err());
            match end {
                Ok(answer) => {
                    let protocol = report.driver.protocol;
                    let finish = if is_probe {
                        call::parse_probe_answer(answer)
                    } else {
                        call::parse_answer(answer, protocol)
                    };
                    let again = open_conn.is_alive();
                    report.driver.set_idle(conn, open_conn);
                    report.end(ConnEvent::Complete { finish, again });
                }
                Err(error) => report.end(error.into()),
            }
        });
        self.conns.borrow_mut().insert(conn, ConnState::Busy(task.abort_handle()));
    }

    /// Sends a request that is streamed or whose answer is.
    fn stream(
        self: &Rc<Self>,
        conn: ConnId,
        mut open_conn: Conn,
        request: OutgoingRequest,
        call: Rc<Call>,
        log: ExchangeLog,
    ) {
        let report = TaskReport::new(self, conn);
        let task = spawn_local(async move {
            let driver = report.driver.clone();
            if !driver.has_valid_list() {
                return report.end(ConnEvent::Stale);
            }
            let progress = |sent, received| {
                driver.handle(Input::Conn(conn, ConnEvent::Progress(sent, received)));
            };
            let mut sink = ForwardToClient { driver: &driver, conn, call: &call };
            let end = open_conn.stream(request, BODY_LIMIT, &mut sink, progress).await;
            log.ended(end.as_ref().err());
            match end {
                Ok(end) => {
                    let finish = match end {
                        ExchangeEnd::Buffered(whole) => call::parse_answer(whole.answer, driver.protocol),
                        ExchangeEnd::Streamed { .. } => Outcome::Done.into(),
                    };
                    let again = open_conn.is_alive();
                    driver.set_idle(conn, open_conn);
                    report.end(ConnEvent::Complete { finish, again });
                }
                Err(error) => report.end(error.into()),
            }
        });
        self.conns.borrow_mut().insert(conn, ConnState::Busy(task.abort_handle()));
    }
}

/// Streams an answer to its client once its head is received.
struct ForwardToClient<'d> {
    driver: &'d Rc<Driver>,
    conn: ConnId,
    call: &'d Call,
}

impl AnswerSink for ForwardToClient<'_> {
    fn accept(
        &mut self,
        head: &Response<()>,
        length: Option<u64>,
        request_progress: RequestProgress,
    ) -> Option<StreamWriter> {
        let answer = self.call.answer.as_ref()?;
        let mut writer = None;
        let is_head_request = self.call.method == Method::HEAD;
        let finish = call::parse_streamed_head(head, self.driver.protocol, is_head_request, || {
            match answer.reservation.take() {
                Some(reservation) => {
                    let (stream_writer, stream_reader) =
                        self.driver.shared.stream_pool.open(answer.stream_limits, reservation);
                    writer = Some(stream_writer);
                    ReplyBody::Streamed(stream_reader, length)
                }
                // The reservation was used by an earlier answer to the same request: the client needs no
                // second one.
                None => ReplyBody::Buffered(Bytes::new()),
            }
        })?;
        let writer = writer?;
        self.driver
            .handle(Input::Conn(self.conn, ConnEvent::Progress(request_progress, AnswerProgress::Started)));
        self.driver.handle(Input::Conn(self.conn, ConnEvent::HeadReceived(finish)));
        Some(writer)
    }
}

impl From<ExchangeError> for ConnEvent<Reply> {
    fn from(error: ExchangeError) -> ConnEvent<Reply> {
        match error {
            ExchangeError::MalformedAnswer(_) => ConnEvent::Malformed,
            ExchangeError::ConnectionLost(_) => ConnEvent::Disconnected,
            ExchangeError::ReaderGone => ConnEvent::Unwanted,
            ExchangeError::TooSlow => ConnEvent::TooSlow,
        }
    }
}

/// Makes sure that a task reports the end of its exchange. If the task ends without a report, for example by
/// a panic, the request counts as one that may have run.
struct TaskReport {
    driver: Rc<Driver>,
    conn: ConnId,
    reported: Cell<bool>,
}

impl TaskReport {
    fn new(driver: &Rc<Driver>, conn: ConnId) -> TaskReport {
        TaskReport { driver: driver.clone(), conn, reported: Cell::new(false) }
    }

    fn end(&self, event: ConnEvent<Reply>) {
        self.reported.set(true);
        self.driver.handle(Input::Conn(self.conn, event));
    }
}

impl Drop for TaskReport {
    fn drop(&mut self) {
        // The ledger ignores events of a connection that it has closed.
        if !self.reported.get() {
            // How much was sent since the last reported progress is unknown.
            self.driver.handle(Input::Conn(
                self.conn,
                ConnEvent::Progress(RequestProgress::Partial, AnswerProgress::Nothing),
            ));
            self.driver.handle(Input::Conn(self.conn, ConnEvent::Disconnected));
        }
    }
}
