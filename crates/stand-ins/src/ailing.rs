//! A floor whose servers answer bids correctly and fail at requests whose path asks for a failure, so that
//! the request causes it.

use crate::http::{Message, reply};
use crate::{Client, PATIENCE};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Failures that a request can cause, named by the first segment of its path, or by the segment after `/at/N`
/// for server N only.
pub const AILS: [&str; 5] = ["cut", "reset", "hang", "error", "crash"];
/// Time until a crashed server listens again.
const RESTART_DELAY: Duration = Duration::from_millis(100);

#[derive(Default)]
struct Server {
    /// Open connections, which a crash closes.
    open: Mutex<Vec<TcpStream>>,
    crashes: AtomicBool,
    /// Failure of all requests, whatever their path.
    broken: Mutex<Option<&'static str>>,
    served: AtomicU64,
    failed: AtomicU64,
}

/// The servers of the floor.
pub struct Ailing {
    /// Addresses of the servers.
    pub addresses: Vec<SocketAddr>,
    servers: Vec<Arc<Server>>,
    /// Whether all failures are switched off.
    well: Arc<AtomicBool>,
    /// Tells the server threads to end.
    stopping: Arc<AtomicBool>,
}

impl Ailing {
    /// Starts `count` servers on free ports.
    ///
    /// # Errors
    /// A server cannot listen.
    pub fn start(count: usize) -> std::io::Result<Ailing> {
        let mut floor = Ailing {
            addresses: Vec::new(),
            servers: Vec::new(),
            well: Arc::default(),
            stopping: Arc::default(),
        };
        for number in 0..count {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            floor.addresses.push(listener.local_addr()?);
            let server = Arc::<Server>::default();
            floor.servers.push(server.clone());
            let (well, stopping) = (floor.well.clone(), floor.stopping.clone());
            thread::spawn(move || run_server(listener, number, &server, &well, &stopping));
        }
        Ok(floor)
    }

    /// Switches all failures off (true) or on again (false).
    pub fn be_well(&self, well: bool) {
        self.well.store(well, SeqCst);
    }

    /// Makes one server fail in this way at all requests from now on.
    pub fn break_down(&self, number: usize, failure: &'static str) {
        if let Some(server) = self.servers.get(number) {
            *server.broken.lock().unwrap_or_else(PoisonError::into_inner) = Some(failure);
        }
    }

    /// Number of requests served and of requests failed, over all servers.
    pub fn counts(&self) -> (u64, u64) {
        let sum = |of: fn(&Server) -> &AtomicU64| self.servers.iter().map(|s| of(s).load(SeqCst)).sum();
        (sum(|s| &s.served), sum(|s| &s.failed))
    }

    /// Number of requests served and of requests failed by one server.
    pub fn counts_of(&self, number: usize) -> (u64, u64) {
        self.servers.get(number).map_or((0, 0), |s| (s.served.load(SeqCst), s.failed.load(SeqCst)))
    }
}

impl Drop for Ailing {
    fn drop(&mut self) {
        self.stopping.store(true, SeqCst);
        self.servers.iter().for_each(|s| s.close_all());
    }
}

