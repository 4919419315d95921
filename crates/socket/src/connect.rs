//! Starts connections. What fails for a reason on this machine is tried again, since it says nothing about the
//! other side.

use crate::system_errors::{is_local_connect_failure, is_out_of_descriptors, is_out_of_memory};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;

/// How often a connection is tried if it fails for a reason on this machine.
const MAX_TRIES: u32 = 8;
/// How long to wait between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// Why there is no connection.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// This process or machine lacks something for it: a descriptor, memory or a free local address.
    #[error("no connection can be started here: {0}")]
    Local(#[source] io::Error),
    /// The other side cannot be reached.
    #[error("not reached: {0}")]
    Remote(#[source] io::Error),
}

impl ConnectError {
    fn new(error: io::Error) -> ConnectError {
        let is_local = is_out_of_descriptors(&error)
            || is_out_of_memory(&error)
            || error.kind() == io::ErrorKind::AddrNotAvailable;
        if is_local { ConnectError::Local(error) } else { ConnectError::Remote(error) }
    }
}

/// Connects without a time-out, which the caller applies.
///
/// # Errors
/// The address cannot be reached, or this machine cannot start a connection at present.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let mut tries = 1;
    loop {
        match TcpStream::connect(address).await {
            Err(e) if is_local_connect_failure(&e) && tries < MAX_TRIES => tries += 1,
            result => return result.map_err(ConnectError::new),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
