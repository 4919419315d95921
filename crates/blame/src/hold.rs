//! One hold: trials run one at a time and at growing intervals while they fail, then faster and several at a
//! time once they succeed, until the hold is cleared.

use crate::config::BlameConfig;
use std::hash::{Hash, Hasher};

/// Successful trials in a row that clear a hold; each of them doubles the trial rate.
const SUCCESSES_TO_CLEAR: u32 = 8;
/// With more requests than this at a time, it would no longer be a trial.
const MAX_TRIALS_IN_FLIGHT: u32 = 16;
/// Shortest interval between trials, reached shortly before the hold is cleared.
const MIN_TRIAL_INTERVAL_MS: f64 = 10.0;

/// Permission for one trial, to be returned with [`Blame::trial_ended`](crate::Blame::trial_ended).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TrialToken(pub(crate) u64);

/// The state of a hold after a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterTrial {
    Held,
    Cleared,
}

/// A trial that has not ended yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TrialInFlight {
    pub token: TrialToken,
    pub since_ms: f64,
}

/// One hold.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Hold {
    /// Earliest time of the next trial.
    pub next_trial_ms: f64,
    /// The pause that follows a failed trial, before jitter.
    pub pause_ms: f64,
    /// Successful trials in a row.
    pub successes: u32,
    pub in_flight: Vec<TrialInFlight>,
    pub trials: u64,
    pub refused: u64,
}

impl Hold {
    /// `pause_ms` is the pause of an earlier hold that was cleared too early, or 0; it is clamped to the
    /// configured range. `random` is between 0 and 1, here and in the other functions.
    pub fn new(now: f64, config: &BlameConfig, pause_ms: f64, random: f64) -> Hold {
        let pause_ms = pause_ms.clamp(config.initial_pause_ms, config.max_pause_ms);
        Hold {
            next_trial_ms: now + jitter(pause_ms, random),
            pause_ms,
            successes: 0,
            in_flight: Vec::new(),
            trials: 0,
            refused: 0,
        }
    }

    pub fn digest<H: Hasher>(&self, state: &mut H) {
        let Hold { next_trial_ms, pause_ms, successes, in_flight, trials, refused } = self;
        (next_trial_ms.to_bits(), pause_ms.to_bits(), successes, trials, refused).hash(state);
        for TrialInFlight { token, since_ms } in in_flight {
            (token, since_ms.to_bits()).hash(state);
        }
    }

    /// Whether a trial may start now. Drops trials that have been in flight for too long.
    pub fn may_start_trial(&mut self, now: f64, config: &BlameConfig) -> bool {
        self.in_flight.retain(|t| now - t.since_ms < config.max_trial_ms);
        // One at a time until one has succeeded.
        let max_in_flight = (1_u32 << self.successes.min(4)).min(MAX_TRIALS_IN_FLIGHT);
        now >= self.next_trial_ms && (self.in_flight.len() as u32) < max_in_flight
    }

    pub fn start_trial(&mut self, now: f64, token: TrialToken, random: f64) {
        self.in_flight.push(TrialInFlight { token, since_ms: now });
        self.trials += 1;
        self.next_trial_ms = now + jitter(self.trial_interval_ms(), random);
    }

    /// Interval between trials: halved with each success in a row.
    fn trial_interval_ms(&self) -> f64 {
        let speedup = f64::from(1_u32 << self.successes.min(16));
        (self.pause_ms.min(500.0) / speedup).max(MIN_TRIAL_INTERVAL_MS)
    }

    /// Records the result of a trial; `succeeded` is none if the trial showed nothing.
    pub fn trial_ended(
        &mut self,
        now: f64,
        token: TrialToken,
        succeeded: Option<bool>,
        config: &BlameConfig,
        random: f64,
    ) -> AfterTrial {
        let before = self.in_flight.len();
        self.in_flight.retain(|t| t.token != token);
        // The result of a trial that was already given up as lost is ignored.
        match succeeded.filter(|_| self.in_flight.len() < before) {
            None => {}
            Some(true) => {
                self.successes += 1;
                if self.successes >= SUCCESSES_TO_CLEAR {
                    return AfterTrial::Cleared;
                }
                self.next_trial_ms = self.next_trial_ms.min(now + jitter(self.trial_interval_ms(), random));
            }
            Some(false) => {
                self.successes = 0;
                self.pause_ms = (self.pause_ms * 2.0).min(config.max_pause_ms);
                self.next_trial_ms = now + jitter(self.pause_ms, random);
            }
        }
        AfterTrial::Held
    }
}

/// 75 % to 125 % of a duration, so that the nodes of a fleet do not all try at the same time.
fn jitter(ms: f64, random: f64) -> f64 {
    ms * (0.75 + 0.5 * random)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn trials_run_singly_and_less_often_while_they_fail_and_enough_successes_clear_the_hold() {
        let config = BlameConfig::default();
        let mut hold = Hold::new(0.0, &config, 0.0, 0.5);
        assert!(!hold.may_start_trial(499.0, &config) && hold.may_start_trial(500.0, &config));
        hold.start_trial(500.0, TrialToken(1), 0.5);
        assert!(!hold.may_start_trial(9_000.0, &config), "one at a time");
        assert_eq!(hold.trial_ended(1_000.0, TrialToken(1), Some(false), &config, 0.5), AfterTrial::Held);
        assert!(
            !hold.may_start_trial(1_999.0, &config) && hold.may_start_trial(2_000.0, &config),
            "the pause has doubled"
        );
        // A trial whose end is not reported is given up after a minute; a result reported later is ignored.
        hold.start_trial(2_000.0, TrialToken(2), 0.5);
        assert!(!hold.may_start_trial(61_999.0, &config) && hold.may_start_trial(62_000.0, &config));
        assert_eq!(hold.trial_ended(62_001.0, TrialToken(2), Some(true), &config, 0.5), AfterTrial::Held);
        assert_eq!(hold.successes, 0);
        let (mut now, mut trials) = (62_002.0, 0);
        loop {
            now += 1.0;
            if !hold.may_start_trial(now, &config) {
                continue;
            }
            trials += 1;
            let token = TrialToken(10 + trials);
            hold.start_trial(now, token, 0.5);
            if hold.trial_ended(now + 0.5, token, Some(true), &config, 0.5) == AfterTrial::Cleared {
                break;
            }
        }
        assert_eq!(trials, u64::from(SUCCESSES_TO_CLEAR));
        assert!(now < 63_500.0, "cleared within 1.5 s of the first successful trial: {now}");
    }
}
