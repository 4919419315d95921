//! The ledger: turns inputs into events for the decisions and their actions into effects, and holds the
//! open requests.

use crate::addresses::Addresses;
use crate::conn::{Conn, Job, Purpose};
use crate::fault::FaultContext;
use crate::idle_age::IdleAgeStats;
use crate::idle_conns::IdleConns;
use crate::interface::{Answer, ConnId, Effect, ExchangeResult, Input, Limits, Target, Totals};
use crate::timers::{TimerKey, Timers};
use applemill_balancer::Balancer;
use applemill_balancer::balancer::learned::LearnedState;
use applemill_balancer::interface::{Action, BackendId, Event, ListKind, Outcome, RequestId};
use applemill_blame::Blame;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

/// A probe that takes longer has failed.
const PROBE_TIMEOUT_MS: f64 = 250.0;
/// Upper bound for all time-outs (one day).
pub(crate) const MAX_TIMEOUT_MS: f64 = 86_400_000.0;

/// The front's value for a pending reply, until the answer is given.
#[derive(Clone, Debug)]
enum ReplySlot<O> {
    Pending { owed: O, expiry: TimerKey },
    Answered,
}

/// How much of a request's body is available for sending.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Body {
    /// The whole body.
    Complete,
    /// The body is still being uploaded, and all of it so far is buffered. The value is how long the client
    /// waits after the last byte was written, in milliseconds.
    Arriving(f64),
    /// The request may not be sent again: part of its body, which is still being uploaded, is no longer
    /// buffered, or its front has forbidden it. The value is as above; none if the body is complete.
    NotReplayable(Option<f64>),
}

