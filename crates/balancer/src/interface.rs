//! Inputs and outputs of a [`Balancer`](crate::Balancer): settings, events and actions. The only logic here
//! is the validation of the settings.
//!
//! All times are milliseconds of one monotonic clock with an arbitrary origin; the host passes the time with
//! each event. A host feeds [`Event`]s in the order they happened and carries out the [`Action`]s in the
//! order given.

use thiserror::Error;

/// Identifies a backend. The number must be the same on every node, for example a hash of the backend's name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u64);

/// Identifies one client request; each retry by the client is a request with its own identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What may happen when a request of a class runs more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeating the request does no harm.
    Safe,
    /// The backends of one group drop repeats with the same key for [`Class::key_ttl_ms`].
    Keyed(Group),
    /// The request must never run twice.
    Unsafe,
}

/// The set of backends that share the deduplication of keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every backend.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A zone, identified by a hash of its name, which is the same on every node and in every list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ZoneId(pub u64);

/// How the node receives the list of backends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Discovery sends changes without being asked.
    #[default]
    Pushed,
    /// Discovery sends changes only after [`Action::Watch`].
    OnRequest,
}

/// A class of requests and the limits that hold for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective: an answer within this time earns its full worth.
    pub objective_ms: f64,
    /// Longest time that a client waits in total, over all of its retries.
    pub deadline_ms: f64,
    /// Worth of one request.
    pub worth: f64,
    /// Fraction of the worth that an answer earns after the objective.
    pub late_worth: f64,
    /// What may happen when a request runs more than once.
    pub effect: Effect,
    /// How long repeats of a key are dropped, counted from the first attempt that may have run.
    pub key_ttl_ms: f64,
    /// Extends the objective by this multiple of the request's work, up to the deadline; 0 extends nothing.
    pub objective_stretch: f64,
    /// Limits that an operator has configured for this class.
    pub route: RouteValues,
}

/// Limits that an operator has configured for the class of a route. The default, used for the classes of the
/// platform, limits nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteValues {
    /// Maximum attempts per request; [`Settings::max_attempts`] applies as well.
    pub attempts: u32,
    /// Longest duration of one attempt; infinite for no limit.
    pub attempt_timeout_ms: f64,
    /// Whether a request may be retried after an attempt that may have run, as far as the class's effect
    /// allows it.
    pub retry_possibly_executed: bool,
    /// A second copy is sent when the first attempt has not ended after this time; infinite for none.
    pub second_copy_ms: f64,
}

impl Default for RouteValues {
    fn default() -> RouteValues {
        RouteValues {
            attempts: u32::MAX,
            attempt_timeout_ms: f64::INFINITY,
            retry_possibly_executed: true,
            second_copy_ms: f64::INFINITY,
        }
    }
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second that the tenant may send in total over all nodes; 0 for no quota.
    pub quota_rps: f64,
}

/// Weights of the parts that make up the operators' score.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Goal {
    /// Result over the whole run.
    pub whole_run: f64,
    /// Result of the worst window of ten seconds.
    pub worst_window: f64,
    /// Result of the worst-served class.
    pub worst_class: f64,
    /// Result of the worst-served tenant.
    pub worst_tenant: f64,
    /// Nines of availability: the fraction of requests not served in time, on a logarithmic scale.
    pub nines: f64,
    /// Number of nines that earns the full weight of [`Goal::nines`].
    pub full_at_nines: f64,
}

/// Points that the operators' score subtracts per unit of each cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// Attempts that cross zones, per first try.
    pub cross_zone: f64,
    /// New connections, per first try.
    pub handshake: f64,
    /// Connections held open.
    pub connection: f64,
    /// Worth of requests that ended unserved after their objective.
    pub late_fail: f64,
    /// Backend work that produced no answer, as a fraction of the work offered.
    pub waste: f64,
    /// Probes, per first try.
    pub probe: f64,
    /// Full messages (256 bytes) between nodes, per first try.
    pub peer: f64,
}

/// Meaning of [`Entry::units`], the size that the list gives for a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// No information: the size is always 1.
    #[default]
    None,
    /// The registered size.
    Nominal,
    /// An estimate of the size.
    Rough,
    /// The size divided by 1 + requests in flight per core, as of some time ago.
    Live,
}

