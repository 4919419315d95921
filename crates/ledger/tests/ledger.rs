//! Tests of the ledger with single sequences of inputs. The orderings of inputs are covered by
//! `applemill-explore`.

use applemill_balancer::Balancer;
use applemill_balancer::interface::{
    BackendId, Entry, Health, ListKind, Load, Outcome, Request, RequestId,
};
use applemill_balancer::wire;
use applemill_blame::{AttemptResult, Blame, BlameConfig, RequestTraits, Suspect, SuspectKind};
use applemill_ledger::{
    Answer, AnswerProgress, ConnEvent, ConnId, Effect, ExchangeResult, Input, Ledger, Limits,
    OperatorCommand, Payload, RequestProgress, Target, Totals,
};
use std::net::SocketAddr;
use std::rc::Rc;

/// The pending reply of a front with many calls on one connection: the number of the connection and of the
/// call on it.
type PendingReply = (u32, u32);
type Out = Effect<PendingReply, &'static str, &'static str>;

struct Fixture {
    ledger: Ledger<PendingReply, &'static str>,
    now: f64,
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 80))
}

fn target(backend: u64, address: SocketAddr, health: Health) -> Target {
    let entry =
        Entry { backend: BackendId(backend), zone: None, cell: None, health, units: 1.0, ready_at_ms: 0.0 };
    Target { entry, address: Some(address) }
}

impl Fixture {
    /// Class 0 is safe to repeat, class 1 is not. One backend is up.
    fn new() -> Fixture {
        Fixture::with_acts_on_partial(true)
    }

    fn with_acts_on_partial(acts_on_partial: bool) -> Fixture {
        let settings = r#"{"classes": [
            {"name": "page", "semantics": "idempotent", "objectiveMs": 400, "hardLimitMs": 400},
            {"name": "bid", "semantics": "at_most_once", "objectiveMs": 400, "hardLimitMs": 400}],
            "limits": {"attemptsCap": 3, "mayCancel": true, "connIdleMs": 1000, "connectTimeoutMs": 100},
            "rules": {"coldMs": 0, "startCapacity": 1, "fallMultiple": 2, "fallMs": 600000, "drainGraceMs": 100, "mustAskInMs": 10000}}"#;
        let (settings, _) = wire::settings(settings).unwrap();
        let limits = Limits { connect_ms: 100.0, idle_ms: 1000.0, acts_on_partial };
        let mut fixture =
            Fixture { ledger: Ledger::new(Balancer::new(settings, 1).unwrap(), limits), now: 1000.0 };
        fixture.handle(Input::Start);
        fixture.update_list(vec![target(1, address(1), Health::Up)]);
        fixture
    }

    fn handle(&mut self, input: Input<PendingReply, &'static str, &'static str>) -> Vec<Out> {
        let mut out = Vec::new();
        self.ledger.handle(self.now, input, &mut out);
        out.retain(|e| !matches!(e, Effect::Log(_) | Effect::Watch(_)));
        out
    }

    fn update_list(&mut self, targets: Vec<Target>) -> Vec<Out> {
        self.handle(Input::List(ListKind::Changes, targets))
    }

    fn arrive(&mut self, id: u64, class: usize) -> Vec<Out> {
        self.arrive_on_route(id, class, None)
    }

    fn arrive_on_route(&mut self, id: u64, class: usize, route: Option<u64>) -> Vec<Out> {
        let request = Request {
            id: RequestId(id),
            class,
            tenant: None,
            key: Some(id),
            deadline_ms: self.now + 396.0,
            effort_ms: None,
            retry: false,
            suspect: false,
        };
        let owed = (7, id as u32);
        self.handle(Input::Arrived {
            request,
            expires_ms: self.now + 399.0,
            upload_ms: None,
            work: route
                .map(|route| Rc::new(RequestTraits { route: Some(route), ..RequestTraits::default() })),
            call: "call",
            owed,
        })
    }

    fn conn_event(&mut self, conn: u64, event: ConnEvent<&'static str>) -> Vec<Out> {
        self.handle(Input::Conn(ConnId(conn), event))
    }

    fn connect(&mut self, conn: u64) -> Vec<Out> {
        assert_eq!(self.conn_event(conn, ConnEvent::Dialling), []);
        self.conn_event(conn, ConnEvent::Connected)
    }

    fn serve(&mut self, conn: u64, again: bool) -> Vec<Out> {
        assert_eq!(
            self.conn_event(conn, ConnEvent::Progress(RequestProgress::Complete, AnswerProgress::Nothing)),
            []
        );
        let finish = ExchangeResult { outcome: Outcome::Done, reply: Some("reply"), load: Load::default() };
        self.conn_event(conn, ConnEvent::Complete { finish, again })
    }

    fn run_next_timer(&mut self) -> Vec<Out> {
        self.now = self.ledger.next_due_ms().unwrap();
        self.handle(Input::TimerDue)
    }
}

