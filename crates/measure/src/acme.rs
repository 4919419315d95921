//! `acme`: certificates of a fleet that shares a folder, through days of trouble in seconds; what a handshake costs, and what
//! a flood of them does to those who are connected.

use crate::median;
use applemill_stand_ins::{
    Authority, Folder, Issuer, Manner, Node, PATIENCE, Secure, SecureClient, Whim, attempt, backend,
    free_address, ok,
};
use serde_json::{Value, json};
use std::error::Error;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// How long certificates live, in seconds; they are renewed in their middle.
const LIFE_S: i64 = 20;
/// The promises: handshakes that failed before the end, orders for each renewal, the p99 of those connected in a flood.
const MOST_ORDERS: f64 = 1.0;
const MOST_FLOOD: f64 = 3.0;
const BID: &[u8] = b"POST /bid HTTP/1.1\r\nHost: a.lv\r\nContent-Length: 3\r\n\r\n100";

fn file(server: SocketAddr, plain: SocketAddr, number: usize, more: &str) -> String {
    format!(
        "[[listener]]\naddress = \"LISTEN\"\ntls = true\n[[listener]]\naddress = \"{plain}\"\n\
         [node]\nname = \"n{number}\"\n[pool.floor]\nservers = [{{ address = \"{server}\" }}]\n\
         [class.bid]\neffect = \"unsafe\"\npatience = \"4s\"\n\
         [[route]]\nname = \"bid\"\nclass = \"bid\"\npool = \"floor\"\n{more}"
    )
}

