//! A fleet's membership on sockets: a question every tenth of a second from a socket of its own, answers to the others' on
//! another, and whoever goes by the count told of it. And a view of who is there, on a socket of its own, where a file has one. What counts is `applemill-membership`'s, what a count is good for the
//! decisions'; pages and orders of operators are left to the program.

mod seen;
mod setup;
mod share;

pub use applemill_membership::{Line, Own};
pub use applemill_view::{Member, Standing as Sees};
pub use seen::{Change, SOCKETS as SEEN_SOCKETS, Seen, SeenSetup, Sight, told};
pub use setup::{Setup, SetupError, own};

use applemill_membership::{Ask, Fleet, ForgetError, Key, LONGEST, Ms, Senders, Standing};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::task::{AbortHandle, spawn_local};
use tracing::{info, warn};

/// From one question to the next.
const PERIOD: Duration = Duration::from_millis(100);
/// One that has left answers so long at most, so that the others know; less where they have all asked.
const LINGER: Duration = Duration::from_secs(2);
/// An answer to a question is waited for no longer, however long proofs hold: each question has a descriptor of its own.
const LATEST: Duration = Duration::from_millis(1_500);
/// Descriptors that a node of a fleet takes at most: questions that are out, and the socket of the others'.
pub const SOCKETS: usize = 18;
/// A socket that fails, such as for want of memory, is tried again after this.
const AGAIN: Duration = Duration::from_millis(10);

/// How many nodes may be sending to cold servers, for those who go by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    /// This one among them; none where it may send them nothing.
    pub nodes: Option<u32>,
    /// So long it holds; none for ever.
    pub until: Option<Instant>,
}

/// Who is told of each new count.
pub type Told = Box<dyn Fn(Count)>;

/// What is known now.
#[derive(Clone, Debug)]
pub struct View {
    /// This node's number, and which run of the program it is.
    pub number: u32,
    /// Which run of its program this is: milliseconds since 1970 at its start.
    pub incarnation: u64,
    /// Nodes that are configured.
    pub nodes: u32,
    /// What it says of itself.
    pub own: Own,
    /// How many may be sending, by its own count.
    pub senders: Senders,
    /// The others.
    pub lines: Vec<Line>,
    /// Another program runs under this node's number.
    pub doubled: bool,
    /// Numbers that were heard of and are not configured.
    pub beyond: Vec<u32>,
    /// Those that must hear that this node is back before it sends.
    pub waits_for: Vec<u32>,
    /// The clock of all these times.
    pub now_ms: Ms,
}

/// A node of a fleet, on its sockets.
pub struct Running {
    fleet: RefCell<Fleet>,
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
    refusals: bool,
    origin: Instant,
    told: RefCell<Vec<Told>>,
    last: RefCell<Option<Count>>,
    /// As they were logged last.
    seen: RefCell<Vec<(Standing, bool)>>,
    /// What answers and asks; empty where this node has not begun, or has handed on.
    tasks: RefCell<Vec<AbortHandle>>,
    /// The key, for a run that goes on.
    key: Option<Key>,
    /// Those that have asked since this node left.
    asked_since: RefCell<Option<std::collections::BTreeSet<u32>>>,
}

fn wall_ms() -> u64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
}

impl Running {
    /// On a socket of the node whose place it takes, or one of its own, from when on nobody is refused there; it says nothing, and may send nothing to cold servers, until it
    /// [begins](Running::begin).
    ///
    /// # Errors
    /// The address cannot be listened at.
    pub async fn prepare(setup: Setup, socket: Option<std::net::UdpSocket>) -> io::Result<Rc<Running>> {
        let socket = match socket {
            Some(socket) => socket.set_nonblocking(true).and_then(|()| UdpSocket::from_std(socket))?,
            None => UdpSocket::bind(setup.listen).await?,
        };
        Ok(Running::on(setup, socket))
    }

    fn on(setup: Setup, socket: UdpSocket) -> Rc<Running> {
        let Setup { terms, number, peers, listen: _, key, refusals, own } = setup;
        let fleet = Fleet::new(terms, number, own, key.clone(), wall_ms(), f64::INFINITY);
        Rc::new(Running {
            fleet: RefCell::new(fleet),
            socket,
            peers,
            refusals,
            origin: Instant::now(),
            told: RefCell::default(),
            last: RefCell::default(),
            seen: RefCell::default(),
            tasks: RefCell::default(),
            key,
            asked_since: RefCell::default(),
        })
    }

