//! The configuration that simulated nodes start with: the operator's file, checked by the real code, with the
//! servers of the world in its pools.

use crate::world::World;
use applemill_balancer::interface::{BackendId, Effect, Health, Settings};
use applemill_balancer::wire::{Names, stable_hash};
use applemill_ledger::Target;
use applemill_routes::{At, Found, Header, Rules, Server, Source, SourceLocation, load, normal_path};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use thiserror::Error;

/// Why a world cannot be simulated with an operator's file.
#[derive(Debug, Error)]
pub enum FloorError {
    /// The world is invalid or names pools that the file lacks.
    #[error("the world is refused\n{}", .0.iter().map(|w| format!("  {w}\n")).collect::<String>())]
    World(Vec<String>),
    /// The operator's file is invalid.
    #[error("the operator's file is refused\n{0}")]
    File(String),
    /// The requests of a group of clients cannot be routed: the name of the group and the reason.
    #[error("clients {0}: {1}")]
    Clients(String, String),
}

/// The configuration of a pool, the same for all nodes.
pub struct Pool {
    /// Settings of the decisions, without the number and zone of the node.
    pub settings: Settings,
    /// Names of the pool's tenants and zones.
    pub names: Names,
    /// Servers may act on an incomplete request.
    pub acts_on_partial: bool,
}

/// The route of a group's requests and the resulting parameters.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// Index of the pool in the file.
    pub pool: usize,
    /// Index of the class in the pool's settings.
    pub class: usize,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// Latency objective in milliseconds; answers within it have their full worth.
    pub objective_ms: f64,
    /// Worth of an answer.
    pub worth: f64,
    /// How long the client waits for a try, in milliseconds.
    pub patience_ms: f64,
    /// Stable hash of the route's name, used to attribute failures (blame).
    pub route: u64,
    key: Option<Source>,
    tenant: Option<Source>,
}

/// The configuration of a whole world.
pub struct Floor {
    /// The checked operator's file.
    pub rules: Rules,
    /// Pools in the order of the file.
    pub pools: Vec<Pool>,
    /// By server, in the order of the world's groups: the index of its pool and its entry in discovery's
    /// list.
    pub servers: Vec<(usize, Target)>,
    /// Routes by group of clients.
    pub paths: Vec<Path>,
    indices: BTreeMap<BackendId, usize>,
}

/// The address of the server with index `n`: 10.0.0.0 plus n + 1, port 80.
fn address(n: usize) -> SocketAddr {
    let [_, b, c, d] = u32::try_from(n + 1).unwrap_or(u32::MAX).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, b, c, d), 80))
}

fn at<T>(value: T) -> At<T> {
    At { value, at: SourceLocation::default() }
}

impl Floor {
    /// Checks the text of an operator's file and replaces its servers, discovery, fleet size and zone by
    /// those of the world.
    ///
    /// # Errors
    /// The world or the file is invalid, or they do not match.
    pub fn new(world: &World, file: &str) -> Result<Floor, FloorError> {
        let problems = world.wrong();
        if !problems.is_empty() {
            return Err(FloorError::World(problems));
        }
        let (report, rules) = load(file, None);
        let Some(mut rules) = rules else { return Err(FloorError::File(report.text("file"))) };
        rules.file.fleet.nodes = world.nodes;
        rules.file.node.zone = None;
        let mut number = 0;
        let mut problems = Vec::new();
        let mut server_pools = Vec::new();
        for pool in &mut rules.file.pools {
            pool.servers.clear();
            pool.discovery = None;
        }
        for (group, servers) in world.servers.iter().enumerate() {
            let pool_index = rules.file.pools.iter().position(|p| p.name.value == servers.pool);
            let Some(pool_index) = pool_index else {
                problems
                    .push(format!("servers[{group}].pool: {:?}: the file has no such pool", servers.pool));
                continue;
            };
            for _ in 0..servers.count {
                let server = Server {
                    name: at(format!("s{number}")),
                    address: at(address(number)),
                    zone: servers.zone.clone().map(at),
                    cell: None,
                    weight: f64::from(servers.cores),
                    warm: false,
                };
                if let Some(pool) = rules.file.pools.get_mut(pool_index) {
                    pool.servers.push(server);
                }
                server_pools.push((number, pool_index));
                number += 1;
            }
        }
        if !problems.is_empty() {
            return Err(FloorError::World(problems));
        }
        let classes: Vec<_> =
            rules.plans.iter().filter_map(|p| applemill_settings::class_of_plan(&rules.file, p)).collect();
        let mut pools = Vec::new();
        let mut servers = Vec::new();
        for (pool_index, pool) in rules.file.pools.iter().enumerate() {
            let with_names = applemill_settings::pool_settings(&rules.file)
                .map_err(|e| FloorError::File(e.to_string()))?;
            let (mut settings, names) = with_names;
            settings.classes.clone_from(&classes);
            let in_pool = server_pools.iter().filter(|(_, p)| *p == pool_index);
            servers.extend(
                in_pool.zip(applemill_settings::static_targets(pool, None)).map(|((n, p), t)| (*n, *p, t)),
            );
            pools.push(Pool { settings, names, acts_on_partial: pool.acts_on_partial });
        }
        servers.sort_by_key(|(n, ..)| *n);
        let indices = servers.iter().map(|(n, _, t)| (t.entry.backend, *n)).collect();
        let servers = servers.into_iter().map(|(_, p, t)| (p, t)).collect();
        let mut floor = Floor { rules, pools, servers, paths: Vec::new(), indices };
        for clients in &world.clients {
            let path = floor.path(clients).map_err(|why| FloorError::Clients(clients.name.clone(), why))?;
            floor.paths.push(path);
        }
        Ok(floor)
    }

