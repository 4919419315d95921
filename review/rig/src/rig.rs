//! What all cases share: the record, the processes, free addresses, and a little HTTP.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// After this time the case gives up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

pub type Outcome = Result<bool, String>;

struct Inner {
    started: Instant,
    root: PathBuf,
    temporary: PathBuf,
    trouble: bool,
    record: Mutex<File>,
    children: Mutex<Vec<Child>>,
    /// Processes that programs of ours have started.
    others: Mutex<Vec<u32>>,
}

#[derive(Clone)]
pub struct Rig(Arc<Inner>);

impl Rig {
    pub fn new(root: &str, folder: &str) -> Rig {
        let record = File::create(Path::new(folder).join("record.txt"));
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let made = std::fs::create_dir_all(&temporary);
        let (Ok(record), Ok(())) = (record, made) else {
            eprintln!("no record or no temporary folder");
            std::process::exit(2);
        };
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let rig = Rig(Arc::new(Inner {
            started: Instant::now(),
            root: root.into(),
            temporary,
            trouble,
            record: Mutex::new(record),
            children: Mutex::default(),
            others: Mutex::default(),
        }));
        let watched = rig.clone();
        std::thread::spawn(move || {
            std::thread::sleep(TIME_LIMIT);
            watched.say("could not run: over the time limit");
            watched.end(2);
        });
        rig.say(if trouble { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
        rig
    }

    /// Whether the disruption is to happen.
    pub fn trouble(&self) -> bool {
        self.0.trouble
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.0.started.elapsed().as_secs_f64()
    }

    /// Writes a line to the record.
    pub fn say(&self, line: &str) {
        let mut record = self.0.record.lock().unwrap();
        let _ = writeln!(record, "{:8.3}  {line}", self.now());
    }

    pub fn temporary(&self, name: &str) -> PathBuf {
        self.0.temporary.join(name)
    }

    pub fn read_of_root(&self, name: &str) -> Result<String, String> {
        std::fs::read_to_string(self.0.root.join(name)).map_err(|e| format!("{name}: {e}"))
    }

    /// Starts a node by the deploy file's `run`, on an operator's file.
    pub fn start_node(&self, file: &Path) -> Result<u32, String> {
        let log = File::create(self.temporary("node.log")).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "exec target/release/applemill"]).current_dir(&self.0.root);
        command.env_remove("LB_CONFIG").env("LB_OPERATOR", file);
        let child = command.stdin(Stdio::null()).stderr(log).spawn().map_err(|e| e.to_string())?;
        let pid = child.id();
        self.say(&format!("node started by 'exec target/release/applemill', process {pid}"));
        self.0.children.lock().unwrap().push(child);
        Ok(pid)
    }