fn is_send(conn: u64, kept: bool) -> impl Fn(&Out) -> bool {
    move |e| {
        matches!(e, Effect::Send { conn: c, payload: Payload::Call("call"), kept: k, .. }
            if (*c, *k) == (ConnId(conn), kept))
    }
}

fn answers(out: &[Out]) -> Vec<(PendingReply, Answer<&'static str>)> {
    let answer = |e: &Out| match e {
        Effect::Answer(owed, answer) => Some((*owed, answer.clone())),
        _ => None,
    };
    out.iter().filter_map(answer).collect()
}

#[test]
fn concurrent_calls_of_one_client_connection_are_answered_in_any_order() {
    let mut fixture = Fixture::new();
    for id in 0..3 {
        assert_eq!(fixture.arrive(id, 0), [Effect::Dial(ConnId(id), address(1))]);
        assert!(is_send(id, false)(&fixture.connect(id)[0]));
    }
    for id in [2, 0, 1] {
        assert_eq!(answers(&fixture.serve(id, true)), [((7, id as u32), Answer::Served("reply"))]);
    }
    assert_eq!(
        fixture.ledger.totals(),
        Totals { requests: 0, active_conns: 0, idle_conns: 3, timers: 0, ..Totals::default() }
    );
}

#[test]
fn an_idle_connection_is_reused_once_quiet_and_replaced_when_stale() {
    let mut fixture = Fixture::new();
    fixture.arrive(0, 1);
    fixture.connect(0);
    fixture.serve(0, true);
    assert_eq!(fixture.arrive(1, 1), [Effect::Dial(ConnId(1), address(1))], "not quiet for long enough");
    fixture.connect(1);
    fixture.now += 1.0;
    fixture.serve(1, true);
    fixture.now += 20.0;
    let out = fixture.arrive(2, 1);
    assert!(is_send(1, true)(&out[0]), "the most recently used: {out:?}");
    let out = fixture.conn_event(1, ConnEvent::Stale);
    assert_eq!(out[0], Effect::Close(ConnId(1)));
    assert!(is_send(0, true)(&out[1]), "nothing was written on it: {out:?}");
    let out = fixture.conn_event(0, ConnEvent::Stale);
    assert_eq!(out, [Effect::Close(ConnId(0)), Effect::Dial(ConnId(2), address(1))]);
}

#[test]
fn idle_connections_are_closed_by_age_by_descriptor_shortage_and_by_drain() {
    let mut fixture = Fixture::new();
    for id in 0..3 {
        fixture.arrive(id, 0);
        fixture.connect(id);
        fixture.now += 1.0;
        fixture.serve(id, true);
    }
    assert_eq!(fixture.handle(Input::CloseOldest), [Effect::Close(ConnId(0))], "the oldest");
    fixture.now += 699.0;
    assert_eq!(
        fixture.handle(Input::CloseExpired),
        [Effect::Close(ConnId(1))],
        "0.7 of the configured idle time"
    );
    assert_eq!(
        fixture.update_list(vec![target(1, address(1), Health::Draining)]),
        [Effect::Close(ConnId(2))]
    );
    assert_eq!(fixture.ledger.totals(), Totals::default());
    assert!(!fixture.ledger.is_ready());
}

