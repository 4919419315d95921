//! The clock used for all decisions.

use applemill_watch_calls::ClockReading;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time by the system's clock, in milliseconds.
fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

/// Monotonic time in milliseconds, counted from the system's Unix time at the start. A later step of the
/// system's clock does not change it.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_ms: f64,
}

impl Clock {
    /// A clock that starts at the current system time.
    #[expect(clippy::new_without_default, reason = "the value depends on when the clock is created")]
    pub fn new() -> Clock {
        Clock { start: Instant::now(), start_ms: unix_ms() }
    }

    /// This clock and the system's clock.
    pub fn reading(&self) -> ClockReading {
        ClockReading { now_ms: self.now_ms(), unix_ms: unix_ms() }
    }

    /// The current time in milliseconds.
    pub fn now_ms(&self) -> f64 {
        self.at_ms(Instant::now())
    }

    /// Converts an instant, which may lie before the start of this clock, to its time in milliseconds.
    pub fn at_ms(&self, at: Instant) -> f64 {
        let after = at.saturating_duration_since(self.start);
        let before = self.start.saturating_duration_since(at);
        self.start_ms + (after.as_secs_f64() - before.as_secs_f64()) * 1000.0
    }

    /// Converts a time of this clock to an instant.
    pub fn instant(&self, at_ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(((at_ms - self.start_ms) / 1000.0).clamp(0.0, 1e9))
    }
}
