//! The cost of TLS handshakes and requests, and the effect of floods of handshakes on connected clients.

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

/// An operator's file with a listener with TLS and one without, at `plain`.
fn file(server: SocketAddr, plain: SocketAddr, more: &str) -> String {
    format!(
        "[[listener]]\naddress = \"LISTEN\"\ntls = true\n[[listener]]\naddress = \"{plain}\"\n\
         [pool.floor]\nservers = [{{ address = \"{server}\" }}]\n\
         [class.bid]\neffect = \"unsafe\"\npatience = \"4s\"\n\
         [[route]]\nname = \"bid\"\nclass = \"bid\"\npool = \"floor\"\n{more}"
    )
}

/// Starts a node with TLS, and waits until it serves bids at its plain listener.
fn start(text: &str, plain: SocketAddr) -> Result<Node, Box<dyn Error>> {
    let node = Node::run_file(crate::node(&std::env::current_exe()?), text)?;
    let started = Instant::now();
    while attempt(plain, BID).is_none_or(|m| m.status() != 200) {
        if started.elapsed() > PATIENCE {
            return Err("the node was not ready in time".into());
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok(node)
}

/// Measures the cost of handshakes and requests, and the effect of a flood.
///
/// # Errors
/// The node cannot be started or observed, or a request is not served.
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
    let reused_client = Secure::trusting(&issuer.root());
    let full = per_cpu_s(&|| Secure::trusting(&issuer.root()))?;
    let resumed = per_cpu_s(&|| reused_client.clone())?;
    // Persistent connections, alternately with TLS and without.
    let mut client = reused_client.connect(node.address, "a.lv")?;
    let mut plain_client = applemill_stand_ins::Client::connect(plain);
    let mut ratios = Vec::new();
    for _ in 0..7 {
        let before = node.cpu()?;
        p99(&mut client, count)?;
        let middle = node.cpu()?;
        for _ in 0..count {
            plain_client.ask(BID);
        }
        ratios.push((middle - before).as_secs_f64() / (node.cpu()? - middle).as_secs_f64());
    }
    // Memory of idle TLS connections.
    let before_kb = node.memory_kb();
    let held =
        (0..200).map(|_| reused_client.connect(node.address, "a.lv")).collect::<Result<Vec<_>, _>>()?;
    let each_kb = node.memory_kb().saturating_sub(before_kb) as f64 / held.len() as f64;
    drop(held);
    let mut client = reused_client.connect(node.address, "a.lv")?;
    let quiet = p99(&mut client, 5 * count)?;
    let stopping = AtomicBool::new(false);
    let flooded = thread::scope(|scope| {
        for kind in 0..4_usize {
            let (stopping, address) = (&stopping, node.address);
            scope.spawn(move || {
                let mut open = std::collections::VecDeque::new();
                while !stopping.load(Relaxed) {
                    // By kind: nothing, or the first 1 to 3 bytes of a TLS record.
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
        stopping.store(true, Relaxed);
        flooded
    })?;
    eprintln!("a bid's p99 {quiet:.2} ms, in a flood {flooded:.2} ms");
    let (silent, held) = silent(&node, &reused_client, 1000 * scale as usize, 5 * count)?;
    eprintln!("a bid's p99 {silent:.2} ms with {held} silent connections");
    Ok(json!({"handshakes_per_cpu_s": {"full": full.round(), "resumed": resumed.round()},
        "cpu_ratio_tls_to_plain": median(&ratios), "memory_kb_per_connection": each_kb,
        "flood_p99_ratio": flooded / quiet, "silent_connections": held, "silent_p99_ratio": silent / quiet}))
}

/// Opens many connections at once that send nothing and stay open. Returns the p99 of bids on a connection
/// that was open before, in milliseconds, and the number of silent connections. Checks that a new client can
/// still connect.
///
/// # Errors
/// A socket cannot be created, or a bid is not served.
fn silent(
    node: &Node,
    client: &Secure,
    wanted: usize,
    bids: usize,
) -> Result<(f64, usize), Box<dyn Error>> {
    // Raises the limit of descriptors to what this process may have.
    let mut limits = getrlimit(Resource::Nofile);
    limits.current = limits.maximum;
    setrlimit(Resource::Nofile, limits)?;
    let max_open =
        limits.maximum.map_or(wanted, |n| usize::try_from(n).unwrap_or(wanted)).saturating_sub(500);
    let mut connected = client.connect(node.address, "a.lv")?;
    let mut open = Vec::new();
    for _ in 0..wanted.min(max_open) {
        let socket =
            socket2::Socket::new(socket2::Domain::for_address(node.address), socket2::Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        // An error means that the connection is still in progress, such as while it waits in the backlog.
        let _ = socket.connect(&node.address.into());
        open.push(socket);
    }
    let silent = p99(&mut connected, bids)?;
    client
        .connect(node.address, "a.lv")?
        .ask(BID)
        .ok_or("a new client got no answer during silent connections")?;
    Ok((silent, open.len()))
}
