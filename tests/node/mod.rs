//! A node under test: the real binary, with small fake backends, discovery and clients on loopback.
#![allow(dead_code)]

use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for anything that should happen.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// Waits until `done`, for `PATIENCE` at most.
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Longer than a connection to a backend must be quiet for after an answer to be used again.
pub fn quiet_moment() {
    thread::sleep(Duration::from_millis(50));
}

/// A socket that connects, as the system lists it.
pub const SYN_SENT: &str = "02";

/// Some socket is connected, or connecting, to `remote` and in that state.
pub fn tcp_state(remote: SocketAddr, state: &str) -> bool {
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    sockets.contains(&format!(":{:04X} {state}", remote.port()))
}

/// An address of this process's own with a port that nothing listens on.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    let ip = Ipv4Addr::new(127, 64 + (pid % 64) as u8, (pid / 64 % 256) as u8, (n % 250 + 1) as u8);
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}

/// One HTTP message as it came.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn read(stream: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if message.first_line.is_empty() {
                message.first_line = line.to_owned();
            } else if line.is_empty() {
                break;
            } else {
                let (name, value) = line.split_once(':')?;
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        let length = message.headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// What a fake backend does with a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Writes this and goes on.
    Say(Vec<u8>),
    /// Writes this and closes.
    SayAndClose(Vec<u8>),
    /// Writes this and closes a moment after the other side has read it.
    SayAndCloseLater(Vec<u8>),
    /// Writes this, and the rest so much later.
    SayAndThen(Vec<u8>, Duration, Vec<u8>),
    /// Keeps the connection open and says nothing.
    Silent,
}

pub fn reply(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn ok(body: &[u8]) -> Act {
    Act::Say(reply("200 OK", "", body))
}

type Script = Arc<dyn Fn(usize, &Message) -> Act + Send + Sync>;

/// Fake backends that share one script and one record of what they were sent.
#[derive(Clone, Default)]
pub struct Record {
    pub seen: Arc<Mutex<Vec<Message>>>,
    pub opened: Arc<AtomicU32>,
    pub closed: Arc<AtomicU32>,
}

impl Record {
    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }

    pub fn open_now(&self) -> u32 {
        self.opened.load(Ordering::SeqCst) - self.closed.load(Ordering::SeqCst)
    }
}

/// Starts a backend. `script` gets the number of the request over all backends of the record, from 0.
pub fn backend(
    record: &Record,
    script: impl Fn(usize, &Message) -> Act + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    backend_on(listener, record, Arc::new(script));
    address
}

/// `count` backends with one script.
pub fn backends(
    count: usize,
    record: &Record,
    script: impl Fn(usize, &Message) -> Act + Send + Sync + 'static,
) -> Vec<SocketAddr> {
    let script: Script = Arc::new(script);
    (0..count)
        .map(|_| {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
            let address = listener.local_addr().unwrap();
            backend_on(listener, record, script.clone());
            address
        })
        .collect()
}

fn backend_on(listener: TcpListener, record: &Record, script: Script) {
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let (record, script) = (record.clone(), script.clone());
            record.opened.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut stream = stream;
                while let Some(message) = Message::read(&mut reader) {
                    let n = {
                        let mut seen = record.seen.lock().unwrap();
                        seen.push(message.clone());
                        seen.len() - 1
                    };
                    match script(n, &message) {
                        Act::Say(bytes) => drop(stream.write_all(&bytes)),
                        Act::SayAndClose(bytes) => {
                            let _ = stream.write_all(&bytes);
                            break;
                        }
                        Act::SayAndCloseLater(bytes) => {
                            let _ = stream.write_all(&bytes);
                            thread::sleep(Duration::from_millis(50));
                            break;
                        }
                        Act::SayAndThen(bytes, wait, rest) => {
                            let _ = stream.write_all(&bytes);
                            thread::sleep(wait);
                            let _ = stream.write_all(&rest);
                        }
                        Act::Silent => {}
                    }
                }
                drop((stream, reader));
                record.closed.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
}

pub fn target(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// All of `addresses`, up, named by their place.
pub fn all_up(addresses: &[SocketAddr]) -> Vec<Value> {
    addresses.iter().enumerate().map(|(n, a)| target(&format!("s-{n}"), *a, "up")).collect()
}

#[derive(Default)]
struct ListState {
    rev: u64,
    targets: Vec<Value>,
    silent: bool,
    hasty: bool,
    calls: u32,
}

/// A fake discovery that always tells the whole list.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<(Mutex<ListState>, Condvar)>,
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(targets: Vec<Value>) -> Discovery {
        Discovery::start_at(loopback(0), targets)
    }

    pub fn start_at(address: SocketAddr, targets: Vec<Value>) -> Discovery {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let state = ListState { rev: 1, targets, ..ListState::default() };
        let discovery = Discovery { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let own = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let own = own.clone();
                thread::spawn(move || own.converse(stream.unwrap()));
            }
        });
        discovery
    }

    fn converse(&self, mut stream: TcpStream) {
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
            while state.silent || (!state.hasty && state.rev <= after && Instant::now() < end) {
                state = changed.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
            }
            let fresh = state.rev > after;
            let targets = if fresh { state.targets.clone() } else { Vec::new() };
            let body = json!({"rev": state.rev, "all": fresh, "targets": targets}).to_string();
            drop(state);
            if stream.write_all(&reply("200 OK", "", body.as_bytes())).is_err() {
                return;
            }
        }
    }

    pub fn set(&self, targets: Vec<Value>) {
        let mut state = self.state.0.lock().unwrap();
        state.rev += 1;
        state.targets = targets;
        self.state.1.notify_all();
    }

    pub fn silent(&self, silent: bool) {
        self.state.0.lock().unwrap().silent = silent;
        self.state.1.notify_all();
    }

    /// Answers watches at once, news or not.
    pub fn hasty(&self, hasty: bool) {
        self.state.0.lock().unwrap().hasty = hasty;
    }

    /// Calls that were made so far.
    pub fn calls(&self) -> u32 {
        self.state.0.lock().unwrap().calls
    }
}

