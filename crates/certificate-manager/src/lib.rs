//! Manages the node's certificates and passes them to `applemill-tls`. They come from files, or are
//! ordered by ACME and stored in a folder that nodes may share. All work runs on separate threads, apart
//! from the event loop of requests. The rules stand in crates without I/O: validity in `applemill-certs`,
//! renewal times in `applemill-renewal`, which node orders in `applemill-lease`, and the schedule in
//! `applemill-background`. This crate adds files, sockets and clocks.

mod acme;
mod clock;
mod files;
mod http;
mod manager;
mod order;
mod proofs;
mod state;
mod status;
mod store;

pub use clock::WallClock;
pub use manager::{CertificateManager, ManagerSettings};
pub use proofs::Proofs;
pub use status::{CertificateStatus, request_renewal, statuses_from_disk};
