//! How soon all that live know of deaths, and what a node says a second, by size of fleet, in virtual time: the crate's own
//! `Fleet`, a network with a delay and nothing lost.

use applemill_membership::{Fleet, FleetParams, Key, NodeInfo};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const PERIOD_MS: f64 = 100.0;
const DELAY_MS: f64 = 1.0;
/// The dead are known when the shares of those that live are so much of the whole.
const KNOWN: f64 = 0.95;

enum Due {
    Ask(usize),
    Datagram { to: usize, from: usize, bytes: Vec<u8>, nonce: Option<u64> },
    Refused { to: usize, nonce: u64 },
}

/// What came of it.
pub struct Spread {
    /// From the deaths until those that live have `KNOWN` of the whole, in milliseconds.
    pub detect_ms: f64,
    /// Bytes that a node sends a second.
    pub bytes: f64,
}

/// Half of a fleet of so many dies; `hold_ms` is long enough for a round of questions.
pub fn spread(nodes: usize, hold_ms: f64) -> Option<Spread> {
    let params = FleetParams { nodes: nodes as u32, hold_ms, drift: 0.02 }.check().ok()?;
    let key = || Some(Key::new(b"a key of thirty-two bytes or more"));
    let mut rng = fastrand::Rng::with_seed(nodes as u64);
    let mut all: Vec<Fleet> =
        (0..nodes).map(|n| Fleet::new(params, n as u32, NodeInfo::default(), key(), 1, 0.0)).collect();
    let (mut queue, mut due) = (BinaryHeap::new(), Vec::new());
    let put = |queue: &mut BinaryHeap<_>, due: &mut Vec<Option<Due>>, at: f64, what: Due| {
        queue.push(Reverse(((at * 1000.0) as u64, due.len())));
        due.push(Some(what));
    };
    for n in 0..nodes {
        put(&mut queue, &mut due, PERIOD_MS * rng.f64(), Due::Ask(n));
    }
    let died_ms = params.wait_ms() + 1_000.0;
    let living = nodes - nodes / 2;
    let dead = |n: usize, now: f64| now >= died_ms && n >= living;
    let (mut sent, mut next_look) = (0_usize, died_ms);
    while let Some(Reverse((at, id))) = queue.pop() {
        let now = at as f64 / 1000.0;
        if now >= next_look {
            next_look = now + 20.0;
            let share = |f: &Fleet| f.senders(now).nodes.map_or(0.0, |n| 1.0 / f64::from(n));
            if all.iter().take(living).map(share).sum::<f64>() >= KNOWN {
                return Some(Spread {
                    detect_ms: now - died_ms,
                    bytes: sent as f64 / nodes as f64 * 1000.0 / died_ms,
                });
            }
            if now > died_ms + 60_000.0 {
                return None;
            }
        }
        match due.get_mut(id)?.take()? {
            Due::Ask(n) if !dead(n, now) => {
                if let Some(ask) = all.get_mut(n)?.next_query(now, rng.u64(..)) {
                    sent += if now < died_ms { ask.bytes.len() } else { 0 };
                    let what = Due::Datagram {
                        to: ask.to as usize,
                        from: n,
                        bytes: ask.bytes,
                        nonce: Some(ask.nonce),
                    };
                    put(&mut queue, &mut due, now + DELAY_MS, what);
                }
                put(&mut queue, &mut due, now + PERIOD_MS, Due::Ask(n));
            }
            Due::Datagram { to, from, bytes: _, nonce } if dead(to, now) => {
                if let Some(nonce) = nonce {
                    put(&mut queue, &mut due, now + DELAY_MS, Due::Refused { to: from, nonce });
                }
            }
            Due::Datagram { to, from, bytes, .. } => {
                if let Some((_, Some(answer))) = all.get_mut(to)?.receive(now, &bytes) {
                    sent += if now < died_ms { answer.len() } else { 0 };
                    let what = Due::Datagram { to: from, from: to, bytes: answer, nonce: None };
                    put(&mut queue, &mut due, now + DELAY_MS, what);
                }
            }
            Due::Refused { to, nonce } if !dead(to, now) => all.get_mut(to)?.query_refused(nonce),
            Due::Ask(_) | Due::Refused { .. } => {}
        }
    }
    None
}
