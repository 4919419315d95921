//! A simple balancer to compare the real decisions with: it picks a random server that is up, applies a
//! time-out, and retries after any failure up to a limit. It learns, limits and refuses nothing.

use crate::draw::Draws;
use crate::node::{NodeEffect, NodeInput, TryId};
use applemill_balancer::interface::{Health, Outcome, RequestId};
use applemill_ledger::{Answer, ConnEvent, ConnId, Effect, Input, Payload};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Parameters of the baseline balancer.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BaselineConfig {
    /// Maximum number of attempts per request.
    pub attempts: u32,
    /// Time-out of an attempt, in milliseconds.
    pub timeout_ms: f64,
}

#[derive(Clone, Copy, Debug)]
enum Timer {
    RequestExpiry,
    AttemptTimeout(ConnId),
}

#[derive(Clone, Debug)]
struct OpenRequest {
    call: TryId,
    owed: TryId,
    attempts: u32,
    expires_ms: f64,
    conn: Option<ConnId>,
}

/// The baseline balancer, with the inputs and effects of a ledger.
#[derive(Clone, Debug)]
pub struct BaselineBalancer {
    config: BaselineConfig,
    draws: Draws,
    servers: Vec<SocketAddr>,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    conns: BTreeMap<ConnId, RequestId>,
    /// Keyed by time in nanoseconds and a sequence number, which orders timers of the same time.
    timers: BTreeMap<(u64, u64), (RequestId, Timer)>,
    /// Source of timer sequence numbers and connection ids.
    last_number: u64,
}

impl BaselineBalancer {
    /// A balancer without servers, until the first list arrives.
    pub fn new(config: BaselineConfig, seed: u64) -> BaselineBalancer {
        BaselineBalancer {
            config,
            draws: Draws::new(seed, 0x91a1),
            servers: Vec::new(),
            open_requests: BTreeMap::new(),
            conns: BTreeMap::new(),
            timers: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// When the next [`Input::TimerDue`] is due, in milliseconds.
    pub fn next_due_ms(&self) -> Option<f64> {
        self.timers.first_key_value().map(|((at, _), _)| *at as f64 / 1e6)
    }

    fn set_timer(&mut self, at_ms: f64, id: RequestId, timer: Timer) {
        self.last_number += 1;
        self.timers.insert(((at_ms * 1e6).round() as u64, self.last_number), (id, timer));
    }

    /// Handles an input as a ledger does, and adds its effects to `out`.
    pub fn handle(&mut self, now_ms: f64, input: NodeInput, out: &mut Vec<NodeEffect>) {
        match input {
            Input::List(_, targets) => {
                let up = targets.iter().filter(|t| t.entry.health == Health::Up);
                self.servers = up.filter_map(|t| t.address).collect();
            }
            Input::Arrived { request, expires_ms, call, owed, .. } => {
                let open = OpenRequest { call, owed, attempts: 0, expires_ms, conn: None };
                self.open_requests.insert(request.id, open);
                self.set_timer(expires_ms, request.id, Timer::RequestExpiry);
                self.start_attempt(now_ms, request.id, out);
            }
            Input::ClientLeft(id) => self.finish_request(id, None, out),
            Input::Conn(conn, event) => self.handle_conn_event(now_ms, conn, &event, out),
            Input::TimerDue => {
                while let Some(entry) = self.timers.first_entry()
                    && entry.key().0 <= (now_ms * 1e6).round() as u64
                {
                    match entry.remove() {
                        (id, Timer::RequestExpiry) => self.finish_request(id, Some(Answer::Failed), out),
                        (id, Timer::AttemptTimeout(conn)) if self.conns.remove(&conn).is_some() => {
                            out.push(Effect::Close(conn));
                            self.start_attempt(now_ms, id, out);
                        }
                        (_, Timer::AttemptTimeout(_)) => {}
                    }
                }
            }
            _ => {}
        }
    }

    fn start_attempt(&mut self, now_ms: f64, id: RequestId, out: &mut Vec<NodeEffect>) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        open.attempts += 1;
        open.conn = None;
        let server = self.servers.get(self.draws.of(self.servers.len())).copied();
        let Some(server) =
            server.filter(|_| open.attempts <= self.config.attempts && now_ms < open.expires_ms)
        else {
            return self.finish_request(id, Some(Answer::Failed), out);
        };
        self.last_number += 1;
        let conn = ConnId(self.last_number);
        open.conn = Some(conn);
        self.conns.insert(conn, id);
        self.set_timer(now_ms + self.config.timeout_ms, id, Timer::AttemptTimeout(conn));
        out.push(Effect::Dial(conn, server));
    }

    fn handle_conn_event(
        &mut self,
        now_ms: f64,
        conn: ConnId,
        event: &ConnEvent<()>,
        out: &mut Vec<NodeEffect>,
    ) {
        let Some(id) = self.conns.get(&conn).copied() else { return };
        match event {
            ConnEvent::Dialling | ConnEvent::Progress(..) => {}
            ConnEvent::Connected => {
                let Some(open) = self.open_requests.get(&id) else { return };
                let (payload, left_ms) = (Payload::Call(open.call), open.expires_ms - now_ms);
                out.push(Effect::Send { conn, payload, left_ms, kept: false });
            }
            ConnEvent::Complete { finish, .. } if finish.outcome == Outcome::Done => {
                self.finish_request(id, Some(Answer::Served(())), out);
            }
            _ => {
                self.conns.remove(&conn);
                out.push(Effect::Close(conn));
                self.start_attempt(now_ms, id, out);
            }
        }
    }

    /// Ends a request: closes its connection and answers the client, unless it has left.
    fn finish_request(&mut self, id: RequestId, answer: Option<Answer<()>>, out: &mut Vec<NodeEffect>) {
        let Some(open) = self.open_requests.remove(&id) else { return };
        if let Some(conn) = open.conn
            && self.conns.remove(&conn).is_some()
        {
            out.push(Effect::Close(conn));
        }
        out.extend(answer.map(|answer| Effect::Answer(open.owed, answer)));
    }
}