#[test]
fn a_drain_or_removal_aborts_only_requests_of_which_nothing_was_written() {
    for health in [Health::Draining, Health::Gone] {
        let mut fixture = Fixture::new();
        fixture.arrive(0, 1);
        fixture.arrive(1, 1);
        fixture.connect(1);
        fixture.conn_event(1, ConnEvent::Progress(RequestProgress::Partial, AnswerProgress::Nothing));
        let out = fixture.update_list(vec![target(1, address(1), health)]);
        assert_eq!(out[0], Effect::Close(ConnId(0)));
        assert!(
            matches!(answers(&out)[..], [((7, 0), Answer::Refused { .. })]),
            "refused at once: {out:?}"
        );
        assert_eq!(answers(&fixture.serve(1, true)), [((7, 1), Answer::Served("reply"))]);
        assert_eq!(fixture.ledger.totals(), Totals::default(), "its connection is not kept");
    }
}

#[test]
fn an_unwritten_request_is_redirected_to_the_new_address_of_its_backend() {
    let mut fixture = Fixture::new();
    fixture.arrive(0, 1);
    fixture.connect(0);
    let out = fixture.update_list(vec![target(1, address(2), Health::Up)]);
    assert_eq!(out, [Effect::Close(ConnId(0)), Effect::Dial(ConnId(1), address(2))]);
    fixture.connect(1);
    assert_eq!(answers(&fixture.serve(1, false)).len(), 1);
}

#[test]
fn every_stage_of_an_exchange_has_a_timeout() {
    let mut fixture = Fixture::new();
    fixture.arrive(0, 0);
    let out = fixture.run_next_timer();
    assert!(matches!(answers(&out)[..], [(_, Answer::Refused { .. })]), "no descriptor: {out:?}");
    let mut fixture = Fixture::new();
    fixture.arrive(0, 1);
    let out = fixture.conn_event(0, ConnEvent::LocalFailure);
    assert!(matches!(answers(&out)[..], [(_, Answer::Refused { .. })]), "descriptors exhausted: {out:?}");
    let mut fixture = Fixture::new();
    fixture.arrive(0, 0);
    fixture.conn_event(0, ConnEvent::Dialling);
    assert!(
        matches!(answers(&fixture.run_next_timer())[..], [(_, Answer::Refused { .. })]),
        "no handshake"
    );
    let mut fixture = Fixture::new();
    fixture.arrive(0, 1);
    fixture.connect(0);
    fixture.conn_event(0, ConnEvent::Progress(RequestProgress::Complete, AnswerProgress::HeadComplete));
    let head_ms = fixture.now;
    let out = fixture.run_next_timer();
    assert_eq!(out, [Effect::Close(ConnId(0)), Effect::Answer((7, 0), Answer::Failed)], "no body");
    assert_eq!(fixture.now - head_ms, 100.0);
    assert_eq!(fixture.ledger.totals(), Totals::default());
}

#[test]
fn events_on_a_closed_connection_are_ignored() {
    let mut fixture = Fixture::new();
    fixture.arrive(0, 1);
    fixture.connect(0);
    assert_eq!(fixture.handle(Input::ClientLeft(RequestId(0)))[1..], [Effect::Close(ConnId(0))]);
    assert_eq!(fixture.serve(0, true), []);
    assert_eq!(fixture.conn_event(0, ConnEvent::Disconnected), []);
    assert_eq!(fixture.ledger.totals(), Totals::default());
}

#[test]
fn an_answer_before_the_request_was_written_is_rejected() {
    let mut fixture = Fixture::new();
    fixture.arrive(0, 1);
    fixture.connect(0);
    let finish = ExchangeResult { outcome: Outcome::Done, reply: Some("early"), load: Load::default() };
    let out = fixture.conn_event(0, ConnEvent::Complete { finish, again: true });
    assert!(matches!(answers(&out)[..], [(_, Answer::Refused { .. })]), "it never ran: {out:?}");
}

