//! Floor servers that cost little: one answer for every request, and for some only once it is let go. For measurements.

use crate::http::reply;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Requests whose target begins so wait until [`Quick::release`].
pub const HELD: &str = "/hold";

#[derive(Default)]
struct Gate {
    held: usize,
    /// How often it was opened: who waits does so for the next time.
    opened: u64,
}

/// The servers.
pub struct Quick {
    /// Where they listen.
    pub addresses: Vec<SocketAddr>,
    gate: Arc<(Mutex<Gate>, Condvar)>,
}

impl Quick {
    /// Starts so many.
    ///
    /// # Errors
    /// There is no place for one.
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
                    thread::spawn(move || converse(stream, &gate));
                }
            });
        }
        Ok(Quick { addresses, gate })
    }

    /// Waits until so many requests are held; false where they do not come.
    pub fn holds(&self, count: usize, patience: Duration) -> bool {
        let (lock, changed) = &*self.gate;
        let gate = lock.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = changed.wait_timeout_while(gate, patience, |g| g.held < count);
        waited.is_ok_and(|(gate, _)| gate.held >= count)
    }

    /// Lets go what is held.
    pub fn release(&self) {
        let (lock, changed) = &*self.gate;
        let mut gate = lock.lock().unwrap_or_else(PoisonError::into_inner);
        (gate.held, gate.opened) = (0, gate.opened + 1);
        changed.notify_all();
    }
}

/// Requests without a body, one after another.
fn converse(mut stream: TcpStream, gate: &(Mutex<Gate>, Condvar)) {
    let answer = reply("200 OK", "", b"hello from the floor\n");
    let _ = stream.set_nodelay(true);
    let (mut head, mut part) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return,
            Ok(n) => head.extend_from_slice(part.get(..n).unwrap_or_default()),
        }
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        if head.split(|b| *b == b' ').nth(1).is_some_and(|target| target.starts_with(HELD.as_bytes())) {
            let (lock, changed) = gate;
            let mut gate = lock.lock().unwrap_or_else(PoisonError::into_inner);
            gate.held += 1;
            changed.notify_all();
            let opened = gate.opened;
            drop(changed.wait_while(gate, |g| g.opened == opened));
        }
        head.clear();
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}
