//! Searches the given ranges and faults for the scenario (a day) in which the first variant does worst,
//! reduces it to what matters, and encodes it as a token for replay.

use crate::figures::Run;
use crate::runs::{RunError, play};
use crate::spec::{Range, Spec, Variant};
use applemill_lab::{Draws, Fault, What, mix};
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A reduced day must keep at least this fraction of the loss of the worst day.
const MIN_KEPT_LOSS_FRACTION: f64 = 0.8;
/// Maximum number of times that the count of servers of a fault is halved.
const MAX_HALVINGS: u32 = 5;

/// Why a search or a replay failed.
#[derive(Debug, Error)]
pub enum WorstError {
    /// There is nothing to search, or a value of a range cannot be played.
    #[error("{0}")]
    NoRanges(String),
    /// The token is malformed or belongs to another file.
    #[error("the token is malformed or belongs to another file: {0}")]
    Token(String),
    /// A day cannot be played.
    #[error(transparent)]
    Run(#[from] RunError),
}

/// A point in the search space: a position within each range, the injected faults, and the seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Day {
    /// Position within each range, from 0 to 1; none leaves the value of the file.
    values: Vec<Option<f64>>,
    /// Faults in addition to those of the file.
    faults: Vec<Fault>,
    seed: u64,
}

/// Result of a search.
#[derive(Clone, Debug)]
pub struct Worst {
    /// Deciding figure of the file without changes.
    pub base: f64,
    /// Deciding figure on the worst day.
    pub worst: f64,
    /// Deciding figure on the reduced day.
    pub reduced: f64,
    /// The reduced day.
    pub day: Day,
    /// Token that replays the reduced day.
    pub token: String,
    /// Description of the reduced day, line by line.
    pub description: Vec<String>,
    /// Number of days played.
    pub played: u64,
}

/// Encodes a day as JSON in hexadecimal.
fn token(day: &Day) -> String {
    let text = serde_json::to_string(day).unwrap_or_default();
    text.bytes().map(|b| format!("{b:02x}")).collect()
}

fn parse_token(token: &str) -> Result<Day, WorstError> {
    let error = || WorstError::Token(token.chars().take(20).collect());
    let pairs = token.as_bytes().chunks(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    let bytes: Option<Vec<u8>> = pairs.map(byte).collect();
    serde_json::from_slice(&bytes.ok_or_else(error)?).map_err(|_| error())
}

/// The first variant with the values and faults of a day.
fn variant_of_day(spec: &Spec, day: &Day) -> Result<Variant, WorstError> {
    let settings: Vec<(&Range, f64)> = spec
        .ranges
        .iter()
        .zip(&day.values)
        .filter_map(|(r, position)| Some((r, r.low + (r.high - r.low) * (*position)?)))
        .collect();
    let mut variant = spec.with_values(&settings).map_err(WorstError::NoRanges)?;
    variant.world.faults.extend(day.faults.iter().cloned());
    Ok(variant)
}

fn play_day(spec: &Spec, day: &Day) -> Result<Run, WorstError> {
    let variant = variant_of_day(spec, day)?;
    Ok(play(&variant, day.seed).map_err(RunError::from)?)
}

/// Score of a run by the deciding figure; lower is worse.
fn score(spec: &Spec, run: &Run) -> f64 {
    let value = run.figure(spec.figure);
    if spec.figure.more_is_better() { value } else { -value }
}

/// Draws a random day.
fn random_day(spec: &Spec, seed: u64, number: u64) -> Day {
    let mut draws = Draws::new(mix(seed), number);
    let values = spec.ranges.iter().map(|_| Some(draws.part())).collect();
    let world = spec.variants.first().map(|v| &v.world);
    let (seconds, servers) =
        world.map_or((1.0, 1), |w| (w.seconds, w.servers.iter().map(|s| s.count).sum::<u32>()));
    let count = if spec.faults.is_empty() { 0 } else { draws.of(spec.max_faults + 1) };
    let fault = |_| {
        let fault = spec.faults.get(draws.of(spec.faults.len())).copied().unwrap_or(What::Pause);
        let by = match fault {
            What::Errors | What::Wrong => (draws.part() * 10.0).ceil() / 10.0,
            What::Slow => 2.0 + (draws.part() * 30.0).floor(),
            What::Leak => (draws.part() * 10.0).ceil() / 10.0,
            _ => 0.0,
        };
        let to_half_seconds = |n: f64| (n * 2.0).round() / 2.0;
        Fault {
            at: to_half_seconds(seconds * 0.7 * draws.part()),
            lasts: to_half_seconds(1.0 + seconds * 0.4 * draws.part()),
            fault,
            by,
            pool: None,
            zone: None,
            first: Some(1 + draws.of(servers.max(1) as usize) as u32),
        }
    };
    Day { values, faults: (0..count).map(fault).collect(), seed: number }
}

/// Plays `budget` random days and reduces the worst one. `on_progress` gets the number of each day before it
/// is played.
///
/// # Errors
/// The file has neither ranges nor faults to search, or a day cannot be played.
pub fn worst(
    spec: &Spec,
    budget: u64,
    seed: u64,
    on_progress: &(dyn Fn(u64) + Sync),
) -> Result<Worst, WorstError> {
    if spec.ranges.is_empty() && spec.faults.is_empty() {
        let reason = "the file has nothing to search: it needs [ranges] of paths with two ends each, or faults in [search]";
        return Err(WorstError::NoRanges(reason.to_owned()));
    }
    let plain = Day { values: vec![None; spec.ranges.len()], faults: Vec::new(), seed: 1 };
    let base = score(spec, &play_day(spec, &plain)?);
    let play_random = |n: u64| {
        let day = random_day(spec, seed, n);
        on_progress(n);
        Ok((score(spec, &play_day(spec, &day)?), n, day))
    };
    let all: Result<Vec<(f64, u64, Day)>, WorstError> =
        (1..=budget.max(1)).into_par_iter().map(play_random).collect();
    // Ties go to the lowest number, so that the result does not depend on the timing of threads.
    let found = all?.into_iter().min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let Some((worst, _, day)) = found else {
        return Err(WorstError::NoRanges("no day was played".to_owned()));
    };
    let mut reduction = Reduction {
        spec,
        max_score: base - MIN_KEPT_LOSS_FRACTION * (base - worst),
        day,
        score: worst,
        played: budget,
    };
    reduction.reduce()?;
    let sign = if spec.figure.more_is_better() { 1.0 } else { -1.0 };
    Ok(Worst {
        base: base * sign,
        worst: worst * sign,
        reduced: reduction.score * sign,
        token: token(&reduction.day),
        description: describe(spec, &reduction.day),
        day: reduction.day,
        played: reduction.played,
    })
}

/// A day that is being reduced.
struct Reduction<'s> {
    spec: &'s Spec,
    /// The reduced day must not score higher than this.
    max_score: f64,
    day: Day,
    score: f64,
    played: u64,
}

