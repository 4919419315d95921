//! Servers round which a fleet is played: warm ones and one that has just started, what each was asked and when, and how often
//! each bid ran.

use applemill_stand_ins::{Discovery, Record, backend, ok, target};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Servers that are warm, unless all are cold.
pub const WARM: usize = 4;
/// A server that has just started does this part of its work, all of it after `COLD`; sent `MULTIPLE` times what it can do
/// for `FALL`, it falls over.
pub const START: f64 = 0.14;
pub const COLD: Duration = Duration::from_secs(20);
pub const MULTIPLE: f64 = 3.0;
pub const FALL: Duration = Duration::from_millis(1500);

/// What it can do at an age, as a part of all that it will.
pub fn ramp(age: Duration) -> f64 {
    START + (1.0 - START) * (age.as_secs_f64() / COLD.as_secs_f64()).min(1.0)
}

/// What one thread left of a value may be taken by another.
pub fn locked<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Servers, and what they were asked.
pub struct Floor {
    /// Tells nodes of them.
    pub discovery: Discovery,
    servers: Vec<SocketAddr>,
    /// When each was asked; the last is the one that starts late.
    asked: Vec<Arc<Mutex<Vec<Instant>>>>,
    bids: Arc<Mutex<HashMap<String, u32>>>,
}

impl Floor {
    /// Starts them; discovery tells of the warm ones.
    pub fn start() -> Floor {
        let bids: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
        let asked: Vec<Arc<Mutex<Vec<Instant>>>> = (0..=WARM).map(|_| Arc::default()).collect();
        let serve = |times: &Arc<Mutex<Vec<Instant>>>| {
            let (times, bids) = (times.clone(), bids.clone());
            backend(&Record::default(), move |_, request| {
                locked(&times).push(Instant::now());
                let path = request.first_line.split(' ').nth(1).unwrap_or_default();
                if let Some(bid) = path.strip_prefix("/bid/") {
                    *locked(&bids).entry(bid.to_owned()).or_default() += 1;
                }
                ok(b"lot")
            })
        };
        let servers = asked.iter().map(serve).collect();
        let floor = Floor { discovery: Discovery::start(Vec::new()), servers, asked, bids };
        floor.discovery.set(floor.list(None));
        floor
    }

    /// All but the last, which is there where it has a start; they have one too where all are cold.
    fn list(&self, all_cold: Option<f64>) -> Vec<Value> {
        let named = self.servers.iter().take(WARM).enumerate();
        let line = |(n, address): (usize, &SocketAddr)| {
            let mut line = target(&format!("w-{n}"), *address, "up");
            line["boot_ms"] = all_cold.unwrap_or(0.0).into();
            line
        };
        named.map(line).collect()
    }

    /// The last one starts now; where `all` is set, all of them do.
    pub fn add(&self, all: bool) -> Instant {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let boot_ms = wall.as_secs_f64() * 1000.0;
        let mut list = self.list(all.then_some(boot_ms));
        if let Some(address) = self.servers.last() {
            let mut fresh = target("fresh", *address, "up");
            fresh["boot_ms"] = boot_ms.into();
            list.push(fresh);
        }
        self.discovery.set(list);
        Instant::now()
    }

    /// When the fresh one was asked; where all are cold, each.
    pub fn asked(&self, all: bool) -> Vec<Vec<Instant>> {
        let skipped = if all { 0 } else { WARM };
        self.asked.iter().skip(skipped).map(|times| locked(times).clone()).collect()
    }

    /// Bids that ran more than once.
    pub fn ran_twice(&self) -> usize {
        locked(&self.bids).values().filter(|n| **n > 1).count()
    }

    /// Whether this one ran.
    pub fn ran(&self, bid: &str) -> bool {
        locked(&self.bids).contains_key(bid)
    }
}

/// The most in any window, to what makes a server fall over; `whole` is what a warm one does, in requests a second.
pub fn most(asked: &[Instant], started: Instant, whole: f64) -> f64 {
    let ages: Vec<Duration> = asked.iter().map(|at| at.saturating_duration_since(started)).collect();
    let mut most = 0.0_f64;
    for (n, first) in ages.iter().enumerate() {
        let within = ages.iter().skip(n).take_while(|age| **age < *first + FALL).count();
        // What it can do grows within the window; its least is taken.
        most = most.max(within as f64 / FALL.as_secs_f64() / (MULTIPLE * ramp(*first) * whole));
    }
    most
}

/// What was sent from one age to another, to what could have been done then.
pub fn used(asked: &[Instant], started: Instant, whole: f64, from: Duration, to: Duration) -> f64 {
    let ages = asked.iter().map(|at| at.saturating_duration_since(started));
    let count = ages.filter(|age| (from..to).contains(age)).count();
    let (steps, span) = (100, to.saturating_sub(from).as_secs_f64());
    let at = |n: i32| from + Duration::from_secs_f64(span * (f64::from(n) + 0.5) / f64::from(steps));
    let able: f64 = (0..steps).map(|n| ramp(at(n))).sum::<f64>() / f64::from(steps) * whole * span;
    count as f64 / able.max(1e-9)
}
