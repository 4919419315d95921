//! TCP sockets that know when a message began to come, a limit on open descriptors, the interface for layers such as TLS
//! between a socket and a front end, and fair turns among many tasks. The protocol on a socket is left to
//! callers.

mod connect;
mod system_errors;
mod turns;

pub use connect::{ConnectError, connect};
pub use system_errors::{is_out_of_descriptors, is_single_accept_failure};
pub use turns::{Turn, TurnQueue};

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};
use system_errors::CallRetry;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf, Ready};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Descriptors reserved for everything that is not counted or does not wait: standard streams, the poller,
/// the listener, UDP, discovery, reloading the configuration, and a connection just accepted.
const UNCOUNTED_DESCRIPTORS: usize = 24;

/// Closes an idle connection. Returns true if a descriptor was freed at once, and false if none was or one
/// will be soon.
type Reclaimer = Box<dyn Fn() -> bool>;

/// Limits the open sockets of clients, backends and discovery together.
pub struct Descriptors {
    used_count: Cell<usize>,
    /// How many of the used descriptors belong to clients.
    client_count: Cell<usize>,
    limit: usize,
    max_clients: usize,
    freed: Notify,
    backend_reclaimer: RefCell<Option<Reclaimer>>,
    client_reclaimer: RefCell<Option<Reclaimer>>,
}

impl Descriptors {
    /// A limit for a process that may open `sockets` descriptors. Clients may hold two thirds of them: an
    /// attempt for a connected client is worth more than one more client, and a connection to a backend costs
    /// more than a client's. They hold `max_clients` at most.
    pub fn new(sockets: usize, max_clients: usize) -> Rc<Descriptors> {
        let limit = sockets.saturating_sub(UNCOUNTED_DESCRIPTORS).max(8);
        Rc::new(Descriptors {
            used_count: Cell::new(0),
            client_count: Cell::new(0),
            limit,
            max_clients: max_clients.min(limit - limit / 3),
            freed: Notify::new(),
            backend_reclaimer: RefCell::default(),
            client_reclaimer: RefCell::default(),
        })
    }

    /// The number of descriptors available for sockets.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Sets the function that closes an idle connection to a backend.
    pub fn set_backend_reclaimer(&self, reclaimer: Reclaimer) {
        *self.backend_reclaimer.borrow_mut() = Some(reclaimer);
    }

    /// Sets the function that closes an idle connection of a client.
    pub fn set_client_reclaimer(&self, reclaimer: Reclaimer) {
        *self.client_reclaimer.borrow_mut() = Some(reclaimer);
    }

    fn reclaim_client(&self) -> bool {
        self.client_reclaimer.borrow().as_ref().is_some_and(|reclaimer| reclaimer())
    }

    /// Closes an idle connection to a backend, or else of a client; also used when the system itself has run
    /// out of descriptors. Returns true if a descriptor was freed at once.
    pub fn reclaim_any(&self) -> bool {
        self.backend_reclaimer.borrow().as_ref().is_some_and(|reclaimer| reclaimer())
            || self.reclaim_client()
    }

    /// Waits for a descriptor. If none is free, an idle connection is closed.
    pub async fn acquire(self: &Rc<Self>) -> DescriptorPermit {
        while self.used_count.get() >= self.limit {
            if !self.reclaim_any() {
                self.wait_for_release().await;
            }
        }
        self.acquire_immediately()
    }

    /// Waits for a descriptor for a new client. If clients hold all that they may, an idle one is closed.
    pub async fn acquire_for_client(self: &Rc<Self>) -> DescriptorPermit {
        while self.client_count.get() >= self.max_clients || self.used_count.get() >= self.limit {
            let client_allowed = self.client_count.get() < self.max_clients;
            if !(if client_allowed { self.reclaim_any() } else { self.reclaim_client() }) {
                self.wait_for_release().await;
            }
        }
        self.client_count.set(self.client_count.get() + 1);
        let mut permit = self.acquire_immediately();
        permit.is_client = true;
        permit
    }

    /// Takes a descriptor without waiting, for the node's own calls: these are few and must not wait for
    /// clients.
    pub fn acquire_immediately(self: &Rc<Self>) -> DescriptorPermit {
        self.used_count.set(self.used_count.get() + 1);
        DescriptorPermit { descriptors: self.clone(), is_client: false }
    }

    /// Waits for a descriptor to be released. The wait is bounded because a connection that was asked to
    /// close may have become busy meanwhile.
    async fn wait_for_release(&self) {
        let _ = tokio::time::timeout(Duration::from_millis(10), self.freed.notified()).await;
    }
}

/// Permission to hold one descriptor; released when dropped.
pub struct DescriptorPermit {
    descriptors: Rc<Descriptors>,
    is_client: bool,
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let Descriptors { used_count, client_count, freed, .. } = &*self.descriptors;
        used_count.set(used_count.get().saturating_sub(1));
        client_count.set(client_count.get().saturating_sub(usize::from(self.is_client)));
        freed.notify_one();
    }
}

struct SocketState {
    stream: TcpStream,
    reads: CallRetry,
    writes: CallRetry,
    /// When the first bytes since the last [`Socket::expect_message`] were read.
    message_began: Cell<Option<Instant>>,
    /// When bytes were last written.
    last_written: Cell<Option<Instant>>,
    /// Bytes were read after the last write.
    read_since_write: Cell<bool>,
    /// The last write had to wait: the other side does not read what was written before.
    write_waits: Cell<bool>,
    /// The system's error that the connection failed with.
    failure: Cell<Option<i32>>,
    _permit: DescriptorPermit,
}

/// A socket that counts against the limit. Clones refer to the same socket, which closes with the last of
/// them.
#[derive(Clone)]
pub struct Socket(Rc<SocketState>);

