//! What a balancer has learned, exported for the balancer that continues in its place. It decides nothing.

use super::state::{Balancer, MAX_WARM_RATE_WINDOW_S};
use crate::interface::BackendId;
use serde::{Deserialize, Serialize};

/// Version of the exported state; no other version is imported.
const VERSION: u32 = 2;

/// What is known of one backend. Times are in milliseconds of a clock that both balancers use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct BackendState {
    backend: u64,
    /// None if it started long ago: minus infinity has no form in JSON.
    #[serde(rename = "cold_since")]
    cold_since_ms: Option<f64>,
    limit: f64,
    #[serde(rename = "cut_at")]
    last_cut_ms: f64,
    congested: bool,
    #[serde(rename = "prat")]
    prat_ms: f64,
    failed_trials: u32,
}

/// The learned state of a balancer, in the form in which it is exported and imported.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    #[serde(rename = "form")]
    version: u32,
    #[serde(rename = "warm_rate")]
    warm_rate_per_s: f64,
    #[serde(rename = "warm_for")]
    warm_rate_window_s: f64,
    level: f64,
    #[serde(rename = "room")]
    in_flight_scale: f64,
    backends: Vec<BackendState>,
}

impl LearnedState {
    /// Part of the offered work that is let in, from 0 to 1.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// The learned limit on requests in flight, for each backend.
    pub fn limits(&self) -> impl Iterator<Item = f64> {
        self.backends.iter().map(|backend| backend.limit)
    }

    /// Whether the version is known and every value is a number within its range.
    fn is_valid(&self) -> bool {
        self.version == VERSION
            && (0.0..1e9).contains(&self.warm_rate_per_s)
            && (0.0..=MAX_WARM_RATE_WINDOW_S).contains(&self.warm_rate_window_s)
            && (0.0..=1.0).contains(&self.level)
            && self.in_flight_scale.is_finite()
            && self.in_flight_scale > 0.0
            && self.backends.iter().all(BackendState::is_valid)
    }
}

impl BackendState {
    fn is_valid(&self) -> bool {
        let times_ms = [self.cold_since_ms.unwrap_or(0.0), self.last_cut_ms, self.prat_ms];
        times_ms.iter().all(|time| time.is_finite()) && self.limit.is_finite() && self.limit > 0.0
    }
}

impl Balancer {
    /// Exports what this balancer has learned.
    pub fn export_learned(&self) -> LearnedState {
        let backends = self.backends.iter().map(|b| BackendState {
            backend: b.id.0,
            cold_since_ms: Some(b.cold_since_ms).filter(|since| since.is_finite()),
            limit: b.concurrency.limit,
            last_cut_ms: b.concurrency.last_cut_ms,
            congested: b.record.congested,
            prat_ms: b.record.prat_ms,
            failed_trials: b.record.failed_trials,
        });
        LearnedState {
            version: VERSION,
            warm_rate_per_s: self.warm_rate_per_s,
            warm_rate_window_s: self.warm_rate_window_s,
            level: self.admission.level,
            in_flight_scale: self.admission.in_flight_scale,
            backends: backends.collect(),
        }
    }

    /// Imports what another balancer has learned, for the backends that this one knows from its list. Returns
    /// false and imports nothing if the version is unknown or a value is out of its range.
    pub fn import_learned(&mut self, learned: &LearnedState) -> bool {
        if !learned.is_valid() {
            return false;
        }
        self.warm_rate_per_s = learned.warm_rate_per_s;
        self.warm_rate_window_s = learned.warm_rate_window_s;
        self.admission.level = learned.level;
        self.admission.in_flight_scale = learned.in_flight_scale;
        for known in &learned.backends {
            let Some(index) = self.find(BackendId(known.backend)) else { continue };
            let backend = &mut self.backends[index];
            // The list may know of a later start.
            if let Some(cold_since_ms) = known.cold_since_ms {
                backend.cold_since_ms = backend.cold_since_ms.max(cold_since_ms);
            }
            backend.concurrency.limit = known.limit;
            backend.concurrency.last_cut_ms = known.last_cut_ms;
            backend.record.congested = known.congested;
            backend.record.prat_ms = known.prat_ms;
            backend.record.failed_trials = known.failed_trials;
        }
        true
    }
}
