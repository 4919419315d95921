//! Checks whether a chain and a key may be served, and reports all faults at once.

use crate::names::covers;
use rustls::crypto::ring::default_provider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::sign::CertifiedKey;
use std::sync::Arc;
use thiserror::Error;
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

/// Time in seconds since 1970.
pub type UnixSeconds = i64;

/// Longest chain that is accepted. Public authorities issue chains of two to four certificates.
const MAX_CHAIN_LENGTH: usize = 10;

/// A fault of a chain or a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CertificateFault {
    /// The chain has no certificate.
    #[error("the chain has no certificate in PEM")]
    NoCertificate,
    /// A certificate cannot be parsed; its position in the chain, from 1.
    #[error("certificate {0} of the chain cannot be read")]
    Unreadable(usize),
    /// Too many certificates; their number.
    #[error("{0} certificates in the chain; 10 at most")]
    ChainTooLong(usize),
    /// There is no private key, or it is of an unsupported kind.
    #[error("no private key in PEM that can be used")]
    NoKey,
    /// The key does not match the first certificate.
    #[error("the key does not belong to the first certificate")]
    KeyMismatch,
    /// A certificate is not signed by the next one; its position, from 1.
    #[error("certificate {0} of the chain is not issued by the next one")]
    WrongIssuer(usize),
    /// A requested name is not in the first certificate.
    #[error("{wanted} is not among its names ({found})")]
    MissingName {
        /// The requested name.
        wanted: String,
        /// The names in the certificate.
        found: String,
    },
    /// Not valid before this time.
    #[error("it is not valid before {0} (seconds since 1970)")]
    NotYetValid(UnixSeconds),
    /// Expired at this time.
    #[error("it expired at {0} (seconds since 1970)")]
    Expired(UnixSeconds),
}

/// A chain and a key that belong together.
#[derive(Clone, Debug)]
pub struct CheckedCertificate {
    /// DNS names of the first certificate, in lower case.
    pub names: Vec<String>,
    /// Start of the validity of the first certificate.
    pub not_before: UnixSeconds,
    /// Earliest end of the validity in the chain.
    pub not_after: UnixSeconds,
    /// Chain and key for rustls.
    pub key: Arc<CertifiedKey>,
}

fn names_of(cert: &X509Certificate<'_>) -> Vec<String> {
    let Ok(Some(subject_alt_names)) = cert.subject_alternative_name() else { return Vec::new() };
    let dns = subject_alt_names.value.general_names.iter().filter_map(|name| match name {
        GeneralName::DNSName(name) => Some(name.to_ascii_lowercase()),
        _ => None,
    });
    dns.collect()
}

impl CheckedCertificate {
    /// Checks the validity period. The caller may still serve an expired certificate if it has no other.
    ///
    /// # Errors
    /// It is not valid yet, or has expired.
    pub fn check_validity(&self, now: UnixSeconds) -> Result<(), CertificateFault> {
        if now < self.not_before {
            Err(CertificateFault::NotYetValid(self.not_before))
        } else if now >= self.not_after {
            Err(CertificateFault::Expired(self.not_after))
        } else {
            Ok(())
        }
    }
}

/// Checks a chain and a key that are to be served for the `wanted` names, whatever their validity period.
///
/// # Errors
/// All faults found.
pub fn check(
    chain: &[u8],
    key: &[u8],
    wanted: &[String],
) -> Result<CheckedCertificate, Vec<CertificateFault>> {
    let mut faults = Vec::new();
    let ders: Vec<CertificateDer<'static>> =
        CertificateDer::pem_slice_iter(chain).filter_map(Result::ok).collect();
    if ders.len() > MAX_CHAIN_LENGTH {
        return Err(vec![CertificateFault::ChainTooLong(ders.len())]);
    }
    let mut certs = Vec::new();
    for (der, n) in ders.iter().zip(1..) {
        match X509Certificate::from_der(der) {
            Ok(([], cert)) => certs.push(cert),
            _ => faults.push(CertificateFault::Unreadable(n)),
        }
    }
    let Some(first) = certs.first() else {
        faults.push(CertificateFault::NoCertificate);
        return Err(faults);
    };
    for ((cert, next), n) in certs.iter().zip(certs.iter().skip(1)).zip(1..) {
        let issuer_matches = cert.issuer() == next.subject();
        if !issuer_matches || cert.verify_signature(Some(next.public_key())).is_err() {
            faults.push(CertificateFault::WrongIssuer(n));
        }
    }
    let names = names_of(first);
    for name in wanted.iter().filter(|w| !names.iter().any(|n| n == *w || covers(n, w))) {
        faults.push(CertificateFault::MissingName { wanted: name.clone(), found: names.join(", ") });
    }
    let not_before = first.validity().not_before.timestamp();
    let expiry_times = certs.iter().map(|c| c.validity().not_after.timestamp());
    let not_after = expiry_times.min().unwrap_or(not_before);
    let certified = match PrivateKeyDer::from_pem_slice(key) {
        Err(_) => Err(CertificateFault::NoKey),
        Ok(key) => match default_provider().key_provider.load_private_key(key) {
            Err(_) => Err(CertificateFault::NoKey),
            Ok(signer) => {
                let certified = CertifiedKey::new(ders.clone(), signer);
                // A key that cannot give its public key is of no kind that is supported here.
                certified.keys_match().map(|()| certified).map_err(|_| CertificateFault::KeyMismatch)
            }
        },
    };
    match certified {
        Ok(key) if faults.is_empty() => {
            Ok(CheckedCertificate { names, not_before, not_after, key: Arc::new(key) })
        }
        Ok(_) => Err(faults),
        Err(fault) => {
            faults.push(fault);
            Err(faults)
        }
    }
}

/// Builds a key pair for rustls from a chain and key that were generated here, such as for an ACME
/// challenge.
pub fn certified_key(
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Option<Arc<CertifiedKey>> {
    // Chain and key are not compared: rustls does not parse a certificate with an unknown critical
    // extension, as a challenge's has.
    let signer = default_provider().key_provider.load_private_key(key).ok()?;
    Some(Arc::new(CertifiedKey::new(chain, signer)))
}
