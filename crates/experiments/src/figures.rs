//! Stored results of a run: summary figures, statistics for each second, and the load of each server.

use applemill_lab::{Broken, Floor, Record, Second};
use serde::{Deserialize, Serialize};

/// A summary figure by which variants can be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    /// Served requests, as a fraction of all requests.
    Goodput,
    /// Worth of requests served within their objective, as a fraction of the worth of all requests.
    Worth,
    /// Median latency of served requests, counted from their first try, in milliseconds.
    P50Ms,
    /// 99th percentile of the same latency, in milliseconds.
    P99Ms,
    /// Requests finally refused, as a fraction of all requests.
    Refused,
    /// Requests finally failed, given up or lost, as a fraction of all requests.
    Failed,
    /// Retries of clients, as a fraction of all tries.
    Retries,
    /// Attempts that arrived at servers, per request.
    Attempts,
    /// Attempts that servers worked on with nobody waiting for the answer, as a fraction of those that
    /// arrived.
    Wasted,
    /// Highest load sent to a cold server, relative to the load at which it falls.
    ColdRatio,
}

impl Figure {
    /// All figures, in the order of [`Run::figures`].
    pub const ALL: [Figure; 10] = [
        Figure::Goodput,
        Figure::Worth,
        Figure::P50Ms,
        Figure::P99Ms,
        Figure::Refused,
        Figure::Failed,
        Figure::Retries,
        Figure::Attempts,
        Figure::Wasted,
        Figure::ColdRatio,
    ];

    /// Name in files and tables.
    pub fn name(self) -> &'static str {
        match self {
            Figure::Goodput => "goodput",
            Figure::Worth => "worth",
            Figure::P50Ms => "p50_ms",
            Figure::P99Ms => "p99_ms",
            Figure::Refused => "refused",
            Figure::Failed => "failed",
            Figure::Retries => "retries",
            Figure::Attempts => "attempts",
            Figure::Wasted => "wasted",
            Figure::ColdRatio => "cold_ratio",
        }
    }

    /// Whether a higher value is better.
    pub fn more_is_better(self) -> bool {
        matches!(self, Figure::Goodput | Figure::Worth)
    }
}

/// Results of one run, as stored.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Run {
    /// Values in the order of [`Figure::ALL`].
    pub figures: Vec<f64>,
    /// By group of clients: its name, and the fraction of its requests that was served.
    pub groups: Vec<(String, f64)>,
    /// Latency over all groups in milliseconds, at [`QUANTILES`].
    pub latency_ms: Vec<f64>,
    /// Statistics for each second.
    pub seconds: Vec<Second>,
    /// Requests that arrived, by second and server.
    pub servers: Vec<Vec<u16>>,
    /// Violations of rules that were recorded.
    pub broken: Vec<Broken>,
    /// Number of violations in all.
    pub broken_count: u64,
    /// Log of the first try that broke a rule, line by line.
    #[serde(default)]
    pub story: Vec<String>,
    /// Number of events.
    pub events: u64,
    /// Digest of all events.
    pub digest: u64,
}

/// The quantiles of [`Run::latency_ms`].
pub const QUANTILES: [f64; 7] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.99, 0.999];

impl Run {
    /// Summarizes a record of the laboratory.
    pub fn new(record: Record, floor: &Floor) -> Run {
        let (asked, _, refused, failed) = record.sums();
        let fraction = |n: u64, of: u64| if of == 0 { 0.0 } else { n as f64 / of as f64 };
        let sum_seconds =
            |f: &dyn Fn(&Second) -> u32| record.seconds.iter().map(|s| u64::from(f(s))).sum::<u64>();
        let tries: u64 = record.groups.iter().map(|g| g.tries).sum();
        let attempts = sum_seconds(&|s| s.attempts);
        let worths: Vec<f64> = floor.paths.iter().map(|p| p.worth).collect();
        let mut latency = record.groups.first().map(|g| g.latency.clone());
        for g in record.groups.iter().skip(1) {
            if let Some(latency) = &mut latency {
                // Cannot fail: the histograms have the same bounds.
                let _ = latency.add(&g.latency);
            }
        }
        let latency_ms = |q: f64| {
            latency
                .as_ref()
                .filter(|l| !l.is_empty())
                .map_or(0.0, |l| l.value_at_quantile(q) as f64 / 1000.0)
        };
        let figure = |f: Figure| match f {
            Figure::Goodput => 1.0 - fraction(asked - record.sums().1, asked),
            Figure::Worth => record.worth(&worths),
            Figure::P50Ms => latency_ms(0.5),
            Figure::P99Ms => latency_ms(0.99),
            Figure::Refused => fraction(refused, asked),
            Figure::Failed => fraction(failed, asked),
            Figure::Retries => fraction(tries - asked.min(tries), tries),
            Figure::Attempts => fraction(attempts, asked),
            Figure::Wasted => fraction(sum_seconds(&|s| s.wasted), attempts),
            Figure::ColdRatio => record.cold_ratio,
        };
        Run {
            figures: Figure::ALL.into_iter().map(figure).collect(),
            groups: record.groups.iter().map(|g| (g.name.clone(), g.goodput())).collect(),
            latency_ms: QUANTILES.into_iter().map(latency_ms).collect(),
            seconds: record.seconds,
            servers: record.servers,
            broken: record.broken,
            broken_count: record.broken_count,
            story: Vec::new(),
            events: record.events,
            digest: record.digest,
        }
    }

    /// The value of a figure.
    pub fn figure(&self, f: Figure) -> f64 {
        Figure::ALL.iter().zip(&self.figures).find(|(g, _)| **g == f).map_or(0.0, |(_, v)| *v)
    }
}
