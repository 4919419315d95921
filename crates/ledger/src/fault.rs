//! Fault attribution: reports the results of attempts to the blame, and passes its verdicts to the
//! decisions.

use crate::conn::StreamingAnswer;
use crate::interface::OperatorCommand;
use crate::ledger::Ledger;
use applemill_balancer::interface::{BackendId, Event, Outcome, RequestId};
use applemill_blame::{
    Admission, AttemptResult, Attribution, Change, DisplayName, Evidence, RequestTraits, TrialToken,
};
use std::rc::Rc;

/// What a request's result is evidence of, and its trial token if the request is a trial.
#[derive(Clone, Debug, Default)]
pub struct FaultContext {
    pub traits: Option<Rc<RequestTraits>>,
    pub trial_token: Option<TrialToken>,
    /// The request is likely to fail by itself: it gets one attempt and is not used to try a congested
    /// backend.
    pub doubtful: bool,
}

impl<O, C: Clone> Ledger<O, C> {
    /// Whether a request may proceed. The error is the time in milliseconds after which a refused client
    /// should retry.
    pub(crate) fn admit(&mut self, traits: Option<Rc<RequestTraits>>) -> Result<FaultContext, f64> {
        let (Some(blame), Some(known_traits)) = (&mut self.blame, &traits) else {
            return Ok(FaultContext { traits, ..FaultContext::default() });
        };
        match blame.admit(self.now, known_traits) {
            Admission::Allowed => Ok(FaultContext { traits, ..FaultContext::default() }),
            Admission::AllowedDoubtful => Ok(FaultContext { traits, trial_token: None, doubtful: true }),
            Admission::Trial(trial_token) => {
                Ok(FaultContext { traits, trial_token: Some(trial_token), doubtful: true })
            }
            Admission::Refused { after_ms } => Err(after_ms),
        }
    }

    /// Reports an ended attempt to the blame, and returns the outcome that the decisions get: the real one,
    /// or one that says nothing about the backend.
    pub(crate) fn evidence(&mut self, id: RequestId, backend: BackendId, outcome: Outcome) -> Outcome {
        let result = match outcome {
            Outcome::Done => AttemptResult::Success,
            Outcome::Error => AttemptResult::Error,
            Outcome::Reset => AttemptResult::Disconnected,
            Outcome::TimedOut => AttemptResult::TimedOut,
            // In these cases nothing ran, or the node itself called the attempt off.
            Outcome::Full | Outcome::NotConnected | Outcome::Cancelled | Outcome::Skipped => {
                return outcome;
            }
        };
        let fault_context = self.open.get(&id).map(|o| o.fault_context.clone()).unwrap_or_default();
        let attribution = self.report_end(&fault_context, backend, Some(result));
        if let Some(open) = self.open.get_mut(&id) {
            open.fault_context.trial_token = None;
        }
        match attribution {
            Attribution::Server => outcome,
            // `Cancelled` means that it may have run and says nothing else.
            Attribution::Unrelated => Outcome::Cancelled,
            // The backend is at fault for requests of this class only. An error or a reset would count
            // against its connections, which are not specific to a class.
            Attribution::WorkAtServer => Outcome::TimedOut,
        }
    }

    /// A streamed answer has ended. `result` is none if the reader did not want the rest.
    pub(crate) fn stream_ended(&mut self, stream: &StreamingAnswer, result: Option<AttemptResult>) {
        let attribution = self.report_end(&stream.fault_context, stream.backend, result);
        let (id, backend) = (stream.id, stream.backend);
        if let Some(result) = result.filter(|_| attribution == Attribution::Server) {
            self.events.push_back(Event::StreamEnded {
                id,
                backend,
                whole: result == AttemptResult::Success,
            });
        }
    }

    fn report_end(
        &mut self,
        fault_context: &FaultContext,
        backend: BackendId,
        result: Option<AttemptResult>,
    ) -> Attribution {
        let mut attribution = Attribution::Server;
        let Some(blame) = &mut self.blame else { return attribution };
        if let (Some(traits), Some(result)) = (&fault_context.traits, result) {
            attribution = blame.ended(self.now, traits, backend.0, result);
        }
        if let Some(trial_token) = fault_context.trial_token {
            blame.trial_ended(self.now, trial_token, result.map(|r| r == AttemptResult::Success));
        }
        self.publish_changes();
        attribution
    }

    /// Moves the fault context out of a request, to the streamed answer that continues it.
    pub(crate) fn take_fault_context(&mut self, id: RequestId) -> FaultContext {
        self.open.get_mut(&id).map(|o| std::mem::take(&mut o.fault_context)).unwrap_or_default()
    }

    /// Ends the trial of a finished request without a result, which allows the next trial.
    pub(crate) fn release_trial(&mut self, fault_context: &FaultContext) {
        if let (Some(blame), Some(trial_token)) = (&mut self.blame, fault_context.trial_token) {
            blame.trial_ended(self.now, trial_token, None);
        }
    }

    /// Carries out an operator's command.
    pub(crate) fn apply_command(&mut self, command: OperatorCommand) {
        let Some(blame) = &mut self.blame else { return };
        match command {
            OperatorCommand::Hold(suspect, text) => blame.hold_by_operator(self.now, suspect, text),
            OperatorCommand::Release(suspect) => drop(blame.release_by_operator(self.now, suspect)),
        }
        self.publish_changes();
    }

    /// Passes changed verdicts on: the decisions reset the failure records of servers that had counted
    /// failures now blamed on something else, and each change is logged.
    fn publish_changes(&mut self) {
        let Some(blame) = &mut self.blame else { return };
        for change in blame.changes() {
            if let Change::Blamed { servers, .. } = &change {
                self.events.extend(servers.iter().map(|s| Event::ResetFailures(BackendId(*s))));
            }
            self.log_lines.push(change_line(&change));
        }
    }
}

/// The log line for a changed verdict, with the figures that led to it.
fn change_line(change: &Change) -> String {
    match change {
        Change::Blamed { suspect, text, evidence, held, servers: _ } => {
            let Evidence { tries, failures, rest_tries, rest_failures } = evidence;
            format!(
                "at fault: {} {}: {failures:.1} of {tries:.1} attempts failed, of all others {rest_failures:.1} of \
                 {rest_tries:.1}; {}",
                suspect.kind,
                printable_name(text, suspect.id),
                if *held { "held to trials" } else { "not counted against servers" }
            )
        }
        Change::Cleared { suspect, text, trials, refused } => format!(
            "no longer at fault: {} {}, after {trials} trials and {refused} refusals",
            suspect.kind,
            printable_name(text, suspect.id)
        ),
    }
}

/// A name, escaped for the log, as it may come from an untrusted client; the id if there is no name.
fn printable_name(text: &DisplayName, id: u64) -> String {
    match text {
        Some(text) => text.escape_default().to_string(),
        None => format!("{id:016x}"),
    }
}
