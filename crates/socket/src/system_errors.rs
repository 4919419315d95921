//! Failures of system calls that say nothing about the connection: a call that was interrupted, and a machine
//! that is short of something for a moment. The call is made again; the connection stays as it is.

use libc::{
    EADDRNOTAVAIL, EAGAIN, ECONNABORTED, EHOSTDOWN, EHOSTUNREACH, EINTR, EMFILE, ENETDOWN, ENETUNREACH,
    ENFILE, ENOBUFS, ENOMEM, EPROTO,
};
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::Sleep;

/// How long a call waits after the machine was short of something.
const SHORTAGE_RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// The process or the machine has no descriptor left.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}

/// The machine has no memory or buffers left for a call. This says nothing about the other side.
pub(crate) fn is_out_of_memory(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENOMEM | ENOBUFS))
}

/// A connection could not be started for a reason on this machine, which may be gone in a moment.
pub(crate) fn is_local_connect_failure(error: &io::Error) -> bool {
    is_out_of_memory(error)
        || is_out_of_descriptors(error)
        || matches!(error.raw_os_error(), Some(EINTR | EAGAIN | EADDRNOTAVAIL | ENETDOWN | ENETUNREACH))
}

/// Accepting failed because of the one connection that was to be accepted, or the call was interrupted: the
/// next call may succeed. Linux passes on errors of the new connection's network (accept(2)).
pub fn is_single_accept_failure(error: &io::Error) -> bool {
    let code = error.raw_os_error();
    matches!(code, Some(EINTR | ECONNABORTED | EPROTO | ENETDOWN | ENETUNREACH | EHOSTDOWN | EHOSTUNREACH))
}

/// Repeats one kind of call on a socket, reading or writing, until it succeeds or the connection has failed.
#[derive(Default)]
pub(crate) struct CallRetry {
    /// The wait after a shortage.
    wait: RefCell<Option<Pin<Box<Sleep>>>>,
}

impl CallRetry {
    /// Makes a call once the socket is ready for it.
    ///
    /// # Errors
    /// The connection has failed.
    pub(crate) fn poll<T>(
        &self,
        cx: &mut Context<'_>,
        poll_ready: impl Fn(&mut Context<'_>) -> Poll<io::Result<()>>,
        mut call: impl FnMut() -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        let mut wait = self.wait.borrow_mut();
        if let Some(sleep) = &mut *wait {
            ready!(sleep.as_mut().poll(cx));
            *wait = None;
        }
        loop {
            ready!(poll_ready(cx))?;
            match call() {
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(e) if is_out_of_memory(&e) => {
                    let mut sleep = Box::pin(tokio::time::sleep(SHORTAGE_RETRY_INTERVAL));
                    if sleep.as_mut().poll(cx).is_pending() {
                        *wait = Some(sleep);
                        return Poll::Pending;
                    }
                }
                result => return Poll::Ready(result),
            }
        }
    }
}
