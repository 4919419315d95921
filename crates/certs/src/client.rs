//! Extracts the names from a client's certificate, which has been verified before.

use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

/// The names in a client's certificate, by kind. If a kind occurs twice it is ambiguous and counts as
/// absent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientNames {
    /// DNS name in lower case.
    pub dns: Option<String>,
    /// Email address.
    pub email: Option<String>,
    /// Common name of the subject.
    pub common_name: Option<String>,
}

/// The single name, if there is exactly one and it is printable and not blank.
fn single_printable<'n>(mut names: impl Iterator<Item = &'n str>) -> Option<String> {
    let name = names.next().filter(|n| !n.trim().is_empty() && !n.chars().any(char::is_control))?;
    names.next().is_none().then(|| name.to_owned())
}

/// Extracts the names of a certificate; all absent if it cannot be parsed.
pub fn client_names(der: &[u8]) -> ClientNames {
    let Ok((_, cert)) = X509Certificate::from_der(der) else { return ClientNames::default() };
    let alternatives = cert.subject_alternative_name().ok().flatten();
    let names = || alternatives.iter().flat_map(|a| &a.value.general_names);
    ClientNames {
        dns: single_printable(
            names().filter_map(|n| if let GeneralName::DNSName(n) = n { Some(*n) } else { None }),
        )
        .map(|n| n.to_ascii_lowercase()),
        email: single_printable(
            names().filter_map(|n| if let GeneralName::RFC822Name(n) = n { Some(*n) } else { None }),
        ),
        common_name: single_printable(cert.subject().iter_common_name().filter_map(|n| n.as_str().ok())),
    }
}
