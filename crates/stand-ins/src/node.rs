//! Runs the real node program: its configuration file, its signals, and its resource use.

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

/// Settings of a small deployment: pages are idempotent, bids run at most once, payments are deduplicated by
/// key.
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

/// The program under test: `APPLEMILL_PROGRAM`, or the one that cargo built next to this executable.
pub fn program() -> PathBuf {
    if let Some(program) = std::env::var_os("APPLEMILL_PROGRAM") {
        return program.into();
    }
    let executable = std::env::current_exe().unwrap_or_default();
    let mut candidates = executable.ancestors().skip(1).take(2).map(|folder| folder.join("applemill"));
    candidates.find(|p| p.is_file()).unwrap_or_else(|| "applemill".into())
}

/// CPU time that a process has used so far, from `schedstat`: in nanoseconds rather than clock ticks.
///
/// # Errors
/// The process's `schedstat` files cannot be read.
pub fn cpu_of(pid: u32) -> std::io::Result<Duration> {
    let mut used = 0;
    for task in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
        let run_time_ns = text.split_whitespace().next().and_then(|f| f.parse::<u64>().ok());
        used += run_time_ns.ok_or_else(|| std::io::Error::other("schedstat has no run time"))?;
    }
    Ok(Duration::from_nanos(used))
}

/// Fills the listen address into an operator's file, with TLS if clients reach the node through a tunnel.
fn fill_in_file(text: &str, listens: SocketAddr, tunnel: Option<&Tunnel>) -> String {
    let text = tunnel.map_or_else(|| text.to_owned(), |t| t.file(text));
    text.replace("LISTEN", &listens.to_string())
}

/// A running node process, which is killed on drop.
pub struct Node {
    /// Where clients connect.
    pub address: SocketAddr,
    child: Child,
    file: PathBuf,
    config: Value,
    /// Where the node listens. Differs from `address` if clients reach it through a TLS tunnel.
    listens: SocketAddr,
    tunnel: Option<Tunnel>,
}

impl Node {
    /// Starts a node and waits until `/up` answers 200.
    pub fn start(discovery: SocketAddr, change: impl FnOnce(&mut Value)) -> Node {
        let node = Node::launch(discovery, change, "exec \"$0\"");
        wait_for("/up is 200", || node.up() == 200);
        node
    }

    /// Starts a node by a shell command in which `$0` is the program, without waiting until it is ready.
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

    /// Starts a node on an operator's file alone, in which `LISTEN` stands for its address, and waits until
    /// it is ready.
    pub fn start_by_file(text: &str) -> Node {
        let node = Node::launch_by_file(text);
        wait_for("/up is 200", || node.up() == 200);
        node
    }

    /// Like [`Self::start_by_file`], without waiting until the node is ready.
    pub fn launch_by_file(text: &str) -> Node {
        let mut command = Command::new(program());
        command.stderr(Stdio::piped());
        Node::run_file(command, text).unwrap()
    }

    /// Runs any program that takes the node's arguments on an operator's file, without waiting until it is
    /// ready.
    ///
    /// # Errors
    /// The file cannot be written, or the program cannot be started.
    pub fn run_file(mut command: Command, text: &str) -> std::io::Result<Node> {
        let listens = free_address();
        let name = format!("applemill-{}-{}.toml", std::process::id(), listens.ip());
        let file = std::env::temp_dir().join(name);
        let tunnel = Tunnel::start_if_enabled(listens)?;
        std::fs::write(&file, fill_in_file(text, listens, tunnel.as_ref()))?;
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

    /// Runs a node on the platform's configuration together with an operator's file. `program` takes the
    /// node's arguments.
    ///
    /// # Errors
    /// A file cannot be written, or the program cannot be started.
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

    /// Waits until `/up` answers 200.
    ///
    /// # Errors
    /// The process has ended, or is not ready after [`PATIENCE`].
    pub fn get_ready(&mut self) -> std::io::Result<()> {
        let started = Instant::now();
        while self.up() != 200 {
            if started.elapsed() > PATIENCE || self.child.try_wait()?.is_some() {
                return Err(std::io::Error::other("the node ended or was not ready in time"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// CPU time used so far, as [`cpu_of`].
    ///
    /// # Errors
    /// As [`cpu_of`].
    pub fn cpu(&self) -> std::io::Result<Duration> {
        cpu_of(self.id())
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The path of the configuration file.
    pub fn file(&self) -> &Path {
        &self.file
    }

    /// Replaces the operator's file and makes the node reload it (SIGHUP).
    pub fn reload_file(&self, text: &str) {
        self.reload_text(&fill_in_file(text, self.listens, self.tunnel.as_ref()));
    }

    /// Sends SIGHUP, which makes the node reload its file from disk.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    /// Follows the log on stderr, line by line.
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

    /// Sets the address of discovery in the platform's configuration and makes the node reload it.
    pub fn reload(&mut self, discovery: SocketAddr) {
        self.config["discovery"] = discovery.to_string().into();
        self.reload_text(&self.config.to_string());
    }

    /// Replaces the configuration file with any text and makes the node reload it.
    pub fn reload_text(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal("-HUP");
    }

    /// The status of `/up`; 0 if nothing answers.
    pub fn up(&self) -> u16 {
        attempt(self.address, b"GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
            .map_or(0, |m| m.status())
    }

    /// Number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Resident memory.
    pub fn memory_kb(&self) -> u64 {
        self.status_kb("VmRSS")
    }

    /// The most resident memory that the process has had.
    pub fn peak_memory_kb(&self) -> u64 {
        self.status_kb("VmHWM")
    }

    fn status_kb(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// CPU time used so far, user and system, in clock ticks.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Suspends the process (SIGSTOP).
    pub fn halt(&self) {
        self.signal("-STOP");
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Whether the process has not ended yet.
    pub fn running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits until the process ends, and returns its exit status.
    pub fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the node ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// Everything written to stderr. The process must have ended.
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
        // A test may have replaced the file by a folder.
        let _ = std::fs::remove_file(&self.file).or_else(|_| std::fs::remove_dir(&self.file));
    }
}
