//! The inputs and effects of a ledger. No logic.

use applemill_balancer::interface::{Class, Entry, ListKind, Load, Outcome, Request, RequestId};
use applemill_blame::{DisplayName, RequestTraits, Suspect};
use std::net::SocketAddr;
use std::rc::Rc;

/// Limits set by the platform or the operator. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The time-out for connecting.
    pub connect_ms: f64,
    /// Backends close connections that have been idle for this long.
    pub idle_ms: f64,
    /// Whether backends may act on a partly received request. If so, a request may have run once any of its
    /// bytes were written; otherwise only once its last byte was.
    pub acts_on_partial: bool,
}

/// The number of objects that a ledger holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests that are unanswered or have an attempt in flight.
    pub requests: usize,
    /// Connections that carry something or are being opened for it.
    pub active_conns: usize,
    /// Idle connections, kept for reuse.
    pub idle_conns: usize,
    /// Timers, except those of the decisions.
    pub timers: usize,
    /// Trials of suspects at fault that have not ended.
    pub trials_in_flight: usize,
    /// Successful trials since the last failed one, summed over all held suspects.
    pub successful_trials: usize,
}

/// Identifies a connection to a backend. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer<R> {
    /// A backend's answer.
    Served(R),
    /// Retrying is harmless, best after this time.
    Refused {
        /// In milliseconds; 0 for no advice.
        retry_after_ms: f64,
    },
    /// The request failed and may have run.
    Failed,
}

/// The result of an exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct ExchangeResult<R> {
    /// The outcome for the decisions.
    pub outcome: Outcome,
    /// The backend's answer, if the attempt was served.
    pub reply: Option<R>,
    /// The backend's load report, if it sent one.
    pub load: Load,
}

impl<R> From<Outcome> for ExchangeResult<R> {
    fn from(outcome: Outcome) -> ExchangeResult<R> {
        ExchangeResult { outcome, reply: None, load: Load::default() }
    }
}

/// One backend on the list from discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// The entry for the decisions.
    pub entry: Entry,
    /// The address. It may be missing for a backend that was removed.
    pub address: Option<SocketAddr>,
}

/// An operator's command about a suspect.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorCommand {
    /// Hold the suspect, without trials, until it is released.
    Hold(Suspect, DisplayName),
    /// Release the suspect, and do not hold it again for a while.
    Release(Suspect),
}

/// An event handed to the ledger. `O` is the front's value for a pending reply, `C` the call that is sent
/// to a backend, `R` the backend's reply.
#[derive(Clone, Debug)]
pub enum Input<O, C, R> {
    /// The node has started. This is the first input, and comes once.
    Start,
    /// An update of the list of backends.
    List(ListKind, Vec<Target>),
    /// Until when the list of backends may be used, in milliseconds of the clock. Without this input it may
    /// be used for ever.
    ListLease(f64),
    /// A client's request has arrived.
    Arrived {
        /// The request for the decisions, with the deadline by which they must have ended it.
        request: Request,
        /// When the ledger fails the request, whatever the decisions do, in milliseconds of the clock.
        expires_ms: f64,
        /// Set if the body is still being uploaded: how long the client waits after its last byte was
        /// written, in milliseconds.
        upload_ms: Option<f64>,
        /// The request's traits that may be at fault; none without fault attribution.
        work: Option<Rc<RequestTraits>>,
        /// The call to send to a backend.
        call: C,
        /// The front's value for the pending reply.
        owed: O,
    },
    /// The client has left, or needs no answer any more.
    ClientLeft(RequestId),
    /// No attempt of the request may begin any more: part of its body is no longer buffered, or the end of its
    /// client could not be seen.
    NotReplayable(RequestId),
    /// An event on a connection. Events on a connection that the ledger has closed are ignored.
    Conn(ConnId, ConnEvent<R>),
    /// The time [`next_due_ms`](crate::Ledger::next_due_ms) has come.
    TimerDue,
    /// A message from another node.
    Message(u32, Vec<u8>),
    /// How many nodes may send to cold backends (none if this node may not), and until when that holds, in
    /// milliseconds of the clock.
    Senders(Option<u32>, f64),
    /// An operator has changed a request class.
    ClassChanged(usize, Class),
    /// Close the connections that have been idle for too long.
    CloseExpired,
    /// File descriptors are short: close the connection that has been idle the longest.
    CloseOldest,
    /// An operator's command about a suspect.
    Operator(OperatorCommand),
    /// The node stops: requests without an answer fail, and nothing new is started.
    Stop,
}

/// An event on a connection to a backend.
#[derive(Clone, Debug, PartialEq)]
pub enum ConnEvent<R> {
    /// A file descriptor was granted, and the handshake begins.
    Dialling,
    /// This process or machine cannot start a connection at present: it lacks a descriptor, memory or a free
    /// local address.
    LocalFailure,
    /// The connection is established.
    Connected,
    /// The backend could not be reached.
    ConnectFailed,
    /// A connection on which nothing was written is not to be used: an idle one was closed by the backend, as
    /// found by a check in the background or just before a request was to be written, or the list of backends
    /// has become too old meanwhile.
    Stale,
    /// The progress of the request and its answer. It is reported before any later event.
    Progress(RequestProgress, AnswerProgress),
    /// The complete answer has arrived. After [`HeadReceived`](ConnEvent::HeadReceived) its `finish` is
    /// ignored.
    Complete {
        /// The result.
        finish: ExchangeResult<R>,
        /// The connection is open and quiet, and may carry another request.
        again: bool,
    },
    /// The head of an answer has arrived, and its body will be streamed to the client: the request counts
    /// as answered.
    HeadReceived(ExchangeResult<R>),
    /// The reader of a streamed answer no longer wants the rest.
    Unwanted,
    /// The rest of a streamed answer arrives too slowly, although the reader is ready for it.
    TooSlow,
    /// The answer is malformed. The backend is up and may have run the request.
    Malformed,
    /// The connection was reset or closed.
    Disconnected,
}

/// How much of a request has been written to the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestProgress {
    /// No byte: it never ran.
    Nothing,
    /// Some bytes. It may have run if backends act on a part; see [`Limits::acts_on_partial`].
    Partial,
    /// The whole request.
    Complete,
}

/// How much of an answer has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AnswerProgress {
    /// No byte.
    Nothing,
    /// Some bytes.
    Started,
    /// The complete head.
    HeadComplete,
}

/// What is sent on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Payload<C> {
    /// A client's request.
    Call(C),
    /// A health probe.
    Probe,
}

/// An effect that the node carries out, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect<O, C, R> {
    /// Connect to the address. [`ConnEvent::Dialling`] is reported once there is a file descriptor.
    Dial(ConnId, SocketAddr),
    /// Send on an established connection, and report the answer.
    Send {
        /// The connection.
        conn: ConnId,
        /// What to send.
        payload: Payload<C>,
        /// The time left for the answer, in milliseconds.
        left_ms: f64,
        /// The connection was idle: it is checked first, and [`ConnEvent::Stale`] is reported if it is
        /// unusable.
        kept: bool,
    },
    /// Close a connection, whatever it carries. One that is closed already is ignored.
    Close(ConnId),
    /// Give the final answer to the pending reply.
    Answer(O, Answer<R>),
    /// Send a message to another node, or to all nodes if none is named.
    Tell(Option<u32>, Vec<u8>),
    /// Subscribe to the list of backends, or end the subscription.
    Watch(bool),
    /// Write a line to the log.
    Log(String),
}
