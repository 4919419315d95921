//! What is written of the fleet.

use super::At;
use std::net::SocketAddr;

/// The fleet and how cold servers are started. Times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// How many nodes there are.
    pub nodes: u32,
    /// This node's number.
    pub number: u32,
    /// A server is warm after this.
    pub cold_ms: f64,
    /// It starts with this part of its capacity.
    pub start_capacity: f64,
    /// Sent more than this multiple of it ...
    pub fall_multiple: f64,
    /// ... for this long, it falls over.
    pub fall_ms: f64,
    /// What nodes say to each other; nothing if no peers are written.
    pub membership: Membership,
}

/// How nodes tell each other that they are there. Times in milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Membership {
    /// Where each node hears the others, by number; empty for no membership.
    pub peers: Vec<At<SocketAddr>>,
    /// Where this one listens; its own of the peers if absent.
    pub listen: Option<At<SocketAddr>>,
    /// A file with the fleet's key.
    pub key: Option<At<String>>,
    /// So long a proof that a node is gone holds; see [`Membership::hold_ms`].
    pub hold: Option<At<f64>>,
    /// How far clocks' rates are off at most.
    pub drift: f64,
    /// A refused datagram is proof that no program listens there.
    pub refusals: bool,
}

/// How this node agrees with others on who is there.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// The fleet's name.
    pub fleet: At<String>,
    /// Where this node hears the others.
    pub listen: At<SocketAddr>,
    /// Where they reach it; where it listens if absent.
    pub address: Option<At<SocketAddr>>,
    /// Where others may be found.
    pub seeds: Vec<At<SocketAddr>>,
    /// A file with the fleet's key.
    pub key: Option<At<String>>,
    /// A node that sees nobody else is ready all the same.
    pub alone_serves: bool,
}

impl Seen {
    /// Where the others reach this node.
    pub fn reached(&self) -> SocketAddr {
        self.address.as_ref().unwrap_or(&self.listen).value
    }

    /// Without where it is written, as [`Fleet::without_places`].
    #[must_use]
    pub fn without_places(&self) -> Seen {
        let mut seen = self.clone();
        let none = crate::Spot::default();
        seen.fleet.at = none;
        seen.listen.at = none;
        seen.address.iter_mut().chain(&mut seen.seeds).for_each(|a| a.at = none);
        seen.key.iter_mut().for_each(|k| k.at = none);
        seen
    }
}

impl Fleet {
    /// A file's fleet without where it is written: an added comment moves lines and changes nothing.
    pub fn without_places(&self) -> Fleet {
        let mut fleet = self.clone();
        let m = &mut fleet.membership;
        m.peers.iter_mut().chain(&mut m.listen).for_each(|a| a.at = crate::Spot::default());
        m.key.iter_mut().for_each(|k| k.at = crate::Spot::default());
        m.hold.iter_mut().for_each(|h| h.at = crate::Spot::default());
        fleet
    }

    /// Where this node hears the others; none where nodes say nothing to each other.
    pub fn listens(&self) -> Option<SocketAddr> {
        let m = &self.membership;
        let own = m.peers.get(self.number as usize)?;
        Some(m.listen.as_ref().unwrap_or(own).value)
    }
}

impl Membership {
    /// So long a proof that a node is gone holds, in milliseconds.
    pub fn hold_ms(&self) -> f64 {
        self.hold.as_ref().map_or(1_500.0, |h| h.value)
    }
}
