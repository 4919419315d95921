//! The life of a node: builds its parts, runs them, reloads its configuration, and shuts down in order.

use crate::blame;
use crate::config::Config;
use crate::daemon::{LockFile, StartError, notify_main_pid, notify_stopping, notify_when_ready};
use crate::fleet;
use crate::handover::{HandoverOffer, PreviousShare, TakeOver};
use crate::memory_limits::MemoryLimits;
use crate::metrics::{self, task_state_label};
use crate::pools::{AddressSender, PoolContext, close_oldest_idle, longest_deadline_ms, start_pool};
use crate::print::print;
use crate::setup::{Setup, TlsSetup};
use crate::unix_sockets::NodeSockets;
use applemill_admin::{AdminHandler, Reply};
use applemill_certificate_manager::CertificateManager;
use applemill_fleet::{self as membership, FleetNode};
use applemill_flow::{Memory, MemoryLayout};
use applemill_front_http::{NodePages, NotReadyReason, RequestReader, Server, ServerLimits};
use applemill_ledger::Limits;
use applemill_operator::{Operator, RunningPool};
use applemill_routes::MIN_STREAM_BUFFER_BYTES;
use applemill_socket::{Descriptors, Layer};
use applemill_tls::{Handshakes, Tls, TlsError};
use applemill_upstream::{Clock, Input, Peers, SharedResources, StreamPool};
use std::error::Error;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tracing::{info, warn};

/// Connections that may wait to be accepted while the node is busy or out of descriptors.
const LISTEN_BACKLOG: u32 = 1024;
/// Interval between two searches for idle connections to backends that have expired.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// The platform sends SIGKILL after SIGTERM with a delay of the longest deadline, this at most, plus 0.7 s.
/// Requests without an answer are failed shortly before that.
const PLATFORM_MAX_STOP: Duration = Duration::from_secs(3);
/// Longest wait for open requests at a stop, without a platform: a third of what service managers allow by
/// default.
const MAX_STOP: Duration = Duration::from_secs(30);
/// Added to the wait for open requests at a stop. With `FINAL_ANSWERS_TIMEOUT` it stays below the
/// platform's 0.7 s.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Interval between two measurements of the event loop's lateness.
const LOOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Lateness from which on the event loop counts as overloaded; tokio's timers are exact to a millisecond.
const LOOP_LATE_AFTER: Duration = Duration::from_millis(4);
/// Maximum number of characters of a report in the log.
const MAX_LOGGED_CHARS: usize = 4000;
/// Time to send the answers of requests that are failed at the end of a stop.
const FINAL_ANSWERS_TIMEOUT: Duration = Duration::from_millis(100);

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Reads the configuration and the operator's file again at each SIGHUP. The platform's discovery address,
/// and the file's routes, classes and static lists may change; everything else keeps its value until the
/// process ends. An invalid file changes nothing.
async fn reload(
    mut hangup: Signal,
    discovery_address: Option<AddressSender>,
    operator: Option<Rc<Operator>>,
    pools: Rc<[RunningPool]>,
    certificate_manager: Option<Rc<CertificateManager>>,
    fleet: Option<Rc<FleetNode>>,
) {
    while hangup.recv().await.is_some() {
        if let Some(discovery) = &discovery_address {
            match Config::reload() {
                Ok(config) => {
                    info!(discovery = %config.discovery, "configuration read again");
                    discovery.send_replace(config.discovery);
                }
                Err(e) => warn!("configuration kept as it was: {e}"),
            }
        }
        if let Some(operator) = &operator {
            match operator.reload(&pools).await {
                Ok(message) => {
                    info!("{}", truncated(&format!("operator's file read again: {message}")));
                    if let Some(certificate_manager) = &certificate_manager {
                        certificate_manager.reload(&operator.current().rules.file);
                    }
                    if let Some(fleet) = &fleet {
                        fleet.set_info(membership::node_info(&operator.current().rules));
                    }
                }
                Err(e) => warn!("{}", truncated(&format!("operator's file kept as it was: {e}"))),
            }
        }
    }
}

/// Cuts a report for the log, as the event loop waits for the log; `applemill check` prints all of it.
fn truncated(text: &str) -> String {
    match text.char_indices().nth(MAX_LOGGED_CHARS) {
        Some((end, _)) => {
            format!("{} ... (applemill check FILE prints all of it)", text.get(..end).unwrap_or_default())
        }
        None => text.to_owned(),
    }
}

