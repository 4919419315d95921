//! The effect of background work on bids: a node with all its threads on one core, bids on a persistent
//! connection, and certificates that are ordered one after another.

use super::{fleet, p99};
use crate::median;
use applemill_stand_ins::Secure;
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use std::error::Error;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// Certificates ordered in turn, in addition to the usual one.
const EXTRA_CERTIFICATES: usize = 4;
/// Duration of one measurement with or without background work.
const INTERVAL: Duration = Duration::from_millis(1500);

/// Ratio of the p99 of bids with background work to that without: the median of several pairs of
/// measurements.
///
/// # Errors
/// The node cannot be started, a bid is not served, or too few certificates were ordered.
pub fn ratio(scale: u32) -> Result<f64, Box<dyn Error>> {
    let more: String = (0..EXTRA_CERTIFICATES)
        .map(|n| format!("[certificate.c{n}]\nnames = [\"c{n}.lv\"]\nauthorities = [\"main\"]\n"))
        .collect();
    // Child processes inherit the CPU affinity of this thread, which confines the node and its threads to one
    // core.
    let all = sched_getaffinity(None)?;
    let last = (0..CpuSet::MAX_CPU).rev().find(|n| all.is_set(*n)).ok_or("no core")?;
    let mut one = CpuSet::new();
    one.set(last);
    sched_setaffinity(None, &one)?;
    let started = fleet(1, 86_400, &more);
    let mut others = all;
    others.unset(last);
    // Clients run on the other cores, if there are any.
    sched_setaffinity(None, if others.count() > 0 { &others } else { &all })?;
    let fleet = started?;
    fleet.renewed(None)?;
    let address = fleet.nodes.first().ok_or("no node")?.0.address;
    let client = Secure::trusting(&fleet.authority.root());
    let measure_p99 = || -> Result<f64, Box<dyn Error>> {
        let mut client = client.connect(address, "a.lv")?;
        let (started_at, mut p99s) = (Instant::now(), Vec::new());
        while started_at.elapsed() < INTERVAL {
            p99s.push(p99(&mut client, 200)?);
        }
        median(&p99s).ok_or_else(|| "no bids".into())
    };
    let mut ratios = Vec::new();
    let before = fleet.authority.counts().orders;
    for _ in 0..(3 + scale) {
        let without = measure_p99()?;
        let stopping = AtomicBool::new(false);
        let with = thread::scope(|scope| {
            scope.spawn(|| {
                let executable = std::env::current_exe().unwrap_or_default();
                while !stopping.load(Relaxed) {
                    (0..EXTRA_CERTIFICATES)
                        .for_each(|n| fleet.wish_by(crate::node(&executable), &format!("c{n}")));
                    thread::sleep(Duration::from_millis(50));
                }
            });
            let with = measure_p99();
            stopping.store(true, Relaxed);
            with
        })?;
        ratios.push(with / without);
        // Waits until the renewals still requested are done, before the next measurement without background
        // work.
        let mut orders = 0;
        while orders != fleet.authority.counts().orders {
            orders = fleet.authority.counts().orders;
            thread::sleep(Duration::from_millis(1500));
        }
    }
    // Processes started from here on may run on any core again.
    sched_setaffinity(None, &all)?;
    let orders = fleet.authority.counts().orders - before;
    eprintln!("bids during {orders} orders on one core: p99 {ratios:.2?} times that without orders");
    if orders < 2 * u64::from(scale) {
        return Err(format!("only {orders} orders during the bids").into());
    }
    median(&ratios).ok_or_else(|| "no ratios".into())
}
