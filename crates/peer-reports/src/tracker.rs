//! The current reports of all nodes on each server, and whether a server is failing according to them.

use crate::report::{Report, read, write};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// How long reports count, how many make a server count as failing, and how many are stored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrackerConfig {
    /// How long a report counts, in milliseconds.
    pub memory_ms: f64,
    /// Distinct nodes that must report failures.
    pub min_reporters: usize,
    /// Fraction of the nodes with a current report that must report failures; a half or more, so that a
    /// minority cannot decide.
    pub min_fraction: f64,
    /// Servers for which reports are stored; beyond that, the one with the oldest latest report is removed.
    pub max_servers: usize,
    /// Nodes whose reports on one server are stored; beyond that, the oldest report is removed.
    pub max_nodes_per_server: usize,
    /// Approximate number of nodes that listen to any given node about any given server.
    pub listeners: u32,
    /// Smallest fleet in which reports are exchanged: in smaller ones each node calls every server often
    /// enough to recognize failures on its own.
    pub min_fleet_size: u32,
}

impl Default for TrackerConfig {
    fn default() -> TrackerConfig {
        TrackerConfig {
            memory_ms: 10_000.0,
            min_reporters: 3,
            min_fraction: 0.5,
            max_servers: 256,
            max_nodes_per_server: 32,
            listeners: 40,
            min_fleet_size: 49,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct StoredReport {
    node: u32,
    bad: bool,
    at_ms: f64,
}

/// Spreads the bits of a number evenly (the SplitMix64 finalizer).
fn mix(mut n: u64) -> u64 {
    n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// The current reports on servers, by server and reporting node.
#[derive(Clone, Debug, Default)]
pub struct ReportTracker {
    config: TrackerConfig,
    own_node: u32,
    fleet_size: u32,
    reports: BTreeMap<u32, Vec<StoredReport>>,
}

impl ReportTracker {
    /// An empty tracker for node number `own_node` in a fleet of `fleet_size` nodes. In a fleet smaller than
    /// [`TrackerConfig::min_fleet_size`] it sends and stores nothing.
    pub fn new(own_node: u32, fleet_size: u32) -> ReportTracker {
        ReportTracker { own_node, fleet_size, ..ReportTracker::default() }
    }

    /// Handles a message from another node. Messages that cannot be decoded, or that carry this node's own
    /// number as the sender, are ignored.
    pub fn receive(&mut self, now_ms: f64, from: u32, bytes: &[u8]) {
        if self.fleet_size >= self.config.min_fleet_size && from != self.own_node {
            let reports = read(bytes).unwrap_or_default();
            let accepted = reports.into_iter().filter(|r| self.listens(self.own_node, from, r.server));
            accepted.collect::<Vec<_>>().into_iter().for_each(|report| self.store(now_ms, from, report));
        }
    }

    /// Records the result of a call of this node. Returns the messages to send, each with the number of the
    /// receiving node; none if the call succeeded and nobody reports failures of the server.
    pub fn record_own(&mut self, now_ms: f64, server: u32, bad: bool) -> Vec<(u32, Vec<u8>)> {
        if self.fleet_size < self.config.min_fleet_size {
            return Vec::new();
        }
        // Stored even if nothing is sent: it counts against false reports that arrive later.
        let report = Report { server, bad, age_ms: 0.0 };
        self.store(now_ms, self.own_node, report);
        if self.counts(now_ms, server).0 == 0 {
            return Vec::new();
        }
        let listeners = (0..self.fleet_size)
            .filter(|to| *to != self.own_node && self.listens(*to, self.own_node, server));
        listeners.map(|to| (to, write(&[report]))).collect()
    }

    /// Whether `listener` accepts reports of `reporter` on a server. It depends on the three numbers alone,
    /// so both nodes get the same result. A node that sends false reports to all others is heard by no more
    /// nodes than one that sends to its listeners only.
    fn listens(&self, listener: u32, reporter: u32, server: u32) -> bool {
        let pair = u64::from(listener) << 32 | u64::from(reporter);
        let drawn = mix(mix(pair) ^ u64::from(server)) % u64::from(self.fleet_size.max(1));
        drawn < u64::from(self.config.listeners)
    }

    /// Stores a node's report. Only the latest report of each node on a server is kept; older ones, and those
    /// older than `memory_ms`, are ignored.
    fn store(&mut self, now_ms: f64, node: u32, report: Report) {
        let TrackerConfig { memory_ms, max_servers, max_nodes_per_server, .. } = self.config;
        let age_ms = report.age_ms.max(0.0);
        if age_ms >= memory_ms {
            return;
        }
        let at_ms = now_ms - age_ms;
        let new = StoredReport { node, bad: report.bad, at_ms };
        let stored = self.reports.entry(report.server).or_default();
        stored.retain(|s| now_ms - s.at_ms < memory_ms);
        match stored.iter_mut().find(|s| s.node == node) {
            Some(old) if old.at_ms > at_ms => {}
            Some(old) => *old = new,
            None => stored.push(new),
        }
        if stored.len() > max_nodes_per_server {
            let oldest = (0..stored.len()).min_by(|a, b| stored[*a].at_ms.total_cmp(&stored[*b].at_ms));
            if let Some(oldest) = oldest {
                stored.swap_remove(oldest);
            }
        }
        if self.reports.len() > max_servers {
            let latest_ms = |reports: &[StoredReport]| {
                reports.iter().map(|s| s.at_ms).fold(f64::NEG_INFINITY, f64::max)
            };
            let by_latest = |a: &[StoredReport], b: &[StoredReport]| latest_ms(a).total_cmp(&latest_ms(b));
            let stalest = self.reports.iter().min_by(|a, b| by_latest(a.1, b.1)).map(|(id, _)| *id);
            if let Some(stalest) = stalest {
                self.reports.remove(&stalest);
            }
        }
    }

    /// How many nodes currently report failures of a server, and how many report success.
    pub fn counts(&self, now_ms: f64, server: u32) -> (usize, usize) {
        let stored = self.reports.get(&server).into_iter().flatten();
        let current = stored.filter(|s| now_ms - s.at_ms < self.config.memory_ms);
        current.fold(
            (0, 0),
            |(failing, well), s| if s.bad { (failing + 1, well) } else { (failing, well + 1) },
        )
    }

    /// Whether enough distinct nodes, possibly including this one, report failures of a server.
    pub fn is_failing(&self, now_ms: f64, server: u32) -> bool {
        let (failing, well) = self.counts(now_ms, server);
        failing >= self.config.min_reporters
            && failing as f64 >= self.config.min_fraction * (failing + well) as f64
    }

    /// Hashes the stored reports.
    pub fn digest<H: Hasher>(&self, state: &mut H) {
        for (server, stored) in &self.reports {
            server.hash(state);
            stored.iter().for_each(|s| (s.node, s.bad, s.at_ms.to_bits()).hash(state));
        }
    }

    /// Number of servers for which reports are stored.
    pub fn tracked_servers(&self) -> usize {
        self.reports.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn bad(server: u32, age_ms: f64) -> Report {
        Report { server, bad: true, age_ms }
    }

    fn well(server: u32) -> Report {
        Report { server, bad: false, age_ms: 0.0 }
    }

    /// The tracker of node 0 in a fleet of fifty; it listens to four of five other nodes about each server.
    fn tracker() -> ReportTracker {
        ReportTracker::new(0, 50)
    }

    /// The nodes that `tracker` listens to about a server.
    fn accepted_reporters(tracker: &ReportTracker, server: u32) -> Vec<u32> {
        (1..50).filter(|from| tracker.listens(0, *from, server)).collect()
    }

    fn receive_report(tracker: &mut ReportTracker, now_ms: f64, from: u32, report: Report) {
        tracker.receive(now_ms, from, &write(&[report]));
    }

    #[test]
    fn a_server_is_failing_by_reports_of_three_distinct_nodes_but_not_by_repeated_reports_of_one() {
        let mut tracker = tracker();
        let reporters = accepted_reporters(&tracker, 1);
        (0..50).for_each(|n| receive_report(&mut tracker, f64::from(n), reporters[0], bad(1, 0.0)));
        assert_eq!(tracker.counts(50.0, 1), (1, 0));
        receive_report(&mut tracker, 50.0, reporters[1], bad(1, 0.0));
        assert!(!tracker.is_failing(50.0, 1));
        receive_report(&mut tracker, 50.0, reporters[2], bad(1, 0.0));
        assert!(tracker.is_failing(50.0, 1) && !tracker.is_failing(50.0, 2));
        // Half of the reporting nodes must report failures: three of six suffice, three of seven do not.
        reporters[3..6].iter().for_each(|node| receive_report(&mut tracker, 60.0, *node, well(1)));
        assert!(tracker.is_failing(60.0, 1));
        tracker.record_own(60.0, 1, false);
        assert!(!tracker.is_failing(60.0, 1));
        // A node's new report replaces its earlier one.
        tracker.record_own(61.0, 1, true);
        assert_eq!(tracker.counts(61.0, 1), (4, 3));
        // A message that claims to come from this node itself is ignored.
        receive_report(&mut tracker, 62.0, 0, well(1));
        assert_eq!(tracker.counts(62.0, 1), (4, 3));
    }

    #[test]
    fn a_report_sent_to_all_nodes_counts_only_at_those_that_listen_to_its_sender() {
        let fleet_size = 300;
        let mut listeners = 0;
        for reporter in 0..6 {
            let mut tracker = ReportTracker::new(reporter, fleet_size);
            let receivers: Vec<u32> =
                tracker.record_own(0.0, 7, true).into_iter().map(|(to, _)| to).collect();
            listeners += receivers.len();
            for listener in 0..fleet_size {
                let mut at = ReportTracker::new(listener, fleet_size);
                receive_report(&mut at, 0.0, reporter, bad(7, 0.0));
                assert_eq!(
                    at.counts(0.0, 7).0 == 1,
                    receivers.contains(&listener),
                    "{reporter} {listener}"
                );
            }
        }
        assert!((180..300).contains(&listeners), "about forty each: {listeners}");
        // Six nodes of 300 send false reports to all others, where three reports are needed.
        let deceived = (6..fleet_size).filter(|listener| {
            let mut at = ReportTracker::new(*listener, fleet_size);
            (0..6).for_each(|liar| receive_report(&mut at, 0.0, liar, bad(7, 0.0)));
            at.is_failing(0.0, 7)
        });
        let deceived = deceived.count();
        assert!(deceived < 30, "failing at {deceived} of 294 nodes");
    }

    #[test]
    fn failures_are_always_reported_successes_only_against_failure_reports_and_nothing_in_small_fleets() {
        let mut tracker = tracker();
        assert_eq!(tracker.record_own(0.0, 1, false), [], "nobody reports failures");
        let messages = tracker.record_own(0.0, 1, true);
        assert!((30..49).contains(&messages.len()) && messages.iter().all(|(to, _)| *to != 0 && *to < 50));
        assert_eq!(messages.first().and_then(|(_, bytes)| read(bytes)), Some(vec![bad(1, 0.0)]));
        assert_eq!(tracker.record_own(0.0, 1, false), [], "only this node itself had reported a failure");
        let reporter = accepted_reporters(&tracker, 2)[0];
        receive_report(&mut tracker, 0.0, reporter, bad(2, 0.0));
        assert!(tracker.record_own(0.0, 2, false).len() >= 30, "another node reports failures");
        let mut small_fleet = ReportTracker::new(0, 48);
        assert_eq!(small_fleet.record_own(0.0, 1, true), []);
        (1..9).for_each(|node| receive_report(&mut small_fleet, 0.0, node, bad(1, 0.0)));
        assert_eq!(small_fleet.tracked_servers(), 0);
    }

    #[test]
    fn delayed_reports_count_by_their_age_and_do_not_replace_newer_ones() {
        let mut tracker = tracker();
        let reporters = accepted_reporters(&tracker, 1);
        receive_report(&mut tracker, 1_000.0, reporters[0], well(1));
        receive_report(&mut tracker, 1_100.0, reporters[0], bad(1, 400.0));
        assert_eq!(tracker.counts(1_100.0, 1), (0, 1));
        for (n, age_ms) in [(1, 9_960.0), (2, 10_000.0), (3, 1e9)] {
            receive_report(&mut tracker, 1_100.0, reporters[n], bad(1, age_ms));
        }
        assert_eq!(tracker.counts(1_100.0, 1).0, 1);
        assert_eq!(tracker.counts(1_140.0, 1).0, 0);
    }

    proptest! {
        #[test]
        fn stored_reports_are_bounded_and_a_minority_never_makes_a_server_failing(
            reports in prop::collection::vec((0.0..400.0_f64, 1..50_u32, 0..400_u32, any::<bool>()), 0..900),
        ) {
            let mut tracker = tracker();
            let mut now = 0.0;
            for (interval, node, server, is_bad) in reports {
                now += interval / 20.0;
                let report = Report { server: server / 2 * 2 % 300, bad: is_bad, age_ms: 0.0 };
                receive_report(&mut tracker, now, node, report);
                prop_assert!(tracker.tracked_servers() <= 256);
                let (failing, well) = tracker.counts(now, server);
                prop_assert!(failing + well <= 32);
                prop_assert!(!tracker.is_failing(now, server) || failing >= 3 && failing >= well);
            }
        }
    }
}
