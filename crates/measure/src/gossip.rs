//! `gossip`: servers that answer with errors to a large fleet, in a simulation around the real decisions.
//! Measures the attempts that end in an error and how soon each node stops using the servers, with and
//! without messages between nodes, and with some messages lost or some nodes lying.

use crate::blame::chart;
use applemill_experiments::Spec;
use applemill_lab::{Fault, Floor, Lab, Messages, Record, What, World};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;

/// Start and end of the fault, and end of the simulation, in seconds.
const FAULT_TIMES_S: (f64, f64, f64) = (4.0, 14.0, 18.0);
/// Targets: attempts that end in an error, as a ratio to those without messages; time until half of the nodes
/// have detected the fault; and the loss in the fraction of bids served compared with that without messages.
const MAX_ERROR_RATIO: f64 = 0.35;
const MAX_ERROR_RATIO_DEGRADED: f64 = 0.45;
const MAX_DETECTION_MS: f64 = 4_000.0;
const MAX_SERVED_LOSS: f64 = 0.001;
/// A server counts as closed below this fraction of the requests that it gets without messages.
const CLOSED_BELOW: f64 = 0.5;
const WORLD: &str = r#"
question = "How soon does a fleet know a server that fails?"
figure = "goodput"

[world]
seconds = 18
nodes = 300

[[world.servers]]
pool = "floor"
count = 200
cores = 4
service = { lognormal = { median_ms = 20, sigma = 0.5 } }

[[world.clients]]
name = "bids"
request = "POST /lots/{key}"
rate = 1100
keys = 5000

[[world.clients]]
name = "pages"
request = "GET /lots/{key}"
rate = 1300
keys = 5000

[operator]
listener = [{ address = "127.0.0.1:8080" }]

[operator.pool.floor]
servers = [{ address = "127.0.0.1:9001" }]

[operator.class.bid]
effect = "unsafe"
patience = "900ms"

[operator.class.page]
effect = "safe"
patience = "900ms"
retry = "may-have-run"

[[operator.route]]
name = "bid"
method = "POST"
class = "bid"
pool = "floor"
key = { segment = 2 }

[[operator.route]]
name = "page"
class = "page"
pool = "floor"
key = { segment = 2 }

[[variant]]
name = "fleet"
"#;

/// Result of a simulation.
struct Outcome {
    record: Record,
    /// Time from the start of the fault to each node's last attempt at a failing server, in milliseconds,
    /// ascending.
    detection_ms: Vec<f64>,
    /// Attempts that ended in an error, by second.
    errors: Vec<f64>,
}

fn simulate(world: &World, floor: &Floor, seed: u64) -> Result<Outcome, Box<dyn Error>> {
    let record = Lab::new(world, floor, seed)?.run();
    let mut last_error_ms = BTreeMap::new();
    let mut errors = vec![0.0; world.seconds as usize];
    for (at, node) in &record.errors {
        last_error_ms.insert(*node, (at - FAULT_TIMES_S.0) * 1000.0);
        if let Some(n) = errors.get_mut(*at as usize) {
            *n += 1.0;
        }
    }
    let mut detection_ms: Vec<f64> = last_error_ms.into_values().collect();
    detection_ms.sort_by(f64::total_cmp);
    Ok(Outcome { record, detection_ms, errors })
}

impl Outcome {
    /// A quantile of the detection times; 0 without any.
    fn quantile(&self, q: f64) -> f64 {
        let at = (self.detection_ms.len() as f64 * q) as usize;
        self.detection_ms.get(at.min(self.detection_ms.len().saturating_sub(1))).copied().unwrap_or(0.0)
    }

    /// Requests that a server got during the fault, as a ratio to the mean of the healthy servers. The ratio
    /// covers the whole fault, because a single second has only a dozen requests and varies down to a sixth
    /// of the mean by chance.
    fn load_ratio(&self, server: usize, failing: usize) -> f64 {
        let seconds =
            self.record.servers.iter().take(FAULT_TIMES_S.1 as usize).skip(FAULT_TIMES_S.0 as usize + 1);
        let (mut own_requests, mut all_requests, mut healthy) = (0.0, 0.0, 0_usize);
        for counts in seconds {
            own_requests += counts.get(server).map_or(0.0, |n| f64::from(*n));
            all_requests += counts.iter().skip(failing).map(|n| f64::from(*n)).sum::<f64>();
            healthy = counts.len().saturating_sub(failing);
        }
        own_requests / (all_requests / healthy.max(1) as f64).max(1e-9)
    }
}

