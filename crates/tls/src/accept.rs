//! TLS handshakes on a listener. Limits on their duration, number and work per round of the event loop
//! keep a flood of handshakes from harming open connections.

use crate::client_authorities::{ClientAuthorities, client_identity};
use crate::served::{ACME_TLS, ServedCertificates};
use crate::tickets::TicketKeys;
use applemill_socket::{Layer, OpenedConnection, OpeningConnection, Socket, Turn, TurnQueue};
use rustls::ServerConfig;
use rustls::crypto::ring::{Ticketer, default_provider};
use rustls::server::NoServerSessionStorage;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio_rustls::TlsAcceptor;

/// ALPN protocol of the fronts.
const ALPN_HTTP: &[u8] = b"http/1.1";
/// Handshake steps per round of the event loop. A step takes a signature and a key exchange, about 100
/// microseconds, before the requests that are ready continue.
const HANDSHAKES_PER_ROUND: usize = 1;

/// Limits on handshakes.
#[derive(Clone, Copy, Debug)]
pub struct HandshakeLimits {
    /// Time limit, from the accepted connection to the end of the handshake.
    pub timeout: Duration,
    /// Maximum number at once. When it is exceeded, an old handshake is cancelled.
    pub max_concurrent: usize,
}

/// Why TLS is not available.
#[derive(Debug, Error)]
pub enum TlsError {
    /// The setup of rustls failed, for example for want of a random source.
    #[error("TLS cannot be set up: {0}")]
    SetUp(#[from] rustls::Error),
}

/// Handshakes since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Handshakes {
    /// Full handshakes.
    pub full: u64,
    /// Handshakes resumed by a ticket.
    pub resumed: u64,
    /// Failed handshakes.
    pub failed: u64,
}

/// A handshake in progress.
#[derive(Default)]
struct Handshake {
    /// Signals that the handshake is to be cancelled.
    cancel: Notify,
    /// Whether a complete ClientHello has been received and answered.
    hello_received: Cell<bool>,
}

/// Handshakes in progress, by number, so that the first is the oldest.
#[derive(Default)]
struct ActiveHandshakes {
    next: Cell<u64>,
    all: RefCell<BTreeMap<u64, Rc<Handshake>>>,
    counts: Cell<Handshakes>,
}

/// The slot of a handshake, freed when dropped.
struct HandshakeSlot {
    number: u64,
    active: Rc<ActiveHandshakes>,
    handshake: Rc<Handshake>,
}

impl ActiveHandshakes {
    /// Takes a slot. If none is free, the oldest handshake without a ClientHello is cancelled, or else the
    /// oldest. A flood of silent connections thus displaces itself rather than clients that are about to
    /// finish.
    fn acquire(self: &Rc<Self>, max_concurrent: usize) -> HandshakeSlot {
        let number = self.next.get();
        self.next.set(number + 1);
        let mut all = self.all.borrow_mut();
        if all.len() >= max_concurrent.max(1) {
            let oldest_silent =
                all.iter().find(|(_, h)| !h.hello_received.get()).map(|(number, _)| *number);
            let oldest = oldest_silent.or_else(|| all.keys().next().copied());
            if let Some(oldest) = oldest.and_then(|number| all.remove(&number)) {
                oldest.cancel.notify_one();
            }
        }
        let handshake = Rc::new(Handshake::default());
        all.insert(number, handshake.clone());
        drop(all);
        HandshakeSlot { number, active: self.clone(), handshake }
    }

    fn count(&self, add: impl FnOnce(&mut Handshakes)) {
        let mut counts = self.counts.get();
        add(&mut counts);
        self.counts.set(counts);
    }
}

impl Drop for HandshakeSlot {
    fn drop(&mut self) {
        self.active.all.borrow_mut().remove(&self.number);
    }
}

fn config(
    served: Arc<ServedCertificates>,
    client_authorities: Option<Arc<ClientAuthorities>>,
) -> Result<ServerConfig, TlsError> {
    let builder = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()?;
    let builder = match client_authorities {
        Some(client_authorities) => builder.with_client_cert_verifier(client_authorities),
        None => builder.with_no_client_auth(),
    };
    let mut config = builder.with_cert_resolver(served);
    config.alpn_protocols = vec![ALPN_HTTP.to_vec(), ACME_TLS.to_vec()];
    // Sessions resume by tickets; a session cache would grow with the number of clients.
    config.session_storage = Arc::new(NoServerSessionStorage {});
    Ok(config)
}

