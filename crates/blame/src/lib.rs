//! Finds out what failed attempts are to be attributed to: a server, a route at one server, a route, a class,
//! a tenant or a key. No I/O and no clock; randomness comes from a seed. A culprit other than a server can be
//! held: its requests are refused at once except for trials, and the hold is cleared step by step when trials
//! succeed.
//!
//! [`Blame::ended`] records the end of an attempt and returns whether it counts for or against the server;
//! [`Blame::admit`] decides whether a request may proceed. Which server a request goes to, and how a failing
//! server is treated, is decided by the balancer; what a verdict does to requests in progress is decided by
//! the ledger.

mod blame;
mod config;
mod counts;
mod hold;
mod scoring;
mod suspect;

pub use blame::{Admission, Attribution, Blame, Change, Culprit, Held};
pub use config::BlameConfig;
pub use hold::TrialToken;
pub use scoring::Evidence;
pub use suspect::{AttemptResult, DisplayName, RequestTraits, Suspect, SuspectKind};
