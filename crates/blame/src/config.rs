//! The settings of blame.

/// The settings; times in milliseconds, fractions between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BlameConfig {
    /// Time in which the weight of evidence decays to 1/e, about a third.
    pub memory_ms: f64,
    /// A suspect that fails less often than this is never held.
    pub hold_failure_rate: f64,
    /// Trials of all holds together are at most this fraction of all attempts, in addition to
    /// [`BlameConfig::trials_per_s`].
    pub trial_fraction: f64,
    /// Trials per second that are always allowed, for all holds together.
    pub trials_per_s: f64,
    /// Time from the verdict to the first trial.
    pub initial_pause_ms: f64,
    /// Each failed trial doubles the pause, up to this.
    pub max_pause_ms: f64,
    /// A trial without a reported end is considered lost after this time.
    pub max_trial_ms: f64,
    /// Largest retry time that a refused request is given; 0 to give none.
    pub max_retry_after_ms: f64,
}

impl Default for BlameConfig {
    fn default() -> BlameConfig {
        BlameConfig {
            memory_ms: 10_000.0,
            hold_failure_rate: 0.5,
            trial_fraction: 0.02,
            trials_per_s: 2.0,
            initial_pause_ms: 500.0,
            max_pause_ms: 10_000.0,
            max_trial_ms: 60_000.0,
            max_retry_after_ms: 2_000.0,
        }
    }
}
