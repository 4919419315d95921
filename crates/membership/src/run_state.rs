//! Handing over a node's run to another process on the same machine: to the other nodes, the run neither ends
//! nor starts.

use crate::Ms;
use crate::fleet::Fleet;
use crate::forget_records::ForgetRecord;
use crate::params::FleetParams;
use crate::wire::{Key, NodeInfo};

/// Added to the sequence on resuming, to be above whatever the previous process may have sent since the
/// export: the other nodes ignore lower sequences.
const SEQUENCE_GAP: u64 = 1 << 32;

/// The run of a node that sends nothing more in this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunState {
    /// The node's number.
    pub number: u32,
    /// The run's incarnation, which the next process keeps.
    pub incarnation: u64,
    /// The sequence of the last datagram sent.
    pub sequence: u64,
    /// The records of forgotten nodes: node, stamp, and whether it is forgotten.
    pub forget_records: Vec<(u32, u64, bool)>,
}

impl Fleet {
    /// Leaves, and returns the state with which another process can resume the run at once, without waiting.
    /// None if this process was not allowed to send itself; the other one then starts as any new node does.
    pub fn export_run(&mut self, now: Ms) -> Option<RunState> {
        let may_send = self.senders(now).nodes.is_some();
        self.leave();
        may_send.then(|| RunState {
            number: self.number(),
            incarnation: self.incarnation(),
            sequence: self.sequence(),
            forget_records: self.forget_records().map(|r| (r.node, r.stamp, r.forgotten)).collect(),
        })
    }

    /// Resumes an exported run. The other nodes cannot tell the difference: the socket was open all the time,
    /// so none of them has proven this node absent, and there is nothing to wait for. The resumed run knows
    /// no proofs yet and counts all nodes. None if the state is that of another node.
    pub fn resume(
        params: FleetParams,
        number: u32,
        info: NodeInfo,
        key: Option<Key>,
        run_state: &RunState,
        now: Ms,
    ) -> Option<Fleet> {
        let fleet = Fleet::new(params, number, info, key, run_state.incarnation, now);
        let records = run_state.forget_records.iter().map(|(node, stamp, forgotten)| ForgetRecord {
            node: *node,
            stamp: *stamp,
            forgotten: *forgotten,
        });
        let sequence = run_state.sequence.saturating_add(SEQUENCE_GAP);
        (run_state.number == number)
            .then(|| fleet.continued_after(sequence, now).with_forget_records(records))
    }
}
