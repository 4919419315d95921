//! The demonstration: stand-in servers in this process, a node in front of them as a separate process, a
//! light load of bids and pages, and a table of the results.

use crate::print::print;
use applemill_stand_ins::{Auction, BID_ID, Client, Faults, Node};
use serde_json::{Value, json};
use std::error::Error;
use std::fmt::Write;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 3;
/// Time that a server works on a request.
const WORK_TIME: Duration = Duration::from_millis(5);
/// Pause of a client after each answer.
const CLIENT_PAUSE: Duration = Duration::from_millis(20);
const CLIENTS: usize = 4;
/// Interval between two updates of the table.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// A small part of the requests meets each kind of fault.
const FAULTS: Faults = Faults {
    lost: 0.005,
    unanswered: 0.005,
    error: 0.005,
    turned_away: 0.03,
    late: 0.01,
    late_by: Duration::from_millis(120),
};

/// Results of one kind of requests.
#[derive(Default)]
struct Tally {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    /// Times of the latest thousand served requests, in milliseconds.
    times_ms: Mutex<Vec<f64>>,
}

impl Tally {
    fn record(&self, status: u16, time: Duration) {
        let counter = match status {
            200 => &self.served,
            429 | 503 => &self.refused,
            _ => &self.failed,
        };
        let n = counter.fetch_add(1, Ordering::Relaxed);
        if status == 200
            && let Ok(mut times) = self.times_ms.lock()
        {
            let ms = time.as_secs_f64() * 1000.0;
            match times.get_mut((n % 1000) as usize) {
                Some(old) => *old = ms,
                None => times.push(ms),
            }
        }
    }

    /// In milliseconds; 0 if nothing was served.
    fn percentile(&self, fraction: f64) -> f64 {
        let mut times = self.times_ms.lock().map(|t| t.clone()).unwrap_or_default();
        times.sort_by(f64::total_cmp);
        times
            .get(((times.len() as f64 * fraction) as usize).min(times.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0.0)
    }

    fn json(&self) -> Value {
        let count = |n: &AtomicU64| n.load(Ordering::Relaxed);
        json!({"served": count(&self.served), "refused": count(&self.refused), "failed": count(&self.failed),
               "p50_ms": self.percentile(0.5), "p99_ms": self.percentile(0.99)})
    }
}

fn operator_file(servers: &[SocketAddr]) -> String {
    let servers: Vec<String> = servers.iter().map(|a| format!("{{ address = \"{a}\" }}")).collect();
    format!(
        "# The demonstration's node: pages may be asked for again, a bid must never run twice.\n\
         [[listener]]\nname = \"front\"\naddress = \"LISTEN\"\n\n\
         [pool.floor]\nservers = [{}]\n\n\
         [class.page]\neffect = \"safe\"\npatience = \"4s\"\naim = \"1s\"\nretry = \"may-have-run\"\n\
         attempt_timeout = \"1s\"\n\n\
         [class.bid]\neffect = \"unsafe\"\npatience = \"900ms\"\nworth = 10\n\n\
         [[route]]\nname = \"bid\"\npath = \"/api/bid\"\nmethod = \"POST\"\nclass = \"bid\"\n\
         pool = \"floor\"\n\n\
         [[route]]\nname = \"page\"\nmethod = [\"GET\", \"HEAD\"]\nclass = \"page\"\npool = \"floor\"\n\
         key = {{ segment = 2 }}\nsecond_copy_after = \"60ms\"\n",
        servers.join(", ")
    )
}

/// One client: sends bids and pages in turn until `stop` is set, on one connection for as long as it stays
/// open.
fn run_client(number: usize, node: SocketAddr, stop: &AtomicBool, bids: &Tally, pages: &Tally) {
    let mut connection: Option<Client> = None;
    let mut n = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        n += 1;
        let bid = n.is_multiple_of(4);
        let request = if bid {
            let head = format!("Host: floor\r\n{BID_ID}: {number}-{n}\r\nContent-Length: 3\r\n");
            format!("POST /api/bid HTTP/1.1\r\n{head}\r\n100")
        } else {
            format!("GET /lots/{} HTTP/1.1\r\nHost: floor\r\n\r\n", n % 50)
        };
        let started = Instant::now();
        let status = connection.take().or_else(|| Client::try_connect(node)).and_then(|mut client| {
            client.send(request.as_bytes());
            let answer = client.answer()?;
            if answer.header("connection") != Some("close") {
                connection = Some(client);
            }
            Some(answer.status())
        });
        if bid { bids } else { pages }.record(status.unwrap_or(0), started.elapsed());
        thread::sleep(CLIENT_PAUSE);
    }
}