    /// Asks and answers from now on: as a node that starts, or, with a `share` that fits, as the run that has handed it on, which may
    /// be this one. True where it goes on so.
    pub fn begin(self: &Rc<Self>, share: Option<&str>) -> bool {
        let (now, key) = (self.now(), self.key.clone());
        let (terms, number, own) = {
            let fleet = self.fleet.borrow();
            (*fleet.terms(), fleet.number(), fleet.own())
        };
        let handed = share.and_then(share::read);
        let going_on = handed.and_then(|h| Fleet::going_on(terms, number, own, key.clone(), &h, now));
        let goes_on = going_on.is_some();
        let fleet = going_on.unwrap_or_else(|| Fleet::new(terms, number, own, key, wall_ms(), now));
        self.fleet.replace(fleet);
        let tasks = [spawn_local(self.clone().answers()), spawn_local(self.clone().asks())];
        self.tasks.replace(tasks.iter().map(tokio::task::JoinHandle::abort_handle).collect());
        self.news();
        goes_on
    }

    /// Sends nothing more to cold servers, and says nothing more: what another process goes on with.
    pub fn hand_on(&self) -> String {
        self.tasks.take().iter().for_each(AbortHandle::abort);
        let handed = self.fleet.borrow_mut().hand_on(self.now());
        self.news();
        handed.map(|h| share::write(&h)).unwrap_or_default()
    }

    /// Where the others ask, and its address.
    pub fn socket(&self) -> (&UdpSocket, Option<SocketAddr>) {
        (&self.socket, self.socket.local_addr().ok())
    }

    fn now(&self) -> Ms {
        self.origin.elapsed().as_secs_f64() * 1000.0
    }

    /// Tells of the count now, and whenever there is another.
    pub fn tell(&self, told: Told) {
        told(self.count());
        self.told.borrow_mut().push(told);
    }

    /// How many may be sending, and until when that holds.
    pub fn count(&self) -> Count {
        let Senders { nodes, until_ms } = self.fleet.borrow().senders(self.now());
        let until = until_ms
            .is_finite()
            .then(|| self.origin + Duration::from_secs_f64((until_ms / 1000.0).clamp(0.0, 1e9)));
        Count { nodes, until }
    }

    fn news(&self) {
        let count = self.count();
        let known = self.last.replace(Some(count));
        if known != Some(count) {
            if known.map(|k| k.nodes) != Some(count.nodes) {
                match count.nodes {
                    Some(nodes) => info!(nodes, "fleet: so many may be sending to cold servers"),
                    None => info!("fleet: this node may not send to cold servers"),
                }
            }
            self.told.borrow().iter().for_each(|told| told(count));
        }
    }

    /// What is known now.
    pub fn view(&self) -> View {
        let (now_ms, fleet) = (self.now(), self.fleet.borrow());
        View {
            number: fleet.number(),
            incarnation: fleet.incarnation(),
            nodes: fleet.terms().nodes,
            own: fleet.own(),
            senders: fleet.senders(now_ms),
            lines: fleet.lines(now_ms),
            doubled: fleet.doubled(now_ms),
            beyond: fleet.beyond(now_ms),
            waits_for: fleet.waits_for(now_ms),
            now_ms,
        }
    }

    /// Why this node does not know its share yet; none where it does.
    pub fn unready(&self) -> Option<String> {
        let (now, fleet) = (self.now(), self.fleet.borrow());
        let left = fleet.sends_from_ms() - now;
        match (fleet.senders(now).nodes, fleet.waits_for(now)) {
            (Some(_), _) => None,
            (None, waits) if !waits.is_empty() => Some(format!(
                "fleet: this node was forgotten; nodes {waits:?} have not heard that it is back"
            )),
            _ if self.tasks.borrow().is_empty() => {
                Some("fleet: the share has not been handed on yet".to_owned())
            }
            _ if left > 0.0 => Some(format!("fleet: knows its share in {:.1} s", left / 1000.0)),
            _ => Some("fleet: this node has left".to_owned()),
        }
    }

    /// An operator's word that a node is gone.
    ///
    /// # Errors
    /// It is heard, or none of the others.
    pub fn forget(&self, node: u32) -> Result<(), ForgetError> {
        self.fleet.borrow_mut().forget(node, self.now(), wall_ms())?;
        warn!(node, "fleet: forgotten by an operator's word");
        self.news();
        Ok(())
    }

