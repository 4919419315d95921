//! What an operator's file says of TLS: certificates, where they come from, and the authorities that are asked for them.

use super::At;

/// Where a certificate comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// Two files in PEM.
    Files {
        /// The chain.
        chain: At<String>,
        /// Its key.
        key: At<String>,
    },
    /// Authorities, by name, the preferred one first.
    Authorities(Vec<At<String>>),
    /// Nothing that can be used is said.
    Nowhere,
}

/// A certificate.
#[derive(Clone, Debug, PartialEq)]
pub struct Certificate {
    /// What it is called.
    pub name: At<String>,
    /// The names that it is to be good for.
    pub names: Vec<At<String>>,
    /// For clients that ask for no name that is known.
    pub default: bool,
    /// Where it comes from.
    pub origin: Origin,
}

/// An authority by ACME (RFC 8555).
#[derive(Clone, Debug, PartialEq)]
pub struct Authority {
    /// What it is called.
    pub name: At<String>,
    /// The address of its directory.
    pub directory: Option<At<String>>,
    /// A file with the roots that its own certificate is checked by; the usual ones if absent.
    pub root: Option<At<String>>,
    /// Whom it may write to, such as `mailto:ops@auction.lv`.
    pub contact: Vec<At<String>>,
    /// An account that it has given out (RFC 8555, 7.3.4): its name ...
    pub account: Option<At<String>>,
    /// ... and a file with the key, in base64url.
    pub account_key: Option<At<String>>,
    /// An answer of its that takes longer is none.
    pub timeout_ms: f64,
}

/// How a name is proven to an authority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// By a file on port 80 (RFC 8555, 8.3).
    Http,
    /// By a certificate on port 443 (RFC 8737).
    Tls,
}

/// What holds for all of it. Times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Tls {
    /// The longest handshake.
    pub handshake_ms: f64,
    /// Handshakes at once.
    pub handshakes: u32,
    /// A file with the fleet's keys of tickets.
    pub ticket_keys: Option<At<String>>,
    /// The folder for accounts, keys and certificates.
    pub state: Option<At<String>>,
    /// How names are proven.
    pub proof: Proof,
    /// Orders a week for one certificate, at most.
    pub orders_a_week: u32,
    /// A certificate is renewed when this part of its time is left.
    pub renew_part: f64,
}

impl Tls {
    /// What holds from a node's start to its end, to be compared: the rest may change.
    pub fn held(&self) -> (u64, u32, Option<String>, Option<String>) {
        let keys = self.ticket_keys.as_ref().map(|t| t.value.clone());
        let state = self.state.as_ref().map(|t| t.value.clone());
        (self.handshake_ms.to_bits(), self.handshakes, keys, state)
    }
}
