//! A test environment around one balancer that checks the four rules at every action. It simulates no
//! servers: the tests state the outcome of each attempt.
#![allow(dead_code)]

use applemill_balancer::Balancer;
use applemill_balancer::interface::*;
use std::collections::BTreeMap;

/// Time after the client's deadline within which an answer still counts, the same as in the users' benchmark.
const ANSWER_SLACK_MS: f64 = 20.0;

pub fn class(objective_ms: f64, deadline_ms: f64, effect: Effect) -> Class {
    Class {
        objective_ms,
        deadline_ms,
        worth: 1.0,
        late_worth: 0.0,
        effect,
        key_ttl_ms: 1000.0,
        objective_stretch: 0.0,
        route: RouteValues::default(),
    }
}

/// Base settings of the tests; no deployment uses them.
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(400.0, 1000.0, Effect::Safe),
            class(300.0, 800.0, Effect::Unsafe),
            class(300.0, 800.0, Effect::Keyed(Group::Zone)),
            class(300.0, 800.0, Effect::Keyed(Group::All)),
            class(300.0, 800.0, Effect::Keyed(Group::Cell)),
        ],
        tenants: vec![Tenant { quota_rps: 100.0 }],
        goal: Goal {
            whole_run: 0.5,
            worst_window: 0.2,
            worst_class: 0.2,
            worst_tenant: 0.1,
            nines: 0.0,
            full_at_nines: 3.0,
        },
        prices: Prices::default(),
        instances: 4,
        slot: 0,
        zone: None,
        weights: Weights::Nominal,
        reporting: Reporting::None,
        discovery: Discovery::Pushed,
        max_attempts: 3,
        may_cancel: true,
        second_copies: false,
        retry_after: true,
        max_retry_after_ms: 2000.0,
        probes: true,
        peer_messages: false,
        open_cap: 1000,
        max_streams: 1,
        conn_idle_ms: 15_000.0,
        connect_timeout_ms: 250.0,
        cpu_us_per_s: 0.0,
        over_share_worth: 0.1,
        marks_retry: false,
        worth_by_work: false,
        warm_keys: false,
        cold_ms: 20_000.0,
        start_capacity: 0.2,
        fall_multiple: 3.0,
        fall_ms: 1500.0,
        late_shedding: false,
        drain_grace_ms: 500.0,
        drain_close_ms: None,
        max_poll_gap_ms: 10_000.0,
        tick_ms: 5.0,
    }
}

/// Whether the outcome proves that the server did not execute the attempt. Implemented again here,
/// independently of the code under test.
fn proven_not_executed(settings: &Settings, outcome: Option<Outcome>) -> bool {
    match outcome {
        Some(Outcome::NotConnected | Outcome::Skipped) => true,
        Some(Outcome::Full) => !settings.late_shedding,
        _ => false,
    }
}

#[derive(Debug)]
pub struct Attempt {
    pub backend: BackendId,
    pub sent_ms: f64,
    /// When the attempt times out.
    pub ends_ms: f64,
    pub outcome: Option<Outcome>,
}

#[derive(Debug)]
pub struct RequestRecord {
    pub request: Request,
    pub attempts: Vec<Attempt>,
    /// How the request ended: "done", "refused", "failed" or "left" (the client disconnected).
    pub answer: Option<&'static str>,
}

pub struct World {
    pub settings: Settings,
    pub balancer: Balancer,
    pub now_ms: f64,
    /// All backends that a list has named, with their latest entry.
    pub backends: BTreeMap<BackendId, Entry>,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// Timers that are set: due time in milliseconds, and token.
    pub timers: Vec<(f64, u64)>,
    /// Backends whose probe has not ended yet.
    pub pending_probes: Vec<BackendId>,
    pub logs: Vec<String>,
    /// Times of the `Watch` actions.
    pub watch_times_ms: Vec<f64>,
    /// Time of the last `CloseIdle` action for each backend.
    pub idle_closed_ms: BTreeMap<BackendId, f64>,
    /// Time at which a backend began to drain or, if later, of the last outcome there.
    pub draining_since_ms: BTreeMap<BackendId, f64>,
    /// All actions since the start, in order.
    pub actions: Vec<Action>,
    /// Marks the requests that follow as suspects: their failures are attributed to the requests themselves.
    pub next_is_suspect: bool,
    /// The next attempt ends with an answer that has begun but is not complete.
    pub next_answer_incomplete: bool,
    last_id: u64,
}