impl Server {
    /// Closes all connections.
    fn close_all(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Runs a server, which after a crash restarts at the same address.
fn run_server(
    listener: TcpListener,
    number: usize,
    server: &Arc<Server>,
    well: &Arc<AtomicBool>,
    stopping: &AtomicBool,
) {
    let Ok(address) = listener.local_addr() else { return };
    let mut next = Some(listener);
    while !stopping.load(SeqCst) {
        let listener = match next.take() {
            Some(listener) => listener,
            None => {
                thread::sleep(RESTART_DELAY);
                match TcpListener::bind(address) {
                    Ok(listener) => listener,
                    Err(_) => continue,
                }
            }
        };
        let _ = listener.set_nonblocking(true);
        while !stopping.load(SeqCst) && !server.crashes.swap(false, SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if let (Ok(copy), Ok(mut open)) = (stream.try_clone(), server.open.lock()) {
                        open.push(copy);
                    }
                    let (server, well) = (server.clone(), well.clone());
                    thread::spawn(move || serve_connection(stream, number, &server, &well));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        drop(listener);
        server.close_all();
    }
}

fn serve_connection(mut stream: TcpStream, number: usize, server: &Server, well: &AtomicBool) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(message) = Message::read(&mut reader) {
        let target = message.first_line.split(' ').nth(1).unwrap_or_default().to_owned();
        let mut segments = target.split('/').skip(1);
        let failure = match segments.next() {
            Some("at") => {
                let this_server = segments.next().and_then(|n| n.parse().ok()) == Some(number);
                segments.next().filter(|_| this_server).unwrap_or_default()
            }
            first => first.unwrap_or_default(),
        };
        let broken = *server.broken.lock().unwrap_or_else(PoisonError::into_inner);
        let failure = broken.unwrap_or(failure);
        let fails = AILS.contains(&failure) && !well.load(SeqCst);
        let count = if fails { &server.failed } else { &server.served };
        count.fetch_add(1, SeqCst);
        let answer = match failure {
            _ if !fails => reply("200 OK", "", b"sold\n"),
            "error" => reply("500 Broken", "", b""),
            "cut" => b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nlot".to_vec(),
            "hang" => {
                thread::sleep(PATIENCE);
                return;
            }
            "crash" => {
                server.crashes.store(true, SeqCst);
                thread::sleep(PATIENCE);
                return;
            }
            _ => Vec::new(),
        };
        if stream.write_all(&answer).is_err() || fails && failure != "error" {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Outcomes of requests, by the second in which they were due.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Asked {
    /// Requests due in each second.
    pub due: Vec<u64>,
    /// Requests served, by the second in which they were due.
    pub served: Vec<u64>,
    /// Times from when a request was due until it was served, in milliseconds.
    pub waits: Vec<f64>,
    /// Time from the start until the first request was served.
    pub first: Option<Duration>,
}

impl Asked {
    /// Fraction served of the requests due in the seconds `from..to`.
    pub fn share(&self, from: usize, to: usize) -> f64 {
        let sum = |all: &[u64]| all.iter().take(to).skip(from).sum::<u64>() as f64;
        sum(&self.served) / sum(&self.due).max(1.0)
    }

    fn add(&mut self, other: &Asked) {
        for (sums, added) in [(&mut self.due, &other.due), (&mut self.served, &other.served)] {
            sums.resize(sums.len().max(added.len()), 0);
            sums.iter_mut().zip(added).for_each(|(a, b)| *a += b);
        }
        self.waits.extend_from_slice(&other.waits);
        self.first = self.first.into_iter().chain(other.first).min();
    }
}

/// Sends requests on a fixed schedule, independent of the outcomes: `rate` per second over `clients`
/// connections until `end`. `bytes` builds a request from its number.
pub fn ask_at_pace(
    node: SocketAddr,
    rate: f64,
    clients: usize,
    end: Instant,
    bytes: impl Fn(u64) -> Vec<u8> + Sync,
) -> Asked {
    let started = Instant::now();
    let all = Mutex::new(Asked::default());
    thread::scope(|scope| {
        for n in 0..clients {
            let (all, bytes) = (&all, &bytes);
            let spawned = thread::Builder::new().stack_size(256 * 1024).spawn_scoped(scope, move || {
                let (mut client, mut outcomes) = (None, Asked::default());
                for turn in 0.. {
                    let number = turn * clients as u64 + n as u64;
                    let due = started + Duration::from_secs_f64(number as f64 / rate);
                    if due >= end {
                        break;
                    }
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    if client.is_none() {
                        client = Client::try_connect(node);
                    }
                    let answer = client.as_mut().and_then(|client| {
                        client.send(&bytes(number));
                        client.answer()
                    });
                    let second = due.duration_since(started).as_secs() as usize;
                    outcomes.due.resize(outcomes.due.len().max(second + 1), 0);
                    outcomes.served.resize(outcomes.due.len(), 0);
                    if let Some(count) = outcomes.due.get_mut(second) {
                        *count += 1;
                    }
                    if answer.as_ref().is_some_and(|a| a.status() == 200) {
                        if let Some(count) = outcomes.served.get_mut(second) {
                            *count += 1;
                        }
                        outcomes.first.get_or_insert(started.elapsed());
                        outcomes.waits.push(due.elapsed().as_secs_f64() * 1000.0);
                    }
                    if answer.is_none_or(|a| a.header("connection") == Some("close")) {
                        client = None;
                    }
                }
                all.lock().unwrap_or_else(PoisonError::into_inner).add(&outcomes);
            });
            drop(spawned);
        }
    });
    all.into_inner().unwrap_or_else(PoisonError::into_inner)
}
