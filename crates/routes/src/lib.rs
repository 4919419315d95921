//! The operator's file: routes and classes, read, inherited, checked against the rules, matched and explained.
//! No I/O, no clock; sockets, reloading and the decisions on servers are the node's and `birchspoke`'s.

mod check;
mod digest;
mod effective;
mod explain;
mod fields;
mod matcher;
mod model;
mod path;
mod read;
mod report;
mod slots;

pub use digest::digest;
pub use effective::{BODY_LIMIT, Effective, Held, MARGIN_MS, Origin, STREAM_FLOOR, Streams, Term};
pub use explain::{Request, explain};
pub use fields::schema;
pub use matcher::{Asked, Found, Header, Miss, Strictness, Table, strictness, takes};
pub use model::{
    At, Authority, CallerName, Certificate, Class, DroppedBy, Effect, File, Fleet, Group, Listener,
    Membership, Mode, Names, Node, Origin as CertificateOrigin, Pool, Proof, Retry, Route, Seen, Server,
    Source, StreamValues, Tenant, Tls, Values,
};
pub use path::{Unclear, normal_host, normal_path};
pub use read::LONGEST_FILE;
pub use report::{Finding, Report, Severity, Spot};
pub use slots::{Lease, Placed, Slots};

use check::Check;
use std::collections::HashMap;

/// What the pool is called whose servers the platform tells of.
pub const PLATFORM_POOL: &str = "platform";
/// Distinct sets of values that a node keeps apart; each is a class to the decisions.
pub const MOST_PLANS: usize = 256;

/// A class as the platform has it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformClass {
    /// Its name.
    pub name: String,
    /// Its effect.
    pub effect: Effect,
    /// Its clients' patience in milliseconds.
    pub patience_ms: f64,
    /// Who drops its repeats.
    pub dropped_by: DroppedBy,
    /// For how long, in milliseconds.
    pub dropped_for_ms: f64,
}

/// What the platform allows, where the file stands beside its configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Its classes.
    pub classes: Vec<PlatformClass>,
    /// Attempts for one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be out at once.
    pub second_copies: bool,
}

/// Values that the decisions tell apart; routes that have the same ones share a plan. Times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The class, by its place in the file.
    pub class: usize,
    /// Attempts that can be made.
    pub attempts: u32,
    /// The longest attempt.
    pub attempt_timeout_ms: Option<f64>,
    /// Head to answer.
    pub deadline_ms: f64,
    /// What is retried on.
    pub retry: Retry,
    /// When a second copy is sent.
    pub second_copy_ms: Option<f64>,
}

/// A route of an accepted file.
#[derive(Clone, Debug, PartialEq)]
pub struct Chosen {
    /// Its plan, by its place in [`Rules::plans`].
    pub plan: usize,
    /// Its pool, by its place in the file; none for the platform's.
    pub pool: Option<usize>,
    /// All that holds for it.
    pub effective: Effective,
    /// The same for each class that a request may name, where the route says where; by the class's name.
    pub by_class: HashMap<String, Chosen>,
}

/// An accepted file.
#[derive(Debug)]
pub struct Rules {
    /// What is written.
    pub file: File,
    /// Its plans.
    pub plans: Vec<Plan>,
    /// Its routes, in the order of the file's.
    pub routes: Vec<Chosen>,
    /// Of what the file says that is the same at all nodes of a fleet; see [`digest`](fn@digest).
    pub digest: u32,
    table: Table,
}

impl Rules {
    /// The route that takes a request.
    pub fn find(&self, asked: &Asked<'_>) -> Found {
        self.table.find(&self.file.routes, asked)
    }
}

/// Reads and checks a file, beside the platform's configuration where there is one. The rules are there unless the
/// report refuses the file.
pub fn load(text: &str, platform: Option<&Platform>) -> (Report, Option<Rules>) {
    let mut report = Report::default();
    let mut file = read::read(text, &mut report);
    if let Some(platform) = platform {
        adopt(&mut file, platform);
    }
    let effective: Vec<Vec<Effective>> = file.routes.iter().map(|r| effective::all_of(&file, r)).collect();
    Check { file: &file, effective: &effective, platform, report: &mut report }.all();
    if report.refused() {
        return (report, None);
    }
    let mut rules = settle(file, effective, &mut report);
    rules.iter_mut().for_each(|r| r.digest = digest(text));
    (report, rules)
}

