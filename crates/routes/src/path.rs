//! Normalization of paths and hosts for matching and forwarding, so that node and backend interpret them
//! alike.
//!
//! Paths that two programs may interpret differently are refused: dot segments, empty segments, encoded
//! slashes, backslashes and control bytes. Encoded letters and digits are decoded (RFC 3986, 6.2.2).

use std::borrow::Cow;
use std::fmt;

/// Why a path is refused as ambiguous or invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ambiguity {
    /// It does not begin with a slash.
    NotAbsolute,
    /// It has a `.` or `..` segment, plain or encoded.
    DotSegment,
    /// It has two slashes in a row.
    EmptySegment,
    /// It contains `%2F`, `%5C` or a backslash.
    HiddenSlash,
    /// It contains `%` without two hexadecimal digits.
    BadEncoding,
    /// It contains a question mark or a number sign, which end a path.
    NotPath,
    /// It contains a control byte (plain or encoded), a space or a byte beyond ASCII.
    Control,
}

impl fmt::Display for Ambiguity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ambiguity::NotAbsolute => "the path does not begin with a slash",
            Ambiguity::DotSegment => "the path has a dot segment",
            Ambiguity::EmptySegment => "the path has an empty segment",
            Ambiguity::HiddenSlash => "the path has an encoded slash or a backslash",
            Ambiguity::BadEncoding => "the path has a percent sign without two hex digits",
            Ambiguity::NotPath => "the path has a question mark or a number sign",
            Ambiguity::Control => "the path has a control byte, a space or a byte beyond ASCII",
        })
    }
}

/// Normalizes a path (without query) for matching and forwarding.
///
/// # Errors
/// A backend could interpret the path differently, or it is invalid.
pub fn normal_path(path: &str) -> Result<Cow<'_, str>, Ambiguity> {
    let bytes = path.as_bytes();
    if bytes.first() != Some(&b'/') {
        return Err(Ambiguity::NotAbsolute);
    }
    let is_plain = |b: &u8| b.is_ascii_graphic() && !matches!(b, b'%' | b'\\' | b'?' | b'#');
    let normalized =
        if bytes.iter().all(is_plain) { Cow::Borrowed(path) } else { Cow::Owned(decode(bytes)?) };
    let mut segments = normalized.split('/').skip(1).peekable();
    while let Some(segment) = segments.next() {
        // An empty last segment stands for a trailing slash.
        if segment.is_empty() && segments.peek().is_some() {
            return Err(Ambiguity::EmptySegment);
        }
        if matches!(segment, "." | "..") {
            return Err(Ambiguity::DotSegment);
        }
    }
    Ok(normalized)
}

fn decode(bytes: &[u8]) -> Result<String, Ambiguity> {
    let mut decoded = String::with_capacity(bytes.len());
    let mut rest = bytes.iter().copied();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let mut digit = || rest.next().and_then(|b| char::from(b).to_digit(16));
                let code = digit().zip(digit()).map(|(high, low)| high * 16 + low);
                let code = code.and_then(|c| u8::try_from(c).ok()).ok_or(Ambiguity::BadEncoding)?;
                match code {
                    b'/' | b'\\' => return Err(Ambiguity::HiddenSlash),
                    0..=0x1f | 0x7f => return Err(Ambiguity::Control),
                    c if c.is_ascii_alphanumeric() || b"-._~".contains(&c) => decoded.push(char::from(c)),
                    c => decoded.push_str(&format!("%{c:02X}")),
                }
            }
            b'\\' => return Err(Ambiguity::HiddenSlash),
            b'?' | b'#' => return Err(Ambiguity::NotPath),
            b if b.is_ascii_graphic() => decoded.push(char::from(b)),
            _ => return Err(Ambiguity::Control),
        }
    }
    Ok(decoded)
}

