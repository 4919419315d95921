//! The state of a client's connection: whether it is in use, when it may be closed, and why it ended.

use applemill_socket::Socket;
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::Notify;
use tracing::{debug, warn};

/// A connection on which nothing comes for this long, since it began or since its last answer, is closed: it is
/// silent, or does not read its answer.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_millis(2200);
/// A request's head has to be complete this long after its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// When the idle time-out is checked again on a connection that was in use.
pub(crate) const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The first request of a new connection is expected within this time.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(25);
/// If descriptors are scarce, a client that has not completed its request for this long may be closed.
const STALLED_AFTER: Duration = Duration::from_millis(100);
/// If descriptors are scarce, a client that has read nothing of its answer for this long may be closed.
const UNREAD_AFTER: Duration = Duration::from_millis(250);
/// How often an open request's client is checked for having gone: nothing may begin 100 ms after that.
const GONE_CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// How long a request waits after the answer to the one before it if both were sent together: a client that has
/// closed the connection resets it meanwhile.
const PIPELINED_DELAY: Duration = Duration::from_millis(5);
/// How many characters of a request's id are kept for the log.
const MAX_LOGGED_ID_CHARS: usize = 64;

/// Why a client's connection ends.
#[derive(Debug, Error)]
pub(crate) enum CloseReason {
    /// The last answer was sent, or the client closed it between requests.
    #[error("complete")]
    Complete,
    /// The connection failed, or the client left or sent what is not HTTP.
    #[error("{}", with_cause(.0))]
    Failed(#[from] hyper::Error),
    /// The body of an answer was cut short, so the connection is reset.
    #[error("the body of the answer was cut short")]
    BodyTruncated,
    /// No request or no complete head came in time.
    #[error("idle for too long")]
    IdleTimeout,
    /// The client did not read its answer in time, so the connection is reset.
    #[error("the answer was not read")]
    AnswerUnread,
    /// Idle connections are closed because descriptors are scarce or the node stops.
    #[error("closed while idle")]
    ClosedIdle,
    /// A connection without a complete request is closed, as descriptors are scarce or the node stops.
    #[error("closed without a complete request")]
    ClosedEarly,
}

fn with_cause(error: &hyper::Error) -> String {
    error.source().map_or_else(|| error.to_string(), |cause| format!("{error}: {cause}"))
}

/// Whether the other side has closed or reset the connection.
fn is_disconnect(kind: ErrorKind) -> bool {
    use ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, NotConnected, UnexpectedEof};
    matches!(kind, BrokenPipe | ConnectionAborted | ConnectionReset | NotConnected | UnexpectedEof)
}

/// The last request of a connection, for the log.
struct LastRequest {
    id: Box<str>,
    received: Instant,
    /// Its answer was handed over for sending; it may not have been sent.
    answered: bool,
}

/// Counts a client that has sent a request and may send more, until it is dropped.
pub(crate) struct ReturningClient(Rc<Cell<usize>>);

impl ReturningClient {
    fn new(count: &Rc<Cell<usize>>) -> ReturningClient {
        count.set(count.get() + 1);
        ReturningClient(count.clone())
    }
}

impl Drop for ReturningClient {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// One client connection.
pub(crate) struct Client {
    pub(crate) socket: Socket,
    busy: Cell<bool>,
    /// The current request has not been received completely.
    receiving: Cell<bool>,
    /// Set from the first complete request head until the connection is finished.
    pub(crate) returning: RefCell<Option<ReturningClient>>,
    returning_clients: Rc<Cell<usize>>,
    pub(crate) idle_since: Cell<Instant>,
    /// More had come when the last answer was handed over.
    had_unread: Cell<bool>,
    /// When an incomplete request was first seen.
    stalled_since: Cell<Option<Instant>>,
    /// The last answer was sent; the rest of the input is read and discarded.
    pub(crate) finished: Cell<bool>,
    pub(crate) close: Notify,
    last_request: RefCell<Option<LastRequest>>,
    /// The length of the last answer, if it was buffered.
    pub(crate) answer_bytes: Cell<usize>,
    answer_dropped: Cell<bool>,
    /// How long the client may read nothing of its answer.
    unread_timeout: Cell<Duration>,
}

/// The order in which connections are closed to free descriptors, first to last.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ClosePriority {
    Finished,
    NoRequestYet,
    Idle,
    /// It has not sent all of its request.
    Stalled,
    /// It does not read its answer.
    Unread,
}