/// TLS on a listener. Clones share the limits and counts.
#[derive(Clone)]
pub struct Tls {
    acceptor: TlsAcceptor,
    limits: HandshakeLimits,
    queue: TurnQueue,
    active: Rc<ActiveHandshakes>,
}

impl Tls {
    /// Serves these certificates. Tickets are sealed by `tickets`, or by keys of this process alone if
    /// that is `None`. Needs a running `LocalSet`.
    ///
    /// # Errors
    /// The setup of rustls failed.
    pub fn new(
        served: Arc<ServedCertificates>,
        tickets: Option<Arc<TicketKeys>>,
        limits: HandshakeLimits,
    ) -> Result<Tls, TlsError> {
        let mut config = config(served, None)?;
        config.ticketer = match tickets {
            Some(tickets) => tickets,
            None => Ticketer::new()?,
        };
        config.send_tls13_tickets = 1;
        let acceptor = TlsAcceptor::from(Arc::new(config));
        Ok(Tls { acceptor, limits, queue: TurnQueue::new(HANDSHAKES_PER_ROUND), active: Rc::default() })
    }

    /// Creates TLS for a listener that requests client certificates, with the same limits. It neither
    /// issues nor accepts tickets: a ticket restores a session as it was, which may be from a listener
    /// without client certificates, or from before a certificate expired or its authority was removed.
    ///
    /// # Errors
    /// The setup of rustls failed.
    pub fn with_client_certificates(
        &self,
        served: Arc<ServedCertificates>,
        client_authorities: Arc<ClientAuthorities>,
    ) -> Result<Tls, TlsError> {
        let mut config = config(served, Some(client_authorities))?;
        config.send_tls13_tickets = 0;
        Ok(Tls { acceptor: TlsAcceptor::from(Arc::new(config)), ..self.clone() })
    }

    /// Handshakes since the start.
    pub fn handshakes(&self) -> Handshakes {
        self.active.counts.get()
    }
}

impl Layer for Tls {
    fn open(&self, socket: Socket) -> OpeningConnection {
        let slot = self.active.acquire(self.limits.max_concurrent);
        let socket = PacedSocket {
            socket,
            pacing: Some(Pacing {
                queue: self.queue.clone(),
                turn: Rc::default(),
                handshake: slot.handshake.clone(),
            }),
        };
        let (accept, timeout) = (self.acceptor.accept(socket), self.limits.timeout);
        Box::pin(async move {
            let opened = tokio::select! {
                opened = accept => opened,
                () = tokio::time::sleep(timeout) => Err(ErrorKind::TimedOut.into()),
                () = slot.handshake.cancel.notified() => Err(ErrorKind::WouldBlock.into()),
            };
            let active = slot.active.clone();
            drop(slot);
            let mut stream = match opened {
                Ok(stream) => stream,
                Err(e) => {
                    active.count(|c| c.failed += 1);
                    return Err(e);
                }
            };
            let (socket, session) = stream.get_mut();
            socket.pacing = None;
            if session.alpn_protocol() == Some(ACME_TLS) {
                // The authority only looks at the certificate (RFC 8737, 3).
                return Err(ErrorKind::ConnectionAborted.into());
            }
            match session.handshake_kind() {
                Some(rustls::HandshakeKind::Resumed) => active.count(|c| c.resumed += 1),
                _ => active.count(|c| c.full += 1),
            }
            let caller = client_identity(session.peer_certificates());
            Ok(OpenedConnection { stream: Box::new(stream), caller })
        })
    }
}

/// A socket that takes turns reading with others until its handshake is complete.
struct PacedSocket {
    socket: Socket,
    pacing: Option<Pacing>,
}

/// The place of a handshake in the queue for reads.
struct Pacing {
    queue: TurnQueue,
    turn: Rc<Turn>,
    handshake: Rc<Handshake>,
}

impl PacedSocket {
    fn mark_hello_received(&self) {
        if let Some(pacing) = &self.pacing {
            pacing.handshake.hello_received.set(true);
        }
    }
}

impl AsyncRead for PacedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(pacing) = &self.pacing {
            ready!(pacing.queue.poll(&pacing.turn, cx));
        }
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for PacedSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.mark_hello_received();
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.mark_hello_received();
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
