//! A lease that lets one of several nodes perform a task, such as ordering a certificate, and lets another
//! node take over when the holder dies. There is no I/O and no clock here: the caller reads and writes the
//! claims in storage that all nodes share, such as a folder, and carries out the returned steps.
//!
//! A claim has a number, and only one node can create the claim of a given number. Its holder increments a
//! counter in the claim (the heartbeat) while it lives. A node that sees a claim unchanged for `hold_ms` **by
//! its own clock** may create the claim with the next number. Wall clocks of different nodes are never
//! compared, so they may be set to any time; only their rates matter.
//!
//! The holder counts from before it wrote its last heartbeat and stops after `hold_ms * SAFE_HOLD_FRACTION`.
//! As long as the rates of the clocks differ by less than one part in ten, no other node starts before that.
//! A holder that was suspended and resumes late finds that its lease has expired. If it writes nevertheless,
//! it writes under its own, lower number, and readers use the claim with the highest number (fencing).

mod claim;

pub use claim::{Claim, Lease, LeaseStep, SAFE_HOLD_FRACTION};
