//! The command line. Without arguments it runs a node, which is how the platform starts it.

use crate::daemon::{EXIT_REFUSED, exit_code};
use crate::print::print;
use crate::setup::Setup;
use crate::{blame, certs, config, demo, fleet, metrics, serve, upgrade};
use applemill_admin::CallError;
use applemill_log::{Format, Level};
use applemill_operator::{self as operator, FileError};
use applemill_routes::{Platform, Request, Severity, explain, load_bytes, schema};
use clap::{Args, Parser, Subcommand};
use std::error::Error;
use std::ffi::OsString;
use std::fmt::Display;
use std::io::Write;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;
use tracing::error;

/// A load balancer for HTTP that runs as a fleet of nodes.
///
/// Without a command it runs a node from the JSON file that LB_CONFIG names, from the operator's file that
/// LB_OPERATOR names, or from both.
#[derive(Debug, Parser)]
#[command(name = "applemill", version, disable_help_subcommand = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a node. Exit code 0: it was told to stop; 2: its file is refused; 3: it cannot listen on an
    /// address; 4: another node holds its lock; 5: the takeover failed and the running node goes on; 1: any
    /// other error.
    Run {
        /// The operator's file; LB_OPERATOR if absent.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Takes over from the running node that listens at this socket (`hand_over` in its file).
        #[arg(long, value_name = "SOCKET")]
        take_over: Option<PathBuf>,
        #[command(flatten)]
        log: LogArgs,
    },
    /// Starts a process that takes over from the running node, with the file as it is now and optionally
    /// another program, and waits for the outcome. Exit code 0: it serves; 1: it failed and the running
    /// node goes on; 2: the file is refused.
    Upgrade {
        /// The operator's file; LB_OPERATOR if absent.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// The program to start; this one if absent.
        #[arg(long, value_name = "PROGRAM")]
        program: Option<PathBuf>,
        /// The socket at which the running node accepts a takeover; `hand_over` in the file if absent.
        #[arg(long, value_name = "SOCKET")]
        from: Option<PathBuf>,
    },
    /// Checks an operator's file and prints all errors and warnings. Exit code 0: it can be used; 2: it
    /// cannot.
    Check {
        #[command(flatten)]
        file: OperatorFile,
        /// Print JSON, for programs.
        #[arg(long)]
        json: bool,
    },
    /// Explains how a request is handled: its route, the routes that do not match, each value with the line
    /// it comes from, and the longest time it can take. Exit code 1: no route matches.
    Explain {
        #[command(flatten)]
        file: OperatorFile,
        /// Method and path of the request.
        #[arg(value_name = "'METHOD PATH'")]
        request: String,
        /// A header of the request, such as 'Host: auction.lv'; may be given several times.
        #[arg(short = 'H', long = "header", value_name = "HEADER")]
        headers: Vec<String>,
    },
    /// Demonstration: starts stand-in servers and a node in front of them, sends a light load of bids and
    /// pages, and shows the results. Exit code 1: a bid ran twice, or the demonstration could not start.
    Demo {
        /// Duration in seconds; until interrupted if absent.
        #[arg(long, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=86_400))]
        seconds: Option<u64>,
        /// Print one JSON object at the end, for programs.
        #[arg(long)]
        json: bool,
    },
    /// Shows the state of an operator's file's certificates, read from the disk, whether a node runs or not.
    Certs {
        #[command(subcommand)]
        what: CertsCommand,
    },
    /// Shows what a running node attributes failures to, and what it holds, through the socket that `admin`
    /// in the file names. Exit code 0: nothing is at fault, or the command was carried out; 1: something is
    /// at fault; 2: no node answers.
    Blame {
        #[command(subcommand)]
        action: Option<BlameCommand>,
        /// The operator's file; LB_OPERATOR if absent.
        #[arg(long, value_name = "FILE", global = true)]
        config: Option<PathBuf>,
        /// Repeat every second until interrupted.
        #[arg(long)]
        watch: bool,
        /// Print JSON, for programs.
        #[arg(long)]
        json: bool,
    },
    /// Shows the nodes of the fleet as one running node sees them, through the socket that `admin` in the
    /// file names. Exit code 0: all is well, or the command was carried out; 1: a node needs attention; 2:
    /// no node answers, or it refuses.
    Fleet {
        #[command(subcommand)]
        action: FleetCommand,
        /// The operator's file; LB_OPERATOR if absent.
        #[arg(long, value_name = "FILE", global = true)]
        config: Option<PathBuf>,
    },
    /// Prints a running node's metrics of readiness, fleet and certificates as OpenMetrics, through the
    /// socket that `admin` in the file names. Exit code 0: printed; 2: no node answers.
    Metrics {
        /// The operator's file; LB_OPERATOR if absent.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Runs experiments in virtual time with the program `applemill-lab` beside this one: see `applemill
    /// lab --help`.
    #[command(disable_help_flag = true)]
    Lab {
        /// Arguments of that program.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true, value_name = "ARGUMENTS")]
        arguments: Vec<OsString>,
    },
    /// Sends load to an address with the program `applemill-load` beside this one: see `applemill load
    /// --help`.
    #[command(disable_help_flag = true)]
    Load {
        /// Arguments of that program.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true, value_name = "ARGUMENTS")]
        arguments: Vec<OsString>,
    },
    /// Prints a JSON Schema of the operator's file, for editors.
    Schema,
}

