//! The events that may happen next, and the next time.

use super::{Client, ConnState, Connection, EXTRA_WINDOW_MS, World, WorldEvent};
use crate::scenario::Notice;
use applemill_ledger::{ConnId, RequestProgress};

/// How late a timer may be handed in, in milliseconds. Must be less than the margin that the ledger leaves
/// for it.
const MAX_TIMER_DELAY_MS: f64 = 0.5;
/// Timers later than this do not matter.
const HORIZON_MS: f64 = 10_000.0;

impl World<'_> {
    /// The time to which the clock advances next; none if nothing waits for it.
    pub(super) fn next_time_ms(&self) -> Option<f64> {
        let due = self
            .subject
            .next_due_ms()
            .filter(|due| *due < HORIZON_MS * f64::from(self.scenario.time_scale));
        if let Some(due) = due.filter(|due| *due <= self.now) {
            // A due timer may be handed in late, up to this time.
            return Some(due + MAX_TIMER_DELAY_MS)
                .filter(|late| self.scenario.late_timers && *late > self.now);
        }
        let totals = self.subject.totals();
        let is_awaited =
            totals.requests > 0 || totals.active_conns > 0 || self.clients.iter().any(Client::is_waiting);
        let due = due.filter(|_| is_awaited);
        // Where time advances in steps, it does so until all clients have sent their requests, or for as
        // long as clients wait.
        let requests_pending =
            self.clients.iter().any(|c| c.arrived_at.is_none()) && self.now < self.scenario.patience_ms();
        let step = self
            .scenario
            .step_ms
            .filter(|_| requests_pending)
            .map(|step| ((self.now / step).floor() + 1.0) * step);
        step.into_iter().chain(due).min_by(f64::total_cmp)
    }

    /// All events that may happen now.
    pub fn enabled(&self) -> Vec<WorldEvent> {
        use WorldEvent as E;
        let mut all = Vec::new();
        if let Some(n) = self.clients.iter().position(|c| c.arrived_at.is_none()) {
            all.push(E::Arrive(n));
        }
        if self.faults_left.leaves > 0 {
            all.extend(
                (0..self.clients.len())
                    .filter(|n| {
                        self.clients.get(*n).is_some_and(|c| c.is_waiting() || c.stream_conn.is_some())
                    })
                    .map(E::Leave),
            );
        }
        for (id, connection) in &self.connections {
            self.add_enabled_on(*id, connection, &mut all);
        }
        if let Some(notice) = self.scenario.notices.get(self.notices_given) {
            let process_ends_first =
                matches!(notice, Notice::Remove | Notice::Restart) && !self.process_ended;
            all.push(if process_ends_first { E::ProcessEnds } else { E::Notice });
        }
        if self.faults_left.not_replayable > 0 {
            let can_lose_body = |c: &Client| {
                c.is_waiting() && c.upload_begun && !c.not_replayable && c.upload_done_at.is_none()
            };
            all.extend(
                self.clients
                    .iter()
                    .enumerate()
                    .filter(|(_, c)| can_lose_body(c))
                    .map(|(n, _)| E::BodyNotReplayable(n)),
            );
        }
        if self.scenario.stop && !self.stopped {
            all.push(E::Stop);
        }
        if self.subject.next_due_ms().is_some_and(|due| due <= self.now) {
            all.push(E::TimerDue);
        }
        if self.next_time_ms().is_some() {
            all.push(E::TimePasses);
        }
        all
    }

    pub(super) fn add_enabled_on(&self, id: ConnId, connection: &Connection, all: &mut Vec<WorldEvent>) {
        use WorldEvent as E;
        let faults = &self.faults_left;
        let dead = self.dead_addresses.contains(&connection.address);
        if !connection.incoming.is_empty() {
            all.push(E::Read(id));
        }
        match connection.state {
            ConnState::AwaitingDescriptor => all.push(E::DescriptorGranted(id)),
            ConnState::Dialling => {
                if !dead {
                    all.push(E::Connected(id));
                }
                if dead || faults.connect_failures > 0 {
                    all.push(E::ConnectFailed(id));
                }
            }
            ConnState::Open if connection.client.is_some() => {
                if connection.written < RequestProgress::Complete && !connection.stale {
                    all.push(E::WriteRest(id));
                    if faults.partial_writes > 0 && connection.written == RequestProgress::Nothing {
                        all.push(E::WritePart(id));
                    }
                }
                let is_streaming = connection
                    .client
                    .and_then(|n| self.clients.get(n))
                    .is_some_and(|c| c.stream_conn == Some(id));
                if is_streaming && connection.incoming.is_empty() {
                    all.push(E::FinishStream(id));
                    if faults.resets > 0 {
                        all.push(E::BreakStream(id));
                    }
                }
                if connection.written == RequestProgress::Complete && !connection.handled {
                    all.push(E::Serve(id));
                    let fault_events = [
                        (faults.extras, E::ServeWithExtra(id)),
                        (faults.rejections, E::Reject(id)),
                        (faults.malformed, E::AnswerMalformed(id)),
                        (faults.resets, E::RunThenReset(id)),
                        (faults.interims, E::SendInterim(id)),
                        (faults.interims, E::SendHead(id)),
                        (faults.streams, E::BeginStream(id)),
                    ];
                    all.extend(
                        fault_events.into_iter().filter(|(left, _)| *left > 0).map(|(_, event)| event),
                    );
                }
                if faults.resets > 0 && connection.written < RequestProgress::Complete {
                    all.push(E::Reset(id));
                }
                if self.may_send_extra(connection) && connection.incoming.is_empty() {
                    all.push(E::ExtraArrives(id));
                }
            }
            ConnState::Open => {
                if faults.idle_closes > 0 && !connection.stale {
                    all.push(E::CloseIdle(id));
                }
                if self.may_send_extra(connection) {
                    all.push(E::ExtraArrives(id));
                }
            }
            ConnState::Closed => {}
        }
    }

    pub(super) fn may_send_extra(&self, connection: &Connection) -> bool {
        connection.extra_pending
            && connection
                .quiet_since
                .is_some_and(|since| self.now < f64::from_bits(since) + EXTRA_WINDOW_MS)
    }
}