impl Socket {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, permit: DescriptorPermit) -> Socket {
        // With Nagle's algorithm small answers would wait for acknowledgements. A socket that refuses the
        // option works.
        let _ = stream.set_nodelay(true);
        Socket(Rc::new(SocketState {
            stream,
            reads: CallRetry::default(),
            writes: CallRetry::default(),
            message_began: Cell::new(None),
            last_written: Cell::new(None),
            read_since_write: Cell::new(false),
            write_waits: Cell::new(false),
            failure: Cell::new(None),
            _permit: permit,
        }))
    }

    /// What is read from now on belongs to a new message.
    pub fn expect_message(&self) {
        self.0.message_began.set(None);
    }

    /// When the first bytes of the expected message were read; `None` if none were.
    pub fn message_began(&self) -> Option<Instant> {
        self.0.message_began.get()
    }

    /// When bytes were last written.
    pub fn last_written(&self) -> Option<Instant> {
        self.0.last_written.get()
    }

    /// Whether bytes were read after the last write.
    pub fn has_read_since_write(&self) -> bool {
        self.0.read_since_write.get()
    }

    /// Whether there may be unread bytes, as far as the poller knows.
    pub fn may_have_unread(&self) -> bool {
        self.poll_readiness().is_some()
    }

    /// Whether there is more to write, and the other side does not read what was written before.
    pub fn write_waits(&self) -> bool {
        self.0.write_waits.get()
    }

    /// The system's error that reading or writing failed with, if it did.
    pub fn failure(&self) -> Option<io::Error> {
        self.0.failure.get().map(io::Error::from_raw_os_error)
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        self.0.write_waits.set(written.is_pending());
        match written {
            Poll::Ready(Ok(_)) => {
                self.0.last_written.set(Some(Instant::now()));
                self.0.read_since_write.set(false);
            }
            Poll::Ready(Err(e)) => self.record_failure(e),
            Poll::Pending => {}
        }
    }

    fn record_failure(&self, error: &io::Error) {
        self.0.failure.set(error.raw_os_error());
    }

    /// Reads and discards up to `max_bytes`, or to the end.
    pub async fn discard(&self, mut max_bytes: usize) {
        let mut discarded = [std::mem::MaybeUninit::uninit(); 4096];
        while max_bytes > 0 {
            let mut buf = ReadBuf::uninit(&mut discarded);
            let result = poll_fn(|cx| self.poll_read_buf(cx, &mut buf)).await;
            if result.is_err() || buf.filled().is_empty() {
                return;
            }
            max_bytes = max_bytes.saturating_sub(buf.filled().len());
        }
    }

    /// Resets the connection when the socket closes, so that the other side sees that something was cut
    /// short.
    pub fn set_reset_on_close(&self) {
        // This fails only if the connection is already gone.
        let _ = socket2::SockRef::from(&self.0.stream).set_linger(Some(Duration::ZERO));
    }

    /// Whether there are no unread bytes and the other side has not closed. This asks the system rather than
    /// the poller.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let socket = socket2::SockRef::from(&self.0.stream);
        loop {
            match socket.peek(&mut byte) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                peeked => return matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock),
            }
        }
    }

    /// Whether the poller has seen that the other side closed the connection or its sending. Bytes that are
    /// still unread do not hide it.
    pub fn peer_has_closed(&self) -> bool {
        self.poll_readiness().is_some_and(|ready| ready.is_read_closed())
    }

    /// What the poller knows about reading; `None` if nothing has come since the last read that would block.
    fn poll_readiness(&self) -> Option<Ready> {
        let ready = pin!(self.0.stream.ready(Interest::READABLE));
        match ready.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(ready) => ready.ok(),
            Poll::Pending => None,
        }
    }

    /// Reads what is there. A short read does not mean that nothing is left: the socket counts as readable
    /// until a read would block.
    fn poll_read_buf(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
        let stream = &self.0.stream;
        let read = self.0.reads.poll(cx, |cx| stream.poll_read_ready(cx), || stream.try_read_buf(buf));
        read.map(|result| result.inspect_err(|e| self.record_failure(e)))
    }
}

/// A byte stream as seen by a front end.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}

impl<S: AsyncRead + AsyncWrite + Unpin> Stream for S {}

/// A client's identity, verified by the layer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientIdentity {
    /// The verified DNS name.
    pub dns: Option<String>,
    /// The verified e-mail address.
    pub email: Option<String>,
    /// The verified common name.
    pub common_name: Option<String>,
}

/// A connection that a layer has opened.
pub struct OpenedConnection {
    /// The byte stream.
    pub stream: Box<dyn Stream>,
    /// The verified identity of the client, if there is one.
    pub caller: Option<Rc<ClientIdentity>>,
}

/// A connection that a layer is opening.
pub type OpeningConnection = Pin<Box<dyn Future<Output = io::Result<OpenedConnection>>>>;

/// A layer between a listener's sockets and a front end, such as TLS. Front ends do not depend on which one
/// it is.
pub trait Layer {
    /// Opens a client's connection. The layer applies a time-out; dropping the future cancels it.
    fn open(&self, socket: Socket) -> OpeningConnection;
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let bytes_read = ready!(self.poll_read_buf(cx, buf))?;
        if bytes_read > 0 {
            self.0.read_since_write.set(true);
            if self.0.message_began.get().is_none() {
                self.0.message_began.set(Some(Instant::now()));
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let stream = &self.0.stream;
        let written = self.0.writes.poll(cx, |cx| stream.poll_write_ready(cx), || stream.try_write(buf));
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.0.stream;
        let written =
            self.0.writes.poll(cx, |cx| stream.poll_write_ready(cx), || stream.try_write_vectored(bufs));
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}
