//! The list of backends from discovery: it updates the backends and the table of candidates.

use super::backend::Backend;
use super::cold_start::capacity_part;
use super::concurrency_limit::{ConcurrencyLimit, initial_limit};
use super::fading_value::FadingValue;
use super::key_counts::mix;
use super::state::{Balancer, HashEntry};
use super::timers::LIST_RETRY_TIMER;
use crate::interface::{Action, Entry, Health, ListKind};

/// Weight of a candidate outside this node's zone where crossing zones has a price. Enough of them remain
/// candidates for a zone with more traffic than its own backends can carry, and a key keeps few backends.
const OTHER_ZONE_WEIGHT: f64 = 0.5;
/// What discovery has counts as told at the latest this long after it could be reached.
const TOLD_WITHIN_MS: f64 = 6_000.0;
/// Part of that time after which a failed call is followed by another: two calls may fail in between.
const LONGEST_PAUSE_PART: f64 = 0.2;
/// Calls for the list that all nodes together make a second at most while calls fail.
const MAX_FLEET_CALLS_PER_S: f64 = 1_500.0;
/// The shortest part of a pause that its jitter leaves.
const SHORTEST_JITTERED_PART: f64 = 0.5;

impl Balancer {
    pub(super) fn on_list(&mut self, now: f64, kind: ListKind, entries: &[Entry], out: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            self.schedule_list_retry(now, out);
            return;
        }
        self.list_failures = 0;
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            self.backends.iter_mut().for_each(|b| b.up = false);
        }
        for entry in entries {
            self.apply_entry(entry);
        }
        for index in 0..self.backends.len() {
            if self.backends[index].up {
                self.backends[index].close_idle_until_ms = 0.0;
            } else if self.backends[index].close_idle_until_ms == 0.0 {
                self.close_idle_if_down(now, index, out);
            }
        }
        self.backends.retain(|b| b.up || b.in_flight > 0 || b.close_idle_until_ms > now);
        self.rebuild_hash_entries(now);
    }

    /// Asks for the list again after a jittered, growing pause that stays short enough for this node not to
    /// count as unreachable, and to learn in time what discovery has to tell.
    fn schedule_list_retry(&mut self, now: f64, out: &mut Vec<Action>) {
        self.list_failures = (self.list_failures + 1).min(5);
        let longest_ms =
            (self.settings.max_poll_gap_ms / 2.0).clamp(1.0, TOLD_WITHIN_MS * LONGEST_PAUSE_PART);
        let fleet_interval_ms = f64::from(self.settings.instances) / MAX_FLEET_CALLS_PER_S * 1_000.0;
        // The first failure may be that of a silent watch, which has taken most of the time already.
        let shortest_ms =
            if self.list_failures > 1 { fleet_interval_ms / SHORTEST_JITTERED_PART } else { 0.0 };
        let backoff = f64::from(1_u32 << self.list_failures);
        let pause_ms = (self.tick_interval_ms() * backoff).max(shortest_ms).min(longest_ms);
        let jitter = SHORTEST_JITTERED_PART + (1.0 - SHORTEST_JITTERED_PART) * self.rng.f64();
        let at_ms = now + pause_ms * jitter;
        out.push(Action::Timer { token: LIST_RETRY_TIMER, at_ms });
    }

    fn apply_entry(&mut self, entry: &Entry) {
        let start_known = entry.ready_at_ms.is_finite() && entry.ready_at_ms > 0.0;
        let started_ms = if start_known { entry.ready_at_ms } else { f64::NEG_INFINITY };
        let index = self.backends.partition_point(|b| b.id < entry.backend);
        if self.find(entry.backend).is_none() {
            let limit = initial_limit(self.settings.instances);
            let backend = Backend {
                id: entry.backend,
                cold_since_ms: started_ms,
                cold_tokens: self.rng.f64(),
                class_failures: vec![FadingValue::default(); self.settings.classes.len()],
                concurrency: ConcurrencyLimit { limit, ..ConcurrencyLimit::default() },
                ..Backend::default()
            };
            self.backends.insert(index, backend);
        }
        let backend = &mut self.backends[index];
        if started_ms > backend.cold_since_ms {
            // It has restarted: what the old process did tells nothing about the new one.
            backend.cold_since_ms = started_ms;
            backend.cold_tokens = self.rng.f64();
            backend.record.reset();
        }
        backend.zone = entry.zone;
        backend.cell = entry.cell;
        backend.weight = if entry.units.is_finite() && entry.units > 0.0 { entry.units } else { 1.0 };
        backend.up = entry.health == Health::Up;
    }

    /// Closes the idle connections to a backend that is not up, if a time limit is set for that: at the
    /// notice and at every outcome there, and at each tick for half of the time limit after either.
    pub(super) fn close_idle_if_down(&mut self, now: f64, index: usize, out: &mut Vec<Action>) {
        let backend = &mut self.backends[index];
        if backend.up {
            return;
        }
        if let Some(limit_ms) = self.settings.drain_close_ms {
            backend.close_idle_until_ms = now + limit_ms / 2.0;
            out.push(Action::CloseIdle(backend.id));
        }
    }

    /// Rebuilds the table in which the candidates of keys are looked up.
    pub(super) fn rebuild_hash_entries(&mut self, now: f64) {
        let settings = &self.settings;
        let zone_weight = |b: &Backend| {
            let other_zone = settings.zone.is_some() && settings.zone != b.zone;
            if other_zone && settings.prices.cross_zone > 0.0 { OTHER_ZONE_WEIGHT } else { 1.0 }
        };
        let capacity = |b: &Backend| capacity_part(settings, now - b.cold_since_ms) * zone_weight(b);
        let entry = |(index, b): (usize, &Backend)| HashEntry {
            salt: mix(b.id.0),
            inverse_weight: 1.0 / (b.weight * capacity(b)),
            index,
        };
        self.hash_entries = self.backends.iter().enumerate().filter(|(_, b)| b.up).map(entry).collect();
    }
}
