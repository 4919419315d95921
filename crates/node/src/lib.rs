//! One node: the decisions of the crate `birchspoke` on real sockets. Sockets, timers and files are here; no
//! decision is.

mod config;
mod discovery;
mod driver;
mod log;
mod peers;
mod request;
mod server;
mod socket;
mod upstream;

use crate::config::Config;
use crate::discovery::Watch;
use crate::driver::{Driver, Input};
use crate::peers::Peers;
use crate::request::Reader;
use crate::server::Server;
use crate::socket::Descriptors;
use crate::upstream::Upstream;
use birchspoke::Balancer;
use birchspoke::interface::ListKind;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};

/// Connections that may wait while this node is busy or out of descriptors.
const BACKLOG: u32 = 1024;
/// Part of the memory that the bodies of open requests may take, and that the connections' buffers may.
const BODIES_PART: usize = 4;
const BUFFERS_PART: usize = 4;
/// What a connection may read ahead: a head must fit, and no more than a body is of use.
const LEAST_BUFFER: usize = 8 * 1024;
const MOST_BUFFER: usize = 64 * 1024;
/// How often idle connections to backends are looked through.
const SWEEP: Duration = Duration::from_millis(500);
/// SIGKILL follows SIGTERM by the longest deadline, this at most, and 0.7 s; what has no answer shortly
/// before that is failed.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
const LAST_ANSWERS: Duration = Duration::from_millis(400);
/// Time for those failures to be written.
const FAREWELL: Duration = Duration::from_millis(100);

fn listen(config: &Config) -> std::io::Result<TcpListener> {
    let socket = if config.listen.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(config.listen)?;
    socket.listen(BACKLOG)
}

/// Reads the configuration again whenever told to. Where discovery is may change under way; all else holds
/// from start to end. A file that is wrong changes nothing.
async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match Config::reload() {
            Ok(config) => {
                log::line(&format!("configuration read again: discovery is at {}", config.discovery));
                discovery.send_replace(config.discovery);
            }
            Err(e) => log::line(&format!("configuration kept as it was: {e}")),
        }
    }
}

async fn run() -> Result<(), Box<dyn Error>> {
    // Before all else: what these signals do by default is to end the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let config = Config::load().map_err(|e| format!("configuration: {e}"))?;
    let listener = listen(&config).map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let settings = config.settings.clone();
    let descriptors = Descriptors::new(config.sockets);
    let buffer = (config.memory / BUFFERS_PART / config.sockets.max(1)).clamp(LEAST_BUFFER, MOST_BUFFER);
    let upstream =
        Upstream::new(descriptors.clone(), settings.connect_timeout_ms, settings.conn_idle_ms, buffer);
    let peers = match config.peer_listen.filter(|_| settings.peer_messages) {
        Some(at) => {
            let peers = Peers::new(at, config.peers, config.peers_all, settings.slot).await;
            Some(Rc::new(peers.map_err(|e| format!("peer_listen: {at}: {e}"))?))
        }
        None => None,
    };
    let balancer = Balancer::new(config.settings, config.seed)?;
    let (wish, wishes) = mpsc::unbounded_channel();
    let driver = Driver::new(balancer, settings.reporting, upstream.clone(), peers.clone(), wish);
    let names = Rc::new(config.names);
    driver.take(Input::Start);
    if let Some(known) = discovery::listing(&config.known, &names) {
        driver.take(Input::List(ListKind::Saved, known.targets));
    }
    let (told, address) = watch::channel(config.discovery);
    let watch = Watch {
        address,
        mode: settings.discovery,
        names: names.clone(),
        descriptors: descriptors.clone(),
        wishes,
    };
    spawn_local(watch.run(driver.clone()));
    spawn_local(reload(hangup, told));
    if let Some(peers) = peers {
        let driver = driver.clone();
        spawn_local(async move {
            loop {
                let (from, bytes) = peers.receive().await;
                driver.take(Input::Message(from, bytes));
            }
        });
    }
    spawn_local(async move {
        let mut turn = tokio::time::interval(SWEEP);
        turn.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            turn.tick().await;
            upstream.sweep();
        }
    });
    let longest = settings.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let longest = Duration::from_secs_f64(longest.clamp(0.0, 1e6) / 1000.0).min(LONGEST_DEADLINE);
    let reader = Reader::new(names, settings.classes, config.memory / BODIES_PART);
    let open_cap = settings.open_cap as usize;
    let server = Server::new(driver.clone(), reader, open_cap, buffer, descriptors);
    log::line(&format!("{} serves on {}", config.name, config.listen));
    let accepting = {
        let server = server.clone();
        spawn_local(async move { server.accept(listener).await })
    };
    terminate.recv().await;
    log::line("told to stop: answers what comes and what is there, then ends");
    let end = Instant::now() + longest + LAST_ANSWERS;
    server.stop();
    // Whatever became of the accept loop, what was taken is answered.
    let _ = tokio::time::timeout_at(end.into(), accepting).await;
    server.wind_down(end).await;
    // Better failed than lost: what is still open would be cut by the end of the process.
    driver.end_all();
    server.wind_down(Instant::now() + FAREWELL).await;
    Ok(())
}

/// Runs a node from its start to its end, in this process.
pub fn main() -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            log::line(&format!("no runtime: {e}"));
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::line(&e.to_string());
            ExitCode::FAILURE
        }
    }
}
