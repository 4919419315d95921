//! Test doubles for everything around a node, on loopback: floor servers, discovery, a certificate authority,
//! clients, and control of the node's own process. Used by tests, tools and the demonstration. They implement
//! the protocols and leave every decision to the node.

mod ailing;
mod auction;
mod authority;
mod bids;
mod by_hand;
mod certified;
mod client;
mod crowd;
mod datagrams;
mod discovery;
mod floor;
mod http;
mod ills;
mod members;
mod node;
mod queued;
mod quick;
mod relay;
mod secure;
mod streams;
mod syscall_faults;
mod tunnel;
mod upgrades;

pub use ailing::*;
pub use auction::*;
pub use authority::*;
pub use bids::*;
pub use by_hand::*;
pub use certified::*;
pub use client::*;
pub use crowd::*;
pub use datagrams::*;
pub use discovery::*;
pub use floor::*;
pub use http::*;
pub use ills::*;
pub use members::*;
pub use node::*;
pub use queued::*;
pub use quick::*;
pub use relay::*;
pub use secure::*;
pub use streams::*;
pub use syscall_faults::*;
pub use tunnel::by_tls;
pub use upgrades::*;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for an expected event.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// Waits until `done` returns true; panics after [`PATIENCE`].
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Sleeps longer than a connection to a backend must be quiet after an answer before the node reuses it.
pub fn quiet_moment() {
    thread::sleep(Duration::from_millis(50));
}

/// The state of a connecting socket in `/proc/net/tcp`.
pub const SYN_SENT: &str = "02";

/// Whether some socket whose peer has the port of `remote` is in a state of `/proc/net/tcp`.
pub fn tcp_state(remote: SocketAddr, state: &str) -> bool {
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    sockets.contains(&format!(":{:04X} {state}", remote.port()))
}

/// First port of [`free_address`], above the well-known ones. All of its ports are below those that the system
/// gives to sockets without one.
const FIRST_FREE_PORT: u32 = 10_000;
/// Addresses of a process that differ in their last byte, before the next port is used.
const ADDRESSES_PER_PORT: u32 = 250;
/// Ports of a process.
const PORTS_PER_PROCESS: u32 = 80;
/// Process ids that differ in the address, without its last byte.
const PROCESSES_PER_PORT_RANGE: u32 = 64 * 256;
const PORT_RANGES: u32 = 256;

/// A loopback address that nothing else uses: derived from the process id and a counter. No socket is opened to
/// find it, since a process that is started in that moment would hold a copy and keep the address in use.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    let ip = Ipv4Addr::new(
        127,
        64 + (pid % 64) as u8,
        (pid / 64 % 256) as u8,
        (n % ADDRESSES_PER_PORT) as u8 + 1,
    );
    let port_range = pid / PROCESSES_PER_PORT_RANGE % PORT_RANGES;
    let port =
        FIRST_FREE_PORT + port_range * PORTS_PER_PROCESS + n / ADDRESSES_PER_PORT % PORTS_PER_PROCESS;
    SocketAddr::new(IpAddr::V4(ip), port as u16)
}

/// 127.0.0.1 with a port.
pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}