/// Measures the event loop's lateness, and sets `overloaded` while requests wait for the loop, so that
/// background work waits.
async fn monitor_event_loop(overloaded: Arc<AtomicBool>) {
    loop {
        let due = Instant::now() + LOOP_CHECK_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        overloaded.store(due.elapsed() > LOOP_LATE_AFTER, Ordering::Relaxed);
    }
}

/// Pages of a node with certificates: proofs for certificate authorities, and at `/up` the state of
/// certificates and of the tasks that renew them.
fn certificate_pages(certificate_manager: Rc<CertificateManager>, tls: Tls) -> NodePages {
    let proofs = certificate_manager.proofs();
    Box::new(move |path| match path {
        "/up" => {
            let certificates = certificate_manager.statuses().into_iter().map(|c| format!("{c}\n"));
            let tasks = certificate_manager
                .tasks()
                .into_iter()
                .map(|t| format!("{}: {}\n", task_state_label(t.state), t.name));
            let Handshakes { full, resumed, failed } = tls.handshakes();
            let handshakes = format!("handshakes: {full} full, {resumed} resumed, {failed} failed\n");
            Some(certificates.chain(tasks).chain([handshakes]).collect())
        }
        _ => proofs.answer(path.rsplit('/').next()?),
    })
}

/// Why a node is not ready although its servers are.
fn not_ready_reason(fleet: Option<Rc<FleetNode>>) -> NotReadyReason {
    Box::new(move || fleet.as_ref()?.not_ready_reason())
}

/// The TLS layer of a listener, with client certificates if the listener asks for them.
fn tls_layer(
    certificate_manager: &CertificateManager,
    tls: &Tls,
    listener: SocketAddr,
) -> Result<Rc<dyn Layer>, TlsError> {
    Ok(match certificate_manager.callers(listener) {
        Some(authorities) => {
            Rc::new(tls.with_client_certificates(certificate_manager.served(), authorities)?)
        }
        None => Rc::new(tls.clone()),
    })
}

/// Answers the requests of the node's operators.
fn admin_handler(
    pools: Rc<[RunningPool]>,
    fleet: Option<Rc<FleetNode>>,
    server: Rc<Server>,
    certificates: Option<(Rc<CertificateManager>, Tls)>,
) -> AdminHandler {
    Rc::new(move |request| {
        let certificates = certificates.as_ref().map(|(manager, tls)| (&**manager, tls));
        let fleet = fleet.as_deref();
        blame::answer(request, &pools)
            .or_else(|| fleet::answer(request, fleet))
            .or_else(|| metrics::answer(request, server.is_ready(), fleet, certificates))
            .unwrap_or(Reply::NotFound)
    })
}

