//! The only owner of the balancer: events in, actions out, one at a time and at once.
//!
//! It keeps what the decisions do not: where backends are, the timers, and which requests and attempts are
//! open. It decides nothing itself.

use crate::log;
use crate::peers::Peers;
use crate::upstream::{Call, Conn, Dialect, Errand, Finish, Reply, Upstream};
use birchspoke::Balancer;
use birchspoke::interface::{
    Action, BackendId, Class, Entry, Event, Health, ListKind, Outcome, Reporting, Request, RequestId,
};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// The decisions' clock: milliseconds since 1970 as the system had it at the start, and monotonic from
/// there. So what discovery tells in wall time can be compared with it, and always converts alike.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_ms: f64,
}

impl Clock {
    /// Starts now.
    pub fn new() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_ms: wall.as_secs_f64() * 1000.0 }
    }

    /// Now.
    pub fn now_ms(&self) -> f64 {
        self.at_ms(Instant::now())
    }

    /// A moment since the start, on this clock.
    pub fn at_ms(&self, at: Instant) -> f64 {
        self.start_ms + at.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    fn instant(&self, at_ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(((at_ms - self.start_ms) / 1000.0).clamp(0.0, 1e9))
    }
}

/// A request's final answer.
#[derive(Debug)]
pub enum Answer {
    /// A backend's.
    Served(Reply),
    /// Trying again is harmless, best after this long.
    Refused {
        /// 0 for no advice.
        retry_after_ms: f64,
    },
    /// No promise.
    Failed,
}

/// The one answer that is owed. Settling uses it up, so there is no second; dropping it fails the request.
pub struct Owed(oneshot::Sender<Answer>);

impl Owed {
    fn settle(self, answer: Answer) {
        // A client that has gone wants none.
        let _ = self.0.send(answer);
    }
}

/// The client's side of what is owed. Dropped before the answer came, it tells that the client left.
pub struct Ticket {
    driver: Rc<Driver>,
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    expires: Instant,
}

impl Ticket {
    /// Waits for the answer; past the deadline that is a failure, whatever is still out.
    pub async fn answer(mut self) -> Answer {
        match tokio::time::timeout_at(self.expires.into(), &mut self.answer).await {
            Ok(answer) => answer.unwrap_or(Answer::Failed),
            Err(_) => Answer::Failed,
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.driver.take(Input::Left(self.id));
    }
}

/// One line of discovery's list.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// What the decisions need.
    pub entry: Entry,
    /// Where it listens; one that was removed need not say.
    pub address: Option<SocketAddr>,
}

/// All that can happen to a node.
pub enum Input {
    /// The node is up.
    Start,
    /// News of the list.
    List(ListKind, Vec<Target>),
    /// A client's request.
    Arrived(Request, Rc<Call>, Owed),
    /// The client is gone, or needs nothing any more.
    Left(RequestId),
    /// An attempt is over.
    Ended {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// At which backend.
        backend: BackendId,
        /// How.
        finish: Finish,
        /// Time since the send.
        elapsed_ms: f64,
    },
    /// A probe is over.
    Probed(BackendId, Finish, f64),
    /// A timer is due.
    Timer(u64),
    /// Another node's message.
    Message(u32, Vec<u8>),
    /// An operator has changed a class.
    Class(usize, Class),
}

struct Open {
    owed: Option<Owed>,
    call: Rc<Call>,
    /// What calls each attempt off; none where it is over.
    attempts: Vec<Option<oneshot::Sender<()>>>,
}

