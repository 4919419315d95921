//! Matching of names in certificates (RFC 6125, 6.4; RFC 9525): exact names, and a wildcard for one whole
//! first label.

/// Whether a certificate's name covers a host name. Both must be in lower case, without a trailing dot.
pub fn covers(pattern: &str, host: &str) -> bool {
    match pattern.strip_prefix("*.") {
        None => pattern == host,
        Some(parent) => {
            host.split_once('.').is_some_and(|(first, rest)| !first.is_empty() && rest == parent)
        }
    }
}