impl Client {
    /// A new connection. It counts in `returning_clients` from its first request on.
    pub(crate) fn new(socket: Socket, returning_clients: Rc<Cell<usize>>) -> Client {
        Client {
            socket,
            busy: Cell::new(false),
            receiving: Cell::new(false),
            returning: RefCell::default(),
            returning_clients,
            idle_since: Cell::new(Instant::now()),
            had_unread: Cell::new(false),
            stalled_since: Cell::new(None),
            finished: Cell::new(false),
            close: Notify::new(),
            last_request: RefCell::default(),
            answer_bytes: Cell::new(0),
            answer_dropped: Cell::new(false),
            unread_timeout: Cell::new(IDLE_TIMEOUT),
        }
    }

    fn start_request(&self, id: &str) {
        let id = id.chars().take(MAX_LOGGED_ID_CHARS).collect();
        *self.last_request.borrow_mut() =
            Some(LastRequest { id, received: Instant::now(), answered: false });
    }

    /// The answer to the last request is handed over for sending. The client may read nothing of it for
    /// `unread_timeout`, or for as long as a connection may be idle.
    pub(crate) fn set_answered(
        &self,
        status: StatusCode,
        answer_bytes: usize,
        unread_timeout: Option<Duration>,
    ) {
        self.answer_bytes.set(answer_bytes);
        self.unread_timeout.set(unread_timeout.unwrap_or(IDLE_TIMEOUT));
        if let Some(last_request) = &mut *self.last_request.borrow_mut() {
            last_request.answered = true;
            let request_age_ms = last_request.received.elapsed().as_millis();
            debug!(request = last_request.id.as_ref(), status = status.as_u16(), request_age_ms, "answers");
        }
    }

    /// Since when the client has read nothing of its answer; `None` if it has read all that was written.
    pub(crate) fn unread_since(&self) -> Option<Instant> {
        self.socket.last_written().filter(|_| self.socket.write_waits())
    }

    /// Ends the connection, and with it the answer that the client does not read.
    pub(crate) fn drop_answer(&self) {
        self.answer_dropped.set(true);
        self.close.notify_one();
    }

    pub(crate) fn is_answer_dropped(&self) -> bool {
        self.answer_dropped.get()
    }

    /// Waits until the client has closed the connection. While a client's next request is buffered, the
    /// connection is not read, and its end would go unnoticed.
    pub(crate) async fn gone(&self) {
        while !self.socket.peer_has_closed() {
            tokio::time::sleep(GONE_CHECK_INTERVAL).await;
        }
    }

    /// Waits until more has come than the request that is served, and was not read: the end of the connection may
    /// stand behind it, where it is not seen.
    pub(crate) async fn has_hidden_end(&self) {
        loop {
            tokio::time::sleep(GONE_CHECK_INTERVAL).await;
            if self.socket.may_have_unread() && !self.socket.is_quiet() {
                return;
            }
        }
    }

    /// Waits before a request that was sent before the last answer. With much unread, the end of a connection is
    /// not seen until an answer has reached the client that is gone. Returns whether the client is still there.
    pub(crate) async fn remains_after_last_answer(&self) -> bool {
        let Some(last_written) = self.socket.last_written() else { return true };
        let was_sent_before = self.had_unread.get() || !self.socket.has_read_since_write();
        if was_sent_before {
            tokio::time::sleep_until((last_written + PIPELINED_DELAY).into()).await;
        }
        !was_sent_before || !self.socket.peer_has_closed()
    }

