//! The scenarios: small worlds, defined by their requests, their backends and the number of each kind of
//! fault.

use applemill_balancer::interface::{
    Class, Discovery, Effect, Goal, Group, Prices, Reporting, RouteValues, Settings, Weights,
};

/// How long clients wait, in milliseconds; see [`Scenario::patience_ms`] for the value of a scenario.
const PATIENCE_MS: f64 = 100.0;
/// The decisions end a request this long before its client gives up, in milliseconds.
pub const MARGIN_MS: f64 = 4.0;
/// The ledger ends a request this long before its client gives up, in milliseconds.
pub const LAST_MARGIN_MS: f64 = 1.0;
/// The grace: a request first sent to a backend later than this after its notice is a violation, in
/// milliseconds.
const GRACE_MS: f64 = 20.0;
/// How long repeats of a keyed request have no effect, in milliseconds.
const KEY_TTL_MS: f64 = 60.0;

/// What a notice says about backend 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    /// It drains.
    Drain,
    /// It was removed.
    Remove,
    /// It has restarted at another address; something still accepts requests at the old one.
    Move,
    /// It has restarted at the same address.
    Restart,
}

/// How often each kind of fault may occur.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Faults {
    /// A client leaves.
    pub leaves: u8,
    /// A connection cannot be established.
    pub connect_failures: u8,
    /// A connection is reset before, during or after the last byte of a request.
    pub resets: u8,
    /// A request is written in two parts.
    pub partial_writes: u8,
    /// A backend rejects a request without running it.
    pub rejections: u8,
    /// A backend runs a request and sends a malformed answer.
    pub malformed: u8,
    /// A backend sends an interim response or an answer's head, and the answer follows later or never.
    pub interims: u8,
    /// A backend sends more bytes after its answer.
    pub extras: u8,
    /// A backend closes an idle connection.
    pub idle_closes: u8,
    /// A backend sends an answer's head, and the node streams the body.
    pub streams: u8,
    /// Part of a request's body is no longer buffered.
    pub not_replayable: u8,
}

/// The definition of a small world.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name in tokens and reports.
    pub name: &'static str,
    /// The effect of each request. Requests arrive in this order.
    pub requests: Vec<Effect>,
    /// The number of backends, all up at the start.
    pub backends: usize,
    /// The maximum number of attempts for one request.
    pub attempts: u32,
    /// The notices about backend 0, in this order, each at any time.
    pub notices: Vec<Notice>,
    /// The faults that may occur.
    pub faults: Faults,
    /// Each backend has an idle connection at the start.
    pub idle_connections: bool,
    /// When a second copy is sent, if at all, in milliseconds.
    pub second_copy_ms: Option<f64>,
    /// The time-out of an attempt, in milliseconds.
    pub attempt_ms: f64,
    /// How long repeats of a keyed request have no effect, in milliseconds.
    pub key_ttl_ms: f64,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Requests are uploads, which take at most this long, in milliseconds.
    pub upload_ms: Option<f64>,
    /// The route of all requests is held, and each request that proceeds is a trial.
    pub route_held: bool,
    /// Connections wait for a file descriptor.
    pub scarce_descriptors: bool,
    /// The node is told to stop, at any time.
    pub stop: bool,
    /// Timers may be handed in late, not only at the moment when they are due.
    pub late_timers: bool,
    /// The largest step of time, in milliseconds, which lets clients send requests at more moments than
    /// those of timers.
    pub step_ms: Option<f64>,
    /// A factor for all times except the node's own.
    pub time_scale: u32,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            name: "plain",
            requests: vec![Effect::Safe],
            backends: 1,
            attempts: 1,
            notices: Vec::new(),
            faults: Faults::default(),
            idle_connections: false,
            second_copy_ms: None,
            attempt_ms: 40.0,
            key_ttl_ms: KEY_TTL_MS,
            may_cancel: true,
            upload_ms: None,
            route_held: false,
            scarce_descriptors: false,
            stop: false,
            late_timers: false,
            step_ms: None,
            time_scale: 1,
        }
    }
}

impl Scenario {
    /// Scales all times except the node's own, for replays with inexact clocks.
    pub fn with_time_scale(self, time_scale: u32) -> Scenario {
        let factor = f64::from(time_scale) / f64::from(self.time_scale);
        Scenario {
            attempt_ms: self.attempt_ms * factor,
            key_ttl_ms: self.key_ttl_ms * factor,
            second_copy_ms: self.second_copy_ms.map(|ms| ms * factor),
            step_ms: self.step_ms.map(|ms| ms * factor),
            time_scale,
            ..self
        }
    }

    fn scaled(&self, ms: f64) -> f64 {
        ms * f64::from(self.time_scale)
    }

    /// How long clients wait, in milliseconds.
    pub fn patience_ms(&self) -> f64 {
        self.scaled(PATIENCE_MS)
    }

    /// The grace after a notice, in milliseconds: a request first sent to the backend later than this is a
    /// violation.
    pub fn grace_ms(&self) -> f64 {
        self.scaled(GRACE_MS)
    }

