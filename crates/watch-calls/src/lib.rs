//! Decides when a node calls discovery, which calls stay open, and which answer counts. There is no I/O and no
//! clock here: the caller starts and drops the calls, and reports what comes of them.
//!
//! A call that is sent while discovery is silent may never be answered, although discovery is back by then.
//! With lists that are pushed to an agent beside the node, a call that brings nothing in time is therefore
//! joined by a fresh one on a connection of its own, and the first complete answer counts. With lists that
//! every node asks one service for, there is one call at a time, as each one loads that service.

mod boot_times;
mod list_lease;
mod timing;

pub use boot_times::{BootTimes, ClockReading};
pub use list_lease::ListLease;
pub use timing::CallTiming;

/// Time in milliseconds of a monotonic clock.
pub type Ms = f64;

/// Limit of open calls. [`CallTiming::lifetime_ms`] keeps calls that bring nothing below it.
const MAX_OPEN_CALLS: usize = 16;
/// Longest time of a call whose answer keeps arriving.
const MAX_TRANSFER_MS: Ms = 30_000.0;
/// Pause after an answer without news that came too early for a watch: without it, such a service would be
/// called without a break.
const EARLY_ANSWER_PAUSE_MS: Ms = 150.0;
/// A watch that is answered sooner than this, without news, did not wait at the service.
const MIN_WATCH_MS: Ms = 50.0;

/// Number of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Query {
    /// The whole list, at once.
    WholeList,
    /// What changes after a revision.
    Changes {
        /// The revision.
        after: u64,
        /// How long discovery holds the call open while nothing changes; at 0 it answers at once.
        wait_ms: Ms,
    },
}

impl Query {
    /// How long discovery may hold the call open by itself.
    fn wait_ms(self) -> Ms {
        match self {
            Query::WholeList => 0.0,
            Query::Changes { wait_ms, .. } => wait_ms,
        }
    }
}

/// A step for the caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Start a call.
    Start(CallId, Query),
    /// Drop a call and its connection.
    Drop(CallId),
    /// Drop a call that has not failed: its answer would be of no use.
    Discard(CallId),
}

/// What an answer says of its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListVersion {
    /// Revision of the list.
    pub revision: u64,
    /// Whether it is the whole list, and not only changes.
    pub is_full: bool,
}

/// How far the list of an answer may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUse {
    /// As it is.
    Everything,
    /// Only for the servers that it names as draining or removed: it may be older than what the node knows, or
    /// change a list that the node does not have. The whole list is asked for again.
    Departures,
}

#[derive(Clone, Copy, Debug)]
struct OpenCall {
    id: CallId,
    started: Ms,
    /// How long discovery may hold the call open by itself.
    wait_ms: Ms,
    /// How long the call may bring nothing beyond that.
    lifetime_ms: Ms,
    /// When the last bytes of the answer arrived.
    moved: Option<Ms>,
}

/// The calls of one node to discovery, for one list.
#[derive(Clone, Debug)]
pub struct WatchCalls {
    timing: CallTiming,
    open: Vec<OpenCall>,
    /// Revision of the list that the node has, and from which changes can be asked for.
    revision: Option<u64>,
    /// Revision of the last list that was used, also if the whole list is to be asked for again.
    last_used: Option<u64>,
    /// The last answer was older than that, and not used.
    last_was_older: bool,
    calls: u64,
    /// Calls that were started since the last answer.
    calls_since_answer: u32,
    last_start: Ms,
    /// The last call has failed.
    has_failed: bool,
    /// No call starts before this.
    not_before: Ms,
    /// Until when the list that the node has may be used.
    lease: ListLease,
}

impl WatchCalls {
    /// No call is open. The node has held its list, which may be one that it has stored, since `held_since`.
    pub fn new(timing: CallTiming, held_since: Ms) -> WatchCalls {
        WatchCalls {
            timing,
            open: Vec::new(),
            revision: None,
            last_used: None,
            last_was_older: false,
            calls: 0,
            calls_since_answer: 0,
            last_start: Ms::NEG_INFINITY,
            has_failed: false,
            not_before: Ms::NEG_INFINITY,
            lease: ListLease::unconfirmed(held_since, timing.lease_ms),
        }
    }

    /// Drops what is due, and starts what is due if calls are `wanted`. To be called after each report, and at
    /// [`Self::due`].
    pub fn tick(&mut self, now: Ms, wanted: bool) -> Vec<Step> {
        let mut steps = self.renew_lease(now);
        let timing = self.timing;
        let expired = self.open.iter().filter(|call| now >= timing.expires(call));
        let failed: Vec<Step> = expired.map(|call| Step::Drop(call.id)).collect();
        self.open.retain(|call| now < timing.expires(call));
        let has_failed = !failed.is_empty();
        steps.extend(failed);
        if timing.join_ms.is_none() && has_failed {
            // The failure is reported first: whether to call again is not decided here.
            self.calls_since_answer = 0;
            self.has_failed = true;
            return steps;
        }
        if !wanted || now < self.next_start() {
            return steps;
        }
        if self.open.len() >= MAX_OPEN_CALLS {
            steps.push(Step::Drop(self.open.remove(0).id));
        }
        steps.push(self.start(now));
        steps
    }

