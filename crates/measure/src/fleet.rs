//! `fleet`: real nodes that tell each other that they are there, round a server that has just started, in every hard case: what it
//! is sent beside what it can do, how soon deaths are known, what is said between nodes, and whether every request of a node that
//! lives got its answer.

mod chart;
mod clients;
mod days;
mod floor;
mod rig;
mod spread;
mod upgrades;

pub use floor::{COLD, FALL, MULTIPLE, START, most, ramp};

use days::{Day, Played, play};
use serde_json::{Map, Value, json};
use std::error::Error;
use std::path::Path;
use upgrades::InARow;

/// What must be used of what a fresh server may be sent; and again, of what it can do, within three seconds after half of the fleet
/// died.
const LEAST_USED: f64 = 0.6;
const LEAST_USED_AFTER: f64 = 0.8;
/// Requests served on a calm day, to those asked, and on another day to those of a calm one.
const LEAST_SERVED: f64 = 0.95;
/// Sizes of fleets that are played in virtual time.
const SIMULATED: [usize; 5] = [20, 60, 200, 500, 1_000];
/// What a round of questions takes for each node, in milliseconds; a proof must hold for as long.
const ROUND_MS: f64 = 25.0;

/// Measures it; `scale` 10 is the full size: 20 nodes.
///
/// # Errors
/// Something could not be measured.
pub fn measure(scale: u32, svg: Option<&Path>) -> Result<Value, Box<dyn Error>> {
    let count = (4 + 2 * scale.min(8)) as usize;
    let mut days: Vec<(&str, Played)> = Vec::new();
    for (name, day) in Day::ALL {
        let played = play(count, day)?;
        let Played { max_ratio, used, used_after, served, .. } = played;
        eprintln!(
            "{name}: at most {max_ratio:.2} of what makes the fresh server fall, {used:.2} of what it can do, {used_after:.2} in \
             the end; {served:.3} served; known after {:?}",
            played.detect
        );
        days.push((name, played));
    }
    let row = upgrades::in_a_row((5 * scale as usize).clamp(10, 50))?;
    eprintln!(
        "{} upgrades in a row, {:.0} ms each, and {} made to fail: {} connections refused, {} of {} bids lost, {} rolled back",
        row.upgrades,
        row.took_ms,
        row.failed,
        row.refused,
        row.lost,
        row.lost + row.answered,
        row.rolled_back
    );
    if let Some(file) = svg {
        chart::draw(file, &days)?;
    }
    let mut simulated = Map::new();
    let mut bytes = Map::new();
    for nodes in SIMULATED.into_iter().filter(|n| scale >= 10 || *n <= 200) {
        let spread = spread::spread(nodes, (ROUND_MS * nodes as f64).clamp(1_500.0, 60_000.0));
        let spread = spread.ok_or_else(|| format!("{nodes} nodes never knew of the deaths"))?;
        eprintln!(
            "{nodes} nodes in virtual time: known after {:.0} ms, {:.0} bytes a second",
            spread.detect_ms, spread.bytes
        );
        simulated.insert(nodes.to_string(), spread.detect_ms.round().into());
        bytes.insert(nodes.to_string(), spread.bytes.round().into());
    }
    Ok(judged(count, &days, &row, simulated, bytes))
}

fn judged(
    count: usize,
    days: &[(&str, Played)],
    row: &InARow,
    simulated: Map<String, Value>,
    bytes: Map<String, Value>,
) -> Value {
    let by_day = |f: &dyn Fn(&Played) -> f64| -> Map<String, Value> {
        days.iter().map(|(name, d)| ((*name).to_owned(), json!((f(d) * 1000.0).round() / 1000.0))).collect()
    };
    let worst = |f: &dyn Fn(&Played) -> f64| days.iter().map(|(_, d)| f(d)).fold(f64::INFINITY, f64::min);
    let of = |name: &str| days.iter().find(|(n, _)| *n == name).map(|(_, d)| d);
    let sum = |f: &dyn Fn(&Played) -> u64| days.iter().map(|(_, d)| f(d)).sum::<u64>();
    let max_ratio = -worst(&|d| -d.max_ratio);
    let (taken, answered) = (sum(&|d| d.taken), sum(&|d| d.answered));
    let (twice, never) = (sum(&|d| d.ran_twice as u64), sum(&|d| d.never_ran as u64));
    let calm = of("calm").map_or(0.0, |d| d.served);
    // Where all servers are cold they cannot serve what is asked: what is used judges that.
    let served = worst(&|d| if d.all_cold { calm } else { d.served }) / calm.max(0.01);
    let after = of("half_die").map_or(0.0, |d| d.used_after);
    let used = worst(&|d| d.used / d.allowed);
    let detect = of("half_die").and_then(|d| d.detect).map(|d| d.as_millis());
    let real_bytes = of("calm").map_or(0.0, |d| d.bytes);
    let twice = twice + (row.ran - row.different) as u64;
    let refused = row.refused as u64 + sum(&|d| d.unconnected);
    let row_kept = row.lost == 0
        && row.answered == row.different
        && row.rolled_back == row.failed
        && row.failed > 0
        && row.left_over == 0;
    let kept = max_ratio <= 1.0
        && used >= LEAST_USED
        && after >= LEAST_USED_AFTER
        && taken == answered
        && twice + never == 0
        && refused == 0
        && row_kept
        && detect.is_some()
        && calm >= LEAST_SERVED
        && served >= LEAST_SERVED;
    json!({
        "nodes": count, "cold_load_max_ratio": max_ratio, "cold_load_used": used, "used_after_half_died": after,
        "max_ratio_by_day": by_day(&|d| d.max_ratio), "used_by_day": by_day(&|d| d.used),
        "used_in_the_end_by_day": by_day(&|d| d.used_after), "served_by_day": by_day(&|d| d.served),
        "detect_ms": detect, "detect_ms_simulated": simulated,
        "bytes_per_node_per_s": real_bytes.round(), "bytes_per_node_per_s_simulated": bytes,
        "taken": taken, "answered_once": answered, "executed_twice": twice, "served_and_never_ran": never, "served_ratio_to_calm": served,
        "upgrades": row.upgrades, "upgrade_ms": row.took_ms.round(), "refused_connections": refused, "rolled_back": row.rolled_back,
        "made_to_fail": row.failed, "bids_beside_upgrades": row.answered, "lost_beside_upgrades": row.lost,
        "processes_left_over": row.left_over,
        "kept": kept,
    })
}
