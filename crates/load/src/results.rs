//! Results of a load run, and whether the load generator itself was the limit.

use hdrhistogram::Histogram;
use hdrhistogram::serialization::interval_log::IntervalLogWriterBuilder;
use hdrhistogram::serialization::{Serializer, V2DeflateSerializer};
use serde_json::{Value, json};
use std::io::Write;
use std::time::Duration;

/// Largest value the histograms record, in microseconds: ten minutes.
const MAX_RECORDED_US: u64 = 600_000_000;
/// A send delay up to this many microseconds is never taken for the limit.
const TOLERATED_DELAY_US: u64 = 2_000;
/// The generator is the limit if its send delay exceeds this fraction of the measured latency, both at the
/// 99th percentile.
const MAX_DELAY_FRACTION: f64 = 0.1;

/// Results of one group of clients. Times in microseconds.
#[derive(Clone, Debug)]
pub struct GroupResults {
    /// Name of the group.
    pub name: String,
    /// Requests that were due.
    pub due: u64,
    /// Answered with a success status.
    pub served: u64,
    /// Answered with 503; such a request may safely be retried.
    pub refused: u64,
    /// Answered with any other status.
    pub failed: u64,
    /// Timed out, or the connection ended before the answer was complete.
    pub lost: u64,
    /// No connection could be opened.
    pub unconnected: u64,
    /// Time from when a request was due to the end of its answer, of those served.
    pub latency: Histogram<u64>,
}

/// Whether the load generator, not the server, limited the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GeneratorLimit {
    /// It did not.
    None,
    /// It sent late: the 99th percentile of its send delay, in milliseconds.
    SendDelay(f64),
    /// The number of requests that waited because the maximum was in flight.
    MaxInFlight(u64),
}

/// Results of a load run.
#[derive(Clone, Debug)]
pub struct LoadResults {
    /// By group of clients.
    pub groups: Vec<GroupResults>,
    /// How late requests were sent after they were due, in microseconds.
    pub send_delay: Histogram<u64>,
    /// Requests that waited because the maximum was in flight.
    pub waited: u64,
    /// Largest number of requests in flight.
    pub max_in_flight: usize,
    /// Duration in seconds.
    pub seconds: f64,
}

fn histogram() -> Result<Histogram<u64>, hdrhistogram::CreationError> {
    Histogram::new_with_bounds(1, MAX_RECORDED_US, 3)
}

fn quantile_ms(h: &Histogram<u64>, q: f64) -> f64 {
    if h.is_empty() { 0.0 } else { h.value_at_quantile(q) as f64 / 1000.0 }
}

