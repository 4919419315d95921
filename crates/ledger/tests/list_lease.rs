//! The lease of the list of backends: nothing begins after it has expired, and every request still gets its answer at
//! once.

use applemill_balancer::Balancer;
use applemill_balancer::interface::{
    BackendId, Entry, Health, ListKind, Load, Outcome, Request, RequestId, ZoneId,
};
use applemill_balancer::wire;
use applemill_ledger::{
    Answer, AnswerProgress, ConnEvent, ConnId, Effect, ExchangeResult, Input, Ledger, Limits, Payload,
    RequestProgress, Target,
};
use std::net::SocketAddr;

type Out = Effect<u64, &'static str, &'static str>;

const LEASE_UNTIL_MS: f64 = 1_400.0;
const SAFE: usize = 0;
const UNSAFE: usize = 1;
const KEYED: usize = 2;

/// A ledger with one backend in each of two zones, at 1,000 ms.
struct Fixture {
    ledger: Ledger<u64, &'static str>,
    now: f64,
}

impl Fixture {
    fn new() -> Fixture {
        let settings = r#"{"classes": [
            {"name": "page", "semantics": "idempotent", "objectiveMs": 900, "hardLimitMs": 900},
            {"name": "bid", "semantics": "at_most_once", "objectiveMs": 900, "hardLimitMs": 900},
            {"name": "pay", "semantics": "deduplicated", "group": "zone", "keyTtlMs": 5000, "objectiveMs": 900,
             "hardLimitMs": 900}],
            "limits": {"attemptsCap": 3, "mayCancel": true, "connIdleMs": 10000, "connectTimeoutMs": 800,
                       "retryAfter": true, "maxRetryAfterMs": 2000, "probing": true},
            "rules": {"coldMs": 0, "startCapacity": 1, "fallMultiple": 2, "fallMs": 600, "drainGraceMs": 500,
                      "mustAskInMs": 10000}}"#;
        let (settings, _) = wire::settings(settings).unwrap();
        let limits = Limits { connect_ms: 800.0, idle_ms: 10_000.0, acts_on_partial: true };
        let ledger = Ledger::new(Balancer::new(settings, 1).unwrap(), limits);
        let mut fixture = Fixture { ledger, now: 1_000.0 };
        fixture.handle(Input::Start);
        fixture.handle(Input::List(ListKind::Saved, vec![target(1), target(2)]));
        fixture.handle(Input::ListLease(LEASE_UNTIL_MS));
        fixture
    }

    fn handle(&mut self, input: Input<u64, &'static str, &'static str>) -> Vec<Out> {
        let mut out = Vec::new();
        self.ledger.handle(self.now, input, &mut out);
        out
    }

    fn arrive(&mut self, id: u64, class: usize) -> Vec<Out> {
        let request = Request {
            id: RequestId(id),
            class,
            tenant: None,
            key: Some(id),
            deadline_ms: self.now + 890.0,
            effort_ms: None,
            retry: false,
            suspect: false,
        };
        let expires_ms = self.now + 895.0;
        let input =
            Input::Arrived { request, expires_ms, upload_ms: None, work: None, call: "call", owed: id };
        self.handle(input)
    }

    fn event(&mut self, conn: u64, event: ConnEvent<&'static str>) -> Vec<Out> {
        self.handle(Input::Conn(ConnId(conn), event))
    }

    fn connect(&mut self, conn: u64) -> Vec<Out> {
        self.event(conn, ConnEvent::Dialling);
        self.event(conn, ConnEvent::Connected)
    }

    fn end(&mut self, conn: u64, outcome: Outcome) -> Vec<Out> {
        self.event(conn, ConnEvent::Progress(RequestProgress::Complete, AnswerProgress::Nothing));
        let reply = (outcome == Outcome::Done).then_some("reply");
        let finish = ExchangeResult { outcome, reply, load: Load::default() };
        self.event(conn, ConnEvent::Complete { finish, again: true })
    }

    fn expire(&mut self) {
        self.now = LEASE_UNTIL_MS + 1.0;
    }
}

fn target(backend: u64) -> Target {
    let entry = Entry {
        backend: BackendId(backend),
        zone: Some(ZoneId(backend)),
        cell: None,
        health: Health::Up,
        units: 1.0,
        ready_at_ms: 0.0,
    };
    Target { entry, address: Some(SocketAddr::from(([127, 0, 0, backend as u8], 80))) }
}

fn sends(out: &[Out]) -> usize {
    out.iter().filter(|effect| matches!(effect, Effect::Send { .. } | Effect::Dial(..))).count()
}

fn is_refused(out: &[Out]) -> bool {
    out.iter().any(|effect| {
        matches!(effect, Effect::Answer(_, Answer::Refused { retry_after_ms }) if *retry_after_ms > 0.0)
    })
}

