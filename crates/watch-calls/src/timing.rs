//! Time limits of the calls.

use crate::{MAX_TRANSFER_MS, Ms, OpenCall};

/// With pushed lists, a call that brings nothing is joined by another after this share of the drain grace, and
/// a watch waits for two of these. What is told while a watch or a call is lost in silence is then known after
/// three at most, which leaves two fifths of the grace for the answer and for a node that is held up.
const JOIN_SHARE_OF_GRACE: f64 = 0.2;
/// How long a lease of the list lasts, in the same unit. A node may be held up for what is left of the grace.
const LEASE_IN_JOINS: f64 = 4.0;
/// Bounds of that time.
const JOIN_RANGE_MS: (Ms, Ms) = (50.0, 400.0);
/// Part of that time by which nodes differ, so that they do not call in step.
const SPREAD: f64 = 0.1;
/// A watch waits this many times as long as it takes until a call is joined.
const WAIT_IN_JOINS: f64 = 2.0;
/// The shortest time for which a call may bring nothing, in the same unit.
const LIFETIME_IN_JOINS: f64 = 4.0;
/// That time doubles this often at most.
const MAX_DOUBLINGS: u32 = 4;
/// How long a service that all nodes share may hold a watch open.
const SHARED_SERVICE_WAIT_MS: Ms = 20_000.0;
/// How long an answer of such a service may take beyond that, or for a whole list.
const SHARED_SERVICE_ANSWER_MS: Ms = 1_500.0;
const SHARED_SERVICE_LIST_MS: Ms = 3_500.0;

/// How long calls wait, and when a call is joined by another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallTiming {
    /// How long discovery may hold a watch open while nothing changes.
    pub wait_ms: Ms,
    /// A call that brings nothing for so long is joined by another; never if `None`.
    pub join_ms: Option<Ms>,
    /// How long a lease of the list lasts that is not renewed.
    pub lease_ms: Ms,
}

/// The time after which a call is joined by another, at a node that calls at once.
fn longest_join_ms(drain_grace_ms: Ms) -> Ms {
    (drain_grace_ms * JOIN_SHARE_OF_GRACE).clamp(JOIN_RANGE_MS.0, JOIN_RANGE_MS.1)
}

impl CallTiming {
    /// For lists that are pushed to an agent on the node's own machine, where calls cost nothing. `spread`,
    /// from 0 to 1, differs from node to node.
    pub fn pushed(drain_grace_ms: Ms, spread: f64) -> CallTiming {
        let longest_join_ms = longest_join_ms(drain_grace_ms);
        let join_ms = longest_join_ms * (1.0 - SPREAD * spread.clamp(0.0, 1.0));
        CallTiming {
            wait_ms: join_ms * WAIT_IN_JOINS,
            join_ms: Some(join_ms),
            lease_ms: longest_join_ms * LEASE_IN_JOINS,
        }
    }

    /// For lists that all nodes ask one service for.
    pub fn on_request(drain_grace_ms: Ms) -> CallTiming {
        CallTiming {
            wait_ms: SHARED_SERVICE_WAIT_MS,
            join_ms: None,
            lease_ms: longest_join_ms(drain_grace_ms) * LEASE_IN_JOINS,
        }
    }

    /// How long a call may bring nothing beyond the time that discovery holds it, by the number of calls since
    /// the last answer. Every second call has the shortest time, every fourth twice that, and so on: a slow
    /// service is awaited for long, and still few calls are open at once.
    pub(crate) fn lifetime_ms(&self, calls_since_answer: u32) -> Ms {
        match self.join_ms {
            Some(join_ms) => {
                let doublings = calls_since_answer.trailing_zeros().min(MAX_DOUBLINGS);
                join_ms * LIFETIME_IN_JOINS * f64::from(1_u32 << doublings)
            }
            None => SHARED_SERVICE_ANSWER_MS,
        }
    }

    /// Until when a call keeps others from being started.
    pub(crate) fn in_time_until(&self, call: &OpenCall) -> Ms {
        match self.join_ms {
            Some(join_ms) => call.moved.unwrap_or(call.started + call.wait_ms) + join_ms,
            None => Ms::INFINITY,
        }
    }

    /// When a call is dropped.
    pub(crate) fn expires(&self, call: &OpenCall) -> Ms {
        let silent_until = call.started + call.wait_ms + call.lifetime_ms;
        match (self.join_ms, call.moved) {
            (Some(join_ms), Some(moved)) => {
                let stalled = moved + join_ms * LIFETIME_IN_JOINS;
                silent_until.max(stalled).min(call.started + MAX_TRANSFER_MS)
            }
            (None, _) if call.wait_ms == 0.0 => call.started + SHARED_SERVICE_LIST_MS,
            _ => silent_until,
        }
    }
}
