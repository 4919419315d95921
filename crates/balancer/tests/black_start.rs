//! Nodes and servers that all start together: every server is cold, and no node knows what a server can do.
//!
//! A simulation in virtual time of many balancers and of servers that queue requests, warm up slowly and fall
//! over when they are sent more than their multiple of what they can do.

mod common;

use applemill_balancer::Balancer;
use applemill_balancer::interface::*;
use common::settings;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const SERVERS: usize = 4;
const COLD_MS: f64 = 20_000.0;
/// Part of its capacity that a server starts with.
const START_CAPACITY: f64 = 0.2;
const FALL_MULTIPLE: f64 = 3.0;
const FALL_MS: f64 = 1_500.0;
/// Time of an answer from a warm server without a queue.
const SERVICE_MS: f64 = 10.0;
const OBJECTIVE_MS: f64 = 300.0;
const DEADLINE_MS: f64 = 900.0;
const START_MS: f64 = 1_000.0;
/// Distance between the ids of two backends.
const ID_STEP: u64 = 7_919;

#[derive(Clone, Default)]
struct Server {
    /// When it will have finished what it was sent.
    free_at_ms: f64,
    sent_ms: Vec<f64>,
}

fn capacity_part(age_ms: f64) -> f64 {
    START_CAPACITY + (1.0 - START_CAPACITY) * (age_ms / COLD_MS).clamp(0.0, 1.0)
}

#[derive(Debug)]
struct SimulationResult {
    /// Requests served in time over the cold time, divided by what the servers could have served of the
    /// requests.
    served_ratio: f64,
    first_served_ms: f64,
    /// The most sent to a server within its window, divided by what makes it fall over.
    max_fall_ratio: f64,
}

/// Events in the order of their times: time in microseconds, number of the event, and node.
#[derive(Default)]
struct EventQueue {
    due: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
}

impl EventQueue {
    fn push(&mut self, at_ms: f64, node: usize, event: Event) {
        self.due.push(Reverse(((at_ms * 1000.0) as u64, self.events.len() as u64, node)));
        self.events.push(Some(event));
    }

    /// The next event with its time in milliseconds and its node.
    fn pop(&mut self) -> Option<(f64, usize, Event)> {
        let Reverse((at_us, number, node)) = self.due.pop()?;
        let event = self.events[number as usize].take().expect("each event is due once");
        Some((at_us as f64 / 1000.0, node, event))
    }
}

fn node_settings(nodes: usize, slot: usize) -> Settings {
    let class = Class {
        objective_ms: OBJECTIVE_MS,
        deadline_ms: DEADLINE_MS,
        effect: Effect::Safe,
        ..settings().classes[0].clone()
    };
    Settings {
        instances: nodes as u32,
        slot: slot as u32,
        cold_ms: COLD_MS,
        start_capacity: START_CAPACITY,
        fall_multiple: FALL_MULTIPLE,
        fall_ms: FALL_MS,
        probes: false,
        reporting: Reporting::None,
        warm_keys: false,
        tick_ms: 1.0,
        classes: vec![class],
        ..settings()
    }
}

fn cold_entry(server: usize) -> Entry {
    Entry {
        backend: BackendId(server as u64 * ID_STEP + 1),
        zone: None,
        cell: None,
        health: Health::Up,
        units: 1.0,
        ready_at_ms: START_MS,
    }
}

