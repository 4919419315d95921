//! Wall clock, boot clock and CPU time of a thread.

use applemill_renewal::Seconds;
use rustix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// The wall clock: the machine's, optionally with an offset.
#[derive(Clone, Debug, Default)]
pub struct WallClock {
    offset_s: Option<Arc<AtomicI64>>,
}

impl WallClock {
    /// The machine's clock plus this many seconds. The offset may change at run time, as when a clock is
    /// set.
    pub fn with_offset(offset_s: Arc<AtomicI64>) -> WallClock {
        WallClock { offset_s: Some(offset_s) }
    }

    /// Seconds since 1970.
    pub(crate) fn now_s(&self) -> Seconds {
        let offset_s = self.offset_s.as_ref().map_or(0, |s| s.load(Ordering::Relaxed));
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64()) + offset_s as Seconds
    }
}

/// Milliseconds since the machine booted. Leases use this clock since it never goes back and also counts
/// while the process or the machine is suspended.
pub(crate) fn machine_ms() -> f64 {
    let t = clock_gettime(ClockId::Boottime);
    t.tv_sec as f64 * 1000.0 + t.tv_nsec as f64 / 1e6
}

/// CPU time of the calling thread, in milliseconds.
pub(crate) fn thread_cpu_ms() -> f64 {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    t.tv_sec as f64 * 1000.0 + t.tv_nsec as f64 / 1e6
}
