//! The version of the file that new requests are handled by, and its replacement at a reload.

use crate::file::{FileError, load};
use crate::pool::{PoolSetup, RunningPool, Source};
use applemill_balancer::interface::{Class, ListKind};
use applemill_balancer::wire::stable_hash;
use applemill_routes::{File, MAX_PLANS, MatchedRoute, Platform, Pool, Rules, SlotLease, Slots};
use applemill_settings::{PreviousList, blame_config, class_of_plan, pool_settings, static_targets};
use applemill_upstream::{Input, Protocol};
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Class slots beyond those in use at the start, for classes that reloads add.
const SPARE_CLASS_SLOTS: usize = 32;

/// One version of the file. A request keeps the version it started with until it ends.
pub struct ConfigVersion {
    /// The checked contents of the file.
    pub rules: Rules,
    /// The slot of each plan's class, indexed by plan.
    class_slots: Vec<usize>,
    /// Keeps the slots from being reused while a request of this version is open.
    _leases: Vec<SlotLease>,
    /// The node's number of each pool, indexed by the pool's position in the file.
    pools: Vec<usize>,
    /// Id and name of each route for failure attribution, indexed by route; empty if attribution is off.
    route_ids: Vec<(u64, Rc<str>)>,
}

/// Id and name of each route for failure attribution; empty if attribution is off.
fn route_ids(rules: &Rules) -> Vec<(u64, Rc<str>)> {
    let id = |route: &applemill_routes::Route| {
        (stable_hash(&route.name.value), Rc::from(route.name.value.as_str()))
    };
    rules.file.routes.iter().filter(|_| rules.file.blame.on).map(id).collect()
}

/// The pool and class of a route's requests.
pub struct RouteTarget {
    /// The pool's number at this node.
    pub pool: usize,
    /// Index of the class in that pool's settings.
    pub class: usize,
}

/// The operator's file that a node runs by, and its current version.
pub struct Operator {
    path: PathBuf,
    platform: Option<Platform>,
    slots: RefCell<Slots<Class>>,
    current: RefCell<Rc<ConfigVersion>>,
}

/// What a node needs of an operator's file at its start.
pub struct OperatorStart {
    /// The file.
    pub operator: Operator,
    /// The file's pools; their numbers start at `first_pool`.
    pub pools: Vec<PoolSetup>,
    /// Warnings of the check, as text; empty if there are none.
    pub warnings: String,
}

impl Operator {
    /// Reads a file for a node that starts. `first_pool` is the number of pools that the node has beside
    /// the file's.
    ///
    /// # Errors
    /// The file cannot be read, or the node cannot run by it.
    pub fn start(
        path: &Path,
        platform: Option<Platform>,
        first_pool: usize,
    ) -> Result<OperatorStart, FileError> {
        let (report, rules) = load(path, platform.as_ref())?;
        let display_path = path.display().to_string();
        let classes: Vec<Class> =
            rules.plans.iter().filter_map(|p| class_of_plan(&rules.file, p)).collect();
        let Some(filler) = classes.first() else {
            return Err(FileError::NotApplicable(display_path, "the file defines no class".into()));
        };
        let mut slots = Slots::new(classes.len().min(MAX_PLANS) + SPARE_CLASS_SLOTS, filler);
        let placed = slots.place(&classes);
        let placed = placed
            .map_err(|_| FileError::NotApplicable(display_path.clone(), "too many classes".into()))?;
        let mut pools = Vec::new();
        for pool in &rules.file.pools {
            let (mut settings, names) = pool_settings(&rules.file)
                .map_err(|e| FileError::InvalidSettings(display_path.clone(), e))?;
            settings.classes = slots.values().cloned().collect();
            let source = match &pool.discovery {
                Some(address) => Source::Discovery(address.value),
                None => Source::Static(static_targets(pool, None)),
            };
            pools.push(PoolSetup {
                name: pool.name.value.clone(),
                settings,
                names: Rc::new(names),
                source,
                last_known_list: serde_json::Value::Null,
                protocol: Protocol::Plain,
                platform_classes: 0,
                acts_on_partial: pool.acts_on_partial,
                blame: blame_config(&rules.file),
            });
        }
        let numbers = (first_pool..first_pool + pools.len()).collect();
        let route_ids = route_ids(&rules);
        let version = ConfigVersion {
            rules,
            class_slots: placed.places,
            _leases: placed.leases,
            pools: numbers,
            route_ids,
        };
        let operator = Operator {
            path: path.to_owned(),
            platform,
            slots: RefCell::new(slots),
            current: RefCell::new(Rc::new(version)),
        };
        Ok(OperatorStart { operator, pools, warnings: report.text(&display_path) })
    }

    /// The classes, indexed by slot. The platform's pool appends them to its own classes.
    pub fn classes(&self) -> Vec<Class> {
        self.slots.borrow().values().cloned().collect()
    }

    /// The version that new requests are handled by.
    pub fn current(&self) -> Rc<ConfigVersion> {
        self.current.borrow().clone()
    }

