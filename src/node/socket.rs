//! One TCP socket that counts what goes through it, and the count of all of them against the limit.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Descriptors kept for all that is not counted or does not wait: standard streams, the poller, the listener,
/// UDP, discovery, the configuration read again, and a connection just accepted.
const UNCOUNTED: usize = 24;

/// Closes something idle. True: a descriptor was freed at once; false: none was, or it will be soon.
type Reclaim = Box<dyn Fn() -> bool>;

/// One count over the sockets of clients, backends and discovery.
pub struct Descriptors {
    used: Cell<usize>,
    limit: usize,
    freed: Notify,
    reclaim: RefCell<Vec<Reclaim>>,
}

impl Descriptors {
    /// For a process that may hold `sockets` descriptors.
    pub fn new(sockets: usize) -> Rc<Descriptors> {
        Rc::new(Descriptors {
            used: Cell::new(0),
            limit: sockets.saturating_sub(UNCOUNTED).max(8),
            freed: Notify::new(),
            reclaim: RefCell::new(Vec::new()),
        })
    }

    /// Adds a way to get a descriptor back; ways are tried in the order they were added.
    pub fn on_pressure(&self, reclaim: Reclaim) {
        self.reclaim.borrow_mut().push(reclaim);
    }

    /// Frees what can be freed, for when the system itself has run out.
    pub fn relieve(&self) -> bool {
        self.reclaim.borrow().iter().any(|r| r())
    }

    /// Waits for a place: under pressure something idle is closed for it.
    pub async fn take(self: &Rc<Self>) -> Slot {
        self.take_below(self.limit).await
    }

    /// The same for a new client, to whom the last eighth is closed: an attempt for one that is there is
    /// better than one client more.
    pub async fn take_for_client(self: &Rc<Self>) -> Slot {
        self.take_below(self.limit - self.limit / 8).await
    }

    /// A place at once, for the node's own calls: these are few, and must not wait behind strangers.
    pub fn take_own(self: &Rc<Self>) -> Slot {
        self.used.set(self.used.get() + 1);
        Slot(self.clone())
    }

    async fn take_below(self: &Rc<Self>, limit: usize) -> Slot {
        loop {
            if self.used.get() < limit {
                return self.take_own();
            }
            if !self.relieve() {
                // The wait is bounded: what was asked to close may have turned busy meanwhile.
                let _ = tokio::time::timeout(Duration::from_millis(10), self.freed.notified()).await;
            }
        }
    }
}

/// A place in the count, given back when dropped.
pub struct Slot(Rc<Descriptors>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get().saturating_sub(1));
        self.0.freed.notify_one();
    }
}

struct Inner {
    stream: TcpStream,
    read: Cell<u64>,
    written: Cell<u64>,
    _slot: Slot,
}

/// A counted socket. Clones are the same socket; it closes with the last of them.
#[derive(Clone)]
pub struct Socket(Rc<Inner>);

impl Socket {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, slot: Slot) -> Socket {
        // Without this small answers wait for acknowledgements; a socket that refuses it still works.
        let _ = stream.set_nodelay(true);
        Socket(Rc::new(Inner { stream, read: Cell::new(0), written: Cell::new(0), _slot: slot }))
    }

    /// Bytes read so far.
    pub fn read(&self) -> u64 {
        self.0.read.get()
    }

    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.0.written.get()
    }

    /// Asks the system, not the poller: nothing to read and no end in sight.
    pub fn quiet(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.0.stream).peek(&mut byte);
        matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    buf.advance(n);
                    self.0.read.set(self.0.read.get() + n as u64);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Socket {
    fn poll_counted(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match write(&self.0.stream) {
                Ok(n) => {
                    self.0.written.set(self.0.written.get() + n as u64);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_counted(cx, |s| s.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_counted(cx, |s| s.try_write_vectored(bufs))
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
