//! The operator's file in service: read from disk, turned into pools and classes of the decisions, and taken anew on
//! a reload, whole or not at all. What the file says and whether it may is `applemill-routes`'.

use crate::call::Dialect;
use crate::driver::{Driver, Input};
use crate::setup::{PoolSetup, Source};
use applemill_ledger::Target;
use applemill_routes::{
    Chosen, DroppedBy, Effect as RouteEffect, File, LONGEST_FILE, Lease, MOST_PLANS, Plan, Platform,
    PlatformClass, Pool, Report, Retry, Rules, Slots, load_bytes,
};
use birchspoke::interface::{
    BackendId, Class, Effect, Entry, Group, Health, ListKind, RouteValues, Settings,
};
use birchspoke::wire::{self, Names, WireError, stable_hash};
use serde_json::json;
use std::cell::RefCell;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Places for classes beyond those that a node starts with: for what reloads bring.
const SPARE: usize = 32;
/// Worth of an answer after the aim and within the patience, beside one within the aim.
const LATE_WORTH: f64 = 0.3;

/// Why a file is not taken.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It cannot be read.
    #[error("{path}: {reason}")]
    Unread {
        /// The file.
        path: String,
        /// Why.
        reason: String,
    },
    /// The check refuses it.
    #[error("{} is refused\n{}", .0, .1.text(.0))]
    Refused(String, Report),
    /// It is good, but not for the node that runs.
    #[error("{0}: {1}")]
    Restart(String, String),
    /// What it says makes no settings.
    #[error("{0}: {1}")]
    Settings(String, WireError),
}

/// Reads a file whole; a folder, a pipe or one that is too long is none.
///
/// # Errors
/// It cannot be read.
pub fn read(path: &Path) -> Result<Vec<u8>, FileError> {
    let unread = |reason: String| FileError::Unread { path: path.display().to_string(), reason };
    let io = |e: std::io::Error| unread(e.to_string());
    let about = std::fs::metadata(path).map_err(io)?;
    if !about.is_file() {
        return Err(unread("not a file".into()));
    }
    if about.len() > LONGEST_FILE {
        return Err(unread(format!("{} bytes; {} MiB at most", about.len(), LONGEST_FILE >> 20)));
    }
    let mut bytes = Vec::new();
    std::fs::File::open(path).map_err(io)?.take(LONGEST_FILE + 1).read_to_end(&mut bytes).map_err(io)?;
    Ok(bytes)
}

/// Reads and checks a file. The report may have warnings.
///
/// # Errors
/// It cannot be read, or is refused.
pub fn load(path: &Path, platform: Option<&Platform>) -> Result<(Report, Rules), FileError> {
    let bytes = read(path)?;
    match load_bytes(&bytes, platform) {
        (report, Some(rules)) => Ok((report, rules)),
        (report, None) => Err(FileError::Refused(path.display().to_string(), report)),
    }
}

/// What the platform's settings allow.
pub fn platform(settings: &Settings, names: &Names) -> Platform {
    let class = |(class, name): (&Class, &String)| {
        let (effect, group) = match class.effect {
            Effect::Safe => (RouteEffect::Safe, Group::All),
            Effect::Keyed(group) => (RouteEffect::Keyed, group),
            Effect::Unsafe => (RouteEffect::Unsafe, Group::All),
        };
        let dropped_by = match group {
            Group::All => DroppedBy::Pool,
            Group::Zone => DroppedBy::Zone,
            Group::Cell => DroppedBy::Cell,
        };
        PlatformClass {
            name: name.clone(),
            effect,
            patience_ms: class.deadline_ms,
            dropped_by,
            dropped_for_ms: class.key_ttl_ms,
        }
    };
    Platform {
        classes: settings.classes.iter().zip(names.classes()).map(class).collect(),
        max_attempts: settings.max_attempts,
        second_copies: settings.second_copies && settings.may_cancel,
    }
}

