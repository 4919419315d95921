//! `states`: explores all orderings of the explorer's scenarios, checks that planted bugs are found, and
//! replays a sample of orderings against the real binary. `--story` prints one ordering in readable form.

use crate::node;
use applemill_explore::{Scenario, SearchResult, Token, make, parallel_map, scenario, search, story};
use applemill_mutants::{MUTATIONS, discover, play};
use applemill_replay::{Played, from_token, play_all, sample};
use serde_json::{Value, json};
use std::error::Error;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Limit of the states explored for one scenario, times the scale. The scenarios of the tests need less than
/// a third of it.
const MAX_STATES: u64 = 1_000_000;
/// Orderings replayed against the real binary, times the scale.
const REPLAYED: usize = 40;
/// Seed of the sample of replayed orderings.
const REPLAY_SEED: u64 = 1;

/// Runs the measurement, with a thread for each core.
///
/// # Errors
/// The replay cannot be started.
pub fn measure(scale: u32) -> Result<Value, Box<dyn Error>> {
    let max_states = MAX_STATES * u64::from(scale);
    let mut scenarios = scenario::all();
    scenarios.extend(scenario::streams());
    if scale > 1 {
        scenarios.extend(scenario::larger());
    }
    let found = parallel_map(&scenarios, |scenario| {
        let found = search(make, scenario, max_states);
        eprintln!(
            "{}: {} states, {} events, complete: {}",
            scenario.name, found.states, found.depth, found.complete
        );
        found
    });
    let mut broken = 0;
    for (scenario, found) in scenarios.iter().zip(&found) {
        if let Some((path, what)) = &found.broken {
            broken += 1;
            let steps = story(make, scenario, path).join("\n  ");
            eprintln!("{what}\n  {steps}\n  {}", Token { scenario: scenario.clone(), path: path.clone() });
        }
    }
    let bugs: Vec<usize> = (0..MUTATIONS.len()).collect();
    let discovered = parallel_map(&bugs, |number| discover(*number, max_states));
    let planted: Vec<Value> = (MUTATIONS.iter().zip(&discovered).zip(0..))
        .map(|((mutation, found), number): (_, usize)| match found {
            Some(d) => {
                eprintln!("found: {}, {} events", mutation.name, d.token.path.len());
                json!({"bug": mutation.name, "story": d.token.path.len(), "token": format!("{number}/{}", d.token)})
            }
            None => {
                eprintln!("NOT found: {}", mutation.name);
                json!({"bug": mutation.name, "story": null, "token": null})
            }
        })
        .collect();
    let planted_found = discovered.iter().flatten().count();
    let (replayed, played) = replay(REPLAYED * scale as usize)?;
    let complete = found.iter().all(|f| f.complete);
    let same = played.same == replayed;
    let targets_met = broken == 0 && complete && planted_found == MUTATIONS.len() && same;
    Ok(json!({
        "measurement": "states",
        "sizes": scenarios.iter().zip(&found).map(size).collect::<Vec<_>>(),
        "properties_broken": broken,
        "planted": MUTATIONS.len(),
        "planted_found": planted_found,
        "stories": planted,
        "replayed": replayed,
        "replayed_same": played.same,
        "replays_repeated": played.again,
        "differences": played.different,
        "kept": targets_met,
    }))
}

/// Replays a sample of orderings against the real binary. Returns the number of orderings and the results.
fn replay(count: usize) -> Result<(usize, Played), Box<dyn Error>> {
    let executable = std::env::current_exe()?;
    let orderings = sample(count, REPLAY_SEED);
    let done = AtomicUsize::new(0);
    let played = play_all(
        &orderings,
        || node(&executable),
        || {
            let done = done.fetch_add(1, Ordering::Relaxed) + 1;
            if done.is_multiple_of(20) {
                eprintln!("replayed against the real binary: {done} of {}", orderings.len());
            }
        },
    );
    for different in &played.different {
        eprintln!("difference from the real binary: {different}");
    }
    Ok((orderings.len(), played))
}

fn size((scenario, found): (&Scenario, &SearchResult)) -> Value {
    json!({
        "name": scenario.name,
        "requests": scenario.requests.len(),
        "backends": scenario.backends,
        "attempts": scenario.attempts,
        "states": found.states,
        // A string, because the number can exceed what a JSON number holds exactly.
        "orderings": found.orderings.to_string(),
        "depth": found.depth,
        "complete": found.complete,
    })
}

/// Prints an ordering given by its token, `SCENARIO:0.2.1`, or `BUG/SCENARIO:0.2.1` with the number of a
/// planted bug, and writes a chart to `svg`. With `real`, the ordering is then replayed against the real
/// binary.
pub fn tell(token: &str, svg: Option<PathBuf>, real: bool) -> Result<(), Box<dyn Error>> {
    let (bug, token) = match token.split_once('/') {
        Some((bug, token)) => {
            let number: Option<usize> = bug.parse().ok().filter(|n| *n < MUTATIONS.len());
            let number = number.ok_or_else(|| {
                format!("'{bug}' is not a planted bug; valid numbers are 0 to {}", MUTATIONS.len() - 1)
            })?;
            (Some(number), token)
        }
        None => (None, token),
    };
    let token = token.parse::<Token>()?;
    let (steps, chart) = play(bug, &token);
    if let Some(mutation) = bug.and_then(|n| MUTATIONS.get(n)) {
        println!("with a planted bug: {}", mutation.name);
    }
    println!("{}", steps.join("\n"));
    if let Some(file) = svg {
        std::fs::write(&file, chart).map_err(|e| format!("{}: {e}", file.display()))?;
        eprintln!("chart written to {}", file.display());
    }
    if real {
        let executable = std::env::current_exe()?;
        let played = play_all(&[from_token(&token)?], || node(&executable), || ());
        match played.different.first() {
            Some(different) => return Err(format!("the real binary differs: {different}").into()),
            None => println!("the real binary, without planted bugs, behaves as the ledger does"),
        }
    }
    Ok(())
}
