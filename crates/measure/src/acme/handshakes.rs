//! What handshakes and requests cost, and what floods of handshakes do to those who are connected.

use super::{BID, p99};
use crate::median;
use applemill_stand_ins::{Folder, Issuer, Node, PATIENCE, Secure, attempt, backend, free_address, ok};
use rustix::process::{Resource, getrlimit, setrlimit};
use serde_json::{Value, json};
use std::error::Error;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

fn file(server: SocketAddr, plain: SocketAddr, more: &str) -> String {
    format!(
        "[[listener]]\naddress = \"LISTEN\"\ntls = true\n[[listener]]\naddress = \"{plain}\"\n\
         [pool.floor]\nservers = [{{ address = \"{server}\" }}]\n\
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

/// What handshakes and requests cost, and what a flood does.
pub fn costs(scale: u32) -> Result<Value, Box<dyn Error>> {
    let (folder, issuer, plain) = (Folder::new("costs"), Issuer::new("root"), free_address());
    let (chain, key) = issuer.pair(&["a.lv"], -10, 86_400);
    let more = format!(
        "[tls]\nhandshakes = 200\n[certificate.a]\nnames = \"a.lv\"\nchain = \"{}\"\nkey = \"{}\"\n",
        folder.put("a.pem", &chain),
        folder.put("a.key", &key)
    );
    let server = backend(&Default::default(), |_, _| ok(b"sold"));
    let node = start(&file(server, plain, &more), plain)?;
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
    let (silent, held) = silent(&node, &again, 1000 * scale as usize, 5 * count)?;
    eprintln!("and {silent:.2} ms beside {held} that stay silent");
    Ok(json!({"handshakes_per_cpu_s": {"full": full.round(), "resumed": resumed.round()},
        "cpu_ratio_tls_to_plain": median(&ratios), "memory_kb_per_connection": each_kb,
        "flood_p99_ratio": flooded / quiet, "silent_connections": held, "silent_p99_ratio": silent / quiet}))
}

/// Many connections opened at once that say nothing and are held: the p99 of who is connected meanwhile, and how many there
/// were. Somebody new gets in beside them too.
fn silent(
    node: &Node,
    client: &Secure,
    wanted: usize,
    bids: usize,
) -> Result<(f64, usize), Box<dyn Error>> {
    // As many as this process may hold.
    let mut limits = getrlimit(Resource::Nofile);
    limits.current = limits.maximum;
    setrlimit(Resource::Nofile, limits)?;
    let room = limits.maximum.map_or(wanted, |n| usize::try_from(n).unwrap_or(wanted)).saturating_sub(500);
    let mut kept = client.connect(node.address, "a.lv")?;
    let mut open = Vec::new();
    for _ in 0..wanted.min(room) {
        let socket =
            socket2::Socket::new(socket2::Domain::for_address(node.address), socket2::Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        // What waits in the backlog, or before it, is under way.
        let _ = socket.connect(&node.address.into());
        open.push(socket);
    }
    let silent = p99(&mut kept, bids)?;
    client.connect(node.address, "a.lv")?.ask(BID).ok_or("nobody new gets in beside silent connections")?;
    Ok((silent, open.len()))
}
