//! The simulation: the virtual clock and the queue of events, handled in order of time.

mod clients;
mod faults;
mod messages;
mod wire;

use crate::clients::{ClientGroup, ClientRequest};
use crate::draw::Draws;
use crate::floor::{Floor, FloorError};
use crate::node::{Node, NodeInput, TryId};
use crate::record::{Broken, Group, Record, Rule, Second};
use crate::server::Server;
use crate::world::World;
use applemill_balancer::balancer::learned::LearnedState;
use applemill_balancer::interface::{Effect as ClassEffect, ZoneId};
use applemill_ledger::{ConnId, Input, Target};
use slab::Slab;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

/// The time of the nodes' clock at the start of the world. Not 0, because a server's start at 0 means the
/// distant past.
const START_MS: f64 = 10_000.0;
/// The longest time after the last arrival in which open requests may end, in milliseconds.
const MAX_WIND_DOWN_MS: f64 = 120_000.0;
/// Interval at which nodes close expired idle connections.
const IDLE_SWEEP_MS: f64 = 500.0;
const SECOND_MS: f64 = 1_000.0;
/// Number of events between two entries of [`Record::digest_marks`].
pub const EVENTS_PER_MARK: u64 = 1_000;
/// Limit of [`Record::errors`].
const MAX_RECORDED_ERRORS: usize = 1_000_000;
/// Limit of [`Record::broken`].
const MAX_RECORDED_VIOLATIONS: usize = 20;

/// An event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    /// The next request of a group of clients arrives.
    ClientArrives(usize),
    /// A client sends a request again.
    ClientTries(usize),
    /// The client's time-out of a try.
    ClientGivesUp(TryId),
    /// The timer of a node's pool; ignored if the node has stopped since, which its incarnation shows.
    NodeTimerDue { node: usize, pool: usize, incarnation: u32 },
    /// An attempt to connect has succeeded or failed.
    DialEnds { node: usize, pool: usize, incarnation: u32, conn: ConnId },
    /// A node notices that a connection broke.
    ConnectionBreaks { node: usize, pool: usize, incarnation: u32, conn: ConnId },
    /// The request of an exchange reaches its server.
    RequestReachesServer(usize),
    /// A server has finished the request of an exchange.
    ServerFinishes { server: usize, incarnation: u32, exchange: usize },
    /// The answer of an exchange reaches its node.
    AnswerReachesNode(usize),
    /// A list of servers from discovery reaches a node.
    ListReachesNode { node: usize, pool: usize, incarnation: u32, number: u64, list: Rc<Vec<Target>> },
    /// A fault begins (true) or ends.
    Fault(usize, bool),
    /// A server starts, after a crash or at its configured time.
    ServerStarts(usize),
    /// A message of another node arrives.
    MessageReachesNode { node: usize, pool: usize, from: u32, bytes: Rc<Vec<u8>> },
    /// Nodes close expired idle connections.
    IdleSweep,
    /// A second of the world is over.
    SecondEnds,
}

struct ScheduledEvent {
    /// Time in whole nanoseconds, for exact comparison.
    at_ns: u64,
    /// Orders events of the same time.
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.at_ns, self.sequence) == (other.at_ns, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// Reversed for the max-heap: the earliest event is the greatest, and of the same time the one scheduled
    /// first.
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (other.at_ns, other.sequence).cmp(&(self.at_ns, self.sequence))
    }
}

/// How a server answers a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerAnswer {
    Success,
    Error,
    QueueFull,
    Malformed,
}

/// At which point of an exchange its connection breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreakPoint {
    /// Before the server has the request.
    BeforeServer,
    /// After the server has the request.
    AfterServer,
}

/// A request that was sent to a server, or a probe.
#[derive(Clone, Debug)]
struct Exchange {
    /// `None` for a probe.
    try_id: Option<TryId>,
    /// Hash of the client's request and the number of the attempt; the seed of the service time.
    attempt_seed: u64,
    node: usize,
    pool: usize,
    incarnation: u32,
    /// `None` once the node has closed the connection.
    conn: Option<ConnId>,
    server: usize,
    server_incarnation: u32,
    sent_ms: f64,
    break_point: Option<BreakPoint>,
    answer: Option<ServerAnswer>,
    /// The request has reached the server.
    reached: bool,
}