/// How backends report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reporting {
    /// They report nothing.
    #[default]
    None,
    /// In every answer to a request or a probe.
    Answers,
    /// Only in answers to probes.
    Probes,
}

/// Load that a backend has reported. The values are delayed and inexact, and some are usually missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in flight at the backend.
    pub in_flight: Option<f64>,
    /// Requests waiting in its queue.
    pub queue: Option<f64>,
    /// Utilization of its cores, 0 to 1.
    pub utilization: Option<f64>,
    /// Its recent service time.
    pub latency_ms: Option<f64>,
    /// Requests served per second.
    pub rate: Option<f64>,
    /// Errors per second.
    pub errors: Option<f64>,
}

/// Configuration of one node, given at its start. The default has no class and is rejected by
/// [`Settings::check`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Request classes; [`Request::class`] is an index into them.
    pub classes: Vec<Class>,
    /// Tenants; [`Request::tenant`] is an index into them.
    pub tenants: Vec<Tenant>,
    /// Weights of the operators' score.
    pub goal: Goal,
    /// Costs that the score subtracts.
    pub prices: Prices,
    /// Number of nodes in the fleet.
    pub instances: u32,
    /// Number of this node in the fleet, from 0.
    pub slot: u32,
    /// Zone of this node if it is known, to compare with [`Entry::zone`].
    pub zone: Option<ZoneId>,
    /// Meaning of [`Entry::units`].
    pub weights: Weights,
    /// How backends report their load.
    pub reporting: Reporting,
    /// How the list of backends is received.
    pub discovery: Discovery,
    /// Maximum attempts per request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether two attempts of one request may be in flight at once.
    pub second_copies: bool,
    /// Whether refusals carry a Retry-After.
    pub retry_after: bool,
    /// Longest Retry-After that clients honour.
    pub max_retry_after_ms: f64,
    /// Whether the node may probe backends.
    pub probes: bool,
    /// Whether nodes may send messages to each other.
    pub peer_messages: bool,
    /// Maximum requests that this node may hold open.
    pub open_cap: u32,
    /// Maximum concurrent attempts on one connection.
    pub max_streams: u32,
    /// Idle time after which a connection is closed.
    pub conn_idle_ms: f64,
    /// Time-out for establishing a connection.
    pub connect_timeout_ms: f64,
    /// CPU time that this node may use per second, in microseconds; 0 if no limit is known.
    pub cpu_us_per_s: f64,
    /// Whether clients mark their retries, in which case a request without the mark is a first try.
    pub marks_retry: bool,
    /// Fraction of its worth that a request keeps when its tenant exceeds the quota.
    pub over_share_worth: f64,
    /// Whether worth is counted per unit of work rather than per request.
    pub worth_by_work: bool,
    /// Whether a backend needs less work for a key that it has handled recently.
    pub warm_keys: bool,
    /// Longest time that a backend stays cold after a start.
    pub cold_ms: f64,
    /// Fraction of its capacity that a backend has at least when it starts.
    pub start_capacity: f64,
    /// A cold backend fails when it is sent more than this multiple of its present capacity for
    /// [`Settings::fall_ms`].
    pub fall_multiple: f64,
    /// How long a cold backend withstands the overload of [`Settings::fall_multiple`].
    pub fall_ms: f64,
    /// Whether backends shed work after they have begun it, so that [`Outcome::Full`] does not prove that the
    /// attempt never ran.
    pub late_shedding: bool,
    /// Sends to a backend must end within this time after the notice that it drains or is gone.
    pub drain_grace_ms: f64,
    /// Time within which idle connections to a draining backend must be closed, if there is such a rule.
    pub drain_close_ms: Option<f64>,
    /// With [`Discovery::OnRequest`]: a node that has not asked for this long is assumed to know all
    /// changes.
    pub max_poll_gap_ms: f64,
    /// Shortest interval between two batches of events.
    pub tick_ms: f64,
}

