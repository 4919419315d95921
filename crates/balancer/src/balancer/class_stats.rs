//! What a node has learned of a class of requests: answer times, demand and failures.

/// Answers of a class from which its times are held to be known.
pub(super) const MIN_SAMPLES: u64 = 20;

/// What this node has learned of a class.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassStats {
    /// Mean time of answers, which also stands for the work of a request.
    pub(super) mean_ms: f64,
    /// Mean absolute deviation from it.
    pub(super) deviation_ms: f64,
    pub(super) samples: u64,
    /// Estimate of the 80th percentile of answer times.
    pub(super) p80_ms: f64,
    /// The same without overload: follows `p80_ms` down at once, and up by a hundredth each second.
    pub(super) baseline_p80_ms: f64,
    /// How often first tries of clients were allowed each hundredth of the deadline; fades.
    pub(super) allowed_time_counts: Vec<f64>,
    /// Recent first tries, and recent requests served within the objective; both fade.
    pub(super) requests: f64,
    pub(super) served: f64,
    /// Share of recent attempts, over all backends, that were turned away, late or lost.
    pub(super) failure_rate: f64,
}

impl ClassStats {
    /// Estimates how long a client has already spent on earlier tries, in milliseconds.
    ///
    /// Clients allow first tries one of a few common times. A request that is allowed another time is taken
    /// for the client's last try, and the end of that time shows when the first one began. Where clients mark
    /// retries (`marked_retry` is set), a first try may be allowed any time, and a retry counts as new if
    /// some first tries are allowed as much, because many clients may be in a hurry at once. The estimate is
    /// wrong where clients in a hurry come back with the rest of a longer time.
    pub(super) fn estimate_age_ms(
        &mut self,
        allowed_ms: f64,
        deadline_ms: f64,
        marked_retry: Option<bool>,
    ) -> f64 {
        self.allowed_time_counts.resize(101, 0.0);
        let bin = (allowed_ms / deadline_ms * 100.0).round().clamp(0.0, 100.0) as usize;
        if marked_retry != Some(true) {
            self.allowed_time_counts.iter_mut().for_each(|count| *count *= 0.998);
            self.allowed_time_counts[bin] += 1.0;
        }
        let highest = self.allowed_time_counts.iter().copied().fold(0.0, f64::max);
        let nearby: f64 = self.allowed_time_counts[bin.saturating_sub(2)..=(bin + 2).min(100)].iter().sum();
        let common_share = if marked_retry.is_some() { 0.05 } else { 0.5 };
        let is_common = highest < 8.0 || nearby > highest * common_share;
        if marked_retry == Some(false) || is_common { 0.0 } else { (deadline_ms - allowed_ms).max(0.0) }
    }

    /// Takes in the time of one answer.
    pub(super) fn record_answer(&mut self, elapsed_ms: f64) {
        let step = if self.samples < MIN_SAMPLES { 1.0 / (self.samples as f64 + 1.0) } else { 0.02 };
        self.samples += 1;
        if self.samples < MIN_SAMPLES {
            self.p80_ms = self.mean_ms;
            self.baseline_p80_ms = self.mean_ms;
        }
        self.p80_ms *= if elapsed_ms > self.p80_ms { 1.02 } else { 0.995 };
        self.deviation_ms += step * ((elapsed_ms - self.mean_ms).abs() - self.deviation_ms);
        self.mean_ms += step * (elapsed_ms - self.mean_ms);
    }

    /// Share of recent requests that were served within the objective.
    pub(super) fn served_ratio(&self) -> f64 {
        if self.requests > 0.0 { self.served / self.requests } else { 1.0 }
    }
}
