//! Inheritance: the values of a route, and where each was written.
//!
//! A value is looked up in the route, then in its group, its class and the defaults; otherwise the built-in
//! default applies.

use crate::model::{At, Class, File, Group, Mode, Retry, Route, Source, Values};
use crate::report::SourceLocation;

/// The level of the file at which a value was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Nowhere; the built-in default applies.
    BuiltIn,
    /// In `[defaults]`.
    Defaults,
    /// In the class of this name.
    Class(String),
    /// In the group of this name.
    Group(String),
    /// In the route of this name.
    Route(String),
}

impl std::fmt::Display for Origin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Origin::BuiltIn => write!(f, "built in"),
            Origin::Defaults => write!(f, "[defaults]"),
            Origin::Class(name) => write!(f, "class {name:?}"),
            Origin::Group(name) => write!(f, "group {name:?}"),
            Origin::Route(name) => write!(f, "route {name:?}"),
        }
    }
}

/// A value after inheritance, and its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedValue<T> {
    /// The value.
    pub value: T,
    /// The level at which it was written.
    pub from: Origin,
    /// Where it is written; the location of the route for built-in values.
    pub at: SourceLocation,
}

impl<T> ResolvedValue<T> {
    /// Describes where it was written, for reports.
    pub fn origin(&self) -> String {
        match self.from {
            Origin::BuiltIn => self.from.to_string(),
            _ => format!("{}, line {}", self.from, self.at.line),
        }
    }
}

/// All values of a route after inheritance. Times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Effective {
    /// Index of its class in the file.
    pub class: Option<ResolvedValue<usize>>,
    /// Where a request names its class.
    pub class_from: Option<ResolvedValue<Source>>,
    /// The pool, by name.
    pub pool: Option<ResolvedValue<String>>,
    /// Where a request names its tenant.
    pub tenant: Option<ResolvedValue<Source>>,
    /// Where a request carries its key.
    pub key: Option<ResolvedValue<Source>>,
    /// Where a request says how long its client waits.
    pub patience_from: Option<ResolvedValue<Source>>,
    /// Maximum number of attempts, including second copies.
    pub attempts: ResolvedValue<u32>,
    /// Time limit of one attempt.
    pub attempt_timeout_ms: ResolvedValue<Option<f64>>,
    /// Time from the request's head to its answer; the patience of the class by default.
    pub deadline_ms: ResolvedValue<f64>,
    /// After which failed attempts another is allowed.
    pub retry: ResolvedValue<Retry>,
    /// Delay after which a second copy is sent.
    pub second_copy_ms: ResolvedValue<Option<f64>>,
    /// Maximum size of a request's body in bytes.
    pub body_limit: ResolvedValue<u64>,
    /// How bodies are forwarded.
    pub streams: Streams,
}

/// How bodies are forwarded. Sizes in bytes, times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Streams {
    /// How bodies of requests are forwarded.
    pub body: ResolvedValue<Mode>,
    /// How bodies of answers are forwarded.
    pub answer: ResolvedValue<Mode>,
    /// Maximum size of a streamed answer.
    pub answer_limit: ResolvedValue<u64>,
    /// Buffer size of a stream in one direction.
    pub hold: ResolvedValue<u64>,
    /// A streamed request may be sent again while at most this many bytes have been sent.
    pub replay: ResolvedValue<u64>,
    /// Minimum number of bytes that each side must move within `pace_window_ms`.
    pub pace: ResolvedValue<u64>,
    /// The window of `pace`.
    pub pace_window_ms: ResolvedValue<f64>,
    /// Maximum duration of a stream in one direction.
    pub time_ms: ResolvedValue<f64>,
}

impl Streams {
    /// Number of directions that are streamed.
    pub fn directions(&self) -> usize {
        [&self.body, &self.answer].into_iter().filter(|m| m.value == Mode::Stream).count()
    }

    /// Time that a body of this size takes at the minimum rate, in milliseconds.
    pub fn time_at_min_rate_ms(&self, bytes: u64) -> f64 {
        bytes as f64 / self.pace.value as f64 * self.pace_window_ms.value
    }
}

