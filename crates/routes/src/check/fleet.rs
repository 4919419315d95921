//! Whether nodes can tell each other that they are there as a file says.

use super::Check;
use crate::effective::time;

/// Nodes that say something to each other, at most.
const MOST: usize = 4_096;
/// What a round of questions and the spread of their answers take, by node, in milliseconds.
const ROUND_MS: f64 = 25.0;

/// Bytes of a node's name and of its zone that fit a datagram with two of each.
const NAME: usize = 16;
const ZONE: usize = 8;

impl Check<'_> {
    pub(super) fn seen(&mut self) {
        let Some(seen) = &self.file.seen else { return };
        let node = &self.file.node;
        if node.name.len() > NAME || node.name.is_empty() {
            let found = format!("{:?}, {} bytes", node.name, node.name.len());
            let right = format!("1 to {NAME} bytes where [view] is written, and another at each node");
            self.error("range", seen.fleet.at, "node: name", found, right);
        }
        if let Some(zone) = node.zone.as_ref().filter(|z| z.value.len() > ZONE) {
            let found = format!("{:?}, {} bytes", zone.value, zone.value.len());
            self.error(
                "range",
                zone.at,
                "node: zone",
                found,
                format!("at most {ZONE} bytes where [view] is written"),
            );
        }
        let (reached, at) = (seen.reached(), seen.address.as_ref().unwrap_or(&seen.listen).at);
        if reached.ip().is_unspecified() || reached.port() == 0 {
            let right = "address = \"10.0.0.3:7001\", where the others reach this node";
            self.error(
                "missing",
                at,
                "view: address",
                format!("{reached}, which nobody can send to"),
                right,
            );
        }
        let far = seen.seeds.iter().find(|s| !s.value.ip().is_loopback());
        if let (Some(far), None) = (far, &seen.key) {
            let found = format!("no key, and {} is another machine's", far.value);
            let right = "key_file = \"/etc/applemill/fleet.key\", the same file at all nodes";
            self.error("missing", far.at, "view: key_file", found, right);
        }
        if seen.seeds.iter().all(|s| s.value == reached) {
            let right = "the address of one other node or more";
            self.warn("no-seed", seen.listen.at, "view: seeds", "none but this node's own", right);
        }
    }

    pub(super) fn membership(&mut self) {
        let (fleet, m) = (&self.file.fleet, &self.file.fleet.membership);
        let Some(first) = m.peers.first() else {
            let idle =
                [("listen", m.listen.as_ref().map(|l| l.at)), ("key_file", m.key.as_ref().map(|k| k.at))];
            for (name, at) in idle {
                if let Some(at) = at {
                    let found = "no peers: nodes say nothing to each other";
                    self.warn("idle-value", at, format!("fleet: {name}"), found, "peers, or leave it out");
                }
            }
            return;
        };
        if m.peers.len() != fleet.nodes as usize || m.peers.len() > MOST {
            let found = format!("{} peers of {} nodes", m.peers.len(), fleet.nodes);
            let right = format!("each node's address, by number, its own among them; {MOST} at most");
            self.error("range", first.at, "fleet: peers", found, right);
        }
        let named: Vec<_> = m.peers.iter().map(|p| (p.value, p.value.to_string(), p.at)).collect();
        self.twice("fleet: peers", named.iter().map(|(key, name, at)| (*key, name.as_str(), *at)));
        let far = m.peers.iter().find(|p| !p.value.ip().is_loopback());
        if let (Some(far), None) = (far, &m.key) {
            let found = format!("no key, and {} is another machine's", far.value);
            let right = "key_file = \"/etc/applemill/fleet.key\", the same file at all nodes";
            self.error("missing", far.at, "fleet: key_file", found, right);
        }
        let (hold_ms, at) = (m.hold_ms(), m.hold.as_ref().map_or(first.at, |h| h.at));
        let round_ms = ROUND_MS * m.peers.len() as f64;
        if !(200.0..=60_000.0).contains(&hold_ms) {
            self.error("range", at, "fleet: hold", time(hold_ms), "200ms to 60s");
        } else if hold_ms < round_ms {
            let found = format!("{}, with {} nodes to ask in turn", time(hold_ms), m.peers.len());
            self.warn("hold", at, "fleet: hold", found, format!("at least {}", time(round_ms)));
        }
    }
}
