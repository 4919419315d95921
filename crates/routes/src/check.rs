//! The check: whether what the file says can break a rule, whatever way a value got there. Every finding has a
//! rule's name; each rule is one function, or one arm, so that a test can leave it out and see the gap found.

mod fleet;
mod matches;
mod platform;
mod safety;
mod shape;
mod streams;
mod tls;

use crate::effective::Effective;
use crate::model::{Class, File, Pool, Route};
use crate::read::distance;
use crate::report::{Finding, Report, Spot};
use crate::{PLATFORM_POOL, Platform};
use std::collections::{HashMap, HashSet};
use std::hash::Hash;

pub(crate) struct Check<'f> {
    pub(crate) file: &'f File,
    /// By route, what holds for each class that its requests may have.
    pub(crate) effective: &'f [Vec<Effective>],
    pub(crate) platform: Option<&'f Platform>,
    pub(crate) report: &'f mut Report,
}

impl Check<'_> {
    pub(crate) fn all(&mut self) {
        self.sections();
        self.classes();
        self.platform_classes();
        self.pools();
        self.matches();
        self.like_matches();
        for (route, all) in self.file.routes.iter().zip(self.effective) {
            for e in all {
                self.references(route, e);
                self.resends(route, e);
                self.times(route, e);
                self.streams(route, e);
                self.methods(route, e);
                self.sources(route, e);
                self.platform_route(route, e);
            }
        }
        self.stream_memory();
        self.tls();
        self.membership();
        self.seen();
        self.unused();
        self.report.settle();
    }

    fn error(
        &mut self,
        rule: &'static str,
        at: Spot,
        field: impl Into<String>,
        found: impl Into<String>,
        right: impl Into<String>,
    ) {
        self.report.findings.push(Finding::error(rule, at, field, found, right));
    }

    fn warn(
        &mut self,
        rule: &'static str,
        at: Spot,
        field: impl Into<String>,
        found: impl Into<String>,
        right: impl Into<String>,
    ) {
        self.report.findings.push(Finding::error(rule, at, field, found, right).warning());
    }

    fn class(&self, e: &Effective) -> Option<&Class> {
        e.class.as_ref().and_then(|c| self.file.classes.get(c.value))
    }

    /// Reports what comes twice in a list.
    fn twice<'v, K: Eq + Hash + Copy>(
        &mut self,
        field: &str,
        all: impl Iterator<Item = (K, &'v str, Spot)>,
    ) {
        let mut first: HashMap<K, Spot> = HashMap::new();
        for (key, name, at) in all {
            if let Some(other) = first.get(&key) {
                let found = format!("{name:?} is there twice; first in line {}", other.line);
                self.error("duplicate", at, field, found, "each once");
            } else {
                first.insert(key, at);
            }
        }
    }

    fn sections(&mut self) {
        let file = self.file;
        let start = Spot { line: 1, column: 1 };
        self.twice(
            "listener: address",
            file.listeners.iter().map(|l| (l.address.value, l.name.value.as_str(), l.address.at)),
        );
        self.twice(
            "listener: name",
            file.listeners.iter().map(|l| (l.name.value.as_str(), l.name.value.as_str(), l.name.at)),
        );
        self.twice(
            "route: name",
            file.routes.iter().map(|r| (r.name.value.as_str(), r.name.value.as_str(), r.name.at)),
        );
        if file.routes.is_empty() {
            self.error("missing", start, "route", "no route", "at least one [[route]]");
        }
        if self.platform.is_some() {
            for section in &file.sections {
                if matches!(
                    section.value.as_str(),
                    "node" | "fleet" | "listener" | "tenant" | "tls" | "certificate" | "authority"
                ) {
                    let found = "the platform's configuration says this";
                    self.error(
                        "platform-owns",
                        section.at,
                        section.value.clone(),
                        found,
                        "leave the section out",
                    );
                }
            }
            return;
        }
        if file.listeners.is_empty() {
            self.error("missing", start, "listener", "no listener", "at least one [[listener]]");
        }
        if file.pools.is_empty() {
            self.error("missing", start, "pool", "no pool", "at least one [pool.NAME]");
        }
        if file.fleet.number >= file.fleet.nodes {
            let at = file.sections.iter().find(|s| s.value == "fleet").map_or(start, |s| s.at);
            let found = format!("number {} of {} nodes", file.fleet.number, file.fleet.nodes);
            self.error("range", at, "fleet: number", found, "less than nodes: numbers begin with 0");
        }
    }

    fn references(&mut self, r: &Route, e: &Effective) {
        let file = self.file;
        let title = |name: &str| format!("route {:?}: {name}", r.name.value);
        let near = |name: &str, all: Vec<&str>| {
            let best = all.iter().map(|a| (distance(name, a), *a)).min();
            match best {
                Some((d, a)) if d <= 1 + a.len() / 4 => format!("{a:?}"),
                _ if all.is_empty() => "one that is written".to_owned(),
                _ => format!("one of {}", all.join(", ")),
            }
        };
        if let Some(group) = &r.group
            && !file.groups.iter().any(|g| g.name.value == group.value)
        {
            let right = near(&group.value, file.groups.iter().map(|g| g.name.value.as_str()).collect());
            self.error(
                "unknown-name",
                group.at,
                title("group"),
                format!("no group {:?}", group.value),
                right,
            );
        }
        let group = r.group.as_ref().and_then(|g| file.groups.iter().find(|h| h.name.value == g.value));
        let written = r.names.class.as_ref().or_else(|| group.and_then(|g| g.names.class.as_ref()));
        match (written, &e.class) {
            (None, _) => self.error(
                "missing",
                r.name.at,
                title("class"),
                "no class, in the route or its group",
                "class = \"NAME\"",
            ),
            (Some(name), None) => {
                let right = near(&name.value, file.classes.iter().map(|c| c.name.value.as_str()).collect());
                self.error(
                    "unknown-name",
                    name.at,
                    title("class"),
                    format!("no class {:?}", name.value),
                    right,
                );
            }
            _ => {}
        }
        match &e.pool {
            None => self.error(
                "missing",
                r.name.at,
                title("pool"),
                "no pool, in the route or its group",
                "pool = \"NAME\"",
            ),
            Some(pool) if self.pool(&pool.value).is_none() && !self.is_platform(&pool.value) => {
                let right = near(&pool.value, file.pools.iter().map(|p| p.name.value.as_str()).collect());
                self.error(
                    "unknown-name",
                    pool.at,
                    title("pool"),
                    format!("no pool {:?}", pool.value),
                    right,
                );
            }
            Some(_) => {}
        }
    }

    fn pool(&self, name: &str) -> Option<&Pool> {
        self.file.pools.iter().find(|p| p.name.value == name)
    }

    fn is_platform(&self, name: &str) -> bool {
        self.platform.is_some() && name == PLATFORM_POOL
    }

    /// What is written and names nothing that is used is a slip, or left over.
    fn unused(&mut self) {
        let file = self.file;
        let classes: HashSet<usize> =
            self.effective.iter().flatten().filter_map(|e| e.class.as_ref().map(|c| c.value)).collect();
        for (n, c) in file.classes.iter().enumerate() {
            if !classes.contains(&n) && c.name.at != Spot::default() {
                self.warn(
                    "unused",
                    c.name.at,
                    format!("class {:?}", c.name.value),
                    "no route is of this class",
                    "leave it out",
                );
            }
        }
        let pools: HashSet<&str> = self
            .effective
            .iter()
            .flatten()
            .filter_map(|e| e.pool.as_ref().map(|p| p.value.as_str()))
            .collect();
        for p in file.pools.iter().filter(|p| !pools.contains(p.name.value.as_str())) {
            self.warn(
                "unused",
                p.name.at,
                format!("pool {:?}", p.name.value),
                "no route is served by it",
                "leave it out",
            );
        }
        let groups: HashSet<&str> =
            file.routes.iter().filter_map(|r| r.group.as_ref().map(|g| g.value.as_str())).collect();
        for g in file.groups.iter().filter(|g| !groups.contains(g.name.value.as_str())) {
            self.warn(
                "unused",
                g.name.at,
                format!("group {:?}", g.name.value),
                "no route is in it",
                "leave it out",
            );
        }
    }
}
