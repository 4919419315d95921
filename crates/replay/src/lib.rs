//! Orderings of the explorer, played against the real binary on loopback: real clients, backends that do as the ordering
//! says, a real discovery, a fresh node each. The world of the explorer says what must be seen; what is seen is counted
//! at the stand-ins. What an ordering may be, and what must come of it, is the explorer's.

mod many;
mod play;
mod sample;
mod site;

pub use many::{Played, play_all};
pub use play::{Different, play};
pub use sample::{Ordering, from_token, sample};