/// A plan as a class of the decisions.
fn class(file: &File, plan: &Plan) -> Option<Class> {
    let class = file.classes.get(plan.class)?;
    let group = match class.dropped_by.as_ref().map(|d| d.value) {
        Some(DroppedBy::Pool) => Group::All,
        Some(DroppedBy::Zone) => Group::Zone,
        _ => Group::Cell,
    };
    Some(Class {
        aim_ms: class.aim_ms.as_ref().map_or(plan.deadline_ms, |a| a.value.min(plan.deadline_ms)),
        deadline_ms: plan.deadline_ms,
        worth: class.worth.as_ref().map_or(1.0, |w| w.value),
        late_worth: LATE_WORTH,
        effect: match class.effect.as_ref().map(|e| e.value) {
            Some(RouteEffect::Safe) => Effect::Safe,
            Some(RouteEffect::Keyed) => Effect::Keyed(group),
            _ => Effect::Unsafe,
        },
        key_ttl_ms: class.dropped_for_ms.as_ref().map_or(0.0, |d| d.value),
        aim_stretch: 0.0,
        route: RouteValues {
            attempts: plan.attempts,
            attempt_timeout_ms: plan.attempt_timeout_ms.unwrap_or(f64::INFINITY),
            reruns: plan.retry == Retry::MayHaveRun,
            second_copy_ms: plan.second_copy_ms.unwrap_or(f64::INFINITY),
        },
    })
}

/// Settings of a pool that no platform tells of; its classes are the places'.
fn settings(file: &File, pool: &Pool) -> Result<(Settings, Names), WireError> {
    let (node, fleet) = (&file.node, &file.fleet);
    let mut zones: Vec<&str> =
        pool.servers.iter().filter_map(|s| Some(s.zone.as_ref()?.value.as_str())).collect();
    zones.extend(node.zone.iter().map(|z| z.value.as_str()));
    zones.sort_unstable();
    zones.dedup();
    let tenants: Vec<_> =
        file.tenants.iter().map(|t| json!({"name": t.name.value, "quotaRps": t.rate})).collect();
    let settings = json!({
        "areas": zones, "zone": node.zone.as_ref().map_or("", |z| &z.value),
        "instances": fleet.nodes, "slotNo": fleet.number, "tickMs": 1.0, "membershipMode": "pushed",
        "classes": [{"name": "none", "hardLimitMs": 1000.0}], "tenants": tenants, "overShareWorth": 0.1,
        "limits": {"attemptsCap": 16, "mayCancel": true, "secondCopies": true, "retryAfter": node.retry_after,
                   "maxRetryAfterMs": node.retry_after_max_ms, "openCap": node.open_requests, "maxStreams": 1,
                   "connIdleMs": node.idle_timeout_ms, "connectTimeoutMs": node.connect_timeout_ms},
        "rules": {"coldMs": fleet.cold_ms, "startCapacity": fleet.start_capacity,
                  "fallMultiple": fleet.fall_multiple, "fallMs": fleet.fall_ms},
    });
    wire::settings(&settings.to_string())
}

/// A fixed list as the decisions and the driver need it.
fn targets(pool: &Pool, names: &Names) -> Vec<Target> {
    let target = |s: &applemill_routes::Server| Target {
        entry: Entry {
            // Two pools may each have a server of that name.
            backend: BackendId(stable_hash(&format!("{}/{}", pool.name.value, s.name.value))),
            zone: names.zone(s.zone.as_ref().map(|z| z.value.as_str())),
            cell: s.cell.as_ref().map_or(0, |c| c.value),
            health: Health::Up,
            units: s.weight,
            ready_at_ms: 0.0,
        },
        address: Some(s.address.value),
    };
    pool.servers.iter().map(target).collect()
}

/// One version of the file. A request holds the version that it was taken under.
pub struct Version {
    /// What it says.
    pub rules: Rules,
    /// By plan, the place of its class.
    places: Vec<usize>,
    /// Places are not given to others while a request of this version is open.
    _leases: Vec<Lease>,
    /// By pool of the file, its number at this node.
    pools: Vec<usize>,
}

