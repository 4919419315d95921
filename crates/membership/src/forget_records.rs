//! Records of nodes that operators have declared gone: kept, passed on to all nodes, and withdrawn when such
//! a node is heard again.
//!
//! A record is identified by its node and a stamp. Of two records on one node, the one with the higher stamp
//! takes precedence everywhere, in whatever order they arrive. A record is withdrawn by another one with the
//! next stamp.

use std::collections::BTreeMap;

/// Records in one datagram at most; the others follow in later datagrams.
pub(crate) const MAX_RECORDS_PER_DATAGRAM: usize = 4;

/// The latest record on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ForgetRecord {
    pub(crate) node: u32,
    /// Milliseconds since 1970 by the clock of the node that the operator told, or more: higher than that of
    /// any record it knew on this node.
    pub(crate) stamp: u64,
    /// Whether the node is declared gone; if not, the declaration was withdrawn.
    pub(crate) forgotten: bool,
}

/// All known records.
#[derive(Clone, Debug, Default)]
pub(crate) struct ForgetRecords {
    by_node: BTreeMap<u32, ForgetRecord>,
    /// The first node of which the next datagram contains the record.
    next_node: u32,
}

impl ForgetRecords {
    pub(crate) fn is_forgotten(&self, node: u32) -> bool {
        self.by_node.get(&node).is_some_and(|r| r.forgotten)
    }

    pub(crate) fn stamp(&self, node: u32) -> u64 {
        self.by_node.get(&node).map_or(0, |r| r.stamp)
    }

    /// Records that an operator has told this node that another one is gone.
    pub(crate) fn forget(&mut self, node: u32, wall_ms: u64) {
        if !self.is_forgotten(node) {
            let stamp = wall_ms.max(self.stamp(node).saturating_add(1));
            self.by_node.insert(node, ForgetRecord { node, stamp, forgotten: true });
        }
    }

    /// Withdraws the record on a node that was heard again. True if it had been declared gone.
    pub(crate) fn withdraw(&mut self, node: u32) -> bool {
        let Some(record) = self.by_node.get_mut(&node).filter(|r| r.forgotten) else { return false };
        (record.forgotten, record.stamp) = (false, record.stamp.saturating_add(1));
        true
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &ForgetRecord> {
        self.by_node.values()
    }

    /// Merges a record received from another node.
    pub(crate) fn merge(&mut self, record: ForgetRecord) {
        if record.stamp > self.stamp(record.node) {
            self.by_node.insert(record.node, record);
        }
    }

    /// The records for the next datagram: always those on the nodes in `first`, then others in turn.
    pub(crate) fn next_batch(&mut self, first: [u32; 2]) -> Vec<ForgetRecord> {
        let mut batch: Vec<ForgetRecord> =
            first.iter().filter_map(|n| self.by_node.get(n).copied()).collect();
        let from_next = self.by_node.range(self.next_node..);
        let others = from_next.chain(self.by_node.range(..self.next_node)).map(|(_, r)| *r);
        batch.extend(
            others.filter(|r| !first.contains(&r.node)).take(MAX_RECORDS_PER_DATAGRAM - batch.len()),
        );
        self.next_node = batch.last().map_or(0, |r| r.node.saturating_add(1));
        batch
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_higher_stamp_takes_precedence_in_whatever_order_records_arrive() {
        let (mut a, mut b) = (ForgetRecords::default(), ForgetRecords::default());
        a.forget(3, 1_000);
        let forgotten = a.next_batch([0, 1]);
        assert_eq!(forgotten, [ForgetRecord { node: 3, stamp: 1_000, forgotten: true }]);
        assert!(a.withdraw(3) && !a.withdraw(3));
        let withdrawn = a.next_batch([0, 1]);
        for batches in [[&forgotten, &withdrawn], [&withdrawn, &forgotten]] {
            let mut b = ForgetRecords::default();
            batches.into_iter().flatten().for_each(|r| b.merge(*r));
            assert_eq!((b.is_forgotten(3), b.stamp(3)), (false, 1_001));
        }
        // A clock that is behind does not make the next record an older one.
        b.merge(withdrawn[0]);
        b.forget(3, 5);
        assert_eq!((b.is_forgotten(3), b.stamp(3)), (true, 1_002));
    }

    #[test]
    fn batches_cover_all_records_in_turn_and_always_begin_with_the_first_node() {
        let mut records = ForgetRecords::default();
        (0..11).for_each(|n| records.forget(n, 7));
        let mut seen = std::collections::BTreeSet::new();
        for _ in 0..4 {
            let batch = records.next_batch([5, 77]);
            assert!(batch.len() == MAX_RECORDS_PER_DATAGRAM && batch[0].node == 5, "{batch:?}");
            seen.extend(batch.iter().map(|r| r.node));
        }
        assert_eq!(seen.len(), 11);
    }
}
