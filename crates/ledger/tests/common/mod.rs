//! A ledger with one backend in each of two zones, and the inputs that the tests hand in.
#![allow(dead_code)]

use applemill_balancer::Balancer;
use applemill_balancer::interface::{
    BackendId, Entry, Health, ListKind, Load, Outcome, Request, RequestId, ZoneId,
};
use applemill_balancer::wire;
use applemill_ledger::{
    AnswerProgress, ConnEvent, ConnId, Effect, ExchangeResult, Input, Ledger, Limits, RequestProgress,
    Target,
};
use std::net::SocketAddr;

pub type Out = Effect<u64, &'static str, &'static str>;

pub const SAFE: usize = 0;
pub const UNSAFE: usize = 1;
pub const KEYED: usize = 2;

/// A ledger with one backend in each of two zones, at 1,000 ms.
pub struct Fixture {
    pub ledger: Ledger<u64, &'static str>,
    pub now: f64,
}

impl Fixture {
    pub fn new() -> Fixture {
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
        fixture
    }

    pub fn handle(&mut self, input: Input<u64, &'static str, &'static str>) -> Vec<Out> {
        let mut out = Vec::new();
        self.ledger.handle(self.now, input, &mut out);
        out
    }

    pub fn arrive(&mut self, id: u64, class: usize) -> Vec<Out> {
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

    pub fn event(&mut self, conn: u64, event: ConnEvent<&'static str>) -> Vec<Out> {
        self.handle(Input::Conn(ConnId(conn), event))
    }

    pub fn connect(&mut self, conn: u64) -> Vec<Out> {
        self.event(conn, ConnEvent::Dialling);
        self.event(conn, ConnEvent::Connected)
    }

    pub fn end(&mut self, conn: u64, outcome: Outcome) -> Vec<Out> {
        self.event(conn, ConnEvent::Progress(RequestProgress::Complete, AnswerProgress::Nothing));
        let reply = (outcome == Outcome::Done).then_some("reply");
        let finish = ExchangeResult { outcome, reply, load: Load::default() };
        self.event(conn, ConnEvent::Complete { finish, again: true })
    }
}

pub fn target(backend: u64) -> Target {
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