    /// Logs why the connection ends. Only failures that no client causes are more than details.
    pub(crate) fn log_close(&self, reason: &CloseReason) {
        let last_request = self.last_request.borrow();
        let request = last_request.as_ref().map_or("none", |r| r.id.as_ref());
        let request_age_ms = last_request.as_ref().map_or(0, |r| r.received.elapsed().as_millis());
        let answered = last_request.as_ref().is_none_or(|r| r.answered);
        match self.socket.failure().filter(|failure| !is_disconnect(failure.kind())) {
            Some(failure) => {
                warn!(request, request_age_ms, answered, "client connection failed: {failure}: {reason}")
            }
            None => debug!(request, request_age_ms, answered, "client connection ends: {reason}"),
        }
    }

    /// The current request has been received.
    pub(crate) fn set_received(&self) {
        self.receiving.set(false);
    }

    /// The priority for closing; `None` while a request is served.
    pub(crate) fn close_priority(&self) -> Option<ClosePriority> {
        match self.socket.message_began() {
            _ if self.finished.get() => Some(ClosePriority::Finished),
            _ if self.receiving.get() => Some(ClosePriority::Stalled),
            _ if self.busy.get() => None,
            _ if self.socket.write_waits() => Some(ClosePriority::Unread),
            _ if self.returning.borrow().is_none() => Some(ClosePriority::NoRequestYet),
            None => Some(ClosePriority::Idle),
            Some(_) => Some(ClosePriority::Stalled),
        }
    }

    /// Whether the connection can be closed now. This also checks the socket for unread bytes. A new
    /// connection gets time for its first request.
    pub(crate) fn can_close(&self) -> bool {
        let request_started = self.socket.message_began().is_some();
        match self.close_priority() {
            None => false,
            Some(ClosePriority::Finished) => true,
            Some(ClosePriority::NoRequestYet) => {
                self.idle_since.get().elapsed() > FIRST_REQUEST_GRACE
                    && (request_started || self.socket.is_quiet())
            }
            Some(ClosePriority::Idle) => self.socket.is_quiet(),
            Some(ClosePriority::Stalled) => {
                let since = self.stalled_since.get().unwrap_or_else(Instant::now);
                self.stalled_since.set(Some(since));
                since.elapsed() > STALLED_AFTER
            }
            Some(ClosePriority::Unread) => {
                self.unread_since().is_some_and(|since| since.elapsed() > UNREAD_AFTER)
            }
        }
    }

    /// When the connection is to be closed if nothing changes: it has no request, has waited too long for the
    /// rest of a request's head, or its client does not read its answer.
    pub(crate) fn times_out_at(&self) -> Instant {
        let idle_since = self.idle_since.get();
        let last_active = self.socket.last_written().map_or(idle_since, |at| at.max(idle_since));
        match self.socket.message_began() {
            _ if self.socket.write_waits() => last_active + self.unread_timeout.get(),
            Some(began) => began + HEAD_TIMEOUT,
            None => last_active + IDLE_TIMEOUT,
        }
    }

    /// Why the connection is closed once its time is over.
    pub(crate) fn time_out_reason(&self) -> CloseReason {
        if self.socket.write_waits() { CloseReason::AnswerUnread } else { CloseReason::IdleTimeout }
    }

    /// Whether the connection serves no request and its time is over.
    pub(crate) fn has_timed_out(&self) -> bool {
        let times_out_at = self.times_out_at();
        // Unread bytes get one more check interval to be read.
        let has_unread_bytes = self.socket.message_began().is_none()
            && !self.socket.is_quiet()
            && times_out_at.elapsed() < RECHECK_INTERVAL;
        !self.busy.get() && times_out_at <= Instant::now() && !has_unread_bytes
    }
}

/// Marks a connection as busy while a request is served.
pub(crate) struct BusyGuard(Rc<Client>);

impl BusyGuard {
    pub(crate) fn new(client: Rc<Client>, request_id: &str) -> BusyGuard {
        client.busy.set(true);
        client.receiving.set(true);
        client
            .returning
            .borrow_mut()
            .get_or_insert_with(|| ReturningClient::new(&client.returning_clients));
        client.stalled_since.set(None);
        client.start_request(request_id);
        BusyGuard(client)
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.receiving.set(false);
        self.0.idle_since.set(Instant::now());
        self.0.had_unread.set(self.0.socket.may_have_unread());
        self.0.socket.expect_message();
    }
}