/// Runs the measurement; `scale` 10 is the full size, with five seeds and 10 failing servers of 200, before
/// 300 nodes.
///
/// # Errors
/// A world cannot be simulated, or the chart cannot be written.
pub fn measure(scale: u32, svg: Option<&Path>) -> Result<Value, Box<dyn Error>> {
    let spec = Spec::parse("gossip", WORLD)?;
    let variant = spec.variants.first().ok_or("no variant")?;
    let mut world = variant.world.clone();
    let floor = &Floor::new(&world, &variant.file)?;
    let failing = if scale >= 10 { 10 } else { 1 };
    world.faults.push(Fault {
        at: FAULT_TIMES_S.0,
        lasts: FAULT_TIMES_S.1 - FAULT_TIMES_S.0,
        fault: What::Errors,
        by: 1.0,
        pool: None,
        zone: None,
        first: Some(failing as u32),
    });
    // The accused server is healthy, and one node in fifty lies about it.
    let accused = failing + 1;
    let liars = Messages { liars: world.nodes / 50, accused: accused as u32, ..Messages::default() };
    let kinds = [
        ("without", None),
        ("with", Some(Messages::default())),
        ("a third lost", Some(Messages { lost: 0.3, ..Messages::default() })),
        ("one in fifty lies", Some(liars)),
    ];
    let (mut lines, mut by_kind) = (Vec::new(), serde_json::Map::new());
    let (mut targets_met, mut rules_broken, mut closed, mut errors_without, mut accused_without) =
        (true, 0, 0, 0.0, 0.0);
    let mut served_without = 0.0;
    for (name, messages) in kinds {
        world.messages = messages;
        let mut errors = 0.0;
        let (mut p50, mut p99, mut bytes, mut served, mut accused_least) =
            (0.0_f64, 0.0_f64, 0.0, 1.0_f64, f64::INFINITY);
        let seeds = u64::from(scale.div_ceil(2).min(5));
        for seed in 1..=seeds {
            let outcome = simulate(&world, floor, seed)?;
            errors += outcome.errors.iter().sum::<f64>();
            (p50, p99) = (p50.max(outcome.quantile(0.5)), p99.max(outcome.quantile(0.99)));
            bytes +=
                outcome.record.told_bytes as f64 / f64::from(world.nodes) / world.seconds / seeds as f64;
            rules_broken += outcome.record.broken_count;
            served = served.min(outcome.record.groups.first().map_or(0.0, |g| g.goodput()));
            accused_least = accused_least.min(outcome.load_ratio(accused, failing));
            if seed == 1 {
                lines.push((name.to_owned(), outcome.errors));
            }
        }
        if name == "without" {
            (errors_without, accused_without, served_without) = (errors, accused_least, served);
        }
        let ratio = errors / f64::max(errors_without, 1.0);
        eprintln!(
            "{name}: {errors:.0} errors ({ratio:.3}), {served:.4} of the bids served, nodes detect the fault after {p50:.0} ms (p50), {p99:.0} ms (p99), \
             {bytes:.0} bytes per node and second, the accused got at least {accused_least:.2} of the others' mean"
        );
        targets_met &= served >= served_without - MAX_SERVED_LOSS;
        let wrongly_closed = name == "one in fifty lies" && accused_least < CLOSED_BELOW * accused_without;
        closed += u32::from(wrongly_closed);
        targets_met &= match name {
            "without" => errors_without > 0.0,
            "with" => ratio <= MAX_ERROR_RATIO && p50 <= MAX_DETECTION_MS,
            _ => ratio <= MAX_ERROR_RATIO_DEGRADED && !wrongly_closed,
        };
        by_kind.insert(
            name.into(),
            json!({
                "errors": errors, "trials_ratio": ratio, "known_ms": {"p50": p50, "p99": p99}, "bytes_a_node_s": bytes,
                "served_least": served, "accused_least": accused_least,
            }),
        );
    }
    if let Some(file) = svg {
        let max = lines.iter().flat_map(|(_, l)| l).copied().fold(1.0, f64::max);
        lines.iter_mut().flat_map(|(_, l)| l).for_each(|n| *n /= max);
        let text =
            ["attempts at servers that answer with errors", "as a fraction of the maximum per second"];
        chart::draw(file, text, &lines, FAULT_TIMES_S.1 as usize)?;
    }
    targets_met &= rules_broken == 0;
    Ok(json!({
        "measurement": "gossip", "nodes": world.nodes, "servers": 200, "ill": failing, "worlds": by_kind,
        "good_servers_closed_by_liars": closed, "rules_broken": rules_broken, "kept": targets_met,
    }))
}
