//! A new process of a server at the address of one that has gone, while connections to the old one are still open:
//! nothing more goes to the old process.

use applemill_stand_ins::*;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::thread;
use std::time::Duration;

/// `drainGraceMs` of the settings, and what the rules allow for sockets.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// How long requests are sent before the list changes, and after the grace.
const USED: Duration = Duration::from_millis(400);
/// Between two requests of a client.
const INTERVAL: Duration = Duration::from_millis(5);

/// Two processes at one address: connections belong to the one that was there when they were opened.
#[derive(Clone, Default)]
struct Processes {
    replaced: Arc<AtomicBool>,
    /// Requests that the old process and the new one have got.
    old_requests: Arc<AtomicUsize>,
    new_requests: Arc<AtomicUsize>,
}

impl Processes {
    fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind(loopback(0)).unwrap();
        let address = listener.local_addr().unwrap();
        let processes = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let replaced = processes.replaced.load(SeqCst);
                let requests = if replaced { &processes.new_requests } else { &processes.old_requests };
                let requests = requests.clone();
                thread::spawn(move || serve(stream, &requests));
            }
        });
        address
    }
}

fn serve(mut stream: TcpStream, requests: &AtomicUsize) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while Message::read(&mut reader).is_some() {
        requests.fetch_add(1, SeqCst);
        if stream.write_all(&reply("200 OK", "", b"x")).is_err() {
            return;
        }
    }
}

fn send_for(node: &Node, time: Duration) {
    for _ in 0..time.as_millis() / INTERVAL.as_millis() {
        let _ = attempt(node.address, &request("bid", 900));
        thread::sleep(INTERVAL);
    }
}

/// Checks that nothing goes to the old process later than the grace after a list with this entry for the new one.
fn assert_old_process_is_left(entry_of_new: impl Fn(SocketAddr) -> Value) {
    let processes = Processes::default();
    let reused = processes.start();
    let elsewhere = backend(&Record::default(), |_, _| ok(b"x"));
    let discovery =
        Discovery::start(vec![target("s-old", reused, "up"), target("s-other", elsewhere, "up")]);
    let node = Node::start(discovery.address, |_| {});
    send_for(&node, USED);
    assert!(processes.old_requests.load(SeqCst) > 5, "the old process must be in use");
    processes.replaced.store(true, SeqCst);
    let entry = entry_of_new(reused);
    discovery.set(vec![entry.clone(), target("s-other", elsewhere, "up")]);
    send_for(&node, GRACE);
    let in_time = processes.old_requests.load(SeqCst);
    send_for(&node, USED);
    assert_eq!(processes.old_requests.load(SeqCst) - in_time, 0, "late bids at the old process: {entry}");
    assert!(processes.new_requests.load(SeqCst) > 0, "the new process must be in use: {entry}");
}

fn changed(address: SocketAddr, field: &str, value: Value) -> Value {
    let mut entry = target("s-old", address, "up");
    entry[field] = value;
    entry
}

/// Guards against taking a server that is in another zone or cell now for the process that was there before.
#[test]
fn a_server_that_has_moved_to_another_zone_or_cell_is_another_process() {
    assert_old_process_is_left(|address| changed(address, "az", json!("b")));
    assert_old_process_is_left(|address| changed(address, "pod_group", json!(7)));
}

/// Guards against the same with another name, or another time of start.
#[test]
fn a_server_with_another_name_or_start_is_another_process() {
    assert_old_process_is_left(|address| target("s-new", address, "up"));
    assert_old_process_is_left(|address| changed(address, "boot_ms", json!(1_000_000)));
}
