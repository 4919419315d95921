//! A simulated UDP network between nodes. Each ordered pair of nodes has a proxy address, and a datagram sent
//! there is forwarded, lost, delayed, blocked by a partition or duplicated as the script says. If no node
//! listens at the destination, the sender's next datagram is refused, as it would be without the proxy.

use crate::free_address;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

/// Answers that take longer are not forwarded.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which an unreachable destination, or a proxy address still in use, is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The faults of the network; none by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct Script {
    /// Fraction of the datagrams that are lost.
    pub lost: f64,
    /// Longest delay of the datagrams that arrive; the delay is uniform from 0.
    pub late: Duration,
    /// Partition: nothing passes between the nodes below this number and the others.
    pub cut: Option<usize>,
    /// Each query is delivered a second time after this delay.
    pub again: Option<Duration>,
}

struct Shared {
    script: Mutex<Script>,
    draws: Mutex<fastrand::Rng>,
    carried: AtomicU64,
    bytes: AtomicU64,
}

impl Shared {
    fn script(&self) -> Script {
        *self.script.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Draws whether a datagram from `a` arrives at `b`, and its delay.
    fn draw_delay(&self, a: usize, b: usize) -> Option<Duration> {
        let script = self.script();
        let (lost, late) = {
            let mut draws = self.draws.lock().unwrap_or_else(PoisonError::into_inner);
            (draws.f64(), draws.f64())
        };
        let cut = script.cut.is_some_and(|n| (a < n) != (b < n));
        (!cut && lost >= script.lost).then(|| script.late.mul_f64(late))
    }

    fn count(&self, bytes: usize) {
        self.carried.fetch_add(1, Relaxed);
        self.bytes.fetch_add(bytes as u64, Relaxed);
    }
}

/// A simulated network, which stops on drop.
pub struct Datagrams {
    shared: Arc<Shared>,
    /// The address at which each node (first index) reaches each node (second index).
    addresses: Vec<Vec<SocketAddr>>,
    /// Stops the network on drop.
    _stop: oneshot::Sender<()>,
}

impl Datagrams {
    /// Starts a network between nodes that listen at these addresses. `seed` determines losses and delays.
    ///
    /// # Errors
    /// A socket, the runtime or the thread cannot be created.
    pub fn between(nodes: &[SocketAddr], seed: u64) -> io::Result<Datagrams> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let shared = Arc::new(Shared {
            script: Mutex::default(),
            draws: Mutex::new(fastrand::Rng::with_seed(seed)),
            carried: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        });
        let (mut addresses, mut proxies) = (Vec::new(), Vec::new());
        for a in 0..nodes.len() {
            let mut row = Vec::new();
            for (b, to) in nodes.iter().enumerate() {
                let at = if a == b { *to } else { free_address() };
                if a != b {
                    let socket = runtime.block_on(UdpSocket::bind(at))?;
                    proxies.push(run_proxy(shared.clone(), Arc::new(socket), at, (a, b), *to));
                }
                row.push(at);
            }
            addresses.push(row);
        }
        let (stop, stopped) = oneshot::channel();
        std::thread::Builder::new().spawn(move || {
            proxies.into_iter().for_each(|proxy| drop(runtime.spawn(proxy)));
            let _ = runtime.block_on(stopped);
        })?;
        Ok(Datagrams { shared, addresses, _stop: stop })
    }

    /// The addresses at which a node reaches each node, including its own.
    pub fn seen_by(&self, node: usize) -> &[SocketAddr] {
        self.addresses.get(node).map_or(&[], Vec::as_slice)
    }

    /// Changes the faults of the network from now on.
    pub fn play(&self, script: Script) {
        *self.shared.script.lock().unwrap_or_else(PoisonError::into_inner) = script;
    }

    /// Number of datagrams that nodes sent, and the total of their bytes.
    pub fn carried(&self) -> (u64, u64) {
        (self.shared.carried.load(Relaxed), self.shared.bytes.load(Relaxed))
    }
}

/// Forwards datagrams from one node to another, and the answers back.
async fn run_proxy(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    at: SocketAddr,
    pair: (usize, usize),
    to: SocketAddr,
) {
    let mut socket = socket;
    let (refused_sender, mut refused) = tokio::sync::mpsc::channel::<()>(8);
    let mut buffer = [0_u8; 512];
    loop {
        tokio::select! {
                   received = socket.recv_from(&mut buffer) => {
                       let Ok((length, from)) = received else { continue };
                       shared.count(length);
                       let bytes = buffer.get(..length).unwrap_or_default().to_vec();
                       let (back, shared, refused_sender) =
        (Arc::downgrade(&socket), shared.clone(), refused_sender.clone());
                       tokio::spawn(async move {
                           if let Some(delay) = shared.script().again {
                               let (back, shared, bytes, refused_sender) =
        (back.clone(), shared.clone(), bytes.clone(), refused_sender.clone());
                               tokio::spawn(async move {
                                   tokio::time::sleep(delay).await;
                                   forward(&shared, &bytes, pair, to, back, from, refused_sender).await;
                               });
                           }
                           forward(&shared, &bytes, pair, to, back, from, refused_sender).await;
                       });
                   }
                   Some(()) = refused.recv() => {
                       // No node listens at the destination: close the proxy's socket too until one does.
                       drop(socket);
                       while !is_listening(to).await {
                           tokio::time::sleep(RETRY_INTERVAL).await;
                       }
                       while refused.try_recv().is_ok() {}
                       socket = loop {
                           match UdpSocket::bind(at).await {
                               Ok(bound) => break Arc::new(bound),
                               // An answer that is being sent back keeps the old socket open a moment longer.
                               Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
                           }
                       };
                   }
               }
    }
}

/// Forwards one datagram and its answer, with the losses and delays of the script. A refusal goes to
/// `refused_sender`.
async fn forward(
    shared: &Shared,
    bytes: &[u8],
    (a, b): (usize, usize),
    to: SocketAddr,
    back: Weak<UdpSocket>,
    from: SocketAddr,
    refused_sender: tokio::sync::mpsc::Sender<()>,
) {
    let Some(delay) = shared.draw_delay(a, b) else { return };
    tokio::time::sleep(delay).await;
    let exchange = async {
        let socket = UdpSocket::bind((to.ip(), 0)).await?;
        socket.connect(to).await?;
        socket.send(bytes).await?;
        let mut buffer = [0_u8; 512];
        let length = socket.recv(&mut buffer).await?;
        io::Result::Ok(buffer.get(..length).unwrap_or_default().to_vec())
    };
    match tokio::time::timeout(ANSWER_TIMEOUT, exchange).await {
        Ok(Ok(answer)) => {
            shared.count(answer.len());
            let Some(delay) = shared.draw_delay(b, a) else { return };
            tokio::time::sleep(delay).await;
            if let Some(back) = back.upgrade() {
                let _ = back.send_to(&answer, from).await;
            }
        }
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused && shared.draw_delay(b, a).is_some() => {
            let _ = refused_sender.try_send(());
        }
        _ => {}
    }
}

/// Whether a socket is bound at an address: a datagram that is no valid message would be refused otherwise.
async fn is_listening(at: SocketAddr) -> bool {
    let refused = async {
        let socket = UdpSocket::bind((at.ip(), 0)).await?;
        socket.connect(at).await?;
        socket.send(b"?").await?;
        tokio::time::timeout(Duration::from_millis(5), socket.recv(&mut [0_u8; 8])).await?
    };
    !refused.await.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused)
}
