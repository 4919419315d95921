//! Client certificates: the trusted authorities, which can be replaced while connections are open, and the
//! identity that a certificate gives.

use applemill_certs::client_names;
use applemill_socket::ClientIdentity;
use rustls::client::danger::HandshakeSignatureValid;
use rustls::crypto::ring::default_provider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, UnixTime};
use rustls::server::WebPkiClientVerifier;
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::{DigitallySignedStruct, DistinguishedName, RootCertStore, SignatureScheme};
use std::rc::Rc;
use std::sync::{Arc, PoisonError, RwLock};
use thiserror::Error;

/// Why a file of authorities was rejected.
#[derive(Debug, Error)]
pub enum ClientAuthoritiesError {
    /// It has no certificate.
    #[error("no certificate in PEM")]
    Nothing,
    /// A certificate cannot be read; its position, from 1.
    #[error("certificate {0}: {1}")]
    Unreadable(usize, String),
    /// The certificates cannot be used as authorities.
    #[error("{0}")]
    Unusable(String),
}

/// The authorities trusted for client certificates.
#[derive(Debug)]
pub struct ClientAuthorities {
    /// Whether clients without a certificate are rejected.
    required: bool,
    verifier: RwLock<Arc<dyn ClientCertVerifier>>,
}

fn build_verifier(pem: &[u8]) -> Result<Arc<dyn ClientCertVerifier>, ClientAuthoritiesError> {
    let mut roots = RootCertStore::empty();
    for (der, n) in CertificateDer::pem_slice_iter(pem).zip(1..) {
        let der = der.map_err(|e| ClientAuthoritiesError::Unreadable(n, e.to_string()))?;
        roots.add(der).map_err(|e| ClientAuthoritiesError::Unreadable(n, e.to_string()))?;
    }
    if roots.is_empty() {
        return Err(ClientAuthoritiesError::Nothing);
    }
    let built = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), Arc::new(default_provider()));
    built.build().map_err(|e| ClientAuthoritiesError::Unusable(e.to_string()))
}

impl ClientAuthorities {
    /// Reads the authorities' certificates from the content of a PEM file.
    ///
    /// # Errors
    /// The content is not a valid PEM file of certificates.
    pub fn read(pem: &[u8], required: bool) -> Result<ClientAuthorities, ClientAuthoritiesError> {
        Ok(ClientAuthorities { required, verifier: RwLock::new(build_verifier(pem)?) })
    }

    /// Replaces all authorities by those of a file, or none if the file is faulty. Open connections stay.
    ///
    /// # Errors
    /// The content is not a valid PEM file of certificates.
    pub fn replace(&self, pem: &[u8]) -> Result<(), ClientAuthoritiesError> {
        let new = build_verifier(pem)?;
        *self.verifier.write().unwrap_or_else(PoisonError::into_inner) = new;
        Ok(())
    }

    fn verifier(&self) -> Arc<dyn ClientCertVerifier> {
        self.verifier.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl ClientCertVerifier for ClientAuthorities {
    fn client_auth_mandatory(&self) -> bool {
        self.required
    }

    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        // The hint is optional and could not change with the authorities.
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        now: UnixTime,
    ) -> Result<ClientCertVerified, rustls::Error> {
        self.verifier().verify_client_cert(end_entity, intermediates, now)
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.verifier().verify_tls12_signature(message, cert, signed)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.verifier().verify_tls13_signature(message, cert, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.verifier().supported_verify_schemes()
    }
}

/// The identity in a client's certificate; `None` if it sent none.
pub(crate) fn client_identity(chain: Option<&[CertificateDer<'_>]>) -> Option<Rc<ClientIdentity>> {
    let names = client_names(chain?.first()?);
    Some(Rc::new(ClientIdentity { dns: names.dns, email: names.email, common_name: names.common_name }))
}