/// A node by TLS, which is asked without whether it serves.
fn start(text: &str, plain: SocketAddr) -> Result<Node, Box<dyn Error>> {
    let node = Node::run_file(crate::node(&std::env::current_exe()?), text)?;
    let begun = Instant::now();
    while attempt(plain, BID).is_none_or(|m| m.status() != 200) {
        if begun.elapsed() > PATIENCE {
            return Err("the node did not get ready".into());
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok(node)
}

/// Nodes with one authority and one folder.
struct Fleet {
    authority: Authority,
    nodes: Vec<Node>,
    _folder: Folder,
}

impl Fleet {
    fn start(count: usize) -> Result<Fleet, Box<dyn Error>> {
        let authority = Authority::start(Manner { life: LIFE_S, nodes: Vec::new(), bound: None })?;
        let server = backend(&Default::default(), |_, _| ok(b"sold"));
        let folder = Folder::new("measure");
        let root = folder.put("root.pem", &authority.root());
        let more = format!(
            "[tls]\nstate = \"{}\"\norders_a_week = 1000\n[certificate.a]\nnames = [\"a.lv\"]\nauthorities = [\"main\"]\n\
             [authority.main]\ndirectory = \"{}\"\nroot = \"{root}\"\ntimeout = \"2s\"\n",
            folder.path().join("state").display(),
            authority.directory()
        );
        let plains: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        // Started together, as a fleet is; proofs are looked for at all of them in turn.
        let nodes = plains.iter().enumerate().map(|(n, plain)| {
            let node = start(&file(server, *plain, n, &more), *plain);
            authority.change(|m| m.nodes.extend(node.as_ref().ok().map(|node| (*plain, node.address))));
            node
        });
        let nodes = nodes.collect::<Result<Vec<_>, _>>()?;
        Ok(Fleet { authority, nodes, _folder: folder })
    }

    /// Waits until all nodes show another certificate than this: it, and how long that took from the first to the last.
    fn renewed(&self, before: &[u8]) -> Result<(Vec<u8>, f64), Box<dyn Error>> {
        let client = Secure::trusting(&self.authority.root());
        let (end, mut first) = (Instant::now() + 6 * PATIENCE, None);
        while Instant::now() < end {
            let shown = |n: &Node| client.connect(n.address, "a.lv").map(|c| c.shown()).unwrap_or_default();
            let new: Vec<_> =
                self.nodes.iter().map(shown).filter(|s| !s.is_empty() && s.as_slice() != before).collect();
            if let Some(one) = new.first() {
                let since = *first.get_or_insert_with(Instant::now);
                if new.len() == self.nodes.len() && new.iter().all(|s| s == one) {
                    return Ok((one.clone(), since.elapsed().as_secs_f64()));
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("no renewal; {:?}", self.authority.counts()).into())
    }
}

/// Bids on one connection: the wait that 99 in 100 do not exceed, in milliseconds.
fn p99(client: &mut SecureClient, bids: usize) -> Result<f64, Box<dyn Error>> {
    let mut waits = Vec::new();
    for _ in 0..bids {
        let begun = Instant::now();
        let answer = client.ask(BID).ok_or("a bid without an answer")?;
        if answer.status() != 200 {
            return Err(answer.first_line.into());
        }
        waits.push(begun.elapsed().as_secs_f64() * 1000.0);
    }
    waits.sort_by(f64::total_cmp);
    waits.get(waits.len() * 99 / 100).copied().ok_or_else(|| "no bids".into())
}

/// What handshakes and requests cost, and what a flood does.
fn costs(scale: u32) -> Result<Value, Box<dyn Error>> {
    let (folder, issuer, plain) = (Folder::new("costs"), Issuer::new("root"), free_address());
    let (chain, key) = issuer.pair(&["a.lv"], -10, 86_400);
    let more = format!(
        "[tls]\nhandshakes = 200\n[certificate.a]\nnames = \"a.lv\"\nchain = \"{}\"\nkey = \"{}\"\n",
        folder.put("a.pem", &chain),
        folder.put("a.key", &key)
    );
    let server = backend(&Default::default(), |_, _| ok(b"sold"));
    let node = start(&file(server, plain, 0, &more), plain)?;
    let count = 100 * scale as usize;
    let per_cpu_s = |client: &dyn Fn() -> Secure| -> Result<f64, Box<dyn Error>> {
        let before = node.cpu()?;
        for _ in 0..count {
            client().connect(node.address, "a.lv")?.ask(BID).ok_or("no answer")?;
        }
        Ok(count as f64 / (node.cpu()? - before).as_secs_f64())
    };
    let again = Secure::trusting(&issuer.root());
    let full = per_cpu_s(&|| Secure::trusting(&issuer.root()))?;
    let resumed = per_cpu_s(&|| again.clone())?;
    // Kept connections, in turn by TLS and without.
    let mut client = again.connect(node.address, "a.lv")?;
    let mut bare = applemill_stand_ins::Client::connect(plain);
    let mut ratios = Vec::new();
    for _ in 0..7 {
        let before = node.cpu()?;
        p99(&mut client, count)?;
        let middle = node.cpu()?;
        for _ in 0..count {
            bare.ask(BID);
        }
        ratios.push((middle - before).as_secs_f64() / (node.cpu()? - middle).as_secs_f64());
    }
    // Those that are connected, each with a request behind it.
    let before_kb = node.memory_kb();
    let held = (0..200).map(|_| again.connect(node.address, "a.lv")).collect::<Result<Vec<_>, _>>()?;
    let each_kb = node.memory_kb().saturating_sub(before_kb) as f64 / held.len() as f64;
    drop(held);
    let mut client = again.connect(node.address, "a.lv")?;
    let quiet = p99(&mut client, 5 * count)?;
    let over = AtomicBool::new(false);
    let flooded = thread::scope(|scope| {
        for kind in 0..4_usize {
            let (over, address) = (&over, node.address);
            scope.spawn(move || {
                let mut open = std::collections::VecDeque::new();
                while !over.load(Relaxed) {
                    // Silent ones, half a hello, and none.
                    if let Ok(mut stream) = TcpStream::connect(address) {
                        let _ = stream.write_all([0x16, 3, 1, 0, 200].get(..kind).unwrap_or_default());
                        open.push_back(stream);
                    }
                    if open.len() > 100 {
                        open.pop_front();
                    }
                    thread::sleep(Duration::from_millis(1));
                }
            });
        }
        let flooded = p99(&mut client, 5 * count);
        over.store(true, Relaxed);
        flooded
    })?;
    eprintln!("a bid's p99 {quiet:.2} ms, in a flood {flooded:.2} ms");
    Ok(json!({"handshakes_per_cpu_s": {"full": full.round(), "resumed": resumed.round()},
        "cpu_ratio_tls_to_plain": median(&ratios), "memory_kb_per_connection": each_kb,
        "flood_p99_ratio": flooded / quiet}))
}

/// Measures it all; `scale` 10 is the full size: 20 nodes.
///
/// # Errors
/// Something could not be measured.
pub fn measure(scale: u32) -> Result<Value, Box<dyn Error>> {
    let scale = scale.min(10);
    let mut report = costs(scale)?;
    let fleet = Fleet::start(2 * scale as usize)?;
    let (mut shown, _) = fleet.renewed(&[])?;
    let first = fleet.authority.counts().orders;
    eprintln!("{} nodes have a certificate, by {first} orders", fleet.nodes.len());
    let (over, count, failed) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    let client = Secure::trusting(&fleet.authority.root());
    let done = thread::scope(|scope| -> Result<(u64, f64, f64), Box<dyn Error>> {
        for n in 0..4 {
            let (over, count, failed, fleet, client) = (&over, &count, &failed, &fleet, client.clone());
            scope.spawn(move || {
                for node in fleet.nodes.iter().cycle().skip(n * fleet.nodes.len() / 4) {
                    if over.load(Relaxed) {
                        return;
                    }
                    let bid = client.connect(node.address, "a.lv").ok().and_then(|mut c| c.ask(BID));
                    count.fetch_add(1, Relaxed);
                    failed.fetch_add(u64::from(bid.is_none_or(|b| b.status() != 200)), Relaxed);
                }
            });
        }
        let mut played = || -> Result<(u64, f64, f64), Box<dyn Error>> {
            let (mut renewals, mut longest) = (0, 0.0_f64);
            // Good days, slow ones, and ones with no authority for half of what is left, again and again.
            for day in 0..4 {
                match day % 4 {
                    1 => fleet.authority.does(|_, _| Whim::Slow(Duration::from_millis(300))),
                    2 => fleet.authority.does(|_, _| Whim::Status(503, None)),
                    _ => fleet.authority.does(|_, _| Whim::Right),
                }
                if day % 4 == 2 {
                    thread::sleep(Duration::from_secs(LIFE_S as u64 * 3 / 4));
                    fleet.authority.does(|_, _| Whim::Right);
                }
                let (new, spread) = fleet.renewed(&shown)?;
                (shown, renewals, longest) = (new, renewals + 1, longest.max(spread));
                eprintln!("day {day}: renewed, {spread:.2} s from the first node to the last");
            }
            // Away until the end: when the first warning comes, of what is left.
            fleet.authority.does(|_, _| Whim::Gone);
            let begun = Instant::now();
            let node = fleet.nodes.first().ok_or("no node")?;
            let up = |node: &Node| {
                let up = client
                    .connect(node.address, "a.lv")
                    .ok()
                    .and_then(|mut c| c.ask(b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n"));
                up.map_or_else(String::new, |m| String::from_utf8_lossy(&m.body).into_owned())
            };
            while !up(node).contains("failing") {
                if begun.elapsed() > Duration::from_secs(LIFE_S as u64) {
                    return Err("no warning".into());
                }
                thread::sleep(Duration::from_millis(20));
            }
            let text = up(node);
            let left = text
                .split("ends in ")
                .nth(1)
                .and_then(|t| t.split(' ').next())
                .and_then(|t| t.parse::<f64>().ok());
            Ok((renewals, longest, left.ok_or("it does not say when it ends")? / LIFE_S as f64))
        };
        let done = played();
        over.store(true, Relaxed);
        done
    });
    let (renewals, spread_s, part) = done?;
    let orders = (fleet.authority.counts().orders - first) as f64 / renewals as f64;
    let failed = failed.into_inner();
    let wrong = fleet.authority.counts().wrong;
    let flood = report["flood_p99_ratio"].as_f64().unwrap_or(f64::INFINITY);
    let kept = failed == 0
        && orders <= MOST_ORDERS
        && wrong.is_empty()
        && part >= 1.0 / 3.0
        && flood <= MOST_FLOOD;
    let all = [
        ("nodes", json!(fleet.nodes.len())),
        ("handshakes", json!(count.into_inner())),
        ("failed_before_expiry", json!(failed)),
        ("orders_per_renewal", json!(orders)),
        ("spread_s", json!(spread_s)),
        ("warned_before_expiry_part", json!(part)),
        ("protocol_errors", json!(wrong)),
        ("kept", json!(kept)),
    ];
    for (name, value) in all {
        report[name] = value;
    }
    Ok(report)
}
