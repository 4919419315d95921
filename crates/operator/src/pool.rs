//! Pools of backends: their configuration at start, and the running pool.

use applemill_balancer::interface::Settings;
use applemill_balancer::wire::Names;
use applemill_blame::BlameConfig;
use applemill_ledger::Target;
use applemill_upstream::{Driver, Protocol};
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;

/// Where a pool's list of backends comes from.
pub enum Source {
    /// A discovery service at this address, by the platform's protocol.
    Discovery(SocketAddr),
    /// The servers that the operator's file lists.
    Static(Vec<Target>),
}

/// Configuration of a pool, for a node that starts.
pub struct PoolSetup {
    /// Name of the pool.
    pub name: String,
    /// Settings of its balancer.
    pub settings: Settings,
    /// Names of the classes and tenants in the settings.
    pub names: Rc<Names>,
    /// Where its list of backends comes from.
    pub source: Source,
    /// The last known list, in discovery's JSON form; null if there is none.
    pub last_known_list: Value,
    /// Protocol of its backends.
    pub protocol: Protocol,
    /// How many of the settings' classes are the platform's; the operator's classes follow them.
    pub platform_classes: usize,
    /// Its servers may act on a request before they have received all of it.
    pub acts_on_partial: bool,
    /// Configuration of failure attribution; `None` if it is off.
    pub blame: Option<BlameConfig>,
}

/// A running pool.
pub struct RunningPool {
    /// Name of the pool.
    pub name: String,
    /// Connects the ledger with the pool's sockets and timers.
    pub driver: Rc<Driver>,
    /// Names of the tenants in its settings.
    pub names: Rc<Names>,
    /// How many of the settings' classes are the platform's; the operator's classes follow them.
    pub platform_classes: usize,
}
