//! The ids of requests that may have run, for a limited time.

use hyper::header::HeaderValue;
use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};
use std::time::{Duration, Instant};

/// How long an id is kept at least, unless there are too many.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// A set of ids in two generations. An id is kept for one to two times [`KEPT_FOR`], or until as many newer
/// ones have come as a generation holds.
pub(crate) struct RecentIds {
    max_per_generation: usize,
    hasher: RandomState,
    current: HashSet<u64>,
    previous: HashSet<u64>,
    current_began: Instant,
}

impl RecentIds {
    /// An empty set that keeps at least `count` ids of those that have come within [`KEPT_FOR`].
    pub(crate) fn new(count: usize) -> RecentIds {
        RecentIds {
            max_per_generation: count.max(1),
            hasher: RandomState::new(),
            current: HashSet::new(),
            previous: HashSet::new(),
            current_began: Instant::now(),
        }
    }

    /// Adds an id.
    pub(crate) fn insert(&mut self, id: &HeaderValue) {
        self.drop_old();
        let hash = self.hasher.hash_one(id);
        self.current.insert(hash);
    }

    /// Whether the set has an id.
    pub(crate) fn contains(&mut self, id: &HeaderValue) -> bool {
        self.drop_old();
        let hash = self.hasher.hash_one(id);
        self.current.contains(&hash) || self.previous.contains(&hash)
    }

    fn drop_old(&mut self) {
        let age = self.current_began.elapsed();
        if age < KEPT_FOR && self.current.len() < self.max_per_generation {
            return;
        }
        let is_outdated = age >= 2 * KEPT_FOR;
        let current = std::mem::take(&mut self.current);
        self.previous = if is_outdated { HashSet::new() } else { current };
        self.current_began = Instant::now();
    }
}