    fn path(&self, clients: &crate::world::Clients) -> Result<Path, String> {
        let (method, path) = clients.request.split_once(' ').ok_or("no method and path")?;
        let path = path.replace("{key}", "0").replace("{tenant}", "none");
        let path = normal_path(&path).map_err(|_| "the path is ambiguous".to_owned())?;
        let headers: Vec<(String, &str)> =
            clients.headers.iter().map(|(n, v)| (n.to_lowercase(), v.as_str())).collect();
        let header = |name: &str| {
            headers.iter().find(|(n, _)| n == name).map_or(Header::Absent, |(_, value)| Header::Once(value))
        };
        let query = applemill_routes::RouteQuery { host: None, path: &path, method, header: &header };
        let Found::Route(route) = self.rules.find(&query) else {
            return Err(format!("{}: no route matches", clients.request));
        };
        let matched = self.rules.routes.get(route).ok_or("no route")?;
        if matched.effective.class_from.is_some() {
            return Err(
                "its route takes the class from the request, which the simulation does not support"
                    .to_owned(),
            );
        }
        let pool = matched
            .pool
            .ok_or("its route goes to the platform's pool, which the simulation does not support")?;
        let class =
            self.pools.get(pool).and_then(|p| p.settings.classes.get(matched.plan)).ok_or("no class")?;
        let name = self.rules.file.routes.get(route).map_or("", |r| r.name.value.as_str());
        Ok(Path {
            pool,
            class: matched.plan,
            effect: class.effect,
            objective_ms: class.objective_ms,
            worth: class.worth,
            patience_ms: clients.patience_ms.map_or(class.deadline_ms, |p| p.min(class.deadline_ms)),
            route: stable_hash(name),
            key: matched.effective.key.as_ref().map(|k| k.value.clone()),
            tenant: matched.effective.tenant.as_ref().map(|t| t.value.clone()),
        })
    }

    /// The index of the server with this address.
    pub fn server_at(&self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = address.ip() else { return None };
        let [_, b, c, d] = ip.octets();
        (u32::from_be_bytes([0, b, c, d]) as usize).checked_sub(1).filter(|n| *n < self.servers.len())
    }

    /// The index of the server with this id in the decisions.
    pub fn server_index(&self, backend: BackendId) -> Option<usize> {
        self.indices.get(&backend).copied()
    }

    /// The pool of a server, and its entry in discovery's list with this health and start time.
    pub fn target(&self, server: usize, health: Health, started_ms: f64) -> Option<(usize, Target)> {
        let (pool, mut target) = *self.servers.get(server)?;
        target.entry.health = health;
        target.entry.ready_at_ms = started_ms;
        Some((pool, target))
    }
}

impl Path {
    /// The stable hash of the key that the route extracts from a request; `None` without a key.
    pub fn key(&self, clients: &crate::world::Clients, key: usize, tenant: &str) -> Option<u64> {
        Some(stable_hash(&extract(self.key.as_ref()?, clients, key, tenant)?))
    }

    /// The name of the tenant that the route extracts from a request; `None` without a tenant.
    pub fn tenant(&self, clients: &crate::world::Clients, key: usize, tenant: &str) -> Option<String> {
        extract(self.tenant.as_ref()?, clients, key, tenant)
    }
}

fn extract(source: &Source, clients: &crate::world::Clients, key: usize, tenant: &str) -> Option<String> {
    let filled = |text: &str| text.replace("{key}", &key.to_string()).replace("{tenant}", tenant);
    match source {
        Source::Value(text) => Some(text.clone()),
        Source::Segment(n) => {
            let path = clients.request.split_once(' ')?.1;
            path.split('/').nth(*n).map(filled).filter(|t| !t.is_empty())
        }
        Source::Header(name) => {
            clients.headers.iter().find(|(n, _)| n.to_lowercase() == *name).map(|(_, value)| filled(value))
        }
        Source::Certificate(_) => None,
    }
}
