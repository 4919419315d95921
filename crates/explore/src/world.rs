//! A small model of everything around a ledger: clients, connections, backends, the list of backends and
//! time. It keeps its own record of what ran where and what was answered when, and checks the properties by
//! that record alone.

mod enabled;
mod judge;
mod node;

use crate::property::{Property, Violation};
use crate::scenario::{Faults, LAST_MARGIN_MS, MARGIN_MS, Notice, Scenario};
use crate::subject::{In, Reply, Subject, SubjectFactory};
use applemill_balancer::Balancer;
use applemill_balancer::interface::{
    BackendId, Effect as RepeatEffect, Entry, Health, ListKind, Request, RequestId,
};
use applemill_balancer::wire::stable_hash;
use applemill_blame::{AttemptResult, Blame, BlameConfig, RequestTraits};
use applemill_ledger::{AnswerProgress, ConnEvent, ConnId, Limits, RequestProgress, Target};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;

/// Bytes that follow an answer arrive within this time, in milliseconds.
const EXTRA_WINDOW_MS: f64 = 10.0;
/// The seed of the decisions' random draws.
pub const SEED: u64 = 7;

/// An event that may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorldEvent {
    /// A client sends its request.
    Arrive(usize),
    /// A client leaves.
    Leave(usize),
    /// A connection is granted a file descriptor.
    DescriptorGranted(ConnId),
    /// A connection is established.
    Connected(ConnId),
    /// A connection cannot be established.
    ConnectFailed(ConnId),
    /// Some bytes of a request are written.
    WritePart(ConnId),
    /// The remaining bytes of a request are written.
    WriteRest(ConnId),
    /// The backend runs the request and answers.
    Serve(ConnId),
    /// The same, and more bytes follow the answer.
    ServeWithExtra(ConnId),
    /// The backend rejects the request without running it.
    Reject(ConnId),
    /// The backend runs the request and sends a malformed answer.
    AnswerMalformed(ConnId),
    /// The backend sends an interim response.
    SendInterim(ConnId),
    /// The backend sends an answer's head, and the rest later.
    SendHead(ConnId),
    /// The backend runs the request and sends the head of an answer that is streamed to the client.
    BeginStream(ConnId),
    /// The backend sends the last byte of a streamed answer.
    FinishStream(ConnId),
    /// The connection is reset in the middle of a streamed answer.
    BreakStream(ConnId),
    /// Part of the body of a client's request is no longer buffered.
    BodyNotReplayable(usize),
    /// The connection is reset before the last byte of a request was written.
    Reset(ConnId),
    /// The backend runs the request, then the connection is reset.
    RunThenReset(ConnId),
    /// The backend closes an idle connection.
    CloseIdle(ConnId),
    /// The bytes that follow an answer arrive.
    ExtraArrives(ConnId),
    /// The node reads the next message on a connection.
    Read(ConnId),
    /// The process of backend 0 ends; for a restart, another one starts.
    ProcessEnds,
    /// The node receives the next notice about backend 0.
    Notice,
    /// The node is told to stop.
    Stop,
    /// Time advances to the next moment at which something falls due.
    TimePasses,
    /// The timer that is due is handed to the ledger.
    TimerDue,
}

/// How a client was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientOutcome {
    /// With a backend's answer.
    Served,
    /// The request certainly did not run, or retrying it is harmless.
    Refused,
    /// The request failed and may have run.
    Failed,
}

#[derive(Clone, Debug, Default, Hash)]
struct Client {
    /// When its request arrived, as the bits of an `f64`; none before.
    arrived_at: Option<u64>,
    left: bool,
    outcome: Option<ClientOutcome>,
    /// When the last byte of its request was first written, as bits. For an upload its patience begins
    /// there.
    upload_done_at: Option<u64>,
    /// Some bytes of an upload have been written.
    upload_begun: bool,
    /// Part of its body is no longer buffered.
    not_replayable: bool,
    /// The connection on which its answer is streamed.
    stream_conn: Option<ConnId>,
    /// The node has read a complete answer to it.
    answer_complete: bool,
}