/// Runs a node until it is told to stop, or another process takes over from it. If `take_over_from` names a
/// socket, the node first takes over from the node that listens there. `process_started` is when the program
/// began.
///
/// # Errors
/// The node cannot start: an address is in use, a setting is out of its range, or the takeover fails.
pub async fn run(
    setup: Setup,
    process_started: Instant,
    take_over_from: Option<&Path>,
) -> Result<(), Box<dyn Error>> {
    // First of all, as these signals end the process by default.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let mut take_over = match take_over_from {
        Some(socket) => Some(TakeOver::request(socket).await?),
        None => None,
    };
    let lock = match setup.lock.as_deref().map(Path::new) {
        Some(path) => match take_over.as_mut().and_then(|t| t.lock(path)) {
            Some(lock) => Some(lock),
            None => Some(LockFile::acquire(path)?),
        },
        None => None,
    };
    // All that can fail comes before the running node lets go, and before clients can connect.
    let sockets = NodeSockets::bind(&setup)?;
    let offered_lock = lock.as_ref().map(LockFile::try_clone).transpose()?;
    let mut listeners = Vec::new();
    for listener in &setup.listeners {
        let address = listener.address;
        let inherited = take_over.as_mut().map(|t| t.listener(address)).transpose()?.flatten();
        listeners.push(match inherited {
            Some(listener) => listener,
            None => listen(address).map_err(|e| StartError::Address("listen", address, e))?,
        });
    }
    // Once the fleet's socket is bound, queries of other nodes are no longer refused, which would tell them
    // that no node runs here.
    let fleet = match setup.fleet {
        Some(fleet) => {
            let address = fleet.listen;
            let inherited = take_over.as_mut().and_then(|t| t.fleet_socket(address));
            let node = FleetNode::prepare(fleet, inherited).await;
            Some(node.map_err(|e| StartError::Address("fleet", address, e))?)
        }
        None => None,
    };
    if let (Some(fleet), None) = (&fleet, &take_over) {
        fleet.start(None);
    }
    let fleet_sockets = if fleet.is_some() { membership::MAX_SOCKETS } else { 0 };
    let memory_limits = MemoryLimits::new(setup.memory_bytes, setup.max_descriptors);
    let descriptors =
        Descriptors::new(setup.max_descriptors.saturating_sub(fleet_sockets), memory_limits.max_clients);
    let peers = match setup.peers {
        Some(p) => {
            let peers = Peers::new(p.listen, p.nodes, p.all, p.node_number).await;
            Some(Rc::new(peers.map_err(|e| StartError::Address("peer_listen", p.listen, e))?))
        }
        None => None,
    };
    let longest_deadline_ms =
        setup.pools.iter().map(|p| longest_deadline_ms(&p.settings)).fold(0.0, f64::max);
    let classes = match setup.pools.first() {
        Some(first) if setup.platform => {
            first.settings.classes.iter().take(first.platform_classes).cloned().collect()
        }
        _ => Vec::new(),
    };
    let limits =
        Limits { connect_ms: setup.connect_timeout_ms, idle_ms: setup.conn_idle_ms, acts_on_partial: true };
    let stream_pool = StreamPool::new(Clock::new());
    let shared = Rc::new(SharedResources {
        descriptors: descriptors.clone(),
        peers: peers.clone(),
        stream_pool: stream_pool.clone(),
        buffer: memory_limits.buffer_bytes,
        limits,
    });
    let context = PoolContext { shared, seed: setup.seed, process_started, fleet: fleet.clone() };
    let (mut pools, mut address_senders) = (Vec::new(), Vec::new());
    for (pool, number) in setup.pools.into_iter().zip(0..) {
        let (pool, address_sender) = start_pool(pool, number, &context)?;
        pools.push(pool);
        address_senders.push(address_sender);
    }
    let pools: Rc<[RunningPool]> = pools.into();
    let operator = setup.operator.map(Rc::new);
    // Only the platform's discovery address can change. The other senders must live as long as their
    // discovery watches.
    let mut address_senders = address_senders.into_iter();
    let platform_discovery = if setup.platform { address_senders.next().flatten() } else { None };
    let _other_senders: Vec<_> = address_senders.collect();
    let (certificate_manager, tls) = match setup.tls {
        Some(TlsSetup { certificate_manager, handshake_limits, overloaded }) => {
            let tls =
                Tls::new(certificate_manager.served(), certificate_manager.tickets(), handshake_limits)?;
            spawn_local(monitor_event_loop(overloaded));
            (Some(Rc::new(certificate_manager)), Some(tls))
        }
        None => (None, None),
    };
    let mut layers = Vec::new();
    for listener in &setup.listeners {
        layers.push(match (&certificate_manager, &tls) {
            (Some(certificate_manager), Some(tls)) if listener.tls => {
                Some(tls_layer(certificate_manager, tls, listener.address)?)
            }
            _ => None,
        });
    }
    spawn_local(reload(
        hangup,
        platform_discovery,
        operator.clone(),
        pools.clone(),
        certificate_manager.clone(),
        fleet.clone(),
    ));
    if let (Some(peers), Some(first)) = (peers, pools.first()) {
        let driver = first.driver.clone();
        spawn_local(async move {
            loop {
                let (from, bytes) = peers.receive().await;
                driver.handle(Input::Message(from, bytes));
            }
        });
    }
    let reclaimable = pools.clone();
    descriptors.set_backend_reclaimer(Box::new(move || close_oldest_idle(&reclaimable)));
    let swept = pools.clone();
    spawn_local(async move {
        let mut interval = tokio::time::interval(IDLE_SWEEP_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            swept.iter().for_each(|pool| pool.driver.sweep());
        }
    });
    let max_stop = if setup.platform { PLATFORM_MAX_STOP } else { MAX_STOP };
    let request_timeout =
        Duration::from_secs_f64(longest_deadline_ms.clamp(0.0, 1e6) / 1000.0).min(max_stop);
    let drain_timeout = request_timeout.max(setup.streams.stop_timeout);
    let memory = Memory::new(MemoryLayout {
        total_bytes: memory_limits.request_bytes + setup.streams.memory_bytes,
        body_reserve_bytes: memory_limits.request_bytes,
        stream_floor_bytes: MIN_STREAM_BUFFER_BYTES as usize,
        max_directions: 2 * setup.streams.max_streams,
    });
    let certificates = certificate_manager.zip(tls);
    let reader =
        RequestReader::new(pools.clone(), classes, operator, memory_limits.kept_ids, memory, stream_pool);
    let server = Server::new(
        pools.clone(),
        reader,
        ServerLimits {
            open_requests: setup.max_open_requests,
            read_buffer_bytes: memory_limits.buffer_bytes,
            unread_answer_bytes: memory_limits.answer_bytes,
        },
        descriptors,
        certificates.clone().map(|(manager, tls)| certificate_pages(manager, tls)),
        (!setup.platform).then(|| not_ready_reason(fleet.clone())),
    );
    if !setup.warnings.is_empty() {
        warn!("{}", truncated(&format!("the operator's file has warnings\n{}", setup.warnings)));
    }
    // Duplicates of the listening sockets, for a process that takes over. They must not outlive the accept
    // loops below.
    let offered_listeners = match &setup.hand_over {
        Some(_) => {
            let addresses = setup.listeners.iter().map(|listener| listener.address);
            let duplicates = addresses
                .zip(&listeners)
                .map(|(address, listener)| Ok((address, listener.as_fd().try_clone_to_owned()?)));
            duplicates.collect::<std::io::Result<Vec<_>>>()?
        }
        None => Vec::new(),
    };
    let mut accept_loops = Vec::new();
    let accept = || {
        for listener in &setup.listeners {
            info!(node = setup.name, address = %listener.address, tls = listener.tls, "serves");
        }
        accept_loops.extend(listeners.into_iter().zip(layers).map(|(listener, layer)| {
            let server = server.clone();
            spawn_local(async move { server.accept(listener, layer).await })
        }));
    };
    let mut took_over = false;
    match take_over {
        None => accept(),
        Some(take_over) => {
            let previous_share = match take_over.finish(&pools, accept).await {
                Ok(previous_share) => previous_share,
                Err(e) => {
                    // The running node continues to serve. Connections that were accepted here meanwhile
                    // are still answered.
                    server.set_paused(true);
                    server.stop();
                    server.drain_connections(Instant::now() + drain_timeout).await;
                    return Err(e.into());
                }
            };
            let share = match &previous_share {
                PreviousShare::Received(share) => Some(share.as_str()),
                PreviousShare::Lost => None,
            };
            let continues_share = fleet.as_ref().is_none_or(|f| f.start(share));
            info!(continues_share, "has taken over from the running node");
            lock.iter().for_each(LockFile::write_pid);
            notify_main_pid();
            took_over = true;
        }
    }
    // From here on the node serves, and nothing may end it but the order to stop.
    let admin_task = sockets.admin.map(|socket| {
        let handler = admin_handler(pools.clone(), fleet.clone(), server.clone(), certificates);
        socket.publish(move |socket_file, listener| applemill_admin::serve(socket_file, listener, handler))
    });
    let (handed_over_sender, mut handed_over) = mpsc::channel::<()>(1);
    let offer_task = sockets.hand_over.map(|socket| {
        let offer = HandoverOffer {
            listeners: offered_listeners,
            fleet: fleet.clone(),
            lock: offered_lock,
            pools: pools.clone(),
            server: server.clone(),
        };
        socket.publish(move |socket_file, listener| async move {
            offer.serve(socket_file, listener).await;
            let _ = handed_over_sender.send(()).await;
        })
    });
    if took_over {
        // Printed only now that the admin and handover sockets are published: whoever waits for this line may
        // use them at once.
        print(&format!("serves as process {}\n", std::process::id()));
    }
    let watched = server.clone();
    let ready_task = spawn_local(notify_when_ready(move || watched.is_ready()));
    tokio::select! {
        _ = terminate.recv() => {
            notify_stopping();
            info!("told to stop: answers open requests and those that still arrive, then ends");
        }
        Some(()) = handed_over.recv() => {
            info!("another process has taken over: answers open requests, then ends");
        }
    }
    ready_task.abort();
    // Drops the duplicates of the listening sockets, so that the sockets close with the accept loops.
    offer_task.iter().for_each(tokio::task::JoinHandle::abort);
    let end = Instant::now() + drain_timeout + STOP_MARGIN;
    server.stop();
    // Accepted connections are answered even if an accept loop failed.
    for accept_loop in accept_loops {
        let _ = tokio::time::timeout_at(end.into(), accept_loop).await;
    }
    server.drain_connections(end).await;
    // Requests that are still open get an error answer; otherwise the end of the process would cut their
    // connections.
    admin_task.iter().for_each(tokio::task::JoinHandle::abort);
    pools.iter().for_each(|p| p.driver.handle(Input::Stop));
    server.drain_connections(Instant::now() + FINAL_ANSWERS_TIMEOUT).await;
    // This node sends nothing to servers any more, so that the other nodes may have its share.
    if let Some(fleet) = fleet {
        fleet.leave().await;
    }
    Ok(())
}