impl World {
    pub fn new(settings: Settings, seed: u64) -> World {
        let balancer = Balancer::new(settings.clone(), seed).expect("usable settings");
        let mut world = World {
            settings,
            balancer,
            now_ms: 1000.0,
            backends: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            pending_probes: Vec::new(),
            logs: Vec::new(),
            watch_times_ms: Vec::new(),
            idle_closed_ms: BTreeMap::new(),
            draining_since_ms: BTreeMap::new(),
            actions: Vec::new(),
            next_is_suspect: false,
            next_answer_incomplete: false,
            last_id: 0,
        };
        world.feed(Event::Start);
        world
    }

    pub fn with_backends(settings: Settings, seed: u64, count: u64) -> World {
        let mut world = World::new(settings, seed);
        let entries = (1..=count).map(up_entry).collect();
        world.update_list(ListKind::Full, entries);
        world
    }

    pub fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now_ms, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.actions.extend(actions);
    }

    /// Checks one action against the rules and records it.
    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { id, backend, timeout_ms } => {
                let record = self.requests.get_mut(id).expect("a known request");
                assert!(record.answer.is_none(), "rule 1: sent after the request ended");
                let route = self
                    .settings
                    .classes
                    .get(record.request.class)
                    .map_or_else(RouteValues::default, |c| c.route);
                let max_attempts = self.settings.max_attempts.min(route.attempts);
                assert!(record.attempts.len() < max_attempts as usize, "more attempts than allowed");
                assert!(*timeout_ms <= route.attempt_timeout_ms, "attempt time-out longer than allowed");
                let entry = self.backends.get(backend).expect("a backend of the list");
                assert_eq!(entry.health, Health::Up, "rule 3: sent to a backend that drains or is gone");
                let in_flight = record.attempts.iter().any(|a| a.outcome.is_none());
                assert!(self.settings.second_copies || !in_flight, "rule 2: two attempts at once");
                let possibly_executed =
                    record.attempts.iter().find(|a| !proven_not_executed(&self.settings, a.outcome));
                if let Some(executed) = possibly_executed {
                    let class = self.settings.classes.get(record.request.class);
                    let previous = &self.backends[&executed.backend];
                    let may_retry = match class.map_or(Effect::Unsafe, |c| c.effect) {
                        _ if !route.retry_possibly_executed => false,
                        Effect::Safe => true,
                        Effect::Unsafe => false,
                        Effect::Keyed(group) => {
                            let same_group = match group {
                                Group::All => true,
                                Group::Zone => previous.zone.is_some() && previous.zone == entry.zone,
                                Group::Cell => previous.cell.is_some() && previous.cell == entry.cell,
                            };
                            same_group
                                && self.now_ms <= executed.sent_ms + class.map_or(0.0, |c| c.key_ttl_ms)
                        }
                    };
                    assert!(may_retry, "rule 2: sent again though it may have been executed");
                }
                let ends_ms =
                    if *timeout_ms > 0.0 { self.now_ms + timeout_ms } else { record.request.deadline_ms };
                let ends_ms = ends_ms.min(record.request.deadline_ms);
                record.attempts.push(Attempt {
                    backend: *backend,
                    sent_ms: self.now_ms,
                    ends_ms,
                    outcome: None,
                });
            }
            Action::Refuse { id, retry_after_ms } => {
                assert!(*retry_after_ms <= self.settings.max_retry_after_ms, "retry-after above the limit");
                assert!(
                    self.settings.retry_after || *retry_after_ms == 0.0,
                    "retry-after though the settings send none"
                );
                let record = self.requests.get_mut(id).expect("a known request");
                assert!(record.answer.is_none(), "rule 1: two answers");
                let effect =
                    self.settings.classes.get(record.request.class).map_or(Effect::Unsafe, |c| c.effect);
                let none_executed =
                    record.attempts.iter().all(|a| proven_not_executed(&self.settings, a.outcome));
                let may_refuse =
                    none_executed || matches!(effect, Effect::Safe | Effect::Keyed(Group::All));
                assert!(may_refuse, "rule 2: refused though it may have been executed");
                record.answer = Some("refused");
            }
            Action::Fail(id) => {
                let record = self.requests.get_mut(id).expect("a known request");
                assert!(record.answer.is_none(), "rule 1: two answers");
                record.answer = Some("failed");
            }
            Action::Cancel { id, attempt } => {
                assert!(self.settings.may_cancel, "cancelling is not allowed");
                assert!(
                    self.requests[id].attempts.len() > *attempt as usize,
                    "cancelled an attempt that was never sent"
                );
            }
            Action::Timer { token, at_ms } => self.timers.push((*at_ms, *token)),
            Action::Probe(backend) => {
                assert!(self.settings.probes, "probing is not allowed");
                self.pending_probes.push(*backend);
            }
            Action::CloseIdle(backend) => {
                assert!(self.backends.contains_key(backend), "closed connections to a backend of no list");
                self.idle_closed_ms.insert(*backend, self.now_ms);
            }
            Action::SendMessage { .. } => assert!(self.settings.peer_messages, "messages are not allowed"),
            Action::Log(text) => self.logs.push(text.clone()),
            Action::Watch(_) => self.watch_times_ms.push(self.now_ms),
        }
    }

    pub fn update_list(&mut self, kind: ListKind, entries: Vec<Entry>) {
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            for e in self.backends.values_mut() {
                e.health = Health::Gone;
            }
        }
        for e in &entries {
            self.backends.insert(e.backend, *e);
        }
        let now_ms = self.now_ms;
        self.draining_since_ms.retain(|b, _| self.backends[b].health != Health::Up);
        for e in self.backends.values().filter(|e| e.health != Health::Up) {
            self.draining_since_ms.entry(e.backend).or_insert(now_ms);
        }
        self.feed(Event::List { kind, entries });
        self.check_drain_closed();
    }

    /// Checks that idle connections to a draining backend were closed within `drain_close_ms` after the
    /// notice and after the last outcome there.
    fn check_drain_closed(&self) {
        let Some(limit_ms) = self.settings.drain_close_ms else { return };
        for (b, since) in
            self.draining_since_ms.iter().filter(|(_, since)| self.now_ms > **since + limit_ms)
        {
            let closed = self.idle_closed_ms.get(b).is_some_and(|at| at >= since);
            assert!(closed, "rule 3: connections to {b:?} are open {limit_ms} ms after {since}");
        }
    }

    pub fn request(&mut self, class: usize, key: Option<u64>) -> RequestId {
        let deadline_ms = self.settings.classes.get(class).map_or(500.0, |c| c.deadline_ms);
        self.request_with_deadline(class, key, deadline_ms)
    }

    /// Sends a request whose deadline is that many milliseconds from now.
    pub fn request_with_deadline(&mut self, class: usize, key: Option<u64>, deadline_ms: f64) -> RequestId {
        self.request_as(class, key, deadline_ms, None, false)
    }

    pub fn request_as(
        &mut self,
        class: usize,
        key: Option<u64>,
        deadline_ms: f64,
        tenant: Option<usize>,
        retry: bool,
    ) -> RequestId {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let request = Request {
            id,
            class,
            tenant,
            key,
            deadline_ms: self.now_ms + deadline_ms,
            effort_ms: None,
            retry,
            suspect: self.next_is_suspect,
        };
        self.requests.insert(id, RequestRecord { request, attempts: Vec::new(), answer: None });
        self.feed(Event::Request(request));
        id
    }

    /// The backend of the first attempt in flight of a request.
    pub fn backend_of(&self, id: RequestId) -> Option<BackendId> {
        self.requests[&id].attempts.iter().find(|a| a.outcome.is_none()).map(|a| a.backend)
    }

    pub fn answer(&self, id: RequestId) -> Option<&'static str> {
        self.requests[&id].answer
    }

    /// Ends the first attempt in flight of a request.
    pub fn end_attempt(&mut self, id: RequestId, outcome: Outcome) {
        self.end_attempt_with_load(id, outcome, Load::default());
    }

    /// Ends the first attempt in flight, with a load report of the backend.
    pub fn end_attempt_with_load(&mut self, id: RequestId, outcome: Outcome, load: Load) {
        let now_ms = self.now_ms;
        let Some(record) = self.requests.get_mut(&id) else { return };
        let Some(n) = record.attempts.iter().position(|a| a.outcome.is_none()) else { return };
        record.attempts[n].outcome = Some(outcome);
        if outcome == Outcome::Done && record.answer.is_none() {
            record.answer = Some("done");
        }
        let last = record.answer.is_some();
        let (backend, elapsed_ms) = (record.attempts[n].backend, now_ms - record.attempts[n].sent_ms);
        if let Some(since) = self.draining_since_ms.get_mut(&backend) {
            *since = now_ms;
        }
        let whole = !std::mem::take(&mut self.next_answer_incomplete);
        self.feed(Event::AttemptEnded {
            id,
            attempt: n as u32,
            backend,
            outcome,
            last,
            whole,
            elapsed_ms,
            load,
        });
    }

    pub fn client_leaves(&mut self, id: RequestId) {
        if let Some(a) = self.requests.get_mut(&id) {
            a.answer.get_or_insert("left");
        }
        self.feed(Event::ClientLeft(id));
    }

    /// Advances the clock and fires the timers and attempt time-outs due on the way, in order of time.
    pub fn advance_to(&mut self, until_ms: f64) {
        loop {
            let timer_ms = self.timers.iter().map(|t| t.0).fold(f64::INFINITY, f64::min);
            let first_timeout = (self.requests.iter())
                .flat_map(|(id, a)| {
                    a.attempts.iter().filter(|a| a.outcome.is_none()).map(|s| (s.ends_ms, *id))
                })
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let timeout_ms = first_timeout.map_or(f64::INFINITY, |o| o.0);
            let next_ms = timer_ms.min(timeout_ms);
            if next_ms > until_ms {
                break;
            }
            self.now_ms = self.now_ms.max(next_ms);
            if timeout_ms <= timer_ms {
                if let Some((_, id)) = first_timeout {
                    self.end_attempt(id, Outcome::TimedOut);
                }
            } else if let Some(n) = self.timers.iter().position(|t| t.0 == timer_ms) {
                let (_, token) = self.timers.swap_remove(n);
                self.feed(Event::Timer(token));
            }
        }
        self.now_ms = self.now_ms.max(until_ms);
        self.check_drain_closed();
        for (id, a) in &self.requests {
            let late = self.now_ms > a.request.deadline_ms + ANSWER_SLACK_MS;
            assert!(!late || a.answer.is_some(), "rule 1: {id:?} was not answered in time");
        }
    }

    pub fn wait(&mut self, ms: f64) {
        self.advance_to(self.now_ms + ms);
    }

    /// Sends requests one after the other and answers each after `each_ms`: the balancer learns from them.
    pub fn warm_up(&mut self, requests: u64, class: usize, each_ms: f64) {
        for n in 0..requests {
            let id = self.request(class, Some(n % 97));
            self.wait(each_ms);
            self.end_attempt(id, Outcome::Done);
        }
    }

    /// Ends all pending probes with this outcome.
    pub fn end_probes(&mut self, outcome: Outcome) {
        for backend in std::mem::take(&mut self.pending_probes) {
            self.feed(Event::ProbeEnded { backend, outcome, elapsed_ms: 1.0, load: Load::default() });
        }
    }
}

/// An entry of a healthy backend whose start lies in the past, with an id derived from the number.
pub fn up_entry(n: u64) -> Entry {
    Entry {
        backend: BackendId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        zone: Some(ZoneId(n % 2)),
        cell: Some((n % 3) as u32),
        health: Health::Up,
        units: 1.0,
        ready_at_ms: 0.0,
    }
}