#[test]
fn a_stop_fails_open_requests_and_refuses_new_ones() {
    let mut fixture = Fixture::new();
    fixture.arrive(0, 0);
    fixture.arrive(1, 0);
    fixture.connect(1);
    assert_eq!(answers(&fixture.handle(Input::Stop)), [((7, 0), Answer::Failed), ((7, 1), Answer::Failed)]);
    assert_eq!(fixture.ledger.totals(), Totals::default());
    assert_eq!(answers(&fixture.arrive(2, 0)), [((7, 2), Answer::Refused { retry_after_ms: 0.0 })]);
}

/// Starts an upload on connection 0, whose client waits 399 ms after its last byte was written.
fn upload(fixture: &mut Fixture, class: usize) {
    let request = Request {
        id: RequestId(0),
        class,
        tenant: None,
        key: Some(0),
        deadline_ms: fixture.now + 5396.0,
        effort_ms: None,
        retry: false,
        suspect: false,
    };
    let expires_ms = fixture.now + 5399.0;
    let arrived = Input::Arrived {
        request,
        expires_ms,
        upload_ms: Some(399.0),
        work: None,
        call: "call",
        owed: (7, 0),
    };
    assert!(matches!(fixture.handle(arrived)[..], [Effect::Dial(ConnId(0), _)]));
    assert!(is_send(0, false)(&fixture.connect(0)[0]));
}

#[test]
fn the_backend_timeout_of_an_upload_begins_with_its_last_byte() {
    let mut fixture = Fixture::new();
    upload(&mut fixture, 1);
    assert_eq!(
        fixture.conn_event(0, ConnEvent::Progress(RequestProgress::Partial, AnswerProgress::Nothing)),
        []
    );
    fixture.now += 3000.0;
    assert_eq!(fixture.handle(Input::TimerDue), [], "no time-out during the upload");
    assert_eq!(
        fixture.conn_event(0, ConnEvent::Progress(RequestProgress::Complete, AnswerProgress::Nothing)),
        []
    );
    let patience_end_ms = fixture.now + 398.0;
    while fixture.ledger.next_due_ms().unwrap() < patience_end_ms {
        let out = fixture.run_next_timer();
        assert!(
            answers(&out).is_empty() || fixture.now >= patience_end_ms - 10.0,
            "failed at {}",
            fixture.now
        );
    }
    fixture.now = patience_end_ms + 2.0;
    fixture.handle(Input::TimerDue);
    assert_eq!(fixture.ledger.totals().requests, 0, "the client has given up");
}

#[test]
fn an_upload_that_is_not_replayable_is_sent_once() {
    for (class, not_replayable) in [(0, false), (0, true), (1, false)] {
        let mut fixture = Fixture::new();
        fixture.update_list(vec![target(2, address(2), Health::Up)]);
        upload(&mut fixture, class);
        fixture.conn_event(0, ConnEvent::Progress(RequestProgress::Partial, AnswerProgress::Nothing));
        if not_replayable {
            fixture.handle(Input::NotReplayable(RequestId(0)));
        }
        let out = fixture.conn_event(0, ConnEvent::Disconnected);
        let retried = out.iter().any(|e| matches!(e, Effect::Dial(..)));
        assert_eq!(
            retried,
            class == 0 && !not_replayable,
            "class {class}, not_replayable {not_replayable}: {out:?}"
        );
        assert_eq!(answers(&out).len(), usize::from(!retried), "answered once, unless retried");
    }
}

#[test]
fn no_attempt_of_a_request_begins_after_its_front_has_forbidden_it() {
    for forbidden in [false, true] {
        let mut fixture = Fixture::new();
        fixture.update_list(vec![target(2, address(2), Health::Up)]);
        fixture.arrive(0, 0);
        if forbidden {
            fixture.handle(Input::NotReplayable(RequestId(0)));
        }
        let out = fixture.conn_event(0, ConnEvent::Disconnected);
        assert_eq!(out.iter().any(|e| matches!(e, Effect::Dial(..))), !forbidden, "{forbidden}: {out:?}");
        assert_eq!(answers(&out).len(), usize::from(forbidden), "answered at once, unless retried");
    }
}

