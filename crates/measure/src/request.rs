//! `request`: the cost of a request compared with a minimal relay, and its growth with idle connections and
//! open requests.

use crate::{Relay, median, start};
use applemill_stand_ins::{Client, HELD, Node, PATIENCE, Quick, cpu_of};
use serde_json::{Value, json};
use std::error::Error;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Concurrent clients.
pub const CLIENTS: usize = 32;
/// Distinct keys that they request.
pub const KEYS: usize = 5_000;
/// Servers in the comparison with the relay, which uses only one of them.
const SERVERS: usize = 4;
/// Servers for [`MANY`] held requests, which makes a hundred for each.
const HOLDING_SERVERS: usize = 10;
/// Held requests are increased in steps, because the number of open requests that a node allows at a backend
/// grows with the answers it has given: the first step, and the factor of each further one.
const FIRST_HELD: usize = 60;
const HELD_GROWTH: f64 = 1.15;
/// Held requests or idle connections in the baseline and in the loaded node.
const FEW: usize = 10;
const MANY: usize = 1_000;
/// Targets for the cost of a request with many idle connections or open requests, as a ratio to the cost with
/// few.
const MAX_RATIO_WITH_IDLE: f64 = 1.1;
const MAX_RATIO_WITH_OPEN: f64 = 1.2;
/// Target for the CPU of a request as a ratio to the relay's. This is the first target; the next is 1.2.
const MAX_RATIO_TO_RELAY: f64 = 1.5;

/// An operator's file with these servers.
pub fn file(servers: &[SocketAddr]) -> String {
    let servers: Vec<String> = servers.iter().map(|a| format!("{{ address = \"{a}\" }}")).collect();
    format!(
        "[[listener]]\naddress = \"LISTEN\"\n[node]\nsockets = 8192\nopen_requests = 4096\nmemory = \"192MiB\"\n\
         idle_timeout = \"5m\"\n[pool.floor]\nservers = [{}]\n[class.page]\neffect = \"safe\"\npatience = \"2m\"\n\
         attempts = 1\n[[route]]\nname = \"all\"\nmethod = \"GET\"\nclass = \"page\"\npool = \"floor\"\n\
         key = {{ header = \"X-Object\" }}\n",
        servers.join(", ")
    )
}

/// A request whose key is its target, so that equal targets go to the same server.
fn request_bytes(target: &str) -> Vec<u8> {
    format!("GET {target} HTTP/1.1\r\nHost: a.lv\r\nX-Object: {target}\r\n\r\n").into_bytes()
}

/// Sends `each` requests from each of `clients` concurrent clients, for `keys` keys in turn. Returns the
/// waits in microseconds, ascending.
fn load(address: SocketAddr, clients: usize, each: usize, keys: usize) -> Result<Vec<f64>, Box<dyn Error>> {
    let client_threads: Vec<_> = (0..clients)
        .map(|_| {
            thread::spawn(move || {
                let mut client = Client::try_connect(address)?;
                let _ = client.stream.set_nodelay(true);
                let mut waits = Vec::with_capacity(each);
                for n in 0..each {
                    let bytes = request_bytes(&format!("/api/lot/{}", n % keys));
                    let started = Instant::now();
                    client.send(&bytes);
                    client.answer().filter(|m| m.status() == 200)?;
                    waits.push(started.elapsed().as_secs_f64() * 1e6);
                }
                Some(waits)
            })
        })
        .collect();
    let mut waits = Vec::new();
    for client in client_threads {
        waits.extend(client.join().ok().flatten().ok_or("a request was not served")?);
    }
    waits.sort_by(f64::total_cmp);
    Ok(waits)
}

/// CPU time of a process for each request, and the 99th percentile of the waits, both in microseconds.
pub fn cost(
    pid: u32,
    address: SocketAddr,
    (clients, each, keys): (usize, usize, usize),
) -> Result<(f64, f64), Box<dyn Error>> {
    let before = cpu_of(pid)?;
    let waits = load(address, clients, each, keys)?;
    let cpu = (cpu_of(pid)? - before).as_secs_f64() * 1e6 / waits.len() as f64;
    Ok((cpu, waits.get(waits.len() * 99 / 100).copied().unwrap_or(f64::NAN)))
}

/// Sends `count` requests that the servers hold, each from a new client, and waits until they hold `total`.
fn hold(node: &Node, servers: &Quick, count: usize, total: usize) -> Result<Vec<Client>, Box<dyn Error>> {
    let mut clients = Vec::new();
    for n in 0..count {
        let mut client = Client::try_connect(node.address).ok_or("no connection")?;
        client.send(&request_bytes(&format!("{HELD}/{n}")));
        clients.push(client);
    }
    if servers.holds(total, PATIENCE) {
        Ok(clients)
    } else {
        Err(format!("the servers do not hold {total} requests").into())
    }
}

/// Releases held requests and waits for their answers.
fn release(clients: Vec<Client>, servers: &Quick) -> Result<(), Box<dyn Error>> {
    servers.release();
    for mut client in clients {
        client.answer().filter(|m| m.status() == 200).ok_or("a held request was not served")?;
    }
    // The node reuses idle connections only after a moment of quiet.
    thread::sleep(Duration::from_millis(50));
    Ok(())
}

/// Makes a node open [`MANY`] connections to the servers, which then stay idle.
fn open_many(node: &Node, servers: &Quick) -> Result<(), Box<dyn Error>> {
    let mut count = FIRST_HELD;
    while count < MANY {
        release(hold(node, servers, count, count)?, servers)?;
        count = (count as f64 * HELD_GROWTH) as usize;
    }
    release(hold(node, servers, MANY, MANY)?, servers)
}