/// Maximum size of a body that is buffered completely.
pub const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1024;
const DEFAULT_ATTEMPTS: u32 = 3;
/// Buffer size that every stream has in each direction, regardless of other streams.
pub const MIN_STREAM_BUFFER_BYTES: u64 = 4 * 1024;
/// Maximum buffer size of a stream in each direction.
pub const MAX_STREAM_BUFFER_BYTES: u64 = 64 * 1024;
/// Together with the minimum rate and duration below: the largest stream at the minimum rate takes 512 s,
/// which is within the maximum duration.
const DEFAULT_ANSWER_LIMIT_BYTES: u64 = 16 << 20;
const DEFAULT_HOLD_BYTES: u64 = 32 * 1024;
const DEFAULT_REPLAY_BYTES: u64 = 16 * 1024;
const DEFAULT_PACE_BYTES: u64 = 128 * 1024;
const DEFAULT_PACE_WINDOW_MS: f64 = 4_000.0;
const DEFAULT_STREAM_TIME_MS: f64 = 600_000.0;

/// A route and the levels that it inherits from.
struct Levels<'f> {
    file: &'f File,
    route: &'f Route,
    group: Option<&'f Group>,
    class: Option<&'f Class>,
}

impl Levels<'_> {
    fn value<T: Clone>(&self, select: impl Fn(&Values) -> Option<&At<T>>, built_in: T) -> ResolvedValue<T> {
        let resolved = |found: Option<&At<T>>, from: Origin| {
            found.map(|v| ResolvedValue { value: v.value.clone(), from, at: v.at })
        };
        let (route, file) = (self.route, self.file);
        resolved(select(&route.values), Origin::Route(route.name.value.clone()))
            .or_else(|| {
                self.group.and_then(|g| resolved(select(&g.values), Origin::Group(g.name.value.clone())))
            })
            .or_else(|| {
                self.class.and_then(|c| resolved(select(&c.values), Origin::Class(c.name.value.clone())))
            })
            .or_else(|| resolved(select(&file.defaults), Origin::Defaults))
            .unwrap_or(ResolvedValue { value: built_in, from: Origin::BuiltIn, at: route.name.at })
    }

    fn name<T: Clone>(
        &self,
        select: impl Fn(&crate::model::Names) -> Option<&At<T>>,
    ) -> Option<ResolvedValue<T>> {
        let resolved = |v: &At<T>, from| ResolvedValue { value: v.value.clone(), from, at: v.at };
        let in_route =
            select(&self.route.names).map(|v| resolved(v, Origin::Route(self.route.name.value.clone())));
        in_route.or_else(|| {
            let group = self.group?;
            select(&group.names).map(|v| resolved(v, Origin::Group(group.name.value.clone())))
        })
    }
}

/// The values of a route: for its fixed class first, then, where requests name their class, for each class of
/// the file.
pub(crate) fn resolve_all(file: &File, route: &Route) -> Vec<Effective> {
    let fixed = resolve(file, route, None);
    let mut all = Vec::new();
    if let Some(from) = fixed.class_from.clone() {
        let named = |value| ResolvedValue { value, from: from.from.clone(), at: from.at };
        all.extend((0..file.classes.len()).map(|class| resolve(file, route, Some(named(class)))));
    }
    all.insert(0, fixed);
    all
}

