//! Cheap floor servers for measurements: one fixed answer for all requests, which some requests get only
//! after a release.

use crate::http::reply;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Requests whose target starts with this wait until [`Quick::release`].
pub const HELD: &str = "/hold";

#[derive(Default)]
struct Gate {
    held: usize,
    /// Number of releases so far. A held request waits for the next one.
    releases: u64,
}

/// The servers.
pub struct Quick {
    /// Addresses of the servers.
    pub addresses: Vec<SocketAddr>,
    gate: Arc<(Mutex<Gate>, Condvar)>,
}

impl Quick {
    /// Starts `servers` servers on free ports.
    ///
    /// # Errors
    /// A server cannot listen.
    pub fn start(servers: usize) -> std::io::Result<Quick> {
        let gate = Arc::<(Mutex<Gate>, Condvar)>::default();
        let mut addresses = Vec::new();
        for _ in 0..servers {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            addresses.push(listener.local_addr()?);
            let gate = gate.clone();
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let gate = gate.clone();
                    thread::spawn(move || serve_connection(stream, &gate));
                }
            });
        }
        Ok(Quick { addresses, gate })
    }

    /// Waits until `count` requests are held; false if that takes longer than `patience`.
    pub fn holds(&self, count: usize, patience: Duration) -> bool {
        let (lock, changed) = &*self.gate;
        let gate = lock.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = changed.wait_timeout_while(gate, patience, |g| g.held < count);
        waited.is_ok_and(|(gate, _)| gate.held >= count)
    }

    /// Releases the held requests.
    pub fn release(&self) {
        let (lock, changed) = &*self.gate;
        let mut gate = lock.lock().unwrap_or_else(PoisonError::into_inner);
        (gate.held, gate.releases) = (0, gate.releases + 1);
        changed.notify_all();
    }
}

/// Serves the requests of a connection, which must have no body and not be pipelined.
fn serve_connection(mut stream: TcpStream, gate: &(Mutex<Gate>, Condvar)) {
    let answer = reply("200 OK", "", b"hello from the floor\n");
    let _ = stream.set_nodelay(true);
    let (mut head, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(n) => head.extend_from_slice(buffer.get(..n).unwrap_or_default()),
        }
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        if head.split(|b| *b == b' ').nth(1).is_some_and(|target| target.starts_with(HELD.as_bytes())) {
            let (lock, changed) = gate;
            let mut gate = lock.lock().unwrap_or_else(PoisonError::into_inner);
            gate.held += 1;
            changed.notify_all();
            let releases = gate.releases;
            drop(changed.wait_while(gate, |g| g.releases == releases));
        }
        head.clear();
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}
