//! The claims that stand, and what follows from them.

use crate::claim::{Claim, read, write};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// When claims count, and how many of them make a verdict.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// A claim stands for so long, in milliseconds.
    pub memory_ms: f64,
    /// Distinct nodes that have to say so.
    pub least: usize,
    /// Part of those who say anything that has to say so, above a half.
    pub part: f64,
    /// Servers of which claims are held; the one that was spoken of longest ago makes room.
    pub servers: usize,
    /// Nodes whose claims on a server are held; the oldest makes room.
    pub nodes: usize,
    /// Nodes that are told of a call, drawn by chance.
    pub hearers: u32,
    /// In fleets of fewer nodes each calls every server often enough to learn by itself.
    pub many: u32,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { memory_ms: 5_000.0, least: 3, part: 0.5, servers: 256, nodes: 32, hearers: 40, many: 49 }
    }
}

#[derive(Clone, Copy, Debug)]
struct Said {
    node: u32,
    bad: bool,
    at_ms: f64,
}

/// What is claimed of servers, by whom.
#[derive(Clone, Debug, Default)]
pub struct Court {
    terms: Terms,
    own: u32,
    nodes: u32,
    said: BTreeMap<u32, Vec<Said>>,
}

impl Court {
    /// One that has heard nothing, of the node with the number `own` among `nodes`. Where those are few it tells
    /// nobody and holds nothing.
    pub fn new(own: u32, nodes: u32) -> Court {
        Court { own, nodes, ..Court::default() }
    }

    /// Takes a message of another node. What is unreadable says nothing, and nor does what claims to come from this one.
    pub fn hear(&mut self, now_ms: f64, from: u32, bytes: &[u8]) {
        if self.nodes >= self.terms.many && from != self.own {
            let claims = read(bytes).unwrap_or_default();
            claims.into_iter().for_each(|claim| self.take(now_ms, from, claim));
        }
    }

    /// A call of this node's own went badly or well. What is to be told and to whom, by number: nothing where it went well
    /// and nobody says otherwise. `draw` gives a number below the one that it is handed.
    pub fn saw(
        &mut self,
        now_ms: f64,
        server: u32,
        bad: bool,
        mut draw: impl FnMut(u32) -> u32,
    ) -> Vec<(u32, Vec<u8>)> {
        if self.nodes < self.terms.many {
            return Vec::new();
        }
        // Held also where nobody asks: liars may come later.
        let claim = Claim { server, bad, age_ms: 0.0 };
        self.take(now_ms, self.own, claim);
        if self.voices(now_ms, server).0 == 0 {
            return Vec::new();
        }
        let hearers = (0..self.terms.hearers).map(|_| draw(self.nodes)).filter(|to| *to != self.own);
        hearers.map(|to| (to, write(&[claim]))).collect()
    }

    /// Takes a claim of a node, by its number. Of each node the latest on a server stands; one that is older than that, or
    /// too old, says nothing.
    fn take(&mut self, now_ms: f64, node: u32, claim: Claim) {
        let Terms { memory_ms, servers, nodes, .. } = self.terms;
        let age_ms = claim.age_ms.max(0.0);
        if age_ms >= memory_ms {
            return;
        }
        let at_ms = now_ms - age_ms;
        let new = Said { node, bad: claim.bad, at_ms };
        let said = self.said.entry(claim.server).or_default();
        said.retain(|s| now_ms - s.at_ms < memory_ms);
        match said.iter_mut().find(|s| s.node == node) {
            Some(old) if old.at_ms > at_ms => {}
            Some(old) => *old = new,
            None => said.push(new),
        }
        if said.len() > nodes {
            let oldest = (0..said.len()).min_by(|a, b| said[*a].at_ms.total_cmp(&said[*b].at_ms));
            if let Some(oldest) = oldest {
                said.swap_remove(oldest);
            }
        }
        if self.said.len() > servers {
            let last = |said: &[Said]| said.iter().map(|s| s.at_ms).fold(f64::NEG_INFINITY, f64::max);
            let stale = self.said.iter().min_by(|a, b| last(a.1).total_cmp(&last(b.1))).map(|(id, _)| *id);
            if let Some(stale) = stale {
                self.said.remove(&stale);
            }
        }
    }

    /// Those who say that calls there went badly, and those who say well.
    pub fn voices(&self, now_ms: f64, server: u32) -> (usize, usize) {
        let standing = self.said.get(&server).into_iter().flatten();
        let standing = standing.filter(|s| now_ms - s.at_ms < self.terms.memory_ms);
        standing.fold((0, 0), |(bad, well), s| if s.bad { (bad + 1, well) } else { (bad, well + 1) })
    }

    /// Enough distinct nodes say so, and this one has not just been served there.
    pub fn ill(&self, now_ms: f64, server: u32) -> bool {
        let (bad, well) = self.voices(now_ms, server);
        let mine = self.said.get(&server).into_iter().flatten().find(|s| s.node == self.own);
        let served = mine.is_some_and(|s| !s.bad && now_ms - s.at_ms < self.terms.memory_ms);
        bad >= self.terms.least && bad as f64 >= self.terms.part * (bad + well) as f64 && !served
    }