fn resolve(file: &File, route: &Route, named_class: Option<ResolvedValue<usize>>) -> Effective {
    let group = route.group.as_ref().and_then(|g| file.groups.iter().find(|h| h.name.value == g.value));
    let mut levels = Levels { file, route, group, class: None };
    let fixed_class = || {
        let name = levels.name(|n| n.class.as_ref())?;
        let index = file.classes.iter().position(|c| c.name.value == name.value)?;
        Some(ResolvedValue { value: index, from: name.from, at: name.at })
    };
    let class = named_class.or_else(fixed_class);
    levels.class = class.as_ref().and_then(|c| file.classes.get(c.value));
    let patience = levels.class.and_then(|c| c.patience_ms.as_ref());
    let mut deadline = levels.value(|v| v.deadline_ms.as_ref(), 0.0);
    if deadline.from == Origin::BuiltIn
        && let (Some(patience), Some(class)) = (patience, levels.class)
    {
        deadline = ResolvedValue {
            value: patience.value,
            from: Origin::Class(class.name.value.clone()),
            at: patience.at,
        };
    }
    let hold = levels.value(|v| v.streams.hold.as_ref(), DEFAULT_HOLD_BYTES);
    Effective {
        class_from: levels.name(|n| n.class_from.as_ref()),
        pool: levels.name(|n| n.pool.as_ref()),
        tenant: levels.name(|n| n.tenant.as_ref()),
        key: levels.name(|n| n.key.as_ref()),
        patience_from: levels.name(|n| n.patience_from.as_ref()),
        attempts: levels.value(|v| v.attempts.as_ref(), DEFAULT_ATTEMPTS),
        attempt_timeout_ms: levels.value(|v| v.attempt_timeout_ms.as_ref(), None),
        deadline_ms: deadline,
        retry: levels.value(|v| v.retry.as_ref(), Retry::NeverRan),
        second_copy_ms: levels.value(|v| v.second_copy_ms.as_ref(), None),
        body_limit: levels.value(|v| v.body_limit.as_ref(), MAX_BUFFERED_BODY_BYTES),
        streams: Streams {
            body: levels.value(|v| v.streams.body.as_ref(), Mode::Whole),
            answer: levels.value(|v| v.streams.answer.as_ref(), Mode::Whole),
            answer_limit: levels.value(|v| v.streams.answer_limit.as_ref(), DEFAULT_ANSWER_LIMIT_BYTES),
            replay: levels.value(|v| v.streams.replay.as_ref(), DEFAULT_REPLAY_BYTES.min(hold.value)),
            hold,
            pace: levels.value(|v| v.streams.pace.as_ref(), DEFAULT_PACE_BYTES),
            pace_window_ms: levels.value(|v| v.streams.pace_window_ms.as_ref(), DEFAULT_PACE_WINDOW_MS),
            time_ms: levels.value(|v| v.streams.time_ms.as_ref(), DEFAULT_STREAM_TIME_MS),
        },
        class,
    }
}

/// Part of the client's time that is reserved for the network and the node's event loop, in milliseconds.
pub const MARGIN_MS: f64 = 4.0;

/// A step of the longest possible course of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct CourseStep {
    /// What takes the time.
    pub description: String,
    /// Maximum duration in milliseconds.
    pub max_ms: f64,
}

impl Effective {
    /// Maximum number of attempts; 1 without retries.
    pub fn max_attempts(&self) -> u32 {
        if self.retry.value == Retry::None { 1 } else { self.attempts.value }
    }

    /// The longest possible course of a request, step by step; without a limit for attempts a single step
    /// takes all of the remaining time. A second copy is left out: it runs in parallel with the first
    /// attempt, and the course is longest if each attempt waits for the previous one.
    pub fn longest_course(&self, connect_timeout_ms: f64) -> Vec<CourseStep> {
        let mut steps = Vec::new();
        match self.attempt_timeout_ms.value {
            Some(limit) => {
                let connect = connect_timeout_ms.min(limit);
                for n in 1..=self.max_attempts() {
                    let description = format!(
                        "attempt {n}: connect {} and answer {}",
                        format_ms(connect),
                        format_ms(limit - connect)
                    );
                    steps.push(CourseStep { description, max_ms: limit });
                }
            }
            None => {
                let description = format!("up to {} attempts, by the deadline", self.max_attempts());
                steps.push(CourseStep {
                    description,
                    max_ms: (self.deadline_ms.value - MARGIN_MS).max(0.0),
                });
            }
        }
        steps.push(CourseStep { description: "margin for the way and the node".into(), max_ms: MARGIN_MS });
        steps
    }

    /// Latest time at which the last attempt may be sent, in milliseconds after the first one.
    pub fn latest_send_ms(&self) -> f64 {
        let available_ms = (self.deadline_ms.value - MARGIN_MS).max(0.0);
        let earlier_attempts = f64::from(self.max_attempts().saturating_sub(1));
        self.attempt_timeout_ms
            .value
            .map_or(available_ms, |limit| (limit * earlier_attempts).min(available_ms))
    }
}

/// Formats a time for reports.
pub(crate) fn format_ms(ms: f64) -> String {
    if ms >= 1000.0 && ms % 100.0 == 0.0 { format!("{}s", ms / 1000.0) } else { format!("{ms}ms") }
}
