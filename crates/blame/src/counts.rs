//! Exponentially decaying counts of tries and failures by suspect, in bounded memory.

use crate::suspect::{AttemptResult, Suspect, SuspectKind};
use rustc_hash::FxHashMap;
use std::hash::{Hash, Hasher};

/// Most suspects counted of each kind.
const MAX_COUNTS_PER_KIND: usize = 1024;
/// Failures closer together than this belong to one incident, such as all requests that end when a server
/// dies.
pub(crate) const MIN_INCIDENT_GAP_MS: f64 = 10.0;

/// The counts of one suspect, in units of the current weight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Count {
    pub tries: f64,
    pub failures: f64,
    /// Failures by error answers or time-outs: weaker evidence than a broken connection.
    pub soft: f64,
    /// Incidents, decaying like the other counts: failures close together in time count as one.
    pub incidents: f64,
    /// Incidents, without decay.
    pub separate_incidents: u32,
    /// When the last incident began.
    pub last_incident_ms: f64,
}

impl Count {
    fn scaled(self, factor: f64) -> Count {
        let Count { tries, failures, soft, incidents, separate_incidents, last_incident_ms } = self;
        Count {
            tries: tries * factor,
            failures: failures * factor,
            soft: soft * factor,
            incidents: incidents * factor,
            separate_incidents,
            last_incident_ms,
        }
    }

    /// Adds a result. True if it is a failure that begins a new incident.
    fn add(&mut self, now: f64, weight: f64, result: AttemptResult) -> bool {
        let new_incident =
            self.separate_incidents == 0 || now - self.last_incident_ms >= MIN_INCIDENT_GAP_MS;
        self.record(weight, result, new_incident);
        if result == AttemptResult::Success || !new_incident {
            return false;
        }
        (self.separate_incidents, self.last_incident_ms) = (self.separate_incidents.saturating_add(1), now);
        true
    }

    fn record(&mut self, weight: f64, result: AttemptResult, new_incident: bool) {
        self.tries += weight;
        if result != AttemptResult::Success {
            self.failures += weight;
            self.soft += if result == AttemptResult::Disconnected { 0.0 } else { weight };
            self.incidents += if new_incident { weight } else { 0.0 };
        }
    }
}

/// All counts. A result added now counts as `weight`, which grows exponentially with time; earlier results
/// thereby decay in proportion.
#[derive(Clone, Debug)]
pub(crate) struct Counts {
    memory_ms: f64,
    epoch_ms: f64,
    weight: f64,
    total: Count,
    /// As `total`, without the results of plainly broken servers.
    without_broken: Count,
    /// By kind, in the order of [`SuspectKind`].
    kinds: [FxHashMap<u64, Count>; 6],
}

impl Counts {
    pub fn new(memory_ms: f64) -> Counts {
        Counts {
            memory_ms: memory_ms.max(1.0),
            epoch_ms: f64::NEG_INFINITY,
            weight: 1.0,
            total: Count::default(),
            without_broken: Count::default(),
            kinds: Default::default(),
        }
    }

    fn advance(&mut self, now: f64) {
        if self.epoch_ms == f64::NEG_INFINITY {
            self.epoch_ms = now;
        }
        self.weight = ((now - self.epoch_ms) / self.memory_ms).max(0.0).exp();
        if self.weight > 1e6 {
            let shrink = 1.0 / self.weight;
            let min_tries = 0.01;
            for counts in &mut self.kinds {
                counts.values_mut().for_each(|c| *c = c.scaled(shrink));
                counts.retain(|_, c| c.tries > min_tries);
            }
            (self.total, self.without_broken) =
                (self.total.scaled(shrink), self.without_broken.scaled(shrink));
            (self.epoch_ms, self.weight) = (now, 1.0);
        }
    }

    /// Adds the result of one attempt to its suspects and the totals. Keys and tenants are counted only from
    /// their first failure on, because most never have one.
    pub fn add(&mut self, now: f64, suspects: &[Option<Suspect>], result: AttemptResult) {
        self.advance(now);
        let new_incident = self.add_to(now, suspects, result);
        self.total.record(self.weight, result, new_incident);
        self.without_broken.record(self.weight, result, new_incident);
    }

    /// Adds a result at a plainly broken server: it is no evidence on any other suspect.
    pub fn add_broken(&mut self, now: f64, server: Suspect, result: AttemptResult) {
        self.advance(now);
        let new_incident = self.add_to(now, &[Some(server)], result);
        self.total.record(self.weight, result, new_incident);
    }

    /// Adds a result of suspects that are already blamed: it is no evidence on anything else and stays out of
    /// the totals.
    pub fn add_without_totals(&mut self, now: f64, suspects: &[Option<Suspect>], result: AttemptResult) {
        self.advance(now);
        self.add_to(now, suspects, result);
    }

