//! Flow control for streams: how much may be read now out of the memory that all streams share, how slow each
//! side may be, and how long a stream may take. The crate has no I/O, no clock and no buffers: callers pass
//! in byte counts and times, and hold the bytes, wait for the sockets and cut streams short themselves.
//!
//! [`Memory`] is shared by all streams and buffered bodies of a node. [`Flow`] is one direction of one
//! stream; it holds its part of the memory and releases it when dropped. `docs/streams-design.md` explains
//! the rules and the alternatives that were considered.

mod flow;
mod memory;
mod pace;

pub use flow::{CutReason, Flow, StreamLimits};
pub use memory::{BodyReservation, Memory, MemoryLayout, OutOfMemory, StreamReservation};
pub use pace::{MinRate, Pace};