#[test]
fn a_partly_written_request_is_retried_where_backends_act_on_complete_requests_only() {
    for (acts_on_partial, received, retried) in [
        (true, AnswerProgress::Nothing, false),
        (false, AnswerProgress::Nothing, true),
        (false, AnswerProgress::Started, false),
    ] {
        let mut fixture = Fixture::with_acts_on_partial(acts_on_partial);
        fixture.update_list(vec![target(2, address(2), Health::Up)]);
        fixture.arrive(0, 1);
        fixture.connect(0);
        fixture.conn_event(0, ConnEvent::Progress(RequestProgress::Partial, received));
        let out = fixture.conn_event(0, ConnEvent::Disconnected);
        assert_eq!(
            out.iter().any(|e| matches!(e, Effect::Dial(..))),
            retried,
            "{acts_on_partial} {received:?}"
        );
    }
}

#[test]
fn a_streamed_answer_counts_as_answered_and_continues_through_a_drain() {
    let head_received = || {
        ConnEvent::HeadReceived(ExchangeResult {
            outcome: Outcome::Done,
            reply: Some("reply"),
            load: Load::default(),
        })
    };
    let complete = || ConnEvent::Complete { finish: Outcome::Done.into(), again: true };
    let mut fixture = Fixture::new();
    fixture.arrive(0, 0);
    fixture.connect(0);
    // A head that arrives before the request was written is no answer.
    let mut early = Fixture::new();
    early.arrive(0, 0);
    early.connect(0);
    let out = early.conn_event(0, head_received());
    assert!(!matches!(answers(&out)[..], [(_, Answer::Served(_))]), "{out:?}");
    fixture.conn_event(0, ConnEvent::Progress(RequestProgress::Complete, AnswerProgress::Started));
    assert_eq!(answers(&fixture.conn_event(0, head_received())), [((7, 0), Answer::Served("reply"))]);
    assert_eq!(
        fixture.ledger.totals(),
        Totals { requests: 0, active_conns: 1, idle_conns: 0, timers: 0, ..Totals::default() }
    );
    fixture.handle(Input::ClientLeft(RequestId(0)));
    assert_eq!(fixture.update_list(vec![target(1, address(1), Health::Draining)]), []);
    assert_eq!(
        fixture.conn_event(0, complete()),
        [Effect::Close(ConnId(0))],
        "not kept: its backend drains"
    );
    // The connection is kept if its backend is up, and closed when the answer breaks off, when the reader
    // leaves, and at the stop.
    for (event, out, idle_conns) in [
        (complete(), vec![], 1),
        (ConnEvent::Disconnected, vec![Effect::Close(ConnId(0))], 0),
        (ConnEvent::Malformed, vec![Effect::Close(ConnId(0))], 0),
        (ConnEvent::Unwanted, vec![Effect::Close(ConnId(0))], 0),
        (ConnEvent::TooSlow, vec![Effect::Close(ConnId(0))], 0),
    ] {
        let mut fixture = Fixture::new();
        fixture.arrive(0, 0);
        fixture.connect(0);
        fixture.conn_event(0, ConnEvent::Progress(RequestProgress::Complete, AnswerProgress::Started));
        fixture.conn_event(0, head_received());
        assert_eq!(fixture.conn_event(0, event), out);
        assert_eq!(
            fixture.ledger.totals(),
            Totals { requests: 0, active_conns: 0, idle_conns, timers: 0, ..Totals::default() }
        );
    }
    let mut fixture = Fixture::new();
    fixture.arrive(0, 0);
    fixture.connect(0);
    fixture.conn_event(0, ConnEvent::Progress(RequestProgress::Complete, AnswerProgress::Started));
    fixture.conn_event(0, head_received());
    assert_eq!(fixture.handle(Input::Stop), [Effect::Close(ConnId(0))]);
}

