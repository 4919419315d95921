//! `applemill-lab`: runs experiments, compares two results, searches for worst cases, and prints the log of
//! one try.

use applemill_experiments::{
    Figure, Folder, Spec, as_html, as_json, as_picture, as_text, promise_kept, replay, run, story,
    summarize, worst,
};
use clap::{Parser, Subcommand};
use serde_json::Value;
use std::error::Error;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Simulates worlds in virtual time with the real routes, ledger and decisions.
#[derive(Debug, Parser)]
#[command(name = "applemill-lab", version, disable_help_subcommand = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs an experiment and writes report.html and result.json. Runs that are already stored are not played
    /// again. Exit code 0: the promise is kept, or there is none; 1: it is not kept, or a rule was broken; 2:
    /// the file is invalid or an error occurred.
    Run {
        /// File of the experiment.
        file: PathBuf,
        /// Folder for results; if absent, beside the file with the extension "results".
        #[arg(long, value_name = "FOLDER")]
        out: Option<PathBuf>,
        /// Also writes the main chart as SVG to this file.
        #[arg(long, value_name = "FILE")]
        picture: Option<PathBuf>,
        /// Number of runs of each variant, in place of the file's.
        #[arg(long, value_parser = clap::value_parser!(u64).range(2..=100_000))]
        seeds: Option<u64>,
        /// Number of threads; 0 for one per core.
        #[arg(long, default_value_t = 0)]
        jobs: usize,
    },
    /// Compares the results of two folders, variant by variant.
    Compare {
        /// First results folder.
        first: PathBuf,
        /// Second results folder.
        second: PathBuf,
    },
    /// Searches the file's ranges and faults for the random day on which the first variant does worst, and
    /// reduces that day to what matters.
    Worst {
        /// File of the experiment, with [ranges] or [search].
        file: PathBuf,
        /// Number of random days to play.
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
        days: u64,
        /// Random seed of the days.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Plays a day that a search found, given its token.
    Replay {
        /// File of the experiment.
        file: PathBuf,
        /// Token of the day, as printed by `worst`.
        token: String,
    },
    /// Prints the log of one try, such as one that broke a rule.
    Story {
        /// File of the experiment.
        file: PathBuf,
        /// Name of the variant; the first if absent.
        #[arg(long)]
        variant: Option<String>,
        /// Seed of the run.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of the try.
        id: u64,
    },
}

/// Whether the command succeeded, for the exit code.
type CommandResult = Result<bool, Box<dyn Error>>;

