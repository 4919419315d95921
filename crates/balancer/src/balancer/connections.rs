//! Idle connections: how many a node keeps, and at which backends.

use super::state::Balancer;
use crate::interface::{Action, Outcome};

/// Idle connections that any backend accepts from all nodes together, beside those in use.
pub(super) const IDLE_CONNECTIONS_PER_BACKEND: f64 = 48.0;

impl Balancer {
    /// Closes idle connections beyond this node's part of what the backends accept.
    ///
    /// Backends accept only so many connections, and idle ones of all nodes would use them up. Each node
    /// keeps its part of the number that any backend accepts, at the backends it used last, and none at a
    /// backend that just had no connection to offer: a node with a connection there sends there more often.
    /// This costs handshakes where requests are far apart.
    pub(super) fn update_idle_connections(
        &mut self,
        now: f64,
        index: usize,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let backend = &mut self.backends[index];
        match outcome {
            Outcome::Done | Outcome::Error | Outcome::Full => backend.idle_since_ms = now,
            // After a reset the host closes the other connections there without being told.
            Outcome::Reset => backend.idle_since_ms = 0.0,
            Outcome::NotConnected => backend.no_idle_until_ms = now + self.settings.conn_idle_ms,
            _ => {}
        }
        let none_allowed = backend.in_flight == 0 && now < backend.no_idle_until_ms;
        let backends = self.backends.iter().enumerate();
        let idle = backends.filter(|(_, b)| b.has_idle_connection(now, &self.settings));
        let max_idle = IDLE_CONNECTIONS_PER_BACKEND * self.hash_entries.len() as f64
            / f64::from(self.settings.instances);
        let too_many = idle.clone().count() as f64 > max_idle;
        let oldest = idle.min_by(|a, b| a.1.idle_since_ms.total_cmp(&b.1.idle_since_ms));
        let excess = oldest.map(|(oldest, _)| oldest).filter(|_| too_many);
        let refused = Some(index).filter(|_| none_allowed);
        for closed in excess.into_iter().chain(refused) {
            self.backends[closed].idle_since_ms = 0.0;
            out.push(Action::CloseIdle(self.backends[closed].id));
        }
    }
}
