//! Scores how likely a suspect is at fault: the evidence that it fails at a rate of its own rather than at
//! the rate of all other attempts.

use crate::counts::{Count, Counts};
use crate::suspect::{Suspect, SuspectKind, Suspects};

/// Minimum tries without the suspect: with nothing to compare with, no suspect can be distinguished.
const MIN_OTHER_TRIES: f64 = 8.0;
/// Incidents that a verdict needs, since a server that dies once makes many requests fail. A key needs two
/// fewer, because its requests are rare.
const MIN_INCIDENTS: u32 = 5;
/// A culprit's odds of failure are at least this multiple of the odds of all other attempts.
const MIN_ODDS_RATIO: f64 = 3.0;
/// Margin by which a suspect's score must exceed the server's (natural logarithm of the odds).
const SERVER_MARGIN: f64 = 3.0;
/// A suspect that fails less often than this is not blamed.
const MIN_FAILURE_RATE: f64 = 0.2;
/// Overloaded servers also cause error answers and time-outs: a suspect with mostly such failures must fail
/// at least at the first rate, and everything else at most at the second.
const SOFT_MIN_FAILURE_RATE: f64 = 0.8;
const SOFT_MAX_OTHER_RATE: f64 = 0.1;

/// A server is plainly broken with at least these tries, this failure rate, and a score above this.
const BROKEN_MIN_TRIES: f64 = 10.0;
const BROKEN_MIN_RATE: f64 = 0.9;
const BROKEN_MIN_SCORE: f64 = 15.0;

/// The figures behind a verdict: decayed counts of tries and failures at the time of the verdict.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Tries of the suspect.
    pub tries: f64,
    /// Its failures.
    pub failures: f64,
    /// Tries of everything else.
    pub rest_tries: f64,
    /// Failures of everything else.
    pub rest_failures: f64,
}

impl Evidence {
    /// Fraction of the suspect's tries that failed.
    pub fn rate(&self) -> f64 {
        if self.tries > 0.0 { (self.failures / self.tries).min(1.0) } else { 0.0 }
    }
}

/// Logarithm of the likelihood ratio of two hypotheses: the suspect fails at its own rate, or at the rate of
/// the rest. Zero if it fails no more often than the rest.
pub(crate) fn log_likelihood_ratio(tries: f64, failures: f64, rest: f64) -> f64 {
    let rate = (failures / tries).clamp(0.0, 1.0);
    if tries <= 0.0 || rate <= rest {
        return 0.0;
    }
    let term = |n: f64, own: f64, other: f64| if n > 0.0 { n * (own / other).ln() } else { 0.0 };
    term(failures, rate, rest) + term(tries - failures, 1.0 - rate, 1.0 - rest)
}

/// The score that a verdict requires. It grows with the number of failures, because each is another chance of
/// a false positive.
fn required_score(kind: SuspectKind, failures: f64) -> f64 {
    let base = match kind {
        SuspectKind::Server => 0.0,
        SuspectKind::Route | SuspectKind::Class => 7.0,
        SuspectKind::Cell => 8.0,
        SuspectKind::Tenant => 8.0,
        SuspectKind::Key => 9.0,
    };
    base + failures.max(1.0).ln()
}

struct ScoredSuspect {
    suspect: Suspect,
    score: f64,
    count: Count,
    /// Failure rate of the attempts it was compared with.
    rest_rate: f64,
}

fn score_suspect(counts: &Counts, suspect: Suspect) -> Option<ScoredSuspect> {
    let count = counts.get(suspect)?;
    let all = if suspect.kind == SuspectKind::Server { counts.total() } else { counts.without_broken() };
    let (rest_tries, rest_failures) = (all.tries - count.tries, (all.failures - count.failures).max(0.0));
    if rest_tries < MIN_OTHER_TRIES {
        return None;
    }
    let rest_rate = (rest_failures + 0.5) / (rest_tries + 1.0);
    let score = match suspect.kind {
        // All requests that fail when a server dies count as one failure of the server: counted singly, they
        // would hide the request that killed it. That does not apply to a server at which nearly everything
        // fails.
        SuspectKind::Server if count.failures < BROKEN_MIN_RATE * count.tries => {
            let others = (all.incidents - count.incidents).max(0.0) + 0.5;
            log_likelihood_ratio(count.tries, count.incidents, others / (rest_tries + 1.0))
        }
        // Keys and tenants are counted from their first failure on; that failure is left out to avoid a bias.
        SuspectKind::Key | SuspectKind::Tenant => {
            log_likelihood_ratio(count.tries - 1.0, count.failures - 1.0, rest_rate)
        }
        _ => log_likelihood_ratio(count.tries, count.failures, rest_rate),
    };
    Some(ScoredSuspect { suspect, score, count, rest_rate })
}

