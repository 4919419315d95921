//! `applemill-load`: open-loop load generator for one address.

use applemill_lab::Clients;
use applemill_load::{LoadResults, Plan, clients_from_file, run_alone};
use clap::Parser;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Sends requests at their due times, whether or not earlier ones have finished, and measures latency from
/// those times. Exit code 0: done; 1: done, but this program, not the server, was the limit; 2: the load
/// could not be run.
#[derive(Debug, Parser)]
#[command(name = "applemill-load", version)]
struct Cli {
    /// Target address, such as 127.0.0.1:8080.
    to: SocketAddr,
    /// Requests per second.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Duration in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Ramp: points in time (seconds) and multiples of the rate, interpolated linearly, such as
    /// 0:0.1,20:1,30:2.
    #[arg(long, value_name = "RAMP", value_parser = parse_ramp)]
    shape: Option<RampPoints>,
    /// Request to send; `{key}` is replaced by a key number. May be repeated.
    #[arg(long = "request", value_name = "METHOD PATH", conflicts_with = "config")]
    requests: Vec<String>,
    /// Takes the requests from the routes of an operator's file.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Relative weight of a route of the file: NAME=WEIGHT; 1 if not given, 0 for never.
    #[arg(long = "weight", value_name = "NAME=WEIGHT", value_parser = parse_weight, requires = "config")]
    weights: Vec<(String, f64)>,
    /// Number of different keys.
    #[arg(long, default_value_t = 1_000)]
    keys: u32,
    /// Zipf exponent of the popularity of keys; 0 requests all keys equally often.
    #[arg(long, default_value_t = 0.0)]
    zipf: f64,
    /// Random seed; the same seed gives the same requests at the same times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Time-out of an answer in milliseconds, counted from when its request was due.
    #[arg(long, default_value_t = 5_000)]
    patience: u64,
    /// Maximum number of requests in flight.
    #[arg(long, default_value_t = 10_000)]
    open: usize,
    /// Body size in bytes of requests that have a body.
    #[arg(long, default_value_t = 64)]
    body: usize,
    /// `Host` header of the requests; the target address if absent.
    #[arg(long)]
    host: Option<String>,
    /// Also writes the latencies to this file as an HdrHistogram log.
    #[arg(long, value_name = "FILE")]
    histograms: Option<PathBuf>,
}

#[derive(Clone, Debug)]
struct RampPoints(Vec<(f64, f64)>);

fn parse_ramp(text: &str) -> Result<RampPoints, String> {
    let point = |part: &str| {
        let (at, multiple) = part.split_once(':')?;
        let (at, multiple) = (at.trim().parse().ok()?, multiple.trim().parse().ok()?);
        (0.0 <= at && (0.0..1e4).contains(&multiple)).then_some((at, multiple))
    };
    let points: Option<Vec<(f64, f64)>> = text.split(',').map(point).collect();
    let is_ascending = |p: &Vec<(f64, f64)>| p.windows(2).all(|w| matches!(w, [a, b] if a.0 < b.0));
    points.filter(is_ascending).map(RampPoints).ok_or_else(|| {
        "expected seconds:multiple points with ascending seconds, such as 0:0.1,20:1".to_owned()
    })
}

fn parse_weight(text: &str) -> Result<(String, f64), String> {
    let (name, weight) = text.rsplit_once('=').ok_or("expected NAME=WEIGHT")?;
    let weight: f64 = weight.parse().map_err(|_| "the weight is not a number".to_owned())?;
    if (0.0..1e6).contains(&weight) {
        Ok((name.to_owned(), weight))
    } else {
        Err("the weight must be at least 0 and below 1000000".to_owned())
    }
}

fn clients(cli: &Cli) -> Result<Vec<Clients>, Box<dyn Error>> {
    if !(cli.rate > 0.0 && cli.rate <= 1e6 && cli.seconds > 0.0 && cli.seconds <= 86_400.0) {
        return Err("--rate must be over 0 and at most 1000000, --seconds over 0 and at most 86400".into());
    }
    let mut clients = match &cli.config {
        Some(file) => {
            let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
            clients_from_file(&text, cli.rate, cli.keys, &cli.weights)?
        }
        None => {
            let default = vec!["GET /".to_owned()];
            let requests = if cli.requests.is_empty() { &default } else { &cli.requests };
            let rate_per_request = cli.rate / requests.len() as f64;
            let group = |r: &String| Clients {
                request: r.clone(),
                rate: rate_per_request,
                keys: cli.keys,
                ..Clients::named(r)
            };
            requests.iter().map(group).collect()
        }
    };
    for c in &mut clients {
        if c.request.split_once(' ').is_none_or(|(_, path)| !path.starts_with('/')) {
            return Err(format!(
                "--request {:?}: expected a method and a path, such as \"GET /lots/{{key}}\"",
                c.request
            )
            .into());
        }
        c.zipf = cli.zipf;
        c.shape = cli.shape.as_ref().map(|p| p.0.clone()).unwrap_or_default();
    }
    Ok(clients)
}

fn print_progress(results: &LoadResults) {
    let (due, served, refused, other) = results.totals();
    let latency_ms = |q: f64| {
        results.latency().filter(|l| !l.is_empty()).map_or(0.0, |l| l.value_at_quantile(q) as f64 / 1000.0)
    };
    eprintln!(
        "{:6.1} s  {due} due, {served} served, {refused} refused, {other} other; p50 {:.1} ms, p99 {:.1} ms; at most {} in flight",
        results.seconds,
        latency_ms(0.5),
        latency_ms(0.99),
        results.max_in_flight
    );
}

fn run_load(cli: &Cli) -> Result<LoadResults, Box<dyn Error>> {
    let plan = Plan {
        to: cli.to,
        host: cli.host.clone().unwrap_or_else(|| cli.to.to_string()),
        clients: clients(cli)?,
        seconds: cli.seconds,
        seed: cli.seed,
        patience: Duration::from_millis(cli.patience),
        open: cli.open.max(1),
        body: cli.body,
    };
    let results = run_alone(plan, &mut print_progress)?;
    if let Some(file) = &cli.histograms {
        let with_path = |e: std::io::Error| format!("{}: {e}", file.display());
        results.write_log(&mut std::fs::File::create(file).map_err(with_path)?).map_err(with_path)?;
    }
    Ok(results)
}

fn main() -> ExitCode {
    match run_load(&Cli::parse()) {
        Ok(results) => {
            print_progress(&results);
            println!("{}", results.json());
            match results.limit_text() {
                None => ExitCode::SUCCESS,
                Some(reason) => {
                    eprintln!("applemill-load: {reason}");
                    ExitCode::FAILURE
                }
            }
        }
        Err(e) => {
            eprintln!("applemill-load: {e}");
            ExitCode::from(2)
        }
    }
}