#[derive(Debug, Subcommand)]
enum BlameCommand {
    /// Holds a route, tenant or key: its requests are refused until it is freed.
    Hold {
        /// Kind: route, tenant or key.
        kind: String,
        /// Its name, as in the file or in requests.
        name: String,
    },
    /// Frees a route, tenant or key, whoever holds it; the node does not hold it again by itself for ten
    /// minutes.
    Free {
        /// Kind: route, tenant or key.
        kind: String,
        /// Its name.
        name: String,
    },
}

#[derive(Debug, Subcommand)]
enum FleetCommand {
    /// Lists all nodes with state, time since last heard, version and configuration; differences are marked.
    Status {
        /// Repeat every second until interrupted.
        #[arg(long)]
        watch: bool,
        /// Print JSON, for programs.
        #[arg(long)]
        json: bool,
    },
    /// Declares that a node is gone with its machine, so that the others may take its share. Refused while
    /// the node is heard; revoked if it is heard again.
    Forget {
        /// Number of the node.
        node: u32,
    },
}

#[derive(Debug, Subcommand)]
enum CertsCommand {
    /// Lists all certificates, one a line. Exit code 0: all is well; 1: one needs attention; 2: the file
    /// cannot be used.
    List {
        /// The operator's file.
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Print JSON, for programs.
        #[arg(long)]
        json: bool,
    },
    /// Lists the certificates that need attention, for a cron job; prints nothing if all is well. Exit
    /// codes as for list.
    Check {
        /// The operator's file.
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
    /// Asks a running node to renew a certificate now, within the weekly limit of orders.
    Renew {
        /// The operator's file.
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Name of the certificate.
        name: String,
        /// Only print what would be done.
        #[arg(long)]
        dry_run: bool,
    },
}

/// Format and level of the log on standard error.
#[derive(Debug, Default, Args)]
struct LogArgs {
    /// Readable lines (text), or one JSON object a line (json); LB_LOG_FORMAT, or text, if absent.
    #[arg(long, value_name = "text|json")]
    log_format: Option<Format>,
    /// Lowest level that is written: error, warn, info or debug; LB_LOG_LEVEL, or info, if absent.
    #[arg(long, value_name = "LEVEL")]
    log_level: Option<Level>,
}

/// The value of the command line, else of the environment variable, else the default.
fn argument_or_variable<T: FromStr<Err: Display> + Default>(
    argument: Option<T>,
    variable: &str,
) -> Result<T, String> {
    if let Some(value) = argument {
        return Ok(value);
    }
    match std::env::var(variable).ok().filter(|value| !value.is_empty()) {
        Some(value) => value.parse().map_err(|e| format!("{variable}: {e}")),
        None => Ok(T::default()),
    }
}

#[derive(Debug, Args)]
struct OperatorFile {
    /// The operator's file.
    #[arg(value_name = "FILE")]
    path: PathBuf,
    /// The platform's configuration that it would be used with.
    #[arg(long, value_name = "JSON")]
    platform: Option<PathBuf>,
}

impl OperatorFile {
    /// The platform's limits, if its configuration is named; on an error, the exit code.
    fn platform_limits(&self) -> Result<Option<Platform>, ExitCode> {
        let Some(path) = &self.platform else { return Ok(None) };
        match config::Config::read_path(path) {
            Ok(config) => Ok(Some(operator::platform_limits(&config.settings, &config.names))),
            Err(e) => Err(refuse(&format!("{}: {e}", path.display()))),
        }
    }
}

/// Runs what the command line asks for.
pub fn main() -> ExitCode {
    // The platform starts a node without arguments, which needs no parsing.
    if std::env::args_os().len() <= 1 {
        return run(None, None, LogArgs::default());
    }
    match Cli::parse().command {
        None => run(None, None, LogArgs::default()),
        Some(Command::Run { config, take_over, log }) => run(config.as_deref(), take_over.as_deref(), log),
        Some(Command::Upgrade { config, program, from }) => {
            upgrade(config.as_deref(), program.as_deref(), from.as_deref())
        }
        Some(Command::Check { file, json }) => check(&file, json),
        Some(Command::Explain { file, request, headers }) => explain_request(&file, &request, &headers),
        Some(Command::Demo { seconds, json }) => run_demo(seconds.map(Duration::from_secs), json),
        Some(Command::Certs { what }) => run_certs(&what),
        Some(Command::Blame { action, config, watch, json }) => {
            run_blame(action.as_ref(), config.as_deref(), watch, json)
        }
        Some(Command::Fleet { action, config }) => run_fleet(&action, config.as_deref()),
        Some(Command::Lab { arguments }) => exec_sibling("applemill-lab", &arguments),
        Some(Command::Load { arguments }) => exec_sibling("applemill-load", &arguments),
        Some(Command::Metrics { config }) => with_admin_socket(config.as_deref(), metrics::run),
        Some(Command::Schema) => {
            print(&format!("{:#}\n", schema()));
            ExitCode::SUCCESS
        }
    }
}

/// Prints an error, and returns the exit code of refused commands.
fn refuse(reason: &str) -> ExitCode {
    let _ = writeln!(std::io::stderr(), "applemill: {reason}");
    ExitCode::from(EXIT_REFUSED)
}

fn run(
    file: Option<&Path>,
    take_over_from: Option<&Path>,
    LogArgs { log_format, log_level }: LogArgs,
) -> ExitCode {
    let process_started = Instant::now();
    let (format, level) = match (
        argument_or_variable(log_format, "LB_LOG_FORMAT"),
        argument_or_variable(log_level, "LB_LOG_LEVEL"),
    ) {
        (Ok(format), Ok(level)) => (format, level),
        (format, level) => {
            let errors: Vec<String> = format.err().into_iter().chain(level.err()).collect();
            return refuse(&errors.join("\napplemill: "));
        }
    };
    let setup = match Setup::load(file.or(operator_file_from_environment().as_deref())) {
        Ok(setup) => setup,
        Err(e) => return refuse(&e.to_string()),
    };
    let _log = applemill_log::start(format, level);
    block_on(async { serve::run(setup, process_started, take_over_from).await.map(|()| true) })
}

/// Replaces this process by another program in the same folder. The program is separate so that a node does
/// not contain it.
fn exec_sibling(name: &str, arguments: &[OsString]) -> ExitCode {
    match std::env::current_exe().map(|this_program| this_program.with_file_name(name)) {
        // `exec` returns only on failure.
        Ok(program) => {
            let error = std::process::Command::new(&program).args(arguments).exec();
            refuse(&format!("{}: {error}", program.display()))
        }
        Err(e) => refuse(&format!("the path of this program is unknown: {e}")),
    }
}

/// The operator's file that LB_OPERATOR names.
fn operator_file_from_environment() -> Option<PathBuf> {
    std::env::var_os("LB_OPERATOR").filter(|f| !f.is_empty()).map(PathBuf::from)
}

fn upgrade(file: Option<&Path>, program: Option<&Path>, from: Option<&Path>) -> ExitCode {
    let from_environment = operator_file_from_environment();
    let Some(file) = file.or(from_environment.as_deref()) else {
        return refuse("no operator's file: name it with --config FILE or LB_OPERATOR");
    };
    let socket = match (from, operator::load(file, None)) {
        (_, Err(e)) => return refuse(&e.to_string()),
        (Some(from), _) => from.to_owned(),
        (None, Ok((_, rules))) => match rules.file.node.hand_over {
            Some(socket) => socket.into(),
            None => return refuse(&format!("{}: [node] has no hand_over", file.display())),
        },
    };
    match upgrade::run(file, program, &socket) {
        Ok(pid) => {
            print(&format!("process {pid} has taken over from the running node\n"));
            ExitCode::SUCCESS
        }
        Err(e) => {
            let _ = writeln!(std::io::stderr(), "applemill: {e}; the running node goes on");
            ExitCode::FAILURE
        }
    }
}

/// The admin socket that the operator's file names; on an error, the exit code.
fn admin_socket(file: Option<&Path>) -> Result<PathBuf, ExitCode> {
    let from_environment = operator_file_from_environment();
    let Some(path) = file.or(from_environment.as_deref()) else {
        return Err(refuse("no operator's file: name it with --config FILE or LB_OPERATOR"));
    };
    let (_, rules) = operator::load(path, None).map_err(|e| refuse(&e.to_string()))?;
    rules.file.node.admin.map(PathBuf::from).ok_or_else(|| {
        let path = path.display();
        refuse(&format!("{path}: [node] has no admin, the Unix socket for operators"))
    })
}

/// Runs an action on the admin socket of the node that runs by a file, and converts its result to an exit
/// code.
fn with_admin_socket(
    file: Option<&Path>,
    action: impl FnOnce(&Path) -> Result<bool, CallError>,
) -> ExitCode {
    let socket = match admin_socket(file) {
        Ok(socket) => socket,
        Err(code) => return code,
    };
    match action(&socket) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => refuse(&format!("{}: {e}", socket.display())),
    }
}

