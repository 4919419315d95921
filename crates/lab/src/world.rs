//! The configuration of a world: servers, clients, network, discovery, faults.

use crate::baseline::BaselineConfig;
use crate::draw::Law;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A world. Times are in seconds unless a name has another unit.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct World {
    /// How long clients arrive.
    pub seconds: f64,
    /// Number of nodes in the fleet.
    #[serde(default = "one")]
    pub nodes: u32,
    /// Zones of the nodes, assigned in turn; empty for no zones.
    #[serde(default)]
    pub node_zones: Vec<String>,
    /// The network between nodes and servers.
    #[serde(default)]
    pub network: Network,
    /// The delay of discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// Messages between nodes; disabled if absent.
    #[serde(default)]
    pub messages: Option<Messages>,
    /// Groups of servers with the same parameters.
    pub servers: Vec<Servers>,
    /// Groups of clients with the same parameters.
    pub clients: Vec<Clients>,
    /// Faults to inject.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// If present, nodes use this simple balancer instead of the real decisions.
    #[serde(default)]
    pub baseline: Option<BaselineConfig>,
}

fn one() -> u32 {
    1
}

fn unit() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

/// The network between nodes and servers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One-way delay within a zone, in milliseconds.
    pub delay_ms: f64,
    /// One-way delay between zones, in milliseconds.
    pub between_zones_ms: f64,
    /// Fraction of exchanges whose connection breaks, before or after the server has the request.
    pub broken: f64,
}

impl Default for Network {
    fn default() -> Network {
        Network { delay_ms: 0.3, between_zones_ms: 1.0, broken: 0.0 }
    }
}

/// The delay until a node receives a changed list of servers: a fixed part and a random part drawn per node.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Minimum delay, in milliseconds.
    pub late_ms: f64,
    /// Upper bound of the random delay added to `late_ms`, in milliseconds.
    pub spread_ms: f64,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { late_ms: 100.0, spread_ms: 400.0 }
    }
}

/// Messages between nodes: datagrams that may be lost, delayed and reordered.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Messages {
    /// Fraction of messages that is lost.
    pub lost: f64,
    /// Minimum delay, in milliseconds.
    pub late_ms: f64,
    /// Upper bound of the random delay added to `late_ms`, in milliseconds.
    pub spread_ms: f64,
    /// Number of nodes, counted from the last, that falsely report a server as failing to all others each
    /// second.
    pub liars: u32,
    /// Index of the falsely reported server.
    pub accused: u32,
}

impl Default for Messages {
    fn default() -> Messages {
        Messages { lost: 0.0, late_ms: 1.0, spread_ms: 10.0, liars: 0, accused: 1 }
    }
}

/// A group of servers with the same parameters.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// Name of the pool in the operator's file.
    pub pool: String,
    /// Number of servers.
    pub count: u32,
    /// Zone of the servers.
    #[serde(default)]
    pub zone: Option<String>,
    /// Requests that a server runs at once.
    #[serde(default = "one")]
    pub cores: u32,
    /// Requests that may wait in addition; further ones are rejected and never run.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Distribution of the service times.
    pub service: Law,
    /// When the servers start; if absent, they are up before the world starts.
    #[serde(default)]
    pub from: Option<f64>,
    /// The ramp after a start.
    #[serde(default)]
    pub cold: Cold,
}

fn default_queue() -> u32 {
    64
}

/// How a server warms up after a start. It crashes if the work that it receives within `window_ms` exceeds
/// `multiple` times its current capacity.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cold {
    /// Time until the server is warm.
    pub time: f64,
    /// Fraction of the full capacity at the start.
    pub start: f64,
    /// Factor on the capacity above which the server crashes.
    pub multiple: f64,
    /// Window over which the work is summed, in milliseconds.
    pub window_ms: f64,
    /// Time from a crash to the restart, which is cold.
    pub back_after: f64,
}

impl Default for Cold {
    fn default() -> Cold {
        Cold { time: 20.0, start: 0.2, multiple: 3.0, window_ms: 1_500.0, back_after: 5.0 }
    }
}

