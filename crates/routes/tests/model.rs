//! Compares the check with an independent model. The model resolves inheritance itself, walks through all
//! sequences of outcomes and adds up times. Both must agree on every generated file, and for each rule there
//! must be files that would be accepted wrongly without it.

use applemill_routes::{Severity, load};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::fmt::Write;

const CASES: usize = 6000;
const MARGIN_MS: u32 = 4;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Retry {
    None,
    NeverRan,
    MayHaveRun,
}

/// The values of one level; the outer option says whether a value is written, the inner one is `None` for
/// `off`.
#[derive(Clone, Debug, Default)]
struct Level {
    attempts: Option<u32>,
    timeout: Option<Option<u32>>,
    deadline: Option<u32>,
    retry: Option<Retry>,
    copy: Option<Option<u32>>,
}

#[derive(Clone, Debug)]
struct Case {
    /// The levels: defaults, class, group, route.
    levels: [Level; 4],
    grouped: bool,
    effect: Effect,
    patience: u32,
    dropped_for: u32,
    dropped_by: &'static str,
    /// Whether each server has a zone and a cell.
    places: Vec<bool>,
    method: Option<&'static str>,
}

fn level() -> impl Strategy<Value = Level> {
    let retry = prop_oneof![Just(Retry::None), Just(Retry::NeverRan), Just(Retry::MayHaveRun)];
    // Values whose multiples reach the patience exactly or just miss it.
    let timeout =
        prop_oneof![Just(24), Just(25), Just(32), Just(33), Just(48), Just(49), Just(96), Just(97)];
    let copy = prop_oneof![Just(5_u32), Just(20), Just(60)];
    (
        proptest::option::weighted(0.25, 1_u32..5),
        proptest::option::weighted(0.3, proptest::option::weighted(0.8, timeout)),
        proptest::option::weighted(
            0.15,
            prop_oneof![Just(50_u32), Just(99), Just(100), Just(101), Just(196)],
        ),
        proptest::option::weighted(0.3, retry),
        proptest::option::weighted(0.12, proptest::option::weighted(0.7, copy)),
    )
        .prop_map(|(attempts, timeout, deadline, retry, copy)| Level {
            attempts,
            timeout,
            deadline,
            retry,
            copy,
        })
}

fn case() -> impl Strategy<Value = Case> {
    let effect = prop_oneof![Just(Effect::Safe), Just(Effect::Keyed), Just(Effect::Unsafe)];
    let patience = prop_oneof![Just(100_u32), Just(101), Just(200)];
    let method = prop_oneof![4 => Just(None), 3 => Just(Some("PUT")), 1 => Just(Some("GET")), 1 => Just(Some("HEAD"))];
    let dropped_for = prop_oneof![Just(24_u32), Just(48), Just(49), Just(96), Just(97), Just(1000)];
    (
        [level(), level(), level(), level()],
        any::<bool>(),
        effect,
        patience,
        dropped_for,
        prop_oneof![Just("pool"), Just("zone"), Just("cell")],
        proptest::collection::vec(any::<bool>(), 1..4),
        method,
    )
        .prop_map(|(levels, grouped, effect, patience, dropped_for, dropped_by, places, method)| {
            Case { levels, grouped, effect, patience, dropped_for, dropped_by, places, method }
        })
}

/// The operator's file for a case.
fn text(case: &Case) -> String {
    let level = |l: &Level| {
        let mut out = String::new();
        if let Some(n) = l.attempts {
            let _ = writeln!(out, "attempts = {n}");
        }
        let limit = |ms: Option<u32>| ms.map_or("off".to_owned(), |ms| format!("{ms}ms"));
        if let Some(t) = l.timeout {
            let _ = writeln!(out, "attempt_timeout = \"{}\"", limit(t));
        }
        if let Some(d) = l.deadline {
            let _ = writeln!(out, "deadline = \"{d}ms\"");
        }
        if let Some(r) = l.retry {
            let keyword = match r {
                Retry::None => "none",
                Retry::NeverRan => "never-ran",
                Retry::MayHaveRun => "may-have-run",
            };
            let _ = writeln!(out, "retry = \"{keyword}\"");
        }
        if let Some(c) = l.copy {
            let _ = writeln!(out, "second_copy_after = \"{}\"", limit(c));
        }
        out
    };
    let [defaults, class, group, route] = case.levels.each_ref().map(level);
    let servers: Vec<String> = (case.places.iter().enumerate())
        .map(|(n, placed)| {
            let place = if *placed { format!(", zone = \"z{n}\", cell = {n}") } else { String::new() };
            format!("{{ address = \"127.0.0.1:{}\"{place} }}", 9000 + n)
        })
        .collect();
    let (effect, keyed) = match case.effect {
        Effect::Safe => ("safe", String::new()),
        Effect::Unsafe => ("unsafe", String::new()),
        Effect::Keyed => {
            let (by, ms) = (case.dropped_by, case.dropped_for);
            ("keyed", format!("repeats_dropped_by = \"{by}\"\nrepeats_dropped_for = \"{ms}ms\"\n"))
        }
    };
    let group_line = if case.grouped { "group = \"g\"\n" } else { "" };
    let method = case.method.map_or(String::new(), |m| format!("method = \"{m}\"\n"));
    format!(
        "[[listener]]\naddress = \"127.0.0.1:8080\"\n[pool.p]\nservers = [{}]\n[defaults]\n{defaults}\
         [class.c]\neffect = \"{effect}\"\npatience = \"{}ms\"\n{keyed}{class}[group.g]\n{group}\
         [[route]]\nname = \"r\"\npath = \"/r\"\nclass = \"c\"\npool = \"p\"\n{group_line}{method}{route}",
        servers.join(", "),
        case.patience
    )
}

