//! `routes`: the time of a lookup, the cost of a request with many routes, and the guarantees for bids while
//! servers fail.

use crate::{median, start};
use applemill_routes::{Found, Header, RouteQuery, Rules, load};
use applemill_stand_ins::{Auction, Bids, Client, Faults, Node, play_bids};
use serde_json::{Value, json};
use std::error::Error;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Lookups in one timed run.
const LOOKUPS: usize = 20_000;
/// Numbers of routes.
const SIZES: [usize; 4] = [10, 100, 1_000, 10_000];
/// Target for the time of a lookup in 10,000 routes, as a ratio to that in 10.
const MAX_LOOKUP_GROWTH: f64 = 4.0;
/// Target for the bids served, as a ratio to those at which the floor does not fail.
const MIN_SERVED_RATIO: f64 = 0.9;
/// Target for the CPU of a request with 1,000 routes, as a ratio to that with one.
const MAX_CPU_RATIO: f64 = 1.03;
const BIDS_AT_FULL_SIZE: usize = 10_000;
const PATIENCE: Duration = Duration::from_millis(300);

/// Configurations for bids: lines of the defaults, the class and the route. The check accepts each resulting
/// file.
const SAMPLE: [(&str, &str, &str); 5] = [
    ("", "", ""),
    ("attempts = 4\n", "attempt_timeout = \"70ms\"\n", ""),
    ("", "retry = \"none\"\n", "deadline = \"200ms\"\n"),
    // The defaults suit pages; the class overrides them.
    (
        "second_copy_after = \"20ms\"\nretry = \"may-have-run\"\n",
        "second_copy_after = \"off\"\nretry = \"never-ran\"\n",
        "",
    ),
    ("attempts = 1\n", "", "attempts = 3\nattempt_timeout = \"90ms\"\n"),
];

/// An operator's file with `routes` routes and a configuration for bids. The last route matches every path.
fn file(
    servers: &[SocketAddr],
    routes: usize,
    (defaults, class, route_lines): (&str, &str, &str),
) -> String {
    let servers: Vec<String> = servers.iter().map(|a| format!("{{ address = \"{a}\" }}")).collect();
    let mut text = format!(
        "[[listener]]\naddress = \"LISTEN\"\n[pool.floor]\nservers = [{}]\n[defaults]\n{defaults}[class.page]\n\
         effect = \"safe\"\npatience = \"4s\"\nretry = \"may-have-run\"\n[class.bid]\neffect = \"unsafe\"\n\
         patience = \"{}ms\"\n{class}",
        servers.join(", "),
        PATIENCE.as_millis()
    );
    let mut route = |name: String, matching: String, class: &str| {
        text.push_str(&format!(
            "[[route]]\nname = \"{name}\"\n{matching}class = \"{class}\"\npool = \"floor\"\n"
        ));
    };
    for n in 1..routes {
        let matching = match n % 5 {
            0 => format!("host = \"h{n}.auction.lv\"\npath = \"/lots/{n}\"\n"),
            1 => format!("host = \"*.d{n}.lv\"\nprefix = \"/lots\"\n"),
            2 => format!("path = \"/api/v1/houses/{n}/lots\"\nmethod = \"GET\"\n"),
            3 => format!("prefix = \"/api/v1/houses/{n}\"\nheader = {{ X-Desk = \"{n}\" }}\n"),
            _ => format!("prefix = \"/static/{n}\"\n"),
        };
        route(format!("r{n}"), matching, "page");
    }
    route("bid".into(), format!("path = \"/bid\"\nmethod = \"POST\"\n{route_lines}"), "bid");
    route("rest".into(), "method = \"GET\"\n".into(), "page");
    text
}

/// Distinct requests that are looked up in turn: too many for all to stay in the first-level cache.
const REQUESTS: usize = 5_000;

/// Nanoseconds for a lookup over requests of all kinds, the minimum of several runs; none if a lookup finds
/// the wrong route.
fn lookup_ns(rules: &Rules, routes: usize, runs: usize) -> Option<f64> {
    let requests: Vec<(Option<String>, String, String)> = (0..REQUESTS)
        .map(|i| {
            let n = 1 + (i * 7919) % (routes - 1);
            match n % 5 {
                0 => (Some(format!("h{n}.auction.lv")), format!("/lots/{n}"), String::new()),
                1 => (Some(format!("x.d{n}.lv")), "/lots/7".into(), String::new()),
                2 => (Some("a.lv".into()), format!("/api/v1/houses/{n}/lots"), String::new()),
                3 => (Some("a.lv".into()), format!("/api/v1/houses/{n}/x"), n.to_string()),
                _ => (None, format!("/static/{n}/a/b.css"), String::new()),
            }
        })
        .collect();
    let mut best = f64::INFINITY;
    for _ in 0..runs {
        let started = Instant::now();
        for (host, path, desk) in requests.iter().cycle().take(LOOKUPS) {
            let header = |name: &str| {
                if name == "x-desk" && !desk.is_empty() { Header::Once(desk) } else { Header::Absent }
            };
            let query = RouteQuery { host: host.as_deref(), path, method: "GET", header: &header };
            let Found::Route(route) = black_box(rules.find(black_box(&query))) else { return None };
            // The last two routes match what no other route does.
            if route >= routes - 1 {
                return None;
            }
        }
        best = best.min(started.elapsed().as_secs_f64() * 1e9 / LOOKUPS as f64);
    }
    Some(best)
}

