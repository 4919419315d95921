//! A node as a process, with what it has used so far.

use applemill_stand_ins::{attempt, free_address};
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Set for a process that is to be a node.
pub const AS_NODE: &str = "APPLEMILL_MEASURE_AS_NODE";
const START: Duration = Duration::from_secs(10);

/// A running node; it ends with this.
pub struct Node {
    /// Where clients connect.
    pub address: SocketAddr,
    child: Child,
    file: PathBuf,
}

impl Node {
    /// Starts one on an operator's file in which `LISTEN` stands for its address, and waits until it can serve.
    ///
    /// # Errors
    /// It cannot be started, or does not get ready.
    pub fn start(text: &str) -> Result<Node, Box<dyn Error>> {
        let address = free_address();
        let file =
            std::env::temp_dir().join(format!("applemill-measure-{}-{address}.toml", std::process::id()));
        std::fs::write(&file, text.replace("LISTEN", &address.to_string()))?;
        let child = Command::new(std::env::current_exe()?)
            .args(["run", "--config"])
            .arg(&file)
            .env(AS_NODE, "1")
            .env_remove("LB_CONFIG")
            .env_remove("LB_OPERATOR")
            .stderr(Stdio::null())
            .spawn()?;
        let mut node = Node { address, child, file };
        let begun = Instant::now();
        let up =
            || attempt(address, b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n").map_or(0, |m| m.status());
        while up() != 200 {
            if begun.elapsed() > START || node.child.try_wait()?.is_some() {
                return Err("the node did not get ready".into());
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(node)
    }

    /// CPU that it has used so far, as the scheduler counts it: to the nanosecond, and not in clock ticks.
    ///
    /// # Errors
    /// The system does not say.
    pub fn cpu(&self) -> Result<Duration, Box<dyn Error>> {
        let mut used = 0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            used += text.split_whitespace().next().ok_or("schedstat is empty")?.parse::<u64>()?;
        }
        Ok(Duration::from_nanos(used))
    }

    /// Memory that it has in use, in KB.
    ///
    /// # Errors
    /// The system does not say.
    pub fn memory_kb(&self) -> Result<u64, Box<dyn Error>> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find(|l| l.starts_with("VmRSS")).ok_or("no VmRSS")?;
        Ok(line.split_whitespace().nth(1).ok_or("no figure")?.parse()?)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}
