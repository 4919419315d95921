//! A hash of the balancer's state, for programs that explore the states it can reach. It decides nothing.

use super::backend::Backend;
use super::class_stats::ClassStats;
use super::concurrency_limit::ConcurrencyLimit;
use super::fading_value::FadingValue;
use super::failure_record::FailureRecord;
use super::key_counts::KeyCounts;
use super::open_request::{Attempt, OpenRequest};
use super::state::{Admission, AnnouncedSenders, Balancer, HashEntry};
use std::hash::{Hash, Hasher};

fn hash_floats<H: Hasher>(state: &mut H, values: impl IntoIterator<Item = f64>) {
    values.into_iter().for_each(|value| value.to_bits().hash(state));
}

impl Balancer {
    /// Hashes everything that later decisions depend on, except the settings and the counts of single keys.
    /// Two balancers with the same settings that received the same keys and have the same hash decide alike.
    /// Requests are hashed in the order of their ids.
    pub fn digest<H: Hasher>(&self, state: &mut H) {
        let Balancer { settings: _, rng, backends, hash_entries, open_requests, .. } = self;
        let Balancer { class_stats, key_counts, peer_reports, admission, .. } = self;
        let KeyCounts { rows: _, total } = key_counts;
        rng.get_seed().hash(state);
        for backend in backends {
            backend.digest(state);
        }
        for HashEntry { salt, inverse_weight, index } in hash_entries {
            (salt, inverse_weight.to_bits(), index).hash(state);
        }
        let mut requests: Vec<_> = open_requests.iter().collect();
        requests.sort_unstable_by_key(|(id, _)| **id);
        for (id, open) in requests {
            id.hash(state);
            open.digest(state);
        }
        for stats in class_stats {
            stats.digest(state);
        }
        if self.selects_by_cost() {
            let slowness = self.backends.iter().map(|backend| backend.slowness);
            hash_floats(state, slowness.flat_map(|s| [s.value, s.updated_ms]));
        }
        admission.digest(state);
        peer_reports.digest(state);
        let Balancer { failure_rate, in_flight, mean_load, overload_threshold, .. } = self;
        let Balancer { warm_rate_per_s, warm_served_since_tick, warm_rate_window_s, .. } = self;
        let Balancer { announced_senders, last_tick_ms, list_failures, logged_lines, .. } = self;
        let Balancer { list_lease_until_ms, .. } = self;
        let AnnouncedSenders { nodes, until_ms } = announced_senders;
        (in_flight, list_failures, logged_lines, nodes).hash(state);
        hash_floats(state, [*total, *failure_rate, *mean_load, *overload_threshold]);
        hash_floats(state, [*warm_rate_per_s, *warm_served_since_tick, *warm_rate_window_s]);
        hash_floats(state, [*until_ms, *last_tick_ms, *list_lease_until_ms]);
    }
}

impl Backend {
    fn digest<H: Hasher>(&self, state: &mut H) {
        let Backend { id, zone, cell, weight, up, close_idle_until_ms, idle_since_ms, .. } = self;
        let Backend { no_idle_until_ms, in_flight, cold_since_ms, cold_tokens, record, .. } = self;
        let Backend { concurrency, reported_load, class_failures, .. } = self;
        let FailureRecord { buckets, current_bucket, consecutive_failures, congested, .. } = record;
        let FailureRecord { prat_ms, failed_trials, trial_in_flight, streaming_trial, .. } = record;
        let ConcurrencyLimit { limit, last_cut_ms, reduced_since_cut, paused_until_ms } = concurrency;
        (id, zone, cell, up, in_flight).hash(state);
        (buckets, current_bucket, consecutive_failures, congested).hash(state);
        (failed_trials, trial_in_flight, streaming_trial).hash(state);
        hash_floats(state, [*weight, *close_idle_until_ms, *cold_since_ms, *cold_tokens, *prat_ms]);
        hash_floats(state, [*limit, *last_cut_ms, *reduced_since_cut, *paused_until_ms]);
        hash_floats(state, [*idle_since_ms, *no_idle_until_ms]);
        for FadingValue { value, updated_ms } in class_failures.iter().chain([reported_load]) {
            hash_floats(state, [*value, *updated_ms]);
        }
    }
}

impl OpenRequest {
    fn digest<H: Hasher>(&self, state: &mut H) {
        let OpenRequest { request, arrived_ms, objective_at_ms, worth, finished, attempts } = self;
        (request.class, request.tenant, request.key, request.retry, request.suspect, finished).hash(state);
        hash_floats(state, [request.deadline_ms, *arrived_ms, *objective_at_ms, *worth]);
        for attempt in attempts {
            let Attempt { backend, zone, cell, sent_ms, timeout_ms, in_flight, never_ran, is_trial } =
                attempt;
            (backend, zone, cell, in_flight, never_ran, is_trial).hash(state);
            hash_floats(state, [*sent_ms, *timeout_ms]);
        }
    }
}

impl ClassStats {
    fn digest<H: Hasher>(&self, state: &mut H) {
        let ClassStats { mean_ms, deviation_ms, samples, p80_ms, baseline_p80_ms, .. } = self;
        let ClassStats { allowed_time_counts, requests, served, failure_rate, .. } = self;
        samples.hash(state);
        hash_floats(state, [*mean_ms, *deviation_ms, *p80_ms, *baseline_p80_ms]);
        hash_floats(state, [*requests, *served, *failure_rate]);
        hash_floats(state, allowed_time_counts.iter().copied());
    }
}

impl Admission {
    fn digest<H: Hasher>(&self, state: &mut H) {
        let Admission { level, in_flight_scale, in_flight_limit_reached, served_per_s, .. } = self;
        let Admission { served_since_tick, good_worth, overloaded_worth, blocked_share, .. } = self;
        let Admission { outcomes, mean_in_flight, overload, offered, probability, .. } = self;
        let Admission { in_flight_part, tenants, retry_tokens, spill_tokens, .. } = self;
        in_flight_limit_reached.hash(state);
        hash_floats(state, [*level, *in_flight_scale, *served_per_s, *served_since_tick]);
        hash_floats(state, [*good_worth, *overloaded_worth, *blocked_share, *outcomes]);
        hash_floats(state, [*mean_in_flight, *overload, *retry_tokens, *spill_tokens]);
        hash_floats(state, offered.iter().chain(probability).chain(in_flight_part).flatten().copied());
        hash_floats(state, tenants.iter().map(|tenant| tenant.requests_per_s));
        tenants.iter().for_each(|tenant| tenant.requests_since_tick.hash(state));
    }
}
