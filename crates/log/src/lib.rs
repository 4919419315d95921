//! Log lines on standard error: sparse and bounded, since the loop waits while one is written.

use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines that may be written in one second by all threads together; more than this says nothing new.
const LINES_PER_SECOND: u32 = 20;

/// When this second began, and how many lines it has.
static WINDOW: Mutex<(Option<Instant>, u32)> = Mutex::new((None, 0));

/// Counts a line; whether this second still had room for it.
fn counted(now: Instant) -> bool {
    let mut window = WINDOW.lock().unwrap_or_else(PoisonError::into_inner);
    let (begun, written) = &mut *window;
    if begun.is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1)) {
        (*begun, *written) = (Some(now), 0);
    }
    *written += 1;
    *written <= LINES_PER_SECOND
}

/// Writes a line, unless this second has had its share.
pub fn line(text: &str) {
    if counted(Instant::now()) {
        // A log that nobody can take must not end the node.
        let _ = writeln!(std::io::stderr(), "applemill: {text}");
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn threads_share_one_bound_a_second() {
        let now = Instant::now();
        let lines =
            |now| std::thread::spawn(move || (0..15).filter(|_| counted(now)).count()).join().unwrap();
        assert_eq!([lines(now), lines(now), lines(now)], [15, 5, 0]);
        assert_eq!(lines(now + Duration::from_secs(1)), 15);
    }
}
