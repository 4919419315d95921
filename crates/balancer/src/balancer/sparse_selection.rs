//! Selection of backends in a fleet of many nodes. Each node sees little of any backend there: it has next to
//! nothing in flight at one, so the in-flight counts of two candidates say nothing of their load.

use super::backend::Backend;
use super::connections::IDLE_CONNECTIONS_PER_BACKEND;
use super::state::Balancer;
use crate::interface::{Reporting, RequestId};

/// Bound of one sample of a backend's slowness.
const MAX_SLOWNESS: f64 = 3.0;
/// Weight of one sample of a backend's slowness.
const SLOWNESS_STEP: f64 = 0.5;
/// Cost of a request in flight: as much as answers that take four times as long.
const IN_FLIGHT_COST: f64 = 2.0;
/// Cost of a new connection: as much as answers that take twice as long.
const CONNECT_COST: f64 = 1.0;
/// Answer times below this are taken for it.
const MIN_ANSWER_MS: f64 = 0.1;

impl Backend {
    /// Takes in the time of an answer, beside the mean of its class.
    pub(super) fn record_slowness(&mut self, now: f64, elapsed_ms: f64, class_mean_ms: f64) {
        let ratio = elapsed_ms.max(MIN_ANSWER_MS) / class_mean_ms.max(MIN_ANSWER_MS);
        let sample = ratio.log2().clamp(-MAX_SLOWNESS, MAX_SLOWNESS);
        self.slowness.update(now, 0.0, sample, SLOWNESS_STEP);
    }
}

impl Balancer {
    /// Whether nodes are so many that each can keep connections to less than half of the backends, keys may
    /// go to any backend, and backends do not report their load.
    pub(super) fn selects_by_cost(&self) -> bool {
        f64::from(self.settings.instances) > 2.0 * IDLE_CONNECTIONS_PER_BACKEND
            && !self.settings.warm_keys
            && self.settings.reporting == Reporting::None
    }

    /// Selects the usable backend of least cost; among equals a random one.
    ///
    /// A node thereby keeps to the few backends that it has connections to, and learns how fast they are from
    /// answers that come often enough; it leaves those that answer slowly.
    pub(super) fn select_by_cost(&mut self, now: f64, id: RequestId) -> Option<usize> {
        let hash = self.rng.u64(..);
        let open = self.open_requests.get(&id)?;
        let class = open.request.class;
        let mut best: Option<(f64, f64, usize)> = None;
        for entry in &self.hash_entries {
            let index = entry.index;
            let cost = self.cost(now, index);
            if best.is_some_and(|(best_cost, ..)| cost > best_cost) {
                continue;
            }
            let rank = entry.rank(hash);
            let is_better =
                best.is_none_or(|(best_cost, best_rank, _)| (cost, rank) < (best_cost, best_rank));
            if is_better && self.is_candidate(now, class, index, false) && self.is_usable(now, open, index)
            {
                best = Some((cost, rank, index));
            }
        }
        best.map(|(.., index)| index)
    }

    /// The cost of sending to a backend, as the binary logarithm of the time that its answer takes.
    fn cost(&self, now: f64, index: usize) -> f64 {
        let backend = &self.backends[index];
        let connect_cost =
            if backend.has_idle_connection(now, &self.settings) { 0.0 } else { CONNECT_COST };
        f64::from(backend.in_flight) * IN_FLIGHT_COST + backend.slowness.at(now, 0.0) + connect_cost
    }
}
