//! Whether a chain and a key may be served: all that is wrong is told in one go.

use crate::names::covers;
use rustls::crypto::ring::default_provider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::sign::CertifiedKey;
use std::sync::Arc;
use thiserror::Error;
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

/// Seconds since 1970.
pub type Unix = i64;

/// A chain is no longer than this; one of public authorities has two to four.
const LONGEST_CHAIN: usize = 10;

/// Why a chain and a key may not be served.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// No certificate is in it.
    #[error("the chain has no certificate in PEM")]
    NoCertificate,
    /// One that cannot be read.
    #[error("certificate {0} of the chain cannot be read")]
    Unreadable(usize),
    /// More than a chain has.
    #[error("{0} certificates in the chain; 10 at most")]
    TooLong(usize),
    /// There is no key, or one of a kind that cannot be used.
    #[error("no private key in PEM that can be used")]
    NoKey,
    /// The key is another's.
    #[error("the key does not belong to the first certificate")]
    OtherKey,
    /// One is not signed by the next.
    #[error("certificate {0} of the chain is not issued by the next one")]
    Order(usize),
    /// A name that is wanted is not in it.
    #[error("{wanted} is not among its names ({found})")]
    Name {
        /// The name.
        wanted: String,
        /// Those that are.
        found: String,
    },
    /// It is good only later.
    #[error("it is not valid before {0} (seconds since 1970)")]
    Early(Unix),
    /// It was good until.
    #[error("it expired at {0} (seconds since 1970)")]
    Expired(Unix),
}

/// A chain and a key that belong together.
#[derive(Clone, Debug)]
pub struct Checked {
    /// The names that it is good for, in lower case.
    pub names: Vec<String>,
    /// From when it is good.
    pub not_before: Unix,
    /// Until when: the earliest end in the chain.
    pub not_after: Unix,
    /// What is served.
    pub key: Arc<CertifiedKey>,
}

fn names_of(cert: &X509Certificate<'_>) -> Vec<String> {
    let Ok(Some(alternatives)) = cert.subject_alternative_name() else { return Vec::new() };
    let dns = alternatives.value.general_names.iter().filter_map(|name| match name {
        GeneralName::DNSName(name) => Some(name.to_ascii_lowercase()),
        _ => None,
    });
    dns.collect()
}

impl Checked {
    /// Whether it is good at a time; whoever has nothing else may still serve it.
    ///
    /// # Errors
    /// It is not good yet, or any more.
    pub fn timely(&self, now: Unix) -> Result<(), Fault> {
        match now {
            _ if now < self.not_before => Err(Fault::Early(self.not_before)),
            _ if now >= self.not_after => Err(Fault::Expired(self.not_after)),
            _ => Ok(()),
        }
    }
}

/// Checks a chain and a key that are to be served for some names, whatever the time.
///
/// # Errors
/// All that is wrong.
pub fn check(chain: &[u8], key: &[u8], wanted: &[String]) -> Result<Checked, Vec<Fault>> {
    let mut faults = Vec::new();
    let ders: Vec<CertificateDer<'static>> =
        CertificateDer::pem_slice_iter(chain).filter_map(Result::ok).collect();
    if ders.len() > LONGEST_CHAIN {
        return Err(vec![Fault::TooLong(ders.len())]);
    }
    let mut certs = Vec::new();
    for (der, n) in ders.iter().zip(1..) {
        match X509Certificate::from_der(der) {
            Ok(([], cert)) => certs.push(cert),
            _ => faults.push(Fault::Unreadable(n)),
        }
    }
    let Some(first) = certs.first() else {
        faults.push(Fault::NoCertificate);
        return Err(faults);
    };
    for ((cert, next), n) in certs.iter().zip(certs.iter().skip(1)).zip(1..) {
        let named = cert.issuer() == next.subject();
        if !named || cert.verify_signature(Some(next.public_key())).is_err() {
            faults.push(Fault::Order(n));
        }
    }
    let names = names_of(first);
    for name in wanted.iter().filter(|w| !names.iter().any(|n| n == *w || covers(n, w))) {
        faults.push(Fault::Name { wanted: name.clone(), found: names.join(", ") });
    }
    let not_before = first.validity().not_before.timestamp();
    let ends = certs.iter().map(|c| c.validity().not_after.timestamp());
    let not_after = ends.min().unwrap_or(not_before);
    let certified = match PrivateKeyDer::from_pem_slice(key) {
        Err(_) => Err(Fault::NoKey),
        Ok(key) => match default_provider().key_provider.load_private_key(key) {
            Err(_) => Err(Fault::NoKey),
            Ok(signer) => {
                let certified = CertifiedKey::new(ders.clone(), signer);
                // One that cannot tell its public key is none of the kinds that are served here.
                certified.keys_match().map(|()| certified).map_err(|_| Fault::OtherKey)
            }
        },
    };
    match certified {
        Ok(key) if faults.is_empty() => Ok(Checked { names, not_before, not_after, key: Arc::new(key) }),
        Ok(_) => Err(faults),
        Err(fault) => {
            faults.push(fault);
            Err(faults)
        }
    }
}

/// A chain and key that were made here, such as one for a challenge.
pub fn key_of(
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Option<Arc<CertifiedKey>> {
    // Not compared: one with an extension that is critical and says nothing here, as a challenge's has, is not read.
    let signer = default_provider().key_provider.load_private_key(key).ok()?;
    Some(Arc::new(CertifiedKey::new(chain, signer)))
}
