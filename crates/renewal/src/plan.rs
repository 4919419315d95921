//! Decides the next step for a certificate and derives its state.

use crate::record::{Record, Seconds, WEEK_S};

/// Certificates with a shorter lifetime are renewed no later than the middle of it.
const SHORT_LIFETIME_S: Seconds = 10.0 * 86_400.0;
const SHORT_LIFETIME_FRACTION: f64 = 0.5;
/// Renewals of different nodes and names are spread over this fraction of the time that is left at
/// renewal, before the configured renewal time.
const SPREAD_FRACTION: f64 = 0.1;
/// Below this fraction of the lifetime, the state is critical and operators must be alerted.
const CRITICAL_FRACTION: f64 = 0.15;
/// After this many failures in a row of an authority, the next one is tried.
const MAX_FAILURES_BEFORE_NEXT: u32 = 2;

/// The operator's renewal settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// A certificate is renewed when this fraction of its lifetime is left.
    pub renew_fraction: f64,
    /// Maximum number of orders in any week.
    pub orders_a_week: usize,
    /// Position in the spread from 0 to 1, derived from the name and the node.
    pub spread_position: f64,
}

/// The next step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RenewalStep {
    /// Do nothing before this time.
    Wait(Seconds),
    /// Place an order with the authority of this index.
    Order(usize),
}

/// State of a certificate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CertificateState {
    /// There is no certificate.
    Missing,
    /// It is not valid yet, or this node's clock is wrong.
    NotYet,
    /// Valid and not due for renewal.
    Fresh,
    /// Due for renewal.
    Due,
    /// Renewal has failed since this time.
    Failing(Seconds),
    /// Little of its lifetime is left.
    Critical,
    /// It was revoked.
    Revoked,
    /// It has expired.
    Expired,
}

impl CertificateState {
    /// Label in logs, metrics and lists.
    pub fn label(self) -> &'static str {
        match self {
            CertificateState::Missing => "missing",
            CertificateState::NotYet => "not-yet",
            CertificateState::Fresh => "fresh",
            CertificateState::Due => "due",
            CertificateState::Failing(_) => "failing",
            CertificateState::Critical => "critical",
            CertificateState::Revoked => "revoked",
            CertificateState::Expired => "expired",
        }
    }

    /// Whether an operator should act.
    pub fn needs_attention(self) -> bool {
        !matches!(self, CertificateState::Fresh | CertificateState::Due)
    }
}

impl Record {
    /// Time from which it is due for renewal; 0 if it is due at once.
    pub fn renew_from(&self, policy: &Policy) -> Seconds {
        let Some(validity) = self.validity.filter(|_| !self.revoked) else { return 0.0 };
        let fraction = if validity.lifetime_s() < SHORT_LIFETIME_S {
            policy.renew_fraction.max(SHORT_LIFETIME_FRACTION)
        } else {
            policy.renew_fraction
        };
        let (position, remaining_s) =
            (policy.spread_position.clamp(0.0, 1.0), validity.lifetime_s() * fraction);
        let by_lifetime = validity.not_after - remaining_s * (1.0 + SPREAD_FRACTION * position);
        match self.window {
            // The authority's window goes first: it may know more, such as a coming revocation. A window
            // that would let the certificate expire is ignored.
            Some((from, to)) if to >= from && from < validity.not_after => {
                (from + (to - from) * position).min(validity.not_after - remaining_s / 2.0)
            }
            _ => by_lifetime,
        }
    }

    /// Orders that the weekly budget still allows.
    pub fn orders_left(&self, policy: &Policy, now: Seconds) -> usize {
        let in_last_week = self.orders.iter().filter(|t| now - **t < WEEK_S).count();
        policy.orders_a_week.saturating_sub(in_last_week)
    }

    /// The next step. The record must be normalized ([`Record::normalize`]).
    pub fn next(&self, policy: &Policy, now: Seconds) -> RenewalStep {
        let renew_from = self.renew_from(policy);
        if now < renew_from {
            return RenewalStep::Wait(renew_from);
        }
        if self.orders_left(policy, now) == 0 {
            let oldest = self.orders.iter().copied().fold(f64::INFINITY, f64::min);
            return RenewalStep::Wait(oldest + WEEK_S);
        }
        // Wait for at most a quarter of the time until the state becomes critical.
        let patient_until = now + (self.critical_at() - now) / 4.0;
        let mut earliest_retry = f64::INFINITY;
        for (n, authority) in self.authority_states.iter().enumerate() {
            if now >= authority.retry_from_s {
                return RenewalStep::Order(n);
            }
            earliest_retry = earliest_retry.min(authority.retry_from_s);
            // An authority with a temporary failure is waited for. After repeated failures, or if the wait
            // is too long, the next one is tried.
            if authority.failures < MAX_FAILURES_BEFORE_NEXT && authority.retry_from_s < patient_until {
                break;
            }
        }
        RenewalStep::Wait(earliest_retry)
    }

    fn critical_at(&self) -> Seconds {
        self.validity.map_or(0.0, |v| v.not_after - v.lifetime_s() * CRITICAL_FRACTION)
    }

    /// The state. The record must be normalized ([`Record::normalize`]).
    pub fn state(&self, policy: &Policy, now: Seconds) -> CertificateState {
        let Some(validity) = self.validity else { return CertificateState::Missing };
        if now >= validity.not_after {
            CertificateState::Expired
        } else if now < validity.not_before {
            CertificateState::NotYet
        } else if self.revoked {
            CertificateState::Revoked
        } else if now >= self.critical_at() {
            CertificateState::Critical
        } else {
            match self.failing_since {
                Some(since) => CertificateState::Failing(since),
                None if now >= self.renew_from(policy) => CertificateState::Due,
                None => CertificateState::Fresh,
            }
        }
    }
}
