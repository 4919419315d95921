//! An operator's file as it is written: every value with its place, nothing inherited and nothing judged yet.

mod fleet;
mod tls;

pub use fleet::{Fleet, Membership, Seen};
pub use tls::{Authority, Certificate, Origin, Proof, Tls};

use crate::report::Spot;
use std::net::SocketAddr;

/// A value and where it is written.
#[derive(Clone, Debug, PartialEq)]
pub struct At<T> {
    /// The value.
    pub value: T,
    /// Its place.
    pub at: Spot,
}

/// Whether a request may take effect twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// It may run any number of times.
    Safe,
    /// Servers that share their memory drop repeats for a time.
    Keyed,
    /// It must never run twice.
    Unsafe,
}

/// Which servers drop a keyed repeat together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DroppedBy {
    /// Every server of the pool.
    Pool,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// After which attempts another may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Retry {
    /// After none.
    None,
    /// After those that surely never ran.
    NeverRan,
    /// After any.
    MayHaveRun,
}

impl Retry {
    /// The word in the file.
    pub fn word(self) -> &'static str {
        match self {
            Retry::None => "none",
            Retry::NeverRan => "never-ran",
            Retry::MayHaveRun => "may-have-run",
        }
    }
}

/// How a body is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mode {
    /// Gathered first.
    Whole,
    /// As it comes.
    Stream,
}

impl Mode {
    /// The word in the file.
    pub fn word(self) -> &'static str {
        match self {
            Mode::Whole => "whole",
            Mode::Stream => "stream",
        }
    }
}

/// Where a figure of a request is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// In a header, by its lower-case name.
    Header(String),
    /// A segment of the path, counted from 1.
    Segment(usize),
    /// The same for all.
    Value(String),
    /// A name in the certificate that the client has shown.
    Certificate(CallerName),
}

/// A kind of name in a client's certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallerName {
    /// Its DNS name.
    Dns,
    /// Its address of mail.
    Email,
    /// Its common name.
    CommonName,
}

impl CallerName {
    /// The word in the file.
    pub fn word(self) -> &'static str {
        match self {
            CallerName::Dns => "dns",
            CallerName::Email => "email",
            CallerName::CommonName => "common-name",
        }
    }
}

/// The values that are inherited: from the defaults to class, group and route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Values {
    /// Attempts for one request.
    pub attempts: Option<At<u32>>,
    /// The longest attempt in milliseconds; none inside for `off`.
    pub attempt_timeout_ms: Option<At<Option<f64>>>,
    /// Head to answer, in milliseconds.
    pub deadline_ms: Option<At<f64>>,
    /// What is retried on.
    pub retry: Option<At<Retry>>,
    /// When a second copy is sent, in milliseconds; none inside for `off`.
    pub second_copy_ms: Option<At<Option<f64>>>,
    /// The longest body in bytes.
    pub body_limit: Option<At<u64>>,
    /// How bodies are passed on.
    pub streams: StreamValues,
}

/// Those of them that concern streams. Sizes in bytes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamValues {
    /// Requests' bodies.
    pub body: Option<At<Mode>>,
    /// Answers' bodies.
    pub answer: Option<At<Mode>>,
    /// The longest answer.
    pub answer_limit: Option<At<u64>>,
    /// Held at once in one direction.
    pub hold: Option<At<u64>>,
    /// Sent again while no more has left.
    pub replay: Option<At<u64>>,
    /// The slowest: so much ...
    pub pace: Option<At<u64>>,
    /// ... in this time, in milliseconds.
    pub pace_window_ms: Option<At<f64>>,
    /// The longest, in milliseconds.
    pub time_ms: Option<At<f64>>,
}

/// What class, pool and figures a route or a group of routes names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The class.
    pub class: Option<At<String>>,
    /// Where a request names its class.
    pub class_from: Option<At<Source>>,
    /// The pool.
    pub pool: Option<At<String>>,
    /// Where the tenant is.
    pub tenant: Option<At<Source>>,
    /// Where the key is.
    pub key: Option<At<Source>>,
    /// Where the client's patience is.
    pub patience_from: Option<At<Source>>,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: At<String>,
    /// Its effect.
    pub effect: Option<At<Effect>>,
    /// Its clients' patience in milliseconds.
    pub patience_ms: Option<At<f64>>,
    /// Its aim in milliseconds.
    pub aim_ms: Option<At<f64>>,
    /// Its worth.
    pub worth: Option<At<f64>>,
    /// Who drops its repeats.
    pub dropped_by: Option<At<DroppedBy>>,
    /// For how long, in milliseconds.
    pub dropped_for_ms: Option<At<f64>>,
    /// What it hands down.
    pub values: Values,
}