/// Where a route's requests go: the pool's number, and the class there.
pub struct Way {
    /// The pool's number at this node.
    pub pool: usize,
    /// The class, by its place in that pool's settings.
    pub class: usize,
}

/// The file in service.
pub struct Operator {
    path: PathBuf,
    platform: Option<Platform>,
    slots: RefCell<Slots<Class>>,
    current: RefCell<Rc<Version>>,
}

/// An operator's pools and what they were made of, for a node to start with.
pub struct Start {
    /// The file.
    pub operator: Operator,
    /// Its pools; they are numbered from `first_pool` on.
    pub pools: Vec<PoolSetup>,
    /// Warnings about it, as text; empty for none.
    pub warnings: String,
}

impl Operator {
    /// Reads a file for a node that starts. `first_pool` is how many pools the node has without it.
    ///
    /// # Errors
    /// The file cannot be taken.
    pub fn start(path: &Path, platform: Option<Platform>, first_pool: usize) -> Result<Start, FileError> {
        let (report, rules) = load(path, platform.as_ref())?;
        let shown = path.display().to_string();
        let classes: Vec<Class> = rules.plans.iter().filter_map(|p| class(&rules.file, p)).collect();
        let Some(filler) = classes.first() else {
            return Err(FileError::Restart(shown, "no class".into()));
        };
        let mut slots = Slots::new(classes.len().min(MOST_PLANS) + SPARE, filler);
        let placed = slots.place(&classes);
        let placed = placed.map_err(|_| FileError::Restart(shown.clone(), "too many classes".into()))?;
        let mut pools = Vec::new();
        for pool in &rules.file.pools {
            let (mut settings, names) =
                settings(&rules.file, pool).map_err(|e| FileError::Settings(shown.clone(), e))?;
            settings.classes = slots.values().cloned().collect();
            let source = match &pool.discovery {
                Some(at) => Source::Discovery(at.value),
                None => Source::Fixed(targets(pool, &names)),
            };
            pools.push(PoolSetup {
                name: pool.name.value.clone(),
                settings,
                names: Rc::new(names),
                source,
                known: serde_json::Value::Null,
                dialect: Dialect::Plain,
                own_classes: 0,
            });
        }
        let numbers = (first_pool..first_pool + pools.len()).collect();
        let version = Version { rules, places: placed.places, _leases: placed.leases, pools: numbers };
        let operator = Operator {
            path: path.to_owned(),
            platform,
            slots: RefCell::new(slots),
            current: RefCell::new(Rc::new(version)),
        };
        Ok(Start { operator, pools, warnings: report.text(&shown) })
    }

    /// The classes by place: what the platform's pool gets behind its own.
    pub fn classes(&self) -> Vec<Class> {
        self.slots.borrow().values().cloned().collect()
    }

    /// The version that new requests are taken under.
    pub fn current(&self) -> Rc<Version> {
        self.current.borrow().clone()
    }

    /// Reads the file again and takes it whole or not at all. Reading and checking happen on a thread of their own:
    /// the node goes on serving.
    ///
    /// # Errors
    /// It cannot be taken; nothing has changed.
    pub async fn reload(&self, pools: &[RunningPool]) -> Result<String, FileError> {
        let (path, platform) = (self.path.clone(), self.platform.clone());
        let (told, heard) = tokio::sync::oneshot::channel();
        let thread =
            std::thread::Builder::new().spawn(move || told.send(load(&path, platform.as_ref())).is_ok());
        let shown = self.path.display().to_string();
        let unread = |reason: String| FileError::Unread { path: shown.clone(), reason };
        thread.map_err(|e| unread(e.to_string()))?;
        let (report, rules) = heard.await.map_err(|_| unread("reading it ended early".into()))??;
        self.take(rules, pools).map_err(|why| FileError::Restart(shown.clone(), why))?;
        let warnings = report.text(&shown);
        Ok(if warnings.is_empty() {
            format!("{shown} taken")
        } else {
            format!("{shown} taken\n{warnings}")
        })
    }

