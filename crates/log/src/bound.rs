//! How many lines a second are written, and how many were not.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::level_filters::LevelFilter;
use tracing::subscriber::Interest;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Layer};

/// Lines that may be written in one second by all threads together; more than this says nothing new.
const LINES_PER_SECOND: u32 = 20;

/// The lines of this second, and those that it had no room for.
pub(crate) struct Bound {
    /// When this second began, and how many lines it has.
    window: Mutex<(Instant, u32)>,
    left_out: AtomicU64,
    told: AtomicU64,
}

impl Bound {
    pub(crate) fn new(now: Instant) -> Bound {
        Bound { window: Mutex::new((now, 0)), left_out: AtomicU64::new(0), told: AtomicU64::new(0) }
    }

    /// Counts a line; whether this second still has room for it.
    fn counted(&self, now: Instant) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let (begun, written) = &mut *window;
        if now.saturating_duration_since(*begun) >= Duration::from_secs(1) {
            (*begun, *written) = (now, 0);
        }
        *written = written.saturating_add(1);
        let room = *written <= LINES_PER_SECOND;
        if !room {
            self.left_out.fetch_add(1, Relaxed);
        }
        room
    }

    /// Lines left out since the start.
    pub(crate) fn left_out(&self) -> u64 {
        self.left_out.load(Relaxed)
    }

    /// Of so many left out since the start, those that nobody was told of yet; none where there are none.
    pub(crate) fn to_tell(&self, left_out: u64) -> Option<u64> {
        let told = self.told.fetch_max(left_out, Relaxed);
        left_out.checked_sub(told).filter(|new| *new > 0)
    }
}

/// Lets events through by level and by the bound. For all layers together: a filter of one layer's own that says no to an event
/// leaves its mark on the thread for the next one.
pub(crate) struct Told {
    pub(crate) bound: Arc<Bound>,
    pub(crate) least: LevelFilter,
}

impl<S: Subscriber> Layer<S> for Told {
    fn enabled(&self, about: &Metadata<'_>, _: Context<'_, S>) -> bool {
        *about.level() <= self.least
    }

    fn register_callsite(&self, about: &'static Metadata<'static>) -> Interest {
        if *about.level() <= self.least { Interest::always() } else { Interest::never() }
    }

    fn event_enabled(&self, _: &Event<'_>, _: Context<'_, S>) -> bool {
        self.bound.counted(Instant::now())
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(self.least)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn threads_share_one_bound_a_second_and_what_is_left_out_is_told_once() {
        let now = Instant::now();
        let bound = Arc::new(Bound::new(now));
        let lines = |now| {
            let bound = bound.clone();
            std::thread::spawn(move || (0..15).filter(|_| bound.counted(now)).count()).join().unwrap()
        };
        assert_eq!([lines(now), lines(now), lines(now)], [15, 5, 0]);
        assert_eq!(bound.left_out(), 25);
        assert_eq!([bound.to_tell(25), bound.to_tell(25), bound.to_tell(27)], [Some(25), None, Some(2)]);
        assert_eq!(lines(now + Duration::from_secs(1)), 15);
    }
}
