//! A node as its operator has it: the real program, its configuration file, its signals, its figures.

use crate::client::attempt;
use crate::tunnel::Tunnel;
use crate::{PATIENCE, free_address, wait_for};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// Settings of a small deployment: pages are safe, bids unsafe, payments keyed.
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

/// The program under test: `APPLEMILL_PROGRAM`, or what cargo has built beside this process.
pub fn program() -> PathBuf {
    if let Some(program) = std::env::var_os("APPLEMILL_PROGRAM") {
        return program.into();
    }
    let own = std::env::current_exe().unwrap_or_default();
    let beside = own.ancestors().skip(1).take(2).map(|folder| folder.join("applemill"));
    beside.into_iter().find(|p| p.is_file()).unwrap_or_else(|| "applemill".into())
}

/// CPU that a process has used so far, as the scheduler counts it: to the nanosecond, and not in clock ticks.
///
/// # Errors
/// The system does not say.
pub fn cpu_of(pid: u32) -> std::io::Result<Duration> {
    let mut used = 0;
    for task in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
        let figure = text.split_whitespace().next().and_then(|f| f.parse::<u64>().ok());
        used += figure.ok_or_else(|| std::io::Error::other("schedstat has no figure"))?;
    }
    Ok(Duration::from_nanos(used))
}

/// The file by which a node listens at an address, by TLS where there is a tunnel to it.
fn own_file(text: &str, listens: SocketAddr, tunnel: Option<&Tunnel>) -> String {
    let text = tunnel.map_or_else(|| text.to_owned(), |t| t.file(text));
    text.replace("LISTEN", &listens.to_string())
}

/// A running node; it is killed when dropped.
pub struct Node {
    /// Where clients connect.
    pub address: SocketAddr,
    child: Child,
    file: PathBuf,
    config: Value,
    /// Where it listens, and the tunnel to it where a test is played by TLS.
    listens: SocketAddr,
    tunnel: Option<Tunnel>,
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
            .args(["-c", command, &program().to_string_lossy()])
            .env("LB_CONFIG", &file)
            .env("LB_DISCOVERY", discovery.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        Node { address, child, file, config, listens: address, tunnel: None }
    }

    /// Starts one on an operator's file alone, in which `LISTEN` stands for its address.
    pub fn start_by_file(text: &str) -> Node {
        let node = Node::launch_by_file(text);
        wait_for("/up is 200", || node.up() == 200);
        node
    }

    /// The same without waiting.
    pub fn launch_by_file(text: &str) -> Node {
        let mut command = Command::new(program());
        command.stderr(Stdio::piped());
        Node::run_file(command, text).unwrap()
    }

    /// The same of any program that takes the node's arguments.
    ///
    /// # Errors
    /// The file cannot be written, or the program not started.
    pub fn run_file(mut command: Command, text: &str) -> std::io::Result<Node> {
        let listens = free_address();
        let name = format!("applemill-{}-{}.toml", std::process::id(), listens.ip());
        let file = std::env::temp_dir().join(name);
        let tunnel = Tunnel::wanted(listens)?;
        std::fs::write(&file, own_file(text, listens, tunnel.as_ref()))?;
        command.args(["run", "--config"]).arg(&file).env_remove("LB_CONFIG").env_remove("LB_OPERATOR");
        match command.spawn() {
            Ok(child) => {
                let address = tunnel.as_ref().map_or(listens, |t| t.address);
                Ok(Node { address, child, file, config: Value::Null, listens, tunnel })
            }
            Err(e) => {
                let _ = std::fs::remove_file(&file);
                Err(e)
            }
        }
    }

    /// A node by both: the platform's configuration, and an operator's file beside it. `program` takes the node's
    /// arguments.
    ///
    /// # Errors
    /// A file cannot be written, or the program not started.
    pub fn run_both(mut program: Command, mut config: Value, text: &str) -> std::io::Result<Node> {
        let address = free_address();
        let name = format!("applemill-{}-{}.toml", std::process::id(), address.ip());
        let file = std::env::temp_dir().join(name);
        let platform = file.with_extension("json");
        std::fs::write(&file, text)?;
        config["listen"] = address.to_string().into();
        std::fs::write(&platform, config.to_string())?;
        program.env("LB_CONFIG", &platform).env("LB_OPERATOR", &file).env_remove("LB_DISCOVERY");
        Ok(Node { address, child: program.spawn()?, file, config, listens: address, tunnel: None })
    }

    /// Waits until it can serve.
    ///
    /// # Errors
    /// It has ended, or is not ready after [`PATIENCE`].
    pub fn get_ready(&mut self) -> std::io::Result<()> {
        let begun = Instant::now();
        while self.up() != 200 {
            if begun.elapsed() > PATIENCE || self.child.try_wait()?.is_some() {
                return Err(std::io::Error::other("the node did not get ready"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// CPU that it has used so far; as [`cpu_of`].
    ///
    /// # Errors
    /// The system does not say.
    pub fn cpu(&self) -> std::io::Result<Duration> {
        cpu_of(self.id())
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Where its file is.
    pub fn file(&self) -> &Path {
        &self.file
    }

    /// Replaces the operator's file and has it read.
    pub fn reload_file(&self, text: &str) {
        self.reload_text(&own_file(text, self.listens, self.tunnel.as_ref()));
    }

    /// Has whatever is at its file's place read.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    /// Lines of its log, as they come.
    pub fn log_lines(&mut self) -> Receiver<String> {
        let (sender, lines) = std::sync::mpsc::channel();
        if let Some(log) = self.child.stderr.take() {
            std::thread::spawn(move || {
                for line in BufReader::new(log).lines().map_while(Result::ok) {
                    if sender.send(line).is_err() {
                        return;
                    }
                }
            });
        }
        lines
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

    /// The status of `/up`; 0 where nothing answers.
    pub fn up(&self) -> u16 {
        attempt(self.address, b"GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
            .map_or(0, |m| m.status())
    }

    /// File descriptors that it holds.
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

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Stops its process where it is.
    pub fn halt(&self) {
        self.signal("-STOP");
    }

    /// Lets it go on.
    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// It has not ended.
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
        let _ = std::fs::remove_file(self.file.with_extension("json"));
        // A test may have put a folder in its place.
        let _ = std::fs::remove_file(&self.file).or_else(|_| std::fs::remove_dir(&self.file));
    }
}
