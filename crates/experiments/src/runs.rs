//! Plays the runs of an experiment in parallel and stores each one as it ends. An experiment that was killed
//! therefore resumes where it stopped, with no run lost and none counted twice.

use crate::figures::Run;
use crate::spec::{Spec, Variant};
use crate::stats::{EARLY, Verdict, difference};
use applemill_lab::{Floor, FloorError, Lab, mix};
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use thiserror::Error;

/// Version of the format of stored runs. Runs stored in another version are played again.
const FORMAT_VERSION: u32 = 1;
/// Seeds between two interim analyses.
const SEEDS_PER_ANALYSIS: u64 = 8;

/// Why the runs of an experiment failed.
#[derive(Debug, Error)]
pub enum RunError {
    /// A folder or file cannot be written.
    #[error("{0}: {1}")]
    Folder(String, io::Error),
    /// A world or operator's file cannot be played.
    #[error(transparent)]
    Floor(#[from] FloorError),
    /// The thread pool cannot be created.
    #[error("threads: {0}")]
    Threads(#[from] rayon::ThreadPoolBuildError),
}

#[derive(Serialize, Deserialize)]
struct StoredRun {
    #[serde(rename = "form")]
    format: u32,
    /// Digest of everything that the run depends on, apart from the seed.
    #[serde(rename = "of")]
    variant_digest: u64,
    seed: u64,
    run: Run,
}

/// FNV-1a hash of a text; the same on every machine.
fn digest(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Digest of everything that a variant's runs depend on, apart from the seed.
fn variant_digest(variant: &Variant) -> u64 {
    mix(digest(&variant.text) ^ digest(env!("CARGO_PKG_VERSION")))
}

/// Folder in which runs are stored.
pub struct Folder(PathBuf);

impl Folder {
    /// Opens the folder; creates it if it does not exist.
    ///
    /// # Errors
    /// The folder cannot be created.
    pub fn new(path: &Path) -> Result<Folder, RunError> {
        let runs = path.join("runs");
        std::fs::create_dir_all(&runs).map_err(|e| RunError::Folder(runs.display().to_string(), e))?;
        Ok(Folder(runs))
    }

    fn file(&self, variant_digest: u64, seed: u64) -> PathBuf {
        self.0.join(format!("{variant_digest:016x}-{seed}.json"))
    }

    /// Reads a stored run; none if it is missing, incomplete or of another version.
    fn get(&self, variant_digest: u64, seed: u64) -> Option<Run> {
        let stored: StoredRun =
            serde_json::from_slice(&std::fs::read(self.file(variant_digest, seed)).ok()?).ok()?;
        (stored.format == FORMAT_VERSION && stored.variant_digest == variant_digest && stored.seed == seed)
            .then_some(stored.run)
    }

    /// Stores a run atomically: a temporary file is written and then renamed. The temporary name is unique, since
    /// two variants with the same world store the same run, possibly at the same time.
    fn put(&self, variant_digest: u64, seed: u64, run: &Run) -> Result<(), RunError> {
        static NEXT_WRITE: AtomicU64 = AtomicU64::new(0);
        let file = self.file(variant_digest, seed);
        let write = NEXT_WRITE.fetch_add(1, Relaxed);
        let temporary = file.with_extension(format!("{}-{write}.half", std::process::id()));
        let stored = StoredRun { format: FORMAT_VERSION, variant_digest, seed, run: run.clone() };
        let bytes = serde_json::to_vec(&stored).map_err(io::Error::from);
        let written = bytes
            .and_then(|b| std::fs::write(&temporary, b))
            .and_then(|()| std::fs::rename(&temporary, &file));
        written.map_err(|e| RunError::Folder(file.display().to_string(), e))
    }
}

/// Plays a variant once. If a rule was broken, the run includes the log of the first try involved.
///
/// # Errors
/// The world or the operator's file cannot be played.
pub fn play(variant: &Variant, seed: u64) -> Result<Run, FloorError> {
    let floor = Floor::new(&variant.world, &variant.file)?;
    let record = Lab::new(&variant.world, &floor, seed)?.run();
    let mut run = Run::new(record, &floor);
    // The run is deterministic, so it is repeated to record the story. Runs without a broken rule do not bear
    // that cost.
    if let Some(id) = run.broken.iter().find_map(|b| b.id) {
        run.story = story(variant, seed, id)?;
    }
    Ok(run)
}

/// The log of one try, line by line.
///
/// # Errors
/// The world or the operator's file cannot be played.
pub fn story(variant: &Variant, seed: u64, id: u64) -> Result<Vec<String>, FloorError> {
    let floor = Floor::new(&variant.world, &variant.file)?;
    let mut lab = Lab::new(&variant.world, &floor, seed)?.telling(id);
    lab.run_until(f64::from(u32::MAX));
    Ok(lab.told().to_vec())
}

/// All runs of an experiment.
pub struct Runs {
    /// By variant, and within it by seed from 1 on.
    pub by_variant: Vec<Vec<Run>>,
    /// Number of runs that were already stored.
    pub reused: u64,
    /// The experiment ended early because the result was clear.
    pub stopped_early: bool,
}

/// Plays the runs that are not stored yet. `on_progress` gets the number of finished runs and the maximum.
///
/// # Errors
/// A run cannot be played or stored.
pub fn run(
    spec: &Spec,
    folder: &Folder,
    threads: usize,
    on_progress: &(dyn Fn(u64, u64) + Sync),
) -> Result<Runs, RunError> {
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build()?;
    let max_runs = spec.seeds * spec.variants.len() as u64;
    let (done, reused) = (AtomicU64::new(0), AtomicU64::new(0));
    let mut by_variant: Vec<Vec<Run>> = spec.variants.iter().map(|_| Vec::new()).collect();
    let mut from = 1;
    while from <= spec.seeds {
        let to = if spec.stop_early { (from + SEEDS_PER_ANALYSIS - 1).min(spec.seeds) } else { spec.seeds };
        let requested: Vec<(usize, u64)> =
            (from..=to).flat_map(|seed| (0..spec.variants.len()).map(move |v| (v, seed))).collect();
        let played: Result<Vec<(usize, Run)>, RunError> = pool.install(|| {
            let play_or_reuse = |(v, seed): (usize, u64)| {
                let Some(variant) = spec.variants.get(v) else { return Ok(None) };
                let variant_digest = variant_digest(variant);
                let run = match folder.get(variant_digest, seed) {
                    Some(run) => {
                        reused.fetch_add(1, Relaxed);
                        run
                    }
                    None => {
                        let run = play(variant, seed)?;
                        folder.put(variant_digest, seed, &run)?;
                        run
                    }
                };
                on_progress(done.fetch_add(1, Relaxed) + 1, max_runs);
                Ok(Some((v, run)))
            };
            // Collected in the requested order, whichever run ends first.
            requested.into_par_iter().map(play_or_reuse).filter_map(Result::transpose).collect()
        });
        for (v, run) in played? {
            if let Some(runs) = by_variant.get_mut(v) {
                runs.push(run);
            }
        }
        from = to + 1;
        if from <= spec.seeds && is_clear(spec, &by_variant) {
            return Ok(Runs { by_variant, reused: reused.into_inner(), stopped_early: true });
        }
    }
    Ok(Runs { by_variant, reused: reused.into_inner(), stopped_early: false })
}

/// Whether every variant differs from the first at the level of an interim analysis.
fn is_clear(spec: &Spec, by_variant: &[Vec<Run>]) -> bool {
    let values = |runs: &Vec<Run>| runs.iter().map(|r| r.figure(spec.figure)).collect::<Vec<_>>();
    let Some((first, others)) = by_variant.split_first() else { return true };
    let first = values(first);
    !others.is_empty()
        && others.iter().all(|o| difference(&first, &values(o), EARLY).verdict() != Verdict::NoDifference)
}
