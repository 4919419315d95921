//! Connection events: assigns connections to attempts and probes, and handles what happens on them until
//! they end.

use crate::addresses::Location;
use crate::conn::{Conn, Exchange, Job, Purpose, StreamingAnswer};
use crate::interface::{
    AnswerProgress, ConnEvent, ConnId, Effect, ExchangeResult, Payload, RequestProgress,
};
use crate::ledger::{Body, Ledger, MAX_TIMEOUT_MS, Timer};
use applemill_balancer::interface::{BackendId, Event, Outcome};
use applemill_blame::AttemptResult;

/// How long the rest of an answer may take after its head, unless it is streamed, in milliseconds.
const BODY_TIMEOUT_MS: f64 = 100.0;
/// An idle connection is closed after this fraction of the time after which the backend closes it: a
/// request that crosses the backend's close may have run, and an unsafe one is then lost.
const IDLE_FRACTION: f64 = 0.7;

type Out<O, C, R> = Vec<Effect<O, C, R>>;

impl<O, C: Clone> Ledger<O, C> {
    /// Assigns a connection to a job: an idle one if possible, otherwise a new one.
    pub(crate) fn assign_conn<R>(&mut self, job: Job, out: &mut Out<O, C, R>) {
        let limit_ms = self.idle_limit_ms();
        if let Some((conn, idle_ms)) = self.idle_conns.take_reusable(self.now, job.backend, limit_ms) {
            self.send_job(conn, job, Some(idle_ms), out);
            return;
        }
        let conn = ConnId(self.next_conn);
        self.next_conn += 1;
        self.set_attempt_conn(job.purpose, Some(conn));
        out.push(Effect::Dial(conn, job.location.address));
        let timer = self.timers.set(self.dial_deadline_ms(&job), Timer::Conn(conn));
        self.conns.insert(conn, Conn::AwaitingDescriptor(job, timer));
    }

    fn dial_deadline_ms(&self, job: &Job) -> f64 {
        (self.now + self.limits.connect_ms.max(0.0)).min(job.deadline_ms)
    }

    /// Sends a job on an established connection.
    fn send_job<R>(&mut self, conn: ConnId, job: Job, idle_ms: Option<f64>, out: &mut Out<O, C, R>) {
        let (payload, client_wait_ms) = match job.purpose {
            Purpose::Probe => (Some(Payload::Probe), None),
            Purpose::Attempt(id, _) => {
                let open = self.open.get(&id);
                (open.map(|o| Payload::Call(o.call.clone())), open.and_then(|o| o.body.client_wait_ms()))
            }
        };
        self.set_attempt_conn(job.purpose, Some(conn));
        if let Some(payload) = payload {
            let left_ms = client_wait_ms.unwrap_or((job.deadline_ms - self.now).max(0.0));
            out.push(Effect::Send { conn, payload, left_ms, kept: idle_ms.is_some() });
        }
        // The time for an upload depends on the client's pace, and the code that moves the bytes enforces
        // it.
        let deadline_ms =
            if client_wait_ms.is_some() { self.now + MAX_TIMEOUT_MS } else { job.deadline_ms };
        let exchange = Exchange {
            job,
            timer: self.timers.set(deadline_ms, Timer::Conn(conn)),
            idle_ms,
            written: RequestProgress::Nothing,
            received: AnswerProgress::Nothing,
            upload_since_ms: client_wait_ms.map(|_| self.now),
            acts_on_partial: self.limits.acts_on_partial,
        };
        self.report_upload(exchange.job.purpose, client_wait_ms.map(|_| None));
        self.conns.insert(conn, Conn::InExchange(exchange));
    }

    /// Tells the decisions that an upload has begun (`Some(None)`), or ended after so many milliseconds.
    fn report_upload(&mut self, purpose: Purpose, upload: Option<Option<f64>>) {
        if let (Purpose::Attempt(id, attempt), Some(took_ms)) = (purpose, upload) {
            self.events.push_back(Event::Upload { id, attempt, took_ms });
        }
    }

    /// Ends an upload, if there is one: all of the body was written, or its exchange is over.
    pub(crate) fn end_upload(&mut self, exchange: &mut Exchange) {
        if let Some(since) = exchange.upload_since_ms.take() {
            self.report_upload(exchange.job.purpose, Some(Some(self.now - since)));
            // The backend's time begins here. A backend that answered before the upload ended had no time
            // of its own.
            let allowed_ms = exchange.job.deadline_ms - exchange.job.sent_ms;
            (exchange.job.sent_ms, exchange.job.deadline_ms) = (self.now, self.now + allowed_ms);
        }
    }

