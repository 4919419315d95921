//! Upgrades of a real node under load: its clients, runs of `applemill upgrade`, and the processes that an
//! upgrade leaves running.

use crate::client::Client;
use crate::{Act, Members, Node, Record, backend, ok};
use applemill_handover::{Channel, ChannelError, FORMAT, NewMessage, OldMessage};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Time that the server takes for a bid.
const BID_DURATION: Duration = Duration::from_millis(5);
/// Time for which clients send bids before and after the tested action.
const LOAD_MARGIN: Duration = Duration::from_millis(200);
/// Number of concurrent clients.
const CLIENTS: usize = 6;

/// Outcomes of the clients' bids.
#[derive(Default)]
pub struct Bidders {
    /// Bids that were answered with 200.
    pub answered: AtomicUsize,
    /// Connections that could not be opened.
    pub unconnected: AtomicUsize,
    /// Bids that got no answer or one with another status.
    pub lost: AtomicUsize,
    /// Tells the clients to stop.
    stopping: AtomicBool,
}

/// A node in front of one server that records the bids it runs.
pub struct Replaced {
    /// The node's files.
    pub members: Members,
    /// The address of the server.
    pub floor: SocketAddr,
    /// The node's first process.
    pub node: Node,
    /// Request lines of the bids that ran at the server.
    pub ran: Arc<Mutex<Vec<String>>>,
    upgrades: AtomicU64,
}

/// The result of a run of `applemill upgrade`.
pub struct Upgraded {
    /// The exit code; none if a signal ended the command.
    pub code: Option<i32>,
    /// The log of the command and of the new process.
    pub log: String,
}

impl Replaced {
    /// Starts the server and the node; `program` takes a node's arguments, and `more` is appended to its
    /// file.
    ///
    /// # Errors
    /// The node cannot be started or does not become ready.
    pub fn start(mut program: Command, hold_ms: u32, more: &str) -> io::Result<Replaced> {
        let members = Members::new(1, hold_ms, true)?;
        let ran: Arc<Mutex<Vec<String>>> = Arc::default();
        let record = ran.clone();
        let floor = backend(&Record::default(), move |_, request| -> Act {
            thread::sleep(BID_DURATION);
            record.lock().unwrap_or_else(PoisonError::into_inner).push(request.first_line.clone());
            ok(b"lot")
        });
        program.stderr(Stdio::null());
        let mut node = Node::run_file(program, &Replaced::file(&members, floor, more))?;
        node.get_ready()?;
        Ok(Replaced { members, floor, node, ran, upgrades: AtomicU64::new(0) })
    }

    /// The text of the node's file, with `LISTEN` in place of its address.
    pub fn text(&self, more: &str) -> String {
        Replaced::file(&self.members, self.floor, more)
    }

    /// The text of the file of a node in front of `floor`, with `LISTEN` in place of its address.
    pub fn file(members: &Members, floor: SocketAddr, more: &str) -> String {
        format!(
            "{}[[listener]]\naddress = \"LISTEN\"\n[pool.floor]\nservers = [{{ address = \"{floor}\" }}]\n\
             [class.bid]\neffect = \"unsafe\"\npatience = \"4s\"\n\
             [[route]]\nname = \"bids\"\nclass = \"bid\"\npool = \"floor\"\n{more}",
            members.sections(0, "")
        )
    }

    /// Runs `applemill upgrade` with the node's current file; `program` takes a node's arguments, `more` is
    /// appended to them.
    ///
    /// # Errors
    /// As [`upgrade`].
    pub fn upgrade(&self, program: Command, more: &[&str]) -> io::Result<Upgraded> {
        let number = self.upgrades.fetch_add(1, SeqCst);
        let log = self.members.folder().join(format!("upgrade-{number}.log"));
        upgrade(program, self.node.file(), &log, more)
    }

    /// Runs `play` while clients send bids; half of the clients open a new connection for each bid.
    pub fn under_load(&self, play: impl FnOnce()) -> Bidders {
        let outcomes = Bidders::default();
        thread::scope(|scope| {
            for n in 0..CLIENTS {
                let (outcomes, address) = (&outcomes, self.node.address);
                scope.spawn(move || send_bids(address, n, outcomes));
            }
            // Also if `play` panics: otherwise the scope would wait for the clients forever.
            let _stop = StopOnDrop(&outcomes.stopping);
            thread::sleep(LOAD_MARGIN);
            play();
            thread::sleep(LOAD_MARGIN);
        });
        outcomes
    }

