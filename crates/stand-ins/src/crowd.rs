//! Many concurrent streams with different clients: some receive or send a complete body, some transfer
//! slowly, some stop reading, some receive a truncated body. Bids run at the same time to measure their
//! waits.

use crate::client::Client;
use crate::streams::{StreamClient, Sum, body_part, send};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// Body size of the streams that end.
const SIZE_BYTES: u64 = 300_000;
/// Body size of the streams that do not end within a run.
const ENDLESS_BYTES: u64 = 4_000_000_000;
/// Clients that send bids.
const BIDDERS: usize = 4;
/// Bids that wait longer count as late.
const LATE_AFTER: Duration = Duration::from_millis(200);

/// Outcomes of streams.
#[derive(Default)]
pub struct Seen {
    /// Streams that ended with the right content.
    pub ended_whole: AtomicU64,
    /// Truncated streams that the client detected as such.
    pub ended_cut: AtomicU64,
    /// Streams that ended with wrong content.
    pub hash_wrong: AtomicU64,
    /// Streams that the server truncated but that looked complete to the client.
    pub cut_as_whole: AtomicU64,
    /// Streams that were answered with another status than 200.
    pub refused: AtomicU64,
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

/// Runs one client until `over` is set. Its behaviour depends on `number` modulo 6:
///
/// - 0: receives a complete body
/// - 1: sends a complete body
/// - 2: reads slowly, with a pause of 200 ms after each read of at most 2 KiB
/// - 3: stops reading
/// - 4: sends 1 kB per second
/// - 5: receives a truncated body
pub fn stream(number: usize, node: SocketAddr, over: &AtomicBool, seen: &Seen) {
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: a.lv\r\n\r\n");
    let kind = number % 6;
    while !over.load(Relaxed) {
        let small_buffer = matches!(kind, 2..=4);
        let Ok(mut client) = StreamClient::connect(node, if small_buffer { 2048 } else { 16 * 1024 })
        else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        match kind {
            0 | 5 => {
                let path = match kind {
                    0 if number.is_multiple_of(4) => format!("/chunked/{SIZE_BYTES}"),
                    0 => format!("/sized/{SIZE_BYTES}"),
                    _ if number % 4 == 1 => format!("/broken/{}", SIZE_BYTES / 3),
                    _ => format!("/short/{SIZE_BYTES}/{}", SIZE_BYTES / 2),
                };
                match client.ask(&get(&path)) {
                    Some((head, _)) if head.status() != 200 => increment(&seen.refused),
                    Some((_, body)) if body.whole && kind == 5 => increment(&seen.cut_as_whole),
                    Some((_, body)) if body.whole => {
                        let right = body.sum == Sum::of_body(SIZE_BYTES);
                        increment(if right { &seen.ended_whole } else { &seen.hash_wrong });
                    }
                    _ => increment(&seen.ended_cut),
                }
                thread::sleep(Duration::from_millis(500));
            }
            1 => {
                client.send(
                    format!("PUT /x HTTP/1.1\r\nHost: a.lv\r\nContent-Length: {SIZE_BYTES}\r\n\r\n")
                        .as_bytes(),
                );
                let _ = send(&mut client.stream, SIZE_BYTES, false);
                let answer = client.head().map(|head| (head.status(), client.body(&head, |_| true)));
                match answer {
                    Some((200, body)) => {
                        let text = format!("{SIZE_BYTES} {:x}", Sum::of_body(SIZE_BYTES).hash);
                        let mut expected = Sum::default();
                        expected.add(text.as_bytes());
                        let right = body.sum == expected;
                        increment(if right { &seen.ended_whole } else { &seen.hash_wrong });
                    }
                    Some(_) => increment(&seen.refused),
                    None => increment(&seen.ended_cut),
                }
                thread::sleep(Duration::from_millis(500));
            }
            2 => {
                client.send(get(&format!("/sized/{ENDLESS_BYTES}")).as_bytes());
                if let Some(head) = client.head().filter(|h| h.status() == 200) {
                    client.body(&head, |_| {
                        thread::sleep(Duration::from_millis(200));
                        !over.load(Relaxed)
                    });
                }
            }
            3 => {
                client.send(get(&format!("/sized/{ENDLESS_BYTES}")).as_bytes());
                while !over.load(Relaxed) {
                    thread::sleep(Duration::from_millis(100));
                }
            }
            _ => {
                client.send(b"PUT /x HTTP/1.1\r\nHost: a.lv\r\nContent-Length: 2000000\r\n\r\n");
                let mut offset = 0;
                while !over.load(Relaxed) && client.send(body_part(offset, 100)) {
                    offset += 100;
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
    }
}

/// Outcomes of bids sent alongside streams.
#[derive(Default)]
pub struct Waits {
    /// Waits of the served bids in milliseconds, ascending.
    pub waits: Vec<f64>,
    /// Bids with no answer or a late one.
    pub late: u64,
    /// Bids not answered with 200.
    pub unserved: u64,
}

/// Sends bids from several clients until `end`.
///
/// # Errors
/// A client thread panicked.
pub fn bids_until(node: SocketAddr, end: Instant) -> std::io::Result<Waits> {
    let (waits, late, unserved) = (Mutex::new(Vec::new()), AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for _ in 0..BIDDERS {
            scope.spawn(|| {
                let mut client = Client::try_connect(node);
                while Instant::now() < end {
                    let started = Instant::now();
                    let answer = client.as_mut().and_then(|client| {
                        client.send(b"POST /bid HTTP/1.1\r\nHost: a.lv\r\nContent-Length: 3\r\n\r\n100");
                        client.answer()
                    });
                    let served = answer.as_ref().is_some_and(|a| a.status() == 200);
                    let wait = started.elapsed();
                    late.fetch_add(u64::from(answer.is_none() || wait > LATE_AFTER), Relaxed);
                    unserved.fetch_add(u64::from(!served), Relaxed);
                    if let Ok(mut waits) = waits.lock()
                        && served
                    {
                        waits.push(wait.as_secs_f64() * 1000.0);
                    }
                    if answer.is_none_or(|a| a.header("connection") == Some("close")) {
                        client = Client::try_connect(node);
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            });
        }
    });
    let mut waits = waits.into_inner().map_err(|_| std::io::Error::other("a bid client panicked"))?;
    waits.sort_by(f64::total_cmp);
    Ok(Waits { waits, late: late.into_inner(), unserved: unserved.into_inner() })
}

impl Waits {
    /// Fraction of all bids that were served.
    pub fn share(&self) -> f64 {
        self.waits.len() as f64 / (self.waits.len() as f64 + self.unserved as f64).max(1.0)
    }

    /// The 99th percentile of the waits of served bids, in milliseconds; NaN without any.
    pub fn p99(&self) -> f64 {
        self.waits.get(self.waits.len() * 99 / 100).copied().unwrap_or(f64::NAN)
    }
}
