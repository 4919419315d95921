//! Handover of a running node's sockets, lock and share to the next process, or back to normal operation if
//! that fails. The crate has the steps of both sides, without I/O or clock; their messages; and a Unix socket
//! that carries messages and file descriptors.
//!
//! The content of a share and of the learned state is defined by the program, and so is how a node accepts
//! and drains connections.

mod channel;
mod messages;
mod steps;

pub use channel::{Channel, ChannelError};
pub use messages::{FORMAT, NewMessage, OldMessage, SocketUse};
pub use steps::{HandoverTimeouts, NewAction, NewNode, OldAction, OldEvent, OldNode};

/// Time in milliseconds of a monotonic clock.
pub type Ms = f64;