impl Settings {
    /// Checks that a balancer can run with these settings.
    ///
    /// # Errors
    /// There is no class, or a value is not a number or outside its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClass);
        }
        let mut values = vec![
            ("rules.coldMs", self.cold_ms, 0.0),
            ("rules.fallMs", self.fall_ms, 0.0),
            ("rules.fallMultiple", self.fall_multiple, 0.0),
            ("rules.startCapacity", self.start_capacity, 0.0),
            ("rules.drainGraceMs", self.drain_grace_ms, 0.0),
            ("rules.drainCloseMs", self.drain_close_ms.unwrap_or(1.0), f64::MIN_POSITIVE),
            ("limits.maxRetryAfterMs", self.max_retry_after_ms, 0.0),
            ("rules.mustAskInMs", self.max_poll_gap_ms, 0.0),
            ("limits.connIdleMs", self.conn_idle_ms, 0.0),
            ("overShareWorth", self.over_share_worth, 0.0),
            ("tickMs", self.tick_ms, 0.0),
            ("instances", f64::from(self.instances), 1.0),
            ("limits.attemptsCap", f64::from(self.max_attempts), 1.0),
        ];
        for class in &self.classes {
            // Infinity means no limit and is valid: it is checked as a value in range.
            let finite_limit = |ms: f64| if ms == f64::INFINITY { 1.0 } else { ms };
            values.push((
                "classes.attemptTimeoutMs",
                finite_limit(class.route.attempt_timeout_ms),
                f64::MIN_POSITIVE,
            ));
            values.push((
                "classes.secondCopyMs",
                finite_limit(class.route.second_copy_ms),
                f64::MIN_POSITIVE,
            ));
            values.push(("classes.attempts", f64::from(class.route.attempts), 1.0));
            values.push(("classes.hardLimitMs", class.deadline_ms, f64::MIN_POSITIVE));
            values.push(("classes.objectiveMs", class.objective_ms, f64::MIN_POSITIVE));
            values.push(("classes.value", class.worth, 0.0));
            values.push(("classes.lateValue", class.late_worth, 0.0));
            values.push(("classes.keyTtlMs", class.key_ttl_ms, 0.0));
        }
        values.extend(self.tenants.iter().map(|tenant| ("tenants.quotaRps", tenant.quota_rps, 0.0)));
        if let Some((field, value, _)) =
            values.into_iter().find(|(_, value, min)| !value.is_finite() || value < min)
        {
            return Err(SettingsError::Range { field, value });
        }
        Ok(())
    }
}

/// Why settings were rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// The settings have no class.
    #[error("classes: at least one is needed")]
    NoClass,
    /// A value is not a finite number or is outside its range.
    #[error("{field}: {value} is outside its range")]
    Range {
        /// Name of the setting as the settings file spells it.
        field: &'static str,
        /// The rejected value.
        value: f64,
    },
}

/// Health of a backend according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Accepts requests.
    Up,
    /// Completes the requests in flight and accepts no new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

/// One backend in the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// The backend.
    pub backend: BackendId,
    /// Zone of the backend; none if it is not known.
    pub zone: Option<ZoneId>,
    /// Cell of the backend; none if it is not known.
    pub cell: Option<u32>,
    /// Health of the backend.
    pub health: Health,
    /// Size relative to the other backends; [`Settings::weights`] gives the meaning.
    pub units: f64,
    /// Time of its latest start; 0 if that was long ago.
    pub ready_at_ms: f64,
}

/// What the entries of an [`Event::List`] are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The changed entries only.
    Changes,
    /// The complete list: a backend that is absent is gone.
    Full,
    /// The complete list as stored before a restart; it may be stale.
    Saved,
    /// No entries: a call failed or the subscription broke. The present list stays in use.
    Failed,
}

/// Result of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Done,
    /// The backend answered with an error; the attempt may have run.
    Error,
    /// Rejected by the backend. The attempt never ran, unless [`Settings::late_shedding`] is set.
    Full,
    /// No answer before the time-out; the attempt may have run.
    TimedOut,
    /// No connection before the time-out; the attempt never ran.
    NotConnected,
    /// The connection broke; the attempt may have run.
    Reset,
    /// Cancelled by this node; the attempt may have run.
    Cancelled,
    /// Never sent.
    Skipped,
}

/// A request from a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Identifier, never used again.
    pub id: RequestId,
    /// Index into [`Settings::classes`]; an index out of range is treated as the strictest class.
    pub class: usize,
    /// Index into [`Settings::tenants`].
    pub tenant: Option<usize>,
    /// Stable hash of what the request is about.
    pub key: Option<u64>,
    /// Time at which the client gives up on this request.
    pub deadline_ms: f64,
    /// Estimated cost in milliseconds of core time.
    pub effort_ms: Option<f64>,
    /// Whether the client has marked the request as a retry.
    pub retry: bool,
    /// Whether a failure of the request is attributed to the request itself. It gets one attempt and is not
    /// used as a trial of a congested backend.
    pub suspect: bool,
}

