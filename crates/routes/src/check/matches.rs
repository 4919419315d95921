//! Route matches: forms that no request can have, and routes that are hidden by another one.

use super::Check;
use crate::matcher::{specificity, wildcard};
use crate::model::{At, Route};
use crate::path::{normal_host, normal_path};
use crate::read::is_token;
use std::collections::{HashMap, HashSet};

/// The path that the node answers itself.
const NODE_PATH: &str = "/up";

impl Check<'_> {
    /// Checks the host, path and methods of each route for forms that no request can have.
    pub(super) fn check_matches(&mut self) {
        let file = self.file;
        for r in &file.routes {
            let field = |name: &str| format!("route {:?}: {name}", r.name.value);
            if let (Some(path), Some(prefix)) = (&r.path, &r.prefix) {
                let found = format!("a path (line {}) and a prefix", path.at.line);
                self.error("both", prefix.at, field("prefix"), found, "one of them");
            }
            for (name, path) in [("path", &r.path), ("prefix", &r.prefix)] {
                let Some(path) = path else { continue };
                match normal_path(&path.value) {
                    Ok(normal) if normal == path.value => {}
                    Ok(normal) => {
                        let found = format!(
                            "{:?} is unreachable: requests are matched in their normal form",
                            path.value
                        );
                        self.error("unreachable", path.at, field(name), found, format!("{normal:?}"));
                    }
                    Err(why) => {
                        let found = format!("{:?} is unreachable: {why}", path.value);
                        let right = "a plain path, such as \"/api/bid\"; queries are not matched";
                        self.error("unreachable", path.at, field(name), found, right);
                    }
                }
            }
            if let Some(path) = r.path.as_ref().filter(|p| p.value == NODE_PATH) {
                let found = "it is unreachable: the node answers this path itself";
                self.error("unreachable", path.at, field("path"), found, "another path");
            }
            if let Some(host) = &r.host {
                let name = wildcard(&host.value).unwrap_or(&host.value);
                let normal = normal_host(name).filter(|_| !name.contains('*'));
                match normal {
                    Some(normal) if normal == name => {}
                    Some(normal) => {
                        let found = format!(
                            "{:?} is unreachable: hosts are matched in lower case, without port and trailing dot",
                            host.value
                        );
                        let wildcard_prefix = if wildcard(&host.value).is_some() { "*." } else { "" };
                        self.error(
                            "unreachable",
                            host.at,
                            field("host"),
                            found,
                            format!("{:?}", format!("{wildcard_prefix}{normal}")),
                        );
                    }
                    None => {
                        let found = format!("{:?} is not a valid host", host.value);
                        self.error(
                            "kind",
                            host.at,
                            field("host"),
                            found,
                            "such as \"auction.lv\" or \"*.auction.lv\"",
                        );
                    }
                }
            }
            let mut seen = HashSet::new();
            for method in &r.methods {
                let upper_case = method.value.to_ascii_uppercase();
                if !is_token(&method.value) {
                    self.error(
                        "kind",
                        method.at,
                        field("method"),
                        format!("{:?}", method.value),
                        "a method, such as \"GET\"",
                    );
                } else if upper_case != method.value {
                    let found = format!("{:?} is unreachable: methods are in upper case", method.value);
                    self.error("unreachable", method.at, field("method"), found, format!("{upper_case:?}"));
                }
                if !seen.insert(method.value.as_str()) {
                    self.error(
                        "duplicate",
                        method.at,
                        field("method"),
                        format!("{:?} occurs twice", method.value),
                        "each only once",
                    );
                }
            }
        }
    }

    /// Checks equally specific routes that match the same request: either one is unreachable, or the order in
    /// the file decides.
    pub(super) fn check_overlapping_matches(&mut self) {
        let file = self.file;
        let mut by_match: HashMap<_, Vec<&Route>> = HashMap::new();
        for r in &file.routes {
            let text = |t: &Option<At<String>>| t.as_ref().map(|t| t.value.clone());
            let prefix = r.prefix.as_ref().map(|p| p.value.trim_end_matches('/').to_owned());
            let s = specificity(r);
            by_match
                .entry((text(&r.host), text(&r.path), prefix, s.method, s.headers))
                .or_default()
                .push(r);
        }
        let mut groups: Vec<Vec<&Route>> = by_match.into_values().filter(|g| g.len() > 1).collect();
        groups.sort_by_key(|g| g.first().map(|r| r.name.at));
        for group in groups {
            for (n, later) in group.iter().enumerate() {
                let Some(earlier) = group.iter().take(n).find(|earlier| overlaps(earlier, later)) else {
                    continue;
                };
                let same_headers = earlier
                    .headers
                    .iter()
                    .all(|(k, v)| later.headers.iter().any(|(l, w)| (&l.value, w) == (&k.value, v)));
                let covers_methods =
                    later.methods.iter().all(|m| earlier.methods.iter().any(|e| e.value == m.value));
                let field = format!("route {:?}", later.name.value);
                let found = format!(
                    "matches the same requests as route {:?}, line {}",
                    earlier.name.value, earlier.name.at.line
                );
                if same_headers && covers_methods {
                    let found = format!("it is unreachable: it {found}");
                    self.error(
                        "unreachable",
                        later.name.at,
                        field,
                        found,
                        "another host, path, method or header",
                    );
                } else if same_headers {
                    let found = format!("it {found}, for some methods");
                    self.error("unreachable", later.name.at, field, found, "each method in one of them");
                } else {
                    let found = format!(
                        "it {found}, except for headers that one request may both have: the one written first takes precedence"
                    );
                    self.warn(
                        "order",
                        later.name.at,
                        field,
                        found,
                        "a host, path or method that tells them apart",
                    );
                }
            }
        }
    }
}

/// Whether some request matches both routes, which are equally specific and have the same host and path.
fn overlaps(a: &Route, b: &Route) -> bool {
    let methods_overlap =
        a.methods.is_empty() || a.methods.iter().any(|m| b.methods.iter().any(|n| m.value == n.value));
    let headers_conflict =
        a.headers.iter().any(|(k, v)| b.headers.iter().any(|(l, w)| k.value == l.value && v != w));
    methods_overlap && !headers_conflict
}
