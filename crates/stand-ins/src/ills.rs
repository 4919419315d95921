//! Generates attempts against servers, routes, tenants and keys of which some cause failures, to test the
//! attribution of failures.

/// Kinds of possible culprits, in the order of the numbers that [`Ills::draw`] returns.
pub const ILL_KINDS: [&str; 4] = ["server", "route", "tenant", "key"];

/// A generator of attempts, determined by its seed.
pub struct Ills {
    rng: fastrand::Rng,
    /// Number of members of each kind.
    sizes: [u64; 4],
    /// Culprits: index of the kind, number within the kind, and fraction of its attempts that fail.
    pub culprits: Vec<(usize, u64, f64)>,
    /// Fraction of all attempts that fail regardless of culprits.
    pub noise: f64,
}

impl Ills {
    /// A generator with `culprits` culprits, each of a different kind, at most 4.
    pub fn new(seed: u64, culprits: usize) -> Ills {
        let mut rng = fastrand::Rng::with_seed(seed);
        let sizes = [rng.u64(3..12), rng.u64(3..12), rng.u64(4..30), rng.u64(50..5_000)];
        let mut chosen: Vec<(usize, u64, f64)> = Vec::new();
        while chosen.len() < culprits.min(sizes.len()) {
            let kind = rng.usize(..sizes.len());
            // Rare keys occur too seldom for their failures to be detected. The first keys are the frequent
            // ones.
            let n = rng.u64(..sizes.get(kind).map_or(1, |s| (*s).min(8)));
            if chosen.iter().all(|(k, ..)| *k != kind) {
                let rate = [1.0, 1.0, 0.9, 0.7].get(rng.usize(..4)).copied().unwrap_or(1.0);
                chosen.push((kind, n, rate));
            }
        }
        let noise = [0.0, 0.001, 0.01, 0.03].get(rng.usize(..4)).copied().unwrap_or(0.0);
        Ills { rng, sizes, culprits: chosen, noise }
    }

    /// Draws the next attempt: the numbers of its server, route, tenant and key, and whether it fails.
    pub fn draw(&mut self) -> ([u64; 4], bool) {
        let [servers, routes, tenants, keys] = self.sizes;
        // A skewed distribution, in which the first keys are frequent.
        let key = (self.rng.f64().powi(3) * keys as f64) as u64;
        let members = [self.rng.u64(..servers), self.rng.u64(..routes), self.rng.u64(..tenants), key];
        let success_rate = |rate_so_far: f64, (kind, n, rate): &(usize, u64, f64)| {
            if members.get(*kind) == Some(n) { rate_so_far * (1.0 - rate) } else { rate_so_far }
        };
        let success_rate = self.culprits.iter().fold(1.0 - self.noise, success_rate);
        (members, self.rng.f64() >= success_rate)
    }
}
