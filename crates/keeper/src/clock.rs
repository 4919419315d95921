//! Clocks.

use applemill_renewal::Seconds;
use rustix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

/// Seconds since 1970, by the clock on the wall; it may be set.
pub fn wall_s() -> Seconds {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

/// Milliseconds since the machine started, by a clock that never goes back and goes on while a process, or the machine,
/// is stopped: leases are counted by it.
pub(crate) fn machine_ms() -> f64 {
    let t = clock_gettime(ClockId::Boottime);
    t.tv_sec as f64 * 1000.0 + t.tv_nsec as f64 / 1e6
}

/// CPU time of this thread so far, in milliseconds.
pub(crate) fn thread_cpu_ms() -> f64 {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    t.tv_sec as f64 * 1000.0 + t.tv_nsec as f64 / 1e6
}
