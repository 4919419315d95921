//! Names in certificates (RFC 6125, 6.4; RFC 9525): exact ones, and a star for one whole first label.

/// Whether a certificate's name is good for a host. Both in lower case, without a dot at the end.
pub fn covers(pattern: &str, host: &str) -> bool {
    match pattern.strip_prefix("*.") {
        None => pattern == host,
        Some(parent) => {
            host.split_once('.').is_some_and(|(first, rest)| !first.is_empty() && rest == parent)
        }
    }
}
