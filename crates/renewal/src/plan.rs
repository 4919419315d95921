//! What is to be done about a certificate now, and what to call how it stands.

use crate::record::{Record, Seconds, WEEK_S};

/// A life shorter than this is renewed in its middle.
const SHORT_S: Seconds = 10.0 * 86_400.0;
const SHORT_PART: f64 = 0.5;
/// Nodes and names spread over this part of the time before a renewal is due.
const SPREAD: f64 = 0.1;
/// Less than this part of its life is left: whoever is on call must know.
const CRITICAL_PART: f64 = 0.15;
/// The next authority is asked after so many failures of those before it.
const PATIENCE: u32 = 2;

/// What the operator wants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// A certificate is renewed when this part of its life is left.
    pub renew_part: f64,
    /// Orders in any week, at most.
    pub orders_a_week: usize,
    /// From 0 to 1, by name and node: where in the spread this one is.
    pub place: f64,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Nothing before then.
    Wait(Seconds),
    /// Order it from this authority, by its place.
    Order(usize),
}

/// How a certificate stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// There is none.
    Missing,
    /// Its time has not begun, or this node's clock is wrong.
    NotYet,
    /// There is nothing to do.
    Fresh,
    /// It is to be renewed.
    Due,
    /// Renewing it has failed since.
    Failing(Seconds),
    /// Hardly any of its life is left.
    Critical,
    /// It was revoked.
    Revoked,
    /// It is over.
    Expired,
}

impl Standing {
    /// The word for it in logs, metrics and lists.
    pub fn word(self) -> &'static str {
        match self {
            Standing::Missing => "missing",
            Standing::NotYet => "not-yet",
            Standing::Fresh => "fresh",
            Standing::Due => "due",
            Standing::Failing(_) => "failing",
            Standing::Critical => "critical",
            Standing::Revoked => "revoked",
            Standing::Expired => "expired",
        }
    }

    /// Somebody should look at it.
    pub fn warns(self) -> bool {
        !matches!(self, Standing::Fresh | Standing::Due)
    }
}

impl Record {
    /// From when on it is to be renewed; 0 for at once.
    pub fn due(&self, policy: &Policy) -> Seconds {
        let Some(held) = self.held.filter(|_| !self.revoked) else { return 0.0 };
        let part =
            if held.life() < SHORT_S { policy.renew_part.max(SHORT_PART) } else { policy.renew_part };
        let (place, left) = (policy.place.clamp(0.0, 1.0), held.life() * part);
        let own = held.not_after - left * (1.0 + SPREAD * place);
        match self.window {
            // Its authority knows more than a rule of thumb, such as that it will be revoked; but one that would have it
            // expire is not followed.
            Some((from, to)) if to >= from && from < held.not_after => {
                (from + (to - from) * place).min(held.not_after - left / 2.0)
            }
            _ => own,
        }
    }

    /// Orders that the budget allows at this time.
    pub fn left(&self, policy: &Policy, now: Seconds) -> usize {
        let made = self.orders.iter().filter(|o| now - **o < WEEK_S).count();
        policy.orders_a_week.saturating_sub(made)
    }

    /// What to do now. The record must be settled.
    pub fn next(&self, policy: &Policy, now: Seconds) -> Step {
        let due = self.due(policy);
        if now < due {
            return Step::Wait(due);
        }
        if self.left(policy, now) == 0 {
            let oldest = self.orders.iter().copied().fold(f64::INFINITY, f64::min);
            return Step::Wait(oldest + WEEK_S);
        }
        // Waiting takes no more than a quarter of the time in which nobody need be told.
        let patient_until = now + (self.critical_at() - now) / 4.0;
        let mut opens = f64::INFINITY;
        for (n, door) in self.doors.iter().enumerate() {
            if now >= door.shut_until {
                return Step::Order(n);
            }
            opens = opens.min(door.shut_until);
            // One that is only in passing trouble is waited for; one that stays away, or is away too long, is not.
            if door.failures < PATIENCE && door.shut_until < patient_until {
                break;
            }
        }
        Step::Wait(opens)
    }

    fn critical_at(&self) -> Seconds {
        self.held.map_or(0.0, |h| h.not_after - h.life() * CRITICAL_PART)
    }

    /// How it stands. The record must be settled.
    pub fn standing(&self, policy: &Policy, now: Seconds) -> Standing {
        let Some(held) = self.held else { return Standing::Missing };
        match () {
            () if now >= held.not_after => Standing::Expired,
            () if now < held.not_before => Standing::NotYet,
            () if self.revoked => Standing::Revoked,
            () if now >= self.critical_at() => Standing::Critical,
            () => match self.failing_since {
                Some(since) => Standing::Failing(since),
                None if now >= self.due(policy) => Standing::Due,
                None => Standing::Fresh,
            },
        }
    }
}
