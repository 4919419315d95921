//! Whom a client's certificate names. Whether it is to be trusted was found out before.

use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

/// The names in a client's certificate, by kind. A kind that is there twice could be taken for either, so it is none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerNames {
    /// Its DNS name, in lower case.
    pub dns: Option<String>,
    /// Its address of mail.
    pub email: Option<String>,
    /// The common name of its subject.
    pub common_name: Option<String>,
}

/// The one that there is, in printable characters.
fn only<'n>(mut all: impl Iterator<Item = &'n str>) -> Option<String> {
    let one = all.next().filter(|n| !n.trim().is_empty() && !n.chars().any(char::is_control))?;
    all.next().is_none().then(|| one.to_owned())
}

/// The names in a certificate; none where it cannot be read.
pub fn caller_names(der: &[u8]) -> CallerNames {
    let Ok((_, cert)) = X509Certificate::from_der(der) else { return CallerNames::default() };
    let alternatives = cert.subject_alternative_name().ok().flatten();
    let all = || alternatives.iter().flat_map(|a| &a.value.general_names);
    CallerNames {
        dns: only(all().filter_map(|n| if let GeneralName::DNSName(n) = n { Some(*n) } else { None }))
            .map(|n| n.to_ascii_lowercase()),
        email: only(all().filter_map(|n| if let GeneralName::RFC822Name(n) = n { Some(*n) } else { None })),
        common_name: only(cert.subject().iter_common_name().filter_map(|n| n.as_str().ok())),
    }
}