/// An input of the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node has started. Must be the first event and come once.
    Start,
    /// An update of the list of backends.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Until when the list of backends may be used; nothing is sent after it. Without this event a list may
    /// be used for ever.
    ListLease {
        /// When the lease of the list expires.
        until_ms: f64,
    },
    /// A new request from a client.
    Request(Request),
    /// The head of a streamed answer has arrived.
    AnswerStarted {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// The backend that answers.
        backend: BackendId,
        /// Time since the attempt was sent.
        elapsed_ms: f64,
    },
    /// The request body of an attempt is still arriving from the client (`took_ms` is none), or no more of it
    /// will be sent because it is complete or the attempt ends (`took_ms` is the duration). The two
    /// alternate, and both come before [`Event::AttemptEnded`].
    Upload {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Duration of the upload in milliseconds; none when it begins.
        took_ms: Option<f64>,
    },
    /// The body of a streamed answer has ended. Its attempt ended earlier, when the head arrived.
    StreamEnded {
        /// The request.
        id: RequestId,
        /// The backend that answered.
        backend: BackendId,
        /// Whether the body is complete. If not, the backend cut it short: it was too slow or broke the
        /// connection.
        whole: bool,
    },
    /// Failures counted against this backend were caused elsewhere: clears its failure record.
    ResetFailures(BackendId),
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// The backend.
        backend: BackendId,
        /// Result of the attempt.
        outcome: Outcome,
        /// Whether the request is finished, by this attempt or earlier.
        last: bool,
        /// Whether the answer is complete. If not, only its head has arrived and [`Event::StreamEnded`]
        /// reports the end of its body.
        whole: bool,
        /// Time since the attempt was sent.
        elapsed_ms: f64,
        /// Load that the backend has reported; values that it did not report are none.
        load: Load,
    },
    /// The client has disconnected; the request needs no answer.
    ClientLeft(RequestId),
    /// Replaces the class at this index because an operator has changed the routes. Requests of the old class
    /// must have ended, or the index must be unused.
    ClassChanged(usize, Class),
    /// A timer set with [`Action::Timer`] has expired; holds its token.
    Timer(u64),
    /// A probe has ended.
    ProbeEnded {
        /// The backend.
        backend: BackendId,
        /// Result of the probe.
        outcome: Outcome,
        /// Time since the probe was sent.
        elapsed_ms: f64,
        /// Load that the backend has reported; values that it did not report are none.
        load: Load,
    },
    /// How many nodes may be sending to cold backends, where this is known (see `applemill-membership`).
    Senders {
        /// Number of nodes including this one; none if this node may not send to cold backends.
        nodes: Option<u32>,
        /// Time until which the number holds. After it, all of [`Settings::instances`] may be sending.
        until_ms: f64,
    },
    /// A message from another node.
    Message {
        /// Number of the sending node.
        from: u32,
        /// Content of the message.
        bytes: Vec<u8>,
    },
}

/// An output of the balancer, to be carried out by the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Send {
        /// The request.
        id: RequestId,
        /// The backend to send to.
        backend: BackendId,
        /// Time-out of the attempt.
        timeout_ms: f64,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: refused. The client can safely retry.
    Refuse {
        /// The request.
        id: RequestId,
        /// Advised time before a retry; 0 for no advice.
        retry_after_ms: f64,
    },
    /// Final answer: failed. The request may have run.
    Fail(RequestId),
    /// Deliver [`Event::Timer`] at a given time.
    Timer {
        /// Token to return in the event.
        token: u64,
        /// Time of the event.
        at_ms: f64,
    },
    /// Send a probe to a backend.
    Probe(BackendId),
    /// Close the idle connections to a backend.
    CloseIdle(BackendId),
    /// Send a message of at most 256 bytes to one node or to all.
    SendMessage {
        /// Number of the receiving node; none for all nodes.
        to: Option<u32>,
        /// Content of the message.
        bytes: Vec<u8>,
    },
    /// Subscribe to the list of backends, or end the subscription.
    Watch(bool),
    /// A log line for the operator on call.
    Log(String),
}
