//! What the cases share: the record, the node's process, and small HTTP clients and servers on loopback.

pub mod platform;

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for something that must come soon, such as a node that gets ready.
pub const PATIENCE: Duration = Duration::from_secs(15);

/// What was sent, answered and run, with the time since the start, as lines of `record.txt`.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the record in the case's folder, which `CASE_FOLDER` names.
    pub fn create() -> Record {
        let folder = PathBuf::from(std::env::var_os("CASE_FOLDER").unwrap_or_else(|| ".".into()));
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Writes one line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.started.elapsed().as_secs_f64(), text.as_ref());
        self.file.lock().unwrap().write_all(line.as_bytes()).expect("record.txt can be written");
    }
}

/// Whether the disruption takes place; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The verdict of a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn verdict(record: &Record, result: Result<Vec<String>, String>) -> ExitCode {
    match result {
        Ok(breaks) if breaks.is_empty() => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(breaks) => {
            breaks.iter().for_each(|text| record.line(format!("broken: {text}")));
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(why) => {
            record.line(format!("verdict: the case could not run: {why}"));
            ExitCode::from(2)
        }
    }
}

/// A temporary folder, removed on drop.
pub struct Folder(PathBuf);

impl Folder {
    /// Creates an empty folder.
    pub fn create(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder can be made");
        Folder(path)
    }

    /// The path of a file in it.
    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Writes a file by a rename, so that it is there as a whole or not at all.
    pub fn put(&self, name: &str, text: &str) -> PathBuf {
        let (path, new) = (self.path(name), self.path(&format!(".{name}.new")));
        std::fs::write(&new, text).expect("a file can be written");
        std::fs::rename(&new, &path).expect("a file can be renamed");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A loopback address that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it has an address")
}

fn project_root() -> PathBuf {
    PathBuf::from(std::env::var_os("PROJECT_ROOT").unwrap_or_else(|| ".".into()))
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string(project_root().join("deploy/balancer.toml")).unwrap_or_default();
    let command = text.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    command.unwrap_or("exec target/release/applemill").to_owned()
}

/// Sends a signal to a process that the case started.
pub fn signal(process: u32, name: &str) {
    let _ = Command::new("kill").args([name, &process.to_string()]).status();
}

/// A node's process, killed on drop. Its log goes to a file.
pub struct Node {
    child: Child,
    log: PathBuf,
}

impl Node {
    /// Starts the deploy file's `run` on an operator's file.
    pub fn start(file: &Path, log: PathBuf) -> Result<Node, String> {
        Node::start_by("LB_OPERATOR", file, log)
    }

    /// Starts the deploy file's `run` on the platform's configuration.
    pub fn start_on_platform(config: &Path, log: PathBuf) -> Result<Node, String> {
        Node::start_by("LB_CONFIG", config, log)
    }

    fn start_by(variable: &str, file: &Path, log: PathBuf) -> Result<Node, String> {
        let output = File::create(&log).map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .current_dir(project_root())
            .env_remove("LB_CONFIG")
            .env_remove("LB_OPERATOR")
            .env_remove("LB_DISCOVERY")
            .env(variable, file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(output)
            .spawn()
            .map_err(|e| format!("the node cannot be started: {e}"))?;
        note_process(child.id());
        Ok(Node { child, log })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What the node has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until the log has a text.
    pub fn wait_for_log(&self, text: &str) -> Result<(), String> {
        wait_for(&format!("{text:?} in the log"), || self.log().contains(text))
            .map_err(|why| format!("{why}; the log: {}", self.log()))
    }

    /// Waits until `/up` at this address answers 200.
    pub fn wait_until_ready(&self, address: SocketAddr) -> Result<(), String> {
        let up = || ask(address, "GET /up HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
        wait_for("/up answers 200", || up().is_ok_and(|answer| answer.status == 200))
            .map_err(|why| format!("{why}; the log: {}", self.log()))
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A process that no [`Node`] owns, such as one that an upgrade left running; killed on drop.
pub struct Started(u32);

impl Started {
    /// Takes over the care for a process.
    pub fn adopt(process: u32) -> Started {
        note_process(process);
        Started(process)
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        signal(self.0, "-KILL");
    }
}

/// Notes a process in the file that `PROCESS_FILE` names: the script ends what a broken-off case leaves.
fn note_process(process: u32) {
    let file =
        std::env::var_os("PROCESS_FILE").map(|path| File::options().append(true).create(true).open(path));
    if let Some(Ok(mut file)) = file {
        let _ = writeln!(file, "{process}");
    }
}

/// Runs a command of the program, such as `upgrade`; its log goes to a file. Returns its exit code.
pub fn run_program(arguments: &[&str], log: &Path) -> Result<Option<i32>, String> {
    let output = File::create(log).map_err(|e| e.to_string())?;
    let status = Command::new("target/release/applemill")
        .args(arguments)
        .current_dir(project_root())
        .env_remove("LB_CONFIG")
        .env_remove("LB_OPERATOR")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(output)
        .status();
    status.map(|status| status.code()).map_err(|e| format!("the program cannot be started: {e}"))
}

/// Waits until something is so.
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) -> Result<(), String> {
    let end = Instant::now() + PATIENCE;
    while !done() {
        if Instant::now() > end {
            return Err(format!("waited in vain: {what}"));
        }
        thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

/// The head of a message.
pub struct Head {
    /// The request line or status line.
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; none at the end of the connection.
    pub fn read(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            let line = line.trim_end().to_owned();
            if line.is_empty() && !lines.is_empty() {
                break;
            }
            lines.push(line);
        }
        let first_line = lines.remove(0);
        let header = |line: &String| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        };
        Ok(Some(Head { first_line, headers: lines.iter().filter_map(header).collect() }))
    }

    /// The value of a header, named in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// The declared length of the body; 0 if there is none.
    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// The status of an answer; 0 if the line has none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// An answer with a length.
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Reads an answer with a length.
pub fn read_answer(reader: &mut impl BufRead) -> std::io::Result<Answer> {
    let head = Head::read(reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let mut body = vec![0; head.length()];
    reader.read_exact(&mut body)?;
    Ok(Answer { status: head.status(), body })
}

/// Sends a request on a new connection and reads its answer.
pub fn ask(address: SocketAddr, request: &str) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(5))?;
    stream.set_read_timeout(Some(Duration::from_secs(60)))?;
    stream.write_all(request.as_bytes())?;
    read_answer(&mut BufReader::new(stream))
}

/// Starts a server that handles each connection on a thread of its own.
pub fn serve(handle: impl Fn(TcpStream) -> std::io::Result<()> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                // The other side may end the connection at any time.
                let _ = handle(stream);
            });
        }
    });
    address
}

/// Writes an answer 200 with this body.
pub fn write_ok(stream: &mut TcpStream, body: &str) -> std::io::Result<()> {
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Reads and drops this many bytes.
pub fn skip(reader: &mut impl Read, bytes: usize) -> std::io::Result<()> {
    let copied = std::io::copy(&mut reader.take(bytes as u64), &mut std::io::sink())?;
    if copied < bytes as u64 { Err(std::io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) }
}
