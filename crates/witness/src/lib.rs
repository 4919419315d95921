//! What nodes of a fleet tell each other of servers, weighed. No I/O and no clock: messages and times are handed in.
//!
//! A node of three hundred calls each of two hundred servers a few times a minute; a server that fails is known to it
//! alone only after many of its requests were lost there. Here each node is a **witness** of its own calls alone: a claim is
//! never passed on, so it can't come back as news, and of each node only the latest claim on a server counts. Claims say
//! that a call went badly or well; well is told only of servers that are accused, since nobody asks after the others.
//!
//! Hearing is evidence and no order. A server is **ill** when enough distinct nodes say so, more than say the opposite, and
//! when this node has not just been served there itself: so a few liars, or a part of the fleet behind a broken link, do
//! not close what others are served by, and those go on telling it.
//!
//! Left to others: what counts as bad and what an ill server still gets (the decisions), and datagrams (the host).

mod claim;
mod court;

pub use claim::{Claim, LONGEST, read, write};
pub use court::{Court, Terms};
