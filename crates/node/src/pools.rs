//! Pools at the start of a node: each gets its decisions, its driver, and its list of servers.

use applemill_balancer::Balancer;
use applemill_balancer::interface::{Discovery, ListKind, Settings};
use applemill_blame::Blame;
use applemill_fleet::{FleetNode, SenderCount};
use applemill_operator::{PoolSetup, RunningPool, Source};
use applemill_upstream::{DiscoveryWatch, Driver, Input, PoolKind, SharedResources, parse_listing};
use applemill_watch_calls::CallTiming;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{mpsc, watch};

/// What all pools share at their start.
pub struct PoolContext {
    /// Resources of the process.
    pub shared: Rc<SharedResources>,
    /// Seed of the random numbers in decisions.
    pub seed: u64,
    /// When this process started. What discovery has counts as told from then on.
    pub process_started: Instant,
    /// The fleet, which tells how many nodes may send to cold servers.
    pub fleet: Option<Rc<FleetNode>>,
}

impl PoolContext {
    /// A number from 0 to 1 that differs from node to node, to spread their calls to discovery.
    fn call_spread(&self) -> f64 {
        (self.seed >> 32) as u32 as f64 / f64::from(u32::MAX)
    }
}

/// Sends a new address of the discovery service to a pool's discovery watch.
pub type AddressSender = watch::Sender<SocketAddr>;

/// Starts a pool. Returns the sender of discovery addresses if the pool uses discovery.
///
/// # Errors
/// A setting is out of its range.
pub fn start_pool(
    pool: PoolSetup,
    number: u64,
    context: &PoolContext,
) -> Result<(RunningPool, Option<AddressSender>), Box<dyn Error>> {
    let PoolSetup {
        name,
        settings,
        names,
        source,
        last_known_list,
        protocol,
        platform_classes,
        acts_on_partial,
        blame,
    } = pool;
    let (reporting, mode, grace_ms) = (settings.reporting, settings.discovery, settings.drain_grace_ms);
    let balancer = Balancer::new(settings, context.seed.wrapping_add(number))?;
    let (watch_request_sender, watch_requests) = mpsc::unbounded_channel();
    let seed = context.seed.wrapping_mul(31).wrapping_add(number);
    let kind = PoolKind {
        reporting,
        protocol,
        acts_on_partial,
        blame: blame.map(|config| Blame::new(config, seed)),
    };
    let driver = Driver::new(balancer, kind, context.shared.clone(), watch_request_sender);
    // Before the driver has any server.
    if let Some(fleet) = &context.fleet {
        let subscriber = driver.clone();
        fleet.subscribe(Box::new(move |SenderCount { nodes, until }| {
            let until_ms = until.map_or(f64::INFINITY, |at| subscriber.clock.at_ms(at));
            subscriber.handle(Input::Senders(nodes, until_ms));
        }));
    }
    driver.handle(Input::Start);
    if let Some(listing) = parse_listing(&last_known_list) {
        driver.handle(Input::List(ListKind::Saved, listing.targets));
    }
    let address_sender = match source {
        Source::Discovery(initial) => {
            let (address_sender, address) = watch::channel(initial);
            let descriptors = context.shared.descriptors.clone();
            let timing = match mode {
                Discovery::Pushed => CallTiming::pushed(grace_ms, context.call_spread()),
                Discovery::OnRequest => CallTiming::on_request(grace_ms),
            };
            let held_since = context.process_started;
            let watch = DiscoveryWatch { address, mode, timing, descriptors, watch_requests, held_since };
            watch.start(driver.clone());
            Some(address_sender)
        }
        Source::Static(targets) => {
            driver.handle(Input::List(ListKind::Full, targets));
            None
        }
    };
    Ok((RunningPool { name, driver, names, platform_classes }, address_sender))
}

/// Closes the connection to a backend that has been idle longest, to free its descriptor. False if there is
/// none.
pub fn close_oldest_idle(pools: &[RunningPool]) -> bool {
    let drivers = pools.iter().map(|p| &p.driver);
    let oldest =
        drivers.filter_map(|d| Some((d.oldest_idle_since_ms()?, d))).min_by(|a, b| a.0.total_cmp(&b.0));
    oldest.is_some_and(|(_, driver)| {
        driver.handle(Input::CloseOldest);
        true
    })
}

/// The longest deadline of the classes.
pub fn longest_deadline_ms(settings: &Settings) -> f64 {
    settings.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max)
}
