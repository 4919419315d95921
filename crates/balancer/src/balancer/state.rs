//! The state of a balancer, and the small functions on it that all decisions share.

use super::backend::Backend;
use super::class_stats::ClassStats;
use super::key_counts::{KeyCounts, mix};
use super::open_request::OpenRequest;
use crate::interface::{Action, BackendId, RequestId, Settings, SettingsError};
use applemill_peer_reports::ReportTracker;
use std::collections::HashMap;

/// Log lines that a node may write in its life.
const MAX_LOG_LINES: u32 = 200;
/// Mean reported load at which a fleet counts as overloaded, before anything is learned.
pub(super) const HIGH_LOAD: f64 = 0.85;

/// Longest time that the rate of a warm backend is averaged over.
pub(super) const MAX_WARM_RATE_WINDOW_S: f64 = 5.0;

/// A backend's entry in rendezvous hashing. Kept small, since each request walks all of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct HashEntry {
    pub(super) salt: u64,
    pub(super) inverse_weight: f64,
    /// Index into [`Balancer::backends`].
    pub(super) index: usize,
}

impl HashEntry {
    /// Distance of the backend from a hash: the backends with the lowest are the candidates.
    pub(super) fn rank(&self, hash: u64) -> f64 {
        let uniform = (mix(hash ^ self.salt) >> 11) as f64 / (1_u64 << 53) as f64;
        -(uniform.max(f64::MIN_POSITIVE)).ln() * self.inverse_weight
    }
}

/// Traffic of one tenant at this node.
#[derive(Clone, Debug, Default)]
pub(super) struct TenantTraffic {
    pub(super) requests_per_s: f64,
    pub(super) requests_since_tick: u32,
}

/// State of admission: how much of the offered work is let in, the work of least worth being left out first.
///
/// Pairs of values are for requests within their tenant's share and over it.
#[derive(Clone, Debug, Default)]
pub(super) struct Admission {
    /// Part of the offered work that is let in.
    pub(super) level: f64,
    /// Factor on the first estimate of how much this node may have in flight at all backends together.
    pub(super) in_flight_scale: f64,
    /// A request has found that full since the last tick.
    pub(super) in_flight_limit_reached: bool,
    /// Requests served a second.
    pub(super) served_per_s: f64,
    pub(super) served_since_tick: f64,
    /// Worth of recent outcomes without overload, and with it.
    pub(super) good_worth: f64,
    pub(super) overloaded_worth: f64,
    /// Share of backends that are congested or at their concurrency limit.
    pub(super) blocked_share: f64,
    /// Number of recent outcomes in `good_worth` and `overloaded_worth`.
    pub(super) outcomes: f64,
    /// Mean of the attempts that this node has in flight, over about a second.
    pub(super) mean_in_flight: f64,
    /// Share of overload in recent outcomes.
    pub(super) overload: f64,
    /// Offered work by class.
    pub(super) offered: Vec<[f64; 2]>,
    /// Probability of being let in, by class.
    pub(super) probability: Vec<[f64; 2]>,
    /// Part of the in-flight limit that may be used, by class: less for what is worth least.
    pub(super) in_flight_part: Vec<[f64; 2]>,
    pub(super) tenants: Vec<TenantTraffic>,
    /// Tokens for further attempts.
    pub(super) retry_tokens: f64,
    /// Tokens for requests sent to neither of their candidates.
    pub(super) spill_tokens: f64,
}

/// How many nodes may be sending to cold backends, as last announced.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnnouncedSenders {
    /// This node among them; 0 if it may not send to them.
    pub(super) nodes: u32,
    pub(super) until_ms: f64,
}

/// The decisions of one node: it is given events and returns actions.
///
/// The crate's documentation has an example.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    pub(super) settings: Settings,
    pub(super) rng: fastrand::Rng,
    /// Sorted by id.
    pub(super) backends: Vec<Backend>,
    /// Backends that are up, for the lookup of a key's candidates.
    pub(super) hash_entries: Vec<HashEntry>,
    pub(super) open_requests: HashMap<RequestId, OpenRequest>,
    pub(super) class_stats: Vec<ClassStats>,
    pub(super) key_counts: KeyCounts,
    /// Reports of errors at backends, from this node and from its peers.
    pub(super) peer_reports: ReportTracker,
    pub(super) admission: Admission,
    /// Share of recent attempts, over all backends, that failed to connect or answer.
    pub(super) failure_rate: f64,
    /// Attempts in flight.
    pub(super) in_flight: u32,
    /// Mean of the reported load over all backends.
    pub(super) mean_load: f64,
    /// Mean reported load above which the fleet counts as overloaded.
    pub(super) overload_threshold: f64,
    /// Requests a second that this node has served at one warm backend.
    pub(super) warm_rate_per_s: f64,
    /// Requests served by warm backends since the last tick.
    pub(super) warm_served_since_tick: f64,
    /// Time that `warm_rate_per_s` is averaged over.
    pub(super) warm_rate_window_s: f64,
    pub(super) announced_senders: AnnouncedSenders,
    pub(super) last_tick_ms: f64,
    /// When the lease of the list expires; infinite for a list without a lease.
    pub(super) list_lease_until_ms: f64,
    /// Requests for the list that failed in a row.
    pub(super) list_failures: u32,
    pub(super) logged_lines: u32,
}

impl Balancer {
    /// Creates a balancer that knows only its settings. The same seed and events give the same actions.
    ///
    /// # Errors
    /// If the settings are unusable: no class, or a value outside its range.
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        settings.check()?;
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len());
        let reporting_nodes = if settings.peer_messages { settings.instances } else { 1 };
        Ok(Balancer {
            rng: fastrand::Rng::with_seed(seed),
            class_stats: vec![ClassStats::default(); classes],
            key_counts: KeyCounts::new(),
            peer_reports: ReportTracker::new(settings.slot, reporting_nodes),
            admission: Admission {
                level: 1.0,
                in_flight_scale: 1.0,
                offered: vec![[0.0; 2]; classes],
                probability: vec![[1.0; 2]; classes],
                in_flight_part: vec![[1.0; 2]; classes],
                tenants: vec![TenantTraffic::default(); tenants],
                retry_tokens: 3.0,
                spill_tokens: 3.0,
                ..Admission::default()
            },
            overload_threshold: HIGH_LOAD,
            list_lease_until_ms: f64::INFINITY,
            settings,
            ..Balancer::default()
        })
    }

    pub(super) fn find(&self, id: BackendId) -> Option<usize> {
        self.backends.binary_search_by_key(&id, |b| b.id).ok()
    }

    pub(super) fn log(&mut self, text: String, out: &mut Vec<Action>) {
        if self.logged_lines < MAX_LOG_LINES {
            self.logged_lines += 1;
            out.push(Action::Log(text));
        }
    }

    /// How little this node has in flight at its backends, from 0 to 1. At 1 it cannot tell backends apart by
    /// what it has in flight there.
    pub(super) fn sparsity(&self) -> f64 {
        let backends = self.hash_entries.len().max(1) as f64;
        (1.0 - 2.0 * f64::from(self.in_flight) / backends).max(0.0)
    }
}
