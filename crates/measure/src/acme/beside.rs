//! What work beside requests does to bids: a node that shares one core with all of it, bids on a kept connection, and
//! certificates that are ordered one after another.

use super::{fleet, p99};
use crate::median;
use applemill_stand_ins::Secure;
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use std::error::Error;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// Certificates that are ordered in turn, beside the usual one.
const MORE: usize = 4;
/// A stretch with the work or without it.
const STRETCH: Duration = Duration::from_millis(1500);

/// The p99 of bids with all of it to without, in turn: the median over some pairs.
pub fn ratio(scale: u32) -> Result<f64, Box<dyn Error>> {
    let more: String = (0..MORE)
        .map(|n| format!("[certificate.c{n}]\nnames = [\"c{n}.lv\"]\nauthorities = [\"main\"]\n"))
        .collect();
    // What this thread may run on is what its children may: one core for the node and its threads alike.
    let all = sched_getaffinity(None)?;
    let last = (0..CpuSet::MAX_CPU).rev().find(|n| all.is_set(*n)).ok_or("no core")?;
    let mut one = CpuSet::new();
    one.set(last);
    sched_setaffinity(None, &one)?;
    let started = fleet(1, 86_400, &more);
    let mut others = all;
    others.unset(last);
    // Clients run elsewhere, where there is another core.
    sched_setaffinity(None, if others.count() > 0 { &others } else { &all })?;
    let fleet = started?;
    fleet.renewed(None)?;
    let address = fleet.nodes.first().ok_or("no node")?.0.address;
    let client = Secure::trusting(&fleet.authority.root());
    let stretch = || -> Result<f64, Box<dyn Error>> {
        let mut client = client.connect(address, "a.lv")?;
        let (begun, mut worst) = (Instant::now(), Vec::new());
        while begun.elapsed() < STRETCH {
            worst.push(p99(&mut client, 200)?);
        }
        median(&worst).ok_or_else(|| "no bids".into())
    };
    let mut ratios = Vec::new();
    let before = fleet.authority.counts().orders;
    for _ in 0..(3 + scale) {
        let without = stretch()?;
        let over = AtomicBool::new(false);
        let with = thread::scope(|scope| {
            scope.spawn(|| {
                let own = std::env::current_exe().unwrap_or_default();
                while !over.load(Relaxed) {
                    (0..MORE).for_each(|n| fleet.wish_by(crate::node(&own), &format!("c{n}")));
                    thread::sleep(Duration::from_millis(50));
                }
            });
            let with = stretch();
            over.store(true, Relaxed);
            with
        })?;
        ratios.push(with / without);
        // What was still wished for is done before the next stretch without.
        let mut orders = 0;
        while orders != fleet.authority.counts().orders {
            orders = fleet.authority.counts().orders;
            thread::sleep(Duration::from_millis(1500));
        }
    }
    // What is started after this may run anywhere again.
    sched_setaffinity(None, &all)?;
    let orders = fleet.authority.counts().orders - before;
    eprintln!("bids beside {orders} orders on one core: p99 {ratios:.2?} of that without");
    if orders < 2 * u64::from(scale) {
        return Err(format!("{orders} orders beside bids").into());
    }
    median(&ratios).ok_or_else(|| "no ratios".into())
}
