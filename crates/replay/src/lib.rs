//! Replays orderings of the explorer against the real binary on loopback: real clients, stand-in backends
//! that follow the ordering, a real discovery service and a fresh node for each ordering. The explorer's
//! world determines what must be observed, and the stand-ins count what is observed. Which orderings exist,
//! and what must come of them, is defined by the explorer.

mod environment;
mod many;
mod play;
mod sample;

pub use many::{Played, play_all};
pub use play::{ReplayError, play};
pub use sample::{Ordering, from_token, sample};
