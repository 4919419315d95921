//! The lease of the list of backends: nothing begins after it has expired, and every request still gets its answer at
//! once.

mod common;

use applemill_balancer::interface::Outcome;
use applemill_ledger::{Answer, ConnEvent, ConnId, Effect, Input, Payload};
use common::{Fixture, KEYED, Out, SAFE, UNSAFE};

const LEASE_UNTIL_MS: f64 = 1_400.0;

fn with_lease() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.handle(Input::ListLease(LEASE_UNTIL_MS));
    fixture
}

fn expire(fixture: &mut Fixture) {
    fixture.now = LEASE_UNTIL_MS + 1.0;
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
    let mut fixture = with_lease();
    assert_eq!(sends(&fixture.arrive(1, SAFE)), 1);
    expire(&mut fixture);
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
    let mut fixture = with_lease();
    assert_eq!(sends(&fixture.arrive(1, UNSAFE)), 1);
    expire(&mut fixture);
    let out = fixture.connect(0);
    assert!(sends(&out) == 0 && is_refused(&out), "{out:?}");
    assert!(out.contains(&Effect::Close(ConnId(0))));
}

/// Guards against the same with a connection that had been kept and turns out to be closed.
#[test]
fn a_request_that_finds_its_kept_connection_closed_after_the_lease_is_refused() {
    let mut fixture = with_lease();
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
    expire(&mut fixture);
    let out = fixture.event(conn, ConnEvent::Stale);
    assert!(sends(&out) == 0 && is_refused(&out), "{out:?}");
}

/// Guards against the same with a new connection, where the process was held up before the request was written.
#[test]
fn a_request_that_was_not_written_in_time_is_refused() {
    let mut fixture = with_lease();
    fixture.arrive(1, UNSAFE);
    assert_eq!(sends(&fixture.connect(0)), 1);
    expire(&mut fixture);
    let out = fixture.event(0, ConnEvent::Stale);
    assert!(sends(&out) == 0 && is_refused(&out), "{out:?}");
}

#[test]
fn a_request_that_is_being_answered_when_the_lease_expires_gets_its_answer() {
    let mut fixture = with_lease();
    fixture.arrive(1, UNSAFE);
    fixture.connect(0);
    expire(&mut fixture);
    let out = fixture.end(0, Outcome::Done);
    assert!(out.contains(&Effect::Answer(1, Answer::Served("reply"))), "{out:?}");
}

/// A keyed request that may have run and whose group has no usable backend left has failed; one that may be repeated
/// anywhere is refused.
#[test]
fn a_request_that_may_have_run_before_the_lease_expired_is_not_sent_again() {
    for (class, is_refusable) in [(SAFE, true), (UNSAFE, false), (KEYED, false)] {
        let mut fixture = with_lease();
        fixture.arrive(1, class);
        fixture.connect(0);
        expire(&mut fixture);
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
        let mut fixture = with_lease();
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