/// Scores a route at one server against the server's other work and against the route at other servers: it
/// must fail more often than both.
fn score_cell(counts: &Counts, suspects: &Suspects, cell: Suspect) -> Option<ScoredSuspect> {
    let count = counts.get(cell)?;
    let (mut score, mut rest_rate) = (f64::INFINITY, 0.0_f64);
    for whole in
        suspects.iter().flatten().filter(|s| matches!(s.kind, SuspectKind::Server | SuspectKind::Route))
    {
        let all = counts.get(*whole)?;
        let (tries, failures) = (all.tries - count.tries, (all.failures - count.failures).max(0.0));
        if tries < MIN_OTHER_TRIES {
            return None;
        }
        let rate = (failures + 0.5) / (tries + 1.0);
        score = score.min(log_likelihood_ratio(count.tries, count.failures, rate));
        rest_rate = rest_rate.max(rate);
    }
    Some(ScoredSuspect { suspect: cell, score, count, rest_rate })
}

/// Whether nearly everything fails at a server, and far more than elsewhere: its failures are then no
/// evidence on anything else.
pub(crate) fn is_plainly_broken(counts: &Counts, server: Suspect) -> bool {
    let is_broken = |scored: ScoredSuspect| {
        let rate = scored.count.failures / scored.count.tries.max(f64::MIN_POSITIVE);
        scored.count.tries >= BROKEN_MIN_TRIES && rate >= BROKEN_MIN_RATE && scored.score > BROKEN_MIN_SCORE
    };
    score_suspect(counts, server).is_some_and(is_broken)
}

/// The suspect at fault for an attempt that has just failed, if the evidence suffices: the one with the
/// highest score. It must exceed the server's score by a margin, so that failures that the server alone
/// explains are not attributed to anything else.
pub(crate) fn culprit(counts: &Counts, suspects: &Suspects) -> Option<(Suspect, Evidence)> {
    let score = |s: &Suspect| match s.kind {
        SuspectKind::Cell => score_cell(counts, suspects, *s),
        _ => score_suspect(counts, *s),
    };
    let scored: Vec<ScoredSuspect> = suspects.iter().flatten().filter_map(score).collect();
    let server_score =
        scored.iter().find(|s| s.suspect.kind == SuspectKind::Server).map_or(0.0, |s| s.score);
    let all = counts.without_broken();
    let is_at_fault = |s: &&ScoredSuspect| {
        let rate = s.count.failures / s.count.tries.max(f64::MIN_POSITIVE);
        let odds = |p: f64| p / (1.0 - p).max(1e-9);
        let soft = s.count.soft > s.count.failures / 2.0;
        s.suspect.kind != SuspectKind::Server
            && s.score > required_score(s.suspect.kind, all.failures)
            // A route at a server was already compared with the server's other work.
            && (s.suspect.kind == SuspectKind::Cell || s.score > server_score + SERVER_MARGIN)
            && s.count.separate_incidents >= MIN_INCIDENTS - 2 * u32::from(s.suspect.kind == SuspectKind::Key)
            && rate >= MIN_FAILURE_RATE
            && odds(rate) >= MIN_ODDS_RATIO * odds(s.rest_rate)
            && (!soft || rate >= SOFT_MIN_FAILURE_RATE && s.rest_rate <= SOFT_MAX_OTHER_RATE)
    };
    // Among nearly equal scores the narrowest kind, since holding it affects the fewest requests.
    let best = scored.iter().filter(is_at_fault).max_by(|a, b| {
        let nearly = (a.score - b.score).abs() < 0.01 * a.score.max(b.score);
        if nearly { b.suspect.kind.cmp(&a.suspect.kind) } else { a.score.total_cmp(&b.score) }
    })?;
    Some((best.suspect, evidence(counts, best.suspect)))
}

/// The current figures of a suspect.
pub(crate) fn evidence(counts: &Counts, suspect: Suspect) -> Evidence {
    let (count, all) = (counts.get(suspect).unwrap_or_default(), counts.without_broken());
    Evidence {
        tries: count.tries,
        failures: count.failures,
        rest_tries: (all.tries - count.tries).max(0.0),
        rest_failures: (all.failures - count.failures).max(0.0),
    }
}
