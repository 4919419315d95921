//! Handover between processes: the running node offers its sockets, lock and learned state at a Unix
//! socket, and a new process takes over from it. `applemill-handover` decides the order of the steps on
//! both sides.

use crate::daemon::LockFile;
use applemill_admin::UnixSocketFile;
use applemill_fleet::FleetNode;
use applemill_front_http::Server;
use applemill_handover::{
    Channel, ChannelError, FORMAT, HandoverTimeouts, NewAction, NewMessage, NewNode, OldAction, OldEvent,
    OldMessage, OldNode, SocketUse,
};
use applemill_operator::RunningPool;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tracing::{info, warn};

/// Interval between two checks whether the new node's pools are ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Once one pool has a list of servers, the new node waits this long in all for the lists of the others.
const LISTS_TIMEOUT: Duration = Duration::from_secs(2);
/// How long each side waits for the first message of the other; also the pause after a failed accept.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Why the new process could not take over. The running node continues to serve.
#[derive(Debug, Error)]
pub enum TakeOverError {
    /// No node listens at the socket: its path and the cause.
    #[error("take over: {0}: no node answers there: {1}")]
    NoNode(String, std::io::Error),
    /// The running node refused, for this reason.
    #[error("take over: the running node goes on: {0}")]
    Refused(String),
    /// The running node sent a malformed message, or the connection failed.
    #[error("take over: the running node goes on: {0}")]
    Channel(#[from] ChannelError),
    /// A received socket cannot be used.
    #[error("take over: {0}")]
    Socket(#[from] std::io::Error),
}

/// What a running node offers to the process that takes over.
pub struct HandoverOffer {
    /// Duplicates of the listening sockets, with their addresses.
    pub listeners: Vec<(SocketAddr, OwnedFd)>,
    /// The fleet's socket and this node's share.
    pub fleet: Option<Rc<FleetNode>>,
    /// The lock file.
    pub lock: Option<LockFile>,
    /// The pools, for what they have learned of their servers.
    pub pools: Rc<[RunningPool]>,
    /// The server of this node's clients, which pauses during a handover.
    pub server: Rc<Server>,
}

impl HandoverOffer {
    /// Serves one process after the other at the socket, and returns once one has taken over. All sockets
    /// stay open until then, so that new connections wait in the backlog instead of being refused.
    pub async fn serve(self, socket_file: UnixSocketFile, listener: UnixListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if self.hand_over(Channel::new(stream)).await {
                        socket_file.keep_file();
                        return;
                    }
                }
                Err(e) => {
                    warn!("hand over: {e}");
                    tokio::time::sleep(ANSWER_TIMEOUT).await;
                }
            }
        }
    }

    /// Runs the handover on one connection; true if the other process has taken over.
    async fn hand_over(&self, mut channel: Channel) -> bool {
        let (started, timeouts, mut state) =
            (Instant::now(), HandoverTimeouts::default(), OldNode::Serving);
        let now_ms = || started.elapsed().as_secs_f64() * 1000.0;
        loop {
            let due =
                state.due().map_or(ANSWER_TIMEOUT, |at| Duration::from_secs_f64(at.max(0.0) / 1000.0));
            let event = tokio::select! {
                message = channel.receive::<NewMessage>() => {
                    message.map_or(OldEvent::Lost, OldEvent::Message)
                }
                () = tokio::time::sleep_until((started + due).into()) => OldEvent::Tick,
            };
            // A process that connects and sends nothing must not block the next one.
            if event == OldEvent::Tick && state == OldNode::Serving {
                return false;
            }
            let lost = event == OldEvent::Lost;
            for action in state.handle(now_ms(), &event, timeouts) {
                match action {
                    OldAction::Offer => {
                        info!("hand over: another process prepares to take over from this node");
                        if self.send_offer(&channel).await.is_err() {
                            return false;
                        }
                    }
                    OldAction::Yield => {
                        self.server.set_paused(true);
                        // A send error needs no handling: the next receive reports the lost connection.
                        let _ = channel.send(&OldMessage::Yours, &[]).await;
                    }
                    OldAction::ReleaseShare => return self.release_share(&channel).await,
                    OldAction::Resume => self.server.set_paused(false),
                    OldAction::Refuse(reason) => {
                        warn!(
                            "hand over: {}",
                            if lost { "the other process is gone; this node goes on" } else { reason }
                        );
                        let _ = channel.send(&OldMessage::Refused { why: reason.to_owned() }, &[]).await;
                        return false;
                    }
                }
            }
            if lost {
                return false;
            }
        }
    }

    /// Sends this node's share of the fleet, the last step; true if the other process has it.
    async fn release_share(&self, channel: &Channel) -> bool {
        let share = self.fleet.as_ref().map(|f| f.export_run()).unwrap_or_default();
        if channel.send(&OldMessage::Done { share: share.clone() }, &[]).await.is_ok() {
            info!("hand over: another process has taken over from this node");
            return true;
        }
        // The other process ended before it received the share, so that this node takes the share back.
        warn!("hand over: the other process is gone; this node goes on");
        if let Some(fleet) = &self.fleet {
            fleet.start(Some(&share));
        }
        self.server.set_paused(false);
        false
    }

    /// Sends the sockets, the lock and the learned state of all pools.
    async fn send_offer(&self, channel: &Channel) -> Result<(), ChannelError> {
        let (mut sockets, mut descriptors): (Vec<SocketUse>, Vec<BorrowedFd<'_>>) =
            (Vec::new(), Vec::new());
        for (address, socket) in &self.listeners {
            sockets.push(SocketUse::Listener(*address));
            descriptors.push(socket.as_fd());
        }
        if let Some((socket, Some(address))) = self.fleet.as_ref().map(|f| f.socket()) {
            sockets.push(SocketUse::Fleet(address));
            descriptors.push(socket.as_fd());
        }
        if let Some(lock) = &self.lock {
            sockets.push(SocketUse::Lock(lock.path().display().to_string()));
            descriptors.push(lock.as_fd());
        }
        let learned = self.pools.iter().map(|p| (p.name.clone(), p.driver.export_learned())).collect();
        channel.send(&OldMessage::Offer { sockets, learned }, &descriptors).await
    }
}