    /// What tells it from another.
    pub fn digest<H: Hasher>(&self, state: &mut H) {
        for (server, said) in &self.said {
            server.hash(state);
            said.iter().for_each(|s| (s.node, s.bad, s.at_ms.to_bits()).hash(state));
        }
    }

    /// Servers of which anything is held.
    pub fn servers(&self) -> usize {
        self.said.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn bad(server: u32, age_ms: f64) -> Claim {
        Claim { server, bad: true, age_ms }
    }

    fn well(server: u32) -> Claim {
        Claim { server, bad: false, age_ms: 0.0 }
    }

    /// Node 0 of a hundred.
    fn court() -> Court {
        Court::new(0, 100)
    }

    fn hear(court: &mut Court, now_ms: f64, from: u32, claim: Claim) {
        court.hear(now_ms, from, &write(&[claim]));
    }

    #[test]
    fn three_distinct_nodes_make_a_verdict_and_one_that_repeats_itself_none() {
        let mut court = court();
        (0..50).for_each(|n| hear(&mut court, f64::from(n), 7, bad(1, 0.0)));
        assert_eq!(court.voices(50.0, 1), (1, 0));
        hear(&mut court, 50.0, 8, bad(1, 0.0));
        assert!(!court.ill(50.0, 1));
        hear(&mut court, 50.0, 9, bad(1, 0.0));
        assert!(court.ill(50.0, 1) && !court.ill(50.0, 2));
        // Half of those who speak have to say so: three of six do, three of seven do not.
        (10..13).for_each(|node| hear(&mut court, 60.0, node, well(1)));
        assert!(court.ill(60.0, 1));
        hear(&mut court, 60.0, 13, well(1));
        assert!(!court.ill(60.0, 1));
        // Whoever says the opposite now has said nothing before.
        hear(&mut court, 61.0, 13, bad(1, 0.0));
        assert_eq!(court.voices(61.0, 1), (4, 3));
    }

    #[test]
    fn a_node_that_was_just_served_there_believes_itself() {
        let mut court = court();
        court.saw(0.0, 1, false, |_| 5);
        (1..30).for_each(|node| hear(&mut court, 100.0, node, bad(1, 0.0)));
        assert!(!court.ill(100.0, 1), "however many say so");
        assert!(court.ill(5_000.0, 1), "its own word is too old, theirs is not");
        assert!(!court.ill(5_100.0, 1), "and then theirs");
        // Nor can others speak for it.
        court.saw(6_000.0, 1, true, |_| 5);
        hear(&mut court, 6_000.0, 0, well(1));
        assert_eq!(court.voices(6_000.0, 1), (1, 0));
    }

    #[test]
    fn badly_is_told_always_well_where_somebody_says_otherwise_and_nothing_by_one_alone() {
        let mut court = court();
        let mut drawn = 0;
        let mut tell = |court: &mut Court, server, is_bad| {
            let draw = |n| {
                drawn += 7;
                drawn % n
            };
            court.saw(0.0, server, is_bad, draw)
        };
        assert_eq!(tell(&mut court, 1, false), [], "nobody asks");
        let told = tell(&mut court, 1, true);
        assert!((35..=40).contains(&told.len()) && told.iter().all(|(to, _)| *to != 0 && *to < 100));
        assert_eq!(told.first().and_then(|(_, bytes)| read(bytes)), Some(vec![bad(1, 0.0)]));
        assert_eq!(tell(&mut court, 1, false), [], "its own word before is no other's");
        hear(&mut court, 0.0, 9, bad(2, 0.0));
        assert!(tell(&mut court, 2, false).len() >= 35, "accused by another");
        let mut alone = Court::new(0, 48);
        assert_eq!(alone.saw(0.0, 1, true, |_| 0), []);
        (1..9).for_each(|node| hear(&mut alone, 0.0, node, bad(1, 0.0)));
        assert_eq!(alone.servers(), 0);
    }

    #[test]
    fn what_comes_late_counts_by_its_age_and_an_older_word_undoes_no_newer_one() {
        let mut court = court();
        hear(&mut court, 1_000.0, 1, well(1));
        hear(&mut court, 1_100.0, 1, bad(1, 400.0));
        assert_eq!(court.voices(1_100.0, 1), (0, 1));
        for (node, age_ms) in [(2, 4_960.0), (3, 5_000.0), (4, 1e9)] {
            hear(&mut court, 1_100.0, node, bad(2, age_ms));
        }
        assert_eq!(court.voices(1_100.0, 2).0, 1);
        assert_eq!(court.voices(1_140.0, 2).0, 0);
    }

    proptest! {
        #[test]
        fn what_is_held_is_bounded_and_a_few_liars_never_outvote_more_who_are_served(
            claims in prop::collection::vec((0.0..400.0_f64, 1..90_u32, 0..400_u32, any::<bool>()), 0..900),
        ) {
            let mut court = court();
            let mut now = 0.0;
            for (after, node, server, is_bad) in claims {
                now += after / 20.0;
                hear(&mut court, now, node, Claim { server: server / 2 * 2 % 300, bad: is_bad, age_ms: 0.0 });
                prop_assert!(court.servers() <= 256);
                let (b, w) = court.voices(now, server);
                prop_assert!(b + w <= 32);
                prop_assert!(!court.ill(now, server) || b >= 3 && b >= w);
            }
        }
    }
}
