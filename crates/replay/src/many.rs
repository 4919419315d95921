//! Replays many orderings in parallel.

use crate::play::play;
use crate::sample::Ordering;
use applemill_explore::parallel_map_in;
use std::process::Command;
use std::thread;

/// The most times that one ordering is played. A machine that stalls looks like a node that differs, though
/// not each time: an ordering that differs is played again, and counts as different only if it never comes
/// out the same.
const MAX_PLAYS: usize = 5;
/// Orderings in parallel for each core: they wait more than they compute.
const PLAYS_PER_CORE: usize = 4;

/// The results of many replays.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// Orderings that came out as in the explorer.
    pub same: usize,
    /// Plays beyond the first of each ordering.
    pub again: usize,
    /// Token and difference of each ordering that never came out the same.
    pub different: Vec<String>,
}

/// Plays all orderings, each with a fresh node. `program` is the command of the node; `done` is called
/// after each ordering.
pub fn play_all(
    orderings: &[Ordering],
    program: impl Fn() -> Command + Sync,
    done: impl Fn() + Sync,
) -> Played {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let results = parallel_map_in(PLAYS_PER_CORE * cores, orderings, |ordering| {
        let mut again = 0;
        let result = loop {
            match play(ordering, program()) {
                Err(_) if again + 1 < MAX_PLAYS => again += 1,
                result => break result.map_err(|d| format!("{}: {d}", ordering.token)),
            }
        };
        done();
        (again, result)
    });
    let mut played = Played::default();
    for (again, result) in results {
        played.again += again;
        match result {
            Ok(()) => played.same += 1,
            Err(different) => played.different.push(different),
        }
    }
    played
}
