//! How often keys are requested: the hash of keys, and a sketch that counts them.

/// Final mixing steps of splitmix64.
pub(super) fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// How often each key is requested at this node: a count-min sketch of two rows that fades.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyCounts {
    pub(super) rows: [Vec<f32>; 2],
    pub(super) total: f64,
}

impl KeyCounts {
    const SLOTS: usize = 2048;
    /// Time constant of the fading: long enough for a node with few requests a second to see a frequent key
    /// twice.
    const MEMORY_MS: f64 = 15_000.0;
    /// Shares are computed as if at least this many requests had been counted.
    const MIN_TOTAL: f64 = 20.0;

    pub(super) fn new() -> KeyCounts {
        KeyCounts { rows: [vec![0.0; KeyCounts::SLOTS], vec![0.0; KeyCounts::SLOTS]], total: 0.0 }
    }

    fn slots(key: u64) -> [usize; 2] {
        [key as usize % KeyCounts::SLOTS, (key >> 32) as usize % KeyCounts::SLOTS]
    }

    pub(super) fn record(&mut self, key: u64) {
        for (row, slot) in self.rows.iter_mut().zip(KeyCounts::slots(key)) {
            row[slot] += 1.0;
        }
        self.total += 1.0;
    }

    pub(super) fn fade(&mut self, seconds: f64) {
        let keep = (-seconds * 1000.0 / KeyCounts::MEMORY_MS).exp();
        self.rows.iter_mut().flatten().for_each(|count| *count *= keep as f32);
        self.total *= keep;
    }

    /// Share of the traffic that is for this key. A single request for it counts as none.
    pub(super) fn share(&self, key: u64) -> f64 {
        let [first, second] = KeyCounts::slots(key);
        let count = self.rows[0][first].min(self.rows[1][second]);
        f64::from(count - 1.0).max(0.0) / self.total.max(KeyCounts::MIN_TOTAL)
    }
}
