//! Mutants of the ledger: copies of its source with one fault each, to show that the explorer finds such
//! faults. The node does not depend on this crate and contains the unmodified ledger only.

mod mutants {
    include!(concat!(env!("OUT_DIR"), "/mutants.rs"));
}
mod mutations;

use applemill_explore::{Scenario, SearchResult, Token, chart, make, scenario, search, story};
pub use mutations::{MUTATIONS, Mutation, Replacement};

/// How a mutant was detected.
#[derive(Clone, Debug)]
pub struct DetectedMutant {
    /// The scenario in which it was detected.
    pub scenario: &'static str,
    /// The search up to the detection.
    pub found: SearchResult,
    /// The shortest ordering that breaks a property.
    pub token: Token,
    /// The ordering as a story.
    pub story: Vec<String>,
}

/// Searches for the fault of the mutant at `index` in [`MUTATIONS`], in its scenarios and in at most
/// `max_states` worlds of each. Returns none if it is not detected.
pub fn discover(index: usize, max_states: u64) -> Option<DetectedMutant> {
    let all: Vec<Scenario> = scenario::all().into_iter().chain(scenario::streams()).collect();
    let names = MUTATIONS.get(index)?.scenarios;
    let mut scenarios = names.iter().filter_map(|name| all.iter().find(|s| s.name == *name));
    scenarios.find_map(|scenario| discover_in(index, scenario, max_states))
}

fn discover_in(index: usize, scenario: &Scenario, max_states: u64) -> Option<DetectedMutant> {
    let make = *mutants::FACTORIES.get(index)?;
    let found = search(make, scenario, max_states);
    let (path, _) = found.broken.as_ref()?;
    let token = Token { scenario: scenario.clone(), path: path.clone() };
    let story = story(make, scenario, path);
    Some(DetectedMutant { scenario: scenario.name, found, token, story })
}

/// Replays an ordering as a story and as a chart, on the unmodified ledger or on the mutant at an index in
/// [`MUTATIONS`].
pub fn play(mutant: Option<usize>, Token { scenario, path }: &Token) -> (Vec<String>, String) {
    let make = mutant.and_then(|index| mutants::FACTORIES.get(index)).copied().unwrap_or(make);
    (story(make, scenario, path), chart(make, scenario, path))
}
