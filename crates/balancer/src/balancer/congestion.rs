//! Congested backends: the failures that lead there, and the trials that end it.

use super::state::Balancer;
use crate::interface::{Action, BackendId, Outcome, RequestId};

impl Balancer {
    /// Counts an attempt in a backend's failure record, which may make the backend congested.
    pub(super) fn record_attempt(&mut self, now: f64, index: usize, failed: bool, out: &mut Vec<Action>) {
        let window_ms = self.failure_window_ms();
        let record = &mut self.backends[index].record;
        record.record(now, window_ms, failed);
        if !failed {
            return;
        }
        let (failures, attempts) = (record.failures(), record.attempts());
        // The threshold (M of the specification) grows with traffic and with the failures of the whole fleet,
        // since a shared failure says little about one backend.
        let max_failures = 1.0 + attempts * (0.25 + 3.0 * self.failure_rate);
        // A backend that has just fallen silent has a window full of old answers. A run of failures that
        // chance would bring once in two hundred cases trips it too.
        let max_run = 1.0 + 0.005_f64.ln() / self.failure_rate.clamp(0.02, 0.95).ln();
        let too_many = failures > max_failures || f64::from(record.consecutive_failures) > max_run;
        if record.congested || !too_many {
            return;
        }
        let pause_ms = self.trial_pause_ms(0);
        let backend = &mut self.backends[index];
        backend.record.congested = true;
        backend.record.prat_ms = now + pause_ms;
        let id = backend.id.0;
        let text = format!(
            "congested {id:016x}: {failures} of {attempts} recent attempts failed, \
             next trial in {pause_ms:.0} ms"
        );
        self.log(text, out);
    }

    pub(super) fn on_probe_ended(
        &mut self,
        now: f64,
        backend: BackendId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(index) = self.find(backend) else { return };
        if self.backends[index].record.trial_in_flight {
            self.conclude_trial(now, index, outcome == Outcome::Done, out);
        }
    }

    pub(super) fn on_trial_ended(
        &mut self,
        now: f64,
        index: usize,
        id: RequestId,
        outcome: Outcome,
        whole: bool,
        out: &mut Vec<Action>,
    ) {
        let pause_ms = self.trial_pause_ms(0);
        let record = &mut self.backends[index].record;
        if matches!(outcome, Outcome::Cancelled | Outcome::Skipped) {
            // An attempt that was called off tells nothing.
            record.trial_in_flight = false;
        } else if !whole {
            // An answer that has only started shows nothing yet. If it takes long, another trial follows.
            record.trial_in_flight = false;
            record.prat_ms = now + pause_ms;
            record.streaming_trial = Some(id);
        } else {
            // Any answer at all shows that the backend can be reached.
            let answered = matches!(outcome, Outcome::Done | Outcome::Error | Outcome::Full);
            self.conclude_trial(now, index, answered, out);
        }
    }

    /// Handles the end of an answer that had started: it decides the latest trial if it was that; otherwise
    /// an answer that was cut short counts as a failure.
    pub(super) fn on_stream_ended(
        &mut self,
        now: f64,
        id: RequestId,
        backend: BackendId,
        whole: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(index) = self.find(backend) else { return };
        let record = &mut self.backends[index].record;
        if record.streaming_trial.take_if(|trial| *trial == id).is_some() {
            self.conclude_trial(now, index, whole, out);
        } else if !whole {
            self.record_attempt(now, index, true, out);
        }
    }

    fn conclude_trial(&mut self, now: f64, index: usize, success: bool, out: &mut Vec<Action>) {
        let failed_trials = self.backends[index].record.failed_trials;
        let pause_ms = self.trial_pause_ms(failed_trials + 1);
        let backend = &mut self.backends[index];
        backend.record.trial_in_flight = false;
        if !success {
            backend.record.failed_trials += 1;
            backend.record.prat_ms = now + pause_ms;
            return;
        }
        // A backend that was silent for longer than one trial may have restarted before the list says so: it
        // counts as cold.
        if failed_trials > 0 {
            backend.cold_since_ms = now;
            backend.cold_tokens = self.rng.f64();
        }
        backend.record.reset();
        let text =
            format!("live {:016x}: trial succeeded after {failed_trials} failed trials", backend.id.0);
        self.log(text, out);
    }
}
