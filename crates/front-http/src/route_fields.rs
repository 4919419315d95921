//! The values that a route reads from a request: from its path, its headers or the client's certificate.

use crate::rejection::{Rejection, invalid};
use applemill_routes::{self as routes, CallerName, Header};
use applemill_socket::ClientIdentity;
use hyper::HeaderMap;
use std::time::Duration;

/// Reads a header that must appear once and be text.
pub(crate) fn single_header<'h>(headers: &'h HeaderMap, name: &str) -> Header<'h> {
    let mut all = headers.get_all(name).iter();
    match (all.next(), all.next()) {
        (None, _) => Header::Absent,
        (Some(value), None) => value.to_str().map_or(Header::Unclear, Header::Once),
        _ => Header::Unclear,
    }
}

/// The values that a route reads from a request.
pub(crate) struct RouteFields<'h> {
    pub(crate) tenant: Option<&'h str>,
    pub(crate) key: Option<&'h str>,
    pub(crate) client_timeout: Option<Duration>,
}

/// The parts of a request that a route can read values from.
pub(crate) struct RequestSources<'h> {
    pub(crate) path: &'h str,
    pub(crate) headers: &'h HeaderMap,
    /// The client's identity, if it is authenticated.
    pub(crate) caller: Option<&'h ClientIdentity>,
}

impl<'h> RouteFields<'h> {
    pub(crate) fn read(
        route: &'h routes::Effective,
        sources: &RequestSources<'h>,
    ) -> Result<RouteFields<'h>, Rejection> {
        let client_timeout = match sources.value(&route.patience_from)? {
            None => None,
            Some(text) => match text.trim().parse() {
                Ok(ms) => Some(Duration::from_millis(ms)),
                Err(_) => {
                    return Err(invalid("the client's patience is no number of milliseconds\n"));
                }
            },
        };
        let (tenant, key) = (sources.value(&route.tenant)?, sources.value(&route.key)?);
        Ok(RouteFields { tenant, key, client_timeout })
    }
}

impl<'h> RequestSources<'h> {
    /// Reads the value from the source that a route names; `None` if it is missing or empty.
    pub(crate) fn value(
        &self,
        source: &'h Option<routes::ResolvedValue<routes::Source>>,
    ) -> Result<Option<&'h str>, Rejection> {
        let found = match source.as_ref().map(|s| &s.value) {
            None => None,
            Some(routes::Source::Value(text)) => Some(text.as_str()),
            // The piece at index 0, before the first slash, is empty.
            Some(routes::Source::Segment(n)) => self.path.split('/').nth(*n),
            Some(routes::Source::Header(name)) => match single_header(self.headers, name) {
                Header::Absent => None,
                Header::Once(text) => Some(text),
                Header::Unclear => return Err(invalid("a header that the route reads is there twice\n")),
            },
            Some(routes::Source::Certificate(kind)) => self.caller.and_then(|caller| {
                let name = match kind {
                    CallerName::Dns => &caller.dns,
                    CallerName::Email => &caller.email,
                    CallerName::CommonName => &caller.common_name,
                };
                name.as_deref()
            }),
        };
        Ok(found.filter(|text| !text.is_empty()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use applemill_routes::{Origin, ResolvedValue as Value, Source, SourceLocation};
    use hyper::header::{HeaderName, HeaderValue};

    #[test]
    fn values_are_read_only_from_the_source_that_the_route_names() {
        let caller = ClientIdentity {
            dns: Some("north.lv".into()),
            email: Some("ops@north.lv".into()),
            common_name: None,
        };
        let headers =
            HeaderMap::from_iter([(HeaderName::from_static("x-house"), HeaderValue::from_static("h"))]);
        let read_value = |source: Source, caller: Option<&ClientIdentity>| {
            let at = SourceLocation { line: 1, column: 1 };
            let resolved = Some(Value { value: source, from: Origin::BuiltIn, at });
            let sources = RequestSources { path: "/lots/7", headers: &headers, caller };
            sources.value(&resolved).map(|found| found.map(str::to_owned))
        };
        let certificate = |kind| Source::Certificate(kind);
        let identified = Some(&caller);
        for (source, caller, expected) in [
            (certificate(CallerName::Dns), identified, Some("north.lv")),
            (certificate(CallerName::Email), identified, Some("ops@north.lv")),
            (certificate(CallerName::CommonName), identified, None),
            (certificate(CallerName::Dns), None, None),
            (Source::Header("x-house".into()), None, Some("h")),
            (Source::Header("x-other".into()), identified, None),
            (Source::Segment(2), identified, Some("7")),
            (Source::Value("v".into()), identified, Some("v")),
        ] {
            let name = format!("{source:?}");
            assert_eq!(read_value(source, caller), Ok(expected.map(str::to_owned)), "{name}");
        }
    }
}
