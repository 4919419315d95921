//! Selection of the backend for an attempt.

use super::backend::Backend;
use super::connections::IDLE_CONNECTIONS_PER_BACKEND;
use super::key_counts::mix;
use super::open_request::OpenRequest;
use super::state::Balancer;
use crate::interface::RequestId;

/// Share of failures from which a class counts as failing at a backend.
const CLASS_FAILING_SHARE: f64 = 0.35;
/// Reported load up to which a backend has cores to spare.
const LOW_LOAD: f64 = 0.6;
/// Probability of taking the less loaded of two candidates, per unit of difference: 1 from a difference of
/// 0.4 on.
const LOAD_DIFFERENCE_FACTOR: f64 = 2.5;
/// Number of keys that a key with a backend's mean share of the traffic is split into, beyond the first.
const HOT_KEY_PARTS: f64 = 4.0;

/// Probability of sending a repeatable request to a backend in spite of what the peers report about it.
const IGNORE_REPORTS_PROBABILITY: f64 = 0.1;

impl Balancer {
    /// Selects a backend: one of the key's two candidates or, if both are blocked, the usable backend with
    /// the fewest requests in flight (a spill). Among equals it is the one nearest to the key in the hash, so
    /// that spilled keys also keep to few backends.
    pub(super) fn select_backend(&mut self, now: f64, id: RequestId) -> Option<usize> {
        let draw = self.rng.f64();
        let open = self.open_requests.get(&id)?;
        let (class, key) = (open.request.class, open.request.key);
        let ignores_reports = self.is_repeatable(class) && draw < IGNORE_REPORTS_PROBABILITY;
        // Now and then any backend is tried, or the node would never learn of others than those it uses.
        if self.selects_by_cost()
            && !ignores_reports
            && let Some(index) = self.select_by_cost(now, id)
        {
            return Some(index);
        }
        let hash = self.candidate_hash(key);
        let [first, second] = self.candidates(now, class, hash, ignores_reports);
        let open = self.open_requests.get(&id)?;
        let is_usable = |index: usize| self.is_usable(now, open, index);
        let first_usable = first.filter(|&index| is_usable(index));
        let second_usable = second.filter(|&index| is_usable(index));
        match (first_usable, second_usable) {
            (Some(first), Some(second)) => {
                return Some(if self.prefers_second(now, first, second, draw) { second } else { first });
            }
            (Some(index), None) | (None, Some(index)) => return Some(index),
            (None, None) => {}
        }
        // The backend that a key spills to has not met the key and has more work with it: spills are limited.
        if self.settings.warm_keys && self.admission.spill_tokens < 1.0 {
            return None;
        }
        let usable = self.hash_entries.iter().filter(|entry| is_usable(entry.index));
        let ranked =
            usable.map(|entry| (self.backends[entry.index].in_flight, entry.rank(hash), entry.index));
        let (.., index) = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))?;
        self.admission.spill_tokens = (self.admission.spill_tokens - 1.0).max(0.0);
        Some(index)
    }

    /// The hash that a request's candidates are looked up with; random for a request without a key.
    ///
    /// A key with more than one backend's part of the traffic counts as several keys: two candidates could
    /// not carry it, and nodes that each have next to nothing in flight cannot see that. Where there are many
    /// nodes, each uses a few of these keys, and sends where it has connections.
    fn candidate_hash(&mut self, key: Option<u64>) -> u64 {
        let hash = key.map_or_else(|| self.rng.u64(..), mix);
        let backends = self.hash_entries.len() as f64;
        let parts = 1.0 + self.sparsity() * HOT_KEY_PARTS * self.key_counts.share(hash) * backends;
        if parts < 2.0 {
            return hash;
        }
        let parts_per_node = (parts * 2.0 / f64::from(self.settings.instances)).ceil() as u64;
        let own_part = self.rng.u64(..parts_per_node);
        let all_parts = (parts as u64).next_power_of_two();
        let part = mix((u64::from(self.settings.slot) << 16) ^ own_part) % all_parts;
        mix(hash ^ part)
    }

    /// Whether a request of a class may have this backend as a candidate: the class does not fail there, and
    /// the peers do not report it as failing. Now and then a request that may be repeated ignores such
    /// reports.
    pub(super) fn is_candidate(&self, now: f64, class: usize, index: usize, ignores_reports: bool) -> bool {
        let reported_failing =
            || !ignores_reports && self.peer_reports.is_failing(now, self.backends[index].id.0 as u32);
        !self.class_fails_at(now, class, index) && !reported_failing()
    }

    /// The two candidates nearest to the hash.
    fn candidates(&self, now: f64, class: usize, hash: u64, ignores_reports: bool) -> [Option<usize>; 2] {
        let mut nearest = [(f64::INFINITY, None); 2];
        for entry in &self.hash_entries {
            let rank = entry.rank(hash);
            let index = entry.index;
            if rank < nearest[1].0 && self.is_candidate(now, class, index, ignores_reports) {
                nearest[1] = (rank, Some(index));
                if rank < nearest[0].0 {
                    nearest.swap(0, 1);
                }
            }
        }
        nearest.map(|(_, index)| index)
    }

    /// Whether a class fails at this backend far more often than elsewhere. Its keys then have their
    /// candidates among the other backends, while other classes stay. This guards against a fault of one
    /// class, such as a kind of work that hangs or is turned away; a false positive moves a few keys for
    /// seconds.
    pub(super) fn class_fails_at(&self, now: f64, class: usize, index: usize) -> bool {
        let failure_rate = self.class_stats.get(class).map_or(1.0, |stats| stats.failure_rate);
        let threshold = CLASS_FAILING_SHARE.max(2.0 * failure_rate);
        self.backends[index].class_failures.get(class).is_some_and(|f| f.at(now, 0.0) > threshold)
    }

    /// Whether to prefer the second of two usable candidates.
    ///
    /// The one with fewer of this node's requests in flight wins. Where both have as many (with many nodes
    /// nearly always none) it is the one with an idle connection, if not all connections can be kept. Else it
    /// is the less loaded by the reports, with a probability that grows with the difference, so that nodes
    /// that received the same report do not all switch at once.
    fn prefers_second(&self, now: f64, first: usize, second: usize, draw: f64) -> bool {
        let (first, second) = (&self.backends[first], &self.backends[second]);
        if first.in_flight != second.in_flight {
            return second.in_flight < first.in_flight;
        }
        let first_connected = first.has_idle_connection(now, &self.settings);
        let second_connected = second.has_idle_connection(now, &self.settings);
        let many_nodes = f64::from(self.settings.instances) > IDLE_CONNECTIONS_PER_BACKEND;
        if first_connected != second_connected && many_nodes {
            return second_connected;
        }
        // A first candidate with cores to spare keeps its keys, however idle the second is.
        let first_load = first.reported_load.at(now, self.mean_load);
        let second_load = second.reported_load.at(now, self.mean_load);
        first_load > LOW_LOAD && draw < (first_load - second_load) * LOAD_DIFFERENCE_FACTOR
    }

    /// Whether the backend is neither congested nor at its limit, within the cold budget, and not yet tried
    /// by this request.
    pub(super) fn is_usable(&self, now: f64, open: &OpenRequest, index: usize) -> bool {
        let backend = &self.backends[index];
        (!backend.record.congested || self.may_be_trial(now, open, backend))
            && !backend.concurrency.blocks(now, backend.in_flight)
            && !open.attempts.iter().any(|a| a.backend == backend.id)
            && self.may_send(now, open, index)
    }

    /// Whether this request may be the trial of a congested backend. Where all backends are congested any
    /// request may be: the repeatable ones could be the very work that fails.
    fn may_be_trial(&self, now: f64, open: &OpenRequest, backend: &Backend) -> bool {
        let all_congested = || !self.backends.iter().any(|b| b.up && !b.record.congested);
        !self.settings.probes
            && backend.record.trial_due(now)
            && !open.request.suspect
            && (self.is_repeatable(open.request.class) || all_congested())
    }
}
