//! Requests that are not over yet, and their attempts.

use crate::interface::{BackendId, Outcome, Request, Settings, ZoneId};

/// An attempt of an open request, in flight or ended.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) backend: BackendId,
    pub(super) zone: Option<ZoneId>,
    pub(super) cell: Option<u32>,
    pub(super) sent_ms: f64,
    pub(super) timeout_ms: f64,
    pub(super) in_flight: bool,
    pub(super) never_ran: bool,
    pub(super) is_trial: bool,
}

/// A request that has not been answered, or that still has an attempt in flight.
#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    pub(super) request: Request,
    pub(super) arrived_ms: f64,
    /// The time by which its answer earns full worth.
    pub(super) objective_at_ms: f64,
    pub(super) worth: f64,
    /// Answered, or its client has left.
    pub(super) finished: bool,
    pub(super) attempts: Vec<Attempt>,
}

impl OpenRequest {
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.in_flight)
    }

    pub(super) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.never_ran)
    }

    pub(super) fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.never_ran)
    }
}

/// Whether the outcome proves that the attempt never ran. Sends, refusals and the retry budget all rely on
/// it. Where backends shed work late, "full" proves nothing.
pub(super) fn never_ran(settings: &Settings, outcome: Outcome) -> bool {
    match outcome {
        Outcome::NotConnected | Outcome::Skipped => true,
        Outcome::Full => !settings.late_shedding,
        _ => false,
    }
}