/// The same from bytes as they are in a file.
pub fn load_bytes(bytes: &[u8], platform: Option<&Platform>) -> (Report, Option<Rules>) {
    let refuse = |at: Spot, found: String, right: &str| {
        let finding = Finding::error("form", at, "file", found, right);
        (Report { findings: vec![finding] }, None)
    };
    let start = Spot { line: 1, column: 1 };
    if bytes.len() as u64 > LONGEST_FILE {
        return refuse(start, format!("{} bytes", bytes.len()), "8 MiB at most");
    }
    match std::str::from_utf8(bytes) {
        Ok(text) => load(text, platform),
        Err(e) => {
            let good = bytes.get(..e.valid_up_to()).unwrap_or_default();
            let at = report::Lines::of(&String::from_utf8_lossy(good)).spot(good.len());
            refuse(at, "a byte that is no UTF-8".into(), "UTF-8")
        }
    }
}

/// The platform's classes, for whatever the file leaves unsaid of them.
fn adopt(file: &mut File, platform: &Platform) {
    fn at<T>(value: T) -> Option<At<T>> {
        Some(At { value, at: Spot::default() })
    }
    for theirs in &platform.classes {
        let place = file.classes.iter().position(|c| c.name.value == theirs.name);
        let place = place.unwrap_or_else(|| {
            file.classes.push(Class {
                name: At { value: theirs.name.clone(), at: Spot::default() },
                effect: None,
                patience_ms: None,
                aim_ms: None,
                worth: None,
                dropped_by: None,
                dropped_for_ms: None,
                values: Values::default(),
            });
            file.classes.len() - 1
        });
        let Some(own) = file.classes.get_mut(place) else { continue };
        own.effect = own.effect.take().or(at(theirs.effect));
        own.patience_ms = own.patience_ms.take().or(at(theirs.patience_ms));
        if theirs.effect == Effect::Keyed && own.effect.as_ref().is_some_and(|e| e.value == Effect::Keyed) {
            own.dropped_by = own.dropped_by.take().or(at(theirs.dropped_by));
            own.dropped_for_ms = own.dropped_for_ms.take().or(at(theirs.dropped_for_ms));
        }
    }
}

/// The plan of some values, by its place; none where there are more plans than are kept apart.
fn plan(plans: &mut Vec<Plan>, e: &Effective) -> Option<usize> {
    let plan = Plan {
        class: e.class.as_ref()?.value,
        attempts: e.most_attempts(),
        attempt_timeout_ms: e.attempt_timeout_ms.value,
        deadline_ms: e.deadline_ms.value,
        retry: e.retry.value,
        second_copy_ms: e.second_copy_ms.value,
    };
    let known = plans.iter().position(|p| *p == plan);
    if known.is_none() && plans.len() < MOST_PLANS {
        plans.push(plan);
        return Some(plans.len() - 1);
    }
    known
}

/// Accepted routes with their plans; none where there are more plans than are kept apart.
fn settle(file: File, effective: Vec<Vec<Effective>>, report: &mut Report) -> Option<Rules> {
    let mut plans: Vec<Plan> = Vec::new();
    let mut routes = Vec::with_capacity(effective.len());
    for all in effective {
        let mut chosen = Vec::with_capacity(all.len());
        for effective in all {
            let Some(plan) = plan(&mut plans, &effective) else {
                let found = format!("routes with more than {MOST_PLANS} different sets of values");
                let right = "values in classes and groups, shared by their routes";
                report.findings.push(Finding::error(
                    "plans",
                    Spot { line: 1, column: 1 },
                    "route",
                    found,
                    right,
                ));
                return None;
            };
            let name = &effective.pool.as_ref()?.value;
            let pool = file.pools.iter().position(|p| p.name.value == *name);
            chosen.push(Chosen { plan, pool, effective, by_class: HashMap::new() });
        }
        let mut chosen = chosen.into_iter();
        let mut route = chosen.next()?;
        route.by_class = chosen
            .filter_map(|c| {
                let class = file.classes.get(c.effective.class.as_ref()?.value)?;
                Some((class.name.value.clone(), c))
            })
            .collect();
        routes.push(route);
    }
    let table = Table::new(&file.routes);
    Some(Rules { file, plans, routes, digest: 0, table })
}
