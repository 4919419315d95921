//! Clients round a fleet: each asks one node at a steady rate, and another where that is gone. A bid that was sent is never sent
//! again.

use super::floor::locked;
use applemill_stand_ins::Client;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, Instant};

/// Requests a second of each client, of which one in so many is a bid.
pub const RATE: f64 = 100.0;
const BIDS: u64 = 4;
/// How long a client waits.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// What clients saw.
#[derive(Default)]
pub struct Seen {
    /// Requests that reached a node.
    pub asked: AtomicU64,
    /// Were served.
    pub served: AtomicU64,
    /// Were refused, or failed with an answer that says so.
    pub refused: AtomicU64,
    /// Got no answer, by node and when.
    pub lost: Mutex<Vec<(usize, Instant)>>,
    /// Nodes that could not be connected to.
    pub unconnected: Mutex<Vec<usize>>,
    /// Bids that were answered as served.
    pub bids: Mutex<Vec<String>>,
}

/// One client: asks a node at the rate, any other where that is gone.
pub fn ask(nodes: &RwLock<Vec<SocketAddr>>, own: usize, over: &AtomicBool, seen: &Seen) {
    let (mut at, mut client, mut n, mut known) = (own, None, 0_u64, 0);
    let mut draws = fastrand::Rng::with_seed(own as u64);
    let mut due = Instant::now();
    while !over.load(Relaxed) {
        due += Duration::from_secs_f64(1.0 / RATE);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        n += 1;
        let (address, there) = {
            let nodes = nodes.read().unwrap_or_else(PoisonError::into_inner);
            if nodes.len() != known {
                // There is one more than last time: perhaps this client's own.
                (known, at, client) = (nodes.len(), own, None);
            }
            let Some(address) = nodes.get(at % nodes.len().max(1)) else { return };
            (*address, nodes.len().max(1))
        };
        let bid = (n % BIDS == 0).then(|| format!("{own}-{n}"));
        let request = match &bid {
            Some(id) => format!("POST /bid/{id} HTTP/1.1\r\nHost: a.lv\r\nContent-Length: 0\r\n\r\n"),
            None => {
                format!("GET /lot/{} HTTP/1.1\r\nHost: a.lv\r\n\r\n", (n * 7_919 + own as u64 * 31) % 997)
            }
        };
        if client.is_none() {
            client =
                Client::try_connect(address).filter(|c| c.stream.set_read_timeout(Some(PATIENCE)).is_ok());
        }
        let Some(open) = client.as_mut() else {
            locked(&seen.unconnected).push(at % there);
            at = draws.usize(..there);
            continue;
        };
        let sent = Instant::now();
        seen.asked.fetch_add(1, Relaxed);
        let answer = if open.send(request.as_bytes()) { open.answer() } else { None };
        match answer.map(|m| (m.status(), m.header("connection") == Some("close"))) {
            Some((status, closes)) => {
                let counter = if status == 200 { &seen.served } else { &seen.refused };
                counter.fetch_add(1, Relaxed);
                if let Some(bid) = bid.filter(|_| status == 200) {
                    locked(&seen.bids).push(bid);
                }
                if closes {
                    client = None;
                }
            }
            None => {
                locked(&seen.lost).push((at % there, sent));
                client = None;
                at = draws.usize(..there);
                // It waited, and does not make up for it.
                due = due.max(Instant::now());
            }
        }
    }
}
