//! A fleet of real nodes that exchange membership datagrams over a simulated network.

use crate::datagrams::Datagrams;
use crate::{Node, free_address};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

/// The configuration of a fleet: membership addresses, the shared key, the network and the admin sockets.
pub struct Members {
    /// The network between the nodes.
    pub network: Datagrams,
    listens: Vec<SocketAddr>,
    folder: PathBuf,
    hold_ms: u32,
    refusals: bool,
}

impl Members {
    /// Prepares a fleet of `count` nodes without starting any. `refusals`: a refused datagram proves that no
    /// node runs at that address.
    ///
    /// # Errors
    /// The folder, the key file or the network cannot be created.
    pub fn new(count: usize, hold_ms: u32, refusals: bool) -> io::Result<Members> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let fleet_number = NEXT.fetch_add(1, Relaxed);
        // Short, because the path of a Unix socket is limited in length.
        let folder = std::env::temp_dir().join(format!("amf-{}-{fleet_number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("key"), "a key of thirty-two bytes or more\n")?;
        let listens: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        let network = Datagrams::between(&listens, 7)?;
        Ok(Members { network, listens, folder, hold_ms, refusals })
    }

    /// Number of nodes in the fleet.
    pub fn count(&self) -> usize {
        self.listens.len()
    }

    /// The address at which a node itself receives datagrams.
    pub fn listens(&self, node: usize) -> SocketAddr {
        self.listens.get(node).copied().unwrap_or_else(free_address)
    }

    /// The path of a node's admin socket.
    pub fn admin(&self, node: usize) -> PathBuf {
        self.folder.join(format!("{node}.sock"))
    }

    /// The path of a node's lock file.
    pub fn lock(&self, node: usize) -> PathBuf {
        self.folder.join(format!("{node}.lock"))
    }

    /// The path of the socket at which a node hands over to its successor.
    pub fn hand_over(&self, node: usize) -> PathBuf {
        self.folder.join(format!("{node}.hand"))
    }

    /// The sections `[node]` and `[fleet]` of a node's file; `more` is appended to `[fleet]`.
    pub fn sections(&self, node: usize, more: &str) -> String {
        self.sections_among(self.count(), node, more)
    }

    /// Like [`Self::sections`], with only the first `nodes` nodes of the fleet configured.
    pub fn sections_among(&self, nodes: usize, node: usize, more: &str) -> String {
        let peers = self.network.seen_by(node);
        let peers: Vec<String> = peers.iter().take(nodes).map(|a| format!("\"{a}\"")).collect();
        format!(
            "[node]\nname = \"n{node}\"\nadmin = \"{}\"\nlock = \"{}\"\nhand_over = \"{}\"\n\
             [fleet]\nnodes = {nodes}\nnumber = {node}\npeers = [{}]\nlisten = \"{}\"\nkey_file = \"{}\"\n\
             hold = \"{}ms\"\nrefusals_prove = {}\n{more}\n",
            self.admin(node).display(),
            self.lock(node).display(),
            self.hand_over(node).display(),
            peers.join(", "),
            self.listens(node),
            self.folder.join("key").display(),
            self.hold_ms,
            self.refusals,
        )
    }

    /// Starts a node on its sections (with `more`) followed by `rest`; `program` takes the node's arguments.
    ///
    /// # Errors
    /// The file cannot be written, or the program cannot be started.
    pub fn start(&self, node: usize, program: Command, more: &str, rest: &str) -> io::Result<Node> {
        Node::run_file(program, &format!("{}{rest}", self.sections(node, more)))
    }

    /// The folder that holds the fleet's files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Members {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
