//! The addresses of the backends, by the latest list from discovery.

use crate::interface::Target;
use applemill_balancer::interface::{BackendId, Entry, Health, ListKind, ZoneId};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Where the process of a backend is, and when it started. What differs is another process.
#[derive(Clone, Copy, Debug)]
pub struct Location {
    pub address: SocketAddr,
    pub zone: Option<ZoneId>,
    pub cell: Option<u32>,
    pub ready_at_ms: f64,
}

impl Location {
    /// Whether a connection to the process at `old` leads to the one that is here now.
    fn is_process_at(&self, old: &Location) -> bool {
        self.address == old.address
            && self.zone == old.zone
            && self.cell == old.cell
            && self.started_ms() <= old.started_ms()
    }

    /// Hashes the location.
    pub fn digest<H: Hasher>(&self, state: &mut H) {
        let Location { address, zone, cell, ready_at_ms } = self;
        (address, zone, cell, ready_at_ms.to_bits()).hash(state);
    }

    /// When the process started; 0 in a list stands for a time before all others.
    fn started_ms(&self) -> f64 {
        if self.ready_at_ms == 0.0 { f64::NEG_INFINITY } else { self.ready_at_ms }
    }
}

/// The backends that are up. A backend that drains or was removed has no address here.
#[derive(Clone, Debug, Default)]
pub struct Addresses(BTreeMap<BackendId, Location>);

impl Addresses {
    /// Where a backend is that is up.
    pub fn location(&self, backend: BackendId) -> Option<Location> {
        self.0.get(&backend).copied()
    }

    /// Whether the backend is up, and its process is still the one at this location.
    pub fn is_at(&self, backend: BackendId, old: &Location) -> bool {
        self.0.get(&backend).is_some_and(|location| location.is_process_at(old))
    }

    /// Hashes the whole state.
    pub fn digest<H: Hasher>(&self, state: &mut H) {
        for (id, location) in &self.0 {
            id.hash(state);
            location.digest(state);
        }
    }

    /// Whether no backend is up.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Applies a list and returns the backends whose existing connections are unusable: those that drain,
    /// were removed, have moved to another address, zone or cell, or have restarted.
    pub fn apply(&mut self, kind: ListKind, targets: &[Target]) -> Vec<BackendId> {
        let before = std::mem::take(&mut self.0);
        if !matches!(kind, ListKind::Full | ListKind::Saved) {
            self.0.clone_from(&before);
        }
        for Target { entry, address } in targets {
            let address = address.or_else(|| before.get(&entry.backend).map(|location| location.address));
            match address.filter(|_| entry.health == Health::Up) {
                Some(address) => {
                    let Entry { backend, zone, cell, ready_at_ms, .. } = *entry;
                    self.0.insert(backend, Location { address, zone, cell, ready_at_ms });
                }
                None => {
                    self.0.remove(&entry.backend);
                }
            }
        }
        before.iter().filter(|(id, old)| !self.is_at(**id, old)).map(|(id, _)| *id).collect()
    }
}
