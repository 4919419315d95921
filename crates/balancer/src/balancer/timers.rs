//! Timer tokens, and the intervals that follow from the settings.

use super::state::Balancer;

/// Timer token of the periodic housekeeping.
pub(super) const TICK_TIMER: u64 = 1;
/// Timer token of the next request for the list of backends.
pub(super) const LIST_RETRY_TIMER: u64 = 2;
/// Timer tokens of second copies: this plus the request's id.
pub(super) const SECOND_COPY_TIMER_BASE: u64 = 3;

impl Balancer {
    fn longest_objective_ms(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.objective_ms).fold(0.0, f64::max)
    }

    /// Length of the failure window (N of the specification): half of the time a restart takes to warm up, so
    /// that a failure is forgotten before its cause recurs.
    pub(super) fn failure_window_ms(&self) -> f64 {
        (self.settings.cold_ms / 2.0).max(2.0 * self.longest_objective_ms())
    }

    /// Time until the next trial (t of the specification): the longest objective at first, doubled by each
    /// failed trial up to a quarter of the cold time, with jitter.
    pub(super) fn trial_pause_ms(&mut self, failed_trials: u32) -> f64 {
        let longest = (self.settings.cold_ms / 4.0).max(self.longest_objective_ms());
        let pause = (self.longest_objective_ms() * f64::from(1_u32 << failed_trials.min(6))).min(longest);
        pause * (0.75 + 0.5 * self.rng.f64())
    }

    /// Time between two runs of the housekeeping: a sixth of the time in which a cold backend falls over, and
    /// at least 20 batches.
    pub(super) fn tick_interval_ms(&self) -> f64 {
        (self.settings.fall_ms / 6.0).max(20.0 * self.settings.tick_ms).max(1.0)
    }
}
