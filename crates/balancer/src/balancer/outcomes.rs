//! What the end of an attempt tells about its backend, its class and the fleet.

use super::class_stats::MIN_SAMPLES;
use super::concurrency_limit::{LimitSample, TARGET_OVERLOAD};
use super::fading_value::FadingValue;
use super::state::Balancer;
use crate::interface::{Action, Load, Outcome, Reporting};

/// How an attempt ended.
pub(super) struct AttemptResult {
    pub(super) class: usize,
    pub(super) outcome: Outcome,
    pub(super) met_objective: bool,
    pub(super) elapsed_ms: f64,
    /// Time that the client had left when the attempt was sent.
    pub(super) allowed_ms: f64,
    /// Worth of the request.
    pub(super) worth: f64,
}

impl Balancer {
    /// The load that a report tells, from 0 to 1: the utilization of the cores or, where only the queue is
    /// told, the work in it, of which an eighth of the objective counts as one half.
    fn load_of_report(&self, class: usize, load: &Load) -> Option<f64> {
        let objective_ms = self.objective_ms(class);
        let requests = load.queue.or(load.in_flight);
        let queue_load = requests.zip(load.latency_ms).map(|(requests, latency_ms)| {
            requests * latency_ms / (requests * latency_ms + objective_ms / 8.0)
        });
        load.utilization.or(queue_load).map(|value| value.clamp(0.0, 1.0))
    }

    pub(super) fn record_reported_load(
        &mut self,
        now: f64,
        index: usize,
        result: &AttemptResult,
        load: &Load,
    ) {
        // A backend that fails or refuses fast looks idle: its failures count as full load.
        let sample = match result.outcome {
            Outcome::Done => self.load_of_report(result.class, load),
            Outcome::Cancelled | Outcome::Skipped => None,
            _ if self.settings.reporting == Reporting::None => None,
            _ => Some(1.0),
        };
        let Some(sample) = sample else { return };
        // A report that follows another closely counts less, since it repeats the same moment's noise.
        let reported = &mut self.backends[index].reported_load;
        let step = 1.0 - 0.7 * (-(now - reported.updated_ms) / 1000.0).exp();
        reported.update(now, self.mean_load, sample, step);
        self.mean_load += 0.05 * (sample - self.mean_load);
    }

    /// Updates what is known of the backend, of the class and of the fleet by the end of an attempt.
    pub(super) fn learn(&mut self, now: f64, index: usize, result: &AttemptResult, out: &mut Vec<Action>) {
        let &AttemptResult { class, outcome, met_objective, elapsed_ms, .. } = result;
        // Decided before this outcome changes the statistics.
        let hurried = self.is_hurried(result);
        self.report_to_peers(now, index, outcome, out);
        // Time-outs count as answers that took at least that long: without them the time-out of attempts
        // would become ever shorter.
        if matches!(outcome, Outcome::Done | Outcome::TimedOut)
            && !hurried
            && let Some(stats) = self.class_stats.get_mut(class)
        {
            stats.record_answer(elapsed_ms);
            self.backends[index].record_slowness(now, elapsed_ms, stats.mean_ms);
        }
        match outcome {
            Outcome::Done => {
                if !self.backends[index].is_cold(now, &self.settings) {
                    self.warm_served_since_tick += 1.0;
                }
                self.admission.served_since_tick += 1.0;
            }
            // A cancelled attempt, or an answer garbled on its way, tells nothing about load.
            Outcome::Cancelled | Outcome::Skipped | Outcome::Error => return,
            _ => {}
        }
        // A failed connection concerns no class.
        let is_connection_failure = matches!(outcome, Outcome::NotConnected | Outcome::Reset);
        if !is_connection_failure && self.record_class_outcome(now, index, class, met_objective) {
            return;
        }
        if hurried && outcome == Outcome::TimedOut {
            return;
        }
        self.record_overload(now, index, result);
        let failed = outcome == Outcome::TimedOut || is_connection_failure;
        self.failure_rate += 0.02 * (f64::from(u8::from(failed)) - self.failure_rate);
        if outcome != Outcome::Full {
            self.record_attempt(now, index, failed, out);
        }
    }

    /// Whether the client allowed so little time that a time-out tells nothing about the backend. If these
    /// counted as failures, many of them would close backends, and admission for all. A silent backend shows
    /// by the clients that wait longer; it goes unnoticed where none do.
    fn is_hurried(&self, result: &AttemptResult) -> bool {
        let allowed_ms = result.allowed_ms;
        allowed_ms < self.objective_ms(result.class) / 2.0
            && self.class_stats.get(result.class).is_some_and(|stats| {
                stats.samples >= MIN_SAMPLES && allowed_ms < stats.mean_ms + 2.0 * stats.deviation_ms
            })
    }

