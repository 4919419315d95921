//! Limits the number of log lines per second and counts those left out.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::level_filters::LevelFilter;
use tracing::subscriber::Interest;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Layer};

/// Counts the lines of the current second and those left out.
pub(crate) struct RateLimit {
    /// Start of the current second, and number of its lines.
    window: Mutex<(Instant, u32)>,
    max_lines_per_second: u32,
    left_out: AtomicU64,
    /// Of the lines left out, those that have been reported.
    reported: AtomicU64,
}

impl RateLimit {
    pub(crate) fn new(now: Instant, max_lines_per_second: u32) -> RateLimit {
        RateLimit {
            window: Mutex::new((now, 0)),
            max_lines_per_second,
            left_out: AtomicU64::new(0),
            reported: AtomicU64::new(0),
        }
    }

    /// Counts a line and returns whether it may be written in this second.
    fn admit(&self, now: Instant) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let (start, written) = &mut *window;
        if now.saturating_duration_since(*start) >= Duration::from_secs(1) {
            (*start, *written) = (now, 0);
        }
        *written = written.saturating_add(1);
        let admitted = *written <= self.max_lines_per_second;
        if !admitted {
            self.left_out.fetch_add(1, Relaxed);
        }
        admitted
    }

    /// Number of lines left out since the start.
    pub(crate) fn left_out(&self) -> u64 {
        self.left_out.load(Relaxed)
    }

    /// Given the number of lines left out since the start, returns how many of them have not been reported
    /// yet, and marks them as reported. `None` if there are none.
    pub(crate) fn take_unreported(&self, left_out: u64) -> Option<u64> {
        let reported = self.reported.fetch_max(left_out, Relaxed);
        left_out.checked_sub(reported).filter(|new| *new > 0)
    }
}

/// Filters events by level and by rate limit, for all layers together: a per-layer filter that rejects an
/// event leaves state on the thread that affects the next event.
pub(crate) struct EventFilter {
    pub(crate) rate_limit: Arc<RateLimit>,
    pub(crate) min_level: LevelFilter,
}

impl<S: Subscriber> Layer<S> for EventFilter {
    fn enabled(&self, metadata: &Metadata<'_>, _: Context<'_, S>) -> bool {
        *metadata.level() <= self.min_level
    }

    fn register_callsite(&self, metadata: &'static Metadata<'static>) -> Interest {
        if *metadata.level() <= self.min_level { Interest::always() } else { Interest::never() }
    }

    fn event_enabled(&self, _: &Event<'_>, _: Context<'_, S>) -> bool {
        self.rate_limit.admit(Instant::now())
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(self.min_level)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn threads_share_one_limit_per_second_and_lines_left_out_are_reported_once() {
        let now = Instant::now();
        let rate_limit = Arc::new(RateLimit::new(now, 20));
        let lines = |now| {
            let rate_limit = rate_limit.clone();
            std::thread::spawn(move || (0..15).filter(|_| rate_limit.admit(now)).count()).join().unwrap()
        };
        assert_eq!([lines(now), lines(now), lines(now)], [15, 5, 0]);
        assert_eq!(rate_limit.left_out(), 25);
        assert_eq!(
            [
                rate_limit.take_unreported(25),
                rate_limit.take_unreported(25),
                rate_limit.take_unreported(27)
            ],
            [Some(25), None, Some(2)]
        );
        assert_eq!(lines(now + Duration::from_secs(1)), 15);
    }
}