    /// How long a connection may have been idle to be reused.
    fn idle_limit_ms(&self) -> f64 {
        let configured_ms = self.limits.idle_ms.max(0.0) * IDLE_FRACTION;
        self.idle_ages.limit_ms().map_or(configured_ms, |learned_ms| learned_ms.min(configured_ms))
    }

    /// Handles an event on a connection.
    pub(crate) fn on_conn_event<R>(&mut self, id: ConnId, event: ConnEvent<R>, out: &mut Out<O, C, R>) {
        // Events on a closed connection are ignored.
        let Some(conn) = self.conns.remove(&id) else { return };
        match (conn, event) {
            (Conn::AwaitingDescriptor(job, timer), ConnEvent::Dialling) => {
                self.timers.cancel(timer);
                let timer = self.timers.set(self.dial_deadline_ms(&job), Timer::Conn(id));
                self.conns.insert(id, Conn::Dialling(job, timer));
            }
            (
                Conn::AwaitingDescriptor(job, timer) | Conn::Dialling(job, timer),
                ConnEvent::LocalFailure,
            ) => {
                self.timers.cancel(timer);
                // `NotConnected` would count against the backends, and all of them would be taken for dead.
                self.end_job(&job, Outcome::Skipped.into(), out);
            }
            (Conn::Dialling(job, timer), ConnEvent::Connected) => {
                self.timers.cancel(timer);
                // Where attempts may not be cancelled, the request may be over by now. `redirect_unwritten`
                // makes sure that the backend is still up by the list.
                match self.reason_to_skip(job.purpose) {
                    None => self.send_job(id, job, None, out),
                    Some(outcome) => {
                        out.push(Effect::Close(id));
                        self.end_job(&job, outcome.into(), out);
                    }
                }
            }
            (
                Conn::AwaitingDescriptor(job, timer) | Conn::Dialling(job, timer),
                ConnEvent::ConnectFailed | ConnEvent::Disconnected,
            ) => {
                self.timers.cancel(timer);
                self.end_job(&job, Outcome::NotConnected.into(), out);
            }
            (Conn::InExchange(mut exchange), ConnEvent::Stale)
                if exchange.written == RequestProgress::Nothing =>
            {
                self.timers.cancel(exchange.timer);
                self.end_upload(&mut exchange);
                out.push(Effect::Close(id));
                match self.reason_to_skip(exchange.job.purpose) {
                    None => self.assign_conn(exchange.job, out),
                    Some(outcome) => self.end_job(&exchange.job, outcome.into(), out),
                }
            }
            (Conn::Streaming(stream), ConnEvent::Complete { again, .. }) => {
                self.stream_ended(&stream, Some(AttemptResult::Success));
                self.keep_or_close(id, stream.backend, &stream.location, again, out);
            }
            (Conn::Streaming(stream), failure @ (ConnEvent::Disconnected | ConnEvent::TooSlow)) => {
                out.push(Effect::Close(id));
                if matches!(failure, ConnEvent::Disconnected) {
                    self.close_idle(stream.backend, out);
                }
                // Without this, a backend that always sends its answers too slowly would look as fast as
                // its heads are.
                self.stream_ended(
                    &stream,
                    Some(if matches!(failure, ConnEvent::Disconnected) {
                        AttemptResult::Disconnected
                    } else {
                        AttemptResult::TimedOut
                    }),
                );
            }
            (Conn::Streaming(stream), ConnEvent::Malformed | ConnEvent::Unwanted) => {
                out.push(Effect::Close(id));
                self.stream_ended(&stream, None);
            }
            (Conn::Idle(backend), ConnEvent::Stale | ConnEvent::Disconnected | ConnEvent::Malformed) => {
                self.idle_conns.remove(backend, id);
                out.push(Effect::Close(id));
            }
            (Conn::InExchange(exchange), event) => self.on_exchange_event(id, exchange, event, out),
            // Ignores events that do not fit the state.
            (conn, _) => {
                self.conns.insert(id, conn);
            }
        }
    }

