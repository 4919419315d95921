//! What a node is made of: from the platform's configuration, an operator's file, or both.

use crate::config::{Config, ConfigError};
use applemill_fleet as fleet;
use applemill_keeper::{Keeper, Settings as KeeperSettings, Wall};
use applemill_operator::{self as operator, FileError, Operator, PoolSetup, Source};
use applemill_routes::File;
use applemill_tls::Terms;
use applemill_upstream::Dialect;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use thiserror::Error;

/// The other nodes, where there may be messages between them.
pub struct PeerSetup {
    /// Where their datagrams arrive.
    pub listen: SocketAddr,
    /// All nodes, by number.
    pub nodes: Vec<SocketAddr>,
    /// Reaches all of them.
    pub all: Option<SocketAddr>,
    /// This node's number.
    pub own: u32,
}

/// What streams may take.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamSetup {
    /// How many there may be.
    pub count: usize,
    /// What they may hold together, in bytes.
    pub memory: usize,
    /// How long a stop waits for them.
    pub stop: Duration,
}

/// Where clients connect.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// The address.
    pub address: SocketAddr,
    /// By TLS.
    pub tls: bool,
}

/// TLS, where a listener speaks it.
pub struct TlsSetup {
    /// Keeps the certificates.
    pub keeper: Keeper,
    /// What handshakes may take.
    pub terms: Terms,
    /// Told to the keeper: bids wait.
    pub pressed: Arc<AtomicBool>,
}

/// A node that may start.
pub struct Setup {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listeners: Vec<Listen>,
    /// Seed of the decisions.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that it may take, in bytes.
    pub memory: usize,
    /// Streams that it may have at once; none on the platform.
    pub streams: StreamSetup,
    /// Requests that it may hold open.
    pub open_cap: usize,
    /// A connection to a backend not made by then is not made, in milliseconds.
    pub connect_timeout_ms: f64,
    /// Backends close idle connections after this, in milliseconds.
    pub conn_idle_ms: f64,
    /// The first pool is the platform's, and `/api` is its own.
    pub platform: bool,
    /// All pools; one at least.
    pub pools: Vec<PoolSetup>,
    /// The other nodes.
    pub peers: Option<PeerSetup>,
    /// The operator's file.
    pub operator: Option<Operator>,
    /// The other nodes, by an operator's file.
    pub fleet: Option<fleet::Setup>,
    /// How it sees who else is there.
    pub seen: Option<fleet::SeenSetup>,
    /// A Unix socket for operators.
    pub admin: Option<String>,
    /// A file that one node holds locked.
    pub lock: Option<String>,
    /// A Unix socket at which another process may take its place.
    pub hand_over: Option<String>,
    /// TLS; none where no listener speaks it.
    pub tls: Option<TlsSetup>,
    /// What the check warns of in it.
    pub warnings: String,
}

