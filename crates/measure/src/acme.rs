//! `acme`: renewals of a fleet that shares a folder while the authority fails, in accelerated time; the cost
//! of a handshake, and the effect of floods of handshakes and of background work on bids.

mod beside;
mod handshakes;

use applemill_stand_ins::{CERTIFIED_BID as BID, Certified, Secure, SecureClient, Whim};
use serde_json::{Value, json};
use std::error::Error;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// Lifetime of certificates, in seconds. They are renewed at half of it.
const LIFETIME_S: i64 = 20;
/// Targets: orders for each renewal; the p99 of bids on an open connection during a flood of handshakes and
/// during background work, as a ratio to the p99 without.
const MAX_ORDERS_PER_RENEWAL: f64 = 1.0;
const MAX_FLOOD_RATIO: f64 = 3.0;
const MAX_BACKGROUND_RATIO: f64 = 1.1;

/// Starts this program as `count` nodes with one authority and one folder. `lifetime_s` is the lifetime of
/// certificates in seconds.
fn fleet(count: usize, lifetime_s: i64, more: &str) -> Result<Certified, Box<dyn Error>> {
    let mut fleet = Certified::new(lifetime_s, more)?;
    for _ in 0..count {
        fleet.start_by(crate::node(&std::env::current_exe()?))?;
    }
    Ok(fleet)
}

/// Sends bids on one connection. Returns the 99th percentile of the waits, in milliseconds.
fn p99(client: &mut SecureClient, bids: usize) -> Result<f64, Box<dyn Error>> {
    let mut waits = Vec::new();
    for _ in 0..bids {
        let started = Instant::now();
        let answer = client.ask(BID).ok_or("a bid got no answer")?;
        if answer.status() != 200 {
            return Err(answer.first_line.into());
        }
        waits.push(started.elapsed().as_secs_f64() * 1000.0);
    }
    waits.sort_by(f64::total_cmp);
    waits.get(waits.len() * 99 / 100).copied().ok_or_else(|| "no bids".into())
}

/// Runs the measurement; `scale` 10 is the full size: 20 nodes.
///
/// # Errors
/// A node cannot be started, certificates are not renewed, or a request is not served.
pub fn measure(scale: u32) -> Result<Value, Box<dyn Error>> {
    let scale = scale.min(10);
    let mut report = handshakes::costs(scale)?;
    report["background_p99_ratio"] = beside::ratio(scale)?.into();
    let fleet = fleet(2 * scale as usize, LIFETIME_S, "")?;
    let (mut certificate, _) = fleet.renewed(None)?;
    let initial_orders = fleet.authority.counts().orders;
    eprintln!("{} nodes have a certificate, after {initial_orders} orders", fleet.nodes.len());
    let (stopping, count, failed) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    let client = Secure::trusting(&fleet.authority.root());
    let result = thread::scope(|scope| -> Result<(u64, f64, f64), Box<dyn Error>> {
        for n in 0..4 {
            let (stopping, count, failed, fleet, client) =
                (&stopping, &count, &failed, &fleet, client.clone());
            scope.spawn(move || {
                for (node, _) in fleet.nodes.iter().cycle().skip(n * fleet.nodes.len() / 4) {
                    if stopping.load(Relaxed) {
                        return;
                    }
                    let bid = client.connect(node.address, "a.lv").ok().and_then(|mut c| c.ask(BID));
                    count.fetch_add(1, Relaxed);
                    failed.fetch_add(u64::from(bid.is_none_or(|b| b.status() != 200)), Relaxed);
                }
            });
        }
        let mut run_days = || -> Result<(u64, f64, f64), Box<dyn Error>> {
            let (mut renewals, mut longest) = (0, 0.0_f64);
            // Days with a correct authority, a slow one, and one that is unavailable until half of the
            // time between the due renewal and the expiry has passed.
            for day in 0..4 {
                match day % 4 {
                    1 => fleet.authority.does(|_, _| Whim::Slow(Duration::from_millis(300))),
                    2 => fleet.authority.does(|_, _| Whim::Status(503, None)),
                    _ => fleet.authority.does(|_, _| Whim::Right),
                }
                if day % 4 == 2 {
                    thread::sleep(Duration::from_secs(LIFETIME_S as u64 * 3 / 4));
                    fleet.authority.does(|_, _| Whim::Right);
                }
                let (new, spread) = fleet.renewed(Some(&certificate))?;
                (certificate, renewals, longest) = (new, renewals + 1, longest.max(spread));
                eprintln!("day {day}: renewed, {spread:.2} s from the first node to the last");
            }
            // The authority stays unavailable: measures the remaining fraction of the lifetime at the first
            // warning.
            fleet.authority.does(|_, _| Whim::Gone);
            let started = Instant::now();
            while !fleet.up(0).contains("failing") {
                if started.elapsed() > Duration::from_secs(LIFETIME_S as u64) {
                    return Err("the node did not warn that renewal is failing".into());
                }
                thread::sleep(Duration::from_millis(20));
            }
            let text = fleet.up(0);
            let remaining_s = text
                .split("ends in ")
                .nth(1)
                .and_then(|t| t.split(' ').next())
                .and_then(|t| t.parse::<f64>().ok());
            Ok((
                renewals,
                longest,
                remaining_s.ok_or("/up does not state when the certificate ends")? / LIFETIME_S as f64,
            ))
        };
        let result = run_days();
        stopping.store(true, Relaxed);
        result
    });
    let (renewals, spread_s, remaining_fraction) = result?;
    let orders = (fleet.authority.counts().orders - initial_orders) as f64 / renewals as f64;
    let failed = failed.into_inner();
    let protocol_errors = fleet.authority.counts().wrong;
    let figure = |name: &str| report[name].as_f64().unwrap_or(f64::INFINITY);
    let (flood, background) = (figure("flood_p99_ratio"), figure("background_p99_ratio"));
    let silent = figure("silent_p99_ratio");
    let targets_met = failed == 0
        && orders <= MAX_ORDERS_PER_RENEWAL
        && protocol_errors.is_empty()
        && remaining_fraction >= 1.0 / 3.0
        && flood.max(silent) <= MAX_FLOOD_RATIO
        && background <= MAX_BACKGROUND_RATIO;
    let all = [
        ("nodes", json!(fleet.nodes.len())),
        ("handshakes", json!(count.into_inner())),
        ("failed_before_expiry", json!(failed)),
        ("orders_per_renewal", json!(orders)),
        ("spread_s", json!(spread_s)),
        ("warned_before_expiry_part", json!(remaining_fraction)),
        ("protocol_errors", json!(protocol_errors)),
        ("kept", json!(targets_met)),
    ];
    for (name, value) in all {
        report[name] = value;
    }
    Ok(report)
}
