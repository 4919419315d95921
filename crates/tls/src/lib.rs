//! TLS between a listener and a front, with rustls: limited handshakes, a certificate by server name, and
//! session tickets. Fronts are unaware of TLS. `applemill-certificate-manager` supplies the certificates;
//! `applemill-certs` checks them.

mod accept;
mod client_authorities;
mod served;
mod tickets;

pub use accept::{HandshakeLimits, Handshakes, Tls, TlsError};
pub use client_authorities::{ClientAuthorities, ClientAuthoritiesError};
pub use served::{ACME_TLS, ServedCertificates};
pub use tickets::{KeyFileError, TicketKeys};
