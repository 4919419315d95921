//! The check against a player that knows nothing of it: it works out what holds for a route by itself, walks every
//! sequence of outcomes, and adds up times. Their verdicts are the same on every generated file, and each rule that
//! is taken out of the check leaves a gap that the player finds.

use applemill_routes::{Severity, load};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::fmt::Write;

const CASES: usize = 6000;
const MARGIN: u32 = 4;

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

/// One level's own values; the outer option is whether it is written, the inner one whether it is `off`.
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
    /// Defaults, class, group, route.
    levels: [Level; 4],
    grouped: bool,
    effect: Effect,
    patience: u32,
    dropped_for: u32,
    dropped_by: &'static str,
    /// By server, whether it has a zone and a cell.
    places: Vec<bool>,
    method: Option<&'static str>,
}

fn level() -> impl Strategy<Value = Level> {
    let retry = prop_oneof![Just(Retry::None), Just(Retry::NeverRan), Just(Retry::MayHaveRun)];
    // Figures whose multiples meet the patience, or just not.
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

/// The file that says so.
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
            let word = match r {
                Retry::None => "none",
                Retry::NeverRan => "never-ran",
                Retry::MayHaveRun => "may-have-run",
            };
            let _ = writeln!(out, "retry = \"{word}\"");
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

/// How the walk's attempts can end.
#[derive(Clone, Copy, PartialEq)]
enum End {
    NeverRan,
    MayHaveRun,
}

struct Player<'c> {
    case: &'c Case,
    attempts: u32,
    timeout: Option<u32>,
    /// What an attempt without a limit of its own may take.
    left: u32,
    retry: Retry,
    copy: Option<u32>,
}

impl Player<'_> {
    /// Walks on from the end of an attempt at `now`. `ran` is when the first one that may have run was sent. True where
    /// some sequence breaks a rule.
    fn walk(&self, made: u32, now: u32, ran: Option<u32>) -> bool {
        if self.timeout.is_some() && now > self.left {
            return true;
        }
        if made >= self.attempts || self.retry == Retry::None || now > self.left {
            return false;
        }
        if ran.is_some() && self.retry == Retry::NeverRan {
            return false;
        }
        self.send(made, now, ran)
    }

    /// One more attempt at `now`, with every end at every extreme of its time.
    fn send(&self, made: u32, now: u32, ran: Option<u32>) -> bool {
        if ran.is_some_and(|first| self.breaks(now - first)) {
            return true;
        }
        let most = self.timeout.unwrap_or(self.left.saturating_sub(now));
        [0, most].into_iter().any(|lasted| {
            [End::NeverRan, End::MayHaveRun].into_iter().any(|end| {
                let ran = ran.or((end == End::MayHaveRun).then_some(now));
                self.walk(made + 1, now + lasted, ran)
            })
        })
    }

    /// A repeat so long after a send that may have run does harm.
    fn breaks(&self, later: u32) -> bool {
        match self.case.effect {
            Effect::Safe => false,
            Effect::Unsafe => true,
            Effect::Keyed => later >= self.case.dropped_for || self.leaves(),
        }
    }

    /// The repeat may go to a server that drops no repeats of the first one: both are nowhere in particular, which the
    /// decisions take for the same place.
    fn leaves(&self) -> bool {
        let nowhere = self.case.places.iter().filter(|placed| !**placed).count();
        self.case.dropped_by != "pool" && nowhere >= 2
    }
}

/// Whether some sequence of outcomes breaks a rule.
fn player_refuses(case: &Case) -> bool {
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
    // Clients, caches and browsers send such a request again by themselves.
    if case.effect != Effect::Safe && matches!(case.method, Some("GET" | "HEAD")) {
        return true;
    }
    let left = deadline.min(case.patience) - MARGIN;
    let player = Player { case, attempts, timeout, left, retry, copy };
    // What only a number holds back, such as one attempt or a copy later than any answer, is a file's permission all the
    // same: one careless edit from harm.
    let allowed = Player { attempts: attempts.max(2), timeout: None, ..player };
    let resent = case.effect == Effect::Unsafe && allowed.retry == Retry::MayHaveRun;
    let copied =
        allowed.copy.is_some() && (case.effect == Effect::Unsafe || allowed.retry != Retry::MayHaveRun);
    resent || copied || player.send(0, 0, None)
}

/// The rules by which the check refused a file.
fn check_refuses(text: &str) -> Vec<&'static str> {
    let (report, rules) = load(text, None);
    assert_eq!(rules.is_none(), report.refused());
    report.findings.iter().filter(|f| f.severity == Severity::Error).map(|f| f.rule).collect()
}

#[test]
fn check_and_player_agree_and_no_rule_can_be_left_out() {
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
        let case = case().new_tree(&mut runner).expect("a case").current();
        let text = text(&case);
        let (check, player) = (check_refuses(&text), player_refuses(&case));
        assert_eq!(!check.is_empty(), player, "the check says {check:?}, the player {player}, of\n{text}");
        *(if player { &mut refused } else { &mut accepted }) += 1;
        for (rule, gaps) in &mut rules {
            // The check without this rule accepts what the player refuses.
            *gaps += u32::from(player && check.iter().all(|r| r == rule));
        }
    }
    assert!(accepted > CASES / 20 && refused > CASES / 20, "{accepted} accepted, {refused} refused");
    for (rule, gaps) in rules {
        assert!(gaps > 0, "the player finds no gap where the check lacks {rule}");
    }
}
