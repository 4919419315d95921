//! The persistent renewal record of a certificate: its validity, its orders and the state of its
//! authorities.

use serde::{Deserialize, Serialize};

/// A time in seconds since 1970, or a duration in seconds.
pub type Seconds = f64;

/// Period of the order budget.
pub const WEEK_S: Seconds = 7.0 * 86_400.0;
/// Longest wait for an authority, whatever it asks for, so that a wrong header or clock does not block it
/// for ever.
const MAX_RETRY_WAIT_S: Seconds = 2.0 * WEEK_S;
/// Shortest wait before an authority is asked again, however short the lifetime is.
const MIN_RETRY_WAIT_S: Seconds = 0.25;
/// Length to which an authority's error text is cut, in characters.
const MAX_ERROR_CHARS: usize = 500;

/// Validity period of a certificate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CertificateValidity {
    /// Start of the validity.
    pub not_before: Seconds,
    /// End of the validity.
    pub not_after: Seconds,
}

impl CertificateValidity {
    /// Length of the validity period, in seconds.
    pub fn lifetime_s(&self) -> Seconds {
        (self.not_after - self.not_before).max(0.0)
    }
}

/// Why an order failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OrderFailure {
    /// Rate limit of the authority; the requested wait, if given.
    RateLimited(Option<Seconds>),
    /// The authority is unreachable, slow, or reports a server error; the requested wait, if given.
    Unavailable(Option<Seconds>),
    /// The authority did not find the proof of a name.
    Unproven,
    /// The authority rejects this order or this account.
    Refused,
    /// The authority returned a certificate that does not match the order, or an unreadable answer.
    InvalidCertificate,
    /// A local error: the certificate could not be stored or the proof not be published.
    Local,
}

/// An order that gave no certificate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailedOrder {
    /// Index of the authority.
    pub authority_index: usize,
    /// Why it failed.
    pub failure: OrderFailure,
    /// Whether the order had been created at the authority; it then counts against the budget.
    pub order_created: bool,
}

/// Retry state of one authority.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AuthorityState {
    /// Earliest time of the next attempt.
    #[serde(rename = "shut_until")]
    pub retry_from_s: Seconds,
    /// Failures since the last certificate from it.
    pub failures: u32,
    /// Text of its last error.
    #[serde(rename = "words")]
    pub last_error: String,
}

/// The renewal record of one certificate.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Validity of the newest certificate.
    #[serde(rename = "held")]
    pub validity: Option<CertificateValidity>,
    /// Renewal window from its authority (RFC 9773, 4.2).
    pub window: Option<(Seconds, Seconds)>,
    /// It was revoked, or its authority announces that it will be.
    pub revoked: bool,
    /// Times of the orders in the last week.
    pub orders: Vec<Seconds>,
    /// State of each authority, the preferred one first.
    #[serde(rename = "doors")]
    pub authority_states: Vec<AuthorityState>,
    /// Time of the first failure since the last success.
    pub failing_since: Option<Seconds>,
}

impl Record {
    /// Call this whenever the clock is read. A recorded time in the future comes from a clock that has
    /// been set back since and is replaced by the current time.
    pub fn normalize(&mut self, now: Seconds, authorities: usize) {
        self.authority_states.resize_with(authorities, AuthorityState::default);
        self.orders.iter_mut().for_each(|time| *time = time.min(now));
        self.orders.retain(|time| now - *time < WEEK_S);
        self.failing_since = self.failing_since.map(|s| s.min(now));
        for authority in &mut self.authority_states {
            authority.retry_from_s = authority.retry_from_s.min(now + MAX_RETRY_WAIT_S);
        }
    }

    /// Records an order. Call this and store the record before placing the order, so that a crash does not
    /// lose it.
    pub fn record_order(&mut self, now: Seconds) {
        self.orders.push(now);
    }

    /// Removes the last order: the authority rejected it, so it does not count.
    pub fn cancel_order(&mut self) {
        self.orders.pop();
    }

    /// Records a new certificate and clears all failures.
    pub fn record_certificate(&mut self, validity: CertificateValidity) {
        self.validity = Some(validity);
        (self.window, self.revoked, self.failing_since) = (None, false, None);
        self.authority_states.iter_mut().for_each(|d| *d = AuthorityState::default());
    }

    /// Records a failed order and sets the authority's retry time. `orders_left` is what the budget still
    /// allows; `draw`, from 0 to 1, spreads the retries of nodes that fail together.
    pub fn record_failure(
        &mut self,
        now: Seconds,
        failed: FailedOrder,
        orders_left: usize,
        error: &str,
        draw: f64,
    ) {
        self.failing_since.get_or_insert(now);
        let lifetime_s = self.validity.map_or(90.0 * 86_400.0, |v| v.lifetime_s());
        let remaining_s = self.validity.map_or(0.0, |v| (v.not_after - now).max(0.0));
        let Some(authority) = self.authority_states.get_mut(failed.authority_index) else { return };
        authority.failures = authority.failures.saturating_add(1);
        authority.last_error = error.chars().take(MAX_ERROR_CHARS).collect();
        let backoff = |initial_s: Seconds, max_s: Seconds| {
            (initial_s * f64::from(1_u32 << (authority.failures - 1).min(20))).min(max_s)
        };
        // For lifetimes below 90 days all waits shrink in proportion: the longest backoff, a day, becomes a
        // ninetieth of the lifetime.
        let scale = (lifetime_s / (90.0 * 86_400.0)).clamp(1e-6, 1.0);
        let wait_s = match failed.failure {
            OrderFailure::RateLimited(_) => backoff(600.0 * scale, 86_400.0 * scale),
            OrderFailure::Unavailable(_) | OrderFailure::Local => {
                backoff(30.0 * scale, Record::MAX_UNAVAILABLE_WAIT_S * scale)
            }
            OrderFailure::Unproven | OrderFailure::InvalidCertificate => {
                backoff(300.0 * scale, 43_200.0 * scale)
            }
            OrderFailure::Refused => backoff(3_600.0 * scale, 86_400.0 * scale),
        };
        let requested_s = match failed.failure {
            OrderFailure::RateLimited(after_s) | OrderFailure::Unavailable(after_s) => {
                after_s.unwrap_or(0.0)
            }
            _ => 0.0,
        };
        // Waits after created orders spread the rest of the budget over the remaining lifetime, so that it
        // is not used up within an hour.
        let budget_wait_s = if failed.order_created { remaining_s / (orders_left + 1) as f64 } else { 0.0 };
        let budget_wait_s = budget_wait_s.min(WEEK_S / (orders_left + 1) as f64);
        let wait_s = wait_s.max(budget_wait_s).max(MIN_RETRY_WAIT_S) * (1.0 + 0.25 * draw.clamp(0.0, 1.0));
        authority.retry_from_s = now + wait_s.max(requested_s).min(MAX_RETRY_WAIT_S);
    }

    /// Longest wait for an unavailable authority that gives no time, for a lifetime of 90 days; scaled
    /// down for shorter ones.
    pub const MAX_UNAVAILABLE_WAIT_S: Seconds = 3_600.0;
}
