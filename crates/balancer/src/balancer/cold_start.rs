//! The ramp of cold backends, and the budget of requests that may be sent to them.

use super::concurrency_limit::TARGET_OVERLOAD;
use super::state::{AnnouncedSenders, Balancer};
use crate::interface::Settings;

/// Requests a second that a warm backend is assumed to serve for all nodes together, before anything is known
/// of one.
const INITIAL_WARM_RATE_PER_S: f64 = 15.0;
/// Work of a request at a backend that knows no key, relative to its work at a warm one.
const COLD_KEY_WORK: f64 = 2.0;

/// Part of its capacity that a cold backend has now, by the slowest ramp that the settings allow.
pub(super) fn capacity_part(settings: &Settings, age_ms: f64) -> f64 {
    if age_ms >= settings.cold_ms {
        return 1.0;
    }
    let start = settings.start_capacity.clamp(0.01, 1.0);
    start + (1.0 - start) * (age_ms / settings.cold_ms).clamp(0.0, 1.0)
}

impl Balancer {
    /// Where all backends are cold, the rate is found by trying: it starts at one request a second for each
    /// backend, over all nodes, doubles in half a second while the allowed rate is used, and halves in a
    /// second of overload.
    pub(super) fn adapt_rate_without_warm_backends(&mut self, now: f64, seconds: f64) {
        let allowed: f64 = (0..self.backends.len()).map(|index| self.cold_rate_per_s(now, index)).sum();
        let admission = &self.admission;
        let all_worth = admission.good_worth + admission.overloaded_worth;
        let overloaded =
            admission.overloaded_worth > TARGET_OVERLOAD * all_worth || self.failure_rate > TARGET_OVERLOAD;
        let used = allowed > 0.0 && admission.served_per_s >= 0.25 * allowed;
        let doublings_per_s = if overloaded {
            -1.0
        } else if used {
            2.0
        } else {
            0.0
        };
        let initial = INITIAL_WARM_RATE_PER_S / f64::from(self.settings.instances);
        let factor: f64 = (doublings_per_s * seconds.min(1.0)).exp2();
        self.warm_rate_per_s = (self.warm_rate_per_s * factor).max(initial);
    }

    /// Number of nodes that may be sending to cold backends, this one included: as announced, or else all;
    /// 0 if this node may not send to them.
    fn senders(&self, now: f64) -> f64 {
        let AnnouncedSenders { nodes, until_ms } = self.announced_senders;
        f64::from(if now < until_ms { nodes } else { self.settings.instances })
    }

    /// The remaining nodes receive the traffic of those that have gone, and the rate for cold backends is
    /// scaled at once rather than when that traffic arrives: by a factor of two at most for one announcement,
    /// which cold backends can bear.
    pub(super) fn on_senders(&mut self, nodes: u32, until_ms: f64) {
        let (before, after) = (f64::from(self.announced_senders.nodes), f64::from(nodes));
        if before > 0.0 && after > 0.0 {
            self.warm_rate_per_s *= (before / after).clamp(0.5, 2.0);
        }
        self.announced_senders = AnnouncedSenders { nodes, until_ms };
    }

    /// Requests a second that this node may send to a cold backend. All nodes together may send
    /// `fall_multiple` times its present capacity. The budget leaves room for chance: the mean plus three
    /// standard deviations stays below it.
    pub(super) fn cold_rate_per_s(&self, now: f64, index: usize) -> f64 {
        let part = capacity_part(&self.settings, now - self.backends[index].cold_since_ms);
        let window_s = self.settings.fall_ms / 1000.0;
        let nodes = self.senders(now);
        let budget =
            self.settings.fall_multiple * part * self.warm_rate_per_s * nodes * window_s / COLD_KEY_WORK;
        let root = ((18.0 + 4.0 * budget).sqrt() - 18.0_f64.sqrt()) / 2.0;
        (root * root / window_s / nodes.max(1.0)).min(part * self.warm_rate_per_s)
    }
}