    /// The settings of the decisions, with a class for each request. Housekeeping is too rare to occur in a
    /// scenario, and nothing learned from so few requests closes admission.
    pub fn settings(&self) -> Settings {
        let class = |effect: &Effect| Class {
            objective_ms: self.patience_ms(),
            deadline_ms: self.patience_ms(),
            worth: 1.0,
            late_worth: 0.5,
            effect: *effect,
            key_ttl_ms: self.key_ttl_ms,
            objective_stretch: 0.0,
            route: RouteValues {
                attempts: self.attempts,
                attempt_timeout_ms: self.attempt_ms,
                retry_possibly_executed: true,
                second_copy_ms: self.second_copy_ms.unwrap_or(f64::INFINITY),
            },
        };
        Settings {
            classes: self.requests.iter().map(class).collect(),
            tenants: Vec::new(),
            goal: Goal {
                whole_run: 1.0,
                worst_window: 0.0,
                worst_class: 0.0,
                worst_tenant: 0.0,
                nines: 0.0,
                full_at_nines: 4.0,
            },
            prices: Prices::default(),
            instances: 1,
            slot: 0,
            zone: None,
            weights: Weights::None,
            reporting: Reporting::None,
            discovery: Discovery::Pushed,
            max_attempts: self.attempts,
            may_cancel: self.may_cancel,
            second_copies: self.second_copy_ms.is_some(),
            retry_after: true,
            max_retry_after_ms: 1000.0,
            probes: false,
            peer_messages: false,
            open_cap: 100,
            max_streams: 1,
            conn_idle_ms: self.scaled(1000.0),
            connect_timeout_ms: self.scaled(30.0),
            cpu_us_per_s: 0.0,
            marks_retry: false,
            over_share_worth: 0.1,
            worth_by_work: false,
            warm_keys: false,
            cold_ms: 0.0,
            start_capacity: 1.0,
            fall_multiple: 2.0,
            fall_ms: 600_000.0,
            late_shedding: false,
            drain_grace_ms: self.grace_ms(),
            drain_close_ms: None,
            max_poll_gap_ms: 0.0,
            tick_ms: 1.0,
        }
    }
}

const UNSAFE: Effect = Effect::Unsafe;
const SAFE: Effect = Effect::Safe;
const KEYED: Effect = Effect::Keyed(Group::Cell);

/// The scenarios that the tests explore exhaustively.
pub fn all() -> Vec<Scenario> {
    let base = Scenario::default;
    let none = Faults::default;
    vec![
        Scenario {
            name: "unsafe-faults",
            requests: vec![UNSAFE],
            backends: 2,
            attempts: 2,
            faults: Faults {
                leaves: 1,
                connect_failures: 1,
                resets: 1,
                partial_writes: 1,
                rejections: 1,
                malformed: 1,
                interims: 1,
                ..none()
            },
            late_timers: true,
            ..base()
        },
        Scenario {
            name: "keyed-faults",
            requests: vec![KEYED],
            backends: 3,
            attempts: 3,
            faults: Faults { connect_failures: 1, resets: 1, rejections: 1, malformed: 1, ..none() },
            late_timers: true,
            ..base()
        },
        Scenario {
            name: "safe-faults",
            requests: vec![SAFE],
            backends: 3,
            attempts: 4,
            faults: Faults {
                leaves: 1,
                connect_failures: 1,
                resets: 2,
                rejections: 1,
                malformed: 1,
                ..none()
            },
            ..base()
        },
        Scenario {
            name: "drain",
            requests: vec![UNSAFE],
            backends: 2,
            attempts: 2,
            notices: vec![Notice::Drain],
            faults: Faults { leaves: 1, resets: 1, partial_writes: 1, rejections: 1, ..none() },
            late_timers: true,
            ..base()
        },
        Scenario {
            name: "remove-kept",
            requests: vec![SAFE, UNSAFE],
            backends: 2,
            attempts: 1,
            notices: vec![Notice::Remove],
            faults: Faults { idle_closes: 1, ..none() },
            idle_connections: true,
            ..base()
        },
        Scenario {
            name: "move",
            requests: vec![UNSAFE, SAFE],
            backends: 1,
            attempts: 2,
            notices: vec![Notice::Move],
            faults: Faults { partial_writes: 1, ..none() },
            idle_connections: true,
            step_ms: Some(25.0),
            ..base()
        },
        Scenario {
            name: "restart",
            requests: vec![UNSAFE],
            backends: 2,
            attempts: 2,
            notices: vec![Notice::Restart, Notice::Drain],
            faults: Faults { partial_writes: 1, resets: 1, rejections: 1, ..none() },
            idle_connections: true,
            late_timers: true,
            ..base()
        },
        Scenario {
            name: "reuse",
            requests: vec![UNSAFE, UNSAFE],
            backends: 1,
            attempts: 1,
            faults: Faults { extras: 1, idle_closes: 1, leaves: 1, ..none() },
            idle_connections: true,
            step_ms: Some(6.0),
            ..base()
        },
        Scenario {
            name: "second-copy",
            requests: vec![SAFE],
            backends: 2,
            attempts: 2,
            faults: Faults { leaves: 1, resets: 1, rejections: 1, interims: 1, ..none() },
            second_copy_ms: Some(20.0),
            late_timers: true,
            ..base()
        },
        Scenario {
            name: "second-copy-keyed",
            requests: vec![KEYED],
            backends: 2,
            attempts: 3,
            faults: Faults { resets: 1, malformed: 1, partial_writes: 1, ..none() },
            second_copy_ms: Some(20.0),
            ..base()
        },
        Scenario {
            name: "stop",
            requests: vec![UNSAFE, SAFE],
            backends: 2,
            attempts: 2,
            stop: true,
            ..base()
        },
        Scenario {
            name: "scarce",
            requests: vec![UNSAFE, KEYED],
            backends: 2,
            attempts: 2,
            faults: Faults { leaves: 1, ..none() },
            scarce_descriptors: true,
            ..base()
        },
        Scenario { name: "three", requests: vec![UNSAFE, KEYED, SAFE], backends: 1, attempts: 1, ..base() },
    ]
}

