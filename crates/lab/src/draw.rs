//! Random draws that are the same on every machine: a seeded generator, and `libm` for the mathematics, since
//! the last bit of a logarithm differs between system libraries.

use serde::{Deserialize, Serialize};

/// A stream of random draws. Each purpose has a separate stream, so an additional draw in one does not change
/// the others.
#[derive(Clone, Debug)]
pub struct Draws(fastrand::Rng);

/// Hashes a number to all 64 bits (splitmix64).
pub fn mix(n: u64) -> u64 {
    let n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

impl Draws {
    /// The stream of a seed for the purpose with the number `stream`.
    pub fn new(seed: u64, stream: u64) -> Draws {
        Draws(fastrand::Rng::with_seed(mix(mix(seed) ^ stream)))
    }

    /// A uniform draw from 0 up to but not including 1.
    pub fn part(&mut self) -> f64 {
        self.0.f64()
    }

    /// A uniform index below `count`; 0 if `count` is 0.
    pub fn of(&mut self, count: usize) -> usize {
        if count == 0 { 0 } else { self.0.usize(..count) }
    }

    /// True with the probability `chance`.
    pub fn hit(&mut self, chance: f64) -> bool {
        self.part() < chance
    }

    /// An exponential draw with mean 1.
    pub fn wait(&mut self) -> f64 {
        -libm::log(1.0 - self.part())
    }

    /// A normal draw with mean 0 and standard deviation 1 (Box-Muller transform).
    pub fn normal(&mut self) -> f64 {
        let (exponential, turn) = (self.wait(), self.part());
        libm::sqrt(2.0 * exponential) * libm::cos(std::f64::consts::TAU * turn)
    }
}

/// The distribution of service times, in milliseconds.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Law {
    /// Always the same.
    Constant {
        /// The service time.
        ms: f64,
    },
    /// A lognormal distribution.
    Lognormal {
        /// The median.
        median_ms: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
    /// A Pareto distribution, heavy-tailed, truncated at `most_ms`.
    Pareto {
        /// Minimum.
        least_ms: f64,
        /// Tail index; smaller values give a heavier tail.
        alpha: f64,
        /// Maximum; larger draws are set to it.
        most_ms: f64,
    },
    /// As measured: how long, and how often in relation to the others.
    Histogram {
        /// Pairs of the two.
        ms: Vec<(f64, f64)>,
    },
}

impl Law {
    /// One draw, in milliseconds.
    pub fn draw(&self, draws: &mut Draws) -> f64 {
        match self {
            Law::Constant { ms } => *ms,
            Law::Lognormal { median_ms, sigma } => median_ms * libm::exp(sigma * draws.normal()),
            Law::Pareto { least_ms, alpha, most_ms } => {
                (least_ms * libm::pow(1.0 - draws.part(), -1.0 / alpha)).min(*most_ms)
            }
            Law::Histogram { ms } => {
                let mut remaining_weight = draws.part() * ms.iter().map(|(_, weight)| weight).sum::<f64>();
                let drawn = ms.iter().find(|(_, weight)| {
                    remaining_weight -= weight;
                    remaining_weight < 0.0
                });
                drawn.or(ms.last()).map_or(0.0, |(ms, _)| *ms)
            }
        }
    }

    /// The rule that the parameters violate, if any.
    pub fn invalid_reason(&self) -> Option<&'static str> {
        let is_positive = |n: f64| n.is_finite() && n > 0.0;
        match self {
            Law::Constant { ms } => (!is_positive(*ms)).then_some("ms must be over 0"),
            Law::Lognormal { median_ms, sigma } => (!is_positive(*median_ms)
                || !(0.0..=3.0).contains(sigma))
            .then_some("median_ms over 0, sigma 0 to 3"),
            Law::Pareto { least_ms, alpha, most_ms } => {
                (!is_positive(*least_ms) || !is_positive(*alpha) || most_ms < least_ms)
                    .then_some("least_ms and alpha over 0, most_ms not under least_ms")
            }
            Law::Histogram { ms } => (ms.is_empty()
                || ms.iter().any(|(t, w)| !is_positive(*t) || !is_positive(*w)))
            .then_some("pairs of a time and a weight, both over 0"),
        }
    }
}