impl LoadResults {
    /// Empty results for groups of these names.
    pub(crate) fn new<'a>(
        names: impl Iterator<Item = &'a str>,
    ) -> Result<LoadResults, hdrhistogram::CreationError> {
        let group = |name: &str| {
            let (due, served, refused, failed, lost, unconnected) = (0, 0, 0, 0, 0, 0);
            Ok(GroupResults {
                name: name.to_owned(),
                due,
                served,
                refused,
                failed,
                lost,
                unconnected,
                latency: histogram()?,
            })
        };
        let groups: Result<Vec<GroupResults>, _> = names.map(group).collect();
        Ok(LoadResults {
            groups: groups?,
            send_delay: histogram()?,
            waited: 0,
            max_in_flight: 0,
            seconds: 0.0,
        })
    }

    pub(crate) fn record(h: &mut Histogram<u64>, time: Duration) {
        h.saturating_record(u64::try_from(time.as_micros()).unwrap_or(MAX_RECORDED_US).max(1));
    }

    /// Latency of the served requests of all groups, in microseconds.
    pub fn latency(&self) -> Option<Histogram<u64>> {
        let mut all = histogram().ok()?;
        for group in &self.groups {
            all.add(&group.latency).ok()?;
        }
        Some(all)
    }

    /// Totals over all groups: due, served, refused, and all other outcomes.
    pub fn totals(&self) -> (u64, u64, u64, u64) {
        let sum = |f: &dyn Fn(&GroupResults) -> u64| self.groups.iter().map(f).sum::<u64>();
        (
            sum(&|p| p.due),
            sum(&|p| p.served),
            sum(&|p| p.refused),
            sum(&|p| p.failed + p.lost + p.unconnected),
        )
    }

    /// Whether the load generator was the limit.
    pub fn limit(&self) -> GeneratorLimit {
        if self.waited > 0 {
            return GeneratorLimit::MaxInFlight(self.waited);
        }
        let delay_us = if self.send_delay.is_empty() { 0 } else { self.send_delay.value_at_quantile(0.99) };
        let latency_ms = self.latency().map_or(0.0, |all| quantile_ms(&all, 0.99));
        if delay_us > TOLERATED_DELAY_US && delay_us as f64 / 1000.0 > MAX_DELAY_FRACTION * latency_ms {
            return GeneratorLimit::SendDelay(delay_us as f64 / 1000.0);
        }
        GeneratorLimit::None
    }

    /// The limit as a sentence; none if the generator was not the limit.
    pub fn limit_text(&self) -> Option<String> {
        match self.limit() {
            GeneratorLimit::None => None,
            GeneratorLimit::SendDelay(delay_ms) => Some(format!(
                "this program was the limit: one request in a hundred was sent {delay_ms:.1} ms late or more; use more cores or a lower rate"
            )),
            GeneratorLimit::MaxInFlight(n) => Some(format!(
                "this program was the limit: {n} requests waited because --open requests were in flight; raise --open"
            )),
        }
    }

    /// The results as JSON, for other programs. Times in milliseconds.
    pub fn json(&self) -> Value {
        let quantiles_ms = |h: &Histogram<u64>| {
            let at = |q: f64| (quantile_ms(h, q) * 1000.0).round() / 1000.0;
            json!({"p50": at(0.5), "p90": at(0.9), "p99": at(0.99), "p999": at(0.999), "max": at(1.0)})
        };
        let group_json = |p: &GroupResults| {
            json!({
                "name": p.name, "due": p.due, "served": p.served, "refused": p.refused, "failed": p.failed,
                "lost": p.lost, "unconnected": p.unconnected, "latency_ms": quantiles_ms(&p.latency),
            })
        };
        let (due, served, refused, other) = self.totals();
        json!({
            "seconds": (self.seconds * 1000.0).round() / 1000.0, "due": due, "served": served, "refused": refused, "other": other,
            "latency_ms": self.latency().as_ref().map(quantiles_ms), "late_ms": quantiles_ms(&self.send_delay), "most_open": self.max_in_flight,
            "limit": self.limit_text(), "parts": self.groups.iter().map(group_json).collect::<Vec<_>>(),
        })
    }

    /// Writes the latency histograms as an HdrHistogram interval log (V2 with deflate), which other tools
    /// read: one interval, tagged with the name of the group.
    ///
    /// # Errors
    /// The log cannot be written.
    pub fn write_log(&self, to: &mut dyn Write) -> std::io::Result<()> {
        let mut serializer = V2DeflateSerializer::new();
        self.write_intervals(to, &mut serializer).map_err(|e| std::io::Error::other(format!("{e:?}")))
    }

    fn write_intervals<S: Serializer>(
        &self,
        mut to: &mut dyn Write,
        serializer: &mut S,
    ) -> Result<(), Box<dyn std::fmt::Debug>>
    where
        S::SerializeError: 'static,
    {
        let mut builder = IntervalLogWriterBuilder::new();
        builder.add_comment("applemill-load, microseconds from when a request was due");
        let mut writer = builder
            .begin_log_with(&mut to, serializer)
            .map_err(|e| Box::new(e) as Box<dyn std::fmt::Debug>)?;
        for group in &self.groups {
            let tag = hdrhistogram::serialization::interval_log::Tag::new(&group.name);
            let length = Duration::from_secs_f64(self.seconds.max(0.0));
            writer
                .write_histogram(&group.latency, Duration::ZERO, length, tag)
                .map_err(|e| Box::new(e) as Box<dyn std::fmt::Debug>)?;
        }
        Ok(())
    }
}
