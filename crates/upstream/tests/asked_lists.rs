//! A fleet whose nodes ask one service for their lists, in virtual time: the service is down, and crowded at its
//! return. What it has to tell then has to be known to every node in time, with a bounded number of calls.

use applemill_balancer::Balancer;
use applemill_balancer::interface::{
    Action, Class, Discovery, Effect, Event, ListKind, RouteValues, Settings,
};
use applemill_watch_calls::{CallId, CallTiming, ListVersion, Step, WatchCalls};
use std::collections::VecDeque;

const STEP_MS: f64 = 5.0;
const GRACE_MS: f64 = 500.0;
/// By which each limit is longer on sockets.
const SOCKET_SLACK_MS: f64 = 50.0;
/// A node may be held up for this long between its decision and the first byte.
const HELD_UP_MS: f64 = 150.0;
/// A change counts as told at the latest this long after discovery had it and could be reached.
const TOLD_WITHIN_MS: f64 = 6_000.0;
const KNOWN_WITHIN_MS: f64 = TOLD_WITHIN_MS + GRACE_MS + SOCKET_SLACK_MS - HELD_UP_MS;
/// When the service goes down.
const DOWN_MS: f64 = 3_000.0;
/// The service ends a call that has waited for so long.
const LONGEST_QUEUE_MS: f64 = 1_000.0;
/// Calls that the whole fleet may make in any second, once calls have failed twice in a row.
const MAX_FLEET_CALLS_PER_S: usize = 1_500;
/// By then they have at every node.
const SECOND_FAILURE_MS: f64 = 1_000.0;

struct Node {
    balancer: Balancer,
    calls: WatchCalls,
    wanted: bool,
    retry: Option<(f64, u64)>,
    /// The call at the service.
    open: Option<CallId>,
    /// When the node knew of the change.
    known: Option<f64>,
}

impl Node {
    fn start(number: u32, nodes: u32, seed: u64) -> Node {
        let class = Class {
            objective_ms: 200.0,
            deadline_ms: 400.0,
            worth: 1.0,
            late_worth: 0.0,
            effect: Effect::Unsafe,
            key_ttl_ms: 0.0,
            objective_stretch: 0.0,
            route: RouteValues::default(),
        };
        let settings = Settings {
            classes: vec![class],
            instances: nodes,
            slot: number,
            discovery: Discovery::OnRequest,
            max_attempts: 4,
            fall_ms: 1_500.0,
            tick_ms: 5.0,
            max_poll_gap_ms: 10_000.0,
            drain_grace_ms: GRACE_MS,
            ..Settings::default()
        };
        let balancer =
            Balancer::new(settings, seed ^ (u64::from(number) << 20)).expect("the settings are valid");
        let calls = WatchCalls::new(CallTiming::on_request(GRACE_MS), 0.0);
        Node { balancer, calls, wanted: true, retry: None, open: None, known: None }
    }

    fn list(&mut self, now: f64, kind: ListKind) {
        self.balance(now, Event::List { kind, entries: Vec::new() });
    }

    fn balance(&mut self, now: f64, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { token, at_ms } => self.retry = Some((at_ms, token)),
                Action::Watch(on) => self.wanted = on,
                _ => {}
            }
        }
    }

    fn fail(&mut self, now: f64) {
        if let Some(id) = self.open.take() {
            self.calls.failed(now, id);
            self.wanted = false;
            self.list(now, ListKind::Failed);
        }
    }

    fn answer(&mut self, now: f64, revision: u64) {
        let Some(id) = self.open.take() else { return };
        self.calls.answered(now, id, ListVersion { revision, is_full: true });
        self.list(now, ListKind::Changes);
        if revision == 2 {
            self.known.get_or_insert(now);
        }
    }

    /// One pass; true if the node calls.
    fn run(&mut self, now: f64) -> bool {
        if let Some((_, token)) = self.retry.take_if(|(at, _)| *at <= now) {
            self.balance(now, Event::Timer(token));
        }
        let mut calls = false;
        for step in self.calls.tick(now, self.wanted) {
            match step {
                Step::Start(id, _) => {
                    self.open = Some(id);
                    calls = true;
                }
                Step::Drop(_) => self.fail(now),
                Step::Discard(_) => self.open = None,
            }
        }
        calls
    }
}