fn run_blame(command: Option<&BlameCommand>, file: Option<&Path>, watch: bool, json: bool) -> ExitCode {
    let action = match command {
        None => blame::BlameAction::Show { json, watch },
        Some(BlameCommand::Hold { kind, name }) => blame::BlameAction::Hold(kind, name),
        Some(BlameCommand::Free { kind, name }) => blame::BlameAction::Free(kind, name),
    };
    with_admin_socket(file, |socket| blame::run(socket, &action))
}

fn run_fleet(command: &FleetCommand, file: Option<&Path>) -> ExitCode {
    let action = match *command {
        FleetCommand::Status { watch, json } => fleet::FleetAction::Status { json, watch },
        FleetCommand::Forget { node } => fleet::FleetAction::Forget(node),
    };
    with_admin_socket(file, |socket| fleet::run(socket, &action))
}

fn run_demo(duration: Option<Duration>, json: bool) -> ExitCode {
    block_on(demo::run(duration, json))
}

/// Runs a task on a single-threaded runtime, and converts its result to an exit code.
fn block_on(task: impl Future<Output = Result<bool, Box<dyn Error>>>) -> ExitCode {
    let result = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => LocalSet::new().block_on(&runtime, task),
        Err(e) => Err(format!("the async runtime cannot start: {e}").into()),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            error!("{e}");
            exit_code(e.as_ref())
        }
    }
}