/// A group of routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Its name.
    pub name: At<String>,
    /// What it names.
    pub names: Names,
    /// What it hands down.
    pub values: Values,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: At<String>,
    /// Its group.
    pub group: Option<At<String>>,
    /// An exact host, or `*.` and a domain.
    pub host: Option<At<String>>,
    /// An exact path.
    pub path: Option<At<String>>,
    /// A path and all below it.
    pub prefix: Option<At<String>>,
    /// Methods; empty for all.
    pub methods: Vec<At<String>>,
    /// Headers by lower-case name, and their values.
    pub headers: Vec<(At<String>, String)>,
    /// What it names.
    pub names: Names,
    /// Its own values.
    pub values: Values,
}

/// A server of a fixed list.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name; its address if it has none.
    pub name: At<String>,
    /// Where it listens.
    pub address: At<SocketAddr>,
    /// Its zone.
    pub zone: Option<At<String>>,
    /// Its cell.
    pub cell: Option<At<u32>>,
    /// Its size.
    pub weight: f64,
    /// It is warm already when a reload adds it.
    pub warm: bool,
}

/// A pool of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: At<String>,
    /// A fixed list; empty where discovery has it.
    pub servers: Vec<Server>,
    /// Where discovery is.
    pub discovery: Option<At<SocketAddr>>,
    /// Its servers may act on a part of a request.
    pub acts_on_part: bool,
}

/// A listener.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Its name.
    pub name: At<String>,
    /// Where it listens.
    pub address: At<SocketAddr>,
    /// TLS is spoken there.
    pub tls: Option<At<bool>>,
    /// A file with the authorities of clients' certificates; none are asked for if absent.
    pub client_ca: Option<At<String>>,
    /// Whether a client without one is turned away.
    pub client_required: Option<At<bool>>,
}

impl Listener {
    /// Whether TLS is spoken there.
    pub fn is_tls(&self) -> bool {
        self.tls.as_ref().is_some_and(|t| t.value)
    }

    /// Clients are asked for certificates of these authorities; whether those without one are turned away.
    pub fn callers(&self) -> Option<(&str, bool)> {
        let required = self.client_required.as_ref().is_none_or(|r| r.value);
        self.client_ca.as_ref().map(|file| (file.value.as_str(), required))
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: At<String>,
    /// Requests a second within its share.
    pub rate: f64,
}

/// The node's own figures. Times in milliseconds, sizes in bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: Option<At<String>>,
    /// File descriptors that it may hold.
    pub sockets: u32,
    /// Memory that it may take.
    pub memory: u64,
    /// Requests that it may hold open.
    pub open_requests: u32,
    /// Refusals say when to come back.
    pub retry_after: bool,
    /// The longest that they say.
    pub retry_after_max_ms: f64,
    /// A connection not made by then is not made.
    pub connect_timeout_ms: f64,
    /// Servers close idle connections after this.
    pub idle_timeout_ms: f64,
    /// Streamed requests at once.
    pub streams: u32,
    /// What they may hold together.
    pub stream_memory: u64,
    /// How long a stop waits for them.
    pub stream_stop_ms: f64,
    /// A Unix socket for operators.
    pub admin: Option<String>,
    /// A file that a second node finds locked.
    pub lock: Option<String>,
    /// A Unix socket at which another process may take this node's place.
    pub hand_over: Option<String>,
}

/// How it is told whose fault failures are. Times in milliseconds, parts of 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Blame {
    /// It is told at all.
    pub on: bool,
    /// What fails less often is not held.
    pub hold_at: f64,
    /// Evidence fades to a third in this time.
    pub memory_ms: f64,
    /// Trials, as a part of all attempts ...
    pub trial_part: f64,
    /// ... and so many a second.
    pub trials: f64,
    /// From a verdict to the first trial.
    pub first_pause_ms: f64,
    /// The longest pause between trials.
    pub longest_pause_ms: f64,
}

/// A whole file.
#[derive(Clone, Debug, PartialEq)]
pub struct File {
    /// The sections that are written.
    pub sections: Vec<At<String>>,
    /// This node.
    pub node: Node,
    /// Its fleet.
    pub fleet: Fleet,
    /// How it sees who else is there; none if `[view]` is not written.
    pub seen: Option<Seen>,
    /// Whose fault failures are.
    pub blame: Blame,
    /// Where clients connect.
    pub listeners: Vec<Listener>,
    /// TLS, where a listener speaks it.
    pub tls: Tls,
    /// Certificates.
    pub certificates: Vec<Certificate>,
    /// Authorities that they come from.
    pub authorities: Vec<Authority>,
    /// Servers.
    pub pools: Vec<Pool>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// What every route inherits.
    pub defaults: Values,
    /// Classes.
    pub classes: Vec<Class>,
    /// Groups of routes.
    pub groups: Vec<Group>,
    /// Routes.
    pub routes: Vec<Route>,
}