/// Simulates the cold time. A warm server serves `server_rps` requests a second, and `offered_rps` arrive at
/// all nodes together.
fn simulate(nodes: usize, server_rps: f64, offered_rps: f64, seed: u64) -> SimulationResult {
    let mut rng = fastrand::Rng::with_seed(seed);
    let new_balancer =
        |slot: usize| Balancer::new(node_settings(nodes, slot), seed * 100 + slot as u64).unwrap();
    let mut balancers: Vec<Balancer> = (0..nodes).map(new_balancer).collect();
    let mut servers = vec![Server::default(); SERVERS];
    let mut queue = EventQueue::default();
    for node in 0..nodes {
        queue.push(START_MS, node, Event::Start);
        let entries = (0..SERVERS).map(cold_entry).collect();
        queue.push(START_MS, node, Event::List { kind: ListKind::Full, entries });
    }
    let mut at_ms = START_MS;
    for id in 0.. {
        at_ms += -(1.0 - rng.f64()).ln() * 1000.0 / offered_rps;
        if at_ms > START_MS + COLD_MS {
            break;
        }
        let request = Request {
            id: RequestId(id),
            class: 0,
            tenant: None,
            key: Some(rng.u64(..)),
            deadline_ms: at_ms + DEADLINE_MS,
            effort_ms: None,
            retry: false,
            suspect: false,
        };
        queue.push(at_ms, rng.usize(..nodes), Event::Request(request));
    }
    let (mut served, mut first_served_ms) = (0_usize, f64::INFINITY);
    while let Some((now, node, event)) = queue.pop() {
        if now > START_MS + COLD_MS {
            break;
        }
        if let Event::AttemptEnded { outcome: Outcome::Done, elapsed_ms, .. } = &event
            && *elapsed_ms <= OBJECTIVE_MS
        {
            served += 1;
            first_served_ms = first_served_ms.min(now - START_MS);
        }
        let mut actions = Vec::new();
        balancers[node].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { token, at_ms } => queue.push(at_ms.max(now), node, Event::Timer(token)),
                Action::Send { id, backend, timeout_ms } => {
                    let server = &mut servers[((backend.0 - 1) / ID_STEP) as usize];
                    server.sent_ms.push(now);
                    let work_ms = 1000.0 / (server_rps * capacity_part(now - START_MS));
                    server.free_at_ms = server.free_at_ms.max(now) + work_ms;
                    let answer_ms = (server.free_at_ms - now).max(SERVICE_MS);
                    let (outcome, elapsed_ms) = if answer_ms > timeout_ms {
                        (Outcome::TimedOut, timeout_ms)
                    } else {
                        (Outcome::Done, answer_ms)
                    };
                    let ended = Event::AttemptEnded {
                        id,
                        attempt: 0,
                        backend,
                        outcome,
                        last: outcome == Outcome::Done,
                        whole: true,
                        elapsed_ms,
                        load: Load::default(),
                    };
                    queue.push(now + elapsed_ms, node, ended);
                }
                _ => {}
            }
        }
    }
    SimulationResult {
        served_ratio: served as f64 / possible_requests(server_rps, offered_rps),
        first_served_ms,
        max_fall_ratio: max_fall_ratio(&servers, server_rps),
    }
}

/// The most sent to a server within any window of `FALL_MS`, divided by what makes it fall over.
fn max_fall_ratio(servers: &[Server], server_rps: f64) -> f64 {
    let mut max_ratio = 0.0_f64;
    for server in servers {
        let mut first = 0;
        for (last, last_ms) in server.sent_ms.iter().enumerate() {
            while server.sent_ms[first] < last_ms - FALL_MS {
                first += 1;
            }
            let capacity_rps = server_rps * capacity_part(server.sent_ms[first] - START_MS);
            let limit = capacity_rps * FALL_MULTIPLE * FALL_MS / 1000.0;
            max_ratio = max_ratio.max((last + 1 - first) as f64 / limit);
        }
    }
    max_ratio
}

/// Requests that the servers could have served of those offered, summed second by second.
fn possible_requests(server_rps: f64, offered_rps: f64) -> f64 {
    let capacity_rps = |second: u32| {
        let middle_ms = f64::from(second) * 1000.0 + 500.0;
        server_rps * SERVERS as f64 * capacity_part(middle_ms)
    };
    (0..20).map(|second| capacity_rps(second).min(offered_rps)).sum()
}

#[test]
fn all_cold_servers_are_used_at_once_and_none_is_overloaded() {
    for nodes in [1, 4, 20] {
        for (server_rps, offered_rps) in [(100.0, 300.0), (100.0, 50.0), (400.0, 1_200.0)] {
            for seed in 1..4 {
                let result = simulate(nodes, server_rps, offered_rps, seed);
                let case = format!("{nodes} nodes, {offered_rps} offered, {server_rps} each: {result:?}");
                assert!(result.max_fall_ratio <= 1.0, "{case}");
                assert!(result.first_served_ms < 1_000.0, "{case}");
                assert!(result.served_ratio >= 0.7, "{case}");
            }
        }
    }
}
