//! The real nodes of a fleet that is measured: started, edited, upgraded, and asked how many they count.

use super::floor::{COLD, FALL, MULTIPLE, START};
use applemill_admin::call;
use applemill_stand_ins::{Members, Node, Orphan, Upgraded, upgrade};
use std::error::Error;
use std::net::SocketAddr;
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

const HOLD_MS: u32 = 1_500;

/// What goes into `[fleet]`, and the rest of a node's file.
fn file(floor: SocketAddr) -> (String, String) {
    let more = format!(
        "cold_time = \"{}s\"\nstart_capacity = {START}\nfall_multiple = {MULTIPLE:.1}\nfall_time = \"{}ms\"",
        COLD.as_secs(),
        FALL.as_millis()
    );
    let rest = format!(
        "[[listener]]\naddress = \"LISTEN\"\n[pool.floor]\ndiscovery = \"{floor}\"\n\
         [class.page]\neffect = \"safe\"\npatience = \"900ms\"\n[class.bid]\neffect = \"unsafe\"\npatience = \"900ms\"\n\
         [[route]]\nname = \"bid\"\nprefix = \"/bid\"\nclass = \"bid\"\npool = \"floor\"\n\
         [[route]]\nname = \"lot\"\nclass = \"page\"\npool = \"floor\"\nkey = {{ segment = 2 }}\n"
    );
    (more, rest)
}

/// Real nodes of one fleet.
pub struct Rig {
    /// Their files and their network.
    pub members: Members,
    /// Each as it was started; one that was upgraded ends, and what has its place is kept beside.
    pub nodes: Vec<Option<Node>>,
    /// So many are configured, at nodes that start from now on.
    pub configured: usize,
    /// What goes into `[fleet]`, and the rest of a node's file.
    pub more: String,
    /// See `more`.
    pub rest: String,
    /// They end with this.
    replacing: Vec<Orphan>,
}

impl Rig {
    /// Room for so many nodes of a fleet before the servers that discovery names there.
    ///
    /// # Errors
    /// There is none.
    pub fn new(count: usize, discovery: SocketAddr) -> Result<Rig, Box<dyn Error>> {
        let members = Members::new(count, HOLD_MS, true)?;
        let (more, rest) = file(discovery);
        let nodes = (0..count).map(|_| None).collect();
        Ok(Rig { members, nodes, configured: count, more, rest, replacing: Vec::new() })
    }

    /// Where clients reach those that were started.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().flatten().map(|n| n.address).collect()
    }

    fn text(&self, n: usize) -> String {
        format!("{}{}", self.members.sections_among(self.configured, n, &self.more), self.rest)
    }

    /// Writes a node's file anew, by how many are configured now.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn edit(&self, n: usize) -> std::io::Result<()> {
        let Some(node) = self.nodes.get(n).and_then(Option::as_ref) else { return Ok(()) };
        std::fs::write(node.file(), self.text(n).replace("LISTEN", &node.address.to_string()))
    }

    /// Upgrades a node by its file as it is.
    ///
    /// # Errors
    /// It does not come about.
    pub fn upgrade_one(&mut self, n: usize) -> Result<(), Box<dyn Error>> {
        self.upgrade_each(n..n + 1)
    }

    /// Upgrades so many at the same time.
    ///
    /// # Errors
    /// One does not come about.
    pub fn upgrade(&mut self, count: usize) -> Result<(), Box<dyn Error>> {
        self.upgrade_each(0..count)
    }

    fn upgrade_each(&mut self, which: Range<usize>) -> Result<(), Box<dyn Error>> {
        let own = std::env::current_exe()?;
        let (members, nodes) = (&self.members, &self.nodes);
        let done: Vec<Result<(), String>> = thread::scope(|scope| {
            let start = |n: usize| {
                let own = &own;
                let node = nodes.get(n).and_then(Option::as_ref);
                let file = node.map(|n| n.file().to_owned()).unwrap_or_default();
                let log = members.folder().join(format!("upgrade-{n}.log"));
                scope.spawn(move || match upgrade(crate::node(own), &file, &log, &[]) {
                    Ok(Upgraded { code: Some(0), .. }) => Ok(()),
                    Ok(Upgraded { code, log }) => Err(format!("upgrade of node {n}: {code:?}: {log}")),
                    Err(e) => Err(format!("upgrade of node {n}: {e}")),
                })
            };
            let all: Vec<_> = which.clone().map(start).collect();
            all.into_iter()
                .map(|t| t.join().unwrap_or_else(|_| Err("it was not played".to_owned())))
                .collect()
        });
        self.replacing.extend(which.filter_map(|n| Orphan::with_lock(&self.members, n)));
        done.into_iter().collect::<Result<(), String>>().map_err(Into::into)
    }

    /// Starts a node.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn launch(&mut self, n: usize) -> Result<(), Box<dyn Error>> {
        let node = Node::run_file(crate::node(&std::env::current_exe()?), &self.text(n))?;
        if let Some(place) = self.nodes.get_mut(n) {
            *place = Some(node);
        }
        Ok(())
    }

    fn counts(&self, n: usize) -> Option<u64> {
        call(&self.members.admin(n), "/fleet", None).ok()?["senders"].as_u64()
    }

    /// Waits until these count so many; how long that took from then on.
    pub fn wait(
        &self,
        nodes: &[usize],
        count: u64,
        since: Instant,
        patience: Duration,
    ) -> Option<Duration> {
        while since.elapsed() < patience {
            if nodes.iter().all(|n| self.counts(*n) == Some(count)) {
                return Some(since.elapsed());
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }
}
