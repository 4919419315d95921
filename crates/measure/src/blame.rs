//! `blame`: bids beside work that its servers fail at, by kind of failure and by its part of all that is asked: how many
//! bids are served, after how many failures the culprit is named, how long bids take to be well again, and what trials cost.

mod black;
pub mod chart;
mod worlds;

use crate::request::{self, CLIENTS, KEYS};
use crate::{median, start};
use applemill_blame::{AttemptResult, Blame, BlameConfig, RequestTraits};
use applemill_stand_ins::{AILS, Ailing, Asked, Node, Quick, ask_at_pace};
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use serde_json::{Map, Value, json};
use std::error::Error;
use std::hint::black_box;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 4;
/// Bids a second.
const BIDS: f64 = 400.0;
/// Parts of all that is asked, in hundredths.
const PARTS: [u32; 4] = [5, 25, 50, 90];
/// Trouble lasts so long, and is watched for so long after its end, in seconds.
const TROUBLE: usize = 8;
const AFTER: usize = 4;
/// From this second on bids must be served as if there were none.
const SETTLED: usize = 5;
/// The promises.
const LEAST_SERVED: f64 = 0.99;
const MOST_RECOVERED_S: usize = 2;
const MOST_LEFT: f64 = 1.2;
const MOST_FAILURES: u64 = 60;
const LEAST_BLACK: f64 = 0.6;
const MOST_FIRST_S: f64 = 1.0;
const MOST_NS: f64 = 2_000.0;
const MOST_CPU: f64 = 1.03;

fn file(servers: &[SocketAddr], blame: bool) -> String {
    let servers: Vec<String> = servers.iter().map(|a| format!("{{ address = \"{a}\" }}")).collect();
    format!(
        "[[listener]]\naddress = \"LISTEN\"\n[node]\nmemory = \"128MiB\"\nsockets = 4096\n[blame]\non = {blame}\n\
         [pool.floor]\nservers = [{}]\n\
         [class.bid]\neffect = \"unsafe\"\npatience = \"1s\"\naim = \"500ms\"\n\
         [class.page]\neffect = \"safe\"\npatience = \"1s\"\naim = \"500ms\"\nretry = \"may-have-run\"\nattempts = 2\n\
         [[route]]\nname = \"bid\"\npath = \"/bid\"\nmethod = \"POST\"\nclass = \"bid\"\npool = \"floor\"\n\
         [[route]]\nname = \"export\"\nclass = \"page\"\npool = \"floor\"\nanswer = \"stream\"\nanswer_limit = \"1MiB\"\n",
        servers.join(", ")
    )
}

fn bid(_: u64) -> Vec<u8> {
    b"POST /bid HTTP/1.1\r\nHost: a.lv\r\nContent-Length: 3\r\n\r\n100".to_vec()
}

/// Bids beside trouble; none of it where `part` is 0. Returns the bids and the requests that servers failed at.
fn play(floor: &Ailing, node: &Node, ail: &str, part: u32) -> Result<(Asked, u64), Box<dyn Error>> {
    floor.be_well(false);
    let begun = Instant::now();
    let (calm, all) = (begun + seconds(TROUBLE), begun + seconds(TROUBLE + AFTER));
    let failed = floor.counts().1;
    let bids = thread::scope(|scope| {
        let bids = scope.spawn(|| ask_at_pace(node.address, BIDS, 40, all, bid));
        if part > 0 {
            let rate = BIDS * f64::from(part) / f64::from(100 - part);
            let path = format!("GET /{ail} HTTP/1.1\r\nHost: a.lv\r\n\r\n").into_bytes();
            scope.spawn(move || ask_at_pace(node.address, rate, 200, calm, |_| path.clone()));
            thread::sleep(calm.saturating_duration_since(Instant::now()));
            floor.be_well(true);
        }
        bids.join().map_err(|_| "bidders panicked")
    })?;
    Ok((bids, floor.counts().1 - failed))
}

fn seconds(n: usize) -> Duration {
    Duration::from_secs(n as u64)
}

/// When, after the end of trouble, all bids are served again, in whole seconds.
fn recovered(bids: &Asked) -> usize {
    let bad = |s: &usize| bids.share(*s, *s + 1) < LEAST_SERVED;
    (TROUBLE..TROUBLE + AFTER).rev().find(bad).map_or(0, |s| s + 1 - TROUBLE)
}

