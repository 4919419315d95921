//! `gossip`: servers that answer with errors before a large fleet, in virtual time round the real decisions: how many
//! attempts end there in an error and how soon each node knows, with messages and without, with some lost and some nodes lying.

use crate::blame::chart;
use applemill_experiments::Spec;
use applemill_lab::{Fault, Floor, Lab, Messages, Record, What, World};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;

/// The fault begins and ends at these seconds; the world goes on until the last.
const TROUBLE: (f64, f64, f64) = (4.0, 14.0, 18.0);
/// What is promised: attempts that end in an error, to those without messages; how soon half of the nodes know; and how much
/// less of the bids may be served than without messages.
const LOST: f64 = 0.35;
const LOST_OF_LOSSY: f64 = 0.45;
const KNOWN_MS: f64 = 4_000.0;
const SERVED: f64 = 0.001;
/// A server is closed that gets less than this part of what it gets without messages.
const CLOSED: f64 = 0.5;
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

/// What came of a world.
struct Played {
    record: Record,
    /// By node, until its last attempt there, in milliseconds from the begin of the trouble.
    known_ms: Vec<f64>,
    /// By second, attempts that ended in an error.
    lost: Vec<f64>,
}

fn play(world: &World, floor: &Floor, seed: u64) -> Result<Played, Box<dyn Error>> {
    let record = Lab::new(world, floor, seed)?.run();
    let mut last = BTreeMap::new();
    let mut lost = vec![0.0; world.seconds as usize];
    for (at, node) in &record.errors {
        last.insert(*node, (at - TROUBLE.0) * 1000.0);
        if let Some(n) = lost.get_mut(*at as usize) {
            *n += 1.0;
        }
    }
    let mut known_ms: Vec<f64> = last.into_values().collect();
    known_ms.sort_by(f64::total_cmp);
    Ok(Played { record, known_ms, lost })
}

impl Played {
    fn quantile(&self, q: f64) -> f64 {
        let at = (self.known_ms.len() as f64 * q) as usize;
        self.known_ms.get(at.min(self.known_ms.len().saturating_sub(1))).copied().unwrap_or(0.0)
    }

    /// What a server got during the trouble, to the mean of those that are well. A second of it is a dozen requests, which
    /// chance alone takes to a sixth of the mean.
    fn part(&self, server: usize, ill: usize) -> f64 {
        let seconds = self.record.servers.iter().take(TROUBLE.1 as usize).skip(TROUBLE.0 as usize + 1);
        let (mut its, mut all, mut well) = (0.0, 0.0, 0_usize);
        for counts in seconds {
            its += counts.get(server).map_or(0.0, |n| f64::from(*n));
            all += counts.iter().skip(ill).map(|n| f64::from(*n)).sum::<f64>();
            well = counts.len().saturating_sub(ill);
        }
        its / (all / well.max(1) as f64).max(1e-9)
    }
}

/// Measures it; `scale` 10 is the full size: 300 nodes and 200 servers by five seeds, 10 of them failing.
///
/// # Errors
/// The worlds cannot be played.
pub fn measure(scale: u32, svg: Option<&Path>) -> Result<Value, Box<dyn Error>> {
    let spec = Spec::parse("gossip", WORLD)?;
    let variant = spec.variants.first().ok_or("no variant")?;
    let mut world = variant.world.clone();
    let floor = &Floor::new(&world, &variant.file)?;
    let ill = if scale >= 10 { 10 } else { 1 };
    world.faults.push(Fault {
        at: TROUBLE.0,
        lasts: TROUBLE.1 - TROUBLE.0,
        fault: What::Errors,
        by: 1.0,
        pool: None,
        zone: None,
        first: Some(ill as u32),
    });
    // The accused is well, and one node in fifty lies.
    let accused = ill + 1;
    let liars = Messages { liars: world.nodes / 50, accused: accused as u32, ..Messages::default() };
    let kinds = [
        ("without", None),
        ("with", Some(Messages::default())),
        ("a third lost", Some(Messages { lost: 0.3, ..Messages::default() })),
        ("one in fifty lies", Some(liars)),
    ];
    let (mut lines, mut by_kind) = (Vec::new(), serde_json::Map::new());
    let (mut kept, mut rules, mut closed, mut without, mut alone) = (true, 0, 0, 0.0, 0.0);
    let mut usual = 0.0;
    for (name, messages) in kinds {
        world.messages = messages;
        let mut lost = 0.0;
        let (mut p50, mut p99, mut bytes, mut served, mut least) =
            (0.0_f64, 0.0_f64, 0.0, 1.0_f64, f64::INFINITY);
        let seeds = u64::from(scale.div_ceil(2).min(5));
        for seed in 1..=seeds {
            let played = play(&world, floor, seed)?;
            lost += played.lost.iter().sum::<f64>();
            (p50, p99) = (p50.max(played.quantile(0.5)), p99.max(played.quantile(0.99)));
            bytes +=
                played.record.told_bytes as f64 / f64::from(world.nodes) / world.seconds / seeds as f64;
            rules += played.record.broken_count;
            served = served.min(played.record.groups.first().map_or(0.0, |g| g.goodput()));
            least = least.min(played.part(accused, ill));
            if seed == 1 {
                lines.push((name.to_owned(), played.lost));
            }
        }
        if name == "without" {
            (without, alone, usual) = (lost, least, served);
        }
        let ratio = lost / f64::max(without, 1.0);
        eprintln!(
            "{name}: {lost:.0} errors ({ratio:.3}), {served:.4} of the bids served, nodes know after {p50:.0} ms (p50), {p99:.0} ms (p99), {bytes:.0} \
             bytes a node and second, the accused got {least:.2} of the others' mean at least"
        );
        kept &= served >= usual - SERVED;
        let shut = name == "one in fifty lies" && least < CLOSED * alone;
        closed += u32::from(shut);
        kept &= match name {
            "without" => without > 0.0,
            "with" => ratio <= LOST && p50 <= KNOWN_MS,
            _ => ratio <= LOST_OF_LOSSY && !shut,
        };
        by_kind.insert(
            name.into(),
            json!({
                "errors": lost, "trials_ratio": ratio, "known_ms": {"p50": p50, "p99": p99}, "bytes_a_node_s": bytes,
                "served_least": served, "accused_least": least,
            }),
        );
    }
    if let Some(file) = svg {
        let most = lines.iter().flat_map(|(_, l)| l).copied().fold(1.0, f64::max);
        lines.iter_mut().flat_map(|(_, l)| l).for_each(|n| *n /= most);
        let text = ["attempts at servers that answer with errors", "part of the most in a second"];
        chart::draw(file, text, &lines, TROUBLE.1 as usize)?;
    }
    kept &= rules == 0;
    Ok(json!({
        "measurement": "gossip", "nodes": world.nodes, "servers": 200, "ill": ill, "worlds": by_kind,
        "good_servers_closed_by_liars": closed, "rules_broken": rules, "kept": kept,
    }))
}
