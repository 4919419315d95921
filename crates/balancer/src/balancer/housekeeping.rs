//! The periodic work: rates, budgets, admission, and probes that are due.

use super::backend::Backend;
use super::state::{Balancer, MAX_WARM_RATE_WINDOW_S};
use super::timers::TICK_TIMER;
use crate::interface::Action;

impl Balancer {
    pub(super) fn on_tick(&mut self, now: f64, out: &mut Vec<Action>) {
        let seconds = ((now - self.last_tick_ms) / 1000.0).max(1e-3);
        self.last_tick_ms = now;
        out.push(Action::Timer { token: TICK_TIMER, at_ms: now + self.tick_interval_ms() });
        self.update_warm_rate(now, seconds);
        self.refill_cold_tokens(now, seconds);
        self.key_counts.fade(seconds);
        self.rebuild_hash_entries(now);
        self.update_blocked_share(now);
        self.update_admission(seconds);
        let closing = self.backends.iter().filter(|b| now < b.close_idle_until_ms);
        out.extend(closing.map(|b| Action::CloseIdle(b.id)));
        self.send_due_probes(now, out);
    }

    /// Updates the rate at which this node is served by a warm backend, on which the budget for cold backends
    /// is based.
    fn update_warm_rate(&mut self, now: f64, seconds: f64) {
        let is_warm = |b: &&Backend| b.up && !b.record.congested && !b.is_cold(now, &self.settings);
        let warm = self.backends.iter().filter(is_warm).count();
        if warm > 0 {
            let rate = self.warm_served_since_tick / seconds / warm as f64;
            // The mean is over five seconds, or over the time since the first request served if that is less.
            let window_s =
                if rate + self.warm_rate_per_s > 0.0 { self.warm_rate_window_s + seconds } else { 0.0 };
            self.warm_rate_window_s = window_s.min(MAX_WARM_RATE_WINDOW_S);
            self.warm_rate_per_s +=
                (rate - self.warm_rate_per_s) * (seconds / self.warm_rate_window_s).min(1.0);
        } else {
            self.warm_rate_window_s = MAX_WARM_RATE_WINDOW_S;
            self.adapt_rate_without_warm_backends(now, seconds);
        }
        self.warm_served_since_tick = 0.0;
    }

    fn refill_cold_tokens(&mut self, now: f64, seconds: f64) {
        for index in 0..self.backends.len() {
            let refill = self.cold_rate_per_s(now, index) * seconds.min(self.tick_interval_ms() / 1000.0);
            let backend = &mut self.backends[index];
            backend.cold_tokens = (backend.cold_tokens + refill).min(refill.max(1.0));
        }
    }

    fn update_blocked_share(&mut self, now: f64) {
        let up = self.backends.iter().filter(|b| b.up).count().max(1) as f64;
        let is_blocked =
            |b: &&Backend| b.up && (b.record.congested || b.concurrency.blocks(now, b.in_flight));
        self.admission.blocked_share = self.backends.iter().filter(is_blocked).count() as f64 / up;
    }

    /// Sends a probe as a trial to each backend past its PRAT, one at a time.
    fn send_due_probes(&mut self, now: f64, out: &mut Vec<Action>) {
        if !self.settings.probes || !self.has_valid_list(now) {
            return;
        }
        for backend in self.backends.iter_mut().filter(|b| b.up && b.record.trial_due(now)) {
            backend.record.trial_in_flight = true;
            out.push(Action::Probe(backend.id));
        }
    }
}