/// A handover in progress, on the side of the process that takes over.
pub struct TakeOver {
    channel: Channel,
    state: NewNode,
    sockets: Vec<(SocketUse, OwnedFd)>,
    /// Learned state of the running node's pools, by pool name.
    learned: BTreeMap<String, String>,
}

/// What the previous node passed on at the end of a handover.
pub enum PreviousShare {
    /// Its share of the fleet, as text.
    Received(String),
    /// None, as the previous node died; only its sockets remain.
    Lost,
}

impl TakeOver {
    /// Requests the offer of the node at this socket. That node continues to serve meanwhile.
    ///
    /// # Errors
    /// No node answers at the socket, or it refuses.
    pub async fn request(socket: &Path) -> Result<TakeOver, TakeOverError> {
        let stream = UnixStream::connect(socket).await;
        let stream = stream.map_err(|e| TakeOverError::NoNode(socket.display().to_string(), e))?;
        let mut channel = Channel::new(stream);
        channel.send(&NewMessage::Hello { format: FORMAT }, &[]).await?;
        let message = tokio::time::timeout(ANSWER_TIMEOUT, channel.receive()).await;
        let message = message.map_err(|_| TakeOverError::Refused("it does not answer".to_owned()))??;
        let mut state = NewNode::Asking;
        match (state.handle(Some(&message)), message) {
            (NewAction::Prepare, OldMessage::Offer { sockets, learned }) => {
                let mut received = Vec::new();
                for socket_use in sockets {
                    let socket = channel.descriptor();
                    received.push((
                        socket_use,
                        socket.ok_or_else(|| ChannelError::Malformed("too few sockets".into()))?,
                    ));
                }
                Ok(TakeOver { channel, state, sockets: received, learned })
            }
            (_, OldMessage::Refused { why }) => Err(TakeOverError::Refused(why)),
            _ => Err(ChannelError::Malformed("the answer is no offer".into()).into()),
        }
    }

