//! When servers booted, in the time of this process. Discovery tells Unix times, and the wall clock of the
//! machines may be stepped at any time, while this process counts monotonic time.

use crate::Ms;
use std::collections::HashMap;

/// A wall clock that is off by this much has been stepped.
const MIN_STEP_MS: Ms = 250.0;
/// A server may seem to have booted this far in the future, as clocks are read one after another.
const MAX_AHEAD_MS: Ms = 250.0;
/// Number of positions of the wall clock that are remembered.
const MAX_OFFSETS: usize = 16;

/// Both clocks, read together.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Monotonic time of this process.
    pub now_ms: Ms,
    /// Unix time by the wall clock.
    pub unix_ms: Ms,
}

/// A boot that discovery has told.
#[derive(Clone, Copy, Debug)]
struct Boot {
    unix_ms: Ms,
    at_ms: Ms,
}

/// Converts the times at which servers booted.
#[derive(Clone, Debug)]
pub struct BootTimes {
    /// How far the wall clock was ahead of the process's time, latest last.
    offsets_ms: Vec<Ms>,
    /// The last boot of each server. The same boot keeps its time, whatever the wall clock does later.
    boots: HashMap<u64, Boot>,
}

impl BootTimes {
    /// No server is known, and the wall clock shows `clock`.
    pub fn new(clock: ClockReading) -> BootTimes {
        BootTimes { offsets_ms: vec![clock.unix_ms - clock.now_ms], boots: HashMap::new() }
    }

    /// Takes note of where the wall clock stands.
    pub fn observe(&mut self, clock: ClockReading) {
        let offset_ms = clock.unix_ms - clock.now_ms;
        let is_known = |known: &Ms| (known - offset_ms).abs() < MIN_STEP_MS;
        if self.offsets_ms.iter().any(is_known) {
            return;
        }
        if self.offsets_ms.len() == MAX_OFFSETS {
            self.offsets_ms.remove(0);
        }
        self.offsets_ms.push(offset_ms);
    }

    /// When the server with this id booted, in this process's time. A boot may have been read from the wall clock
    /// before or after a step: of the times that are not in the future the latest counts, as a server that is
    /// taken for warm too early would be pushed over.
    pub fn boot_at_ms(&mut self, server: u64, boot_unix_ms: Ms, now_ms: Ms) -> Ms {
        if let Some(boot) = self.boots.get(&server).filter(|boot| boot.unix_ms == boot_unix_ms) {
            return boot.at_ms;
        }
        let candidates = self.offsets_ms.iter().map(|offset_ms| boot_unix_ms - offset_ms);
        let latest = candidates.filter(|at_ms| *at_ms <= now_ms + MAX_AHEAD_MS).max_by(Ms::total_cmp);
        let at_ms = latest.unwrap_or(now_ms);
        self.boots.insert(server, Boot { unix_ms: boot_unix_ms, at_ms });
        at_ms
    }

    /// Forgets all servers but these.
    pub fn retain(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.boots.retain(|server, _| is_listed(*server));
    }
}
