//! A floor server with a number of cores and a FIFO queue. Requests beyond the queue are rejected and never
//! run.

use crate::floor::{Act, ok, serve};
use crate::http::reply;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

#[derive(Default)]
struct Queue {
    /// Number of the next request.
    next: u64,
    /// Number of the first request that may not run yet.
    run_limit: u64,
}

/// Counts of the servers that share it.
#[derive(Clone, Default)]
pub struct Work {
    /// Requests that ran.
    pub ran: Arc<AtomicU64>,
    /// Requests rejected because the queue was full.
    pub full: Arc<AtomicU64>,
}

/// Starts a server. `takes` gives the duration of the n-th accepted request, from 0.
///
/// # Errors
/// The server cannot listen.
pub fn queued(
    cores: u64,
    queue: u64,
    work: &Work,
    takes: impl Fn(u64) -> Duration + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let shared_queue = Arc::new((Mutex::new(Queue { next: 0, run_limit: cores }), Condvar::new()));
    let (work, takes) = (work.clone(), Arc::new(takes));
    serve(listener, move || {
        let (shared_queue, work, takes) = (shared_queue.clone(), work.clone(), takes.clone());
        move |_: &_| {
            let (state, advanced) = &*shared_queue;
            let number = {
                let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
                if state.next >= state.run_limit + queue {
                    work.full.fetch_add(1, Relaxed);
                    return Act::Say(reply("503 Service Unavailable", "X-Never-Ran: 1\r\n", b"full"));
                }
                state.next += 1;
                let number = state.next - 1;
                while number >= state.run_limit {
                    state = advanced.wait(state).unwrap_or_else(PoisonError::into_inner);
                }
                number
            };
            work.ran.fetch_add(1, Relaxed);
            thread::sleep(takes(number));
            state.lock().unwrap_or_else(PoisonError::into_inner).run_limit += 1;
            advanced.notify_all();
            ok(b"lot")
        }
    });
    Ok(address)
}