    /// What it says of itself from now on.
    pub fn says(&self, own: Own) {
        self.fleet.borrow_mut().says(own);
    }

    /// Nothing is sent any more that is counted: says so, and waits until the others have asked, or not for long.
    pub async fn leave(&self) {
        if self.tasks.borrow().is_empty() {
            // Another process goes on under this number.
            return;
        }
        self.fleet.borrow_mut().leave();
        self.asked_since.replace(Some(Default::default()));
        self.news();
        let end = Instant::now() + LINGER.min(PERIOD * (2 * self.peers.len()) as u32);
        while Instant::now() < end && !self.all_know() {
            tokio::time::sleep(AGAIN).await;
        }
    }

    fn all_know(&self) -> bool {
        let (asked, view) = (self.asked_since.borrow(), self.view());
        let alive = view.lines.iter().filter(|l| l.standing == Standing::Alive);
        asked.as_ref().is_some_and(|asked| alive.into_iter().all(|l| asked.contains(&l.node)))
    }

    /// What comes on the socket that all others ask: answers go back to where the question came from.
    async fn answers(self: Rc<Self>) {
        let mut buffer = [0_u8; LONGEST + 1];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(AGAIN).await;
                continue;
            };
            let Some(bytes) = buffer.get(..length) else { continue };
            let heard = self.fleet.borrow_mut().datagram(self.now(), bytes);
            if let Some((node, Some(answer))) = heard {
                // What cannot go is lost, as any datagram may be.
                let _ = self.socket.try_send_to(&answer, from);
                if let Some(asked) = self.asked_since.borrow_mut().as_mut() {
                    asked.insert(node);
                }
            }
            self.news();
        }
    }

    async fn asks(self: Rc<Self>) {
        // Nodes that start together do not ask together.
        tokio::time::sleep(PERIOD.mul_f64(fastrand::f64())).await;
        let mut turn = tokio::time::interval(PERIOD);
        turn.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            turn.tick().await;
            let ask = self.fleet.borrow_mut().ask(self.now(), fastrand::u64(..));
            if let Some(ask) = ask {
                spawn_local(self.clone().question(ask));
            }
            self.news();
            self.log();
        }
    }

    /// One question, from a socket of its own: a refusal there says which one was refused.
    async fn question(self: Rc<Self>, ask: Ask) {
        let Some(to) = self.peers.get(ask.to as usize) else { return };
        let hold = Duration::from_secs_f64(self.fleet.borrow().terms().hold_ms / 1000.0);
        let Ok(own) = self.socket.local_addr() else { return };
        let exchange = async {
            let socket = UdpSocket::bind((own.ip(), 0)).await?;
            socket.connect(to).await?;
            socket.send(&ask.bytes).await?;
            let mut buffer = [0_u8; LONGEST + 1];
            loop {
                let length = socket.recv(&mut buffer).await?;
                let Some(bytes) = buffer.get(..length) else { continue };
                if self.fleet.borrow_mut().datagram(self.now(), bytes).is_some() {
                    return io::Result::Ok(());
                }
            }
        };
        // An answer that is later than `hold` proves nothing any more.
        if let Ok(Err(e)) = tokio::time::timeout(hold.min(LATEST), exchange).await
            && e.kind() == io::ErrorKind::ConnectionRefused
            && self.refusals
        {
            self.fleet.borrow_mut().refused(ask.nonce);
        }
        self.news();
    }

    /// What has changed since it was logged last.
    fn log(&self) {
        let view = self.view();
        let mut seen = self.seen.borrow_mut();
        seen.resize(view.lines.len(), (Standing::Unknown, false));
        for (line, seen) in view.lines.iter().zip(seen.iter_mut()) {
            if line.standing != seen.0 {
                info!(node = line.node, "fleet: {}", word(line.standing));
            }
            if line.double && !seen.1 {
                warn!(node = line.node, "fleet: two programs say that they are this node; both count");
            }
            *seen = (line.standing, line.double);
        }
    }
}

/// How a node stands, in a word.
pub fn word(standing: Standing) -> &'static str {
    match standing {
        Standing::Unknown => "unknown",
        Standing::Alive => "alive",
        Standing::Left => "left",
        Standing::Silent => "silent",
        Standing::Absent => "absent",
        Standing::Forgotten => "forgotten",
    }
}