    /// Number of bids that ran, and number of distinct ones among them.
    pub fn counts(&self) -> (usize, usize) {
        let ran = self.ran.lock().unwrap_or_else(PoisonError::into_inner);
        (ran.len(), ran.iter().collect::<BTreeSet<_>>().len())
    }
}

/// Sets a flag on drop.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, SeqCst);
    }
}

/// Sends one client's bids, one after the other, until told to stop. Clients with an even number reuse their
/// connection.
fn send_bids(address: SocketAddr, client: usize, outcomes: &Bidders) {
    let (mut idle, mut n) = (None, 0);
    while !outcomes.stopping.load(SeqCst) {
        n += 1;
        let Some(mut connection) = idle.take().or_else(|| Client::try_connect(address)) else {
            outcomes.unconnected.fetch_add(1, SeqCst);
            continue;
        };
        let request = format!("POST /bid/{client}-{n} HTTP/1.1\r\nHost: a.lv\r\nContent-Length: 0\r\n\r\n");
        let answer = if connection.send(request.as_bytes()) { connection.answer() } else { None };
        match answer {
            Some(m) if m.status() == 200 => {
                outcomes.answered.fetch_add(1, SeqCst);
                let reuse = client.is_multiple_of(2) && m.header("connection") != Some("close");
                idle = reuse.then_some(connection);
            }
            _ => drop(outcomes.lost.fetch_add(1, SeqCst)),
        }
    }
}

/// Runs `applemill upgrade` with a configuration file and waits for its end. The log goes to a file, because
/// the node that the command leaves running would hold a pipe open.
///
/// # Errors
/// The command cannot be run, or the log cannot be written or read.
pub fn upgrade(mut program: Command, file: &Path, log: &Path, more: &[&str]) -> io::Result<Upgraded> {
    program.args(["upgrade", "--config"]).arg(file).args(more).env_remove("LB_OPERATOR");
    let status = program.stdout(Stdio::null()).stderr(std::fs::File::create(log)?).status()?;
    Ok(Upgraded { code: status.code(), log: std::fs::read_to_string(log)? })
}

/// The stage of a handover at which the new process disconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Far {
    /// Connected to the running node.
    Connected,
    /// Has asked for the sockets and received them.
    Asked,
    /// Has reported that it is ready, and the running node has given up its share.
    Ready,
}

/// Acts as a new process up to `far`, then disconnects. Returns the number of sockets received.
///
/// # Errors
/// The running node cannot be reached, or answers with another message or fewer sockets than the handover
/// requires.
pub fn take_partly(at: &Path, far: Far) -> Result<usize, ChannelError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut channel = Channel::new(tokio::net::UnixStream::connect(at).await?);
        if far < Far::Asked {
            return Ok(0);
        }
        channel.send(&NewMessage::Hello { format: FORMAT }, &[]).await?;
        let OldMessage::Offer { sockets, .. } = channel.receive().await? else {
            return Err(ChannelError::Malformed("expected an offer".to_owned()));
        };
        let received = std::iter::from_fn(|| channel.descriptor()).count();
        if far >= Far::Ready {
            channel.send(&NewMessage::Ready, &[]).await?;
            let OldMessage::Yours = channel.receive().await? else {
                return Err(ChannelError::Malformed("expected the sockets to be handed over".to_owned()));
            };
        }
        if received == sockets.len() {
            Ok(received)
        } else {
            Err(ChannelError::Malformed("number of sockets differs from the offer".to_owned()))
        }
    })
}

/// A process that no [`Node`] owns, such as one that an upgrade left running. It gets SIGTERM on drop.
pub struct Orphan(u32);

impl Orphan {
    /// The process that holds a node's lock, by the process id in the lock file.
    pub fn with_lock(members: &Members, node: usize) -> Option<Orphan> {
        let text = std::fs::read_to_string(members.lock(node)).ok()?;
        text.trim().parse().ok().map(Orphan)
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.0
    }

    /// Gives up ownership without a signal, and returns the process id.
    pub fn leave(self) -> u32 {
        let id = self.0;
        std::mem::forget(self);
        id
    }
}

impl Drop for Orphan {
    fn drop(&mut self) {
        let _ = Command::new("kill").arg(self.0.to_string()).status();
    }
}

/// Whether a process has not ended.
pub fn lives(process: u32) -> bool {
    // A process that has ended without its parent having waited for it is a zombie (state Z).
    std::fs::read_to_string(format!("/proc/{process}/stat"))
        .is_ok_and(|stat| !stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('Z')))
}
