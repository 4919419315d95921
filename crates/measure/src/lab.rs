//! `lab`: how fast worlds are played and in how much memory, whether one seed is one run whatever the threads, how often intervals
//! cover the truth, and how far a small world agrees with real processes that play the same.

mod real;

use applemill_experiments::{Figure, Folder, Interval, LEVEL, Run, Spec, difference, interval, run};
use applemill_lab::{Clients, Draws, Fault, Floor, Lab, What, World};
use applemill_load::{Plan, run_alone};
use applemill_stand_ins::{Work, queued};
use serde_json::{Map, Value, json};
use std::error::Error;
use std::time::{Duration, Instant};

/// The world that both play, and others of its kind at other sizes. Its load rises from half of what the floor can do to a little over
/// all of it.
const SHARED: &str = r#"
question = "Does the laboratory agree with real processes?"
figure = "goodput"
seeds = 10
stop_early = false

[world]
seconds = 15
nodes = 3
network = { delay_ms = 0.05 }

[[world.servers]]
pool = "floor"
count = 6
cores = 2
queue = 16
service = { lognormal = { median_ms = 16, sigma = 0.5 } }

[[world.clients]]
name = "pages"
request = "GET /lots/{key}"
rate = 500
shape = [[0, 0.6], [5, 0.8], [10, 1.6], [15, 1.6]]
keys = 200
retries = 1
backoff_ms = 200

[operator]
listener = [{ address = "LISTEN" }]

[operator.pool.floor]
servers = [{ address = "127.0.0.1:9001" }]

[operator.class.page]
effect = "safe"
patience = "900ms"
retry = "may-have-run"

[[operator.route]]
name = "lot"
class = "page"
pool = "floor"
key = { segment = 2 }

[[variant]]
name = "shared"
"#;

/// How far the two may be apart: parts of all requests, and of the middle latency.
const PARTS: f64 = 0.03;
const MIDDLE: f64 = 0.2;
/// How far the intervals' cover may be off: four deviations of a share of so many samples.
const SAMPLES: u64 = 4_000;
const COVER: f64 = 0.014;
/// How far the load tool may be off a delay that is known.
const LOAD_ERROR: f64 = 0.2;

/// An experiment on the shared world, its listener at an address of its own.
fn shared() -> Result<Spec, Box<dyn Error>> {
    Ok(Spec::parse("the shared world", &SHARED.replace("LISTEN", "127.0.0.1:8080"))?)
}

/// Measures it; `scale` 10 is the full size: an hour of 250 servers and 100 nodes, and ten plays by real processes.
///
/// # Errors
/// Something could not be measured.
pub fn measure(scale: u32) -> Result<Value, Box<dyn Error>> {
    let mut report = Map::new();
    let mut kept = true;
    // The largest last: the most memory that this process has had is then its own.
    let (mut ratios, mut broken, mut rate) = (Map::new(), 0, 0.0);
    for (servers, nodes) in [(10, 4), (100, 40), (250, 100)] {
        let seconds = match (scale, servers) {
            (10.., 250) => 3_600.0,
            _ => 3.0 * f64::from(scale.min(10)),
        };
        let played = large(servers, nodes, seconds)?;
        eprintln!(
            "{servers} servers, {nodes} nodes, {seconds} s of the world in {:.1} s: {:.0} events a second",
            played.took, played.events_per_s
        );
        ratios.insert(servers.to_string(), round(seconds / played.took).into());
        broken += played.broken;
        rate = played.events_per_s;
        kept &= played.whole;
    }
    report.insert("events_per_s".into(), rate.round().into());
    report.insert("virtual_to_real".into(), ratios.into());
    report.insert("memory_mb".into(), memory_mb().unwrap_or_default().round().into());
    let deterministic = deterministic()?;
    let coverage = covered();
    eprintln!("the same by any number of threads: {deterministic}; intervals of 95% cover {coverage:.3}");
    let spec = shared()?;
    let variant = spec.variants.first().ok_or("no variant")?;
    let (mut emulated, mut played) = (Vec::new(), Vec::new());
    for seed in 1..=u64::from(scale.clamp(2, 10)) {
        let here = applemill_experiments::play(variant, seed)?;
        let real = real::play(variant, seed)?;
        let (g, r) = (here.figure(Figure::Goodput), here.figure(Figure::Refused));
        eprintln!(
            "seed {seed}: served {g:.3} here, {:.3} by real processes; refused {r:.3}, {:.3}; p50 {:.1} ms, {:.1} ms",
            real.served,
            real.refused,
            here.figure(Figure::P50Ms),
            real.p50_ms
        );
        kept &= real.taken == real.answered;
        broken += here.broken_count;
        emulated.push(here);
        played.push(real);
    }
    let of = |f: Figure| emulated.iter().map(|r: &Run| r.figure(f)).collect::<Vec<f64>>();
    let by = |f: &dyn Fn(&real::Played) -> f64| played.iter().map(f).collect::<Vec<f64>>();
    let served = difference(&by(&|p| p.served), &of(Figure::Goodput), LEVEL);
    let refused = difference(&by(&|p| p.refused), &of(Figure::Refused), LEVEL);
    let ratio = |f: Figure, real: &[f64]| {
        let ratios: Vec<f64> = of(f).iter().zip(real).map(|(a, b)| a / b.max(1e-9)).collect();
        interval(&ratios, LEVEL)
    };
    let (middle, tail) =
        (ratio(Figure::P50Ms, &by(&|p| p.p50_ms)), ratio(Figure::P99Ms, &by(&|p| p.p99_ms)));
    let attempts = difference(&by(&|p| p.attempts), &of(Figure::Attempts), LEVEL);
    let agrees =
        served.mean.abs() <= PARTS && refused.mean.abs() <= PARTS && (middle.mean - 1.0).abs() <= MIDDLE;
    let told =
        |i: Interval| json!({"mean": round(i.mean), "low": round(i.low), "high": round(i.high), "n": i.n});
    report.insert(
        "agreement".into(),
        json!({
            "served_difference": told(served), "refused_difference": told(refused), "attempts_difference": told(attempts),
            "p50_ratio": told(middle), "p99_ratio": told(tail), "agrees": agrees,
        }),
    );
    let unanswered: u64 = played.iter().map(|p| p.taken - p.answered).sum();
    kept &= agrees && deterministic && broken == 0 && (coverage - LEVEL).abs() < COVER;
    let (load_error, limit) = load_tool()?;
    eprintln!(
        "load tool: off by {load_error:.3} at the 99th percentile; {}",
        limit.as_deref().unwrap_or("never the limit")
    );
    kept &= load_error.abs() <= LOAD_ERROR && limit.is_none();
    report.insert("load_tool_error".into(), round(load_error).into());
    report.insert("deterministic".into(), deterministic.into());
    report.insert("coverage".into(), round(coverage).into());
    report.insert("rules_broken".into(), broken.into());
    report.insert("unanswered_by_real_processes".into(), unanswered.into());
    report.insert("kept".into(), kept.into());
    Ok(report.into())
}

