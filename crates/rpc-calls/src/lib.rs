//! Tracks the open MessagePack-RPC calls of each client connection: limits their number, checks their msgids,
//! and writes exactly one response per call, in the order in which calls end. No I/O and no clock.
//! `applemill-rpc-wire` reads and writes the messages; the front end and the ledger interpret methods and
//! decide the result of a call.
//!
//! An accepted call is represented by a [`PendingResponse`] value. Responding consumes the value, and
//! dropping it responds that the call failed: a call cannot be left without a response or receive two.
//!
//! ```
//! use applemill_rpc_calls::{Accepted, CallPermits, Calls, Limits};
//! use applemill_rpc_wire::Message;
//!
//! let calls = Calls::new(Limits { max_open_calls: 8, max_unsent_bytes: 1 << 20 }, &CallPermits::new(1_000));
//! let (method, params) = (b"\xa3bid".as_slice().into(), b"\x90".as_slice().into());
//! let request = Message::Request { msgid: 7, method, params };
//! let Accepted::Call { pending, .. } = calls.accept(request) else { panic!("below the limits") };
//! pending.succeed(b"\xc3".as_slice().into());
//! assert_eq!(&calls.take_output()[..], b"\x94\x01\x07\xc0\xc3");
//! ```

mod error;

pub use error::Refusal;

use applemill_rpc_wire::Message;
use bytes::{Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Number of calls that may be open at once.
    pub max_open_calls: usize,
    /// Bytes of unsent responses from which on no more requests are read from the client.
    pub max_unsent_bytes: usize,
}

/// Permits for open calls, shared by all connections.
#[derive(Clone, Debug)]
pub struct CallPermits {
    in_use: Rc<Cell<usize>>,
    total: usize,
}

impl CallPermits {
    /// Creates this number of permits.
    pub fn new(total: usize) -> CallPermits {
        CallPermits { in_use: Rc::default(), total }
    }

    /// Number of permits in use.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    fn acquire(&self) -> Option<CallPermit> {
        (self.in_use.get() < self.total).then(|| {
            self.in_use.set(self.in_use.get() + 1);
            CallPermit(self.in_use.clone())
        })
    }
}

/// One permit, returned on drop.
#[derive(Debug)]
struct CallPermit(Rc<Cell<usize>>);

impl Drop for CallPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A violation of the protocol by a client. No more is read from its connection, which is closed after the
/// open calls have been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolViolation {
    /// A request reuses the msgid of an open call. It gets no refusal, since the client could not distinguish
    /// that from the response to the first call, which may be a bid that is being executed.
    DuplicateMsgid(u32),
    /// The client sent a response.
    UnexpectedResponse,
}

/// What [`Calls::accept`] did with a message.
#[derive(Debug)]
pub enum Accepted {
    /// A call that must be answered.
    Call {
        /// Handle for the response.
        pending: PendingResponse,
        /// Encoded name of the method, as received.
        method: Bytes,
        /// Encoded params, as received.
        params: Bytes,
    },
    /// A call without a response, to be executed at most once.
    Notification {
        /// Encoded name of the method, as received.
        method: Bytes,
        /// Encoded params, as received.
        params: Bytes,
    },
    /// The call was refused because the connection has too many open calls or no permit is free. Its response
    /// has been written.
    Refused,
    /// The client violated the protocol, now or earlier on this connection.
    Violation(ProtocolViolation),
}

#[derive(Debug, Default)]
struct Inner {
    /// Msgids of the open calls.
    open_ids: BTreeSet<u32>,
    output: BytesMut,
    violation: Option<ProtocolViolation>,
    /// The client has disconnected: responses are discarded.
    disconnected: bool,
    /// The client has closed its sending direction.
    half_closed: bool,
}

/// The calls of one connection.
#[derive(Clone, Debug)]
pub struct Calls {
    limits: Limits,
    permits: CallPermits,
    inner: Rc<RefCell<Inner>>,
}

impl Calls {
    /// Creates the state of a new connection.
    pub fn new(limits: Limits, permits: &CallPermits) -> Calls {
        Calls { limits, permits: permits.clone(), inner: Rc::default() }
    }

