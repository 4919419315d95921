//! The clock that all decisions go by.

use applemill_upstream::Clock;
use std::time::{Duration, Instant};

/// Guards against taking a time before the start of the clock for that start: a list is held from the start of the
/// process.
#[test]
fn a_time_before_the_start_of_the_clock_is_earlier() {
    let earlier = Instant::now();
    std::thread::sleep(Duration::from_millis(200));
    let clock = Clock::new();
    let age_ms = clock.now_ms() - clock.at_ms(earlier);
    assert!((200.0..5_000.0).contains(&age_ms), "{age_ms} ms");
    let later = clock.at_ms(earlier + Duration::from_secs(60));
    assert!((later - clock.at_ms(earlier) - 60_000.0).abs() < 1e-3);
}
