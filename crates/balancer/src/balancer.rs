//! All decisions of the balancer. The types, events and actions it works with are in
//! [`interface`](crate::interface).
//!
//! This file passes each event to the module that handles it. `state` holds what a node knows, and the
//! modules for a single backend, class or request hold its parts. `backend_list`, `housekeeping`,
//! `cold_start` and `admission` keep it up to date; `requests` follows a request from its arrival to its
//! answer, with `selection` and `send_rules` for each attempt and `outcomes` and `congestion` for its end.
//!
//! The four rules for repeated requests are enforced in two places: every send passes through
//! `Balancer::may_send` in `send_rules`, every refusal through `Balancer::answer` in `requests`.

mod admission;
mod backend;
mod backend_list;
mod class_stats;
mod cold_start;
mod concurrency_limit;
mod congestion;
mod connections;
mod digest;
mod fading_value;
mod failure_record;
mod housekeeping;
mod key_counts;
pub mod learned;
mod open_request;
mod outcomes;
mod requests;
mod selection;
mod send_rules;
mod sparse_selection;
mod state;
mod timers;

pub use state::Balancer;

use crate::interface::{Action, Discovery, Event, RequestId};
use class_stats::ClassStats;
use timers::{LIST_RETRY_TIMER, SECOND_COPY_TIMER_BASE, TICK_TIMER};

impl Balancer {
    /// Processes one event at the time `now` (milliseconds) and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Start => self.on_start(now, out),
            Event::List { kind, entries } => self.on_list(now, kind, &entries, out),
            Event::ListLease { until_ms } => self.list_lease_until_ms = until_ms,
            Event::Request(request) => self.on_request(now, request, out),
            Event::AttemptEnded { .. } => self.on_attempt_ended(now, &event, out),
            Event::ClientLeft(id) => self.on_client_left(id, out),
            Event::Upload { id, attempt, took_ms } => self.on_upload(id, attempt, took_ms),
            Event::StreamEnded { id, backend, whole } => self.on_stream_ended(now, id, backend, whole, out),
            Event::ResetFailures(backend) => {
                if let Some(index) = self.find(backend) {
                    self.backends[index].record.reset();
                }
            }
            Event::Timer(TICK_TIMER) => self.on_tick(now, out),
            Event::Timer(LIST_RETRY_TIMER) => out.push(Action::Watch(true)),
            Event::Timer(token) => {
                let id = RequestId(token.saturating_sub(SECOND_COPY_TIMER_BASE));
                self.send_second_copy(now, id, out);
            }
            Event::ProbeEnded { backend, outcome, .. } => {
                self.on_probe_ended(now, backend, outcome, out);
            }
            Event::Senders { nodes, until_ms } => self.on_senders(nodes.unwrap_or(0), until_ms),
            Event::ClassChanged(index, class) if index < self.class_stats.len() => {
                self.settings.classes[index] = class;
                self.class_stats[index] = ClassStats::default();
            }
            Event::Message { from, bytes } => self.peer_reports.receive(now, from, &bytes),
            Event::ClassChanged(..) | Event::AnswerStarted { .. } => {}
        }
    }

    fn on_start(&mut self, now: f64, out: &mut Vec<Action>) {
        self.last_tick_ms = now;
        out.push(Action::Timer { token: TICK_TIMER, at_ms: now + self.tick_interval_ms() });
        if self.settings.discovery == Discovery::OnRequest {
            out.push(Action::Watch(true));
        }
    }
}