/// A group of clients with the same parameters. Arrivals are open-loop: they do not wait for answers to other
/// requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Name of the group in reports.
    pub name: String,
    /// Method and path; `{key}` and `{tenant}` in the path stand for those of the request.
    pub request: String,
    /// Headers; `{key}` and `{tenant}` in their values stand for those of the request.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// Requests per second, without retries.
    pub rate: f64,
    /// Recorded arrival times; if not empty, `rate` and `shape` are ignored.
    #[serde(default)]
    pub trace: Vec<f64>,
    /// Times and multipliers of the rate, interpolated linearly; multiplier 1 if empty.
    #[serde(default)]
    pub shape: Vec<(f64, f64)>,
    /// Number of keys.
    #[serde(default = "one")]
    pub keys: u32,
    /// Exponent of Zipf's law for the frequencies of keys; 0 for equal frequencies.
    #[serde(default)]
    pub zipf: f64,
    /// Interval at which the popularity of the keys shifts by one key; never if absent.
    #[serde(default)]
    pub moves_every: Option<f64>,
    /// Tenants and their relative frequencies.
    #[serde(default)]
    pub tenants: Vec<(String, f64)>,
    /// Maximum number of retries after a refusal or, if the request may run twice, after a failure.
    #[serde(default)]
    pub retries: u32,
    /// Delay before the first retry, in milliseconds, doubled for each further one and varied randomly by up
    /// to half.
    #[serde(default = "default_backoff_ms")]
    pub backoff_ms: f64,
    /// Clients retry after the time that a refusal names, if it names one.
    #[serde(default = "yes")]
    pub honours_retry_after: bool,
    /// How long clients wait for a try, in milliseconds; at most, and by default, the deadline of the route.
    #[serde(default)]
    pub patience_ms: Option<f64>,
    /// Factor on the service times of the group's requests.
    #[serde(default = "unit")]
    pub work: f64,
    /// Additional factor for requests for the first key.
    #[serde(default)]
    pub first_key_work: Option<f64>,
}

fn default_backoff_ms() -> f64 {
    200.0
}

/// A fault that lasts for some time.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins.
    pub at: f64,
    /// Duration; 0 to begin and end at the same time.
    #[serde(default)]
    pub lasts: f64,
    /// Kind of the fault.
    pub fault: What,
    /// Magnitude, for the kinds that have one; see [`What`].
    #[serde(default)]
    pub by: f64,
    /// Only servers of this pool; of all pools if absent.
    #[serde(default)]
    pub pool: Option<String>,
    /// Only servers, or nodes, of this zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// Limits the fault to the first servers, or nodes, that match.
    #[serde(default)]
    pub first: Option<u32>,
}

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// Servers stop and lose their requests; afterwards they restart cold.
    Lost,
    /// Discovery announces servers as draining, and nodes send them nothing new once they have the update;
    /// afterwards they are up again, warm.
    Drain,
    /// Service times are multiplied by `by`.
    Slow,
    /// Servers are paused: no request progresses.
    Pause,
    /// Servers answer the fraction `by` of requests with an error, at once.
    Errors,
    /// Servers send malformed answers to the fraction `by` of requests.
    Wrong,
    /// Service times grow each second by the fraction `by` of the usual time.
    Leak,
    /// No packets pass between these servers and the nodes.
    Cut,
    /// Requests reach the servers, but nothing comes back.
    Mute,
    /// Discovery omits servers that are up.
    Unlisted,
    /// Nodes stop and lose their requests; afterwards they restart without learned state.
    NodesLost,
    /// Nodes receive no updates from discovery.
    Unheard,
}

impl What {
    /// The name in files and reports.
    pub fn word(self) -> &'static str {
        match self {
            What::Lost => "lost",
            What::Drain => "drain",
            What::Slow => "slow",
            What::Pause => "pause",
            What::Errors => "errors",
            What::Wrong => "wrong",
            What::Leak => "leak",
            What::Cut => "cut",
            What::Mute => "mute",
            What::Unlisted => "unlisted",
            What::NodesLost => "nodes-lost",
            What::Unheard => "unheard",
        }
    }
}

impl Clients {
    /// A group with this name and default values, which sends no requests.
    pub fn named(name: &str) -> Clients {
        Clients {
            name: name.to_owned(),
            request: String::new(),
            headers: BTreeMap::new(),
            rate: 0.0,
            trace: Vec::new(),
            shape: Vec::new(),
            keys: one(),
            zipf: 0.0,
            moves_every: None,
            tenants: Vec::new(),
            retries: 0,
            backoff_ms: default_backoff_ms(),
            honours_retry_after: yes(),
            patience_ms: None,
            work: unit(),
            first_key_work: None,
        }
    }
}