/// What one end costs, in nanoseconds, where so many keys are asked for and one in twenty fails.
fn cost(keys: u64, rounds: u64) -> f64 {
    let mut blame = Blame::new(BlameConfig::default(), 1);
    let mut rng = fastrand::Rng::with_seed(1);
    let name = |n: u64| (n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let work: Vec<(RequestTraits, u64, AttemptResult)> = (0..65_536)
        .map(|_| {
            let work = RequestTraits {
                route: Some(name(rng.u64(..10))),
                class: rng.u64(..4),
                tenant: Some(name(rng.u64(..50))),
                key: Some(name(rng.u64(..keys))),
                ..RequestTraits::default()
            };
            let end = if rng.u8(..20) == 0 { AttemptResult::Disconnected } else { AttemptResult::Success };
            (work, name(rng.u64(..20)), end)
        })
        .collect();
    let begun = Instant::now();
    for n in 0..rounds {
        let Some((work, server, end)) = work.get((n % 65_536) as usize) else { break };
        let now = n as f64 / 2.0;
        black_box(blame.admit(now, work));
        black_box(blame.ended(now, work, *server, *end));
        if n % 1_024 == 0 {
            black_box(blame.changes());
        }
    }
    begun.elapsed().as_nanos() as f64 / rounds as f64
}

/// Requests that a broken server failed at in two seconds.
fn until_left(ail: &'static str, on: bool) -> Result<u64, Box<dyn Error>> {
    let floor = Ailing::start(SERVERS)?;
    let node = start(&file(&floor.addresses, on))?;
    ask_at_pace(node.address, BIDS, 40, Instant::now() + seconds(1), bid);
    floor.break_down(1, ail);
    ask_at_pace(node.address, BIDS, 40, Instant::now() + seconds(2), bid);
    Ok(floor.counts_of(1).1)
}

/// What a small request costs with the blame, in ratio to without, and the memory it takes, in megabytes.
fn cpu_ratio(rounds: usize) -> Result<(Option<f64>, f64), Box<dyn Error>> {
    let servers = Quick::start(SERVERS)?;
    let text = request::file(&servers.addresses);
    // On one core, the same for both: which one a process gets is worth more than what is looked for.
    let all = sched_getaffinity(None)?;
    let last = (0..CpuSet::MAX_CPU).rev().find(|n| all.is_set(*n)).ok_or("no core")?;
    let (mut one, mut others) = (CpuSet::new(), all);
    one.set(last);
    others.unset(last);
    sched_setaffinity(None, &one)?;
    let started = (start(&text), start(&format!("{text}[blame]\non = false\n")));
    sched_setaffinity(None, if others.count() > 0 { &others } else { &all })?;
    let (with, without) = (started.0?, started.1?);
    let of = |node: &Node| request::cost(node.id(), node.address, (CLIENTS, 100, KEYS)).map(|c| c.0);
    let mut ratios = Vec::new();
    for round in 0..=rounds {
        let (a, b) = if round % 2 == 0 {
            (of(&with)?, of(&without)?)
        } else {
            let b = of(&without)?;
            (of(&with)?, b)
        };
        eprintln!("round {round} of {rounds}: {a:.1} us a request with, {b:.1} without");
        // The first round warms both up.
        if round > 0 {
            ratios.push(a / b);
        }
    }
    sched_setaffinity(None, &all)?;
    let mb = |node: &Node| node.memory_kb() as f64 / 1024.0;
    Ok((median(&ratios), mb(&with) - mb(&without)))
}

/// Measures it all; `scale` 10 is the full size. Bids served over time go into `svg` as a chart.
///
/// # Errors
/// Something could not be measured.
pub fn measure(scale: u32, svg: Option<&Path>) -> Result<Value, Box<dyn Error>> {
    let scale = scale.min(10);
    let parts: &[u32] = if scale >= 10 { &PARTS } else { &PARTS[2..3] };
    let (mut served, mut kept, mut recovered_s, mut trials) = (Map::new(), true, 0, 0.0_f64);
    let fresh = |on: bool| -> Result<(Ailing, Node), Box<dyn Error>> {
        let floor = Ailing::start(SERVERS)?;
        let node = start(&file(&floor.addresses, on))?;
        Ok((floor, node))
    };
    let (floor, node) = fresh(true)?;
    let (calm, _) = play(&floor, &node, "", 0)?;
    let usual = calm.share(SETTLED, TROUBLE);
    eprintln!("no trouble: {usual:.4} of bids served");
    let mut lines = Vec::new();
    for ail in AILS {
        for part in parts {
            let (floor, node) = fresh(true)?;
            let (bids, failed) = play(&floor, &node, ail, *part)?;
            let share = bids.share(SETTLED, TROUBLE) / usual.max(0.01);
            let over_time: Vec<f64> = (0..TROUBLE + AFTER).map(|s| bids.share(s, s + 1)).collect();
            let again = recovered(&bids);
            let trial_load = failed as f64 / (BIDS * TROUBLE as f64);
            let shown: Vec<String> = over_time.iter().map(|s| format!("{s:.2}")).collect();
            eprintln!(
                "{ail} at {part}%: {share:.4} of bids from second {SETTLED} on, well {again} s after; servers failed {failed} times; by second {}",
                shown.join(" ")
            );
            kept &= share >= LEAST_SERVED && again <= MOST_RECOVERED_S;
            recovered_s = recovered_s.max(again);
            trials = trials.max(trial_load);
            served.insert(format!("{ail}_{part}"), json!(share));
            lines.push((format!("{ail} {part}%"), over_time));
        }
    }
    // The same without the blame, to show that the check sees the loss.
    let (floor, node) = fresh(false)?;
    let (bids, _) = play(&floor, &node, "cut", 50)?;
    let without = bids.share(SETTLED, TROUBLE) / usual.max(0.01);
    eprintln!("cut at 50% without the blame: {without:.4} of bids from second {SETTLED} on");
    if let Some(file) = svg {
        let over_time = (0..TROUBLE + AFTER).map(|s| bids.share(s, s + 1)).collect();
        lines.push(("cut 50%, off".to_owned(), over_time));
        chart::draw(file, ["bids served, by second", "part of those due"], &lines, TROUBLE)?;
    }

    let mut left = [0, 0];
    for round in 0..=u64::from(scale / 5) {
        for ail in AILS {
            let (with, without) = (until_left(ail, true)?, until_left(ail, false)?);
            eprintln!(
                "a server broken by {ail}, round {round}: failed {with} times with the blame, {without} without"
            );
            left = [left[0] + with, left[1] + without];
        }
    }
    let left_ratio = left[0] as f64 / left[1].max(1) as f64;

    let found = worlds::play(if scale >= 10 { 3_000 } else { 300 });
    let (p50, p99) = (found.at(0.5), found.at(0.99));
    eprintln!(
        "worlds: named after {p50:?} failures (p50), {p99:?} (p99), {} of {} not; somebody innocent in {}",
        found.missed,
        found.missed + found.after.len(),
        found.innocent
    );

    let nodes: &[usize] = if scale >= 10 { &[1, 4, 20] } else { &[1] };
    let (mut black_served, mut black_first, mut black_most) = (f64::INFINITY, 0.0_f64, 0.0_f64);
    for count in nodes {
        let black = black::play(*count)?;
        eprintln!(
            "black start, {count} nodes: {:.2} of what the ramps allow, the first after {:.2} s, at most {:.2} of what makes a server fall",
            black.served, black.first_s, black.max_ratio
        );
        black_served = black_served.min(black.served);
        black_first = black_first.max(black.first_s);
        black_most = black_most.max(black.max_ratio);
    }

    let rounds = 200_000 * u64::from(scale);
    let (few, many) = (cost(10, rounds), cost(1_000_000, rounds));
    eprintln!("an end costs {few:.0} ns with 10 keys, {many:.0} with a million");
    let (cpu, memory) = cpu_ratio(4 + 2 * scale as usize)?;
    kept &= few.max(many) < MOST_NS
        && usual >= LEAST_SERVED
        && without < LEAST_SERVED
        && left_ratio <= MOST_LEFT
        && p99.is_some_and(|n| n <= MOST_FAILURES)
        && found.innocent * 100 <= if scale >= 10 { 3_000 } else { 300 }
        && black_served >= LEAST_BLACK
        && black_first < MOST_FIRST_S
        && black_most <= 1.0
        && cpu.is_some_and(|r| r < MOST_CPU);
    Ok(json!({
        "measurement": "blame", "bids_served_undisturbed": usual, "bids_served": served, "bids_served_cut_50_off": without,
        "recovered_s": recovered_s, "trial_load": trials, "left_broken_server_ratio": left_ratio,
        "named_after_failures_p50": p50, "named_after_failures_p99": p99, "not_named": found.missed,
        "innocent_named": found.innocent, "black_start_served": black_served, "black_start_first_s": black_first,
        "black_start_max_ratio": black_most, "ns_per_end_10_keys": few, "ns_per_end_1000000_keys": many,
        "memory_mb": memory, "cpu_ratio": cpu, "kept": kept,
    }))
}