/// How an attempt of the model can fail.
#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    NeverRan,
    MayHaveRun,
}

struct Model<'c> {
    case: &'c Case,
    attempts: u32,
    timeout: Option<u32>,
    /// Time limit for an attempt without a limit of its own.
    available: u32,
    retry: Retry,
    copy: Option<u32>,
}

impl Model<'_> {
    /// Continues after an attempt that ended at `now`. `first_run` is when the first attempt that may have
    /// been executed was sent. Returns whether some sequence breaks a rule.
    fn continue_after(&self, made: u32, now: u32, first_run: Option<u32>) -> bool {
        if self.timeout.is_some() && now > self.available {
            return true;
        }
        if made >= self.attempts || self.retry == Retry::None || now > self.available {
            return false;
        }
        if first_run.is_some() && self.retry == Retry::NeverRan {
            return false;
        }
        self.send(made, now, first_run)
    }

    /// Sends another attempt at `now`, with each outcome at the minimum and maximum of its duration.
    fn send(&self, made: u32, now: u32, first_run: Option<u32>) -> bool {
        if first_run.is_some_and(|first| self.does_harm(now - first)) {
            return true;
        }
        let max_duration = self.timeout.unwrap_or(self.available.saturating_sub(now));
        [0, max_duration].into_iter().any(|duration| {
            [Outcome::NeverRan, Outcome::MayHaveRun].into_iter().any(|outcome| {
                let first_run = first_run.or((outcome == Outcome::MayHaveRun).then_some(now));
                self.continue_after(made + 1, now + duration, first_run)
            })
        })
    }

    /// Whether a repeat that is sent `delay` after a possibly executed attempt does harm.
    fn does_harm(&self, delay: u32) -> bool {
        match self.case.effect {
            Effect::Safe => false,
            Effect::Unsafe => true,
            Effect::Keyed => delay >= self.case.dropped_for || self.may_reach_another_group(),
        }
    }

    /// Whether the repeat may go to a server that does not drop repeats of the first one: two servers without
    /// a zone or cell, of which nobody knows whether they share one.
    fn may_reach_another_group(&self) -> bool {
        let without_place = self.case.places.iter().filter(|placed| !**placed).count();
        self.case.dropped_by != "pool" && without_place >= 2
    }
}

/// Whether some sequence of outcomes breaks a rule.
fn model_refuses(case: &Case) -> bool {
    let [defaults, class, group, route] = &case.levels;
    let none = Level::default();
    let order = [route, if case.grouped { group } else { &none }, class, defaults];
    let attempts = order.iter().find_map(|l| l.attempts).unwrap_or(3);
    let timeout = order.iter().find_map(|l| l.timeout).flatten();
    let deadline = order.iter().find_map(|l| l.deadline).unwrap_or(case.patience);
    let retry = order.iter().find_map(|l| l.retry).unwrap_or(Retry::NeverRan);
    let copy = order.iter().find_map(|l| l.copy).flatten();
    if deadline > case.patience {
        return true;
    }
    // Clients, caches and browsers send such a request again on their own.
    if case.effect != Effect::Safe && matches!(case.method, Some("GET" | "HEAD")) {
        return true;
    }
    let available = deadline.min(case.patience) - MARGIN_MS;
    let model = Model { case, attempts, timeout, available, retry, copy };
    // A file also counts as permitting what only a number prevents, such as a single attempt or a second copy
    // later than any answer, because a careless change of that number would do harm.
    let permissive = Model { attempts: attempts.max(2), timeout: None, ..model };
    let retries_unsafe = case.effect == Effect::Unsafe && permissive.retry == Retry::MayHaveRun;
    let copies_unsafely = permissive.copy.is_some()
        && (case.effect == Effect::Unsafe || permissive.retry != Retry::MayHaveRun);
    retries_unsafe || copies_unsafely || model.send(0, 0, None)
}

/// The rules for which the check refuses a file.
fn check_refuses(text: &str) -> Vec<&'static str> {
    let (report, rules) = load(text, None);
    assert_eq!(rules.is_none(), report.refused());
    report.findings.iter().filter(|f| f.severity == Severity::Error).map(|f| f.rule).collect()
}

#[test]
fn check_and_model_agree_and_every_rule_is_necessary() {
    let config = Config { failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]));
    let mut rules: Vec<(&str, u32)> = [
        "resend-unsafe",
        "copy-unsafe",
        "copy-retry",
        "keyed-memory",
        "keyed-group",
        "too-long",
        "deadline-patience",
        "method-effect",
    ]
    .map(|rule| (rule, 0))
    .into();
    let (mut accepted, mut refused) = (0, 0);
    for _ in 0..CASES {
        let case = case().new_tree(&mut runner).expect("a generated case").current();
        let text = text(&case);
        let (check, refused_by_model) = (check_refuses(&text), model_refuses(&case));
        assert_eq!(
            !check.is_empty(),
            refused_by_model,
            "the check refuses for {check:?}, the model says {refused_by_model}, for\n{text}"
        );
        *(if refused_by_model { &mut refused } else { &mut accepted }) += 1;
        for (rule, missed) in &mut rules {
            // Without this rule the check would accept a file that the model refuses.
            *missed += u32::from(refused_by_model && check.iter().all(|r| r == rule));
        }
    }
    assert!(accepted > CASES / 20 && refused > CASES / 20, "{accepted} accepted, {refused} refused");
    for (rule, missed) in rules {
        assert!(missed > 0, "no generated file depends on {rule}");
    }
}
