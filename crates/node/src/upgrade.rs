//! The command `applemill upgrade`: starts a process that takes over from the running node, and waits for
//! the outcome.

use std::io::{BufRead, BufReader};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Command, Stdio};
use thiserror::Error;

/// Why the new process did not take over from the running node.
#[derive(Debug, Error)]
pub enum UpgradeError {
    /// The program cannot be started: its path and the cause.
    #[error("{0}: {1}")]
    NotStarted(String, std::io::Error),
    /// The new process ended with this status; its log names the cause.
    #[error("the new process ended before it served ({0})")]
    Ended(String),
}

/// Starts the new process, and returns its process id once it serves. Its log goes to the standard error of
/// this process.
///
/// # Errors
/// The process cannot be started, or ends before it serves.
pub fn run(file: &Path, program: Option<&Path>, socket: &Path) -> Result<u32, UpgradeError> {
    let program_name = program.map_or_else(|| "this program".to_owned(), |p| p.display().to_string());
    let not_started = |e| UpgradeError::NotStarted(program_name.clone(), e);
    let this_program = std::env::current_exe().map_err(not_started)?;
    let mut command = Command::new(program.unwrap_or(&this_program));
    command.arg("run").arg("--config").arg(file).arg("--take-over").arg(socket);
    // A process group of its own: Ctrl-C at the terminal ends this command, but not the node.
    command.stdin(Stdio::null()).stdout(Stdio::piped()).process_group(0);
    let mut child = command.spawn().map_err(not_started)?;
    let mut first_line = String::new();
    if let Some(out) = child.stdout.take() {
        // An error or an empty line means that the process ended, which `wait` reports below.
        let _ = BufReader::new(out).read_line(&mut first_line);
    }
    if first_line.starts_with("serves") {
        return Ok(child.id());
    }
    let status = child.wait().map_or_else(|e| e.to_string(), |status| status.to_string());
    Err(UpgradeError::Ended(status))
}