/// Where and when a try first ran at a server.
#[derive(Clone, Copy, Debug)]
struct FirstRun {
    zone: Option<ZoneId>,
    cell: Option<u32>,
    at_ms: f64,
}

/// A try of a client at a node.
#[derive(Clone, Debug)]
struct ClientTry {
    /// Key of the client's request in [`Lab::requests`].
    request: usize,
    /// [`ClientRequest::number`].
    request_number: u64,
    /// Attempts of the node so far.
    attempts: u32,
    node: usize,
    pool: usize,
    client_waits: bool,
    /// The node has answered.
    answered: bool,
    open_exchanges: u32,
    /// How often it ran at servers.
    runs: u32,
    first_run: Option<FirstRun>,
    /// When the client gives up.
    deadline_ms: f64,
}

/// A running simulation of a world.
pub struct Lab<'w> {
    world: &'w World,
    floor: &'w Floor,
    seed: u64,
    now: f64,
    queue: BinaryHeap<ScheduledEvent>,
    last_sequence: u64,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    /// By server: discovery announces that it drains.
    draining: Vec<bool>,
    client_groups: Vec<ClientGroup>,
    requests: Slab<ClientRequest>,
    tries: BTreeMap<TryId, ClientTry>,
    exchanges: Slab<Exchange>,
    next_try_id: TryId,
    requests_arrived: u64,
    /// Number of the latest list of servers.
    list_number: u64,
    network_draws: Draws,
    /// Separate, so that messages change no other draw.
    message_draws: Draws,
    record: Record,
    traced_try: Option<TryId>,
    trace_lines: Vec<String>,
}

fn to_ns(ms: f64) -> u64 {
    (ms * 1e6).round() as u64
}

