//! The life of a request: arrival, attempts, second copies and the answer.

use super::backend::Backend;
use super::class_stats::MIN_SAMPLES;
use super::key_counts::mix;
use super::open_request::{Attempt, OpenRequest, never_ran};
use super::outcomes::AttemptResult;
use super::state::Balancer;
use super::timers::SECOND_COPY_TIMER_BASE;
use crate::interface::{Action, Effect, Event, Group, Outcome, Request, RequestId, RouteValues};

impl Balancer {
    pub(super) fn on_request(&mut self, now: f64, request: Request, out: &mut Vec<Action>) {
        let allowed_ms = (request.deadline_ms - now).max(0.0);
        let class = self.settings.classes.get(request.class);
        let (objective_ms, deadline_ms) =
            class.map_or((allowed_ms, allowed_ms), |c| (c.objective_ms, c.deadline_ms));
        let (mut worth, late_worth) = class.map_or((1.0, 0.0), |c| (c.worth, c.late_worth));
        let mut age_ms = 0.0;
        if let Some(stats) = self.class_stats.get_mut(request.class) {
            // A client in a hurry looks like one at its last try. Where a late answer still has worth, the
            // client gets the benefit of the doubt: when such clients counted as old, all of them were shed
            // even without overload.
            let marked_retry = self.settings.marks_retry.then_some(request.retry);
            age_ms = if late_worth > 0.0 {
                0.0
            } else {
                stats.estimate_age_ms(allowed_ms, deadline_ms, marked_retry)
            };
            stats.requests += if age_ms > 0.0 { 0.0 } else { 1.0 };
        }
        let first_try = age_ms == 0.0 && !request.retry;
        let over_share = self.is_over_share(request.tenant, first_try);
        let past_objective = age_ms >= objective_ms;
        if over_share {
            worth *= self.settings.over_share_worth;
        }
        if past_objective {
            worth *= late_worth;
        }
        let admitted = self.admit(&request, worth, over_share || past_objective);
        if let Some(key) = request.key {
            self.key_counts.record(mix(key));
        }
        self.admission.retry_tokens = (self.admission.retry_tokens + 0.1).min(10.0);
        self.admission.spill_tokens = (self.admission.spill_tokens + 0.02).min(10.0);
        let id = request.id;
        let objective_at_ms = now + (objective_ms - age_ms).max(0.0);
        let attempts = Vec::new();
        let open =
            OpenRequest { request, arrived_ms: now, objective_at_ms, worth, finished: false, attempts };
        self.open_requests.insert(id, open);
        if admitted {
            self.send_attempt(now, id, out);
        } else {
            self.answer(now, id, out);
        }
    }

    /// Sends an attempt, or answers when there is no backend to send it to.
    fn send_attempt(&mut self, now: f64, id: RequestId, out: &mut Vec<Action>) {
        let Some(index) = self.select_backend(now, id) else {
            // A request that finds all backends blocked is a sign of overload too: admission must shed the
            // work of least worth, not whatever meets a blocked backend. It counts as far as backends are
            // blocked at large, since the two candidates of a hot key say nothing about the fleet.
            let worth = self.open_requests.get(&id).map_or(0.0, |o| o.worth);
            self.admission.overloaded_worth += worth * self.admission.blocked_share;
            self.admission.outcomes += self.admission.blocked_share;
            return self.answer(now, id, out);
        };
        let Some(timeout_ms) = self.attempt_timeout_ms(now, id, index) else { return };
        if timeout_ms < self.settings.tick_ms {
            return self.answer(now, id, out);
        }
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        let backend = &mut self.backends[index];
        backend.in_flight += 1;
        self.in_flight += 1;
        let is_trial = backend.record.congested;
        backend.record.trial_in_flight |= is_trial;
        if backend.is_cold(now, &self.settings) {
            backend.cold_tokens -= 1.0;
        }
        open.attempts.push(Attempt {
            backend: backend.id,
            zone: backend.zone,
            cell: backend.cell,
            sent_ms: now,
            timeout_ms,
            in_flight: true,
            never_ran: false,
            is_trial,
        });
        out.push(Action::Send { id, backend: backend.id, timeout_ms });
        let route =
            self.settings.classes.get(open.request.class).map_or_else(RouteValues::default, |c| c.route);
        if open.attempts.len() == 1 && route.second_copy_ms < timeout_ms {
            let token = SECOND_COPY_TIMER_BASE + id.0;
            out.push(Action::Timer { token, at_ms: now + route.second_copy_ms });
        }
    }

