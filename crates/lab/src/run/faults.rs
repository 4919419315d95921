//! Applies faults, starts and stops nodes, and delivers the lists of discovery with a delay.

use super::{Event, Lab};
use crate::draw::{Draws, mix};
use crate::floor::FloorError;
use crate::node::{Node, TryId};
use crate::record::End;
use crate::server::{Leak, Server};
use crate::world::What;
use applemill_balancer::interface::{Health, ListKind};
use applemill_ledger::{Input, Target};
use std::rc::Rc;

impl Lab<'_> {
    /// The servers, or nodes, that a fault affects.
    fn affected(&self, n: usize) -> Vec<usize> {
        let Some(fault) = self.world.faults.get(n) else { return Vec::new() };
        let limit = fault.first.map_or(usize::MAX, |f| f as usize);
        if matches!(fault.fault, What::NodesLost | What::Unheard) {
            let all = self.nodes.iter().enumerate();
            let matching = all.filter(|(_, node)| fault.zone.is_none() || node.zone == fault.zone);
            return matching.map(|(n, _)| n).take(limit).collect();
        }
        let all = self
            .servers
            .iter()
            .enumerate()
            .filter_map(|(n, s)| Some((n, self.world.servers.get(s.group)?)));
        let matching = all.filter(|(_, g)| {
            fault.pool.as_ref().is_none_or(|p| *p == g.pool)
                && (fault.zone.is_none() || g.zone == fault.zone)
        });
        matching.map(|(n, _)| n).take(limit).collect()
    }

    pub(super) fn apply_fault(&mut self, n: usize, begins: bool) {
        let now = self.now;
        let Some(fault) = self.world.faults.get(n) else { return };
        let by = fault.by;
        for at in self.affected(n) {
            match fault.fault {
                What::NodesLost if begins => self.stop_node(at),
                // Cannot fail: the same settings were accepted at the first start.
                What::NodesLost => drop(self.start_node(at)),
                What::Unheard => {
                    if let Some(node) = self.nodes.get_mut(at) {
                        node.discovery_frozen = begins;
                    }
                    if !begins {
                        self.announce_servers_to(at);
                    }
                }
                What::Lost if begins => self.stop_server(at),
                What::Lost => self.handle_event(Event::ServerStarts(at)),
                What::Unlisted => {
                    if let Some(server) = self.servers.get_mut(at) {
                        server.unlisted = begins;
                    }
                    self.announce_servers();
                }
                What::Drain => {
                    if let Some(draining) = self.draining.get_mut(at) {
                        *draining = begins;
                    }
                    self.announce_servers();
                }
                fault_kind => {
                    if let Some(server) = self.servers.get_mut(at) {
                        match fault_kind {
                            What::Slow => server.slowdown = if begins { by } else { 1.0 },
                            What::Errors => server.error_fraction = if begins { by } else { 0.0 },
                            What::Wrong => server.malformed_fraction = if begins { by } else { 0.0 },
                            What::Leak => server.leak = begins.then_some(Leak { since_ms: now, per_s: by }),
                            What::Cut => server.cut = begins,
                            What::Mute => server.mute = begins,
                            _ if begins => server.paused_until_ms = now + fault.lasts * 1000.0,
                            _ => {}
                        }
                    }
                }
            }
        }
    }

    /// The servers of a pool with their current states in discovery.
    fn server_list(&self, pool: usize) -> Vec<Target> {
        let target_of = |(n, s): (usize, &Server)| {
            let health = match (s.is_up() && !s.unlisted, self.draining.get(n)) {
                (false, _) => Health::Gone,
                (true, Some(true)) => Health::Draining,
                (true, _) => Health::Up,
            };
            let (server_pool, target) = self.floor.target(n, health, s.started_ms())?;
            (server_pool == pool).then_some(target)
        };
        self.servers.iter().enumerate().filter_map(target_of).collect()
    }

    /// Sends each node the changed lists of servers, with a separate delay for each node.
    pub(super) fn announce_servers(&mut self) {
        self.list_number += 1;
        for node in 0..self.nodes.len() {
            self.announce_servers_to(node);
        }
    }

    fn announce_servers_to(&mut self, node: usize) {
        let (number, discovery) = (self.list_number, &self.world.discovery);
        let mut draws = Draws::new(self.seed, mix(number << 20 | node as u64));
        let at = self.now + discovery.late_ms + discovery.spread_ms * draws.part();
        let incarnation = self.nodes.get(node).map_or(0, |n| n.incarnation);
        for pool in 0..self.floor.pools.len() {
            let list = Rc::new(self.server_list(pool));
            self.schedule(at, Event::ListReachesNode { node, pool, incarnation, number, list });
        }
    }

    pub(super) fn list_reaches_node(
        &mut self,
        node: usize,
        pool: usize,
        incarnation: u32,
        number: u64,
        list: &Rc<Vec<Target>>,
    ) {
        let now = self.now;
        let Some(n) =
            self.nodes.get_mut(node).filter(|n| n.incarnation == incarnation && !n.discovery_frozen)
        else {
            return;
        };
        let Some(node_pool) = n.node_pool(pool) else { return };
        // An older list that was overtaken by a newer one.
        if number < node_pool.list_number {
            return;
        }
        node_pool.list_number = number;
        for target in list.iter() {
            let Some(server) = self.floor.server_index(target.entry.backend) else { continue };
            match target.entry.health {
                Health::Up => drop(node_pool.drain_known_since_ms.remove(&server)),
                Health::Draining | Health::Gone => {
                    node_pool.drain_known_since_ms.entry(server).or_insert(now);
                }
            }
        }
        self.deliver(node, pool, Input::List(ListKind::Full, list.to_vec()));
    }

    /// Starts a node with no knowledge but the current lists of servers.
    pub(super) fn start_node(&mut self, at: usize) -> Result<(), FloorError> {
        let Some(node) = self.nodes.get(at).filter(|n| n.pools.is_none()) else { return Ok(()) };
        let number = u32::try_from(at).unwrap_or(u32::MAX);
        let pools = Node::start_pools(
            self.floor,
            self.world,
            number,
            node.zone.as_deref(),
            node.incarnation,
            self.seed,
        )?;
        if let Some(node) = self.nodes.get_mut(at) {
            node.pools = Some(pools);
        }
        for pool in 0..self.floor.pools.len() {
            self.deliver(at, pool, Input::Start);
            let list = self.server_list(pool);
            self.deliver(at, pool, Input::List(ListKind::Full, list));
        }
        Ok(())
    }

    /// Stops a node: the requests that it has accepted are lost, which violates no rule.
    fn stop_node(&mut self, at: usize) {
        let Some(node) = self.nodes.get_mut(at).filter(|n| n.pools.is_some()) else { return };
        node.pools = None;
        node.incarnation += 1;
        for (_, exchange) in self.exchanges.iter_mut().filter(|(_, e)| e.node == at) {
            exchange.conn = None;
        }
        let open = self.tries.iter().filter(|(_, t)| t.node == at && t.client_waits);
        let lost: Vec<(TryId, usize)> = open.map(|(id, t)| (*id, t.request)).collect();
        for (id, request) in lost {
            if let Some(client_try) = self.tries.get_mut(&id) {
                client_try.client_waits = false;
            }
            self.finish_try(request, End::Lost, 0.0);
            self.drop_finished_try(id);
        }
    }
}
