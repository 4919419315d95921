//! Proofs for ACME challenges. Every node serves all of them, since the authority may ask any node.

use applemill_certs::certified_key;
use applemill_tls::ServedCertificates;
use rcgen::{CertificateParams, CustomExtension, KeyPair};
use rustls::pki_types::{PrivateKeyDer, PrivatePkcs8KeyDer};
use rustls::sign::CertifiedKey;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

/// A proof as stored in the shared folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Proof {
    /// http-01 (RFC 8555, 8.3): the answer for a token.
    Http { token: String, answer: String },
    /// tls-alpn-01 (RFC 8737): the digest for the certificate shown for a name.
    Tls { name: String, digest: Vec<u8> },
}

/// All proofs that are currently published.
#[derive(Debug)]
pub struct Proofs {
    http: RwLock<HashMap<String, String>>,
    served: Arc<ServedCertificates>,
}

impl Proofs {
    pub(crate) fn new(served: Arc<ServedCertificates>) -> Proofs {
        Proofs { http: RwLock::default(), served }
    }

    /// The http-01 answer for a token.
    pub fn answer(&self, token: &str) -> Option<String> {
        self.http.read().unwrap_or_else(PoisonError::into_inner).get(token).cloned()
    }

    /// Replaces all proofs.
    pub(crate) fn replace(&self, proofs: &[Proof]) {
        let (mut http, mut tls) = (HashMap::new(), HashMap::new());
        for proof in proofs {
            match proof {
                Proof::Http { token, answer } => drop(http.insert(token.clone(), answer.clone())),
                Proof::Tls { name, digest } => {
                    if let Some(key) = challenge_certificate(name, digest) {
                        tls.insert(name.clone(), key);
                    }
                }
            }
        }
        *self.http.write().unwrap_or_else(PoisonError::into_inner) = http;
        self.served.put_challenges(tls);
    }
}

/// Creates the self-signed certificate for a tls-alpn-01 challenge (RFC 8737, 3).
fn challenge_certificate(name: &str, digest: &[u8]) -> Option<Arc<CertifiedKey>> {
    // The extension takes exactly 32 bytes.
    let digest: [u8; 32] = digest.try_into().ok()?;
    let key = KeyPair::generate().ok()?;
    let mut params = CertificateParams::new(vec![name.to_owned()]).ok()?;
    params.custom_extensions = vec![CustomExtension::new_acme_identifier(&digest)];
    let chain = vec![params.self_signed(&key).ok()?.der().clone()];
    certified_key(chain, PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(key.serialize_der())))
}
