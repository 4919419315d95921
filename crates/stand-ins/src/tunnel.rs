//! Tests that know no TLS, played by TLS: a way in for plain clients that speaks TLS to a node.

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

/// Plays a test so that every node it starts on an operator's file speaks TLS where clients connect, and clients reach it
/// through a tunnel.
pub fn by_tls(test: impl FnOnce()) {
    BY_TLS.set(true);
    test();
    BY_TLS.set(false);
}

/// Plays tests of this name again, each [`by_tls`].
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

/// A tunnel, and the certificate of the node at its end.
pub(crate) struct Tunnel {
    /// Where plain clients connect.
    pub(crate) address: SocketAddr,
    _folder: Folder,
    /// What an operator's file needs beside `tls = true`.
    more: String,
    /// It ends when this is dropped.
    _end: oneshot::Sender<()>,
}

impl Tunnel {
    /// One to a node that is to listen at `node`, where this thread plays a test by TLS.
    ///
    /// # Errors
    /// There is no place for it.
    pub(crate) fn wanted(node: SocketAddr) -> io::Result<Option<Tunnel>> {
        if !BY_TLS.get() {
            return Ok(None);
        }
        let (folder, issuer) = (Folder::new("tunnel"), Issuer::new("root"));
        let (chain, key) = issuer.pair(&["node.test"], -10, 86_400);
        let [chain, key] = [folder.put("chain.pem", &chain), folder.put("key.pem", &key)];
        let more = format!(
            "\n[certificate.tunnel]\nnames = [\"node.test\"]\ndefault = true\nchain = \"{chain}\"\nkey = \"{key}\"\n"
        );
        let connector = TlsConnector::from(Secure::trusting(&issuer.root()).0);
        let address = free_address();
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let (end, ended) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                tokio::select! {
                    _ = ended => {}
                    _ = serve(listener, node, connector) => {}
                }
            });
        });
        Ok(Some(Tunnel { address, _folder: folder, more, _end: end }))
    }

    /// The file by which the node at its end speaks TLS at `LISTEN`.
    pub(crate) fn file(&self, text: &str) -> String {
        format!("{}{}", text.replacen("\"LISTEN\"", "\"LISTEN\"\ntls = true", 1), self.more)
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
            if pass(&mut client, node, &connector).await.is_err() {
                // What the node has cut, its client sees as cut.
                let _ = socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO));
            }
        });
    }
}

/// Passes on what comes either way, and each side's end of it.
async fn pass(client: &mut TcpStream, node: SocketAddr, connector: &TlsConnector) -> io::Result<()> {
    client.set_nodelay(true)?;
    let there = TcpStream::connect(node).await?;
    there.set_nodelay(true)?;
    let name = ServerName::try_from("node.test").map_err(io::Error::other)?;
    let (from_node, to_node) = tokio::io::split(connector.connect(name, there).await?);
    let (from_client, to_client) = client.split();
    let mut answers = pin!(carry(from_node, to_client));
    tokio::select! {
        over = answers.as_mut() => over.map_err(Broken::into_inner),
        asked = carry(from_client, to_node) => match asked {
            // A node that reads no more may still have something to say.
            Ok(()) | Err(Broken::Writing(_)) => answers.await.map_err(Broken::into_inner),
            Err(broken) => Err(broken.into_inner()),
        },
    }
}

/// Which side of a copy broke.
enum Broken {
    Reading(io::Error),
    Writing(io::Error),
}

impl Broken {
    fn into_inner(self) -> io::Error {
        match self {
            Broken::Reading(e) | Broken::Writing(e) => e,
        }
    }
}

/// Copies to the end, and passes that on.
async fn carry(mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin) -> Result<(), Broken> {
    let mut piece = [0; 16 * 1024];
    loop {
        let n = from.read(&mut piece).await.map_err(Broken::Reading)?;
        if n == 0 {
            return to.shutdown().await.map_err(Broken::Writing);
        }
        to.write_all(piece.get(..n).unwrap_or_default()).await.map_err(Broken::Writing)?;
        to.flush().await.map_err(Broken::Writing)?;
    }
}