impl Reduction<'_> {
    /// Replaces the day with a candidate that still scores low enough; returns whether it did.
    fn try_day(&mut self, day: Day) -> Result<bool, WorstError> {
        self.played += 1;
        let score = score(self.spec, &play_day(self.spec, &day)?);
        let accepted = score <= self.max_score;
        if accepted {
            (self.day, self.score) = (day, score);
        }
        Ok(accepted)
    }

    fn reduce(&mut self) -> Result<(), WorstError> {
        // Removes faults, the last first; then halves the servers that a fault affects; then resets values to
        // those of the file.
        for n in (0..self.day.faults.len()).rev() {
            let mut day = self.day.clone();
            day.faults.remove(n);
            self.try_day(day)?;
        }
        for n in 0..self.day.faults.len() {
            for _ in 0..MAX_HALVINGS {
                let mut day = self.day.clone();
                let Some(fault) = day.faults.get_mut(n) else { break };
                let halved = fault.first.map(|f| (f / 2).max(1));
                if fault.first == halved {
                    break;
                }
                fault.first = halved;
                if !self.try_day(day)? {
                    break;
                }
            }
        }
        for n in 0..self.day.values.len() {
            let mut day = self.day.clone();
            if let Some(value) = day.values.get_mut(n) {
                *value = None;
            }
            self.try_day(day)?;
        }
        Ok(())
    }
}

/// Describes a day, line by line.
fn describe(spec: &Spec, day: &Day) -> Vec<String> {
    let values = spec.ranges.iter().zip(&day.values).filter_map(|(r, position)| {
        let position = (*position)?;
        Some(format!("{} = {:.3} ({} to {})", r.path, r.low + (r.high - r.low) * position, r.low, r.high))
    });
    let faults = day.faults.iter().map(|f| {
        let by = if f.by == 0.0 { String::new() } else { format!(" by {}", f.by) };
        format!(
            "{}{by} at {} s for {} s, the first {} servers",
            f.fault.word(),
            f.at,
            f.lasts,
            f.first.unwrap_or(0)
        )
    });
    values.chain(faults).chain([format!("seed {}", day.seed)]).collect()
}

/// Plays the day of a token. Returns its deciding figure, its run and its description.
///
/// # Errors
/// The token is malformed or belongs to another file, or the day cannot be played.
pub fn replay(spec: &Spec, token: &str) -> Result<(f64, Run, Vec<String>), WorstError> {
    let day = parse_token(token)?;
    if day.values.len() != spec.ranges.len() {
        return Err(WorstError::Token("it has a different number of ranges".to_owned()));
    }
    let run = play_day(spec, &day)?;
    Ok((run.figure(spec.figure), run, describe(spec, &day)))
}