/// Keys by Zipf's law: the probability of the n-th is proportional to 1 / n^s. Holds the cumulative weights.
#[derive(Clone, Debug)]
pub struct Zipf(Vec<f64>);

impl Zipf {
    /// A distribution over `keys` keys; `s` = 0 makes it uniform.
    pub fn new(keys: u32, s: f64) -> Zipf {
        let mut sum = 0.0;
        let mut cumulative = |n: u32| {
            sum += libm::pow(f64::from(n), -s);
            sum
        };
        Zipf((1..=keys.max(1)).map(&mut cumulative).collect())
    }

    /// Draws the index of a key, from 0.
    pub fn draw(&self, draws: &mut Draws) -> usize {
        let at = draws.part() * self.0.last().copied().unwrap_or(1.0);
        self.0.partition_point(|sum| *sum <= at).min(self.0.len().saturating_sub(1))
    }
}

#[cfg(test)]
mod tests {
    use super::{Draws, Law, Zipf};

    /// Mean and median of many draws.
    fn mean_and_median(law: &Law) -> (f64, f64) {
        let mut draws = Draws::new(4, 2);
        let mut all: Vec<f64> = (0..40_000).map(|_| law.draw(&mut draws)).collect();
        all.sort_by(f64::total_cmp);
        (all.iter().sum::<f64>() / all.len() as f64, all[all.len() / 2])
    }

    #[test]
    fn each_distribution_has_its_theoretical_mean_and_median() {
        // The mean of a lognormal is exp(sigma^2 / 2) times the median, that of a Pareto alpha / (alpha - 1)
        // times the minimum.
        for (law, mean, median) in [
            (Law::Constant { ms: 7.0 }, 7.0, 7.0),
            (Law::Lognormal { median_ms: 10.0, sigma: 0.5 }, 11.33, 10.0),
            (Law::Pareto { least_ms: 8.0, alpha: 3.0, most_ms: 1e6 }, 12.0, 10.08),
            (Law::Histogram { ms: vec![(5.0, 3.0), (50.0, 1.0)] }, 16.25, 5.0),
        ] {
            let (m, half) = mean_and_median(&law);
            assert!(
                (m / mean - 1.0).abs() < 0.03 && (half / median - 1.0).abs() < 0.03,
                "{law:?}: {m} {half}"
            );
            assert_eq!(law.invalid_reason(), None);
        }
        assert!(mean_and_median(&Law::Pareto { least_ms: 8.0, alpha: 0.5, most_ms: 100.0 }).0 < 100.0);
        assert!(Law::Lognormal { median_ms: 0.0, sigma: 0.5 }.invalid_reason().is_some());
        assert!(Law::Histogram { ms: Vec::new() }.invalid_reason().is_some());
    }

    #[test]
    fn key_frequencies_follow_the_zipf_exponent() {
        let (zipf, mut draws) = (Zipf::new(100, 1.0), Draws::new(1, 1));
        let mut counts = [0_u32; 100];
        (0..50_000).for_each(|_| counts[zipf.draw(&mut draws)] += 1);
        // With s = 1 the first key is twice as frequent as the second and ten times as frequent as the tenth.
        let ratio = |n: usize| f64::from(counts[0]) / f64::from(counts[n]);
        assert!(
            (ratio(1) / 2.0 - 1.0).abs() < 0.1 && (ratio(9) / 10.0 - 1.0).abs() < 0.15,
            "{} {}",
            ratio(1),
            ratio(9)
        );
        let even = Zipf::new(4, 0.0);
        let mut counts = [0_u32; 4];
        (0..40_000).for_each(|_| counts[even.draw(&mut draws)] += 1);
        assert!(counts.iter().all(|n| (9_500..10_500).contains(n)), "{counts:?}");
    }
}