impl Body {
    /// How long the client waits after the upload, in milliseconds; none if the body is complete.
    pub(crate) fn client_wait_ms(self) -> Option<f64> {
        match self {
            Body::Complete => None,
            Body::Arriving(ms) => Some(ms),
            Body::NotReplayable(ms) => ms,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct OpenRequest<O, C> {
    reply_slot: ReplySlot<O>,
    pub(crate) call: C,
    pub(crate) body: Body,
    /// What the results of its attempts are evidence of.
    pub(crate) fault_context: FaultContext,
    /// The connection of each attempt; none once the attempt has ended.
    attempts: Vec<Option<ConnId>>,
}

impl<O, C> OpenRequest<O, C> {
    pub(crate) fn is_answered(&self) -> bool {
        matches!(self.reply_slot, ReplySlot::Answered)
    }

    /// Hashes the state that later effects depend on.
    pub(crate) fn digest<H: Hasher>(&self, state: &mut H) {
        self.is_answered().hash(state);
        match self.body {
            Body::Complete => 0_u64.hash(state),
            Body::Arriving(ms) => (1, ms.to_bits()).hash(state),
            Body::NotReplayable(ms) => (2, ms.map(f64::to_bits)).hash(state),
        }
        (&self.attempts, self.fault_context.trial_token).hash(state);
    }

    fn is_finished(&self) -> bool {
        self.is_answered() && self.attempts.iter().all(Option::is_none)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Timer {
    /// A timer of the decisions, with their token.
    Decisions(u64),
    /// The expiry of a request.
    Expiry(RequestId),
    /// The time-out of a connection.
    Conn(ConnId),
}

/// The requests, attempts and connections of one pool of backends, and the decisions about them.
#[derive(Clone, Debug)]
pub struct Ledger<O, C> {
    pub(crate) balancer: Balancer,
    pub(crate) blame: Option<Box<Blame>>,
    pub(crate) limits: Limits,
    /// The time of the input being handled, in milliseconds of the clock.
    pub(crate) now: f64,
    pub(crate) open: BTreeMap<RequestId, OpenRequest<O, C>>,
    pub(crate) addresses: Addresses,
    pub(crate) conns: BTreeMap<ConnId, Conn>,
    pub(crate) idle_conns: IdleConns,
    pub(crate) idle_ages: IdleAgeStats,
    pub(crate) timers: Timers<Timer>,
    /// Events that have not been handed to the decisions yet.
    pub(crate) events: VecDeque<Event>,
    /// Changes of verdicts that have not been logged yet.
    pub(crate) log_lines: Vec<String>,
    pub(crate) next_conn: u64,
    pub(crate) stopped: bool,
}

impl<O, C: Clone> Ledger<O, C> {
    /// Creates a ledger that has not handled any input.
    pub fn new(balancer: Balancer, limits: Limits) -> Ledger<O, C> {
        Ledger {
            balancer,
            blame: None,
            limits,
            now: 0.0,
            open: BTreeMap::new(),
            addresses: Addresses::default(),
            conns: BTreeMap::new(),
            idle_conns: IdleConns::default(),
            idle_ages: IdleAgeStats::new(),
            timers: Timers::new(),
            events: VecDeque::new(),
            log_lines: Vec::new(),
            next_conn: 0,
            stopped: false,
        }
    }

    /// Adds fault attribution: suspects found at fault are held.
    #[must_use]
    pub fn with_blame(mut self, blame: Blame) -> Ledger<O, C> {
        self.blame = Some(Box::new(blame));
        self
    }

    /// When to hand in [`Input::TimerDue`], in milliseconds of the clock.
    pub fn next_due_ms(&self) -> Option<f64> {
        self.timers.next_due_ms()
    }

    /// Whether a request could be served: some backend is up.
    pub fn is_ready(&self) -> bool {
        !self.addresses.is_empty()
    }

    /// Whether the list of backends may be used at the time `now`, in milliseconds of the clock.
    pub fn has_valid_list(&self, now: f64) -> bool {
        self.balancer.has_valid_list(now)
    }

    /// Exports what the decisions have learned about backends, for the ledger of a successor process.
    pub fn export_learned(&self) -> LearnedState {
        self.balancer.export_learned()
    }

    /// Imports what another ledger's decisions have learned. Returns false if it does not fit.
    pub fn import_learned(&mut self, learned: &LearnedState) -> bool {
        self.balancer.import_learned(learned)
    }

    /// The fault attribution, if it is in use.
    pub fn blame(&self) -> Option<&Blame> {
        self.blame.as_deref()
    }

    /// The number of requests that are unanswered or have an attempt in flight.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// When the connection that has been idle the longest became idle, in milliseconds of the clock.
    pub fn oldest_idle_since_ms(&self) -> Option<f64> {
        self.idle_conns.oldest_since_ms()
    }

    /// The number of objects held at present.
    pub fn totals(&self) -> Totals {
        let idle = self.idle_conns.len();
        let held = self.blame().into_iter().flat_map(Blame::culprits).filter_map(|c| c.held);
        let is_own = |(_, timer): &(f64, &Timer)| !matches!(timer, Timer::Decisions(_));
        Totals {
            requests: self.open.len(),
            active_conns: self.conns.len().saturating_sub(idle),
            idle_conns: idle,
            timers: self.timers.iter().filter(is_own).count(),
            trials_in_flight: self.blame().map_or(0, Blame::trials_in_flight),
            successful_trials: held.map(|h| h.successes as usize).sum(),
        }
    }

    /// Handles one input at the time `now`, in milliseconds of a clock that does not go back, and appends
    /// the effects to `out`.
    pub fn handle<R>(&mut self, now: f64, input: Input<O, C, R>, out: &mut Vec<Effect<O, C, R>>) {
        self.now = now;
        match input {
            Input::Start => self.events.push_back(Event::Start),
            Input::List(kind, targets) => self.apply_list(kind, &targets, out),
            Input::ListLease(until_ms) => self.events.push_back(Event::ListLease { until_ms }),
            Input::Arrived { mut request, expires_ms, upload_ms, work, call, owed } => {
                let id = request.id;
                if self.stopped || self.open.contains_key(&id) {
                    // It never ran. A duplicate id is an error of the front.
                    out.push(Effect::Answer(owed, Answer::Refused { retry_after_ms: 0.0 }));
                    return;
                }
                let fault_context = match self.admit(work) {
                    Ok(fault_context) => fault_context,
                    Err(retry_after_ms) => {
                        out.push(Effect::Answer(owed, Answer::Refused { retry_after_ms }));
                        return;
                    }
                };
                request.suspect = fault_context.doubtful;
                let expiry = self.timers.set(expires_ms, Timer::Expiry(id));
                let reply_slot = ReplySlot::Pending { owed, expiry };
                let body = upload_ms.map_or(Body::Complete, Body::Arriving);
                self.open.insert(
                    id,
                    OpenRequest { reply_slot, call, body, fault_context, attempts: Vec::new() },
                );
                self.events.push_back(Event::Request(request));
            }
            Input::ClientLeft(id) => self.client_left(id, out),
            Input::NotReplayable(id) => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.body = Body::NotReplayable(open.body.client_wait_ms());
                }
            }
            Input::Conn(conn, event) => self.on_conn_event(conn, event, out),
            Input::TimerDue => {
                while let Some(timer) = self.timers.take_due(now) {
                    match timer {
                        Timer::Decisions(token) => self.events.push_back(Event::Timer(token)),
                        Timer::Expiry(id) => self.client_left(id, out),
                        Timer::Conn(conn) => self.on_conn_timeout(conn, out),
                    }
                    self.process_events(out);
                }
            }
            Input::Message(from, bytes) => self.events.push_back(Event::Message { from, bytes }),
            Input::Senders(nodes, until_ms) => self.events.push_back(Event::Senders { nodes, until_ms }),
            Input::ClassChanged(index, class) => self.events.push_back(Event::ClassChanged(index, class)),
            Input::CloseExpired => self.close_expired(out),
            Input::CloseOldest => self.close_oldest(out),
            Input::Operator(command) => self.apply_command(command),
            Input::Stop => self.stop(out),
        }
        self.process_events(out);
    }

    /// Hands all pending events to the decisions and carries out their actions.
    pub(crate) fn process_events<R>(&mut self, out: &mut Vec<Effect<O, C, R>>) {
        out.extend(self.log_lines.drain(..).map(Effect::Log));
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.balancer.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(action, out);
            }
        }
    }

    fn apply_action<R>(&mut self, action: Action, out: &mut Vec<Effect<O, C, R>>) {
        match action {
            Action::Send { id, backend, timeout_ms } => self.start_attempt(id, backend, timeout_ms, out),
            Action::Cancel { id, attempt } => {
                let open = self.open.get(&id);
                if let Some(conn) = open.and_then(|o| *o.attempts.get(attempt as usize)?) {
                    self.abort(conn, Outcome::Cancelled, out);
                }
            }
            Action::Refuse { id, retry_after_ms } => {
                self.give_answer(id, Answer::Refused { retry_after_ms }, out);
            }
            Action::Fail(id) => self.give_answer(id, Answer::Failed, out),
            Action::Timer { token, at_ms } => {
                self.timers.set(at_ms, Timer::Decisions(token));
            }
            Action::Probe(backend) => self.start_job(Purpose::Probe, backend, PROBE_TIMEOUT_MS, out),
            Action::CloseIdle(backend) => self.close_idle(backend, out),
            Action::SendMessage { to, bytes } => out.push(Effect::Tell(to, bytes)),
            Action::Watch(on) => out.push(Effect::Watch(on)),
            Action::Log(text) => out.push(Effect::Log(text)),
        }
    }

    fn start_attempt<R>(
        &mut self,
        id: RequestId,
        backend: BackendId,
        timeout_ms: f64,
        out: &mut Vec<Effect<O, C, R>>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let purpose = Purpose::Attempt(id, u32::try_from(open.attempts.len()).unwrap_or(u32::MAX));
        // Counts as ended until it has a connection.
        open.attempts.push(None);
        if open.is_answered() || matches!(open.body, Body::NotReplayable(_)) {
            let now = self.now;
            self.job_ended(purpose, backend, now, Outcome::Skipped.into(), true, out);
        } else {
            self.start_job(purpose, backend, timeout_ms, out);
        }
    }

    fn start_job<R>(
        &mut self,
        purpose: Purpose,
        backend: BackendId,
        timeout_ms: f64,
        out: &mut Vec<Effect<O, C, R>>,
    ) {
        let now = self.now;
        let deadline_ms = now + timeout_ms.clamp(0.0, MAX_TIMEOUT_MS);
        match self.addresses.location(backend) {
            Some(location) => {
                self.assign_conn(Job { purpose, backend, location, sent_ms: now, deadline_ms }, out)
            }
            None => self.job_ended(purpose, backend, now, Outcome::NotConnected.into(), true, out),
        }
    }

    /// Sets the connection of an attempt; none once it has ended.
    pub(crate) fn set_attempt_conn(&mut self, purpose: Purpose, conn: Option<ConnId>) {
        let Purpose::Attempt(id, attempt) = purpose else { return };
        let open = self.open.get_mut(&id);
        if let Some(slot) = open.and_then(|o| o.attempts.get_mut(attempt as usize)) {
            *slot = conn;
        }
    }

    /// Ends an attempt or probe: gives the answer it brought, if the request has none yet, and reports the
    /// end to the decisions, as far as it is evidence about the backend. If `whole` is false, the answer
    /// has only begun.
    pub(crate) fn job_ended<R>(
        &mut self,
        purpose: Purpose,
        backend: BackendId,
        sent_ms: f64,
        finish: ExchangeResult<R>,
        whole: bool,
        out: &mut Vec<Effect<O, C, R>>,
    ) {
        let (elapsed_ms, ExchangeResult { outcome, reply, load }) = (self.now - sent_ms, finish);
        let event = match purpose {
            Purpose::Probe => Event::ProbeEnded { backend, outcome, elapsed_ms, load },
            Purpose::Attempt(id, attempt) => {
                self.set_attempt_conn(purpose, None);
                let outcome = if whole { self.evidence(id, backend, outcome) } else { outcome };
                if let Some(reply) = reply {
                    self.give_answer(id, Answer::Served(reply), out);
                }
                let last = self.open.get(&id).is_none_or(OpenRequest::is_answered);
                self.drop_if_finished(id);
                Event::AttemptEnded { id, attempt, backend, outcome, last, whole, elapsed_ms, load }
            }
        };
        self.events.push_back(event);
    }

    /// The last byte of an uploaded body has been written: from now on its client waits as for any other
    /// request.
    pub(crate) fn start_client_wait(&mut self, id: RequestId, client_wait_ms: f64) {
        let expires_ms = self.now + client_wait_ms.max(0.0);
        let Some(OpenRequest { reply_slot: ReplySlot::Pending { expiry, .. }, .. }) =
            self.open.get_mut(&id)
        else {
            return;
        };
        if expires_ms < expiry.at_ms() {
            self.timers.cancel(*expiry);
            *expiry = self.timers.set(expires_ms, Timer::Expiry(id));
        }
    }

    /// Answers a request. No other function does: the pending reply is moved out, which rules out a second
    /// answer.
    fn give_answer<R>(&mut self, id: RequestId, answer: Answer<R>, out: &mut Vec<Effect<O, C, R>>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if let ReplySlot::Pending { owed, expiry } =
            std::mem::replace(&mut open.reply_slot, ReplySlot::Answered)
        {
            self.timers.cancel(expiry);
            out.push(Effect::Answer(owed, answer));
        }
        self.drop_if_finished(id);
    }

    /// Drops a request that is answered and has no attempt in flight.
    fn drop_if_finished(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(OpenRequest::is_finished)
            && let Some(open) = self.open.remove(&id)
        {
            self.release_trial(&open.fault_context);
        }
    }

    fn client_left<R>(&mut self, id: RequestId, out: &mut Vec<Effect<O, C, R>>) {
        // Once the request is answered, the client's leave changes nothing.
        if self.open.get(&id).is_some_and(|o| !o.is_answered()) {
            self.give_answer(id, Answer::Failed, out);
            self.events.push_back(Event::ClientLeft(id));
        }
    }

    fn apply_list<R>(&mut self, kind: ListKind, targets: &[Target], out: &mut Vec<Effect<O, C, R>>) {
        let unusable = self.addresses.apply(kind, targets);
        for backend in &unusable {
            self.close_idle(*backend, out);
        }
        self.events.push_back(Event::List { kind, entries: targets.iter().map(|t| t.entry).collect() });
        // The decisions handle the list first, or they would send the displaced requests to the same
        // backends again.
        self.process_events(out);
        if !unusable.is_empty() {
            self.redirect_unwritten(out);
        }
    }

    fn stop<R>(&mut self, out: &mut Vec<Effect<O, C, R>>) {
        self.stopped = true;
        let ids: Vec<RequestId> = self.open.keys().copied().collect();
        for id in ids {
            self.client_left(id, out);
        }
        self.process_events(out);
        let conns: Vec<ConnId> = self.conns.keys().copied().collect();
        for conn in conns {
            self.abort(conn, Outcome::Cancelled, out);
        }
    }
}