impl World {
    /// All problems of the world, each with its field; empty for a valid world.
    pub fn wrong(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut require = |valid: bool, problem: String| {
            if !valid {
                problems.push(problem);
            }
        };
        let within = |n: f64, min: f64, max: f64| n.is_finite() && (min..=max).contains(&n);
        require(within(self.seconds, 0.1, 86_400.0), format!("seconds: {}: 0.1 to 86400", self.seconds));
        require((1..=1_000).contains(&self.nodes), format!("nodes: {}: 1 to 1000", self.nodes));
        require(!self.servers.is_empty(), "servers: at least one group".to_owned());
        require(!self.clients.is_empty(), "clients: at least one group".to_owned());
        let (n, d) = (&self.network, &self.discovery);
        for (name, value, max) in [
            ("network.delay_ms", n.delay_ms, 10_000.0),
            ("network.between_zones_ms", n.between_zones_ms, 10_000.0),
            ("network.broken", n.broken, 1.0),
            ("discovery.late_ms", d.late_ms, 600_000.0),
            ("discovery.spread_ms", d.spread_ms, 600_000.0),
        ] {
            require(within(value, 0.0, max), format!("{name}: {value}: 0 to {max}"));
        }
        if let Some(m) = &self.messages {
            let server_count: u32 = self.servers.iter().map(|s| s.count).fold(0, u32::saturating_add);
            require(within(m.lost, 0.0, 1.0), format!("messages.lost: {}: 0 to 1", m.lost));
            for (name, value) in [("late_ms", m.late_ms), ("spread_ms", m.spread_ms)] {
                require(within(value, 0.0, 600_000.0), format!("messages.{name}: {value}: 0 to 600000"));
            }
            require(m.liars <= self.nodes, format!("messages.liars: {}: 0 to nodes", m.liars));
            require(
                m.liars == 0 || m.accused < server_count,
                format!("messages.accused: {}: a server's number", m.accused),
            );
        }
        for (n, s) in self.servers.iter().enumerate() {
            let at = format!("servers[{n}]");
            require((1..=10_000).contains(&s.count), format!("{at}.count: {}: 1 to 10000", s.count));
            require((1..=1_024).contains(&s.cores), format!("{at}.cores: {}: 1 to 1024", s.cores));
            require(
                s.service.invalid_reason().is_none(),
                format!("{at}.service: {}", s.service.invalid_reason().unwrap_or_default()),
            );
            let c = &s.cold;
            require(within(c.time, 0.0, 3_600.0), format!("{at}.cold.time: {}: 0 to 3600", c.time));
            require(within(c.start, 0.01, 1.0), format!("{at}.cold.start: {}: 0.01 to 1", c.start));
            require(
                within(c.multiple, 1.0, 1e6),
                format!("{at}.cold.multiple: {}: 1 to 1000000", c.multiple),
            );
            require(
                within(c.window_ms, 1.0, 600_000.0),
                format!("{at}.cold.window_ms: {}: 1 to 600000", c.window_ms),
            );
            require(
                within(c.back_after, 0.0, 86_400.0),
                format!("{at}.cold.back_after: {}: 0 to 86400", c.back_after),
            );
        }
        for (n, c) in self.clients.iter().enumerate() {
            let at = format!("clients[{n}] ({})", c.name);
            require(within(c.rate, 0.0, 1e6), format!("{at}.rate: {}: 0 to 1000000", c.rate));
            require((1..=10_000_000).contains(&c.keys), format!("{at}.keys: {}: 1 to 10000000", c.keys));
            require(within(c.zipf, 0.0, 5.0), format!("{at}.zipf: {}: 0 to 5", c.zipf));
            require(within(c.work, 0.001, 1_000.0), format!("{at}.work: {}: 0.001 to 1000", c.work));
            require(
                within(c.backoff_ms, 1.0, 600_000.0),
                format!("{at}.backoff_ms: {}: 1 to 600000", c.backoff_ms),
            );
            require(
                c.request.split_once(' ').is_some(),
                format!("{at}.request: {:?}: a method and a path", c.request),
            );
            let is_sorted = c.trace.windows(2).all(|w| matches!(w, [a, b] if a <= b));
            require(
                is_sorted && c.trace.iter().all(|t| within(*t, 0.0, 86_400.0)),
                format!("{at}.trace: times of 0 to 86400 in non-decreasing order"),
            );
            let is_increasing = c.shape.windows(2).all(|w| matches!(w, [a, b] if a.0 < b.0));
            let in_range = c.shape.iter().all(|(t, m)| within(*t, 0.0, 86_400.0) && within(*m, 0.0, 1e4));
            require(
                is_increasing && in_range,
                format!("{at}.shape: increasing times, multipliers of 0 to 10000"),
            );
        }
        if let Some(BaselineConfig { attempts, timeout_ms }) = self.baseline {
            require((1..=100).contains(&attempts), format!("baseline.attempts: {attempts}: 1 to 100"));
            require(
                within(timeout_ms, 1.0, 600_000.0),
                format!("baseline.timeout_ms: {timeout_ms}: 1 to 600000"),
            );
        }
        for (n, f) in self.faults.iter().enumerate() {
            let at = format!("faults[{n}]");
            require(
                within(f.at, 0.0, 86_400.0) && within(f.lasts, 0.0, 86_400.0),
                format!("{at}: at and lasts: 0 to 86400"),
            );
            let (min, max) = match f.fault {
                What::Errors | What::Wrong => (0.0, 1.0),
                What::Slow => (1.0, 1e4),
                What::Leak => (0.0, 100.0),
                _ => (0.0, 0.0),
            };
            require(
                within(f.by, min, max),
                format!("{at}.by: {}: {min} to {max} for {}", f.by, f.fault.word()),
            );
            let in_pool = |s: &Servers| f.pool.as_ref().is_none_or(|p| *p == s.pool);
            require(
                self.servers.iter().any(in_pool),
                format!("{at}.pool: {:?}: no group of servers has it", f.pool),
            );
        }
        problems
    }
}
