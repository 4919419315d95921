//! Every planted bug is found, and its shortest story breaks a property.

use applemill_planted::{EDITS, discover};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

#[test]
fn every_planted_bug_is_found() {
    let next = AtomicUsize::new(0);
    let hidden = std::sync::Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let Some(edit) = EDITS.get(number) else { return };
                    match discover(number, 2_000_000) {
                        Some(found) => eprintln!(
                            "{}: found in {} among {} worlds, {} happenings\n  {}",
                            edit.name,
                            found.scenario,
                            found.found.states,
                            found.found.depth + 1,
                            found.story.join("\n  ")
                        ),
                        None => hidden.lock().unwrap().push(edit.name),
                    }
                }
            });
        }
    });
    assert!(EDITS.len() >= 16);
    assert_eq!(hidden.into_inner().unwrap(), Vec::<&str>::new(), "not found");
}
