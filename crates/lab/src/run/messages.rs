//! Messages between nodes: delayed, sometimes lost, and dropped if the receiver is stopped. Some nodes send
//! false reports.

use super::{Event, Lab};
use applemill_ledger::Input;
use applemill_peer_reports::{Report, write};
use std::rc::Rc;

impl Lab<'_> {
    /// Sends a message of a node to another node, or to all if `to` is `None`.
    pub(super) fn send_message(&mut self, from: usize, pool: usize, to: Option<u32>, bytes: Vec<u8>) {
        let Some(settings) = &self.world.messages else { return };
        let bytes = Rc::new(bytes);
        let receivers = match to {
            Some(to) => to as usize..to as usize + 1,
            None => 0..self.nodes.len(),
        };
        for node in receivers.filter(|node| *node != from) {
            self.record.told_bytes += bytes.len() as u64;
            if !self.message_draws.hit(settings.lost) {
                let at = self.now + settings.late_ms + settings.spread_ms * self.message_draws.part();
                self.schedule(
                    at,
                    Event::MessageReachesNode { node, pool, from: from as u32, bytes: bytes.clone() },
                );
            }
        }
    }

    pub(super) fn message_reaches_node(&mut self, node: usize, pool: usize, from: u32, bytes: &[u8]) {
        if self.nodes.get(node).is_some_and(|n| n.pools.is_some()) {
            self.deliver(node, pool, Input::Message(from, bytes.to_vec()));
        }
    }

    /// Lets each lying node report the accused server as failing to all others; called each second.
    pub(super) fn send_false_reports(&mut self) {
        let Some(settings) = &self.world.messages else { return };
        let Some((pool, target)) = self.floor.servers.get(settings.accused as usize) else { return };
        let (pool, server) = (*pool, target.entry.backend.0 as u32);
        let count = self.nodes.len();
        for from in count.saturating_sub(settings.liars as usize)..count {
            self.send_message(from, pool, None, write(&[Report { server, bad: true, age_ms: 0.0 }]));
        }
    }
}
