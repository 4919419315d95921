//! Measurements of a node, each against something measured in the same run. Progress goes to standard error, one JSON
//! object to standard output; the exit code is 1 where a promise is broken. The node is this program itself, started
//! again as one, so that one build has all.

mod acme;
mod blame;
mod fleet;
mod gossip;
mod lab;
mod notice;
mod request;
mod routes;
mod states;
mod streams;
mod view;

use applemill_stand_ins::{Node, PATIENCE, free_address, relay};
use clap::{Parser, ValueEnum};
use std::error::Error;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::{Duration, Instant};

/// Set for a process that is to be a node.
const AS_NODE: &str = "APPLEMILL_MEASURE_AS_NODE";
/// Set for one that is to be a relay: where it listens and its backend.
const AS_RELAY: &str = "APPLEMILL_MEASURE_AS_RELAY";

/// Measures one thing and says whether what is promised of it is kept.
#[derive(Debug, Parser)]
#[command(name = "applemill-measure", version)]
struct Cli {
    /// What to measure.
    #[arg(required_unless_present = "story")]
    name: Option<Name>,
    /// Tell one of the explorer's orderings instead, by its token.
    #[arg(long, value_name = "TOKEN", conflicts_with = "name")]
    story: Option<String>,
    /// And play it against the real binary, ten times as slow: a node, clients and backends on loopback.
    #[arg(long, requires = "story")]
    real: bool,
    /// And draw it: an ordering as a sequence chart, bids over time for `blame`, a fresh server's load for `fleet`, attempts at
    /// servers that fail for `gossip`, an outage and return for `notice`, how many each node sees for `view`.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
    /// How large: 1 takes seconds; 10 is the full size.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=100))]
    scale: u32,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Name {
    /// Certificates: a fleet's renewals through trouble, what handshakes cost, a flood of them.
    Acme,
    /// Blame: bids beside work that servers fail at, by kind of failure and part of all that is asked.
    Blame,
    /// Fleet: nodes that tell each other that they are there, round a server that has just started, in every hard case.
    Fleet,
    /// Gossip: a server that answers with errors, and how soon a large fleet knows it, with and without messages, some of
    /// them lost and some nodes lying.
    Gossip,
    /// Lab: how fast worlds are played, whether one seed is one run, and how far a small world agrees with real processes.
    Lab,
    /// Notice: how soon nodes know that a server leaves, and how late it still gets requests, by what the agent does meanwhile.
    Notice,
    /// Request: what one costs the node, beside a bare relay, and whether that grows with what the node holds.
    Request,
    /// Routes: time of a lookup, cost of a request, bids through faults.
    Routes,
    /// Streams: many at once, slow and stopped ones among them, beside bids; memory, waits, content, throughput.
    Streams,
    /// View: how soon real nodes agree on who is there, through crashes, cuts and drawn schedules of faults.
    View,
    /// States: every ordering of small worlds round the ledger, and the bugs planted for it.
    States,
}

/// A node that is this program again; `own` is this program.
fn node(own: &Path) -> Command {
    let mut command = Command::new(own);
    command.env(AS_NODE, "1").stderr(Stdio::null());
    command
}

/// A node that is this program again, on an operator's file.
fn start(text: &str) -> Result<Node, Box<dyn Error>> {
    let mut node = Node::run_file(node(&std::env::current_exe()?), text)?;
    node.get_ready()?;
    Ok(node)
}

/// This program again as a bare relay before one backend; killed when dropped.
struct Relay {
    address: SocketAddr,
    child: Child,
}

impl Relay {
    fn start(backend: SocketAddr) -> Result<Relay, Box<dyn Error>> {
        let address = free_address();
        let mut command = Command::new(std::env::current_exe()?);
        command.env(AS_RELAY, format!("{address} {backend}")).stderr(Stdio::null());
        let relay = Relay { address, child: command.spawn()? };
        let begun = Instant::now();
        while TcpStream::connect(address).is_err() {
            if begun.elapsed() > PATIENCE {
                return Err("the relay does not listen".into());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(relay)
    }

    fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Relays, for as long as the process lives.
fn run_relay(addresses: &str) -> Result<(), Box<dyn Error>> {
    let (listen, backend) = addresses.split_once(' ').ok_or("two addresses")?;
    Ok(relay(listen.parse()?, backend.parse()?)?)
}

/// The middle one; none of none.
fn median(all: &[f64]) -> Option<f64> {
    let mut all = all.to_vec();
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied()
}

fn main() -> ExitCode {
    // A node of a measurement: what follows is the node's own command line.
    if std::env::var_os(AS_NODE).is_some() {
        return applemill::main();
    }
    if let Ok(addresses) = std::env::var(AS_RELAY) {
        return if run_relay(&addresses).is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE };
    }
    let cli = Cli::parse();
    let measured = match (cli.name, cli.story) {
        (Some(Name::Acme), _) => acme::measure(cli.scale),
        (Some(Name::Blame), _) => blame::measure(cli.scale, cli.svg.as_deref()),
        (Some(Name::Fleet), _) => fleet::measure(cli.scale, cli.svg.as_deref()),
        (Some(Name::Gossip), _) => gossip::measure(cli.scale, cli.svg.as_deref()),
        (Some(Name::Lab), _) => lab::measure(cli.scale),
        (Some(Name::Notice), _) => notice::measure(cli.scale, cli.svg.as_deref()),
        (Some(Name::Request), _) => request::measure(cli.scale),
        (Some(Name::Routes), _) => routes::measure(cli.scale),
        (Some(Name::Streams), _) => streams::measure(cli.scale),
        (Some(Name::View), _) => view::measure(cli.scale, cli.svg.as_deref()),
        (Some(Name::States), _) => states::measure(cli.scale),
        (None, token) => {
            return match states::tell(&token.unwrap_or_default(), cli.svg, cli.real) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    eprintln!("applemill-measure: {e}");
                    ExitCode::from(2)
                }
            };
        }
    };
    match measured {
        Ok(report) => {
            println!("{report}");
            if report["kept"] == true { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(e) => {
            eprintln!("applemill-measure: {e}");
            ExitCode::from(2)
        }
    }
}
