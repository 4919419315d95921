//! Auction servers that execute bids and serve pages, fail at given rates by a seed, and count the executions
//! of each bid by its id. Tests compare a node's answers with these counts.

use crate::floor::{Act, serve};
use crate::http::{Message, reply};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The header that carries the id of a bid.
pub const BID_ID: &str = "x-bid-id";

/// Fault rates, as fractions of the requests. The remaining requests are served.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Read completely, not executed, and the connection closed.
    pub lost: f64,
    /// Executed, and the connection closed without an answer.
    pub unanswered: f64,
    /// Executed, and answered with 500.
    pub error: f64,
    /// Rejected with a header that states that the request never ran.
    pub turned_away: f64,
    /// Executed, and answered only after [`Faults::late_by`].
    pub late: f64,
    /// Delay of late answers.
    pub late_by: Duration,
}

#[derive(Default)]
struct Counts {
    /// Executions by id.
    executed: Mutex<HashMap<String, u32>>,
    /// Requests received by each server.
    asked: Vec<AtomicU64>,
    turned_away: AtomicU64,
    failed: AtomicU64,
}

/// The servers of the floor and their counts.
#[derive(Clone)]
pub struct Auction {
    /// Addresses of the servers.
    pub addresses: Vec<SocketAddr>,
    counts: Arc<Counts>,
}

impl Auction {
    /// Starts `servers` servers on loopback. A request takes `work`, plus or minus up to half.
    ///
    /// # Errors
    /// A server cannot listen.
    pub fn start(servers: usize, seed: u64, work: Duration, faults: Faults) -> std::io::Result<Auction> {
        let counts = Arc::new(Counts {
            asked: (0..servers).map(|_| AtomicU64::new(0)).collect(),
            ..Counts::default()
        });
        let mut addresses = Vec::new();
        for server in 0..servers {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            addresses.push(listener.local_addr()?);
            let counts = counts.clone();
            serve(listener, move || {
                let counts = counts.clone();
                move |message: &Message| counts.act(message, server, seed, work, &faults)
            });
        }
        Ok(Auction { addresses, counts })
    }

    /// Number of executions of one bid.
    pub fn executions(&self, id: &str) -> u32 {
        self.counts.executed.lock().map_or(0, |e| e.get(id).copied().unwrap_or(0))
    }

    /// Number of bids executed, and number of those executed more than once.
    pub fn executed(&self) -> (usize, usize) {
        self.counts.executed.lock().map_or((0, 0), |e| (e.len(), e.values().filter(|n| **n > 1).count()))
    }

    /// Number of requests received by each server.
    pub fn asked(&self) -> Vec<u64> {
        self.counts.asked.iter().map(|n| n.load(Ordering::Relaxed)).collect()
    }

    /// Number of requests rejected, and number that failed in another way.
    pub fn trouble(&self) -> (u64, u64) {
        (self.counts.turned_away.load(Ordering::Relaxed), self.counts.failed.load(Ordering::Relaxed))
    }
}

impl Counts {
    fn act(&self, message: &Message, server: usize, seed: u64, work: Duration, faults: &Faults) -> Act {
        let request_number = self.asked.get(server).map_or(0, |n| n.fetch_add(1, Ordering::Relaxed));
        let id = message.header(BID_ID).unwrap_or_default();
        // Draws depend on the bid's id, which makes them independent of thread scheduling. Pages have no id
        // and use the number of the request at this server.
        let mut hash = DefaultHasher::new();
        (seed, id, server, if id.is_empty() { request_number } else { 0 }).hash(&mut hash);
        let mut rng = fastrand::Rng::with_seed(hash.finish());
        let mut draw = rng.f64();
        let mut occurs = |fraction: f64| {
            draw -= fraction;
            draw < 0.0
        };
        if occurs(faults.turned_away) {
            self.turned_away.fetch_add(1, Ordering::Relaxed);
            return Act::Say(reply("503 Service Unavailable", "X-Never-Ran: 1\r\n", b""));
        }
        if occurs(faults.lost) {
            self.failed.fetch_add(1, Ordering::Relaxed);
            return Act::SayAndClose(Vec::new());
        }
        thread::sleep(work.mul_f64(0.5 + rng.f64()));
        if !id.is_empty()
            && let Ok(mut executed) = self.executed.lock()
        {
            *executed.entry(id.to_owned()).or_insert(0) += 1;
        }
        let outcome = if occurs(faults.unanswered) {
            Act::SayAndClose(Vec::new())
        } else if occurs(faults.error) {
            Act::Say(reply("500 Internal Server Error", "", b"injected failure\n"))
        } else {
            if occurs(faults.late) {
                thread::sleep(faults.late_by);
            }
            let body = format!("{} at server {server}\n", message.first_line);
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
