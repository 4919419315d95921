//! Breadth-first search over all orderings of a scenario: each layer holds the distinct worlds that one
//! more event leads to.
//!
//! A layer stores the path to each world, not the world itself: worlds are replayed from the start when
//! they are expanded, which takes time and saves memory. The first violation found has a shortest ordering.

use crate::property::Violation;
use crate::scenario::Scenario;
use crate::subject::SubjectFactory;
use crate::world::World;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hasher};

/// The result of a search.
#[derive(Clone, Debug)]
pub struct SearchResult {
    /// Distinct worlds.
    pub states: u64,
    /// Orderings from the start to an end.
    pub orderings: u128,
    /// Events of the longest ordering.
    pub depth: usize,
    /// Whether the search was exhaustive.
    pub complete: bool,
    /// The shortest ordering that breaks a property, as the index of the event taken among the enabled ones
    /// at each step.
    pub broken: Option<(Vec<u16>, Violation)>,
}

/// A node in the tree of explored paths.
#[derive(Clone, Copy)]
struct Step {
    parent: u32,
    choice: u16,
}

/// Explores all orderings, but stops after the layer in which the number of worlds exceeds `max_states`.
pub fn search(make: SubjectFactory, scenario: &Scenario, max_states: u64) -> SearchResult {
    let mut found = SearchResult { states: 1, orderings: 0, depth: 0, complete: false, broken: None };
    let start = match World::new(make, scenario) {
        Ok(world) => world,
        Err(broken) => {
            found.broken = Some((Vec::new(), broken));
            return found;
        }
    };
    // Step 0 is the start. A layer lists its steps with the number of orderings that lead to each.
    let mut steps = vec![Step { parent: 0, choice: 0 }];
    let mut layer: Vec<(u32, u128)> = vec![(0, 1)];
    while !layer.is_empty() {
        let mut index_by_digest: HashMap<u64, usize> = HashMap::new();
        let mut next_layer: Vec<(u32, u128)> = Vec::new();
        for (step, orderings) in layer {
            let path = path(&steps, step);
            let mut world = start.clone();
            for choice in &path {
                // It was applied before and broke nothing.
                if let Some(event) = world.enabled().get(usize::from(*choice)).copied() {
                    let _ = world.apply(event);
                }
            }
            let enabled = world.enabled();
            if enabled.is_empty() {
                found.orderings += orderings;
                if let Err(broken) = world.judge_end() {
                    found.broken = Some((path, broken));
                    return found;
                }
            }
            for (event, choice) in enabled.into_iter().zip(0..) {
                let mut successor = world.clone();
                if let Err(broken) = successor.apply(event) {
                    found.broken = Some((path.into_iter().chain([choice]).collect(), broken));
                    return found;
                }
                let mut hasher = DefaultHasher::new();
                successor.digest(&mut hasher);
                match index_by_digest.get(&hasher.finish()).and_then(|index| next_layer.get_mut(*index)) {
                    Some((_, known)) => *known += orderings,
                    None => {
                        let Ok(number) = u32::try_from(steps.len()) else { return found };
                        steps.push(Step { parent: step, choice });
                        index_by_digest.insert(hasher.finish(), next_layer.len());
                        next_layer.push((number, orderings));
                    }
                }
            }
        }
        found.states += next_layer.len() as u64;
        if !next_layer.is_empty() {
            found.depth += 1;
        }
        if found.states > max_states {
            return found;
        }
        layer = next_layer;
    }
    found.complete = true;
    found
}

fn path(steps: &[Step], mut step: u32) -> Vec<u16> {
    let mut path = Vec::new();
    while let Some(node) = steps.get(step as usize).filter(|_| step != 0) {
        path.push(node.choice);
        step = node.parent;
    }
    path.reverse();
    path
}
