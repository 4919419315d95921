//! A new process of a backend at the address of the old one: connections to the old one are not used for it.

mod common;

use applemill_balancer::interface::{ListKind, Outcome, ZoneId};
use applemill_ledger::{AnswerProgress, ConnEvent, ConnId, Effect, Input, RequestProgress, Target};
use common::{Fixture, Out, UNSAFE, target};

/// What the list says of the new process.
fn replacements() -> [Target; 3] {
    [0, 1, 2].map(|way| {
        let mut replaced = target(1);
        match way {
            0 => replaced.entry.zone = Some(ZoneId(9)),
            1 => replaced.entry.cell = Some(9),
            _ => replaced.entry.ready_at_ms = 900.0,
        }
        replaced
    })
}

/// A ledger whose only backend gets the request 1 on connection 0.
fn with_request() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.handle(Input::List(ListKind::Full, vec![target(1)]));
    let out = fixture.arrive(1, UNSAFE);
    assert!(matches!(out[..], [Effect::Dial(ConnId(0), _)]), "{out:?}");
    fixture
}

fn replace(fixture: &mut Fixture, replaced: Target) -> Vec<Out> {
    fixture.handle(Input::List(ListKind::Full, vec![replaced]))
}

/// Guards against keeping a connection for the new process that was in use when the old one was replaced.
#[test]
fn a_connection_in_use_when_its_process_is_replaced_is_closed_after_the_answer() {
    for replaced in replacements() {
        let mut fixture = with_request();
        fixture.connect(0);
        fixture.event(0, ConnEvent::Progress(RequestProgress::Complete, AnswerProgress::Nothing));
        replace(&mut fixture, replaced);
        let out = fixture.end(0, Outcome::Done);
        assert!(out.contains(&Effect::Close(ConnId(0))), "{replaced:?}: {out:?}");
    }
}

/// Guards against sending a request to the old process that was waiting for its connection.
#[test]
fn a_request_that_waits_for_its_connection_when_the_process_is_replaced_gets_another_connection() {
    for replaced in replacements() {
        let mut fixture = with_request();
        let out = replace(&mut fixture, replaced);
        assert!(out.contains(&Effect::Close(ConnId(0))), "{replaced:?}: {out:?}");
        assert!(out.iter().any(|effect| matches!(effect, Effect::Dial(ConnId(1), _))), "{out:?}");
    }
}

#[test]
fn a_connection_in_use_while_the_same_process_is_listed_again_is_kept() {
    let mut fixture = with_request();
    fixture.connect(0);
    replace(&mut fixture, target(1));
    let out = fixture.end(0, Outcome::Done);
    assert!(!out.contains(&Effect::Close(ConnId(0))), "{out:?}");
}
