//! Derives the mix of requests from an operator's file: one group of clients for each route.

use applemill_lab::Clients;
use applemill_routes::{Effect, Route, Rules, load};
use std::collections::BTreeMap;
use thiserror::Error;

/// Why no mix can be derived.
#[derive(Debug, Error)]
pub enum MixError {
    /// The file is invalid; the text lists the reasons.
    #[error("the operator's file is refused\n{0}")]
    File(String),
    /// A weight names an unknown route: that name, and the names of the file's routes.
    #[error("--weight {0:?}: the file has no such route; it has {1}")]
    Route(String, String),
}

/// A path that the route matches; `{key}` where a segment may be anything.
fn path(route: &Route) -> String {
    match (&route.path, &route.prefix) {
        (Some(path), _) => path.value.clone(),
        (None, Some(prefix)) => format!("{}/{{key}}", prefix.value.trim_end_matches('/')),
        (None, None) => "/{key}".to_owned(),
    }
}

/// Headers that the route requires. A request of a keyed class also gets an idempotency key, with `{number}`
/// as the placeholder for the number of the request.
fn headers(rules: &Rules, index: usize, route: &Route) -> BTreeMap<String, String> {
    let required = route.headers.iter().map(|(name, value)| (name.value.clone(), value.clone()));
    let class =
        rules.routes.get(index).and_then(|r| rules.file.classes.get(r.effective.class.as_ref()?.value));
    let keyed = class.and_then(|c| c.effect.as_ref()).is_some_and(|e| e.value == Effect::Keyed);
    required.chain(keyed.then(|| ("idempotency-key".to_owned(), "{number}".to_owned()))).collect()
}

/// One group of clients for each route of an operator's file. `rate` is the total in requests per second,
/// divided by weight; a route that `weights` does not name has weight 1.
///
/// # Errors
/// The file is invalid, or a weight names an unknown route.
pub fn clients_from_file(
    text: &str,
    rate: f64,
    keys: u32,
    weights: &[(String, f64)],
) -> Result<Vec<Clients>, MixError> {
    let (report, rules) = load(text, None);
    let rules = rules.ok_or_else(|| MixError::File(report.text("file")))?;
    let routes = &rules.file.routes;
    let names: Vec<&str> = routes.iter().map(|r| r.name.value.as_str()).collect();
    if let Some((name, _)) = weights.iter().find(|(name, _)| !names.contains(&name.as_str())) {
        return Err(MixError::Route(name.clone(), names.join(", ")));
    }
    let weight = |r: &Route| weights.iter().find(|(n, _)| *n == r.name.value).map_or(1.0, |(_, w)| *w);
    let total_weight: f64 = routes.iter().map(weight).sum();
    let clients = |(index, r): (usize, &Route)| Clients {
        request: format!("{} {}", r.methods.first().map_or("GET", |m| m.value.as_str()), path(r)),
        headers: headers(&rules, index, r),
        rate: rate * weight(r) / total_weight.max(1e-9),
        keys,
        ..Clients::named(&r.name.value)
    };
    Ok(routes.iter().enumerate().map(clients).filter(|c| c.rate > 0.0).collect())
}
