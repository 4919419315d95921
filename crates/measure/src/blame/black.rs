//! A black start: nodes and servers that begin together, every server cold, queueing and coming up slowly.

use crate::fleet::{COLD, FALL, MULTIPLE, START, ramp};
use applemill_stand_ins::{Discovery, Node, Record, ask_at_pace, backend, ok, target};
use std::error::Error;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SERVERS: usize = 4;
/// What a warm server can do, and what is asked of all, in requests a second.
const WHOLE: f64 = 100.0;
const ASKED: f64 = 300.0;
/// Answers count in this time.
const AIM: &str = "500ms";

/// What came of it.
pub struct Black {
    /// Served, to what the ramps allow of what was asked.
    pub served: f64,
    /// Until the first was served, in seconds.
    pub first_s: f64,
    /// The most in any window, to what makes a server fall over.
    pub max_ratio: f64,
}

fn file(discovery: std::net::SocketAddr, nodes: usize, number: usize) -> String {
    format!(
        "[[listener]]\naddress = \"LISTEN\"\n[fleet]\nnodes = {nodes}\nnumber = {number}\ncold_time = \"{}s\"\n\
         start_capacity = {START}\nfall_multiple = {MULTIPLE:.1}\nfall_time = \"{}ms\"\n\
         [pool.floor]\ndiscovery = \"{discovery}\"\n[class.page]\neffect = \"safe\"\npatience = \"900ms\"\naim = \"{AIM}\"\n\
         [[route]]\nname = \"lot\"\nclass = \"page\"\npool = \"floor\"\nkey = {{ segment = 2 }}\n",
        COLD.as_secs(),
        FALL.as_millis()
    )
}

/// Plays one with so many nodes.
///
/// # Errors
/// Something could not be started.
pub fn play(count: usize) -> Result<Black, Box<dyn Error>> {
    let begun = Instant::now();
    let mut servers = Vec::new();
    for _ in 0..SERVERS {
        let (queue, asked) = (Mutex::new(()), Arc::<Mutex<Vec<Instant>>>::default());
        let times = asked.clone();
        let address = backend(&Record::default(), move |_, _| {
            times.lock().unwrap_or_else(PoisonError::into_inner).push(Instant::now());
            // One after another, as fast as it can by now.
            let _turn = queue.lock().unwrap_or_else(PoisonError::into_inner);
            thread::sleep(Duration::from_secs_f64(1.0 / (WHOLE * ramp(begun.elapsed()))));
            ok(b"lot")
        });
        servers.push((address, asked));
    }
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let list = servers.iter().enumerate().map(|(n, (address, _))| {
        let mut line = target(&format!("s-{n}"), *address, "up");
        line["boot_ms"] = (wall.as_secs_f64() * 1000.0).into();
        line
    });
    let discovery = Discovery::start(list.collect());
    let own = std::env::current_exe()?;
    let nodes = (0..count).map(|n| Node::run_file(crate::node(&own), &file(discovery.address, count, n)));
    let mut nodes = nodes.collect::<Result<Vec<_>, _>>()?;
    for node in &mut nodes {
        node.get_ready()?;
    }
    let ready = begun.elapsed();
    let end = begun + COLD;
    let rate = ASKED / count as f64;
    let all = thread::scope(|scope| {
        let asking: Vec<_> = nodes
            .iter()
            .map(|node| {
                let lot = |n: u64| {
                    format!("GET /lot/{} HTTP/1.1\r\nHost: a.lv\r\n\r\n", n * 7_919 % 9_973).into_bytes()
                };
                scope.spawn(move || ask_at_pace(node.address, rate, (120 / count).max(8), end, lot))
            })
            .collect();
        asking.into_iter().map(|a| a.join().map_err(|_| "clients panicked")).collect::<Result<Vec<_>, _>>()
    })?;
    let served: u64 = all.iter().flat_map(|a| &a.served).sum();
    let first = all.iter().filter_map(|a| a.first).min();
    let steps = 100;
    let able: f64 = (0..steps)
        .map(|n| ready + (COLD - ready).mul_f64((f64::from(n) + 0.5) / f64::from(steps)))
        .map(|age| (WHOLE * SERVERS as f64 * ramp(age)).min(ASKED))
        .sum::<f64>()
        / f64::from(steps)
        * (COLD - ready).as_secs_f64();
    let mut max_ratio = 0.0_f64;
    for (_, asked) in &servers {
        let asked = asked.lock().unwrap_or_else(PoisonError::into_inner);
        max_ratio = max_ratio.max(crate::fleet::most(&asked, begun, WHOLE));
    }
    Ok(Black {
        served: served as f64 / able,
        first_s: first.map_or(f64::INFINITY, |f| f.as_secs_f64()),
        max_ratio,
    })
}
