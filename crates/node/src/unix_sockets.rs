//! The node's Unix sockets, for its operators and for a process that takes over: bound before the node takes
//! anything over, and published at their paths once it serves.

use crate::daemon::StartError;
use crate::setup::Setup;
use applemill_admin::{PreparedSocket, UnixSocketFile};
use std::path::Path;
use std::time::Duration;
use tokio::net::UnixListener;
use tokio::task::{JoinHandle, spawn_local};
use tracing::{info, warn};

/// Interval between two attempts to make a socket of a node that already serves.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A socket that is bound but not yet published.
pub struct NodeSocket {
    /// Name of the field in the configuration.
    field: &'static str,
    socket: PreparedSocket,
}

/// The sockets that the configuration names.
pub struct NodeSockets {
    /// For the node's operators.
    pub admin: Option<NodeSocket>,
    /// For a process that takes over.
    pub hand_over: Option<NodeSocket>,
}

impl NodeSockets {
    /// Binds the sockets under temporary names; the sockets of a running node stay as they are.
    ///
    /// # Errors
    /// A socket cannot be created.
    pub fn bind(setup: &Setup) -> Result<NodeSockets, StartError> {
        Ok(NodeSockets {
            admin: NodeSocket::bind("admin", setup.admin.as_deref())?,
            hand_over: NodeSocket::bind("hand_over", setup.hand_over.as_deref())?,
        })
    }
}

impl NodeSocket {
    fn bind(field: &'static str, path: Option<&str>) -> Result<Option<NodeSocket>, StartError> {
        let Some(path) = path else { return Ok(None) };
        match PreparedSocket::bind(Path::new(path)) {
            Ok(socket) => Ok(Some(NodeSocket { field, socket })),
            Err(e) => Err(StartError::UnixSocket(field, path.to_owned(), e)),
        }
    }

    /// Publishes the socket at its path, and starts `serve` on it. A failure must not end a node that already
    /// serves clients: it is logged, and the socket is made as soon as that is possible.
    pub fn publish<F: Future<Output = ()> + 'static>(
        self,
        serve: impl FnOnce(UnixSocketFile, UnixListener) -> F + 'static,
    ) -> JoinHandle<()> {
        let (field, path) = (self.field, self.socket.path().to_owned());
        match self.socket.publish() {
            Ok((socket_file, listener)) => spawn_local(serve(socket_file, listener)),
            Err(e) => {
                warn!("{field}: {}: {e}; the node serves without it and tries again", path.display());
                spawn_local(async move {
                    let (socket_file, listener) = bind_until_published(&path).await;
                    info!("{field}: {}: made", path.display());
                    serve(socket_file, listener).await;
                })
            }
        }
    }
}

async fn bind_until_published(path: &Path) -> (UnixSocketFile, UnixListener) {
    loop {
        tokio::time::sleep(RETRY_INTERVAL).await;
        if let Ok(published) = PreparedSocket::bind(path).and_then(PreparedSocket::publish) {
            return published;
        }
    }
}