#[test]
fn a_request_after_the_lease_is_refused_at_once_with_a_time_to_come_back() {
    let mut fixture = Fixture::new();
    assert_eq!(sends(&fixture.arrive(1, SAFE)), 1);
    fixture.expire();
    for (id, class) in [(2, SAFE), (3, UNSAFE), (4, KEYED)] {
        let out = fixture.arrive(id, class);
        assert!(sends(&out) == 0 && is_refused(&out), "class {class}: {out:?}");
    }
    fixture.handle(Input::ListLease(f64::INFINITY));
    assert_eq!(sends(&fixture.arrive(5, UNSAFE)), 1);
}

/// Guards against a request that waits for its connection until the lease has expired, and begins then.
#[test]
fn a_request_whose_connection_comes_up_after_the_lease_is_refused() {
    let mut fixture = Fixture::new();
    assert_eq!(sends(&fixture.arrive(1, UNSAFE)), 1);
    fixture.expire();
    let out = fixture.connect(0);
    assert!(sends(&out) == 0 && is_refused(&out), "{out:?}");
    assert!(out.contains(&Effect::Close(ConnId(0))));
}

/// Guards against the same with a connection that had been kept and turns out to be closed.
#[test]
fn a_request_that_finds_its_kept_connection_closed_after_the_lease_is_refused() {
    let mut fixture = Fixture::new();
    fixture.arrive(1, UNSAFE);
    fixture.connect(0);
    fixture.end(0, Outcome::Done);
    fixture.now += 50.0;
    let out = fixture.arrive(1, UNSAFE);
    let Some(Effect::Send { conn: ConnId(conn), .. }) =
        out.iter().find(|effect| matches!(effect, Effect::Send { kept: true, .. }))
    else {
        panic!("the kept connection is used: {out:?}")
    };
    let conn = *conn;
    fixture.expire();
    let out = fixture.event(conn, ConnEvent::Stale);
    assert!(sends(&out) == 0 && is_refused(&out), "{out:?}");
}

/// Guards against the same with a new connection, where the process was held up before the request was written.
#[test]
fn a_request_that_was_not_written_in_time_is_refused() {
    let mut fixture = Fixture::new();
    fixture.arrive(1, UNSAFE);
    assert_eq!(sends(&fixture.connect(0)), 1);
    fixture.expire();
    let out = fixture.event(0, ConnEvent::Stale);
    assert!(sends(&out) == 0 && is_refused(&out), "{out:?}");
}

#[test]
fn a_request_that_is_being_answered_when_the_lease_expires_gets_its_answer() {
    let mut fixture = Fixture::new();
    fixture.arrive(1, UNSAFE);
    fixture.connect(0);
    fixture.expire();
    let out = fixture.end(0, Outcome::Done);
    assert!(out.contains(&Effect::Answer(1, Answer::Served("reply"))), "{out:?}");
}

/// A keyed request that may have run and whose group has no usable backend left has failed; one that may be repeated
/// anywhere is refused.
#[test]
fn a_request_that_may_have_run_before_the_lease_expired_is_not_sent_again() {
    for (class, is_refusable) in [(SAFE, true), (UNSAFE, false), (KEYED, false)] {
        let mut fixture = Fixture::new();
        fixture.arrive(1, class);
        fixture.connect(0);
        fixture.expire();
        let out = fixture.end(0, Outcome::Error);
        assert_eq!(sends(&out), 0, "class {class}: {out:?}");
        assert_eq!(is_refused(&out), is_refusable, "class {class}: {out:?}");
        assert_eq!(out.contains(&Effect::Answer(1, Answer::Failed)), !is_refusable, "class {class}");
    }
}

/// A probe is something new at a backend, too.
#[test]
fn a_congested_backend_gets_no_probe_after_the_lease() {
    for is_expired in [false, true] {
        let mut fixture = Fixture::new();
        let until_ms = if is_expired { LEASE_UNTIL_MS } else { f64::INFINITY };
        fixture.handle(Input::ListLease(until_ms));
        for id in 0..40 {
            fixture.arrive(id, UNSAFE);
        }
        for conn in 0..40 {
            fixture.event(conn, ConnEvent::ConnectFailed);
        }
        let mut probes = 0;
        while let Some(due) = fixture.ledger.next_due_ms().filter(|due| *due < 20_000.0) {
            fixture.now = due;
            let out = fixture.handle(Input::TimerDue);
            let dials: Vec<u64> = out.iter().filter_map(dialled).collect();
            if due > LEASE_UNTIL_MS {
                probes += dials.len();
            }
            for conn in dials {
                for effect in fixture.connect(conn) {
                    let is_probe = matches!(effect, Effect::Send { payload: Payload::Probe, .. });
                    assert!(!is_probe || !is_expired, "a probe is sent after the lease");
                }
            }
        }
        assert_eq!(probes == 0, is_expired, "{probes} probes");
    }
}

fn dialled(effect: &Out) -> Option<u64> {
    match effect {
        Effect::Dial(ConnId(conn), _) => Some(*conn),
        _ => None,
    }
}
