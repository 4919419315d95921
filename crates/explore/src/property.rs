//! The properties that must always hold, checked against the world's record. `docs/properties.md` defines
//! them in full.

use std::fmt;

/// A property.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Property {
    /// Each accepted request gets exactly one final answer.
    SingleAnswer,
    /// The answer comes before the client gives up.
    InTime,
    /// The answer belongs to that client's own request.
    OwnAnswer,
    /// An unsafe request does not run twice, and a keyed one takes effect once.
    NoDuplicateEffect,
    /// A refused request has not run, unless repeating it is harmless.
    RefusedNeverRan,
    /// No request is first sent to a backend after the grace that follows its notice.
    DrainGrace,
    /// A connection carries one request at a time, and the next one only once the last answer is complete
    /// and the connection is quiet.
    QuietReuse,
    /// The connections of a request's attempts are closed once it is answered or its client has left.
    AttemptsClosed,
    /// Nothing is held when no event is left.
    NothingHeld,
    /// When the node stops, all accepted requests are answered at once, and nothing new is started.
    Stop,
    /// No request is first sent after its final answer, nor when part of its body is no longer buffered.
    NothingSentLate,
    /// A streamed answer is completed, unless its backend breaks off, its client leaves or the node stops.
    StreamCompletes,
    /// A trial of a held suspect is successful exactly if its answer was complete.
    TrialResult,
    /// The world could not be set up.
    Setup,
}

/// A broken property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The property.
    pub property: Property,
    /// What the record shows.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.property, self.description)
    }
}
