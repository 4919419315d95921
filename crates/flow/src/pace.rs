//! The minimum rate of one side of a stream. Time counts only while that side is awaited, and not if a check
//! is late: neither a pause of the other side nor one of this node longer than 5/32 of the window counts
//! against it.
//!
//! The rate is measured with a leaky bucket: awaited time adds the bytes due in it to a deficit, transferred
//! bytes reduce it, and no credit is saved. A side that transfers the minimum in every window never has a
//! larger deficit than that minimum. A side with a larger deficit at two consecutive checks, between which
//! all received bytes were read, is too slow.

/// The minimum rate of one side of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MinRate {
    /// The bytes to transfer in each window.
    pub bytes: u64,
    /// The length of the window, in milliseconds.
    pub window_ms: f64,
}

/// How often the rate is checked in each window.
const CHECKS_PER_WINDOW: f64 = 8.0;
/// A check that is later than this fraction of the check interval shows that this node was stalled. It is not
/// known since when, and the time since the last update does not count.
const LATE_FRACTION: f64 = 0.25;

/// Measures the rate of one side of a stream.
#[derive(Clone, Debug)]
pub struct Pace {
    min_rate: MinRate,
    /// Bytes that were due and not transferred.
    deficit_bytes: f64,
    /// The time up to which the deficit is computed; `None` while the side is not awaited.
    counted_until_ms: Option<f64>,
    /// When the next check is due; time after it does not count.
    next_check_ms: f64,
    /// The deficit was too large at the last check.
    behind: bool,
}

impl Pace {
    /// A side that is not awaited yet.
    pub fn new(min_rate: MinRate) -> Pace {
        Pace {
            min_rate,
            deficit_bytes: 0.0,
            counted_until_ms: None,
            next_check_ms: f64::INFINITY,
            behind: false,
        }
    }

    fn check_interval_ms(&self) -> f64 {
        self.min_rate.window_ms / CHECKS_PER_WINDOW
    }

    fn accrue(&mut self, now: f64) {
        if let Some(counted_until) = self.counted_until_ms {
            let late = now > self.next_check_ms + self.check_interval_ms() * LATE_FRACTION;
            let until = if late { counted_until } else { now.min(self.next_check_ms).max(counted_until) };
            self.deficit_bytes +=
                (until - counted_until) / self.min_rate.window_ms * self.min_rate.bytes as f64;
            self.counted_until_ms = Some(now.max(counted_until));
        }
    }

    /// Sets whether the side is awaited from now on; repeated calls have no effect.
    pub fn set_awaited(&mut self, now: f64, awaited: bool) {
        match (self.counted_until_ms, awaited) {
            (None, true) => {
                self.counted_until_ms = Some(now);
                self.next_check_ms = now + self.check_interval_ms();
            }
            (Some(_), false) => {
                self.accrue(now);
                self.counted_until_ms = None;
                self.next_check_ms = f64::INFINITY;
            }
            _ => {}
        }
    }

    /// Records transferred bytes.
    pub fn record_progress(&mut self, now: f64, bytes: usize) {
        self.accrue(now);
        self.deficit_bytes = (self.deficit_bytes - bytes as f64).max(0.0);
        self.behind &= self.deficit_bytes > self.min_rate.bytes as f64;
    }

    /// When [`Pace::check`] must be called next, in milliseconds; `None` while the side is not awaited.
    pub fn next_check_ms(&self) -> Option<f64> {
        self.counted_until_ms.map(|_| self.next_check_ms)
    }

    /// Returns whether the side is fast enough. The caller must have recorded all bytes that had arrived by
    /// the last check.
    pub fn check(&mut self, now: f64) -> bool {
        if self.counted_until_ms.is_none() || now < self.next_check_ms {
            return true;
        }
        self.accrue(now);
        self.next_check_ms = now + self.check_interval_ms();
        let behind = self.deficit_bytes > self.min_rate.bytes as f64;
        let too_slow = behind && self.behind;
        self.behind = behind;
        !too_slow
    }
}