impl Client {
    fn is_waiting(&self) -> bool {
        self.arrived_at.is_some() && !self.left && self.outcome.is_none()
    }

    fn patience_end_ms(&self, patience_ms: f64, upload_ms: Option<f64>) -> f64 {
        let arrived_at = self.arrived_at.map_or(f64::INFINITY, f64::from_bits);
        let from = match upload_ms {
            Some(longest) => self.upload_done_at.map_or(arrived_at + longest, f64::from_bits),
            None => arrived_at,
        };
        from + patience_ms
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ConnState {
    AwaitingDescriptor,
    Dialling,
    Open,
    /// Closed by the node.
    Closed,
}

/// A message from a backend that the node reads in one piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Incoming {
    Interim,
    Head,
    StreamHead,
    Answer,
    Rejection,
    Malformed,
    Disconnect,
}

#[derive(Clone, Debug, Hash)]
struct Connection {
    backend: usize,
    address: SocketAddr,
    state: ConnState,
    /// The client whose request it carries; none once the answer was read completely.
    client: Option<usize>,
    written: RequestProgress,
    /// When the first and the last byte were written, as bits.
    written_at: (u64, u64),
    /// The backend has finished with the request.
    handled: bool,
    /// Messages on the way to the node, in order.
    incoming: Vec<Incoming>,
    /// Since when it has been quiet, as bits; none before the first answer.
    quiet_since: Option<u64>,
    /// More bytes are to follow the last answer.
    extra_pending: bool,
    /// Idle, and unread bytes have arrived or the backend has closed it.
    stale: bool,
}

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Run {
    client: usize,
    backend: usize,
    /// When its first and its last byte were written, as bits.
    written_at: (u64, u64),
}

impl Run {
    fn of(connection: &Connection) -> Option<Run> {
        Some(Run {
            client: connection.client?,
            backend: connection.backend,
            written_at: connection.written_at,
        })
    }
}

/// A ledger and the model of its surroundings.
#[derive(Clone)]
pub struct World<'s> {
    scenario: &'s Scenario,
    subject: Box<dyn Subject>,
    now: f64,
    clients: Vec<Client>,
    connections: BTreeMap<ConnId, Connection>,
    addresses: Vec<SocketAddr>,
    /// The number of notices given, and whether the process that the next one tells of has ended.
    notices_given: usize,
    process_ended: bool,
    /// Addresses at which nobody listens.
    dead_addresses: Vec<SocketAddr>,
    /// The addresses that notices were about, and when they were given.
    notified: Vec<(SocketAddr, f64)>,
    /// All executions.
    runs: Vec<Run>,
    faults_left: Faults,
    stopped: bool,
    /// What the node did at the last event, for stories.
    pub actions: Vec<String>,
    /// Whether to record `actions`.
    pub record_actions: bool,
}

/// A backend's name in the list from discovery.
pub fn name(backend: usize) -> String {
    format!("s-{backend}")
}

/// The cell of a backend. Backends 0 and 1 share one.
pub fn cell(backend: usize) -> u32 {
    backend as u32 / 2
}

/// The key of a client's request.
pub fn key(client: usize) -> String {
    format!("k-{client}")
}

fn address(backend: usize, start: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, start, 1 + backend as u8], 80))
}

fn target(backend: usize, address: SocketAddr, health: Health, ready_at_ms: f64) -> Target {
    let entry = Entry {
        backend: BackendId(stable_hash(&name(backend))),
        zone: None,
        cell: Some(cell(backend)),
        health,
        units: 1.0,
        ready_at_ms,
    };
    Target { entry, address: Some(address) }
}

/// The route of every request in scenarios with a held route, and one that is healthy.
const HELD_ROUTE: u64 = 1 << 40;
const HEALTHY_ROUTE: u64 = 1 << 41;

