//! Log lines on standard error: sparse and bounded, since the loop waits while one is written.

use std::cell::Cell;
use std::io::Write;
use std::time::{Duration, Instant};

/// Lines that may be written in one second; more than this says nothing new.
const LINES_PER_SECOND: u32 = 20;

thread_local! {
    static WINDOW: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// Writes a line, unless this second has had its share.
pub fn line(text: &str) {
    let (begun, written) = WINDOW.get();
    let now = Instant::now();
    let fresh = begun.is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1));
    let (begun, written) = if fresh { (Some(now), 0) } else { (begun, written) };
    WINDOW.set((begun, written + 1));
    if written < LINES_PER_SECOND {
        // A log that nobody can take must not end the node.
        let _ = writeln!(std::io::stderr(), "applemill: {text}");
    }
}