    /// Handles a message from the client. After a protocol violation all messages are rejected.
    pub fn accept(&self, message: Message) -> Accepted {
        let mut inner = self.inner.borrow_mut();
        if let Some(violation) = inner.violation {
            return Accepted::Violation(violation);
        }
        match message {
            Message::Notification { method, params } => Accepted::Notification { method, params },
            Message::Response { .. } => {
                inner.violation = Some(ProtocolViolation::UnexpectedResponse);
                Accepted::Violation(ProtocolViolation::UnexpectedResponse)
            }
            Message::Request { msgid, .. } if inner.open_ids.contains(&msgid) => {
                inner.violation = Some(ProtocolViolation::DuplicateMsgid(msgid));
                Accepted::Violation(ProtocolViolation::DuplicateMsgid(msgid))
            }
            Message::Request { msgid, method, params } => {
                let permit = if inner.open_ids.len() < self.limits.max_open_calls {
                    self.permits.acquire()
                } else {
                    None
                };
                let Some(permit) = permit else {
                    inner.write_response(msgid, Refusal::Refused { retry_after_ms: 0.0 }.encode(), nil());
                    return Accepted::Refused;
                };
                inner.open_ids.insert(msgid);
                let pending = PendingResponse { msgid, inner: Some(self.inner.clone()), _permit: permit };
                Accepted::Call { pending, method, params }
            }
        }
    }

    /// Whether more may be read from the client: not after a protocol violation or the end of its sending
    /// direction, and not while too many bytes are unsent.
    pub fn may_read(&self) -> bool {
        let inner = self.inner.borrow();
        inner.violation.is_none()
            && !inner.half_closed
            && !inner.disconnected
            && inner.output.len() < self.limits.max_unsent_bytes
    }

    /// Removes and returns the bytes to be sent to the client.
    pub fn take_output(&self) -> Bytes {
        self.inner.borrow_mut().output.split().freeze()
    }

    /// Number of open calls.
    pub fn open_calls(&self) -> usize {
        self.inner.borrow().open_ids.len()
    }

    /// The client has closed its sending direction; it may still wait for responses.
    pub fn client_half_closed(&self) {
        self.inner.borrow_mut().half_closed = true;
    }

    /// The client has disconnected: unsent and later responses are discarded.
    pub fn client_disconnected(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.disconnected = true;
        inner.output.clear();
    }

    /// Whether the connection may be closed: no more is read, no call is open, and all output has been taken.
    pub fn is_finished(&self) -> bool {
        let inner = self.inner.borrow();
        let reading_ended = inner.violation.is_some() || inner.half_closed || inner.disconnected;
        reading_ended && inner.open_ids.is_empty() && inner.output.is_empty()
    }
}

impl Inner {
    fn write_response(&mut self, msgid: u32, error: Bytes, result: Bytes) {
        if !self.disconnected {
            Message::Response { msgid, error, result }.write(&mut self.output);
        }
    }
}

fn nil() -> Bytes {
    Bytes::from_static(b"\xc0")
}

/// An accepted call without a response yet. Dropping it responds that the call failed and may have been
/// executed.
#[derive(Debug)]
pub struct PendingResponse {
    msgid: u32,
    /// `None` after the response.
    inner: Option<Rc<RefCell<Inner>>>,
    _permit: CallPermit,
}

impl PendingResponse {
    /// The msgid of the call.
    pub fn msgid(&self) -> u32 {
        self.msgid
    }

    /// Whether the client has disconnected, so that the response will be discarded.
    pub fn is_unwanted(&self) -> bool {
        self.inner.as_ref().is_none_or(|inner| inner.borrow().disconnected)
    }

    /// Responds with a result, passed on as received from the server.
    pub fn succeed(mut self, result: Bytes) {
        self.respond(nil(), result);
    }

    /// Responds with the error and result of the server, passed on as received.
    pub fn error(mut self, error: Bytes, result: Bytes) {
        self.respond(error, result);
    }

    /// Responds with an error of the node itself.
    pub fn refuse(mut self, refusal: Refusal) {
        self.respond(refusal.encode(), nil());
    }

    fn respond(&mut self, error: Bytes, result: Bytes) {
        let Some(inner) = self.inner.take() else { return };
        let mut inner = inner.borrow_mut();
        inner.open_ids.remove(&self.msgid);
        inner.write_response(self.msgid, error, result);
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        self.respond(Refusal::Failed.encode(), nil());
    }
}
