//! Recent failures of one backend, and its congested state.

use crate::interface::RequestId;

/// Buckets in the failure window. The congestion-control specification keeps 16 and one being filled.
const BUCKETS: usize = 16;

/// Attempts that ended within one bucket of the failure window.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub(super) struct Bucket {
    failures: u16,
    attempts: u16,
}

/// Recent failures of one backend, in a sliding window of buckets, and its congested state.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureRecord {
    pub(super) buckets: [Bucket; BUCKETS],
    /// Number of the bucket being filled, counted from time 0; its place is this modulo [`BUCKETS`].
    pub(super) current_bucket: u64,
    /// Failures since the last answer of any kind.
    pub(super) consecutive_failures: u32,
    pub(super) congested: bool,
    /// When the next trial may be sent.
    pub(super) prat_ms: f64,
    /// Trials failed in a row.
    pub(super) failed_trials: u32,
    pub(super) trial_in_flight: bool,
    /// The latest trial whose answer has started; the end of the answer decides the trial.
    pub(super) streaming_trial: Option<RequestId>,
}

impl FailureRecord {
    /// Moves the window up to `now` and clears the buckets that were skipped.
    fn advance(&mut self, now: f64, window_ms: f64) {
        let bucket = (now.max(0.0) / (window_ms / BUCKETS as f64)) as u64;
        let passed = bucket.saturating_sub(self.current_bucket).min(BUCKETS as u64);
        for i in 0..passed {
            self.buckets[((bucket - i) % BUCKETS as u64) as usize] = Bucket::default();
        }
        self.current_bucket = self.current_bucket.max(bucket);
    }

    /// Counts one attempt.
    pub(super) fn record(&mut self, now: f64, window_ms: f64, failed: bool) {
        self.advance(now, window_ms);
        let bucket = &mut self.buckets[(self.current_bucket % BUCKETS as u64) as usize];
        bucket.failures = bucket.failures.saturating_add(u16::from(failed));
        bucket.attempts = bucket.attempts.saturating_add(1);
        self.consecutive_failures = if failed { self.consecutive_failures.saturating_add(1) } else { 0 };
    }

    /// Failures within the window.
    pub(super) fn failures(&self) -> f64 {
        self.buckets.iter().map(|b| f64::from(b.failures)).sum()
    }

    /// Attempts within the window.
    pub(super) fn attempts(&self) -> f64 {
        self.buckets.iter().map(|b| f64::from(b.attempts)).sum()
    }

    pub(super) fn trial_due(&self, now: f64) -> bool {
        self.congested && !self.trial_in_flight && now >= self.prat_ms
    }

    /// Forgets all failures and ends the congested state.
    pub(super) fn reset(&mut self) {
        *self = FailureRecord { current_bucket: self.current_bucket, ..FailureRecord::default() };
    }
}