/// Scenarios with streamed answers, uploads and trials, and some in which attempts may not be cancelled.
/// None of them is replayed against the real binary: there, paces and buffers decide when bytes are
/// written.
pub fn streams() -> Vec<Scenario> {
    let base = Scenario::default;
    let none = Faults::default;
    vec![
        Scenario {
            name: "stream",
            requests: vec![SAFE],
            backends: 2,
            attempts: 2,
            notices: vec![Notice::Drain],
            faults: Faults { streams: 1, leaves: 1, resets: 2, rejections: 1, ..none() },
            late_timers: true,
            ..base()
        },
        Scenario {
            name: "stream-reuse",
            requests: vec![SAFE, UNSAFE],
            backends: 1,
            attempts: 1,
            faults: Faults { streams: 2, leaves: 1, resets: 1, ..none() },
            idle_connections: true,
            step_ms: Some(25.0),
            ..base()
        },
        Scenario {
            name: "stream-stop",
            requests: vec![SAFE, UNSAFE],
            backends: 1,
            attempts: 1,
            faults: Faults { streams: 1, ..none() },
            idle_connections: true,
            stop: true,
            ..base()
        },
        Scenario {
            name: "stream-copy",
            requests: vec![SAFE],
            backends: 2,
            attempts: 2,
            faults: Faults { streams: 2, resets: 1, ..none() },
            second_copy_ms: Some(20.0),
            ..base()
        },
        Scenario {
            name: "upload",
            requests: vec![UNSAFE],
            backends: 2,
            attempts: 2,
            notices: vec![Notice::Drain],
            faults: Faults {
                partial_writes: 1,
                not_replayable: 1,
                resets: 1,
                rejections: 1,
                leaves: 1,
                streams: 1,
                ..none()
            },
            upload_ms: Some(300.0),
            ..base()
        },
        Scenario {
            name: "upload-again",
            requests: vec![SAFE],
            backends: 3,
            attempts: 3,
            faults: Faults {
                partial_writes: 2,
                not_replayable: 1,
                resets: 2,
                connect_failures: 1,
                ..none()
            },
            upload_ms: Some(300.0),
            ..base()
        },
        Scenario {
            name: "trial",
            requests: vec![SAFE],
            backends: 2,
            attempts: 2,
            notices: vec![Notice::Drain],
            faults: Faults {
                streams: 1,
                leaves: 1,
                connect_failures: 1,
                resets: 1,
                rejections: 1,
                malformed: 1,
                ..none()
            },
            route_held: true,
            late_timers: true,
            ..base()
        },
        Scenario {
            name: "trials",
            requests: vec![SAFE, UNSAFE],
            backends: 1,
            attempts: 1,
            faults: Faults { streams: 1, leaves: 1, resets: 1, ..none() },
            route_held: true,
            step_ms: Some(25.0),
            ..base()
        },
        Scenario {
            name: "uncancelled",
            requests: vec![SAFE],
            backends: 2,
            attempts: 2,
            notices: vec![Notice::Move],
            faults: Faults { leaves: 1, resets: 1, rejections: 1, ..none() },
            second_copy_ms: Some(20.0),
            may_cancel: false,
            ..base()
        },
        Scenario {
            name: "uncancelled-kept",
            requests: vec![SAFE, UNSAFE],
            backends: 2,
            attempts: 2,
            notices: vec![Notice::Move],
            idle_connections: true,
            may_cancel: false,
            ..base()
        },
    ]
}

/// Larger variants of some of the tests' scenarios, which take too long for tests.
pub fn larger() -> Vec<Scenario> {
    let more = |scenario: Scenario| match scenario.name {
        "remove-kept" => Some(Scenario { name: "larger-remove-kept", attempts: 2, ..scenario }),
        "keyed-faults" => {
            let faults = Faults { leaves: 1, partial_writes: 1, ..scenario.faults };
            Some(Scenario { name: "larger-keyed-faults", faults, ..scenario })
        }
        "three" => {
            let faults = Faults { resets: 1, ..scenario.faults };
            Some(Scenario { name: "larger-three", backends: 2, faults, ..scenario })
        }
        _ => None,
    };
    all().into_iter().filter_map(more).collect()
}
