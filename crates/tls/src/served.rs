//! The certificates in service. Their manager replaces the whole table; each handshake uses the current
//! one.

use applemill_certs::CertificateTable;
use rustls::server::{ClientHello, ResolvesServerCert};
use rustls::sign::CertifiedKey;
use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

/// ALPN protocol of an ACME authority that validates a challenge (RFC 8737, 6.2).
pub const ACME_TLS: &[u8] = b"acme-tls/1";

/// Certificates by name, and those for challenges. Another thread than the event loop's writes them; it
/// holds the lock only to swap a pointer.
#[derive(Debug, Default)]
pub struct ServedCertificates {
    table: RwLock<Arc<CertificateTable<CertifiedKey>>>,
    challenges: RwLock<HashMap<String, Arc<CertifiedKey>>>,
}

impl ServedCertificates {
    /// Replaces the table.
    pub fn put(&self, table: CertificateTable<CertifiedKey>) {
        *self.table.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(table);
    }

    /// The current table.
    pub fn table(&self) -> Arc<CertificateTable<CertifiedKey>> {
        self.table.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the challenge certificates, by the server name that they are shown for.
    pub fn put_challenges(&self, challenges: HashMap<String, Arc<CertifiedKey>>) {
        *self.challenges.write().unwrap_or_else(PoisonError::into_inner) = challenges;
    }
}

impl ResolvesServerCert for ServedCertificates {
    fn resolve(&self, hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        let name = hello.server_name();
        let mut alpn = hello.alpn().into_iter().flatten();
        // A challenge offers this protocol alone (RFC 8737, 3).
        if alpn.next() == Some(ACME_TLS) && alpn.next().is_none() {
            let all = self.challenges.read().unwrap_or_else(PoisonError::into_inner);
            return all.get(&name?.to_ascii_lowercase()).cloned();
        }
        self.table().find(name).map(|entry| entry.key.clone())
    }
}