    fn on_exchange_event<R>(
        &mut self,
        id: ConnId,
        mut exchange: Exchange,
        event: ConnEvent<R>,
        out: &mut Out<O, C, R>,
    ) {
        if !matches!(event, ConnEvent::Progress(..)) {
            self.end_upload(&mut exchange);
        }
        match event {
            ConnEvent::Progress(written, received) => {
                exchange.written = exchange.written.max(written);
                if exchange.upload_since_ms.is_some() && exchange.written == RequestProgress::Complete {
                    self.upload_written(id, &mut exchange);
                }
                if received == AnswerProgress::HeadComplete
                    && exchange.received < AnswerProgress::HeadComplete
                {
                    self.timers.cancel(exchange.timer);
                    exchange.timer = self
                        .timers
                        .set(exchange.job.deadline_ms.min(self.now + BODY_TIMEOUT_MS), Timer::Conn(id));
                }
                exchange.received = exchange.received.max(received);
            }
            // An answer that arrives before anything was written does not belong to this request.
            ConnEvent::Complete { finish, again } if exchange.written > RequestProgress::Nothing => {
                self.timers.cancel(exchange.timer);
                self.record_idle_age(&exchange, false);
                self.end_job(&exchange.job, finish, out);
                self.process_events(out);
                self.keep_or_close(id, exchange.job.backend, &exchange.job.location, again, out);
                return;
            }
            ConnEvent::HeadReceived(finish) if exchange.written > RequestProgress::Nothing => {
                self.timers.cancel(exchange.timer);
                self.record_idle_age(&exchange, false);
                let Job { purpose: Purpose::Attempt(request, _), backend, location, .. } = exchange.job
                else {
                    // The answer to a probe is never streamed.
                    out.push(Effect::Close(id));
                    self.end_job(&exchange.job, exchange.malformed_outcome().into(), out);
                    return;
                };
                let fault_context = self.take_fault_context(request);
                let stream = StreamingAnswer { id: request, backend, location, fault_context };
                self.conns.insert(id, Conn::Streaming(stream));
                // For the decisions the attempt ends with the head: the pace of the rest depends on the
                // client as much as on the backend, and it takes no capacity that another request needs.
                self.job_ended(
                    exchange.job.purpose,
                    exchange.job.backend,
                    exchange.job.sent_ms,
                    finish,
                    false,
                    out,
                );
                return;
            }
            ConnEvent::Malformed | ConnEvent::Complete { .. } | ConnEvent::HeadReceived(_) => {
                self.timers.cancel(exchange.timer);
                self.record_idle_age(&exchange, false);
                out.push(Effect::Close(id));
                self.end_job(&exchange.job, exchange.malformed_outcome().into(), out);
                return;
            }
            ConnEvent::Disconnected | ConnEvent::Stale | ConnEvent::Unwanted | ConnEvent::TooSlow => {
                self.timers.cancel(exchange.timer);
                self.record_idle_age(&exchange, exchange.received == AnswerProgress::Nothing);
                out.push(Effect::Close(id));
                if exchange.disconnect_outcome() == Outcome::Reset {
                    // The backend may have restarted: connections opened before are reset as soon as
                    // something is sent on them, and an unsafe request would be lost.
                    self.close_idle(exchange.job.backend, out);
                }
                self.end_job(&exchange.job, exchange.disconnect_outcome().into(), out);
                return;
            }
            // Ignores events that do not fit the state.
            ConnEvent::Dialling
            | ConnEvent::LocalFailure
            | ConnEvent::Connected
            | ConnEvent::ConnectFailed => {}
        }
        self.conns.insert(id, Conn::InExchange(exchange));
    }

    /// The last byte of an upload has been written: the time-outs start here.
    fn upload_written(&mut self, id: ConnId, exchange: &mut Exchange) {
        self.end_upload(exchange);
        if let Purpose::Attempt(request, _) = exchange.job.purpose
            && let Some(ms) = self.open.get(&request).and_then(|o| o.body.client_wait_ms())
        {
            self.start_client_wait(request, ms);
            exchange.job.deadline_ms = exchange.job.deadline_ms.min(self.now + ms);
        }
        self.timers.cancel(exchange.timer);
        exchange.timer = self.timers.set(exchange.job.deadline_ms, Timer::Conn(id));
    }

    /// Keeps a connection for reuse after a complete answer if possible; otherwise closes it.
    fn keep_or_close<R>(
        &mut self,
        id: ConnId,
        backend: BackendId,
        location: &Location,
        again: bool,
        out: &mut Out<O, C, R>,
    ) {
        if again && self.addresses.is_at(backend, location) {
            self.idle_conns.insert(self.now, backend, id);
            self.conns.insert(id, Conn::Idle(backend));
        } else {
            out.push(Effect::Close(id));
        }
    }

    /// Records whether a request broke on a reused connection. Probes are left out, as they go to backends
    /// in trouble.
    fn record_idle_age(&mut self, exchange: &Exchange, disconnected: bool) {
        if exchange.job.purpose != Purpose::Probe {
            self.idle_ages.record(self.now, exchange.idle_ms, disconnected);
        }
    }