    fn objective_ms(&self, class: usize) -> f64 {
        self.settings.classes.get(class).map_or(f64::INFINITY, |c| c.objective_ms)
    }

    /// Tells the peers about errors. Errors trip no backend here, since any backend garbles an answer now and
    /// then, but one where many nodes get them is failing.
    fn report_to_peers(&mut self, now: f64, index: usize, outcome: Outcome, out: &mut Vec<Action>) {
        if matches!(outcome, Outcome::Done | Outcome::Error) {
            let backend = self.backends[index].id.0 as u32;
            let messages =
                self.peer_reports.record_own(now, backend, outcome == Outcome::Error).into_iter();
            out.extend(messages.map(|(to, bytes)| Action::SendMessage { to: Some(to), bytes }));
        }
    }

    /// Counts an outcome for its class. Returns whether it is a failure of this class alone: what one class
    /// suffers at a backend that serves another tells nothing about the backend.
    fn record_class_outcome(&mut self, now: f64, index: usize, class: usize, met_objective: bool) -> bool {
        let Some(stats) = self.class_stats.get_mut(class) else { return false };
        let Some(failures) = self.backends[index].class_failures.get_mut(class) else { return false };
        let lost = f64::from(u8::from(!met_objective));
        failures.update(now, 0.0, lost, 0.15);
        stats.failure_rate += 0.05 * (lost - stats.failure_rate);
        if met_objective || !self.class_fails_at(now, class, index) {
            return false;
        }
        let class_failures = &self.backends[index].class_failures;
        let used_lately = |other: usize| now - class_failures[other].updated_ms < FadingValue::MEMORY_MS;
        (0..self.settings.classes.len())
            .any(|other| other != class && used_lately(other) && !self.class_fails_at(now, other, index))
    }

    /// How overloaded the fleet or the backend looks by this outcome, from 0 to 1.
    fn overload_of(&self, result: &AttemptResult) -> f64 {
        if result.outcome != Outcome::Done || !result.met_objective {
            return 1.0;
        }
        // Overload starts half-way, as ratios go, from the usual time of the class to its objective: more
        // requests in flight than that serve nobody sooner, long before the objective itself is missed.
        let objective_ms = self.objective_ms(result.class);
        let baseline_ms = self.class_stats.get(result.class).map_or(0.0, |stats| stats.baseline_p80_ms);
        let start_ms = (baseline_ms.min(0.8 * objective_ms) * objective_ms).sqrt();
        ((result.elapsed_ms - start_ms) / (objective_ms - start_ms)).clamp(0.0, 1.0)
    }

    /// Takes an outcome into the overload of the fleet and the concurrency limit of the backend.
    fn record_overload(&mut self, now: f64, index: usize, result: &AttemptResult) {
        let overload = self.overload_of(result);
        let sparsity = self.sparsity();
        let backend = &mut self.backends[index];
        // An unreachable backend tells nothing about the fleet, and neither does a full one: the request goes
        // elsewhere. But where this node has too little in flight at each backend to limit it, all of them
        // fill up before any is known to, which is overload.
        let weight = match result.outcome {
            Outcome::NotConnected | Outcome::Reset => 0.0,
            Outcome::Full => sparsity,
            _ => 1.0,
        };
        if !backend.record.congested {
            self.admission.good_worth += result.worth * (1.0 - overload) * weight;
            self.admission.overloaded_worth += result.worth * overload * weight;
            self.admission.outcomes += weight;
        }
        if result.outcome == Outcome::Reset {
            return;
        }
        // At the lowest limit all nodes together keep half a request in flight at a backend that is late, and
        // two at one that turns requests away. What goes wrong with so few comes from a fault, not from a
        // full queue, and the rest is served. This is wrong where two at once are too many for a backend.
        let min_in_flight = if result.outcome == Outcome::Full { 2.0 } else { 0.5 };
        // The limits tell backends apart: what the whole fleet suffers is left to admission.
        let fleet_overload = self.admission.overload;
        let sample = LimitSample {
            elapsed_ms: result.elapsed_ms,
            in_flight: backend.in_flight,
            overload: overload * (1.0 - fleet_overload),
            unused_reduction: 0.5 * overload * (2.0 * fleet_overload / TARGET_OVERLOAD).min(1.0),
            min_limit: min_in_flight / f64::from(self.settings.instances),
        };
        backend.concurrency.update(now, &sample);
    }
}
