//! Until when a node may send to the servers of the list that it holds.
//!
//! What discovery has for a node may count as told although the node has not heard it: the node's process was
//! not running yet, or it was held up. So a list is held under a lease. Each pass of the node's watch renews
//! the lease of a list that was confirmed. A list is not confirmed at the start of a process and when the lease
//! ran out between two passes, as the process was held up; then only an answer to a call that was sent after
//! that confirms it, and until it comes the lease is not renewed.

use crate::Ms;

/// When discovery is moved, what the new service has counts as told this long after the move.
const MOVED_SERVICE_MS: Ms = 4_000.0;
/// Part of the term after which a lease is renewed.
const RENEWAL_PART: f64 = 0.5;

/// The lease of the list that a node holds.
#[derive(Clone, Copy, Debug)]
pub struct ListLease {
    /// How long a lease lasts if it is not renewed.
    term_ms: Ms,
    expires_ms: Ms,
    /// Only answers to calls that were sent from this time on confirm the list.
    confirmable_from_ms: Ms,
    is_confirmed: bool,
}

impl ListLease {
    /// The lease of a list that nobody has confirmed, held since a time.
    pub fn unconfirmed(held_since_ms: Ms, term_ms: Ms) -> ListLease {
        ListLease {
            term_ms,
            expires_ms: held_since_ms + term_ms,
            confirmable_from_ms: held_since_ms,
            is_confirmed: false,
        }
    }

    /// Takes note that the process runs, and renews the lease of a confirmed list. If it has run out, the
    /// process was held up since the last pass, and the list counts as unconfirmed since then.
    pub fn observe(&mut self, now: Ms) {
        if !self.is_confirmed {
            return;
        }
        if now > self.expires_ms {
            self.is_confirmed = false;
            self.confirmable_from_ms = now;
        } else {
            self.expires_ms = self.expires_ms.max(now + self.term_ms);
        }
    }

    /// An answer to a call that was sent at `call_sent_ms` has confirmed the list, if it was not sent too early.
    pub fn confirm(&mut self, now: Ms, call_sent_ms: Ms) {
        if call_sent_ms >= self.confirmable_from_ms {
            self.is_confirmed = true;
            self.expires_ms = now + self.term_ms;
        }
    }

    /// Discovery is elsewhere from now on. The list has to be confirmed there.
    pub fn move_service(&mut self, now: Ms) {
        let expires_ms = now + MOVED_SERVICE_MS + self.term_ms;
        self.expires_ms = if self.is_confirmed { expires_ms } else { self.expires_ms.min(expires_ms) };
        self.is_confirmed = false;
        self.confirmable_from_ms = now;
    }

    /// Whether an answer to a call that was sent at this time confirms nothing any more.
    pub fn is_outdated(&self, call_sent_ms: Ms) -> bool {
        call_sent_ms < self.confirmable_from_ms
    }

    /// Whether discovery has confirmed the list.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// When sending to servers of the list must end if the lease is not renewed before.
    pub fn expires_ms(&self) -> Ms {
        self.expires_ms
    }

    /// When to renew the lease; infinite for a list that is not confirmed.
    pub fn renewal_due_ms(&self) -> Ms {
        if self.is_confirmed { self.expires_ms - self.term_ms * RENEWAL_PART } else { Ms::INFINITY }
    }
}