/// Why no node can be started.
#[derive(Debug, Error)]
pub enum SetupError {
    /// Neither of the two is named.
    #[error(
        "configuration: LB_CONFIG is not set, and there is no operator's file (--config FILE or LB_OPERATOR)"
    )]
    Neither,
    /// The platform's configuration is wrong.
    #[error("configuration: {0}")]
    Config(#[from] ConfigError),
    /// The operator's file is.
    #[error("operator's file: {0}")]
    File(#[from] FileError),
    /// What it says of the fleet is.
    #[error("operator's file: {0}")]
    Fleet(#[from] fleet::SetupError),
    /// Files that it names are.
    #[error("certificates:\n{}", .0.join("\n"))]
    Certificates(Vec<String>),
}

impl Setup {
    /// Reads what there is: `LB_CONFIG`, the operator's file, or both.
    ///
    /// # Errors
    /// There is none, or one is wrong.
    pub fn load(operator: Option<&Path>) -> Result<Setup, SetupError> {
        match (std::env::var_os("LB_CONFIG").is_some(), operator) {
            (false, None) => Err(SetupError::Neither),
            (true, file) => Setup::platform(Config::load()?, file),
            (false, Some(file)) => Setup::operator(file),
        }
    }

    fn platform(config: Config, file: Option<&Path>) -> Result<Setup, SetupError> {
        let settings = config.settings;
        let names = Rc::new(config.names);
        let allowed = || operator::platform(&settings, &names);
        let start = file.map(|f| Operator::start(f, Some(allowed()), 1)).transpose()?;
        let own_classes = settings.classes.len();
        let peers = config.peer_listen.filter(|_| settings.peer_messages).map(|listen| PeerSetup {
            listen,
            nodes: config.peers,
            all: config.peers_all,
            own: settings.slot,
        });
        let (open_cap, connect_timeout_ms) = (settings.open_cap as usize, settings.connect_timeout_ms);
        let conn_idle_ms = settings.conn_idle_ms;
        let mut pools = vec![PoolSetup {
            name: applemill_routes::PLATFORM_POOL.to_owned(),
            settings,
            names,
            source: Source::Discovery(config.discovery),
            known: config.known,
            dialect: Dialect::Platform,
            own_classes,
            acts_on_part: true,
            blame: None,
        }];
        let (mut operator, mut warnings) = (None, String::new());
        if let Some(start) = start {
            if let Some(own) = pools.first_mut() {
                own.settings.classes.extend(start.operator.classes());
            }
            pools.extend(start.pools);
            (operator, warnings) = (Some(start.operator), start.warnings);
        }
        Ok(Setup {
            name: config.name,
            listeners: vec![Listen { address: config.listen, tls: false }],
            seed: config.seed,
            sockets: config.sockets,
            memory: config.memory,
            streams: StreamSetup::default(),
            open_cap,
            connect_timeout_ms,
            conn_idle_ms,
            platform: true,
            pools,
            peers,
            operator,
            fleet: None,
            seen: None,
            admin: None,
            lock: None,
            hand_over: None,
            tls: None,
            warnings,
        })
    }

    fn operator(file: &Path) -> Result<Setup, SetupError> {
        let start = Operator::start(file, None, 0)?;
        let version = start.operator.current();
        let (node, listeners) = (&version.rules.file.node, &version.rules.file.listeners);
        // Before the keeper starts: what is wrong with the file ends it.
        let fleet = fleet::Setup::of(&version.rules)?;
        let seen = fleet::SeenSetup::of(&version.rules)?;
        let tls = tls(&version.rules.file)?;
        Ok(Setup {
            name: node.name.clone(),
            listeners: listeners
                .iter()
                .map(|l| Listen { address: l.address.value, tls: l.is_tls() })
                .collect(),
            // Nobody hands in a seed here; that of hash tables is drawn anew with each process.
            seed: RandomState::new().hash_one(std::process::id()),
            sockets: node.sockets as usize,
            memory: usize::try_from(node.memory).unwrap_or(usize::MAX),
            // Also where no route streams: a reload may bring one, and `[node]` holds from start to end.
            streams: StreamSetup {
                count: node.streams as usize,
                memory: usize::try_from(node.stream_memory).unwrap_or(usize::MAX),
                stop: Duration::from_secs_f64(node.stream_stop_ms / 1000.0),
            },
            open_cap: node.open_requests as usize,
            connect_timeout_ms: node.connect_timeout_ms,
            conn_idle_ms: node.idle_timeout_ms,
            platform: false,
            pools: start.pools,
            peers: None,
            fleet,
            seen,
            admin: node.admin.clone(),
            lock: node.lock.clone(),
            hand_over: node.hand_over.clone(),
            operator: Some(start.operator),
            tls,
            warnings: start.warnings,
        })
    }
}

/// Starts to keep certificates, where a listener needs them.
fn tls(file: &File) -> Result<Option<TlsSetup>, SetupError> {
    if !file.listeners.iter().any(applemill_routes::Listener::is_tls) {
        return Ok(None);
    }
    let pressed = Arc::new(AtomicBool::new(false));
    let keeper = Keeper::start(KeeperSettings { file, pressed: pressed.clone(), wall: Wall::default() });
    let terms = Terms {
        longest: Duration::from_secs_f64(file.tls.handshake_ms / 1000.0),
        at_once: file.tls.handshakes as usize,
    };
    Ok(Some(TlsSetup { keeper: keeper.map_err(SetupError::Certificates)?, terms, pressed }))
}