/// Ratio of the cost of a request at `many` to that at `few`: the median of the rounds, which alternate the
/// order.
fn growth(what: &str, few: &Node, many: &Node, rounds: usize, each: usize) -> Result<f64, Box<dyn Error>> {
    let mut ratios = Vec::new();
    for round in 0..rounds {
        let cost_at = |node: &Node| cost(node.id(), node.address, (1, each, 1));
        let (a, b) = if round % 2 == 0 {
            let a = cost_at(few)?.0;
            (a, cost_at(many)?.0)
        } else {
            let b = cost_at(many)?.0;
            (cost_at(few)?.0, b)
        };
        eprintln!("{what}, round {} of {rounds}: {a:.1} us with {FEW}, {b:.1} us with {MANY}", round + 1);
        // The first round is a warm-up.
        if round > 0 {
            ratios.push(b / a);
        }
    }
    Ok(median(&ratios).unwrap_or(f64::NAN))
}

/// System calls for each request, counted by strace; none if strace is missing or not permitted.
fn syscalls(node: &Node, each: usize) -> Result<Option<f64>, Box<dyn Error>> {
    let file = std::env::temp_dir().join(format!("applemill-strace-{}.txt", std::process::id()));
    let mut command = Command::new("strace");
    command.args(["-c", "-f", "-p", &node.id().to_string(), "-o"]).arg(&file).stderr(Stdio::null());
    let Ok(mut strace) = command.spawn() else { return Ok(None) };
    thread::sleep(Duration::from_millis(500));
    let count = load(node.address, CLIENTS, each, KEYS)?.len();
    let pid = strace.id().to_string();
    Command::new("kill").args(["-INT", &pid]).status()?;
    strace.wait()?;
    let table = std::fs::read_to_string(&file).unwrap_or_default();
    let _ = std::fs::remove_file(&file);
    let total = table.lines().find(|l| l.ends_with("total"));
    let calls = total.and_then(|l| l.split_whitespace().nth(3)?.parse::<f64>().ok());
    Ok(calls.filter(|calls| *calls > 0.0).map(|calls| calls / count as f64))
}

/// Runs the measurement; `scale` 10 is the full size.
///
/// # Errors
/// A process cannot be started or observed, or a request is not served.
pub fn measure(scale: u32) -> Result<Value, Box<dyn Error>> {
    let scale = scale.min(10) as usize;
    let (rounds, each) = (5 + scale, 40 * scale);
    let servers = Quick::start(SERVERS)?;
    let node = start(&file(&servers.addresses))?;
    let relay = Relay::start(*servers.addresses.first().ok_or("no server")?)?;
    let (mut cpu, mut relay_cpu, mut cpu_ratios, mut p99_ratios) = (vec![], vec![], vec![], vec![]);
    for round in 0..rounds {
        let node_cost = cost(node.id(), node.address, (CLIENTS, each, KEYS))?;
        let relay_cost = cost(relay.id(), relay.address, (CLIENTS, each, KEYS))?;
        eprintln!(
            "{CLIENTS} clients, round {} of {rounds}: (cpu, p99) {node_cost:.1?} us, relay {relay_cost:.1?}",
            round + 1
        );
        // The first round is a warm-up.
        if round > 0 {
            cpu.push(node_cost.0);
            relay_cpu.push(relay_cost.0);
            cpu_ratios.push(node_cost.0 / relay_cost.0);
            p99_ratios.push(node_cost.1 / relay_cost.1);
        }
    }
    let calls = syscalls(&node, each)?;
    drop((node, relay, servers));

    let requests_alone = 400 * scale;
    let servers = Quick::start(HOLDING_SERVERS)?;
    let (few, many) = (start(&file(&servers.addresses))?, start(&file(&servers.addresses))?);
    release(hold(&few, &servers, FEW, FEW)?, &servers)?;
    open_many(&many, &servers)?;
    let descriptors_with_idle = (few.descriptors(), many.descriptors());
    let ratio_with_idle = growth("idle connections", &few, &many, rounds, requests_alone)?;
    drop((few, many));

    let (few, many) = (start(&file(&servers.addresses))?, start(&file(&servers.addresses))?);
    open_many(&few, &servers)?;
    open_many(&many, &servers)?;
    let held = (hold(&few, &servers, FEW, FEW)?, hold(&many, &servers, MANY, FEW + MANY)?);
    let ratio_with_open = growth("open requests", &few, &many, rounds, requests_alone)?;
    release(held.0.into_iter().chain(held.1).collect(), &servers)?;

    let ratio_to_relay = median(&cpu_ratios);
    let targets_met = ratio_with_idle < MAX_RATIO_WITH_IDLE
        && ratio_with_open < MAX_RATIO_WITH_OPEN
        && ratio_to_relay.is_some_and(|ratio| ratio < MAX_RATIO_TO_RELAY);
    Ok(json!({
        "measurement": "request",
        "cpu_us": median(&cpu), "cpu_us_relay": median(&relay_cpu),
        "cpu_ratio_to_relay": ratio_to_relay, "p99_ratio_to_relay": median(&p99_ratios),
        "cpu_growth_with_kept": ratio_with_idle, "descriptors_with_kept": [descriptors_with_idle.0, descriptors_with_idle.1],
        "cpu_growth_with_open": ratio_with_open,
        "syscalls_per_request": calls, "kept": targets_met,
    }))
}
