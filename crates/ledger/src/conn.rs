//! The state of a connection to a backend. Each state is a variant of its own, which rules out invalid
//! combinations: only an exchange has bytes written, and only an idle connection can be taken for the next
//! request.

use crate::addresses::Location;
use crate::fault::FaultContext;
use crate::interface::{AnswerProgress, RequestProgress};
use crate::timers::TimerKey;
use applemill_balancer::interface::{BackendId, Outcome, RequestId};

/// What is sent on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// An attempt of a request; attempts are numbered from 0.
    Attempt(RequestId, u32),
    /// A health probe.
    Probe,
}

/// An attempt or probe that has been assigned a connection and has not ended.
#[derive(Clone, Debug)]
pub struct Job {
    pub purpose: Purpose,
    pub backend: BackendId,
    /// The backend's process that it is sent to.
    pub location: Location,
    pub sent_ms: f64,
    /// When it times out, in milliseconds of the clock.
    pub deadline_ms: f64,
}

/// A request on a connection, and the progress of its answer.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub job: Job,
    /// The timer for the time-out.
    pub timer: TimerKey,
    /// How long the connection had been idle before; none for a new one.
    pub idle_ms: Option<f64>,
    pub written: RequestProgress,
    pub received: AnswerProgress,
    /// Set while the request's body is still coming: since when, in milliseconds. The time-out begins when
    /// its last byte has been written.
    pub upload_since_ms: Option<f64>,
    /// Backends may execute a partly received request.
    pub acts_on_partial: bool,
}

impl Exchange {
    /// The outcome when the exchange times out.
    pub fn timeout_outcome(&self) -> Outcome {
        match (self.job.purpose, self.written, self.received) {
            // A probe that was not answered in time has failed, however far it came.
            (Purpose::Probe, ..) => Outcome::TimedOut,
            _ if self.never_ran() => Outcome::NotConnected,
            (.., AnswerProgress::Nothing) => Outcome::TimedOut,
            // A backend that has sent anything is not silent.
            _ => Outcome::Error,
        }
    }

    /// The outcome when what arrived is not a valid answer.
    pub fn malformed_outcome(&self) -> Outcome {
        self.unless_never_ran(Outcome::Error)
    }

    /// The outcome when the connection breaks.
    pub fn disconnect_outcome(&self) -> Outcome {
        self.unless_never_ran(Outcome::Reset)
    }

    fn unless_never_ran(&self, outcome: Outcome) -> Outcome {
        if self.job.purpose != Purpose::Probe && self.never_ran() { Outcome::NotConnected } else { outcome }
    }

    /// Whether the request certainly did not run: nothing was written, or only a part that the backend does
    /// not act on. A backend that has sent any part of an answer has acted.
    fn never_ran(&self) -> bool {
        match self.written {
            RequestProgress::Nothing => true,
            RequestProgress::Partial => !self.acts_on_partial && self.received == AnswerProgress::Nothing,
            RequestProgress::Complete => false,
        }
    }
}

/// An answer whose body is still being passed on to the client.
#[derive(Clone, Debug)]
pub struct StreamingAnswer {
    pub id: RequestId,
    pub backend: BackendId,
    /// The backend's process that sends it.
    pub location: Location,
    pub fault_context: FaultContext,
}

/// A connection that is open or being opened. A closed connection has no state, and events on it are
/// ignored.
#[derive(Clone, Debug)]
pub enum Conn {
    /// Waiting for a file descriptor, until the timer.
    AwaitingDescriptor(Job, TimerKey),
    /// Connecting, until the timer.
    Dialling(Job, TimerKey),
    /// Carrying a request.
    InExchange(Exchange),
    /// Receiving the body of an answer that was handed to the client with its head: nothing is owed to the
    /// client for it any more.
    Streaming(StreamingAnswer),
    /// Idle after a complete answer, kept for another request.
    Idle(BackendId),
}

impl Conn {
    /// The attempt or probe on the connection, if there is one.
    pub fn job(&self) -> Option<&Job> {
        match self {
            Conn::AwaitingDescriptor(job, _) | Conn::Dialling(job, _) => Some(job),
            Conn::InExchange(exchange) => Some(&exchange.job),
            Conn::Streaming(..) | Conn::Idle(_) => None,
        }
    }

    /// Takes out the attempt or probe with its timer.
    pub fn into_job(self) -> Option<(Job, TimerKey)> {
        match self {
            Conn::AwaitingDescriptor(job, timer) | Conn::Dialling(job, timer) => Some((job, timer)),
            Conn::InExchange(Exchange { job, timer, .. }) => Some((job, timer)),
            Conn::Streaming(..) | Conn::Idle(_) => None,
        }
    }

    /// Whether nothing of a request has been written: such a request can be called off as one that never
    /// ran.
    pub fn is_unwritten(&self) -> bool {
        match self {
            Conn::AwaitingDescriptor(..) | Conn::Dialling(..) => true,
            Conn::InExchange(exchange) => exchange.written == RequestProgress::Nothing,
            Conn::Streaming(..) | Conn::Idle(_) => false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    // Imported relative to this module, not to the crate root: `applemill-mutants` includes this file in
    // nested modules.
    use super::super::timers::Timers;

    #[test]
    fn outcome_of_a_failed_exchange_depends_on_purpose_and_progress() {
        let attempt = Purpose::Attempt(RequestId(1), 1);
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let location = Location { address, zone: None, cell: None, ready_at_ms: 0.0 };
        let timer = Timers::<()>::new().set(0.0, ());
        let outcomes = |purpose, written, received, acts_on_partial| {
            let job = Job { purpose, backend: BackendId(1), location, sent_ms: 0.0, deadline_ms: 1.0 };
            let e = Exchange {
                job,
                timer,
                idle_ms: None,
                written,
                received,
                upload_since_ms: None,
                acts_on_partial,
            };
            [e.timeout_outcome(), e.malformed_outcome(), e.disconnect_outcome()]
        };
        let (nothing, started) = (AnswerProgress::Nothing, AnswerProgress::Started);
        let never_ran = [Outcome::NotConnected; 3];
        let silent = [Outcome::TimedOut, Outcome::Error, Outcome::Reset];
        let answered = [Outcome::Error, Outcome::Error, Outcome::Reset];
        for (purpose, written, received, acts_on_partial, expected) in [
            (attempt, RequestProgress::Nothing, nothing, true, never_ran),
            (attempt, RequestProgress::Nothing, started, true, never_ran),
            (attempt, RequestProgress::Partial, nothing, false, never_ran),
            (attempt, RequestProgress::Partial, nothing, true, silent),
            (attempt, RequestProgress::Partial, started, false, answered),
            (attempt, RequestProgress::Complete, nothing, false, silent),
            (attempt, RequestProgress::Complete, started, false, answered),
            // A probe times out regardless of its progress, and a broken connection counts as a reset.
            (Purpose::Probe, RequestProgress::Nothing, nothing, true, silent),
            (Purpose::Probe, RequestProgress::Partial, nothing, false, silent),
            (Purpose::Probe, RequestProgress::Complete, started, true, silent),
        ] {
            assert_eq!(
                outcomes(purpose, written, received, acts_on_partial),
                expected,
                "{purpose:?} {written:?} {received:?} {acts_on_partial}"
            );
        }
    }
}