/// A fixture with the blame, which has seen one route fail while another is healthy.
fn with_blame() -> Fixture {
    let mut fixture = Fixture::new();
    let mut blame = Blame::new(BlameConfig::default(), 1);
    for n in 0..40 {
        let now = 500.0 + f64::from(n) * 12.0;
        blame.ended(
            now,
            &RequestTraits { route: Some(HEALTHY_ROUTE), ..RequestTraits::default() },
            1,
            AttemptResult::Success,
        );
        if blame.culprits().next().is_none() {
            blame.ended(
                now,
                &RequestTraits { route: Some(FAILING_ROUTE), ..RequestTraits::default() },
                1,
                AttemptResult::Disconnected,
            );
        }
    }
    assert!(
        blame
            .culprits()
            .any(|c| c.suspect == Suspect { kind: SuspectKind::Route, id: FAILING_ROUTE }
                && c.held.is_some())
    );
    fixture.ledger = fixture.ledger.with_blame(blame);
    fixture
}

const FAILING_ROUTE: u64 = 1 << 40;
const HEALTHY_ROUTE: u64 = 1 << 41;

#[test]
fn a_held_route_is_refused_until_its_trial_is_due_and_others_are_served() {
    let mut fixture = with_blame();
    let refused = fixture.arrive_on_route(1, 0, Some(FAILING_ROUTE));
    let [(_, Answer::Refused { retry_after_ms })] = &answers(&refused)[..] else { panic!("{refused:?}") };
    assert!((1.0..=2_000.0).contains(retry_after_ms));
    assert_eq!(refused.len(), 1, "nothing is sent");
    assert!(
        fixture.arrive_on_route(2, 0, Some(HEALTHY_ROUTE)).iter().any(|e| matches!(e, Effect::Dial(..)))
    );
    fixture.now += 700.0;
    assert!(
        fixture.arrive_on_route(3, 0, Some(FAILING_ROUTE)).iter().any(|e| matches!(e, Effect::Dial(..))),
        "a trial"
    );
    assert_eq!(fixture.ledger.totals().trials_in_flight, 1);
    assert_eq!(
        answers(&fixture.arrive_on_route(4, 0, Some(FAILING_ROUTE))).len(),
        1,
        "one trial at a time"
    );
    // The trial breaks: it is not retried, and the server's record stays as it was.
    let dialled = ConnId(1);
    fixture.handle(Input::Conn(dialled, ConnEvent::Dialling));
    fixture.handle(Input::Conn(dialled, ConnEvent::Connected));
    fixture.handle(Input::Conn(
        dialled,
        ConnEvent::Progress(RequestProgress::Complete, AnswerProgress::Nothing),
    ));
    let out = fixture.handle(Input::Conn(dialled, ConnEvent::Disconnected));
    assert_eq!(answers(&out), [((7, 3), Answer::Refused { retry_after_ms: advised_retry_ms(&out) })]);
    assert_eq!(fixture.ledger.totals().trials_in_flight, 0);
}

fn advised_retry_ms(out: &[Out]) -> f64 {
    match answers(out)[..] {
        [(_, Answer::Refused { retry_after_ms })] => retry_after_ms,
        _ => f64::NAN,
    }
}

#[test]
fn an_operator_can_hold_and_release_against_the_evidence() {
    let mut fixture = with_blame();
    let suspect = Suspect { kind: SuspectKind::Route, id: HEALTHY_ROUTE };
    fixture.handle(Input::Operator(OperatorCommand::Hold(suspect, Some("lots".into()))));
    assert_eq!(answers(&fixture.arrive_on_route(1, 0, Some(HEALTHY_ROUTE))).len(), 1);
    fixture.now += 60_000.0;
    assert_eq!(
        answers(&fixture.arrive_on_route(2, 0, Some(HEALTHY_ROUTE))).len(),
        1,
        "no trial while held by an operator"
    );
    fixture.handle(Input::Operator(OperatorCommand::Release(suspect)));
    assert!(answers(&fixture.arrive_on_route(3, 0, Some(HEALTHY_ROUTE))).is_empty());
    fixture.handle(Input::Operator(OperatorCommand::Release(Suspect {
        kind: SuspectKind::Route,
        id: FAILING_ROUTE,
    })));
    assert!(answers(&fixture.arrive_on_route(4, 0, Some(FAILING_ROUTE))).is_empty());
}
