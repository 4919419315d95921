//! An auction floor: servers that execute bids and show pages, fail as they are told to, by a seed, and count each
//! execution by its id. What they counted is what really happened.

use crate::floor::{Act, serve};
use crate::http::{Message, reply};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The header that names a bid.
pub const BID_ID: &str = "x-bid-id";

/// How often each thing goes wrong, as shares of the requests; the rest is served.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Read whole, not executed, and the connection closed.
    pub lost: f64,
    /// Executed, and the connection closed without an answer.
    pub unanswered: f64,
    /// Executed, and answered with 500.
    pub error: f64,
    /// Turned away with the proof that it never ran.
    pub turned_away: f64,
    /// Executed, and answered only after [`Faults::late_by`].
    pub late: f64,
    /// How much later.
    pub late_by: Duration,
}

#[derive(Default)]
struct Counts {
    /// Executions by id.
    executed: Mutex<HashMap<String, u32>>,
    /// Requests by server.
    asked: Vec<AtomicU64>,
    turned_away: AtomicU64,
    failed: AtomicU64,
}

/// The floor.
#[derive(Clone)]
pub struct Auction {
    /// Where its servers listen.
    pub addresses: Vec<SocketAddr>,
    counts: Arc<Counts>,
}

impl Auction {
    /// Starts `servers` of them on loopback. A request takes `work`, give or take half.
    ///
    /// # Errors
    /// No address to listen on.
    pub fn start(servers: usize, seed: u64, work: Duration, faults: Faults) -> std::io::Result<Auction> {
        let counts = Arc::new(Counts {
            asked: (0..servers).map(|_| AtomicU64::new(0)).collect(),
            ..Counts::default()
        });
        let mut addresses = Vec::new();
        for number in 0..servers {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            addresses.push(listener.local_addr()?);
            let counts = counts.clone();
            serve(listener, move || {
                let counts = counts.clone();
                move |message: &Message| counts.act(message, number, seed, work, &faults)
            });
        }
        Ok(Auction { addresses, counts })
    }

    /// Executions of one bid.
    pub fn executions(&self, id: &str) -> u32 {
        self.counts.executed.lock().map_or(0, |e| e.get(id).copied().unwrap_or(0))
    }

    /// Bids that were executed, and those of them that were more than once.
    pub fn executed(&self) -> (usize, usize) {
        self.counts.executed.lock().map_or((0, 0), |e| (e.len(), e.values().filter(|n| **n > 1).count()))
    }

    /// Requests that came to each server.
    pub fn asked(&self) -> Vec<u64> {
        self.counts.asked.iter().map(|n| n.load(Ordering::Relaxed)).collect()
    }

    /// Requests that were turned away, and that failed in another way.
    pub fn trouble(&self) -> (u64, u64) {
        (self.counts.turned_away.load(Ordering::Relaxed), self.counts.failed.load(Ordering::Relaxed))
    }
}

impl Counts {
    fn act(&self, message: &Message, number: usize, seed: u64, work: Duration, faults: &Faults) -> Act {
        let nth = self.asked.get(number).map_or(0, |n| n.fetch_add(1, Ordering::Relaxed));
        let id = message.header(BID_ID).unwrap_or_default();
        // By the bid's id, so that the threads' order changes nothing; pages have none and go by their number.
        let mut hash = DefaultHasher::new();
        (seed, id, number, if id.is_empty() { nth } else { 0 }).hash(&mut hash);
        let mut rng = fastrand::Rng::with_seed(hash.finish());
        let mut draw = rng.f64();
        let mut happens = |share: f64| {
            draw -= share;
            draw < 0.0
        };
        if happens(faults.turned_away) {
            self.turned_away.fetch_add(1, Ordering::Relaxed);
            return Act::Say(reply("503 Service Unavailable", "X-Never-Ran: 1\r\n", b""));
        }
        if happens(faults.lost) {
            self.failed.fetch_add(1, Ordering::Relaxed);
            return Act::SayAndClose(Vec::new());
        }
        thread::sleep(work.mul_f64(0.5 + rng.f64()));
        if !id.is_empty()
            && let Ok(mut executed) = self.executed.lock()
        {
            *executed.entry(id.to_owned()).or_insert(0) += 1;
        }
        let outcome = if happens(faults.unanswered) {
            Act::SayAndClose(Vec::new())
        } else if happens(faults.error) {
            Act::Say(reply("500 Internal Server Error", "", b"the hammer broke\n"))
        } else {
            if happens(faults.late) {
                thread::sleep(faults.late_by);
            }
            let body = format!("{} at server {number}\n", message.first_line);
            let head_only = message.first_line.starts_with("HEAD ");
            return Act::Say(reply(
                "200 OK",
                "Content-Type: text/plain\r\n",
                if head_only { b"" } else { body.as_bytes() },
            ));
        };
        self.failed.fetch_add(1, Ordering::Relaxed);
        outcome
    }
}
