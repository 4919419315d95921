//! Sends bids to a node and compares the answers with the executions counted by the floor.

use crate::auction::{Auction, BID_ID, Faults};
use crate::client::attempt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Concurrent clients.
const CLIENTS: usize = 16;

impl Faults {
    /// Fraction of the bids that a floor with these faults serves in time, if each bid runs once. Rejected
    /// bids are not counted as faults, because they may be sent to another server.
    pub fn well(&self) -> f64 {
        1.0 - self.lost - self.unanswered - self.error - self.late
    }

    /// High rates of every fault; late answers are late by 400 ms.
    pub const MANY: Faults = Faults {
        lost: 0.05,
        unanswered: 0.05,
        error: 0.05,
        turned_away: 0.1,
        late: 0.03,
        late_by: Duration::from_millis(400),
    };
}

/// Outcomes of bids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bids {
    /// Bids sent.
    pub played: usize,
    /// Bids answered with 200.
    pub served: usize,
    /// Bids executed more than once.
    pub executed_twice: usize,
    /// Bids answered, or failed, after the patience had run out.
    pub answers_late: usize,
    /// Bids without an answer.
    pub unanswered: usize,
    /// Bids answered with 503, which states that they never ran, although they were executed.
    pub refused_and_executed: usize,
    /// Bids answered with 200 but not executed exactly once.
    pub served_and_not: usize,
}

impl Bids {
    /// Whether no guarantee was violated: every count except `played` and `served` is 0.
    pub fn kept(&self) -> bool {
        *self == Bids { played: self.played, served: self.served, ..Bids::default() }
    }

    /// Sums of both.
    pub fn and(self, other: Bids) -> Bids {
        Bids {
            played: self.played + other.played,
            served: self.served + other.served,
            executed_twice: self.executed_twice + other.executed_twice,
            answers_late: self.answers_late + other.answers_late,
            unanswered: self.unanswered + other.unanswered,
            refused_and_executed: self.refused_and_executed + other.refused_and_executed,
            served_and_not: self.served_and_not + other.served_and_not,
        }
    }
}

/// Sends `count` bids to `/bid` of a node in front of a floor, and a page request after every eighth.
pub fn play_bids(node: SocketAddr, floor: &Auction, count: usize, patience: Duration) -> Bids {
    let next = AtomicUsize::new(0);
    let answers = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::SeqCst);
                    if n >= count {
                        return;
                    }
                    let bid = format!(
                        "POST /bid HTTP/1.1\r\nHost: n\r\n{BID_ID}: {n}\r\nContent-Length: 3\r\n\r\n100"
                    );
                    let started = Instant::now();
                    let status = attempt(node, bid.as_bytes()).map(|m| m.status());
                    let late = started.elapsed() > patience;
                    if let Ok(mut answers) = answers.lock() {
                        answers.push((n, status, late));
                    }
                    if n.is_multiple_of(8) {
                        attempt(node, format!("GET /lots/{n} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes());
                    }
                }
            });
        }
    });
    let answers = answers.into_inner().unwrap_or_default();
    let count_of = |matches: &dyn Fn(u32, Option<u16>, bool) -> bool| {
        let matching = answers
            .iter()
            .filter(|(n, status, late)| matches(floor.executions(&n.to_string()), *status, *late));
        matching.count()
    };
    Bids {
        played: answers.len(),
        served: count_of(&|_, status, _| status == Some(200)),
        executed_twice: count_of(&|ran, _, _| ran > 1),
        answers_late: count_of(&|_, _, late| late),
        unanswered: count_of(&|_, status, _| status.is_none()),
        refused_and_executed: count_of(&|ran, status, _| status == Some(503) && ran > 0),
        served_and_not: count_of(&|ran, status, _| status == Some(200) && ran != 1),
    }
}
