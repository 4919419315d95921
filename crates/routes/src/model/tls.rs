//! The `[tls]`, `[certificate]` and `[authority]` sections.

use super::At;

/// How a certificate is obtained.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// From two PEM files.
    Files {
        /// The certificate chain.
        chain: At<String>,
        /// The private key.
        key: At<String>,
    },
    /// From authorities, by name, in order of preference.
    Authorities(Vec<At<String>>),
    /// The file gives no usable origin.
    Nowhere,
}

/// A certificate.
#[derive(Clone, Debug, PartialEq)]
pub struct Certificate {
    /// Its name in the file.
    pub name: At<String>,
    /// The DNS names that it covers.
    pub names: Vec<At<String>>,
    /// Whether it is served to clients that request no name or an unknown one.
    pub default: bool,
    /// How it is obtained.
    pub origin: Origin,
}

/// A certificate authority that uses ACME (RFC 8555).
#[derive(Clone, Debug, PartialEq)]
pub struct Authority {
    /// Its name in the file.
    pub name: At<String>,
    /// URL of its directory.
    pub directory: Option<At<String>>,
    /// PEM file with the roots that verify the authority's own certificate; the
    /// machine's root certificates if absent.
    pub root: Option<At<String>>,
    /// Contact URLs of the account, such as `mailto:ops@auction.lv`.
    pub contact: Vec<At<String>>,
    /// Identifier of an external account issued by the authority (RFC 8555, 7.3.4).
    pub account: Option<At<String>>,
    /// File with the key of that account, in base64url.
    pub account_key: Option<At<String>>,
    /// Time limit for an answer of the authority, in milliseconds.
    pub timeout_ms: f64,
}

/// How control of a name is proven to an authority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// http-01: by a resource on port 80 (RFC 8555, 8.3).
    Http,
    /// tls-alpn-01: by a certificate on port 443 (RFC 8737).
    Tls,
}

/// Settings for all TLS listeners. Times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Tls {
    /// Time limit of a handshake.
    pub handshake_ms: f64,
    /// Maximum number of concurrent handshakes.
    pub handshakes: u32,
    /// File with the session ticket keys that the fleet shares.
    pub ticket_keys: Option<At<String>>,
    /// Directory for accounts, keys and certificates.
    pub state: Option<At<String>>,
    /// How control of names is proven.
    pub proof: Proof,
    /// Maximum number of orders per week for one certificate.
    pub orders_a_week: u32,
    /// A certificate is renewed when this fraction of its lifetime is left.
    pub renew_part: f64,
}

impl Tls {
    /// The settings that are fixed from a node's start to its end, as a comparable value; a reload may change
    /// the others.
    pub fn held(&self) -> (u64, u32, Option<String>, Option<String>) {
        let ticket_keys = self.ticket_keys.as_ref().map(|t| t.value.clone());
        let state = self.state.as_ref().map(|t| t.value.clone());
        (self.handshake_ms.to_bits(), self.handshakes, ticket_keys, state)
    }
}
