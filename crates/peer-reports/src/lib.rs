//! Reports on servers that the nodes of a fleet exchange, and the decision that follows from them. No I/O and
//! no clock: messages and times are passed in.
//!
//! In a fleet of three hundred nodes, each node calls each of two hundred servers only a few times a minute.
//! On its own, a node would lose many requests before it recognizes a failing server. Nodes therefore report
//! the results of **their own calls** to each other. A report is never forwarded, so it cannot come back as
//! new information, and only the latest report of each node on a server counts. Reports say that a call
//! failed or succeeded; success is reported only for servers that another node reports as failing, because it
//! has no effect for the others.
//!
//! Reports are evidence, not commands. A server is considered **failing** when enough distinct nodes report
//! failures and at least as many report failures as success; this node's own calls count as one reporter
//! among them. Which node listens to which other node on which server is derived from their numbers: a few
//! nodes that send false reports to the whole fleet are heard by no more nodes than others, and by different
//! nodes for each server.
//!
//! Not part of this crate: what counts as a failed call and which traffic a failing server still gets (the
//! balancer), and sending datagrams (the host).

mod report;
mod tracker;

pub use report::{MAX_MESSAGE_BYTES, Report, read, write};
pub use tracker::{ReportTracker, TrackerConfig};