    /// How long an attempt at this backend may take (n of the specification); none for an unknown request.
    fn attempt_timeout_ms(&self, now: f64, id: RequestId, index: usize) -> Option<f64> {
        let open = self.open_requests.get(&id)?;
        let class = self.settings.classes.get(open.request.class);
        let route = class.map_or_else(RouteValues::default, |c| c.route);
        let late_worth = class.is_some_and(|c| c.late_worth > 0.0);
        let useful_until_ms = if late_worth && self.admission.level > 0.95 {
            open.request.deadline_ms
        } else {
            open.objective_at_ms
        };
        // An attempt that is still on its way when the backends forget its key would run twice: it is given
        // up one batch earlier.
        let key_ttl_ms = class.filter(|c| c.effect != Effect::Safe).map_or(f64::INFINITY, |c| c.key_ttl_ms);
        let first_sent_ms = open.first_possibly_executed().map_or(f64::INFINITY, |a| a.sent_ms);
        let until_ms = useful_until_ms.min(first_sent_ms + key_ttl_ms - self.settings.tick_ms);
        let timeout_ms = (until_ms.min(open.request.deadline_ms) - now).min(route.attempt_timeout_ms);
        // The time-out is short where the backend is in doubt and a repeat is allowed, so that a silent
        // backend costs little.
        let record = &self.backends[index].record;
        let in_doubt = (record.congested || record.consecutive_failures > 0)
            && self.is_repeatable(open.request.class)
            && self.admission.retry_tokens >= 1.0;
        let known = self.class_stats.get(open.request.class).filter(|stats| stats.samples >= MIN_SAMPLES);
        match known {
            Some(stats) if in_doubt => {
                let usual_ms = (stats.mean_ms + 4.0 * stats.deviation_ms).max(2.0 * self.settings.tick_ms);
                Some(timeout_ms.min(usual_ms))
            }
            _ => Some(timeout_ms),
        }
    }

    /// Sends a second attempt while the first is in flight, for the slow few. Where the mean answer takes as
    /// long, a copy would only add load.
    pub(super) fn send_second_copy(&mut self, now: f64, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get(&id) else { return };
        if open.attempts.len() != 1 || open.finished {
            return;
        }
        let mean_ms = self.class_stats.get(open.request.class).map_or(0.0, |stats| stats.mean_ms);
        let is_slow = mean_ms < now - open.arrived_ms;
        if open.attempts[0].in_flight && is_slow && self.admission.retry_tokens >= 1.0 {
            self.admission.retry_tokens -= 1.0;
            self.send_attempt(now, id, out);
        }
    }

    /// Answers a request that has no attempt in flight: refused if trying again does no harm, else failed.
    /// Every refusal passes through here.
    fn answer(&mut self, now: f64, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get(&id) else { return };
        if open.finished || open.has_attempt_in_flight() {
            return;
        }
        let effect = self.settings.classes.get(open.request.class).map_or(Effect::Unsafe, |c| c.effect);
        let retry_is_harmless =
            open.never_ran() || matches!(effect, Effect::Safe | Effect::Keyed(Group::All));
        let objective_ms = (open.objective_at_ms - open.arrived_ms).max(1.0);
        self.open_requests.remove(&id);
        if !retry_is_harmless {
            out.push(Action::Fail(id));
            return;
        }
        let retry_after_ms =
            if self.settings.retry_after { self.client_retry_ms(now, objective_ms) } else { 0.0 };
        out.push(Action::Refuse { id, retry_after_ms });
    }

    /// How long the client should wait before it tries again (CRAT of the specification): until the earliest
    /// PRAT if every backend is congested, plus T and a random part of T. T is a quarter of the objective: a
    /// client that comes back by then can still be served within it.
    fn client_retry_ms(&mut self, now: f64, objective_ms: f64) -> f64 {
        let resumes_ms = |b: &Backend| if b.record.congested { b.record.prat_ms } else { now };
        let up = self.backends.iter().filter(|b| b.up);
        let earliest_ms = up.map(resumes_ms).fold(f64::INFINITY, f64::min);
        let wait_ms = if earliest_ms.is_finite() { (earliest_ms - now).max(0.0) } else { 0.0 };
        let max_retry_after_ms = self.settings.max_retry_after_ms;
        let delay_ms = (objective_ms / 4.0).min(max_retry_after_ms / 2.0);
        (wait_ms + delay_ms * (1.0 + self.rng.f64())).min(max_retry_after_ms)
    }