struct Played {
    /// From the return of discovery to the knowledge of the last node; infinite if one does not know in time.
    longest_ms: f64,
    /// The most calls in any second of the outage and after it, without the first ones.
    most_calls_per_s: usize,
}

/// Plays an outage after which the service works through `calls_per_s` calls in turn.
fn play(nodes: u32, seed: u64, outage_ms: f64, calls_per_s: f64) -> Played {
    let mut fleet: Vec<Node> = (0..nodes).map(|number| Node::start(number, nodes, seed)).collect();
    let back = DOWN_MS + outage_ms;
    // The calls that wait for their turn, with the time at which they came.
    let mut queue: VecDeque<(f64, usize, CallId)> = VecDeque::new();
    let (mut now, mut turns) = (0.0, 0.0);
    // The calls of the last second.
    let (mut recent, mut most_calls_per_s) = (VecDeque::new(), 0);
    while now < back + KNOWN_WITHIN_MS && fleet.iter().any(|node| node.known.is_none()) {
        for (index, node) in fleet.iter_mut().enumerate() {
            let calls = node.run(now);
            let Some(id) = node.open else { continue };
            if calls && now >= DOWN_MS + SECOND_FAILURE_MS && node.known.is_none() {
                recent.push_back(now);
            }
            if now >= back {
                // A watch of a node that knows costs the service nothing.
                if calls && node.known.is_none() {
                    queue.push_back((now, index, id));
                }
            } else if now >= DOWN_MS {
                node.fail(now);
            } else if now == 0.0 {
                node.answer(now, 1);
            }
        }
        while recent.pop_front_if(|at| *at <= now - 1_000.0).is_some() {}
        most_calls_per_s = most_calls_per_s.max(recent.len());
        turns = if queue.is_empty() { 0.0 } else { turns + calls_per_s * STEP_MS / 1_000.0 };
        while let Some((came, index, id)) = queue.front().copied() {
            if fleet[index].open != Some(id) {
                // The caller has given up.
            } else if now - came >= LONGEST_QUEUE_MS {
                fleet[index].fail(now);
            } else if turns >= 1.0 {
                turns -= 1.0;
                fleet[index].answer(now, 2);
            } else {
                break;
            }
            queue.pop_front();
        }
        now += STEP_MS;
    }
    let known = fleet.iter().map(|node| node.known.map_or(f64::INFINITY, |known| known - back));
    Played { longest_ms: known.fold(0.0, f64::max), most_calls_per_s }
}

/// Guards against a pause after failed calls that grows until what discovery tells is known too late.
#[test]
fn what_is_told_at_the_return_of_a_crowded_service_is_known_in_time() {
    for seed in 0..100 {
        let outage_ms = 1_500.0 + 131.0 * seed as f64;
        let played = play(12, seed, outage_ms, 4.0);
        assert!(played.longest_ms <= KNOWN_WITHIN_MS, "seed {seed}: {} ms", played.longest_ms);
    }
}

/// The same for the largest fleet, at a service that needs four seconds for one call of each node.
#[test]
fn nine_hundred_nodes_know_in_time_what_one_service_tells_and_call_it_a_bounded_number_of_times() {
    for (seed, outage_ms) in [(1, 3_000.0), (2, 8_000.0), (3, 20_000.0)] {
        let Played { longest_ms, most_calls_per_s } = play(900, seed, outage_ms, 900.0 / 4.0);
        println!(
            "outage of {outage_ms} ms: known after {longest_ms} ms, {most_calls_per_s} calls in a second at the most"
        );
        assert!(longest_ms <= KNOWN_WITHIN_MS, "seed {seed}: {longest_ms} ms");
        assert!(
            most_calls_per_s <= MAX_FLEET_CALLS_PER_S,
            "seed {seed}: {most_calls_per_s} calls in a second"
        );
    }
}