fn round(n: f64) -> f64 {
    (n * 1000.0).round() / 1000.0
}

struct Large {
    took: f64,
    events_per_s: f64,
    broken: u64,
    whole: bool,
}

/// A world of the shared one's kind at another size: 20 requests a second for each server, a lot that closes, a server lost.
fn large(servers: u32, nodes: u32, seconds: f64) -> Result<Large, Box<dyn Error>> {
    let spec = shared()?;
    let variant = spec.variants.first().ok_or("no variant")?;
    let mut world: World = variant.world.clone();
    (world.nodes, world.seconds) = (nodes, seconds);
    for s in &mut world.servers {
        s.count = servers;
    }
    for c in &mut world.clients {
        c.rate = 20.0 * f64::from(servers);
        c.keys = 10 * servers;
        c.zipf = 0.9;
        c.shape = vec![(0.0, 0.8), (seconds * 0.8, 1.0), (seconds * 0.9, 2.0), (seconds, 1.0)];
    }
    let (at, lasts) = (1.0, 1.0);
    world.faults =
        vec![Fault { at, lasts, fault: What::Lost, by: 0.0, pool: None, zone: None, first: Some(1) }];
    let floor = Floor::new(&world, &variant.file)?;
    let begun = Instant::now();
    let record = Lab::new(&world, &floor, 1)?.run();
    let took = begun.elapsed().as_secs_f64().max(1e-6);
    Ok(Large {
        took,
        events_per_s: record.events as f64 / took,
        broken: record.broken_count,
        whole: record.groups.iter().all(|g| g.whole()),
    })
}

/// The same seeds by one thread and by many give the same runs.
fn deterministic() -> Result<bool, Box<dyn Error>> {
    let mut spec = shared()?;
    spec.seeds = 6;
    let mut digests = Vec::new();
    for threads in [1, 4] {
        let folder = std::env::temp_dir().join(format!("applemill-lab-{}-{threads}", std::process::id()));
        let runs = run(&spec, &Folder::new(&folder)?, threads, &|_, _| {});
        let _ = std::fs::remove_dir_all(&folder);
        digests.push(runs?.by_variant.iter().flatten().map(|r| r.digest).collect::<Vec<u64>>());
    }
    Ok(digests.windows(2).all(|w| matches!(w, [a, b] if a == b)))
}

/// How often the interval of a sample of ten has the true mean, of a law that is known.
fn covered() -> f64 {
    let covers = |seed: &u64| {
        let mut draws = Draws::new(*seed, 7);
        let values: Vec<f64> = (0..10).map(|_| 5.0 + draws.normal()).collect();
        let i = interval(&values, LEVEL);
        i.low <= 5.0 && 5.0 <= i.high
    };
    (0..SAMPLES).filter(covers).count() as f64 / SAMPLES as f64
}

/// How far the load tool's 99th percentile is off a delay that is known, as a part of it; and what it says of its own limit.
fn load_tool() -> Result<(f64, Option<String>), Box<dyn Error>> {
    let known = Duration::from_millis(50);
    let to = queued(2_000, 2_000, &Work::default(), move |_| known)?;
    let clients = vec![Clients {
        request: "GET /lots/{key}".into(),
        rate: 400.0,
        keys: 100,
        ..Clients::named("lots")
    }];
    let (seconds, seed, patience) = (4.0, 1, Duration::from_secs(5));
    let plan = Plan { to, host: "a.lv".into(), clients, seconds, seed, patience, open: 2_000, body: 0 };
    let seen = run_alone(plan, &mut |_| {})?;
    let all = seen.latency().filter(|l| !l.is_empty()).ok_or("the load tool served nothing")?;
    let error = all.value_at_quantile(0.99) as f64 / 1e6 / known.as_secs_f64() - 1.0;
    Ok((error, seen.limit_text()))
}

/// The most memory that this process has had, in megabytes.
fn memory_mb() -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|l| l.starts_with("VmHWM"))?;
    Some(line.split_whitespace().nth(1)?.parse::<f64>().ok()? / 1024.0)
}