/// Normalizes a host: lower case, without port and trailing dot; `None` if it is not a valid host.
pub fn normal_host(host: &str) -> Option<Cow<'_, str>> {
    let name = match host.strip_prefix('[') {
        Some(rest) => {
            let (address, port) = rest.split_once(']')?;
            let valid_port = port.is_empty() || is_port(port.strip_prefix(':')?);
            if !valid_port || address.is_empty() {
                return None;
            }
            host.get(..address.len() + 2)?
        }
        None => match host.split_once(':') {
            Some((name, port)) if is_port(port) => name,
            Some(_) => return None,
            None => host,
        },
    };
    let name = name.strip_suffix('.').unwrap_or(name);
    let ipv6 = name.strip_prefix('[').and_then(|n| n.strip_suffix(']'));
    let is_allowed = |b: u8| {
        b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_') || (ipv6.is_some() && b == b':')
    };
    if name.is_empty()
        || name.starts_with('.')
        || name.contains("..")
        || !ipv6.unwrap_or(name).bytes().all(is_allowed)
    {
        return None;
    }
    let has_upper = name.bytes().any(|b| b.is_ascii_uppercase());
    Some(if has_upper { Cow::Owned(name.to_ascii_lowercase()) } else { Cow::Borrowed(name) })
}

fn is_port(text: &str) -> bool {
    // An empty port after a colon stands for the default port of the scheme (RFC 3986, 3.2.3).
    text.len() <= 5 && text.bytes().all(|b| b.is_ascii_digit())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unambiguous_paths_are_normalized() {
        for (path, normal) in [
            ("/", "/"),
            ("/api/bid", "/api/bid"),
            ("/api/", "/api/"),
            ("/api/%62id", "/api/bid"),
            ("/a%20b%c3%a9", "/a%20b%C3%A9"),
            ("/...", "/..."),
            ("/a.b/..c", "/a.b/..c"),
            ("/%7Eme", "/~me"),
        ] {
            assert_eq!(normal_path(path).as_deref(), Ok(normal), "{path}");
            assert_eq!(normal_path(normal).as_deref(), Ok(normal), "{path}: normalization is idempotent");
        }
    }

    #[test]
    fn ambiguous_paths_are_refused() {
        for (path, why) in [
            ("", Ambiguity::NotAbsolute),
            ("*", Ambiguity::NotAbsolute),
            ("api", Ambiguity::NotAbsolute),
            ("/api/../admin", Ambiguity::DotSegment),
            ("/api/%2e%2e/admin", Ambiguity::DotSegment),
            ("/api/.%2E", Ambiguity::DotSegment),
            ("/./api", Ambiguity::DotSegment),
            ("//api", Ambiguity::EmptySegment),
            ("/api//bid", Ambiguity::EmptySegment),
            ("/api//", Ambiguity::EmptySegment),
            ("/api%2fbid", Ambiguity::HiddenSlash),
            ("/api%5Cbid", Ambiguity::HiddenSlash),
            ("/api\\bid", Ambiguity::HiddenSlash),
            ("/api%", Ambiguity::BadEncoding),
            ("/api%2", Ambiguity::BadEncoding),
            ("/api%zz", Ambiguity::BadEncoding),
            ("/api%00", Ambiguity::Control),
            ("/a b", Ambiguity::Control),
            ("/é", Ambiguity::Control),
            ("/a?b", Ambiguity::NotPath),
        ] {
            assert_eq!(normal_path(path), Err(why), "{path}");
        }
    }

    #[test]
    fn hosts_are_normalized() {
        for (host, normal) in [
            ("auction.lv", Some("auction.lv")),
            ("Auction.LV.", Some("auction.lv")),
            ("AUCTION.lv:8080", Some("auction.lv")),
            ("auction.lv.:80", Some("auction.lv")),
            ("127.0.0.1:80", Some("127.0.0.1")),
            ("[::1]:80", Some("[::1]")),
            ("[::1]", Some("[::1]")),
            ("", None),
            (".", None),
            (".lv", None),
            ("a..lv", None),
            ("a b", None),
            ("a:b", None),
            ("a:1:2", None),
            ("[]", None),
            ("[::1", None),
            ("[::1]x", None),
            ("a/b", None),
        ] {
            assert_eq!(normal_host(host).as_deref(), normal, "{host}");
        }
    }
}