    fn end_job<R>(&mut self, job: &Job, finish: ExchangeResult<R>, out: &mut Out<O, C, R>) {
        self.job_ended(job.purpose, job.backend, job.sent_ms, finish, true, out);
    }

    /// Why a job of which nothing was written is not to be sent any more: the list of backends may not be used
    /// any more, the request is over, or its body cannot be sent again. None if it is to be sent.
    fn reason_to_skip(&self, purpose: Purpose) -> Option<Outcome> {
        if !self.has_valid_list(self.now) {
            return Some(Outcome::Skipped);
        }
        let Purpose::Attempt(id, _) = purpose else { return None };
        match self.open.get(&id) {
            Some(open) if open.is_answered() => Some(Outcome::NotConnected),
            Some(open) if matches!(open.body, Body::NotReplayable(_)) => Some(Outcome::Skipped),
            Some(_) => None,
            None => Some(Outcome::NotConnected),
        }
    }

    /// Handles the time-out of a connection.
    pub(crate) fn on_conn_timeout<R>(&mut self, id: ConnId, out: &mut Out<O, C, R>) {
        let outcome = match self.conns.get(&id) {
            Some(Conn::AwaitingDescriptor(..)) => Outcome::Skipped,
            Some(Conn::Dialling(..)) => Outcome::NotConnected,
            Some(Conn::InExchange(exchange)) => {
                let (outcome, backend) = (exchange.timeout_outcome(), exchange.job.backend);
                if exchange.job.purpose == Purpose::Probe {
                    self.close_idle(backend, out);
                }
                outcome
            }
            Some(Conn::Streaming(..) | Conn::Idle(_)) | None => return,
        };
        self.abort(id, outcome, out);
    }

    /// Closes a connection and ends the job on it.
    pub(crate) fn abort<R>(&mut self, id: ConnId, outcome: Outcome, out: &mut Out<O, C, R>) {
        let Some(mut conn) = self.conns.remove(&id) else { return };
        out.push(Effect::Close(id));
        match &mut conn {
            Conn::Idle(backend) => self.idle_conns.remove(*backend, id),
            Conn::InExchange(exchange) => self.end_upload(exchange),
            _ => {}
        }
        if let Some((job, timer)) = conn.into_job() {
            self.timers.cancel(timer);
            self.end_job(&job, outcome.into(), out);
        }
    }

    /// After a list update: a request of which nothing was written is not sent to a backend that drains,
    /// was removed, has moved or is another process now, even if a connection is being opened or established.
    pub(crate) fn redirect_unwritten<R>(&mut self, out: &mut Out<O, C, R>) {
        let is_displaced = |job: &Job| !self.addresses.is_at(job.backend, &job.location);
        let displaced =
            self.conns.iter().filter(|(_, c)| c.is_unwritten() && c.job().is_some_and(is_displaced));
        let displaced: Vec<ConnId> = displaced.map(|(id, _)| *id).collect();
        for id in displaced {
            let mut conn = self.conns.remove(&id);
            if let Some(Conn::InExchange(exchange)) = &mut conn {
                self.end_upload(exchange);
            }
            if let Some((job, timer)) = conn.and_then(Conn::into_job) {
                self.timers.cancel(timer);
                out.push(Effect::Close(id));
                self.redirect(job, out);
            }
        }
    }

    /// Sends a job of which nothing was written to its backend's present process; without one it never ran.
    fn redirect<R>(&mut self, mut job: Job, out: &mut Out<O, C, R>) {
        match self.addresses.location(job.backend) {
            Some(location) if self.reason_to_skip(job.purpose).is_none() => {
                job.location = location;
                self.assign_conn(job, out);
            }
            _ => self.end_job(&job, Outcome::NotConnected.into(), out),
        }
    }

    /// Closes the idle connections to a backend.
    pub(crate) fn close_idle<R>(&mut self, backend: BackendId, out: &mut Out<O, C, R>) {
        let idle = self.idle_conns.remove_all(backend);
        self.close_all(idle, out);
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn close_expired<R>(&mut self, out: &mut Out<O, C, R>) {
        let expired = self.idle_conns.remove_expired(self.now, self.idle_limit_ms());
        self.close_all(expired, out);
    }

    /// Closes the connection that has been idle the longest.
    pub(crate) fn close_oldest<R>(&mut self, out: &mut Out<O, C, R>) {
        let oldest = self.idle_conns.remove_oldest();
        self.close_all(oldest, out);
    }

    fn close_all<R>(&mut self, conns: impl IntoIterator<Item = ConnId>, out: &mut Out<O, C, R>) {
        for conn in conns {
            self.conns.remove(&conn);
            out.push(Effect::Close(conn));
        }
    }
}
