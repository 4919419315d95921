//! Checks certificate chains and keys before use, and finds the certificate for the name that a client
//! asks for. No I/O and no clock: `applemill-certificate-manager` loads the certificates and
//! `applemill-tls` serves them.

mod check;
mod client;
mod names;
mod table;

pub use check::{CertificateFault, CheckedCertificate, UnixSeconds, certified_key, check};
pub use client::{ClientNames, client_names};
pub use names::covers;
pub use table::{CertificateTable, TableEntry};
