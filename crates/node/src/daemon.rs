//! The node as a service: a lock file so that only one process runs, notifications to the service manager,
//! and exit codes.

use crate::handover::TakeOverError;
use sd_notify::NotifyState;
use std::error::Error;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Seek, SeekFrom, Write};
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;
use tracing::{info, warn};

/// Exit code: a file or command line is refused, or a file cannot be read.
pub const EXIT_REFUSED: u8 = 2;
/// Exit code: the process cannot listen on an address.
const EXIT_CANNOT_LISTEN: u8 = 3;
/// Exit code: another process holds the lock.
const EXIT_LOCKED: u8 = 4;
/// Exit code: taking over from the running node failed.
const EXIT_TAKE_OVER_FAILED: u8 = 5;
/// Interval between two checks whether the node is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a node with a valid configuration does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The process cannot listen on an address: name of the configuration field, address and cause.
    #[error("{0}: {1}: {2}")]
    Address(&'static str, SocketAddr, std::io::Error),
    /// Another process holds the lock: path of the lock file, and text that names the process if it is known.
    #[error("lock: {0}: another node runs{1}; stop it, or configure another lock file for this node")]
    Locked(String, String),
    /// The lock file cannot be opened, locked or written.
    #[error("lock: {0}: {1}")]
    LockFile(String, std::io::Error),
    /// A Unix socket cannot be created: name of the configuration field, path and cause.
    #[error("{0}: {1}: {2}")]
    UnixSocket(&'static str, String, std::io::Error),
}

/// The exit code for an error.
pub fn exit_code(e: &(dyn Error + 'static)) -> ExitCode {
    if e.is::<TakeOverError>() {
        return ExitCode::from(EXIT_TAKE_OVER_FAILED);
    }
    match e.downcast_ref() {
        Some(StartError::Address(..)) => ExitCode::from(EXIT_CANNOT_LISTEN),
        Some(StartError::Locked(..)) => ExitCode::from(EXIT_LOCKED),
        Some(StartError::LockFile(..)) => ExitCode::from(EXIT_REFUSED),
        Some(StartError::UnixSocket(..)) | None => ExitCode::FAILURE,
    }
}

/// A locked file that shows that a node runs. The operating system releases the lock when the process ends,
/// also at a crash.
pub struct LockFile {
    file: File,
    path: PathBuf,
}

impl LockFile {
    /// Locks the file, and writes the process id to it for operators to read.
    ///
    /// # Errors
    /// Another process holds the lock, or the file cannot be opened, locked or written.
    pub fn acquire(path: &Path) -> Result<LockFile, StartError> {
        let display_path = path.display().to_string();
        let failed = |e| StartError::LockFile(display_path.clone(), e);
        let open = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
        let mut file = open.map_err(failed)?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::Error(e)) => return Err(failed(e)),
            Err(TryLockError::WouldBlock) => {
                let text = std::fs::read_to_string(path).unwrap_or_default();
                let holder = text
                    .trim()
                    .parse::<u32>()
                    .map_or_else(|_| String::new(), |pid| format!(" as process {pid}"));
                return Err(StartError::Locked(display_path, holder));
            }
        }
        file.set_len(0).and_then(|()| writeln!(file, "{}", std::process::id())).map_err(failed)?;
        Ok(LockFile { file, path: path.to_owned() })
    }

    /// The lock of the node that this process takes over from. Both processes share it until the old one
    /// ends.
    pub fn inherited(file: File, path: &Path) -> LockFile {
        LockFile { file, path: path.to_owned() }
    }

    /// Replaces the process id in the file with that of this process.
    pub fn write_pid(&self) {
        let mut file = &self.file;
        let emptied = file.seek(SeekFrom::Start(0)).and_then(|_| file.set_len(0));
        if let Err(e) = emptied.and_then(|()| writeln!(file, "{}", std::process::id())) {
            warn!("lock: {}: {e}", self.path.display());
        }
    }

    /// Path of the lock file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Another handle to the same lock.
    ///
    /// # Errors
    /// The file descriptor cannot be duplicated.
    pub fn try_clone(&self) -> std::io::Result<LockFile> {
        Ok(LockFile { file: self.file.try_clone()?, path: self.path.clone() })
    }
}

impl AsFd for LockFile {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.file.as_fd()
    }
}

/// Notifies the service manager that this process is now the main process of the service.
pub fn notify_main_pid() {
    notify(NotifyState::MainPid(std::process::id()));
}

/// Waits until the node is ready, and notifies the service manager through the socket in `NOTIFY_SOCKET`,
/// if it is set.
pub async fn notify_when_ready(is_ready: impl Fn() -> bool) {
    while !is_ready() {
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    info!("ready");
    notify(NotifyState::Ready);
}

/// Notifies the service manager that the node stops.
pub fn notify_stopping() {
    notify(NotifyState::Stopping);
}

fn notify(state: NotifyState<'_>) {
    // Succeeds without a notification if `NOTIFY_SOCKET` is not set.
    if let Err(e) = sd_notify::notify(&[state]) {
        warn!("NOTIFY_SOCKET: {e}");
    }
}
