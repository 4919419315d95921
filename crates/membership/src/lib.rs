//! Which nodes of a fleet may be sending to a server that must not be pushed over, found out by datagrams that may be lost,
//! late, repeated or reordered. Every node that is configured counts, unless it was proven absent a short while ago; silence
//! proves nothing. No I/O and no clock: datagrams, refusals, time and draws are handed in. What a count is used for is the
//! decisions' (`birchspoke`); sockets are others'.

mod fleet;
mod handed;
mod terms;
mod wire;
mod words;

pub use fleet::{Ask, Fleet, ForgetError, Line, Senders, Standing};
pub use handed::Handed;
pub use terms::{Terms, TermsError};
pub use wire::{Key, LONGEST, MOST_NODES, Own, SEAL};

/// Milliseconds of a clock that never goes back and goes on while a process is stopped.
pub type Ms = f64;