fn print(text: &str) {
    // A reader that closed the pipe early is not an error.
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn run_experiment(
    file: &Path,
    out: Option<PathBuf>,
    picture: Option<&Path>,
    seeds: Option<u64>,
    jobs: usize,
) -> CommandResult {
    let mut spec = Spec::read(file)?;
    spec.seeds = seeds.unwrap_or(spec.seeds);
    let out = out.unwrap_or_else(|| file.with_extension("results"));
    let folder = Folder::new(&out)?;
    let last = Mutex::new(Instant::now());
    let on_progress = |done: u64, max_runs: u64| {
        let Ok(mut last) = last.lock() else { return };
        if done == max_runs || last.elapsed() > Duration::from_secs(1) {
            *last = Instant::now();
            eprintln!("{done} of {max_runs} runs");
        }
    };
    let runs = run(&spec, &folder, jobs, &on_progress)?;
    if runs.reused > 0 {
        eprintln!("{} of them were already stored", runs.reused);
    }
    let results = summarize(&spec, &runs);
    std::fs::write(out.join("result.json"), format!("{:#}\n", as_json(&spec, &runs, &results)))?;
    std::fs::write(out.join("report.html"), as_html(&spec, &runs, &results)?)?;
    if let Some(picture) = picture {
        std::fs::write(picture, as_picture(&spec, &runs)?)?;
    }
    print(&as_text(&spec, &runs, &results));
    print(&format!("{}\n", out.join("report.html").display()));
    Ok(promise_kept(&spec, &results) != Some(false) && results.iter().all(|f| f.broken == 0))
}

fn read_result(folder: &Path) -> Result<Value, Box<dyn Error>> {
    let file = folder.join("result.json");
    let with_path = |e: String| format!("{}: {e}", file.display());
    let text = std::fs::read_to_string(&file).map_err(|e| with_path(e.to_string()))?;
    Ok(serde_json::from_str(&text).map_err(|e| with_path(e.to_string()))?)
}

fn compare(first: &Path, second: &Path) -> CommandResult {
    let (a, b) = (read_result(first)?, read_result(second)?);
    let none = Vec::new();
    let variants = |v: &Value| v["variants"].as_array().unwrap_or(&none).clone();
    for variant in variants(&a) {
        let name = variant["name"].as_str().unwrap_or_default();
        print(&format!("{name}\n"));
        let Some(other) = variants(&b).into_iter().find(|o| o["name"] == variant["name"]) else {
            print("  only in the first folder\n");
            continue;
        };
        for figure in Figure::ALL {
            let (x, y) = (&variant["figures"][figure.name()], &other["figures"][figure.name()]);
            let number = |v: &Value, end: &str| v[end].as_f64().unwrap_or(f64::NAN);
            let are_disjoint = number(x, "high") < number(y, "low") || number(y, "high") < number(x, "low");
            let mark = if are_disjoint { "  intervals do not overlap" } else { "" };
            print(&format!(
                "  {:<11} {:>10.4} {:>10.4}{mark}\n",
                figure.name(),
                number(x, "mean"),
                number(y, "mean")
            ));
        }
    }
    Ok(true)
}

fn print_story(file: &Path, variant: Option<&str>, seed: u64, id: u64) -> CommandResult {
    let spec = Spec::read(file)?;
    let found = match variant {
        None => spec.variants.first(),
        Some(name) => spec.variants.iter().find(|v| v.name == name),
    };
    let variant = found.ok_or_else(|| format!("{}: no variant with this name", file.display()))?;
    let lines = story(variant, seed, id)?;
    print(&lines.iter().map(|l| format!("{l}\n")).collect::<String>());
    Ok(!lines.is_empty())
}

fn search(file: &Path, days: u64, seed: u64) -> CommandResult {
    let spec = Spec::read(file)?;
    let last = Mutex::new((Instant::now(), 0));
    let on_progress = |_| {
        let Ok(mut last) = last.lock() else { return };
        last.1 += 1;
        if last.1 == days || last.0.elapsed() > Duration::from_secs(1) {
            last.0 = Instant::now();
            eprintln!("{} of {days} days", last.1);
        }
    };
    let found = worst(&spec, days, seed, &on_progress)?;
    let name = spec.figure.name();
    print(&format!(
        "{name}: {:.4} for the file unchanged, {:.4} on the worst of {days} days, {:.4} on that day reduced ({} days played)\n",
        found.base, found.worst, found.reduced, found.played
    ));
    found.description.iter().for_each(|line| print(&format!("  {line}\n")));
    print(&format!("{}\n", found.token));
    Ok(true)
}

fn replay_day(file: &Path, token: &str) -> CommandResult {
    let spec = Spec::read(file)?;
    let (figure, run, description) = replay(&spec, token)?;
    description.iter().for_each(|line| print(&format!("  {line}\n")));
    print(&format!("{}: {figure:.4}\n", spec.figure.name()));
    for broken in &run.broken {
        print(&format!("  BROKEN at {:.2} s: {}: {}\n", broken.at, broken.rule.text(), broken.how));
    }
    Ok(run.broken_count == 0)
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Run { file, out, picture, seeds, jobs } => {
            run_experiment(&file, out, picture.as_deref(), seeds, jobs)
        }
        Command::Worst { file, days, seed } => search(&file, days, seed),
        Command::Replay { file, token } => replay_day(&file, &token),
        Command::Compare { first, second } => compare(&first, &second),
        Command::Story { file, variant, seed, id } => print_story(&file, variant.as_deref(), seed, id),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("applemill-lab: {e}");
            ExitCode::from(2)
        }
    }
}