impl<'w> Lab<'w> {
    /// Sets up a world at its start. The same seed gives the same clients, service times and faults with any
    /// operator's file.
    ///
    /// # Errors
    /// The decisions reject the settings of the file.
    pub fn new(world: &'w World, floor: &'w Floor, seed: u64) -> Result<Lab<'w>, FloorError> {
        let configs = world
            .servers
            .iter()
            .enumerate()
            .flat_map(|(group, config)| (0..config.count).map(move |_| (group, config)));
        let servers: Vec<Server> =
            configs.enumerate().map(|(n, (group, config))| Server::new(group, config, seed, n)).collect();
        let groups = world.clients.iter().filter_map(|c| Group::new(&c.name)).collect();
        let record = Record {
            groups,
            seconds: Vec::new(),
            servers: Vec::new(),
            errors: Vec::new(),
            told_bytes: 0,
            broken: Vec::new(),
            broken_count: 0,
            cold_ratio: 0.0,
            events: 0,
            digest: 0xcbf2_9ce4_8422_2325,
            digest_marks: Vec::new(),
        };
        let mut lab = Lab {
            world,
            floor,
            seed,
            now: START_MS,
            queue: BinaryHeap::new(),
            last_sequence: 0,
            nodes: Vec::new(),
            draining: vec![false; servers.len()],
            servers,
            client_groups: world
                .clients
                .iter()
                .enumerate()
                .map(|(n, c)| ClientGroup::new(c, seed, n))
                .collect(),
            requests: Slab::new(),
            tries: BTreeMap::new(),
            exchanges: Slab::new(),
            next_try_id: 0,
            requests_arrived: 0,
            list_number: 0,
            network_draws: Draws::new(seed, 0x4e),
            message_draws: Draws::new(seed, 0x7e11),
            record,
            traced_try: None,
            trace_lines: Vec::new(),
        };
        for n in 0..world.nodes as usize {
            let zone = world.node_zones.get(n % world.node_zones.len().max(1)).cloned();
            lab.nodes.push(Node { pools: None, zone, incarnation: 0, discovery_frozen: false });
            lab.start_node(n)?;
        }
        for group in 0..world.clients.len() {
            lab.schedule_arrival(group);
        }
        for (n, fault) in world.faults.iter().enumerate() {
            lab.schedule(START_MS + fault.at * 1000.0, Event::Fault(n, true));
            lab.schedule(START_MS + (fault.at + fault.lasts) * 1000.0, Event::Fault(n, false));
        }
        let late_starts: Vec<(usize, f64)> = lab
            .servers
            .iter()
            .enumerate()
            .filter(|(_, s)| !s.is_up())
            .filter_map(|(n, s)| Some((n, world.servers.get(s.group)?.from?)))
            .collect();
        for (n, from) in late_starts {
            lab.schedule(START_MS + from * 1000.0, Event::ServerStarts(n));
        }
        lab.schedule(START_MS + IDLE_SWEEP_MS, Event::IdleSweep);
        lab.schedule(START_MS + SECOND_MS, Event::SecondEnds);
        Ok(lab)
    }

    /// Also traces the events of one try; see [`Broken::id`] and [`Lab::told`].
    #[must_use]
    pub fn telling(mut self, id: TryId) -> Lab<'w> {
        self.traced_try = Some(id);
        self
    }

    /// The trace of the try given to [`Lab::telling`], one line per event.
    pub fn told(&self) -> &[String] {
        &self.trace_lines
    }

    /// The virtual time, in seconds from the start of the world.
    pub fn seconds(&self) -> f64 {
        (self.now - START_MS) / 1000.0
    }

    /// Runs to the end: until no more clients arrive and every request has ended.
    pub fn run(mut self) -> Record {
        while self.step() {}
        self.ended()
    }

    /// Handles all events up to the given time, in seconds from the start; false once the world has ended.
    pub fn run_until(&mut self, seconds: f64) -> bool {
        let end_ns = to_ns(START_MS + seconds * 1000.0);
        while self.queue.peek().is_some_and(|next| next.at_ns <= end_ns) {
            if !self.step() {
                return false;
            }
        }
        true
    }

    /// The number of client requests, tries and exchanges with servers that have not ended.
    pub fn held(&self) -> usize {
        self.requests.len() + self.tries.len() + self.exchanges.len()
    }

    /// The record so far.
    pub fn so_far(&self) -> &Record {
        &self.record
    }

    /// Ends the run. Each client that still waits for an answer is recorded as a violation of
    /// [`Rule::Answer`].
    pub fn ended(mut self) -> Record {
        let waiting: Vec<TryId> =
            self.tries.iter().filter(|(_, t)| t.client_waits).map(|(id, _)| *id).collect();
        for id in waiting {
            self.record_violation(
                Rule::Answer,
                "the world ended while its client still waited".to_owned(),
                Some(id),
            );
        }
        self.record
    }

    fn is_over(&self) -> bool {
        let end = START_MS + self.world.seconds * 1000.0;
        self.now > end && self.requests.is_empty() && self.exchanges.is_empty()
            || self.now > end + MAX_WIND_DOWN_MS
    }

    /// Handles the next event; false once the world has ended.
    fn step(&mut self) -> bool {
        if self.is_over() {
            return false;
        }
        let Some(ScheduledEvent { at_ns, event, .. }) = self.queue.pop() else { return false };
        self.now = self.now.max(at_ns as f64 / 1e6);
        self.update_digest(at_ns, &event);
        self.handle_event(event);
        true
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ClientArrives(group) => self.client_arrives(group),
            Event::ClientTries(request) => self.start_try(request),
            Event::ClientGivesUp(id) => self.client_gives_up(id),
            Event::NodeTimerDue { node, pool, incarnation } => self.node_timer_due(node, pool, incarnation),
            Event::DialEnds { node, pool, incarnation, conn } => {
                self.dial_ended(node, pool, incarnation, conn)
            }
            Event::ConnectionBreaks { node, pool, incarnation, conn } => {
                self.connection_broke(node, pool, incarnation, conn)
            }
            Event::RequestReachesServer(exchange) => self.request_reaches_server(exchange),
            Event::ServerFinishes { server, incarnation, exchange } => {
                self.server_finishes(server, incarnation, exchange)
            }
            Event::AnswerReachesNode(exchange) => self.answer_reaches_node(exchange),
            Event::ListReachesNode { node, pool, incarnation, number, list } => {
                self.list_reaches_node(node, pool, incarnation, number, &list)
            }
            Event::Fault(n, begins) => self.apply_fault(n, begins),
            Event::ServerStarts(server) => {
                if let Some(s) = self.servers.get_mut(server).filter(|s| !s.is_up()) {
                    s.start(self.now);
                    self.announce_servers();
                }
            }
            Event::IdleSweep => {
                for (node, pool) in self.all_node_pools() {
                    self.deliver(node, pool, Input::CloseExpired);
                }
                self.schedule(self.now + IDLE_SWEEP_MS, Event::IdleSweep);
            }
            Event::MessageReachesNode { node, pool, from, bytes } => {
                self.message_reaches_node(node, pool, from, &bytes)
            }
            Event::SecondEnds => {
                self.send_false_reports();
                self.record_learned_state();
                self.schedule(self.now + SECOND_MS, Event::SecondEnds);
            }
        }
    }

    /// Records the load level and limits that the nodes have learned, for the second that ends.
    fn record_learned_state(&mut self) {
        let pools = self.nodes.iter().filter_map(|n| n.pools.as_ref()).flatten();
        let learned: Vec<LearnedState> = pools.filter_map(|s| s.decider.export_learned()).collect();
        let level = learned.iter().map(LearnedState::level).sum::<f64>() / learned.len().max(1) as f64;
        let limit =
            learned.iter().flat_map(LearnedState::limits).sum::<f64>() / self.servers.len().max(1) as f64;
        let n = ((self.now - START_MS) / 1000.0).round() as usize;
        if let Some(second) = n.checked_sub(1).and_then(|n| self.record.seconds.get_mut(n)) {
            (second.level, second.limit) = (level as f32, limit as f32);
        }
    }

    fn all_node_pools(&self) -> Vec<(usize, usize)> {
        let of_node = |(n, node): (usize, &Node)| {
            (0..node.pools.as_ref().map_or(0, Vec::len)).map(move |pool| (n, pool)).collect::<Vec<_>>()
        };
        self.nodes.iter().enumerate().flat_map(of_node).collect()
    }

    fn schedule(&mut self, at_ms: f64, event: Event) {
        self.last_sequence += 1;
        self.queue.push(ScheduledEvent {
            at_ns: to_ns(at_ms.max(self.now)),
            sequence: self.last_sequence,
            event,
        });
    }

    /// Mixes an event into the digest of the run.
    fn update_digest(&mut self, at_ns: u64, event: &Event) {
        let (kind, a, b) = match event {
            Event::ClientArrives(n) => (1, *n as u64, 0),
            Event::ClientTries(n) => (2, *n as u64, 0),
            Event::ClientGivesUp(id) => (3, *id, 0),
            Event::NodeTimerDue { node, pool, .. } => (4, *node as u64, *pool as u64),
            Event::DialEnds { node, conn, .. } => (5, *node as u64, conn.0),
            Event::ConnectionBreaks { node, conn, .. } => (6, *node as u64, conn.0),
            Event::RequestReachesServer(n) => (7, *n as u64, 0),
            Event::ServerFinishes { server, exchange, .. } => (8, *server as u64, *exchange as u64),
            Event::AnswerReachesNode(n) => (9, *n as u64, 0),
            Event::ListReachesNode { node, number, .. } => (10, *node as u64, *number),
            Event::Fault(n, begins) => (11, *n as u64, u64::from(*begins)),
            Event::ServerStarts(n) => (12, *n as u64, 0),
            Event::IdleSweep => (13, 0, 0),
            Event::SecondEnds => (14, 0, 0),
            Event::MessageReachesNode { node, from, .. } => (15, *node as u64, u64::from(*from)),
        };
        for word in [at_ns, kind, a, b] {
            self.record.digest = (self.record.digest ^ word).wrapping_mul(0x0100_0000_01b3).rotate_left(17);
        }
        self.record.events += 1;
        if self.record.events.is_multiple_of(EVENTS_PER_MARK) {
            self.record.digest_marks.push(self.record.digest);
        }
    }

    fn current_second(&mut self) -> Option<&mut Second> {
        let n = ((self.now - START_MS) / 1000.0).max(0.0) as usize;
        if self.record.seconds.len() <= n {
            self.record.seconds.resize(n + 1, Second::default());
            self.record.servers.resize(n + 1, vec![0; self.servers.len()]);
        }
        self.record.seconds.get_mut(n)
    }

    fn trace(&mut self, id: Option<TryId>, text: impl FnOnce() -> String) {
        if id.is_some() && id == self.traced_try {
            let line = format!("{:10.3} s  {}", (self.now - START_MS) / 1000.0, text());
            self.trace_lines.push(line);
        }
    }

    fn record_violation(&mut self, rule: Rule, how: String, id: Option<TryId>) {
        self.record.broken_count += 1;
        if self.record.broken.len() < MAX_RECORDED_VIOLATIONS {
            let at = (self.now - START_MS) / 1000.0;
            self.record.broken.push(Broken { rule, at, how, id });
        }
    }

    /// Passes an input to a pool of a node and applies the resulting effects.
    fn deliver(&mut self, node: usize, pool: usize, input: NodeInput) {
        let now = self.now;
        let Some(node_pool) = self.nodes.get_mut(node).and_then(|n| n.node_pool(pool)) else { return };
        node_pool.pending_inputs.push_back(input);
        let mut out = Vec::new();
        loop {
            let Some(node_pool) = self.nodes.get_mut(node).and_then(|n| n.node_pool(pool)) else { return };
            let Some(input) = node_pool.pending_inputs.pop_front() else { break };
            node_pool.decider.handle(now, input, &mut out);
            for effect in out.drain(..) {
                self.apply_effect(node, pool, effect);
            }
        }
        let Some(incarnation) = self.nodes.get(node).map(|n| n.incarnation) else { return };
        let Some(node_pool) = self.nodes.get_mut(node).and_then(|n| n.node_pool(pool)) else { return };
        if let Some(due) = node_pool.decider.next_due_ms()
            && due < node_pool.next_wake_ms
        {
            node_pool.next_wake_ms = due;
            self.schedule(due, Event::NodeTimerDue { node, pool, incarnation });
        }
    }

    fn node_timer_due(&mut self, node: usize, pool: usize, incarnation: u32) {
        let now = self.now;
        let Some(n) = self.nodes.get_mut(node).filter(|n| n.incarnation == incarnation) else { return };
        let Some(node_pool) = n.node_pool(pool) else { return };
        // An outdated event: the timer was moved since.
        if node_pool.next_wake_ms > now + 1e-6 {
            return;
        }
        node_pool.next_wake_ms = f64::INFINITY;
        // Rounding to nanoseconds may make the event slightly early.
        if let Some(due) = node_pool.decider.next_due_ms().filter(|due| *due > now && *due < now + 1e-3) {
            self.now = due;
        }
        self.deliver(node, pool, Input::TimerDue);
    }

    /// Counts a run of a try at a server and checks it against what its class allows ([`Rule::Again`]).
    fn record_run(&mut self, id: TryId, server: usize) {
        let now = self.now;
        let Some((_, target)) = self.floor.servers.get(server) else { return };
        let (zone, cell) = (target.entry.zone, target.entry.cell);
        let Some(client_try) = self.tries.get_mut(&id) else { return };
        client_try.runs += 1;
        let (runs, first) =
            (client_try.runs, *client_try.first_run.get_or_insert(FirstRun { zone, cell, at_ms: now }));
        let Some(group) = self.requests.get(client_try.request).map(|r| r.group) else { return };
        let Some(path) = self.floor.paths.get(group) else { return };
        use applemill_balancer::interface::Group as KeyScope;
        let repeat_is_harmless = match path.effect {
            ClassEffect::Safe => true,
            ClassEffect::Unsafe => runs < 2,
            ClassEffect::Keyed(KeyScope::All) => true,
            ClassEffect::Keyed(KeyScope::Zone) => first.zone.is_some() && first.zone == zone,
            ClassEffect::Keyed(KeyScope::Cell) => first.cell.is_some() && first.cell == cell,
        };
        let key_ttl_ms =
            self.floor.pools.get(path.pool).and_then(|p| p.settings.classes.get(path.class)).map_or(
                f64::INFINITY,
                |c| {
                    if matches!(c.effect, ClassEffect::Keyed(_)) { c.key_ttl_ms } else { f64::INFINITY }
                },
            );
        if !repeat_is_harmless || now - first.at_ms > key_ttl_ms {
            self.record_violation(
                Rule::Again,
                format!("it ran {runs} times, last at server {server}"),
                Some(id),
            );
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{Event, ScheduledEvent};
    use std::collections::BinaryHeap;

    #[test]
    fn events_are_taken_by_time_and_then_in_the_order_scheduled() {
        let at = |at_ns, sequence| ScheduledEvent { at_ns, sequence, event: Event::IdleSweep };
        let mut heap: BinaryHeap<ScheduledEvent> =
            [at(5, 1), at(3, 4), at(3, 2), at(9, 0), at(3, 3)].into();
        let order: Vec<_> = std::iter::from_fn(|| heap.pop()).map(|d| (d.at_ns, d.sequence)).collect();
        assert_eq!(order, [(3, 2), (3, 3), (3, 4), (5, 1), (9, 0)]);
    }
}