    /// Ends a request that nobody waits for any more, and cancels its attempts in flight if that is allowed.
    pub(super) fn on_client_left(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        open.finished = true;
        if self.settings.may_cancel {
            let in_flight = open.attempts.iter().enumerate().filter(|(_, a)| a.in_flight);
            out.extend(in_flight.map(|(number, _)| Action::Cancel { id, attempt: number as u32 }));
        }
        if !open.has_attempt_in_flight() {
            self.open_requests.remove(&id);
        }
    }

    /// Takes an attempt out of the in-flight counts while its body is still being uploaded, and puts it back
    /// afterwards. The pace of the client decides how long the upload takes, and other requests may use the
    /// room meanwhile. After the upload the request counts as if it had arrived then. Many uploads that end
    /// at once exceed the limit.
    pub(super) fn on_upload(&mut self, id: RequestId, attempt: u32, took_ms: Option<f64>) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.get(attempt as usize).filter(|a| a.in_flight) else { return };
        let backend = attempt.backend;
        let upload_ms = took_ms.unwrap_or(0.0);
        open.arrived_ms += upload_ms;
        open.objective_at_ms += upload_ms;
        let uploaded = took_ms.is_some();
        let adjust = |count: u32| if uploaded { count + 1 } else { count.saturating_sub(1) };
        self.in_flight = adjust(self.in_flight);
        if let Some(index) = self.find(backend) {
            self.backends[index].in_flight = adjust(self.backends[index].in_flight);
        }
    }

    pub(super) fn on_attempt_ended(&mut self, now: f64, event: &Event, out: &mut Vec<Action>) {
        let &Event::AttemptEnded { id, attempt, outcome, last, whole, elapsed_ms, load, .. } = event else {
            return;
        };
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.get_mut(attempt as usize).filter(|a| a.in_flight) else { return };
        // A time that is not a number must not get into the statistics.
        let elapsed_ms =
            if elapsed_ms.is_finite() { elapsed_ms.max(0.0) } else { (now - attempt.sent_ms).max(0.0) };
        attempt.in_flight = false;
        attempt.never_ran = never_ran(&self.settings, outcome);
        let ended = attempt.clone();
        self.in_flight = self.in_flight.saturating_sub(1);
        open.finished |= last;
        let class = open.request.class;
        let result = AttemptResult {
            class,
            outcome,
            met_objective: outcome == Outcome::Done && now <= open.objective_at_ms,
            elapsed_ms,
            allowed_ms: open.request.deadline_ms - ended.sent_ms,
            worth: open.worth,
        };
        if let Some(index) = self.find(ended.backend) {
            self.backends[index].in_flight = self.backends[index].in_flight.saturating_sub(1);
            self.close_idle_if_down(now, index, out);
            self.update_idle_connections(now, index, outcome, out);
            self.record_reported_load(now, index, &result, &load);
            // A time-out noticed long after it was due comes from a stall of this node.
            let own_stall = elapsed_ms > ended.timeout_ms + 20.0 * self.settings.tick_ms;
            if ended.is_trial {
                self.on_trial_ended(now, index, id, outcome, whole, out);
            } else if !own_stall {
                self.learn(now, index, &result, out);
            }
        }
        if result.met_objective
            && let Some(stats) = self.class_stats.get_mut(class)
        {
            stats.served += 1.0;
        }
        let Some(open) = self.open_requests.get(&id) else { return };
        if open.finished {
            // Nobody waits for the attempts that are still in flight.
            return self.on_client_left(id, out);
        }
        if open.has_attempt_in_flight() {
            return;
        }
        // Further attempts multiply the load. Each takes from a budget, less of it where nothing ran.
        let price = if ended.never_ran { 0.25 } else { 1.0 };
        // A request that may have run and must not run twice is over. Looking for a backend for it would take
        // from the budgets of others, and would count as a fleet with all backends blocked.
        let may_repeat = self.is_repeatable(class) || open.never_ran();
        let in_time = now < open.objective_at_ms;
        let affordable = self.admission.retry_tokens >= price;
        if may_repeat && affordable && outcome != Outcome::Skipped && in_time {
            self.admission.retry_tokens -= price;
            self.send_attempt(now, id, out);
        } else {
            self.answer(now, id, out);
        }
    }
}
