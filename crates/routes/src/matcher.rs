//! Finds the route for a request by hash lookups, in time that hardly depends on the number of routes.
//!
//! The most specific route takes precedence. Hosts are compared first (exact, then the longest wildcard,
//! then any), then paths (exact, then the longest prefix, then any), then whether methods are named, then
//! the number of headers. The order in the file decides only between routes that are equally specific in all
//! of these.

use crate::model::Route;
use std::collections::HashMap;

/// How specific the match of a route is; a greater value takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Specificity {
    /// `usize::MAX` for an exact host, the number of labels of a wildcard's domain, 0 for any host.
    pub host: usize,
    /// `usize::MAX` for an exact path, the number of segments plus one for a prefix, 0 for any path.
    pub path: usize,
    /// Whether the route names methods.
    pub method: bool,
    /// Number of required headers.
    pub headers: usize,
}

/// The domain of a wildcard host such as `*.auction.lv`.
pub(crate) fn wildcard(host: &str) -> Option<&str> {
    host.strip_prefix("*.")
}

/// A prefix without its trailing slash.
fn trimmed(prefix: &str) -> &str {
    prefix.strip_suffix('/').unwrap_or(prefix)
}

/// How specific the match of a route is.
pub fn specificity(route: &Route) -> Specificity {
    let host =
        route.host.as_ref().map_or(0, |h| wildcard(&h.value).map_or(usize::MAX, |d| d.split('.').count()));
    let prefix = |p: &str| 1 + trimmed(p).matches('/').count();
    let path = match (&route.path, &route.prefix) {
        (Some(_), _) => usize::MAX,
        (None, Some(p)) => prefix(&p.value),
        (None, None) => 0,
    };
    Specificity { host, path, method: !route.methods.is_empty(), headers: route.headers.len() }
}

/// The value of a header in a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Header<'a> {
    /// The header is absent.
    Absent,
    /// The header occurs once, with this value.
    Once(&'a str),
    /// The header occurs several times or has a value that is not text, and therefore has no definite value.
    Unclear,
}

/// The parts of a request that determine its route.
pub struct RouteQuery<'a> {
    /// The normalized host, if the request has one.
    pub host: Option<&'a str>,
    /// The normalized path.
    pub path: &'a str,
    /// The method in capitals.
    pub method: &'a str,
    /// Looks up a header by its lower-case name.
    pub header: &'a dyn Fn(&str) -> Header<'a>,
}

/// Why a route does not match a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// The host differs.
    Host,
    /// The path differs.
    Path,
    /// The method differs.
    Method,
    /// This header is absent or has another value.
    Header(String),
    /// This header has no definite value; see [`Header::Unclear`].
    Unclear(String),
}

/// Checks whether a route matches a request, regardless of other routes.
pub fn check_match(route: &Route, query: &RouteQuery<'_>) -> Result<(), Mismatch> {
    if let Some(host) = &route.host {
        let matches = match (wildcard(&host.value), query.host) {
            (_, None) => false,
            (None, Some(requested)) => requested == host.value,
            (Some(domain), Some(requested)) => {
                let labels = requested.strip_suffix(domain).and_then(|r| r.strip_suffix('.'));
                labels.is_some_and(|l| !l.is_empty())
            }
        };
        if !matches {
            return Err(Mismatch::Host);
        }
    }
    let has_prefix = |prefix: &str| {
        let rest = query.path.strip_prefix(trimmed(prefix));
        rest.is_some_and(|r| r.is_empty() || r.starts_with('/'))
    };
    if route.path.as_ref().is_some_and(|p| p.value != query.path)
        || route.prefix.as_ref().is_some_and(|p| !has_prefix(&p.value))
    {
        return Err(Mismatch::Path);
    }
    check_method_and_headers(route, query)
}

fn check_method_and_headers(route: &Route, query: &RouteQuery<'_>) -> Result<(), Mismatch> {
    if !route.methods.is_empty() && !route.methods.iter().any(|m| m.value == query.method) {
        return Err(Mismatch::Method);
    }
    for (name, value) in &route.headers {
        match (query.header)(&name.value) {
            Header::Once(actual) if actual == value => {}
            Header::Unclear => return Err(Mismatch::Unclear(name.value.clone())),
            _ => return Err(Mismatch::Header(name.value.clone())),
        }
    }
    Ok(())
}