/// CPU time of the node for each of `count` requests sent one after another on one connection, in
/// microseconds.
fn cpu_of_requests(node: &Node, path: &str, count: usize) -> Result<f64, Box<dyn Error>> {
    let text = format!("GET {path} HTTP/1.1\r\nHost: a.lv\r\n\r\n");
    let mut client = Client::try_connect(node.address).ok_or("no connection")?;
    let before = node.cpu()?;
    for _ in 0..count {
        client.send(text.as_bytes());
        if client.answer().map_or(0, |m| m.status()) != 200 {
            return Err("a request was not served".into());
        }
    }
    Ok((node.cpu()? - before).as_secs_f64() * 1e6 / count as f64)
}

/// Sends bids while the floor fails in all ways, with each configuration of the sample; the floor counts the
/// executions.
fn bids(count: usize) -> Result<Bids, Box<dyn Error>> {
    let mut all = Bids::default();
    for (n, values) in SAMPLE.into_iter().enumerate() {
        let floor = Auction::start(4, 11, Duration::from_millis(1), Faults::MANY)?;
        let node = start(&file(&floor.addresses, 100, values))?;
        let bids = play_bids(node.address, &floor, count / SAMPLE.len(), PATIENCE);
        eprintln!("bids: {} with configuration {} of {}", bids.played, n + 1, SAMPLE.len());
        all = all.and(bids);
    }
    Ok(all)
}

/// Runs the measurement; `scale` 10 is the full size.
///
/// # Errors
/// A process cannot be started or observed, a generated file is invalid, or a request is not served.
pub fn measure(scale: u32) -> Result<Value, Box<dyn Error>> {
    let unused_server = ["127.0.0.1:9000".parse()?];
    let mut ns = serde_json::Map::new();
    let mut by_size = Vec::new();
    for routes in SIZES {
        let text = file(&unused_server, routes, SAMPLE[0]).replace("LISTEN", "127.0.0.1:8080");
        let (report, rules) = load(&text, None);
        let rules = rules.ok_or_else(|| report.text("generated"))?;
        let lookup_time_ns =
            lookup_ns(&rules, routes, 5 * scale.min(10) as usize).ok_or("a lookup found another route")?;
        eprintln!("lookup in {routes} routes: {lookup_time_ns:.0} ns");
        ns.insert(routes.to_string(), json!(lookup_time_ns));
        by_size.push(lookup_time_ns);
    }
    let growth = by_size.last().zip(by_size.first()).map_or(f64::NAN, |(most, least)| most / least);

    let floor = Auction::start(2, 1, Duration::ZERO, Faults::default())?;
    let (plain, routed) =
        (start(&file(&floor.addresses, 1, SAMPLE[0]))?, start(&file(&floor.addresses, 1000, SAMPLE[0]))?);
    let (rounds, requests) = (9 + scale.min(10) as usize * 4, 500 * scale.min(10) as usize);
    let mut ratios = Vec::new();
    let (mut without, mut with) = (Vec::new(), Vec::new());
    for round in 0..rounds {
        // The order alternates, so that other load on the machine affects both. The first round is a warm-up.
        let (a, b) = if round % 2 == 0 {
            let a = cpu_of_requests(&plain, "/api/v1/houses/502/lots", requests)?;
            (a, cpu_of_requests(&routed, "/api/v1/houses/502/lots", requests)?)
        } else {
            let b = cpu_of_requests(&routed, "/api/v1/houses/502/lots", requests)?;
            (cpu_of_requests(&plain, "/api/v1/houses/502/lots", requests)?, b)
        };
        if round > 0 {
            ratios.push(b / a);
            without.push(a);
            with.push(b);
        }
        let memory = (plain.memory_kb(), routed.memory_kb());
        eprintln!(
            "cpu of a request, round {}: {a:.1} us without, {b:.1} us with 1,000 routes; memory {} and {} KB",
            round + 1,
            memory.0,
            memory.1
        );
    }
    let (ratio, memory) = (median(&ratios).unwrap_or(f64::NAN), (plain.memory_kb(), routed.memory_kb()));
    drop((plain, routed));

    let bids = bids(BIDS_AT_FULL_SIZE * scale.min(10) as usize / 10)?;
    let served = bids.served as f64 / bids.played.max(1) as f64 / Faults::MANY.well();
    let targets_met = growth < MAX_LOOKUP_GROWTH
        && ratio < MAX_CPU_RATIO
        && (bids.executed_twice, bids.answers_late, bids.unanswered, bids.refused_and_executed)
            == (0, 0, 0, 0)
        && served >= MIN_SERVED_RATIO;
    Ok(json!({
        "ns_per_lookup": ns, "lookup_growth": growth,
        "cpu_ratio_with_routes": ratio, "cpu_us_without": median(&without), "cpu_us_with": median(&with),
        "memory_kb_without": memory.0, "memory_kb_with": memory.1,
        "bids": bids.played, "bids_served_ratio": served, "bids_executed_twice": bids.executed_twice, "answers_late": bids.answers_late,
        "bids_unanswered": bids.unanswered, "bids_refused_and_executed": bids.refused_and_executed, "bids_served_and_not": bids.served_and_not, "kept": targets_met,
    }))
}