/// A blame that found the route at fault long enough ago for a trial to be due.
fn blame_with_held_route() -> Blame {
    let config = BlameConfig { initial_pause_ms: 1.0, trials_per_s: 1_000.0, ..BlameConfig::default() };
    let mut blame = Blame::new(config, SEED);
    let traits = |route| RequestTraits { route: Some(route), ..RequestTraits::default() };
    for n in 0..60 {
        let now = -2_000.0 + f64::from(n) * 20.0;
        blame.ended(now, &traits(HEALTHY_ROUTE), 9, AttemptResult::Success);
        if blame.culprits().next().is_none() {
            blame.ended(now, &traits(HELD_ROUTE), 9, AttemptResult::Disconnected);
        }
    }
    blame
}

impl<'s> World<'s> {
    /// Creates a world whose node knows its backends, with an idle connection to each if the scenario says
    /// so.
    ///
    /// # Errors
    /// The settings are invalid, or the start itself breaks a property.
    pub fn new(make: SubjectFactory, scenario: &'s Scenario) -> Result<World<'s>, Violation> {
        let settings = scenario.settings();
        let limits = Limits {
            connect_ms: settings.connect_timeout_ms,
            idle_ms: settings.conn_idle_ms,
            acts_on_partial: true,
        };
        let balancer = Balancer::new(settings, SEED)
            .map_err(|e| Violation { property: Property::Setup, description: e.to_string() })?;
        let addresses: Vec<SocketAddr> = (0..scenario.backends).map(|b| address(b, 0)).collect();
        let all = addresses.iter().enumerate().map(|(b, at)| target(b, *at, Health::Up, 0.0)).collect();
        let mut world = World {
            scenario,
            subject: make(balancer, limits, scenario.route_held.then(blame_with_held_route)),
            now: 0.0,
            clients: vec![Client::default(); scenario.requests.len()],
            connections: BTreeMap::new(),
            addresses,
            notices_given: 0,
            process_ended: false,
            dead_addresses: Vec::new(),
            notified: Vec::new(),
            runs: Vec::new(),
            faults_left: scenario.faults,
            stopped: false,
            actions: Vec::new(),
            record_actions: false,
        };
        world.hand_in(In::Start)?;
        world.hand_in(In::List(ListKind::Full, all))?;
        if scenario.idle_connections {
            world.warm_up()?;
        }
        Ok(world)
    }

    /// Opens a connection to each backend with simultaneous requests: each next one goes to a backend with
    /// fewer requests.
    fn warm_up(&mut self) -> Result<(), Violation> {
        let clients = std::mem::replace(&mut self.clients, vec![Client::default(); self.addresses.len()]);
        for n in 0..self.clients.len() {
            self.arrive(n, 1_000 + n as u64, 0)?;
        }
        for conn in self.connections.keys().copied().collect::<Vec<_>>() {
            for event in [
                WorldEvent::DescriptorGranted(conn),
                WorldEvent::Connected(conn),
                WorldEvent::WriteRest(conn),
                WorldEvent::Serve(conn),
                WorldEvent::Read(conn),
            ] {
                if self.enabled().contains(&event) {
                    self.apply(event)?;
                }
            }
        }
        let backends: std::collections::BTreeSet<usize> =
            self.connections.values().map(|c| c.backend).collect();
        if backends.len() != self.addresses.len() {
            let description =
                format!("connections to {} of {} backends", backends.len(), self.addresses.len());
            return Err(Violation { property: Property::Setup, description });
        }
        self.clients = clients;
        self.runs.clear();
        self.now += 50.0;
        Ok(())
    }

    fn arrive(&mut self, n: usize, id: u64, class: usize) -> Result<(), Violation> {
        if let Some(client) = self.clients.get_mut(n) {
            client.arrived_at = Some(self.now.to_bits());
        }
        let upload_ms = self.scenario.upload_ms.filter(|_| id < 1_000);
        let time_limit_ms = self.scenario.patience_ms() + upload_ms.unwrap_or(0.0);
        let request = Request {
            id: RequestId(id),
            class,
            tenant: None,
            key: Some(stable_hash(&key(n))),
            deadline_ms: self.now + time_limit_ms - MARGIN_MS,
            effort_ms: None,
            retry: false,
            suspect: false,
        };
        let expires_ms = self.now + time_limit_ms - LAST_MARGIN_MS;
        let upload_ms = upload_ms.map(|_| self.scenario.patience_ms() - LAST_MARGIN_MS);
        let work = self
            .scenario
            .route_held
            .then(|| Rc::new(RequestTraits { route: Some(HELD_ROUTE), ..RequestTraits::default() }));
        self.hand_in(In::Arrived { request, expires_ms, upload_ms, work, call: n, owed: n })
    }

    /// Applies an event and checks the properties.
    ///
    /// # Errors
    /// A property is broken.
    pub fn apply(&mut self, event: WorldEvent) -> Result<(), Violation> {
        use WorldEvent as E;
        self.actions.clear();
        match event {
            E::Arrive(n) => self.arrive(n, n as u64, n)?,
            E::Leave(n) => {
                self.faults_left.leaves -= 1;
                let mut stream = None;
                if let Some(client) = self.clients.get_mut(n) {
                    client.left = true;
                    stream = client.stream_conn.take();
                }
                match stream {
                    Some(conn) => self.conn_event(conn, ConnEvent::Unwanted)?,
                    None => self.hand_in(In::ClientLeft(RequestId(n as u64)))?,
                }
            }
            E::DescriptorGranted(id) => {
                self.update_connection(id, |c| c.state = ConnState::Dialling);
                self.conn_event(id, ConnEvent::Dialling)?;
            }
            E::Connected(id) => {
                self.update_connection(id, |c| c.state = ConnState::Open);
                self.conn_event(id, ConnEvent::Connected)?;
            }
            E::ConnectFailed(id) => {
                let dead =
                    self.connections.get(&id).is_some_and(|c| self.dead_addresses.contains(&c.address));
                self.faults_left.connect_failures -= u8::from(!dead);
                self.connections.remove(&id);
                self.conn_event(id, ConnEvent::ConnectFailed)?;
            }
            E::WritePart(id) => {
                self.faults_left.partial_writes -= 1;
                self.write_request(id, RequestProgress::Partial)?;
            }
            E::WriteRest(id) => self.write_request(id, RequestProgress::Complete)?,
            E::Serve(id) => self.backend_acts(id, true, Incoming::Answer),
            E::ServeWithExtra(id) => {
                self.faults_left.extras -= 1;
                self.update_connection(id, |c| c.extra_pending = true);
                self.backend_acts(id, true, Incoming::Answer);
            }
            E::Reject(id) => {
                self.faults_left.rejections -= 1;
                self.backend_acts(id, false, Incoming::Rejection);
            }
            E::AnswerMalformed(id) => {
                self.faults_left.malformed -= 1;
                self.backend_acts(id, true, Incoming::Malformed);
            }
            E::SendInterim(id) => {
                self.faults_left.interims -= 1;
                self.update_connection(id, |c| c.incoming.push(Incoming::Interim));
            }
            E::SendHead(id) => {
                self.faults_left.interims -= 1;
                self.update_connection(id, |c| c.incoming.push(Incoming::Head));
            }
            E::BeginStream(id) => {
                self.faults_left.streams -= 1;
                self.backend_acts(id, true, Incoming::StreamHead);
            }
            E::FinishStream(id) => self.backend_acts(id, false, Incoming::Answer),
            E::BreakStream(id) => {
                self.faults_left.resets -= 1;
                self.backend_acts(id, false, Incoming::Disconnect);
            }
            E::BodyNotReplayable(n) => {
                self.faults_left.not_replayable -= 1;
                if let Some(client) = self.clients.get_mut(n) {
                    client.not_replayable = true;
                }
                self.hand_in(In::NotReplayable(RequestId(n as u64)))?;
            }
            E::Reset(id) => {
                self.faults_left.resets -= 1;
                self.backend_acts(id, false, Incoming::Disconnect);
            }
            E::RunThenReset(id) => {
                self.faults_left.resets -= 1;
                self.backend_acts(id, true, Incoming::Disconnect);
            }
            E::CloseIdle(id) => {
                self.faults_left.idle_closes -= 1;
                self.update_connection(id, |c| c.stale = true);
            }
            E::ExtraArrives(id) => self.update_connection(id, |c| {
                c.extra_pending = false;
                match c.client {
                    // It looks like an answer to the request that the connection carries now.
                    Some(_) => {
                        c.handled = true;
                        c.incoming.push(Incoming::Answer);
                    }
                    None => c.stale = true,
                }
            }),
            E::Read(id) => self.deliver(id)?,
            E::ProcessEnds => self.end_process(),
            E::Notice => self.give_notice()?,
            E::Stop => {
                self.stopped = true;
                self.hand_in(In::Stop)?;
                self.judge_stop()?;
            }
            E::TimePasses => self.now = self.next_time_ms().unwrap_or(self.now),
            E::TimerDue => self.hand_in(In::TimerDue)?,
        }
        self.judge()
    }

    fn update_connection(&mut self, id: ConnId, change: impl FnOnce(&mut Connection)) {
        if let Some(connection) = self.connections.get_mut(&id) {
            change(connection);
        }
    }

    fn conn_event(&mut self, id: ConnId, event: ConnEvent<Reply>) -> Result<(), Violation> {
        self.hand_in(In::Conn(id, event))
    }

    fn write_request(&mut self, id: ConnId, written: RequestProgress) -> Result<(), Violation> {
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
        let first = connection.written == RequestProgress::Nothing;
        connection.written = written;
        let client = connection.client.and_then(|n| self.clients.get_mut(n));
        if let Some(client) = client.filter(|_| self.scenario.upload_ms.is_some()) {
            client.upload_begun = true;
            if written == RequestProgress::Complete {
                client.upload_done_at.get_or_insert(self.now.to_bits());
            }
        }
        let effect = connection.client.and_then(|n| self.scenario.requests.get(n));
        // The times matter for keyed requests only.
        if matches!(effect, Some(RepeatEffect::Keyed(_))) {
            connection.written_at =
                (if first { self.now.to_bits() } else { connection.written_at.0 }, self.now.to_bits());
        }
        let grace_ms = self.scenario.grace_ms();
        let past_grace = self.notified.iter().find(|(address, notified_ms)| {
            *address == connection.address && self.now > notified_ms + grace_ms
        });
        if let (true, Some((address, notified_ms))) = (first, past_grace) {
            let description =
                format!("first sent to {address} at {} ms, after the notice at {notified_ms} ms", self.now);
            return Err(Violation { property: Property::DrainGrace, description });
        }
        self.conn_event(id, ConnEvent::Progress(written, AnswerProgress::Nothing))
    }

    fn record_run(&mut self, id: ConnId) {
        self.runs.extend(self.connections.get(&id).and_then(Run::of));
    }

    fn backend_acts(&mut self, id: ConnId, ran: bool, message: Incoming) {
        if ran {
            self.record_run(id);
        }
        self.update_connection(id, |c| {
            c.handled = true;
            c.incoming.push(message);
        });
    }

    /// Ends the process of backend 0 and breaks its connections.
    fn end_process(&mut self) {
        self.process_ended = true;
        let Some(at) = self.addresses.first().copied() else { return };
        for connection in
            self.connections.values_mut().filter(|c| c.address == at && c.state == ConnState::Open)
        {
            if connection.client.is_none() {
                connection.stale = true;
            } else if !connection.handled {
                connection.handled = true;
                connection.incoming.push(Incoming::Disconnect);
                // A request that had arrived completely is taken to have run: that is the worst case.
                let complete = connection.written == RequestProgress::Complete;
                self.runs.extend(Run::of(connection).filter(|_| complete));
            }
        }
        if self.scenario.notices.get(self.notices_given) != Some(&Notice::Restart) {
            self.dead_addresses.push(at);
        }
    }

    fn give_notice(&mut self) -> Result<(), Violation> {
        let Some(notice) = self.scenario.notices.get(self.notices_given).copied() else { return Ok(()) };
        let Some(at) = self.addresses.first().copied() else { return Ok(()) };
        self.notices_given += 1;
        self.process_ended = false;
        let update = match notice {
            Notice::Drain => target(0, at, Health::Draining, 0.0),
            Notice::Remove => target(0, at, Health::Gone, 0.0),
            Notice::Restart => target(0, at, Health::Up, self.now),
            Notice::Move => target(0, address(0, self.notices_given as u8), Health::Up, self.now),
        };
        if notice != Notice::Restart {
            self.notified.push((at, self.now));
        }
        if let (Some(first), Some(new)) = (self.addresses.first_mut(), update.address) {
            *first = new;
        }
        self.hand_in(In::List(ListKind::Changes, vec![update]))
    }

    /// Hashes the whole state: two worlds with the same hash are treated as one.
    pub fn digest(&self, state: &mut dyn Hasher) {
        let mut state = state;
        self.subject.digest(state);
        let state = &mut state;
        self.now.to_bits().hash(state);
        (&self.clients, &self.connections, &self.addresses, self.notices_given, self.process_ended)
            .hash(state);
        (&self.dead_addresses, self.faults_left, self.stopped).hash(state);
        self.notified
            .iter()
            .for_each(|(address, notified_ms)| (address, notified_ms.to_bits()).hash(state));
        let mut runs = self.runs.clone();
        runs.sort_unstable();
        runs.hash(state);
    }

    /// The time, in milliseconds.
    pub fn now_ms(&self) -> f64 {
        self.now
    }

    /// How a client was answered; none before, and none if it has left.
    pub fn client_outcome(&self, client: usize) -> Option<ClientOutcome> {
        self.clients.get(client).filter(|c| !c.left).and_then(|c| c.outcome)
    }

    /// The connections that the node holds open, with their addresses.
    pub fn open_connections(&self) -> impl Iterator<Item = (ConnId, SocketAddr)> + '_ {
        self.connections.iter().filter(|(_, c)| c.state == ConnState::Open).map(|(id, c)| (*id, c.address))
    }

    /// The present address of a backend.
    pub fn address_of(&self, backend: usize) -> Option<SocketAddr> {
        self.addresses.get(backend).copied()
    }

    /// Whether somebody listens at a connection's address.
    pub fn is_reachable(&self, id: ConnId) -> bool {
        self.connections.get(&id).is_some_and(|c| !self.dead_addresses.contains(&c.address))
    }

    /// The next notice.
    pub fn next_notice(&self) -> Option<Notice> {
        self.scenario.notices.get(self.notices_given).copied()
    }

    /// Whether an idle connection has been quiet for less than `ms` since its last answer.
    pub fn has_unsettled_connection(&self, ms: f64) -> bool {
        let quiet = |c: &Connection| c.quiet_since.map_or(f64::NEG_INFINITY, f64::from_bits);
        self.connections
            .values()
            .any(|c| c.state == ConnState::Open && c.client.is_none() && self.now - quiet(c) < ms)
    }

    /// A connection's backend, and the client whose request it carries.
    pub fn backend_and_client(&self, id: ConnId) -> (Option<usize>, Option<usize>) {
        self.connections.get(&id).map_or((None, None), |c| (Some(c.backend), c.client))
    }
}
