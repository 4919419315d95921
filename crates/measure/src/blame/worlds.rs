//! Generated worlds with one to three culprits: after how many failures each is named, and who is named in vain.

use applemill_blame::{
    Admission, AttemptResult, Blame, BlameConfig, Change, RequestTraits, Suspect, SuspectKind,
};
use applemill_stand_ins::Ills;
use std::collections::BTreeMap;

const TRIES: u64 = 4_000;
const KINDS: [SuspectKind; 4] =
    [SuspectKind::Server, SuspectKind::Route, SuspectKind::Tenant, SuspectKind::Key];

/// What came of them.
#[derive(Default)]
pub struct Found {
    /// Failures of each culprit, its own, until it was named; in order.
    pub after: Vec<u64>,
    /// Culprits that were not.
    pub missed: usize,
    /// Worlds in which somebody innocent was.
    pub innocent: usize,
}

impl Found {
    /// What a part of the culprits did not exceed.
    pub fn at(&self, part: f64) -> Option<u64> {
        self.after.get((self.after.len() as f64 * part) as usize).copied()
    }
}

fn name(kind: usize, n: u64) -> u64 {
    (kind as u64 * 1_000_003 + n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Plays so many.
pub fn play(worlds: u64) -> Found {
    let mut found = Found::default();
    for seed in 0..worlds {
        let mut ills = Ills::new(seed, 1 + (seed % 3) as usize);
        let mut blame = Blame::new(BlameConfig::default(), seed);
        // Of each culprit that is no server: its failures, and how many there were when it was named.
        let mut guilty: BTreeMap<Suspect, (u64, Option<u64>)> = (ills.culprits.iter())
            .filter(|(kind, ..)| *kind > 0)
            .filter_map(|(kind, n, _)| {
                Some((Suspect { kind: *KINDS.get(*kind)?, id: name(*kind, *n) }, (0, None)))
            })
            .collect();
        let mut innocent = false;
        for n in 0..TRIES {
            let now = n as f64 * 5.0;
            let ([server, route, tenant, key], fails) = ills.draw();
            let (route, tenant, key) = (name(1, route), name(2, tenant), name(3, key));
            let work = RequestTraits {
                route: Some(route),
                tenant: Some(tenant),
                key: Some(key),
                ..RequestTraits::default()
            };
            let admitted = blame.admit(now, &work);
            if matches!(admitted, Admission::Refused { .. }) {
                continue;
            }
            blame.ended(
                now,
                &work,
                name(0, server),
                if fails { AttemptResult::Disconnected } else { AttemptResult::Success },
            );
            if let Admission::Trial(pass) = admitted {
                blame.trial_ended(now, pass, Some(!fails));
            }
            for (kind, id) in
                [(SuspectKind::Route, route), (SuspectKind::Tenant, tenant), (SuspectKind::Key, key)]
            {
                if let Some(own) = guilty.get_mut(&Suspect { kind, id }) {
                    own.0 += u64::from(fails);
                }
            }
            for change in blame.changes() {
                let Change::Blamed { suspect, .. } = change else { continue };
                match guilty.get_mut(&suspect) {
                    Some((failures, named)) => *named = named.or(Some(*failures)),
                    None => innocent |= suspect.kind != SuspectKind::Cell,
                }
            }
        }
        found.innocent += usize::from(innocent);
        found.missed += guilty.values().filter(|(_, named)| named.is_none()).count();
        found.after.extend(guilty.values().filter_map(|(_, named)| *named));
    }
    found.after.sort_unstable();
    found
}