    /// Renews the lease of the list. Discards the calls whose answers cannot confirm the list any more.
    fn renew_lease(&mut self, now: Ms) -> Vec<Step> {
        self.lease.observe(now);
        let lease = self.lease;
        let outdated = self.open.iter().filter(|call| lease.is_outdated(call.started));
        let steps = outdated.map(|call| Step::Discard(call.id)).collect();
        self.open.retain(|call| !lease.is_outdated(call.started));
        steps
    }

    fn start(&mut self, now: Ms) -> Step {
        self.calls += 1;
        let id = CallId(self.calls);
        let query = self.next_query();
        let (wait_ms, lifetime_ms) = (query.wait_ms(), self.timing.lifetime_ms(self.calls_since_answer));
        self.open.push(OpenCall { id, started: now, wait_ms, lifetime_ms, moved: None });
        self.calls_since_answer = self.calls_since_answer.saturating_add(1);
        self.last_start = now;
        Step::Start(id, query)
    }

    fn next_query(&self) -> Query {
        // A service that does not answer a watch may come back with other revisions, and a watch without news
        // is answered too late to confirm a list.
        let may_watch = self.calls_since_answer == 0 && self.lease.is_confirmed();
        match self.revision.filter(|_| may_watch) {
            // Whether the service answers again has to show at once: a watch could wait for long.
            Some(after) if self.has_failed => Query::Changes { after, wait_ms: 0.0 },
            Some(after) => Query::Changes { after, wait_ms: self.timing.wait_ms },
            None => Query::WholeList,
        }
    }

    /// When the next call starts if nothing happens before.
    fn next_start(&self) -> Ms {
        let in_time = self.open.iter().map(|call| self.timing.in_time_until(call));
        in_time.fold(self.not_before, Ms::max)
    }

    /// When [`Self::tick`] has something to do; infinite if that depends on a report.
    pub fn due(&self, wanted: bool) -> Ms {
        let next_start = if wanted { self.next_start() } else { Ms::INFINITY };
        let expiries = self.open.iter().map(|call| self.timing.expires(call));
        expiries.fold(next_start.min(self.lease.renewal_due_ms()), Ms::min)
    }

    /// The lease of the list that the node has.
    pub fn lease(&self) -> ListLease {
        self.lease
    }

    /// Bytes of a call's answer have arrived.
    pub fn moved(&mut self, now: Ms, id: CallId) {
        if let Some(call) = self.open.iter_mut().find(|call| call.id == id) {
            call.moved = Some(now);
        }
    }

    /// A call was answered. All others are dropped. Returns how far the list may be used.
    pub fn answered(&mut self, now: Ms, id: CallId, list: ListVersion) -> (ListUse, Vec<Step>) {
        self.lease.observe(now);
        let call = self.open.iter().find(|call| call.id == id).copied();
        let is_early = |call: OpenCall| call.wait_ms > 0.0 && now - call.started < MIN_WATCH_MS;
        let early = self.revision == Some(list.revision) && call.is_some_and(is_early);
        let list_use = self.judge(list);
        let is_used = list_use == ListUse::Everything;
        self.not_before = if early || !is_used { now + EARLY_ANSWER_PAUSE_MS } else { now };
        self.revision = is_used.then_some(list.revision);
        if is_used {
            self.last_used = self.revision;
            self.last_was_older = false;
            if let Some(call) = call {
                self.lease.confirm(now, call.started);
            }
        }
        self.calls_since_answer = 0;
        self.has_failed = false;
        (list_use, self.drop_others(id))
    }

    /// A single answer that is older than the list in use may be a late one, and would bring back servers that
    /// leave. Two in a row mean that the service has started again with revisions of its own.
    fn judge(&mut self, list: ListVersion) -> ListUse {
        let is_older = self.last_used.is_some_and(|last_used| list.revision < last_used);
        let is_out_of_sync = !list.is_full && (self.revision.is_none() || is_older);
        let was_older = std::mem::replace(&mut self.last_was_older, is_older);
        if is_out_of_sync || is_older && !was_older { ListUse::Departures } else { ListUse::Everything }
    }

    fn drop_others(&mut self, id: CallId) -> Vec<Step> {
        let others = self.open.drain(..).filter(|call| call.id != id);
        others.map(|call| Step::Drop(call.id)).collect()
    }

    /// A call has failed. With pushed lists the next one asks for the whole list, since the service may have
    /// restarted with other revisions.
    pub fn failed(&mut self, now: Ms, id: CallId) {
        self.lease.observe(now);
        self.open.retain(|call| call.id != id);
        match self.timing.join_ms {
            Some(join_ms) => {
                self.revision = None;
                self.not_before = self.not_before.max(self.last_start + join_ms);
            }
            None => {
                self.calls_since_answer = 0;
                self.has_failed = true;
                self.not_before = now;
            }
        }
    }

    /// Forgets all calls and the revision of the list: discovery is elsewhere from now on, with revisions of
    /// its own.
    pub fn restart(&mut self, now: Ms) {
        self.lease.observe(now);
        self.lease.move_service(now);
        let forgotten = WatchCalls::new(self.timing, now);
        *self = WatchCalls { calls: self.calls, lease: self.lease, ..forgotten };
    }
}
