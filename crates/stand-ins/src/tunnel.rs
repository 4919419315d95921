//! Runs plain-text tests over TLS, by a tunnel that accepts plain connections and forwards them to a node
//! over TLS.

use crate::free_address;
use crate::secure::{Folder, Issuer, Secure};
use rustls::pki_types::ServerName;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::thread;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio_rustls::TlsConnector;

thread_local! {
    static BY_TLS: Cell<bool> = const { Cell::new(false) };
}

/// Runs a test with TLS enabled on the first listener of every node it starts on an operator's file. Clients
/// reach the node through a tunnel.
pub fn by_tls(test: impl FnOnce()) {
    BY_TLS.set(true);
    test();
    BY_TLS.set(false);
}

/// Defines a second test for each of the named tests, which runs it [`by_tls`].
#[macro_export]
macro_rules! over_tls {
    ($($test:ident)*) => {
        mod over_tls {
            $(#[test]
            fn $test() {
                $crate::by_tls(super::$test);
            })*
        }
    };
}

/// A tunnel, and the certificate of the node that it connects to.
pub(crate) struct Tunnel {
    /// Where plain clients connect.
    pub(crate) address: SocketAddr,
    _folder: Folder,
    /// The section that an operator's file needs in addition to `tls = true`.
    certificate_section: String,
    /// Stops the tunnel on drop.
    _stop: oneshot::Sender<()>,
}

impl Tunnel {
    /// Starts a tunnel to a node that will listen at `node`; none unless this thread runs a test [`by_tls`].
    ///
    /// # Errors
    /// The tunnel cannot listen, or its runtime cannot be created.
    pub(crate) fn start_if_enabled(node: SocketAddr) -> io::Result<Option<Tunnel>> {
        if !BY_TLS.get() {
            return Ok(None);
        }
        let (folder, issuer) = (Folder::new("tunnel"), Issuer::new("root"));
        let (chain, key) = issuer.pair(&["node.test"], -10, 86_400);
        let [chain, key] = [folder.put("chain.pem", &chain), folder.put("key.pem", &key)];
        let certificate_section = format!(
            "\n[certificate.tunnel]\nnames = [\"node.test\"]\ndefault = true\nchain = \"{chain}\"\nkey = \"{key}\"\n"
        );
        let connector = TlsConnector::from(Secure::trusting(&issuer.root()).0);
        let address = free_address();
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let (stop, stopped) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                tokio::select! {
                    _ = stopped => {}
                    _ = serve(listener, node, connector) => {}
                }
            });
        });
        Ok(Some(Tunnel { address, _folder: folder, certificate_section, _stop: stop }))
    }

    /// Adds TLS at `LISTEN` to an operator's file.
    pub(crate) fn file(&self, text: &str) -> String {
        format!("{}{}", text.replacen("\"LISTEN\"", "\"LISTEN\"\ntls = true", 1), self.certificate_section)
    }
}

async fn serve(
    listener: std::net::TcpListener,
    node: SocketAddr,
    connector: TlsConnector,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let (mut client, _) = listener.accept().await?;
        let connector = connector.clone();
        spawn_local(async move {
            if forward(&mut client, node, &connector).await.is_err() {
                // A connection that the node broke off is reset, and the client sees it as broken off too.
                let _ = socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO));
            }
        });
    }
}

/// Forwards data in both directions, and the end of each direction.
async fn forward(client: &mut TcpStream, node: SocketAddr, connector: &TlsConnector) -> io::Result<()> {
    client.set_nodelay(true)?;
    let node_stream = TcpStream::connect(node).await?;
    node_stream.set_nodelay(true)?;
    let name = ServerName::try_from("node.test").map_err(io::Error::other)?;
    let (from_node, to_node) = tokio::io::split(connector.connect(name, node_stream).await?);
    let (from_client, to_client) = client.split();
    let mut answers = pin!(copy(from_node, to_client));
    tokio::select! {
        result = answers.as_mut() => result.map_err(CopyError::into_inner),
        result = copy(from_client, to_node) => match result {
            // A node that has stopped reading may still send an answer.
            Ok(()) | Err(CopyError::Writing(_)) => answers.await.map_err(CopyError::into_inner),
            Err(error) => Err(error.into_inner()),
        },
    }
}

/// The side at which a copy failed.
enum CopyError {
    Reading(io::Error),
    Writing(io::Error),
}

impl CopyError {
    fn into_inner(self) -> io::Error {
        match self {
            CopyError::Reading(e) | CopyError::Writing(e) => e,
        }
    }
}

/// Copies until the end of `from`, then shuts `to` down.
async fn copy(mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin) -> Result<(), CopyError> {
    let mut buffer = [0; 16 * 1024];
    loop {
        let n = from.read(&mut buffer).await.map_err(CopyError::Reading)?;
        if n == 0 {
            return to.shutdown().await.map_err(CopyError::Writing);
        }
        to.write_all(buffer.get(..n).unwrap_or_default()).await.map_err(CopyError::Writing)?;
        to.flush().await.map_err(CopyError::Writing)?;
    }
}