/// The result of a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// Index of the route in the file.
    Route(usize),
    /// No route matches the request.
    Nothing,
    /// A route that may match requires this header, which has no definite value in the request.
    Unclear(String),
}

#[derive(Debug, Default)]
struct Paths {
    exact: HashMap<Box<str>, Vec<u32>>,
    prefix: HashMap<Box<str>, Vec<u32>>,
    any: Vec<u32>,
    /// Number of slashes in the longest prefix; longer ones need not be looked up.
    max_prefix_slashes: usize,
}

/// All routes, indexed by host and path.
#[derive(Debug, Default)]
pub struct Table {
    exact: HashMap<Box<str>, Paths>,
    wildcards: HashMap<Box<str>, Paths>,
    any: Paths,
}

impl Table {
    /// Builds the index. Hosts and paths of the routes must be normalized.
    pub fn new(routes: &[Route]) -> Table {
        let mut table = Table::default();
        let mut order: Vec<(usize, Specificity)> = routes.iter().map(specificity).enumerate().collect();
        // The sort is stable: equally specific routes keep the order of the file.
        order.sort_by_key(|(_, s)| std::cmp::Reverse(*s));
        for (n, _) in order {
            let (Some(route), Ok(index)) = (routes.get(n), u32::try_from(n)) else { continue };
            let paths = match route.host.as_ref().map(|h| (wildcard(&h.value), h.value.as_str())) {
                None => &mut table.any,
                Some((Some(domain), _)) => table.wildcards.entry(domain.into()).or_default(),
                Some((None, host)) => table.exact.entry(host.into()).or_default(),
            };
            match (&route.path, &route.prefix) {
                (Some(path), _) => paths.exact.entry(path.value.as_str().into()).or_default().push(index),
                (None, Some(prefix)) => {
                    let prefix = trimmed(&prefix.value);
                    paths.max_prefix_slashes = paths.max_prefix_slashes.max(prefix.matches('/').count());
                    paths.prefix.entry(prefix.into()).or_default().push(index);
                }
                (None, None) => paths.any.push(index),
            }
        }
        table
    }

    /// Looks up the route for a request. `routes` must be the routes from which the table was built.
    pub fn find(&self, routes: &[Route], query: &RouteQuery<'_>) -> Found {
        if let Some(host) = query.host {
            if let Some(found) = self.exact.get(host).and_then(|p| p.find(routes, query)) {
                return found;
            }
            if !self.wildcards.is_empty() {
                let mut rest = host;
                while let Some((_, domain)) = rest.split_once('.') {
                    if let Some(found) = self.wildcards.get(domain).and_then(|p| p.find(routes, query)) {
                        return found;
                    }
                    rest = domain;
                }
            }
        }
        self.any.find(routes, query).unwrap_or(Found::Nothing)
    }
}

impl Paths {
    fn find(&self, routes: &[Route], query: &RouteQuery<'_>) -> Option<Found> {
        let first_match = |indices: &Vec<u32>| {
            indices.iter().find_map(|index| {
                let index = *index as usize;
                match check_method_and_headers(routes.get(index)?, query) {
                    Ok(()) => Some(Found::Route(index)),
                    Err(Mismatch::Unclear(name)) => Some(Found::Unclear(name)),
                    Err(_) => None,
                }
            })
        };
        if let Some(found) = self.exact.get(query.path).and_then(first_match) {
            return Some(found);
        }
        if !self.prefix.is_empty() {
            // From the longest possible prefix to the shortest.
            let slashes =
                query.path.bytes().enumerate().filter(|(_, b)| *b == b'/').map(|(n, _)| n).skip(1);
            let ends: Vec<usize> =
                slashes.chain(std::iter::once(query.path.len())).take(self.max_prefix_slashes).collect();
            for end in ends.into_iter().rev().chain(std::iter::once(0)) {
                let prefix = query.path.get(..end).unwrap_or_default();
                if let Some(found) = self.prefix.get(prefix).and_then(first_match) {
                    return Some(found);
                }
            }
        }
        first_match(&self.any)
    }
}