fn check(file: &OperatorFile, json: bool) -> ExitCode {
    let platform = match file.platform_limits() {
        Ok(platform) => platform,
        Err(code) => return code,
    };
    let path = file.path.display().to_string();
    let bytes = match operator::read_file(&file.path) {
        Ok(bytes) => bytes,
        Err(e) if json => {
            print(&format!(
                "{:#}\n",
                serde_json::json!({"file": path, "accepted": false, "unread": e.to_string()})
            ));
            return ExitCode::from(EXIT_REFUSED);
        }
        Err(e) => return refuse(&e.to_string()),
    };
    let (report, rules) = load_bytes(&bytes, platform.as_ref());
    if json {
        print(&format!("{:#}\n", report.json(&path)));
    } else {
        let (errors, warnings) = (report.count(Severity::Error), report.count(Severity::Warning));
        let verdict = if rules.is_some() { "may be used" } else { "is refused" };
        let count = |n: usize, noun: &str| format!("{n} {noun}{}", if n == 1 { "" } else { "s" });
        let counts = format!("{}, {}", count(errors, "error"), count(warnings, "warning"));
        print(&format!("{}{path} {verdict}: {counts}\n", report.text(&path)));
    }
    if rules.is_some() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_REFUSED) }
}

fn run_certs(what: &CertsCommand) -> ExitCode {
    let (path, action) = match what {
        CertsCommand::List { file, json } => (file, certs::CertsAction::List { json: *json }),
        CertsCommand::Check { file } => (file, certs::CertsAction::Check),
        CertsCommand::Renew { file, name, dry_run } => {
            (file, certs::CertsAction::Renew { name, dry_run: *dry_run })
        }
    };
    let rules = match operator::load(path, None) {
        Ok((_, rules)) => rules,
        Err(e) => return refuse(&e.to_string()),
    };
    match certs::run(&rules.file, &action) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => refuse(&e),
    }
}

fn explain_request(file: &OperatorFile, request: &str, headers: &[String]) -> ExitCode {
    let platform = match file.platform_limits() {
        Ok(platform) => platform,
        Err(code) => return code,
    };
    let request = match Request::read(request, headers) {
        Ok(request) => request,
        Err(e) => return refuse(&e),
    };
    match operator::load(&file.path, platform.as_ref()) {
        Ok((_, rules)) => {
            let (text, matched) = explain(&rules, &request);
            print(&text);
            if matched { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(e @ FileError::Refused(..)) => {
            refuse(&format!("the file cannot be used to explain requests: {e}"))
        }
        Err(e) => refuse(&e.to_string()),
    }
}