    /// Removes and returns the received descriptor for a use.
    fn take_descriptor(&mut self, wanted: &SocketUse) -> Option<OwnedFd> {
        let index = self.sockets.iter().position(|(socket_use, _)| socket_use == wanted)?;
        Some(self.sockets.swap_remove(index).1)
    }

    /// The running node's listening socket at this address, if it has one.
    ///
    /// # Errors
    /// The socket cannot be registered with the runtime.
    pub fn listener(&mut self, address: SocketAddr) -> Result<Option<TcpListener>, TakeOverError> {
        let Some(socket) = self.take_descriptor(&SocketUse::Listener(address)) else { return Ok(None) };
        let socket = std::net::TcpListener::from(socket);
        socket.set_nonblocking(true)?;
        Ok(Some(TcpListener::from_std(socket)?))
    }

    /// The running node's fleet socket at this address, if it has one.
    pub fn fleet_socket(&mut self, address: SocketAddr) -> Option<std::net::UdpSocket> {
        self.take_descriptor(&SocketUse::Fleet(address)).map(std::net::UdpSocket::from)
    }

    /// The running node's lock on this file, if it has one.
    pub fn lock(&mut self, path: &Path) -> Option<LockFile> {
        let file = self.take_descriptor(&SocketUse::Lock(path.display().to_string()))?;
        Some(LockFile::inherited(file.into(), path))
    }

    /// Waits until the pools are ready, imports what the running node has learned, and takes over. `accept`
    /// starts to accept clients.
    ///
    /// # Errors
    /// The handover failed; the running node continues to serve.
    pub async fn finish(
        mut self,
        pools: &[RunningPool],
        accept: impl FnOnce(),
    ) -> Result<PreviousShare, TakeOverError> {
        let started = Instant::now();
        let ready = async {
            let is_ready = |pool: &RunningPool| pool.driver.is_ready();
            // A pool imports learned state once it has a list of servers. A pool whose discovery is down
            // must not delay the handover.
            while !(pools.iter().all(is_ready)
                || started.elapsed() > LISTS_TIMEOUT && pools.iter().any(is_ready))
            {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        let early = tokio::select! {
            () = ready => None,
            message = self.channel.receive() => Some(message),
        };
        if let Some(message) = early {
            // The running node died, or it cancels the handover, which is an error here.
            self.handle(message)?;
            accept();
            return Ok(PreviousShare::Lost);
        }
        for pool in pools {
            if let Some(learned) = self.learned.get(&pool.name)
                && !pool.driver.import_learned(learned)
            {
                warn!(
                    pool = pool.name,
                    "take over: the running node's learned state is of another form: not taken"
                );
            }
        }
        if let Some(message) = self.state.mark_ready() {
            // A send error needs no handling: the next receive reports the lost connection.
            let _ = self.channel.send(&message, &[]).await;
        }
        let message = self.channel.receive().await;
        match self.handle(message)? {
            (NewAction::Accept, _) => {}
            _ => {
                accept();
                return Ok(PreviousShare::Lost);
            }
        }
        accept();
        let _ = self.channel.send(&NewMessage::Serves, &[]).await;
        let message = self.channel.receive().await;
        match self.handle(message)? {
            (NewAction::TakeShare, Some(OldMessage::Done { share })) => Ok(PreviousShare::Received(share)),
            _ => Ok(PreviousShare::Lost),
        }
    }

    /// Applies a message, or the loss of the connection, to the handover's state.
    fn handle(
        &mut self,
        message: Result<OldMessage, ChannelError>,
    ) -> Result<(NewAction, Option<OldMessage>), TakeOverError> {
        let message = match message {
            Ok(message) => Some(message),
            Err(ChannelError::Gone) => None,
            // A connection reset also means that the running node is gone.
            Err(ChannelError::Io(_)) => None,
            Err(e) => return Err(e.into()),
        };
        match (self.state.handle(message.as_ref()), message) {
            (NewAction::GiveUp, Some(OldMessage::Refused { why })) => Err(TakeOverError::Refused(why)),
            (NewAction::GiveUp, _) => Err(ChannelError::Malformed("a message out of order".into()).into()),
            (action, message) => Ok((action, message)),
        }
    }
}
