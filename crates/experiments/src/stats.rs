//! Statistics of repeated runs: confidence intervals of a mean and of a paired difference by Student's t, and
//! the level for stopping early.

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Default confidence level of intervals.
pub const LEVEL: f64 = 0.95;
/// Confidence level for stopping an experiment early at an interim analysis. At so strict a level
/// (Haybittle-Peto), interim analyses hardly raise the chance of a false finding.
pub const EARLY: f64 = 0.999;

/// A mean with its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Interval {
    /// The mean of the sample.
    pub mean: f64,
    /// Lower end of the interval.
    pub low: f64,
    /// Upper end of the interval.
    pub high: f64,
    /// Sample size.
    pub n: usize,
}

/// Outcome of a paired comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Significantly more.
    More,
    /// Significantly less.
    Less,
    /// No significant difference.
    NoDifference,
}

impl Verdict {
    /// Display text.
    pub fn label(self) -> &'static str {
        match self {
            Verdict::More => "more",
            Verdict::Less => "less",
            Verdict::NoDifference => "no difference shown",
        }
    }
}

/// Confidence interval of the mean of a sample; unbounded with fewer than two values.
pub fn interval(values: &[f64], level: f64) -> Interval {
    let n = values.len();
    let mean = if n == 0 { 0.0 } else { values.iter().sum::<f64>() / n as f64 };
    let unbounded = Interval { mean, low: f64::NEG_INFINITY, high: f64::INFINITY, n };
    if n < 2 {
        return unbounded;
    }
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1) as f64;
    let Ok(student) = StudentsT::new(0.0, 1.0, (n - 1) as f64) else { return unbounded };
    let half_width = student.inverse_cdf(0.5 + level / 2.0) * (variance / n as f64).sqrt();
    Interval { mean, low: mean - half_width, high: mean + half_width, n }
}

/// Confidence interval of the mean of the paired differences, `second` minus `first`.
pub fn difference(first: &[f64], second: &[f64], level: f64) -> Interval {
    let differences: Vec<f64> = first.iter().zip(second).map(|(a, b)| b - a).collect();
    interval(&differences, level)
}

impl Interval {
    /// The verdict of an interval of a difference. A difference that is the same in every pair is significant
    /// unless it is 0.
    pub fn verdict(&self) -> Verdict {
        if self.low > 0.0 {
            Verdict::More
        } else if self.high < 0.0 {
            Verdict::Less
        } else {
            Verdict::NoDifference
        }
    }
}

/// Quantile of values by the nearest-rank method; 0 if there are none.
pub fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (q * sorted.len() as f64).ceil().max(1.0) as usize;
    sorted.get(rank.min(sorted.len()).saturating_sub(1)).copied().unwrap_or(0.0)
}