    fn take(&self, rules: Rules, pools: &[RunningPool]) -> Result<(), String> {
        let old = self.current();
        let fixed = |f: &File| {
            let addresses: Vec<_> = f.listeners.iter().map(|l| l.address.value).collect();
            let tenants: Vec<_> =
                f.tenants.iter().map(|t| (t.name.value.clone(), t.rate.to_bits())).collect();
            (addresses, f.node.clone(), f.fleet.clone(), tenants)
        };
        let (was, is) = (fixed(&old.rules.file), fixed(&rules.file));
        let held = [
            ("listeners", was.0 != is.0),
            ("[node]", without_places(&was.1) != without_places(&is.1)),
            ("[fleet]", was.2 != is.2),
            ("tenants", was.3 != is.3),
        ];
        if let Some((what, _)) = held.into_iter().find(|(_, changed)| *changed) {
            return Err(format!("{what} hold from start to end; start the node again to change them"));
        }
        let mut numbers = Vec::new();
        let mut lists = Vec::new();
        for pool in &rules.file.pools {
            let known = pools.iter().enumerate().find(|(_, p)| p.name == pool.name.value);
            let Some((number, running)) = known else {
                return Err(format!("pool {:?} is new; start the node again to add it", pool.name.value));
            };
            let before = old.rules.file.pools.iter().find(|p| p.name.value == pool.name.value);
            let discovery = |p: &Pool| p.discovery.as_ref().map(|d| d.value);
            if before.map(discovery) != Some(discovery(pool)) {
                return Err(format!(
                    "pool {:?} has another discovery; start the node again",
                    pool.name.value
                ));
            }
            let list = targets(pool, &running.names);
            let zone = |s: &applemill_routes::Server| {
                s.zone.as_ref().is_some_and(|z| running.names.zone(Some(&z.value)) == u16::MAX)
            };
            if let Some(server) = pool.servers.iter().find(|s| zone(s)) {
                return Err(format!(
                    "server {:?} is in a new zone; start the node again",
                    server.name.value
                ));
            }
            if discovery(pool).is_none() {
                lists.push((number, list));
            }
            numbers.push(number);
        }
        let classes: Vec<Class> = rules.plans.iter().filter_map(|p| class(&rules.file, p)).collect();
        let placed = self.slots.borrow_mut().place(&classes).map_err(|(free, wanted)| {
            format!("{wanted} new sets of values and {free} places; wait for old requests, or start the node again")
        })?;
        // From here on nothing can fail.
        for place in &placed.changed {
            if let Some(class) = self.slots.borrow().value(*place) {
                for pool in pools {
                    pool.driver.take(Input::Class(pool.own_classes + place, class.clone()));
                }
            }
        }
        for (number, list) in lists {
            if let Some(pool) = pools.get(number) {
                pool.driver.take(Input::List(ListKind::Full, list));
            }
        }
        let version = Version { rules, places: placed.places, _leases: placed.leases, pools: numbers };
        *self.current.borrow_mut() = Rc::new(version);
        Ok(())
    }
}

/// A node's figures without where they are written: an added comment moves lines and changes nothing.
fn without_places(node: &applemill_routes::Node) -> applemill_routes::Node {
    let mut node = node.clone();
    if let Some(zone) = &mut node.zone {
        zone.at = applemill_routes::Spot::default();
    }
    node
}

/// A pool that runs.
pub struct RunningPool {
    /// Its name.
    pub name: String,
    /// Its events and actions.
    pub driver: Rc<Driver>,
    /// Names of its tenants and zones.
    pub names: Rc<Names>,
    /// Classes of its settings that are not the operator's; his come behind them.
    pub own_classes: usize,
}

impl Version {
    /// Where a route's requests go; none where this is no version's that these pools serve.
    pub fn way(&self, chosen: &Chosen, pools: &[RunningPool]) -> Option<Way> {
        let pool = match chosen.pool {
            None => 0,
            Some(pool) => *self.pools.get(pool)?,
        };
        Some(Way { pool, class: pools.get(pool)?.own_classes + self.places.get(chosen.plan)? })
    }
}
