//! A queue of timers. It has no clock: the caller asks for the next due time and takes out due timers.

use std::collections::BTreeMap;

/// Identifies a timer, and orders timers by due time and then by the order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerKey {
    /// Milliseconds as the bits of an `f64`: for times that are not negative these sort like the times.
    due_bits: u64,
    sequence: u64,
}

impl TimerKey {
    /// The due time in milliseconds.
    pub fn at_ms(self) -> f64 {
        f64::from_bits(self.due_bits)
    }
}

/// Timers ordered by due time.
#[derive(Clone, Debug)]
pub struct Timers<T> {
    queue: BTreeMap<TimerKey, T>,
    next_sequence: u64,
}

impl<T> Timers<T> {
    /// Creates an empty queue.
    pub fn new() -> Timers<T> {
        Timers { queue: BTreeMap::new(), next_sequence: 0 }
    }

    /// Sets a timer. A time that is negative or not a number is due at once.
    pub fn set(&mut self, at_ms: f64, timer: T) -> TimerKey {
        let key = TimerKey { due_bits: at_ms.max(0.0).to_bits(), sequence: self.next_sequence };
        self.next_sequence += 1;
        self.queue.insert(key, timer);
        key
    }

    /// Cancels a timer. Does nothing if it was taken out before.
    pub fn cancel(&mut self, key: TimerKey) {
        self.queue.remove(&key);
    }

    /// The due time of the earliest timer.
    pub fn next_due_ms(&self) -> Option<f64> {
        self.queue.first_key_value().map(|(key, _)| f64::from_bits(key.due_bits))
    }

    /// Takes out the earliest timer that is due at `now`.
    pub fn take_due(&mut self, now: f64) -> Option<T> {
        let first = self.queue.first_entry()?;
        if f64::from_bits(first.key().due_bits) > now {
            return None;
        }
        Some(first.remove())
    }

    /// All timers in their order, each with its due time.
    pub fn iter(&self) -> impl Iterator<Item = (f64, &T)> {
        self.queue.iter().map(|(key, timer)| (f64::from_bits(key.due_bits), timer))
    }
}
