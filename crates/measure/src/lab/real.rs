//! The shared world by real processes on loopback: real nodes, servers with cores and a queue, the same clients at the same times.

use applemill_experiments::{Variant, quantile};
use applemill_lab::{Comer, Draws, Law, World, comers, mix, node_of};
use applemill_stand_ins::{Client, Members, Node, Work, queued};
use std::error::Error;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use toml::{Table, Value};

/// Threads that ask: more than there ever are open.
const ASKERS: usize = 400;
/// So long from the start of the nodes to the first that comes.
const BEFORE: Duration = Duration::from_millis(500);
/// A client whose answer does not come by then has none; a node's margin is within the patience.
const PATIENCE: Duration = Duration::from_millis(900);

/// What became of it.
pub struct Played {
    /// Parts of all requests, with all their tries.
    pub served: f64,
    /// See `served`.
    pub refused: f64,
    /// From the time that a request was due to its answer, in milliseconds, of those served.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
    /// Attempts that arrived at servers, for each request.
    pub attempts: f64,
    /// Tries that nodes took, and those that they answered.
    pub taken: u64,
    /// See `taken`.
    pub answered: u64,
}

#[derive(Default)]
struct Seen {
    taken: AtomicU64,
    answered: AtomicU64,
    refused: AtomicU64,
    latency_ms: Mutex<Vec<f64>>,
}

fn law(world: &World) -> Option<Law> {
    Some(world.servers.first()?.service.clone())
}

/// The variant's file for a real node, with these servers in its one pool.
fn file(text: &str, servers: &[SocketAddr]) -> Result<String, Box<dyn Error>> {
    let mut table: Table = text.replace("127.0.0.1:8080", "LISTEN").parse()?;
    let one = |a: &SocketAddr| {
        Value::Table([("address".to_owned(), Value::String(a.to_string()))].into_iter().collect())
    };
    let list = Value::Array(servers.iter().map(one).collect());
    let pools = table.get_mut("pool").and_then(Value::as_table_mut).ok_or("no pool")?;
    for (_, pool) in pools.iter_mut() {
        pool.as_table_mut().ok_or("no pool")?.insert("servers".to_owned(), list.clone());
    }
    Ok(format!("\n{table}"))
}

/// Plays it once.
///
/// # Errors
/// It could not be played.
pub fn play(variant: &Variant, seed: u64) -> Result<Played, Box<dyn Error>> {
    let world = &variant.world;
    let (work, law) = (Work::default(), law(world).ok_or("no servers")?);
    let mut servers: Vec<SocketAddr> = Vec::new();
    for group in &world.servers {
        for n in 0..u64::from(group.count) {
            let law = law.clone();
            let takes = move |own: u64| {
                let ms = law.draw(&mut Draws::new(seed, mix(n << 40 | own)));
                Duration::from_secs_f64(ms / 1000.0)
            };
            servers.push(queued(u64::from(group.cores), u64::from(group.queue), &work, takes)?);
        }
    }
    let file = file(&variant.file, &servers)?;
    let members = Members::new(world.nodes as usize, 1_500, true)?;
    let mut nodes = Vec::new();
    for n in 0..world.nodes as usize {
        nodes.push(members.start(n, crate::node(&std::env::current_exe()?), "", &file)?);
    }
    for node in &mut nodes {
        node.get_ready()?;
    }
    let addresses: Vec<SocketAddr> = nodes.iter().map(|n: &Node| n.address).collect();
    let all = comers(&world.clients, world.seconds, seed);
    let (asked, seen) = (all.len(), Seen::default());
    let retries = world.clients.iter().map(|c| c.retries).collect::<Vec<_>>();
    let backoff = world.clients.iter().map(|c| c.backoff_ms).collect::<Vec<_>>();
    let (sender, receiver) = channel::<(Instant, Comer)>();
    let receiver = Mutex::new(receiver);
    thread::scope(|scope| {
        for _ in 0..ASKERS {
            let (addresses, seen, receiver, retries, backoff) =
                (&addresses, &seen, &receiver, &retries, &backoff);
            scope.spawn(move || ask(addresses, seed, receiver, seen, retries, backoff));
        }
        let begun = Instant::now() + BEFORE;
        for comer in all {
            let due = begun + Duration::from_secs_f64(comer.at_ms / 1000.0);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if sender.send((due, comer)).is_err() {
                return;
            }
        }
        drop(sender);
    });
    let latency = seen.latency_ms.into_inner().unwrap_or_else(PoisonError::into_inner);
    let part = |n: f64| n / asked.max(1) as f64;
    Ok(Played {
        served: part(latency.len() as f64),
        refused: part(seen.refused.load(Relaxed) as f64),
        p50_ms: quantile(&latency, 0.5),
        p99_ms: quantile(&latency, 0.99),
        attempts: part((work.ran.load(Relaxed) + work.full.load(Relaxed)) as f64),
        taken: seen.taken.load(Relaxed),
        answered: seen.answered.load(Relaxed),
    })
}

/// One of those that ask: a request with all its tries, then the next.
fn ask(
    addresses: &[SocketAddr],
    seed: u64,
    next: &Mutex<Receiver<(Instant, Comer)>>,
    seen: &Seen,
    retries: &[u32],
    backoff: &[f64],
) {
    loop {
        let got = next.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok((due, comer)) = got else { return };
        let mut tries = 0;
        loop {
            tries += 1;
            let node = node_of(seed, comer.number, tries, addresses.len());
            let Some(address) = addresses.get(node) else { return };
            // One that is kept may be closed by its node in the very moment: each try has its own.
            let Some(mut open) = Client::try_connect(*address) else { continue };
            let _ = open.stream.set_read_timeout(Some(PATIENCE));
            seen.taken.fetch_add(1, Relaxed);
            let request = format!("{} HTTP/1.1\r\nHost: a.lv\r\nConnection: close\r\n\r\n", comer.request);
            let answer = if open.send(request.as_bytes()) { open.answer() } else { None };
            let Some(answer) = answer else { break };
            seen.answered.fetch_add(1, Relaxed);
            let told: f64 = answer.header("retry-after").and_then(|t| t.trim().parse().ok()).unwrap_or(0.0);
            if answer.status() == 200 {
                let took = due.elapsed().as_secs_f64() * 1000.0;
                seen.latency_ms.lock().unwrap_or_else(PoisonError::into_inner).push(took);
                break;
            }
            if tries > retries.get(comer.group).copied().unwrap_or(0) {
                seen.refused.fetch_add(u64::from(answer.status() == 503), Relaxed);
                break;
            }
            let own = backoff.get(comer.group).copied().unwrap_or(0.0) / 1000.0;
            thread::sleep(Duration::from_secs_f64(if told > 0.0 { told } else { own }));
        }
    }
}
