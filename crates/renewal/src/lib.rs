//! Decides when a certificate is renewed, which authority is asked, how long to wait after failures, and
//! when to warn. No I/O and no clock: callers pass times in seconds since 1970. What must survive a
//! restart is one [`Record`] per certificate, stored by the caller (`applemill-certificate-manager`).
//! `applemill-certs` checks certificates; `applemill-lease` decides which node of a fleet orders.

mod plan;
mod record;

pub use plan::{CertificateState, Policy, RenewalStep};
pub use record::{AuthorityState, CertificateValidity, FailedOrder, OrderFailure, Record, Seconds, WEEK_S};
