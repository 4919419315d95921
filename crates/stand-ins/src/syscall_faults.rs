//! Makes system calls of a node fail as Linux documents and steps its wall clock, by a library that is loaded
//! into its process.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::OnceLock;
use std::time::Duration;

/// The library's source, compiled by the system's C compiler, which linking Rust programs needs as well.
const SOURCE: &str = include_str!("../shim/syscall_faults.c");

/// System calls that can be made to fail. All but `Wait` are those on TCP sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Syscall {
    /// Reading, also ahead of time (`MSG_PEEK`).
    Read,
    /// Writing.
    Write,
    /// Accepting a connection.
    Accept,
    /// Starting a connection.
    Connect,
    /// Waiting for events of any descriptor.
    Wait,
}

/// How a system call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyscallFailure {
    /// It reads or writes a single byte.
    Short,
    /// EINTR.
    Interrupted,
    /// EIO.
    InputOutput,
    /// ENOMEM.
    OutOfMemory,
    /// ENFILE.
    OutOfFiles,
    /// EADDRNOTAVAIL.
    AddressNotAvailable,
    /// ENETUNREACH.
    NetworkUnreachable,
    /// ECONNABORTED.
    ConnectionAborted,
    /// ENOBUFS.
    OutOfBuffers,
}

impl SyscallFailure {
    /// The number of the error on Linux; 0 stands for a short read or write.
    fn number(self) -> i32 {
        match self {
            SyscallFailure::Short => 0,
            SyscallFailure::Interrupted => 4,
            SyscallFailure::InputOutput => 5,
            SyscallFailure::OutOfMemory => 12,
            SyscallFailure::OutOfFiles => 23,
            SyscallFailure::AddressNotAvailable => 99,
            SyscallFailure::NetworkUnreachable => 101,
            SyscallFailure::ConnectionAborted => 103,
            SyscallFailure::OutOfBuffers => 105,
        }
    }
}

/// A share of the calls of one kind that fails in one way.
#[derive(Clone, Copy, Debug)]
pub struct SyscallFault {
    /// The system call.
    pub call: Syscall,
    /// How it fails.
    pub failure: SyscallFailure,
    /// How many of a hundred calls fail.
    pub percent: u32,
}

/// The shell command for [`crate::Node::launch`] that starts the program with the faults.
pub fn command_with_faults(faults: &[SyscallFault], seed: u64) -> String {
    let rules: Vec<String> = faults
        .iter()
        .map(|f| format!("{}:{}:{}", call_name(f.call), f.failure.number(), f.percent))
        .collect();
    format!(
        "SYSCALL_FAULTS={} SYSCALL_FAULTS_SEED={seed} LD_PRELOAD={} exec \"$0\"",
        rules.join(","),
        library().display()
    )
}

/// The shell command for [`crate::Node::launch`] that starts the program and steps its wall clock once, so long
/// after the start.
pub fn command_with_clock_step(after: Duration, step_ms: i64) -> String {
    let (after_ms, library) = (after.as_millis(), library().display());
    format!("WALL_CLOCK_STEP={after_ms}:{step_ms} LD_PRELOAD={library} exec \"$0\"")
}

fn call_name(call: Syscall) -> &'static str {
    match call {
        Syscall::Read => "read",
        Syscall::Write => "write",
        Syscall::Accept => "accept",
        Syscall::Connect => "connect",
        Syscall::Wait => "wait",
    }
}

/// The compiled library; compiled once in a process.
fn library() -> &'static PathBuf {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let path = std::env::temp_dir().join(format!("applemill-faults-{}.so", std::process::id()));
        let mut compiler = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-Wall", "-x", "c", "-", "-ldl", "-o"])
            .arg(&path)
            .stdin(Stdio::piped())
            .spawn()
            .unwrap();
        compiler.stdin.take().unwrap().write_all(SOURCE.as_bytes()).unwrap();
        assert!(compiler.wait().unwrap().success(), "the C compiler failed");
        path
    })
}
