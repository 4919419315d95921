//! What a node knows of one backend.

use super::concurrency_limit::ConcurrencyLimit;
use super::fading_value::FadingValue;
use super::failure_record::FailureRecord;
use crate::interface::{BackendId, Settings, ZoneId};

/// What this node knows of one backend.
#[derive(Clone, Debug, Default)]
pub(super) struct Backend {
    pub(super) id: BackendId,
    pub(super) zone: Option<ZoneId>,
    pub(super) cell: Option<u32>,
    /// Size relative to the other backends.
    pub(super) weight: f64,
    /// Listed and up. Sends to any other backend break the drain rule.
    pub(super) up: bool,
    /// Until this time idle connections are closed again at each tick: a connection whose handshake was under
    /// way at the notice, or at the last outcome, turns idle later. 0 where nothing is to be closed.
    pub(super) close_idle_until_ms: f64,
    /// When a connection there last turned idle and was kept; 0 for none.
    pub(super) idle_since_ms: f64,
    /// Until this time no connection there is kept, since it had none to offer.
    pub(super) no_idle_until_ms: f64,
    /// Attempts of this node that are in flight there.
    pub(super) in_flight: u32,
    /// Start of its cold time, from the list or after a period without answers.
    pub(super) cold_since_ms: f64,
    /// Work that the cold budget still allows, in mean requests.
    pub(super) cold_tokens: f64,
    pub(super) record: FailureRecord,
    pub(super) concurrency: ConcurrencyLimit,
    /// Its load by its own reports, 0 to 1.
    pub(super) reported_load: FadingValue,
    /// How slow its answers are beside the mean of their classes, as a binary logarithm.
    pub(super) slowness: FadingValue,
    /// For each class, the recent share of attempts that were turned away, late or lost here. It fades, and
    /// the class is tried here again.
    pub(super) class_failures: Vec<FadingValue>,
}

impl Backend {
    /// Whether an idle connection there can be used again. Backends do not close one within half of the
    /// idle time.
    pub(super) fn has_idle_connection(&self, now: f64, settings: &Settings) -> bool {
        self.in_flight == 0
            && self.idle_since_ms > 0.0
            && now - self.idle_since_ms < settings.conn_idle_ms / 2.0
    }

    pub(super) fn is_cold(&self, now: f64, settings: &Settings) -> bool {
        now - self.cold_since_ms < settings.cold_ms
    }
}