    /// Reads the file again and applies it completely or not at all. Returns a message for the log. Reading
    /// and checking run on a separate thread, so that requests are served meanwhile.
    ///
    /// # Errors
    /// The file cannot be applied; nothing has changed.
    pub async fn reload(&self, pools: &[RunningPool]) -> Result<String, FileError> {
        let (path, platform) = (self.path.clone(), self.platform.clone());
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let thread =
            std::thread::Builder::new().spawn(move || sender.send(load(&path, platform.as_ref())).is_ok());
        let display_path = self.path.display().to_string();
        let unreadable = |reason: String| FileError::Unreadable { path: display_path.clone(), reason };
        thread.map_err(|e| unreadable(e.to_string()))?;
        let (report, rules) =
            receiver.await.map_err(|_| unreadable("the reading thread ended early".into()))??;
        self.apply(rules, pools).map_err(|why| FileError::NotApplicable(display_path.clone(), why))?;
        let warnings = report.text(&display_path);
        Ok(if warnings.is_empty() {
            format!("{display_path} taken")
        } else {
            format!("{display_path} taken\n{warnings}")
        })
    }

    fn apply(&self, rules: Rules, pools: &[RunningPool]) -> Result<(), String> {
        let old = self.current();
        // What a reload cannot change.
        let unchangeable = |f: &File| {
            let listeners: Vec<_> = f
                .listeners
                .iter()
                .map(|l| {
                    (
                        l.address.value,
                        l.is_tls(),
                        l.callers().map(|(ca, required)| (ca.to_owned(), required)),
                    )
                })
                .collect();
            let tenants: Vec<_> =
                f.tenants.iter().map(|t| (t.name.value.clone(), t.rate.to_bits())).collect();
            (listeners, f.node.clone(), f.fleet.without_places(), tenants, f.tls.held())
        };
        let (was, is) = (unchangeable(&old.rules.file), unchangeable(&rules.file));
        let sections = [
            ("listeners", was.0 != is.0),
            ("[node]", without_locations(&was.1) != without_locations(&is.1)),
            ("[fleet]", was.2 != is.2),
            ("[blame]", old.rules.file.blame != rules.file.blame),
            ("tenants", was.3 != is.3),
            ("[tls]", was.4 != is.4),
        ];
        if let Some((section, _)) = sections.into_iter().find(|(_, changed)| *changed) {
            return Err(format!("{section} hold from start to end; restart the node to change them"));
        }
        let mut numbers = Vec::new();
        let mut lists = Vec::new();
        for pool in &rules.file.pools {
            let known = pools.iter().enumerate().find(|(_, p)| p.name == pool.name.value);
            let Some((number, running)) = known else {
                return Err(format!("pool {:?} is new; restart the node to add it", pool.name.value));
            };
            let previous = old.rules.file.pools.iter().find(|p| p.name.value == pool.name.value);
            let discovery = |p: &Pool| p.discovery.as_ref().map(|d| d.value);
            if previous.map(discovery) != Some(discovery(pool)) {
                return Err(format!(
                    "pool {:?} has another discovery address; restart the node to change it",
                    pool.name.value
                ));
            }
            let list = static_targets(
                pool,
                previous.map(|pool| PreviousList { pool, now_ms: running.driver.clock.now_ms() }),
            );
            if discovery(pool).is_none() {
                lists.push((number, list));
            }
            numbers.push(number);
        }
        let classes: Vec<Class> =
            rules.plans.iter().filter_map(|p| class_of_plan(&rules.file, p)).collect();
        let placed = self.slots.borrow_mut().place(&classes).map_err(|(free, wanted)| {
            format!(
                "{wanted} new sets of values and {free} places; wait until old requests have ended, \
                 or restart the node"
            )
        })?;
        // From here on nothing can fail.
        for slot in &placed.changed {
            if let Some(class) = self.slots.borrow().value(*slot) {
                for pool in pools {
                    pool.driver.handle(Input::ClassChanged(pool.platform_classes + slot, class.clone()));
                }
            }
        }
        for (number, list) in lists {
            if let Some(pool) = pools.get(number) {
                pool.driver.handle(Input::List(ListKind::Full, list));
            }
        }
        let route_ids = route_ids(&rules);
        let version = ConfigVersion {
            rules,
            class_slots: placed.places,
            _leases: placed.leases,
            pools: numbers,
            route_ids,
        };
        *self.current.borrow_mut() = Rc::new(version);
        Ok(())
    }
}

/// The node's section without source locations: a comment that moves lines is no change.
fn without_locations(node: &applemill_routes::Node) -> applemill_routes::Node {
    let mut node = node.clone();
    if let Some(zone) = &mut node.zone {
        zone.at = applemill_routes::SourceLocation::default();
    }
    node
}

impl ConfigVersion {
    /// Id and name of a route for failure attribution; `None` if attribution is off.
    pub fn route(&self, number: usize) -> Option<&(u64, Rc<str>)> {
        self.route_ids.get(number)
    }

    /// The pool and class of a matched route's requests; `None` if `pools` are not the pools of this version.
    pub fn target(&self, chosen: &MatchedRoute, pools: &[RunningPool]) -> Option<RouteTarget> {
        let pool = match chosen.pool {
            None => 0,
            Some(pool) => *self.pools.get(pool)?,
        };
        Some(RouteTarget {
            pool,
            class: pools.get(pool)?.platform_classes + self.class_slots.get(chosen.plan)?,
        })
    }
}