    /// Starts a node by the deploy file's `run`, on the platform's configuration.
    pub fn start_platform_node(
        &self,
        file: &Path,
        listens: SocketAddr,
        discovery: SocketAddr,
    ) -> Result<u32, String> {
        let log = File::create(self.temporary("node.log")).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "exec target/release/applemill"]).current_dir(&self.0.root);
        command.env_remove("LB_OPERATOR").env("LB_CONFIG", file).env("LB_NAME", "n0");
        command.env("LB_LISTEN", listens.to_string()).env("LB_DISCOVERY", discovery.to_string());
        let child = command.stdin(Stdio::null()).stderr(log).spawn().map_err(|e| e.to_string())?;
        let pid = child.id();
        self.say(&format!("node started by 'exec target/release/applemill', process {pid}"));
        self.0.children.lock().unwrap().push(child);
        Ok(pid)
    }

    /// Runs a command of the project's program to its end; returns its exit code and its output.
    pub fn command(&self, arguments: &[&str]) -> Result<(i32, String), String> {
        let mut command = Command::new(self.0.root.join("target/release/applemill"));
        command.args(arguments).current_dir(&self.0.root).env_remove("LB_CONFIG").env_remove("LB_OPERATOR");
        let log = File::create(self.temporary("command.log")).map_err(|e| e.to_string())?;
        let output = command.stdin(Stdio::null()).stderr(log).output().map_err(|e| e.to_string())?;
        let code = output.status.code().unwrap_or(-1);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        self.say(&format!("applemill {}: exit code {code}", arguments.join(" ")));
        let errors = std::fs::read_to_string(self.temporary("command.log")).unwrap_or_default();
        for line in text.lines().chain(errors.lines()) {
            self.say(&format!("    {line}"));
        }
        Ok((code, text))
    }

    /// Adds a process that a command has started, to be ended with the case.
    pub fn add_process(&self, pid: u32) {
        self.0.others.lock().unwrap().push(pid);
    }

    /// The exit status of a process that this rig has started; none if it runs.
    pub fn status_of(&self, pid: u32) -> Option<ExitStatus> {
        let mut children = self.0.children.lock().unwrap();
        children.iter_mut().find(|c| c.id() == pid)?.try_wait().ok()?
    }

    /// Waits until `/up` answers 200.
    pub fn wait_until_up(&self, address: SocketAddr) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let question = b"GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
            if let Exchange::Answered(200, _) = exchange(address, question, Duration::from_secs(1)) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err("the node was not ready in 20 s".into())
    }

    /// Ends all processes, removes the temporary folder and exits.
    pub fn end(&self, code: i32) -> ! {
        for pid in self.0.others.lock().unwrap().drain(..) {
            let command_line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
            if String::from_utf8_lossy(&command_line).contains("applemill") {
                let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {pid}")]).status();
                // It is not this program's child: wait until the system has removed it.
                let until = Instant::now() + Duration::from_secs(5);
                while Path::new(&format!("/proc/{pid}")).exists() && Instant::now() < until {
                    std::thread::sleep(Duration::from_millis(10));
                }
            }
        }
        for mut child in self.0.children.lock().unwrap().drain(..) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let log = std::fs::read_to_string(self.temporary("node.log")).unwrap_or_default();
        for line in log.lines() {
            self.say(&format!("log: {line}"));
        }
        let _ = std::fs::remove_dir_all(&self.0.temporary);
        let verdict = match code {
            0 => "the rule held",
            1 => "the rule was broken",
            _ => "the case could not run",
        };
        self.say(&format!("exit code {code}: {verdict}"));
        println!("{verdict}");
        std::process::exit(code);
    }
}

/// A loopback address that was free a moment ago.
pub fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

/// How a request on a connection of its own ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Exchange {
    /// There was no connection.
    NotConnected(String),
    /// The request was not written whole.
    NotWritten(String),
    /// A whole answer: its status and body.
    Answered(u16, Vec<u8>),
    /// The request was written whole, and there was no whole answer.
    NoAnswer(String),
}

/// Sends a request on a new connection and reads its answer, which must declare its length.
pub fn exchange(address: SocketAddr, request: &[u8], patience: Duration) -> Exchange {
    let until = Instant::now() + patience;
    let mut stream = match TcpStream::connect_timeout(&address, patience) {
        Ok(stream) => stream,
        Err(e) => return Exchange::NotConnected(e.to_string()),
    };
    if let Err(e) = stream.write_all(request) {
        return Exchange::NotWritten(e.to_string());
    }
    let mut got = Vec::new();
    loop {
        if let Some((head, begin)) = split_head(&got) {
            let length = header(&head, "content-length").and_then(|v| v.parse::<usize>().ok()).unwrap_or(0);
            if got.len() >= begin + length {
                return Exchange::Answered(status(&head), got[begin..begin + length].to_vec());
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Exchange::NoAnswer("nothing came in time".into());
        }
        let _ = stream.set_read_timeout(Some(left));
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer) {
            Ok(0) => return Exchange::NoAnswer("the connection was closed".into()),
            Ok(n) => got.extend_from_slice(&buffer[..n]),
            Err(e) => return Exchange::NoAnswer(e.to_string()),
        }
    }
}

/// Splits what has come into the head and the position of the body, once the head is there.
pub fn split_head(bytes: &[u8]) -> Option<(String, usize)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    Some((String::from_utf8_lossy(&bytes[..end]).into_owned(), end + 4))
}

pub fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.split("\r\n").skip(1);
    let mut found = lines.filter_map(|line| line.split_once(':'));
    found.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_owned())
}

pub fn status(head: &str) -> u16 {
    head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Reads a request's head. Returns it with what came behind it.
pub fn read_head(stream: &mut TcpStream) -> io::Result<Option<(String, Vec<u8>)>> {
    let mut got = Vec::new();
    loop {
        if let Some((head, begin)) = split_head(&got) {
            return Ok(Some((head, got[begin..].to_vec())));
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer)? {
            0 => return Ok(None),
            n => got.extend_from_slice(&buffer[..n]),
        }
    }
}

/// Serves each connection of a new listener in a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                serve(stream);
            });
        }
    });
    Ok(address)
}
