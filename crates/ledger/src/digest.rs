//! State digests, with which the explorer recognizes equal ledgers.

use crate::conn::{Conn, Exchange, Job, StreamingAnswer};
use crate::ledger::Ledger;
use std::hash::{Hash, Hasher};

impl<O, C: Clone> Ledger<O, C> {
    /// Hashes all state that later effects depend on, including the decisions, but not the values that
    /// fronts pass through (pending replies and calls). Two ledgers with the same settings and the same
    /// digest behave alike.
    pub fn digest<H: Hasher>(&self, state: &mut H) {
        self.balancer.digest(state);
        for (id, open) in &self.open {
            id.hash(state);
            open.digest(state);
        }
        self.addresses.digest(state);
        if let Some(blame) = &self.blame {
            blame.digest(state);
        }
        for (id, conn) in &self.conns {
            id.hash(state);
            conn.digest(state);
        }
        self.idle_conns.digest(state);
        self.idle_ages.digest(state);
        for (due, timer) in self.timers.iter() {
            (due.to_bits(), timer).hash(state);
        }
        (self.next_conn, self.stopped).hash(state);
    }
}

impl Conn {
    fn digest<H: Hasher>(&self, state: &mut H) {
        std::mem::discriminant(self).hash(state);
        match self {
            Conn::AwaitingDescriptor(job, _) | Conn::Dialling(job, _) => job.digest(state),
            Conn::InExchange(Exchange {
                job,
                timer: _,
                idle_ms,
                written,
                received,
                upload_since_ms,
                acts_on_partial,
            }) => {
                job.digest(state);
                (
                    idle_ms.map(f64::to_bits),
                    written,
                    received,
                    upload_since_ms.map(f64::to_bits),
                    acts_on_partial,
                )
                    .hash(state);
            }
            Conn::Streaming(StreamingAnswer { id, backend, location, fault_context }) => {
                location.digest(state);
                (id, backend, fault_context.trial_token).hash(state);
            }
            Conn::Idle(backend) => backend.hash(state),
        }
    }
}

impl Job {
    fn digest<H: Hasher>(&self, state: &mut H) {
        let Job { purpose, backend, location, sent_ms, deadline_ms } = self;
        location.digest(state);
        (purpose, backend, sent_ms.to_bits(), deadline_ms.to_bits()).hash(state);
    }
}
