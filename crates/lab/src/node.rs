//! A simulated node: for each pool the real ledger with the real decisions, and the connections to its
//! servers.

use crate::baseline::BaselineBalancer;
use crate::draw::mix;
use crate::floor::{Floor, FloorError};
use crate::world::World;
use applemill_balancer::Balancer;
use applemill_balancer::balancer::learned::LearnedState;
use applemill_balancer::wire::zone_id;
use applemill_blame::Blame;
use applemill_ledger::{ConnId, Effect, Input, Ledger, Limits};
use std::collections::{BTreeMap, VecDeque};

/// Number of a client's try, unique in a run. Stands for the request and for its pending answer in the
/// ledger.
pub type TryId = u64;
/// An input of a node's ledger.
pub type NodeInput = Input<TryId, TryId, ()>;
/// An effect of a node's ledger.
pub type NodeEffect = Effect<TryId, TryId, ()>;

/// A connection of a node to a server.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// Index of the server.
    pub server: usize,
    /// The connection is established.
    pub open: bool,
    /// The exchange on the connection.
    pub exchange: Option<usize>,
}

/// What decides for a pool of a node.
pub enum Decider {
    /// The real ledger with the real decisions.
    Real(Box<Ledger<TryId, TryId>>),
    /// The simple balancer to compare with.
    Baseline(Box<BaselineBalancer>),
}

impl Decider {
    /// Handles an input and adds its effects to `out`.
    pub fn handle(&mut self, now: f64, input: NodeInput, out: &mut Vec<NodeEffect>) {
        match self {
            Decider::Real(ledger) => ledger.handle(now, input, out),
            Decider::Baseline(baseline) => baseline.handle(now, input, out),
        }
    }

    /// What the decisions have learned; `None` for the baseline.
    pub fn export_learned(&self) -> Option<LearnedState> {
        match self {
            Decider::Real(ledger) => Some(ledger.export_learned()),
            Decider::Baseline(_) => None,
        }
    }

    /// When the next timer is due, in milliseconds.
    pub fn next_due_ms(&self) -> Option<f64> {
        match self {
            Decider::Real(ledger) => ledger.next_due_ms(),
            Decider::Baseline(baseline) => baseline.next_due_ms(),
        }
    }
}

/// The state of a pool at a node.
pub struct NodePool {
    /// Open requests and all decisions.
    pub decider: Decider,
    /// Connections to servers.
    pub conns: BTreeMap<ConnId, Connection>,
    /// Inputs that arose while another was handled.
    pub pending_inputs: VecDeque<NodeInput>,
    /// When the earliest timer event is scheduled, in milliseconds; infinite if none is.
    pub next_wake_ms: f64,
    /// Number of the latest list of servers received.
    pub list_number: u64,
    /// By server that drains or is gone: when the node learned of that, in milliseconds.
    pub drain_known_since_ms: BTreeMap<usize, f64>,
}

/// A node of the fleet.
pub struct Node {
    /// State by pool; `None` while the node is stopped.
    pub pools: Option<Vec<NodePool>>,
    /// The zone that the node is in.
    pub zone: Option<String>,
    /// Number of times that the node has stopped.
    pub incarnation: u32,
    /// Lists of discovery do not reach the node.
    pub discovery_frozen: bool,
}

impl Node {
    /// The initial state of the pools of a node that starts. `number` is the index of the node.
    ///
    /// # Errors
    /// The decisions reject the settings of the file.
    pub fn start_pools(
        floor: &Floor,
        world: &World,
        number: u32,
        zone: Option<&str>,
        incarnation: u32,
        seed: u64,
    ) -> Result<Vec<NodePool>, FloorError> {
        let start_pool = |(index, pool): (usize, &crate::floor::Pool)| {
            let mut settings = pool.settings.clone();
            (settings.instances, settings.slot) = (world.nodes, number);
            settings.zone = zone.and_then(zone_id);
            settings.peer_messages = world.messages.is_some();
            let limits = Limits {
                connect_ms: settings.connect_timeout_ms,
                idle_ms: settings.conn_idle_ms,
                acts_on_partial: pool.acts_on_partial,
            };
            let pool_seed =
                mix(seed ^ mix(u64::from(number) << 32 | u64::from(incarnation) << 16 | index as u64));
            let decider = match world.baseline {
                Some(config) => Decider::Baseline(Box::new(BaselineBalancer::new(config, pool_seed))),
                None => {
                    let balancer =
                        Balancer::new(settings, pool_seed).map_err(|e| FloorError::File(e.to_string()))?;
                    let mut ledger = Ledger::new(balancer, limits);
                    if let Some(config) = applemill_settings::blame_config(&floor.rules.file) {
                        ledger = ledger.with_blame(Blame::new(config, pool_seed));
                    }
                    Decider::Real(Box::new(ledger))
                }
            };
            Ok(NodePool {
                decider,
                conns: BTreeMap::new(),
                pending_inputs: VecDeque::new(),
                next_wake_ms: f64::INFINITY,
                list_number: 0,
                drain_known_since_ms: BTreeMap::new(),
            })
        };
        floor.pools.iter().enumerate().map(start_pool).collect()
    }

    /// The state of a pool; `None` while the node is stopped.
    pub fn node_pool(&mut self, pool: usize) -> Option<&mut NodePool> {
        self.pools.as_mut()?.get_mut(pool)
    }
}
