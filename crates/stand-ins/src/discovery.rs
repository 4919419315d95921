//! A fake discovery service, which answers polls and watches with the whole list of backends.

use crate::http::{Message, reply};
use crate::{PATIENCE, loopback};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An entry of the list.
pub fn target(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// Entries in state `up` for all `addresses`, named by their position.
pub fn all_up(addresses: &[SocketAddr]) -> Vec<Value> {
    addresses.iter().enumerate().map(|(n, a)| target(&format!("s-{n}"), *a, "up")).collect()
}

#[derive(Default)]
struct ListState {
    rev: u64,
    targets: Vec<Value>,
    silent: bool,
    /// Incremented to lose the open calls: they are never answered.
    losses: u32,
    /// Time until an answer begins.
    delay: Duration,
    /// Calls end with 503 after this time.
    fails_after: Option<Duration>,
    /// Only this many more calls do; none for all.
    failures_left: Option<u32>,
    /// A whole list with its revision that is sent once, at once, in place of the current one.
    late_list: Option<(u64, Vec<Value>)>,
    hasty: bool,
    calls: u32,
    /// Highest revision that a caller has reported as received.
    acknowledged_rev: u64,
}

/// A fake discovery service that always sends the whole list.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<(Mutex<ListState>, Condvar)>,
    /// The address that it listens at.
    pub address: SocketAddr,
}

impl ListState {
    /// After which time a call that comes now ends with 503; none if it is answered.
    fn take_failure(&mut self) -> Option<Duration> {
        let wait = self.fails_after?;
        match &mut self.failures_left {
            Some(0) => self.fails_after = None,
            Some(left) => *left -= 1,
            None => {}
        }
        self.fails_after.map(|_| wait)
    }
}

impl Discovery {
    /// Starts a service with this list on a free port.
    pub fn start(targets: Vec<Value>) -> Discovery {
        Discovery::start_at(loopback(0), targets)
    }

    /// Starts a service with this list at an address.
    pub fn start_at(address: SocketAddr, targets: Vec<Value>) -> Discovery {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let state = ListState { rev: 1, targets, ..ListState::default() };
        let discovery = Discovery { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let service = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let service = service.clone();
                thread::spawn(move || service.serve_connection(stream.unwrap()));
            }
        });
        discovery
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = Message::read(&mut reader) {
            let number = |name: &str| {
                let (_, rest) = message.first_line.split_once(name)?;
                rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
            };
            let after = number("after=").unwrap_or(0);
            let end = Instant::now() + Duration::from_millis(number("wait_ms=").unwrap_or(0));
            let (lock, changed) = &*self.state;
            let mut state = lock.lock().unwrap();
            state.calls += 1;
            state.acknowledged_rev = state.acknowledged_rev.max(after);
            let losses = state.losses;
            changed.notify_all();
            if let Some(wait) = state.take_failure() {
                drop(state);
                thread::sleep(wait);
                let _ = stream.write_all(&reply("503 Service Unavailable", "", b""));
                return;
            }
            let has_news =
                |state: &ListState| state.hasty || state.late_list.is_some() || state.rev > after;
            while state.silent || (!has_news(&state) && Instant::now() < end) {
                if state.fails_after.is_some() {
                    // When discovery goes down, watches end.
                    return;
                }
                state = changed.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
            }
            if state.losses != losses {
                drop(state);
                // The connection stays open until the caller closes it.
                let _ = Message::read(&mut reader);
                return;
            }
            if let Some((rev, targets)) = state.late_list.take() {
                drop(state);
                let body = json!({"rev": rev, "all": true, "targets": targets}).to_string();
                if stream.write_all(&reply("200 OK", "", body.as_bytes())).is_err() {
                    return;
                }
                continue;
            }
            let changed_since = state.rev > after;
            let targets = if changed_since { state.targets.clone() } else { Vec::new() };
            let body = json!({"rev": state.rev, "all": changed_since, "targets": targets}).to_string();
            let delay = state.delay;
            drop(state);
            thread::sleep(delay);
            if stream.write_all(&reply("200 OK", "", body.as_bytes())).is_err() {
                return;
            }
        }
    }

    /// Replaces the list and notifies watchers.
    pub fn set(&self, targets: Vec<Value>) {
        let mut state = self.state.0.lock().unwrap();
        state.rev += 1;
        state.targets = targets;
        self.state.1.notify_all();
    }

    /// Stops answering, or resumes. Calls that were open meanwhile are never answered.
    pub fn silent(&self, silent: bool) {
        let mut state = self.state.0.lock().unwrap();
        state.silent = silent;
        state.losses += 1;
        self.state.1.notify_all();
    }

    /// Goes down: watches end, and each call ends with 503 at once.
    pub fn fail_calls(&self) {
        let mut state = self.state.0.lock().unwrap();
        (state.fails_after, state.failures_left) = (Some(Duration::ZERO), None);
        self.state.1.notify_all();
    }

    /// Comes back with a list, and crowded: the next call ends with 503 after `wait`, and later ones are answered.
    pub fn return_crowded(&self, targets: Vec<Value>, wait: Duration) {
        self.set(targets);
        let mut state = self.state.0.lock().unwrap();
        (state.fails_after, state.failures_left) = (Some(wait), Some(1));
    }

    /// Never answers the calls that are open now; later ones are answered.
    pub fn lose_open_calls(&self) {
        self.state.0.lock().unwrap().losses += 1;
        self.state.1.notify_all();
    }

    /// Begins each answer only after this time.
    pub fn delay(&self, delay: Duration) {
        self.state.0.lock().unwrap().delay = delay;
    }

    /// Answers one call with an older whole list, at once; the answers after it begin only after `delay`.
    pub fn send_late_list(&self, targets: Vec<Value>, delay: Duration) {
        let mut state = self.state.0.lock().unwrap();
        state.late_list = Some((state.rev - 1, targets));
        state.delay = delay;
        self.state.1.notify_all();
    }

    /// Replaces the list in the moment in which a silent service answers again.
    pub fn resume_with(&self, targets: Vec<Value>) {
        self.set(targets);
        self.silent(false);
    }

    /// Answers watches at once even if nothing has changed.
    pub fn hasty(&self, hasty: bool) {
        self.state.0.lock().unwrap().hasty = hasty;
    }

    /// Waits until a caller asks for changes after the current revision, which shows that it has the current
    /// list. False if none does in time.
    pub fn is_heard(&self) -> bool {
        let (lock, changed) = &*self.state;
        let Ok(state) = lock.lock() else { return false };
        let waited = changed.wait_timeout_while(state, PATIENCE / 5, |s| s.acknowledged_rev < s.rev);
        waited.is_ok_and(|(state, _)| state.acknowledged_rev >= state.rev)
    }

    /// Number of requests received so far.
    pub fn calls(&self) -> u32 {
        self.state.0.lock().unwrap().calls
    }
}