impl Open {
    fn over(&self) -> bool {
        self.owed.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

struct Place {
    address: SocketAddr,
    up: bool,
    ready_at_ms: f64,
}

struct Core {
    balancer: Balancer,
    open: HashMap<RequestId, Open>,
    places: HashMap<BackendId, Place>,
}

/// Events in, actions out: one for each pool of backends.
pub struct Driver {
    core: RefCell<Core>,
    inbox: RefCell<VecDeque<Input>>,
    /// The clock of all events.
    pub clock: Clock,
    upstream: Rc<Upstream>,
    peers: Option<Rc<Peers>>,
    watch: mpsc::UnboundedSender<bool>,
    probe_path: &'static str,
    dialect: Dialect,
    next: Cell<u64>,
}

impl Driver {
    /// A driver that has heard nothing yet; the decisions' wish to watch the list goes out on `watch`.
    pub fn new(
        balancer: Balancer,
        reporting: Reporting,
        upstream: Rc<Upstream>,
        peers: Option<Rc<Peers>>,
        watch: mpsc::UnboundedSender<bool>,
        dialect: Dialect,
    ) -> Rc<Driver> {
        Rc::new(Driver {
            core: RefCell::new(Core { balancer, open: HashMap::new(), places: HashMap::new() }),
            inbox: RefCell::default(),
            clock: Clock::new(),
            upstream,
            peers,
            watch,
            probe_path: if reporting == Reporting::None { "/alive" } else { "/metrics/load" },
            dialect,
            next: Cell::new(0),
        })
    }

    /// Takes in a request and hands out the ticket for its answer. `deadline` is when the decisions must
    /// have ended it, `expires` when this node does so without them.
    pub fn submit(
        self: &Rc<Self>,
        mut request: Request,
        call: Call,
        deadline: Instant,
        expires: Instant,
    ) -> Ticket {
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        request.id = id;
        request.deadline_ms = self.clock.at_ms(deadline);
        let (owed, answer) = oneshot::channel();
        self.take(Input::Arrived(request, Rc::new(call), Owed(owed)));
        Ticket { driver: self.clone(), id, answer, expires }
    }

    /// Requests that are not over.
    pub fn open(&self) -> usize {
        self.core.borrow().open.len()
    }

    /// Fails all that is owed, for a node that has no more time.
    pub fn end_all(self: &Rc<Self>) {
        let ids: Vec<RequestId> = self.core.borrow().open.keys().copied().collect();
        for id in ids {
            self.take(Input::Left(id));
        }
    }

    /// A request could be served.
    pub fn ready(&self) -> bool {
        self.core.borrow().places.values().any(|p| p.up)
    }

    /// The one way in. What comes up while an event is handled waits for its end.
    pub fn take(self: &Rc<Self>, input: Input) {
        self.inbox.borrow_mut().push_back(input);
        let Ok(mut core) = self.core.try_borrow_mut() else { return };
        let mut actions = Vec::new();
        loop {
            let next = self.inbox.borrow_mut().pop_front();
            let Some(input) = next else { return };
            let Some(event) = core.event(input, &self.upstream) else { continue };
            core.balancer.handle(self.clock.now_ms(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(&mut core, action);
            }
        }
    }

    fn later(&self, input: Input) {
        self.inbox.borrow_mut().push_back(input);
    }

    fn carry_out(self: &Rc<Self>, core: &mut Core, action: Action) {
        match action {
            Action::Send { id, backend, timeout_ms } => self.send(core, id, backend, timeout_ms),
            Action::Cancel { id, attempt } => {
                let off = core.open.get_mut(&id).and_then(|o| o.attempts.get_mut(attempt as usize));
                // Dropping the handle is the call: the attempt closes its connection and reports.
                drop(off.and_then(|a| a.as_mut()).map(|a| std::mem::replace(a, oneshot::channel().0)));
            }
            Action::Refuse { id, retry_after_ms } => core.settle(id, Answer::Refused { retry_after_ms }),
            Action::Fail(id) => core.settle(id, Answer::Failed),
            Action::Timer { token, at_ms } => {
                let driver = self.clone();
                let due = self.clock.instant(at_ms);
                spawn_local(async move {
                    tokio::time::sleep_until(due.into()).await;
                    driver.take(Input::Timer(token));
                });
            }
            Action::Probe(backend) => self.probe(core, backend),
            Action::Release(backend) => self.upstream.release(backend),
            Action::Tell { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &bytes);
                }
            }
            // Discovery may have ended with the node.
            Action::Watch(on) => drop(self.watch.send(on)),
            Action::Log(text) => log::line(&text),
        }
    }

    fn send(self: &Rc<Self>, core: &mut Core, id: RequestId, backend: BackendId, timeout_ms: f64) {
        let Some(open) = core.open.get_mut(&id) else { return };
        let attempt = u32::try_from(open.attempts.len()).unwrap_or(u32::MAX);
        let (off, mut called_off) = oneshot::channel::<()>();
        let mut report = Report {
            driver: self.clone(),
            id,
            attempt,
            backend,
            begun: Instant::now(),
            finish: Some(Outcome::Reset.into()),
        };
        open.attempts.push(Some(off));
        let place = core.places.get(&backend);
        let (Some(_), Some(place)) = (&open.owed, place) else {
            let outcome = if place.is_some() { Outcome::Skipped } else { Outcome::NotConnected };
            report.finish = Some(outcome.into());
            return;
        };
        let until = report.begun + Duration::from_secs_f64(timeout_ms.clamp(0.0, 1e9) / 1000.0);
        let (address, call) = (place.address, open.call.clone());
        let errand = Errand { backend, address, call, until, dialect: self.dialect };
        let driver = self.clone();
        spawn_local(async move {
            let wanted = || driver.stands(id, errand.backend);
            let (finish, conn) = tokio::select! {
                biased;
                _ = &mut called_off => (Outcome::Cancelled.into(), None),
                end = driver.upstream.attempt(&errand, wanted) => end,
            };
            report.finish = Some(finish);
            drop(report);
            driver.keep(errand.backend, errand.address, conn);
        });
    }

    /// Keeps a connection unless its backend has drained, gone or moved meanwhile.
    fn keep(&self, backend: BackendId, address: SocketAddr, conn: Option<Conn>) {
        let core = self.core.borrow();
        let same = core.places.get(&backend).is_some_and(|p| p.up && p.address == address);
        if let Some(conn) = conn.filter(|_| same) {
            self.upstream.keep(backend, conn);
        }
    }

    fn stands(&self, id: RequestId, backend: BackendId) -> bool {
        let core = self.core.borrow();
        core.places.get(&backend).is_some_and(|p| p.up)
            && core.open.get(&id).is_some_and(|o| o.owed.is_some())
    }

    fn probe(self: &Rc<Self>, core: &Core, backend: BackendId) {
        let Some(address) = core.places.get(&backend).map(|p| p.address) else {
            self.later(Input::Probed(backend, Outcome::NotConnected.into(), 0.0));
            return;
        };
        let driver = self.clone();
        let begun = Instant::now();
        spawn_local(async move {
            let (finish, conn) = driver.upstream.probe(backend, address, driver.probe_path).await;
            driver.take(Input::Probed(backend, finish, begun.elapsed().as_secs_f64() * 1000.0));
            driver.keep(backend, address, conn);
        });
    }
}

/// Reports the end of an attempt once, by being dropped: also when its task ends in a way nobody foresaw,
/// which may have run.
struct Report {
    driver: Rc<Driver>,
    id: RequestId,
    attempt: u32,
    backend: BackendId,
    begun: Instant,
    finish: Option<Finish>,
}

impl Drop for Report {
    fn drop(&mut self) {
        let finish = self.finish.take().unwrap_or_else(|| Outcome::Reset.into());
        let (id, attempt, backend) = (self.id, self.attempt, self.backend);
        let elapsed_ms = self.begun.elapsed().as_secs_f64() * 1000.0;
        self.driver.take(Input::Ended { id, attempt, backend, finish, elapsed_ms });
    }
}

impl Core {
    /// Notes what happened and says it in the decisions' words; none where they need not hear of it.
    fn event(&mut self, input: Input, upstream: &Upstream) -> Option<Event> {
        Some(match input {
            Input::Start => Event::Start,
            Input::List(kind, targets) => {
                self.list(kind, &targets, upstream);
                Event::List { kind, entries: targets.into_iter().map(|t| t.entry).collect() }
            }
            Input::Arrived(request, call, owed) => {
                self.open.insert(request.id, Open { owed: Some(owed), call, attempts: Vec::new() });
                Event::Request(request)
            }
            Input::Left(id) => {
                // After the answer this is no news.
                self.open.get(&id)?.owed.as_ref()?;
                self.settle(id, Answer::Failed);
                Event::Left(id)
            }
            Input::Ended { id, attempt, backend, finish, elapsed_ms } => {
                let open = self.open.get_mut(&id)?;
                open.attempts.get_mut(attempt as usize)?.take()?;
                if let Some(reply) = finish.reply
                    && let Some(owed) = open.owed.take()
                {
                    owed.settle(Answer::Served(reply));
                }
                let (last, outcome, load) = (open.owed.is_none(), finish.outcome, finish.load);
                if open.over() {
                    self.open.remove(&id);
                }
                Event::Ended { id, attempt, backend, outcome, last, elapsed_ms, load }
            }
            Input::Probed(backend, finish, elapsed_ms) => {
                Event::Probed { backend, outcome: finish.outcome, elapsed_ms, load: finish.load }
            }
            Input::Timer(token) => Event::Timer(token),
            Input::Message(from, bytes) => Event::Message { from, bytes },
            Input::Class(index, class) => Event::Class(index, class),
        })
    }

    fn settle(&mut self, id: RequestId, answer: Answer) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if let Some(owed) = open.owed.take() {
            owed.settle(answer);
        }
        if open.over() {
            self.open.remove(&id);
        }
    }

    fn list(&mut self, kind: ListKind, targets: &[Target], upstream: &Upstream) {
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            // Whoever the whole list leaves out is gone.
            for place in self.places.values_mut() {
                place.up = false;
            }
        }
        for Target { entry, address } in targets {
            let up = entry.health == Health::Up;
            match (self.places.get_mut(&entry.backend), address) {
                (Some(place), address) => {
                    let address = address.unwrap_or(place.address);
                    if address != place.address || entry.ready_at_ms > place.ready_at_ms {
                        // What was connected to the old process or place is of no use.
                        upstream.release(entry.backend);
                    }
                    *place = Place { address, up, ready_at_ms: entry.ready_at_ms };
                }
                (None, Some(address)) => {
                    let place = Place { address: *address, up, ready_at_ms: entry.ready_at_ms };
                    self.places.insert(entry.backend, place);
                }
                (None, None) => {}
            }
        }
        self.places.retain(|id, place| {
            if !place.up {
                upstream.release(*id);
            }
            place.up
        });
    }
}