    /// True if it begins a new incident at its server: the totals count the incidents of all servers.
    fn add_to(&mut self, now: f64, suspects: &[Option<Suspect>], result: AttemptResult) -> bool {
        let mut new_server_incident = false;
        for suspect in suspects.iter().flatten() {
            let weight = self.weight;
            let Some(counts) = self.kinds.get_mut(suspect.kind as usize) else { continue };
            if let Some(count) = counts.get_mut(&suspect.id) {
                let new_incident = count.add(now, weight, result);
                new_server_incident |= new_incident && suspect.kind == SuspectKind::Server;
                continue;
            }
            if result == AttemptResult::Success
                && matches!(suspect.kind, SuspectKind::Key | SuspectKind::Tenant)
            {
                continue;
            }
            if counts.len() >= MAX_COUNTS_PER_KIND {
                // Evicts the suspect with the fewest failures, so that a flood of names that fail once each
                // does not displace one that fails repeatedly. Ties go to the oldest incident, then to the
                // lower number, independently of the hash table's order.
                let fewest = counts.iter().min_by(|(i, a), (j, b)| {
                    a.failures
                        .total_cmp(&b.failures)
                        .then(a.last_incident_ms.total_cmp(&b.last_incident_ms))
                        .then(i.cmp(j))
                });
                if let Some(id) = fewest.map(|(id, _)| *id) {
                    counts.remove(&id);
                }
            }
            let new_incident = counts.entry(suspect.id).or_default().add(now, weight, result);
            new_server_incident |= new_incident && suspect.kind == SuspectKind::Server;
        }
        new_server_incident
    }

    /// Removes a failure from the counts of suspects that it turned out to be no evidence on.
    pub fn subtract(&mut self, at: f64, suspects: &[Option<Suspect>], result: AttemptResult) {
        let weight = ((at - self.epoch_ms) / self.memory_ms).exp();
        let soft = if result == AttemptResult::Disconnected { 0.0 } else { weight };
        let subtract_from = |c: &mut Count| {
            c.tries = (c.tries - weight).max(0.0);
            c.failures = (c.failures - weight).max(0.0);
            c.soft = (c.soft - soft).max(0.0);
        };
        subtract_from(&mut self.total);
        subtract_from(&mut self.without_broken);
        for suspect in suspects.iter().flatten() {
            if let Some(count) =
                self.kinds.get_mut(suspect.kind as usize).and_then(|k| k.get_mut(&suspect.id))
            {
                subtract_from(count);
            }
        }
    }

    pub fn remove(&mut self, suspect: Suspect) {
        if let Some(counts) = self.kinds.get_mut(suspect.kind as usize) {
            counts.remove(&suspect.id);
        }
    }

    /// The counts of a suspect, in tries and failures at the current weight.
    pub fn get(&self, suspect: Suspect) -> Option<Count> {
        let count = self.kinds.get(suspect.kind as usize)?.get(&suspect.id)?;
        Some(count.scaled(1.0 / self.weight))
    }

    pub fn digest<H: Hasher>(&self, state: &mut H) {
        let Counts { memory_ms: _, epoch_ms, weight, total, without_broken, kinds } = self;
        (epoch_ms.to_bits(), weight.to_bits()).hash(state);
        let mut hash_count = |c: &Count| {
            let Count { tries, failures, soft, incidents, separate_incidents, last_incident_ms } = c;
            (separate_incidents, last_incident_ms.to_bits()).hash(state);
            for value in [tries, failures, soft, incidents] {
                value.to_bits().hash(state);
            }
        };
        hash_count(total);
        hash_count(without_broken);
        for counts in kinds {
            // Independent of the hash table's order.
            let mut ids: Vec<_> = counts.iter().collect();
            ids.sort_unstable_by_key(|(id, _)| **id);
            ids.into_iter().for_each(|(_, c)| hash_count(c));
        }
    }

    /// Number of suspects of a kind with recent tries.
    pub fn active(&self, kind: SuspectKind) -> usize {
        let counts = self.kinds.get(kind as usize);
        counts.map_or(0, |k| k.values().filter(|c| c.tries > 0.5 * self.weight).count())
    }

    pub fn total(&self) -> Count {
        self.total.scaled(1.0 / self.weight)
    }

    pub fn without_broken(&self) -> Count {
        self.without_broken.scaled(1.0 / self.weight)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_of_names_that_fail_once_neither_displaces_a_repeated_failure_nor_grows_without_bound() {
        let mut counts = Counts::new(10_000.0);
        let key = |id| [Some(Suspect { kind: SuspectKind::Key, id })];
        for n in 0..100_000_u64 {
            let now = n as f64 / 10.0;
            counts.add(now, &key(1_000_000 + n), AttemptResult::Disconnected);
            if n % 500 == 0 {
                counts.add(now, &key(7), AttemptResult::Disconnected);
            }
        }
        let repeated = counts.get(Suspect { kind: SuspectKind::Key, id: 7 }).unwrap();
        assert!(repeated.separate_incidents >= 190, "{repeated:?}");
        assert_eq!(counts.kinds[SuspectKind::Key as usize].len(), MAX_COUNTS_PER_KIND);
    }

    #[test]
    fn subtracting_a_failure_leaves_no_trace_and_counts_decay() {
        let mut counts = Counts::new(1_000.0);
        let suspect = Suspect { kind: SuspectKind::Route, id: 3 };
        counts.add(0.0, &[Some(suspect)], AttemptResult::Error);
        counts.add(100.0, &[Some(suspect)], AttemptResult::Success);
        counts.subtract(0.0, &[Some(suspect)], AttemptResult::Error);
        let count = counts.get(suspect).unwrap();
        assert!(
            (count.tries - 1.0).abs() < 1e-9 && count.failures < 1e-9 && count.soft < 1e-9,
            "{count:?}"
        );
        counts.add(1_100.0, &[], AttemptResult::Success);
        assert!((counts.get(suspect).unwrap().tries - (-1.0_f64).exp()).abs() < 1e-9);
        // Long after, counts below the minimum are removed.
        counts.add(60_000.0, &[], AttemptResult::Success);
        assert_eq!(counts.get(suspect), None);
    }
}