fn table(bids: &Tally, pages: &Tally, floor: &Auction) -> String {
    let mut out = String::new();
    // Writing to a String cannot fail.
    let _ = writeln!(
        out,
        "{:<8} {:>8} {:>8} {:>8} {:>9} {:>9}",
        "route", "served", "refused", "failed", "p50 ms", "p99 ms"
    );
    for (name, tally) in [("bid", bids), ("page", pages)] {
        let count = |n: &AtomicU64| n.load(Ordering::Relaxed);
        let (served, refused, failed) = (count(&tally.served), count(&tally.refused), count(&tally.failed));
        let (p50_ms, p99_ms) = (tally.percentile(0.5), tally.percentile(0.99));
        let _ = writeln!(out, "{name:<8} {served:>8} {refused:>8} {failed:>8} {p50_ms:>9.1} {p99_ms:>9.1}");
    }
    let (executed, twice) = floor.executed();
    let (turned_away, failed) = floor.trouble();
    let _ = writeln!(
        out,
        "floor: {:?} requests by server, {turned_away} turned away, {failed} failed; \
         {executed} bids executed, {twice} of them twice",
        floor.asked()
    );
    out
}

/// Runs the demonstration for this long, or until it is interrupted. Returns true if no bid ran twice.
///
/// # Errors
/// The servers or the node could not be started.
pub async fn run(duration: Option<Duration>, as_json: bool) -> Result<bool, Box<dyn Error>> {
    let floor = Auction::start(SERVERS, 1, WORK_TIME, FAULTS)?;
    let mut command = Command::new(std::env::current_exe()?);
    command.stderr(Stdio::null());
    let mut node = Node::run_file(command, &operator_file(&floor.addresses))?;
    node.get_ready()?;
    let listen = node.address;
    let started = Instant::now();
    let (bids, pages) = (Arc::new(Tally::default()), Arc::new(Tally::default()));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, bids, pages) = (stop.clone(), bids.clone(), pages.clone());
            thread::spawn(move || run_client(number, listen, &stop, &bids, &pages))
        })
        .collect();
    if !as_json {
        let file = node.file().display();
        print(&format!(
            "a node in front of {SERVERS} stand-in servers, configured by {file}\n\
             try: curl -i -d 100 -H '{BID_ID}: mine' \
             http://{listen}/api/bid\n     curl -i http://{listen}/lots/7\n\n"
        ));
    }
    let end = duration.map(|duration| started + duration);
    let interrupted = tokio::signal::ctrl_c();
    tokio::pin!(interrupted);
    let live = std::io::stdout().is_terminal() && !as_json;
    let mut lines_drawn = 0;
    while end.is_none_or(|e| Instant::now() < e) {
        let pause = end
            .map_or(UPDATE_INTERVAL, |e| UPDATE_INTERVAL.min(e.saturating_duration_since(Instant::now())));
        tokio::select! {
            _ = &mut interrupted => break,
            () = tokio::time::sleep(pause) => {}
        }
        if live {
            let text = table(&bids, &pages, &floor);
            let cursor_up = if lines_drawn > 0 { format!("\x1b[{lines_drawn}A") } else { String::new() };
            lines_drawn = text.lines().count();
            print(&format!(
                "{cursor_up}{}",
                text.lines().map(|l| format!("\x1b[2K{l}\n")).collect::<String>()
            ));
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let (executed, twice) = floor.executed();
    if as_json {
        let report = json!({"bids": bids.json(), "pages": pages.json(), "bids_executed": executed,
                            "bids_executed_twice": twice, "requests_by_server": floor.asked(),
                            "seconds": started.elapsed().as_secs_f64()});
        print(&format!("{report}\n"));
    } else if !live {
        print(&table(&bids, &pages, &floor));
    }
    drop(node);
    Ok(twice == 0)
}
