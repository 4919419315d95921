//! Idle connections, kept for reuse.

use crate::interface::ConnId;
use applemill_balancer::interface::BackendId;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// How long a connection must have been quiet before its reuse, in milliseconds: bytes that follow right
/// behind an answer must not be taken for the answer to the next request.
const QUIET_BEFORE_REUSE_MS: f64 = 10.0;

#[derive(Clone, Copy, Debug)]
struct IdleConn {
    conn: ConnId,
    since_ms: f64,
}

/// The idle connections of each backend, oldest first.
#[derive(Clone, Debug, Default)]
pub struct IdleConns(BTreeMap<BackendId, Vec<IdleConn>>);

impl IdleConns {
    /// Adds a connection that became idle at `now`.
    pub fn insert(&mut self, now: f64, backend: BackendId, conn: ConnId) {
        self.0.entry(backend).or_default().push(IdleConn { conn, since_ms: now });
    }

    /// Takes the youngest connection that has been quiet for long enough and idle for less than `limit_ms`,
    /// and returns it with its idle time. It looks at no other connection: the cost of a request must not
    /// grow with the number of idle connections.
    pub fn take_reusable(&mut self, now: f64, backend: BackendId, limit_ms: f64) -> Option<(ConnId, f64)> {
        let list = self.0.get_mut(&backend)?;
        let youngest_quiet =
            list.partition_point(|idle| now - idle.since_ms >= QUIET_BEFORE_REUSE_MS).checked_sub(1)?;
        let idle_ms = now - list.get(youngest_quiet)?.since_ms;
        // If this one is too old, all before it are too; they are closed by `remove_expired`.
        (idle_ms < limit_ms).then(|| (list.remove(youngest_quiet).conn, idle_ms))
    }

    /// Removes all connections to a backend.
    pub fn remove_all(&mut self, backend: BackendId) -> Vec<ConnId> {
        self.0.remove(&backend).unwrap_or_default().into_iter().map(|idle| idle.conn).collect()
    }

    /// Removes one connection.
    pub fn remove(&mut self, backend: BackendId, conn: ConnId) {
        if let Some(list) = self.0.get_mut(&backend) {
            list.retain(|idle| idle.conn != conn);
        }
    }

    /// Removes all connections that have been idle for `limit_ms` or longer.
    pub fn remove_expired(&mut self, now: f64, limit_ms: f64) -> Vec<ConnId> {
        let mut expired = Vec::new();
        self.0.retain(|_, list| {
            let expired_count = list.partition_point(|idle| now - idle.since_ms >= limit_ms);
            expired.extend(list.drain(..expired_count).map(|idle| idle.conn));
            !list.is_empty()
        });
        expired
    }

    fn oldest(&self) -> Option<(f64, BackendId)> {
        let oldest_per_backend =
            self.0.iter().filter_map(|(backend, list)| Some((list.first()?.since_ms, *backend)));
        oldest_per_backend.min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// When the connection that has been idle the longest became idle, in milliseconds of the clock.
    pub fn oldest_since_ms(&self) -> Option<f64> {
        self.oldest().map(|(since, _)| since)
    }

    /// Removes the connection that has been idle the longest.
    pub fn remove_oldest(&mut self) -> Option<ConnId> {
        let (_, backend) = self.oldest()?;
        self.0.get_mut(&backend).filter(|list| !list.is_empty()).map(|list| list.remove(0).conn)
    }

    /// Hashes the whole state.
    pub fn digest<H: Hasher>(&self, state: &mut H) {
        for (backend, list) in &self.0 {
            for IdleConn { conn, since_ms } in list {
                (backend, conn, since_ms.to_bits()).hash(state);
            }
        }
    }

    /// The number of idle connections.
    pub fn len(&self) -> usize {
        self.0.values().map(Vec::len).sum()
    }
}