pub fn settings() -> Value {
    json!({
        "areas": ["a", "b"], "zone": "a", "instances": 1, "slotNo": 0, "tickMs": 5.0,
        "membershipMode": "pushed",
        "classes": [
            {"name": "page", "semantics": "idempotent", "objectiveMs": 1500, "hardLimitMs": 4000, "value": 5},
            {"name": "bid", "semantics": "at_most_once", "objectiveMs": 500, "hardLimitMs": 900, "value": 10},
            {"name": "pay", "semantics": "deduplicated", "group": "all", "keyTtlMs": 5000,
             "objectiveMs": 1500, "hardLimitMs": 4000, "value": 10},
        ],
        "limits": {"attemptsCap": 4, "connIdleMs": 15000.0, "connectTimeoutMs": 300.0, "mayCancel": true,
                   "maxRetryAfterMs": 2000.0, "maxStreams": 1, "openCap": 20000, "peerMessages": true,
                   "probing": true, "retryAfter": true, "secondCopies": true},
        "rules": {"coldMs": 22000.0, "startCapacity": 0.14, "fallMultiple": 3.0, "fallMs": 1500.0,
                  "drainGraceMs": 500.0, "mustAskInMs": 10000.0}
    })
}

/// A running node; it is killed when dropped.
pub struct Node {
    pub address: SocketAddr,
    child: Child,
    file: std::path::PathBuf,
    config: Value,
}

impl Node {
    /// Starts one and waits until it says it can serve.
    pub fn start(discovery: SocketAddr, change: impl FnOnce(&mut Value)) -> Node {
        let node = Node::launch(discovery, change, "exec \"$0\"");
        wait_for("/up is 200", || node.up() == 200);
        node
    }

    /// Starts one by a shell command in which `$0` is the program.
    pub fn launch(discovery: SocketAddr, change: impl FnOnce(&mut Value), command: &str) -> Node {
        let address = free_address();
        let mut config = json!({
            "name": "n0", "listen": address.to_string(), "discovery": discovery.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 0, "all": true, "targets": []}, "settings": settings()
        });
        change(&mut config);
        let name = format!("applemill-test-{}-{}.json", std::process::id(), address.ip());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, config.to_string()).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", command, env!("CARGO_BIN_EXE_applemill")])
            .env("LB_CONFIG", &file)
            .env("LB_DISCOVERY", discovery.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        Node { address, child, file, config }
    }

    /// Replaces the configuration and has it read.
    pub fn reload(&mut self, discovery: SocketAddr) {
        self.config["discovery"] = discovery.to_string().into();
        self.reload_text(&self.config.to_string());
    }

    /// The same with any text.
    pub fn reload_text(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal("-HUP");
    }

    pub fn up(&self) -> u16 {
        attempt(self.address, b"GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
            .map_or(0, |m| m.status())
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Memory that it has in use.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Clock ticks of CPU used so far.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    pub fn running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for its end.
    pub fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the node ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// What it wrote; it must have ended.
    pub fn log(&mut self) -> String {
        let mut text = String::new();
        self.child.stderr.take().unwrap().read_to_string(&mut text).unwrap();
        text
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        Client::try_connect(address).unwrap()
    }

    pub fn try_connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let reader = BufReader::new(stream.try_clone().unwrap());
        Some(Client { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// The answer, if a whole one comes.
    pub fn answer(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    pub fn ask(&mut self, bytes: &[u8]) -> Message {
        assert!(self.send(bytes));
        self.answer().expect("an answer")
    }
}

/// One request on a connection of its own.
pub fn attempt(address: SocketAddr, bytes: &[u8]) -> Option<Message> {
    let mut client = Client::try_connect(address)?;
    client.send(bytes);
    client.answer()
}

pub fn ask(address: SocketAddr, bytes: &[u8]) -> Message {
    attempt(address, bytes).expect("an answer")
}

/// A request of a class, in the protocol's form.
pub fn request(class: &str, expires_ms: u64) -> Vec<u8> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let head = format!(
        "Host: api.internal\r\nX-Trace-Id: {n:016x}\r\nX-Qos: {class}\r\nX-Expires-In-Ms: {expires_ms}\r\nX-Object: o{n}\r\n"
    );
    match class {
        "page" => format!("GET /api HTTP/1.1\r\n{head}\r\n"),
        "pay" => {
            format!(
                "POST /api HTTP/1.1\r\n{head}Idempotency-Key: {n:032x}\r\nContent-Length: 4\r\n\r\nbody"
            )
        }
        _ => format!("POST /api HTTP/1.1\r\n{head}Content-Length: 4\r\n\r\nbody"),
    }
    .into_bytes()
}

/// Plays requests of one class side by side, each on a connection of its own: `at_once` of them at a time.
pub fn play_many(node: &Node, class: &str, given_ms: u64, count: usize, at_once: usize) -> Vec<u16> {
    let address = node.address;
    let mut statuses = Vec::new();
    for _ in 0..count.div_ceil(at_once) {
        let asking: Vec<_> = (0..at_once)
            .map(|_| {
                let bytes = request(class, given_ms);
                thread::spawn(move || attempt(address, &bytes).map_or(0, |m| m.status()))
            })
            .collect();
        statuses.extend(asking.into_iter().map(|a| a.join().unwrap()));
    }
    statuses
}

pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}
