//! The learned limit on the requests in flight at one backend.

/// Overload at which the concurrency limits and admission settle.
pub(super) const TARGET_OVERLOAD: f64 = 0.2;

/// Limit of a backend about which nothing is known: two, or eight over all nodes where there are few of
/// them. Where there are many, this node's share of 32, or all nodes together would flood the backend before
/// any of them has learned its limit.
pub(super) fn initial_limit(instances: u32) -> f64 {
    let nodes = f64::from(instances.max(1));
    (32.0 / nodes).clamp(0.4, 2.0).max(8.0 / nodes)
}

/// Limit on the requests in flight at one backend, learned from outcomes. A limit below 1 is a duty cycle:
/// one request at a time, with pauses between them.
#[derive(Clone, Debug, Default)]
pub(super) struct ConcurrencyLimit {
    pub(super) limit: f64,
    /// When reductions last added up to the whole limit; 0 until the first reduction. Attempts sent before
    /// it carry no new information.
    pub(super) last_cut_ms: f64,
    /// Sum of the reductions since then.
    pub(super) reduced_since_cut: f64,
    /// End of the pause that a limit below 1 requires.
    pub(super) paused_until_ms: f64,
}

/// What a finished attempt tells the concurrency limit of its backend.
pub(super) struct LimitSample {
    pub(super) elapsed_ms: f64,
    /// Requests of this node that are still in flight at the backend.
    pub(super) in_flight: u32,
    /// From 0 (answered well within the objective) to 1 (late).
    pub(super) overload: f64,
    /// Share of the unused part of the limit that is removed at once.
    pub(super) unused_reduction: f64,
    /// The limit is not reduced below this.
    pub(super) min_limit: f64,
}

impl ConcurrencyLimit {
    /// Increase for an answer without overload. At the target overload, increases and reductions balance.
    const STEP: f64 = 0.1;

    pub(super) fn blocks(&self, now: f64, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 > self.limit.max(1.0) || now < self.paused_until_ms
    }

    pub(super) fn update(&mut self, now: f64, sample: &LimitSample) {
        let &LimitSample { elapsed_ms, in_flight, overload, unused_reduction, min_limit } = sample;
        let step = ConcurrencyLimit::STEP * self.limit.min(1.0) * (1.0 - overload / TARGET_OVERLOAD);
        if step < 0.0 && now - elapsed_ms >= self.last_cut_ms {
            // Room that was not in use when overload showed does not really exist. Part of it is removed at
            // once, more of it the more the whole fleet is overloaded; one late answer in a calm fleet
            // removes almost nothing.
            let unused = (self.limit - f64::from(in_flight) - 1.0).max(0.0);
            self.limit = (self.limit + step - unused_reduction * unused).max(min_limit.min(self.limit));
            self.reduced_since_cut -= step;
            if self.reduced_since_cut > self.limit || self.last_cut_ms == 0.0 {
                self.last_cut_ms = now;
                self.reduced_since_cut = 0.0;
            }
        } else if step > 0.0 && f64::from(in_flight) + 1.0 >= self.limit / 2.0 {
            // Grows fast until overload first shows, to leave a small initial limit quickly.
            self.limit += if self.last_cut_ms == 0.0 { step * 5.0 } else { step };
        }
        if self.limit < 1.0 {
            self.paused_until_ms = now + elapsed_ms * (1.0 / self.limit - 1.0);
        }
    }
}
