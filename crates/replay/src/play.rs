//! Replays one ordering against the real binary: external events are caused in turn, their consequences are
//! awaited, and all observations must match those of the explorer's world.

use crate::environment::Environment;
use crate::sample::{Ordering, next_automatic};
use applemill_explore::make;
use applemill_explore::scenario::Notice;
use applemill_explore::world::{ClientOutcome, World, WorldEvent, key};
use applemill_ledger::ConnId;
use applemill_stand_ins::{Message, PATIENCE, reply};
use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::fmt;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::Command;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// How long the node may take to handle what falls due at a moment.
const SETTLE_TIME: Duration = Duration::from_millis(8);
/// An event that is caused later than planned by more than this makes the replay a different ordering.
const MAX_DELAY: Duration = Duration::from_millis(25);
/// How long to wait at the end for requests and answers that should not come.
const UNEXPECTED_WAIT: Duration = Duration::from_millis(20);

/// Why a replay does not match the explorer's world.
#[derive(Clone, Debug)]
pub enum ReplayError {
    /// This machine was too slow for the ordering, which makes the replay inconclusive.
    TooSlow(String),
    /// Something else was observed.
    Mismatch(String),
}

impl fmt::Display for ReplayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReplayError::TooSlow(why) => write!(f, "inconclusive: {why}"),
            ReplayError::Mismatch(what) => f.write_str(what),
        }
    }
}

impl<E: Into<Box<dyn Error>>> From<E> for ReplayError {
    fn from(e: E) -> ReplayError {
        ReplayError::Mismatch(e.into().to_string())
    }
}

fn mismatch<T>(what: String) -> Result<T, ReplayError> {
    Err(ReplayError::Mismatch(what))
}

/// A client's connection, and the statuses received on it.
struct ClientConn {
    stream: TcpStream,
    statuses: Receiver<u16>,
}

impl ClientConn {
    fn start(node: SocketAddr, n: usize, class: usize) -> std::io::Result<ClientConn> {
        let mut stream = TcpStream::connect(node)?;
        let text = format!(
            "POST /c{class} HTTP/1.1\r\nHost: a\r\nX-Client: {n}\r\nX-Object: {}\r\nIdempotency-Key: {}\r\n\
             Content-Length: 4\r\n\r\nbody",
            key(n),
            key(n)
        );
        stream.write_all(text.as_bytes())?;
        let (sender, statuses) = channel();
        let mut reader = BufReader::new(stream.try_clone()?);
        thread::spawn(move || {
            while let Some(message) = Message::read(&mut reader) {
                if sender.send(message.status()).is_err() {
                    return;
                }
            }
        });
        Ok(ClientConn { stream, statuses })
    }
}

fn status(outcome: ClientOutcome) -> u16 {
    match outcome {
        ClientOutcome::Served => 200,
        ClientOutcome::Refused => 503,
        ClientOutcome::Failed => 502,
    }
}

/// A connection at a stand-in backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ConnLocation {
    /// The index of the backend.
    backend: usize,
    /// The number of the connection there.
    number: usize,
}

struct Replayer<'w> {
    world: World<'w>,
    environment: Environment,
    /// The moment that corresponds to the world's time 0.
    origin: Instant,
    clients: BTreeMap<usize, ClientConn>,
    answered: BTreeSet<usize>,
    /// The real connections.
    conns: BTreeMap<ConnId, ConnLocation>,
    /// The number of requests observed so far, by backend and connection.
    counts: Vec<Vec<usize>>,
    /// Connections on which an answer's head was sent, but not the rest.
    head_sent: BTreeSet<ConnId>,
}

/// Plays an ordering. `program` is the command of the node.
///
/// # Errors
/// What is observed differs from what the world has recorded, or the machine was too slow.
pub fn play(ordering: &Ordering, program: Command) -> Result<(), ReplayError> {
    let world = World::new(make, &ordering.scenario).map_err(|b| b.to_string())?;
    let mut environment = Environment::start(&ordering.scenario, program)?;
    for n in 0..ordering.scenario.backends {
        let address = world.address_of(n).ok_or("a backend without an address")?;
        environment.set_address(address, n);
    }
    let counts = vec![Vec::new(); environment.backends.len()];
    let mut replayer = Replayer {
        world,
        environment,
        origin: Instant::now(),
        clients: BTreeMap::new(),
        answered: BTreeSet::new(),
        conns: BTreeMap::new(),
        counts,
        head_sent: BTreeSet::new(),
    };
    if ordering.scenario.idle_connections {
        replayer.warm_up(ordering.scenario.backends)?;
    }
    let settled = Duration::from_secs_f64(replayer.world.now_ms() / 1000.0);
    thread::sleep(settled);
    replayer.origin =
        Instant::now().checked_sub(settled).ok_or("the clock does not reach back that far")?;
    replayer.apply_automatic()?;
    for (step, event) in ordering.external_events.iter().enumerate() {
        let with_event = |error| match error {
            ReplayError::Mismatch(what) => {
                ReplayError::Mismatch(format!("event {} {event:?}: {what}", step + 1))
            }
            other => other,
        };
        replayer.apply_external(*event).and_then(|()| replayer.apply_automatic()).map_err(with_event)?;
    }
    replayer.end()
}

impl Replayer<'_> {
    /// Repeats what the world has done before its start: one answered request at each backend.
    fn warm_up(&mut self, backends: usize) -> Result<(), ReplayError> {
        let mut clients = Vec::new();
        for n in 0..backends {
            clients.push(ClientConn::start(self.environment.node.address, n, 0)?);
            let end = Instant::now() + PATIENCE / 5;
            while self.environment.backends.iter().map(|b| b.requests().len()).sum::<usize>() <= n {
                if Instant::now() > end {
                    return mismatch(format!("warm-up request {n} did not arrive"));
                }
                thread::sleep(Duration::from_millis(1));
            }
        }
        for (conn, address) in self.world.open_connections().collect::<Vec<_>>() {
            let backend = self.environment.backend_at(address).ok_or("no backend has this address")?;
            self.conns.insert(conn, ConnLocation { backend, number: 0 });
            self.environment
                .backends
                .get(backend)
                .ok_or("no backend")?
                .write(0, &reply("200 OK", "", b"ok"));
        }
        self.counts = self.environment.backends.iter().map(|b| b.counts()).collect();
        if self.counts.iter().any(|c| c.len() != 1) {
            return mismatch(format!("warm-up requests went to unexpected backends: {:?}", self.counts));
        }
        for client in clients {
            if client.statuses.recv_timeout(PATIENCE / 5) != Ok(200) {
                return mismatch("a warm-up request was not served".to_owned());
            }
        }
        Ok(())
    }

    fn location_of(&self, conn: ConnId) -> Result<ConnLocation, ReplayError> {
        match self.conns.get(&conn) {
            Some(location) => Ok(*location),
            None => mismatch(format!("connection {} has carried nothing", conn.0)),
        }
    }

    fn write(&self, conn: ConnId, bytes: &[u8]) -> Result<(), ReplayError> {
        let ConnLocation { backend, number } = self.location_of(conn)?;
        self.environment.backends.get(backend).ok_or("no backend")?.write(number, bytes);
        Ok(())
    }

    /// Causes one external event, here and in the world.
    fn apply_external(&mut self, event: WorldEvent) -> Result<(), ReplayError> {
        use WorldEvent as E;
        if !self.world.enabled().contains(&event) {
            return mismatch("the event is not enabled in the world".to_owned());
        }
        let planned = self.origin + Duration::from_secs_f64(self.world.now_ms() / 1000.0) + SETTLE_TIME;
        let late = planned.elapsed();
        if late > MAX_DELAY && event != E::TimePasses {
            return Err(ReplayError::TooSlow(format!("{event:?} was {late:?} late")));
        }
        let (notice, ending_address) = (self.world.next_notice(), self.world.address_of(0));
        self.world.apply(event).map_err(|b| format!("the world: {b}"))?;
        match event {
            E::Arrive(n) => {
                let client = ClientConn::start(self.environment.node.address, n, n)?;
                self.clients.insert(n, client);
            }
            E::Leave(n) => {
                if let Some(client) = self.clients.get(&n) {
                    client.stream.shutdown(Shutdown::Both)?;
                }
            }
            E::Serve(c) if self.head_sent.remove(&c) => self.write(c, b"ok")?,
            E::Serve(c) | E::ServeWithExtra(c) => self.write(c, &reply("200 OK", "", b"ok"))?,
            E::Reject(c) => self.write(c, &reply("503 Service Unavailable", "X-Never-Ran: 1\r\n", b""))?,
            E::AnswerMalformed(c) => self.write(c, b"what is this\r\n\r\n")?,
            E::SendInterim(c) => self.write(c, b"HTTP/1.1 102 Processing\r\n\r\n")?,
            E::SendHead(c) => {
                self.head_sent.insert(c);
                self.write(c, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")?;
            }
            E::RunThenReset(c) => {
                let ConnLocation { backend, number } = self.location_of(c)?;
                self.environment.backends.get(backend).ok_or("no backend")?.reset(number);
            }
            E::CloseIdle(c) => {
                let ConnLocation { backend, number } = self.location_of(c)?;
                self.environment.backends.get(backend).ok_or("no backend")?.close(number);
            }
            E::ExtraArrives(c) => self.write(c, &reply("200 OK", "", b"ok"))?,
            E::ProcessEnds => {
                let backend =
                    ending_address.and_then(|a| self.environment.backend_at(a)).ok_or("no backend")?;
                let backend = self.environment.backends.get_mut(backend).ok_or("no backend")?;
                backend.end();
                if notice == Some(Notice::Restart) {
                    backend.listen()?;
                }
            }
            E::Notice => {
                let notice = notice.ok_or("no notice")?;
                self.environment.give_notice(notice, self.world.address_of(0))?;
                self.counts.resize(self.environment.backends.len(), Vec::new());
            }
            E::TimePasses => {
                let due = self.origin + Duration::from_secs_f64(self.world.now_ms() / 1000.0) + SETTLE_TIME;
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
            other => return mismatch(format!("{other:?} cannot be caused from outside")),
        }
        Ok(())
    }

    /// Applies all events that follow automatically in the world, and awaits their effects here.
    fn apply_automatic(&mut self) -> Result<(), ReplayError> {
        let mut written = Vec::new();
        while let Some((_, event)) = next_automatic(&self.world) {
            if let WorldEvent::WriteRest(conn) = event {
                let (address, client) = (
                    self.world.open_connections().find(|(c, _)| *c == conn).map(|(_, a)| a),
                    self.world.backend_and_client(conn).1,
                );
                written.push((
                    conn,
                    address.ok_or("a closed connection wrote a request")?,
                    client.ok_or("an idle connection wrote a request")?,
                ));
            }
            self.world.apply(event).map_err(|b| format!("the world: {b}"))?;
        }
        for (conn, address, client) in written {
            self.expect_request(conn, address, client)?;
        }
        let open: BTreeSet<ConnId> = self.world.open_connections().map(|(c, _)| c).collect();
        let closed: Vec<ConnId> = self.conns.keys().filter(|c| !open.contains(c)).copied().collect();
        for conn in closed {
            let ConnLocation { backend, number } = self.location_of(conn)?;
            self.conns.remove(&conn);
            if !self.environment.backends.get(backend).ok_or("no backend")?.closed(number) {
                return mismatch(format!("connection {} stays open", conn.0));
            }
        }
        for (n, client) in &self.clients {
            let Some(outcome) = self.world.client_outcome(*n).filter(|_| !self.answered.contains(n)) else {
                continue;
            };
            let got = client.statuses.recv_timeout(PATIENCE / 5).unwrap_or(0);
            if got != status(outcome) {
                return mismatch(format!("client {n} gets status {got}, expected {outcome:?}"));
            }
            self.answered.insert(*n);
        }
        Ok(())
    }

    /// Waits for a request at the expected backend and on the expected connection.
    fn expect_request(
        &mut self,
        conn: ConnId,
        address: SocketAddr,
        client: usize,
    ) -> Result<(), ReplayError> {
        let backend = self.environment.backend_at(address).ok_or("no backend has this address")?;
        let counts = self.counts.get_mut(backend).ok_or("no counts for the backend")?;
        let Some((number, message)) =
            self.environment.backends.get(backend).ok_or("no backend")?.next(counts)
        else {
            return mismatch(format!("the request of client {client} did not reach backend {backend}"));
        };
        if message.header("x-client") != Some(&client.to_string()) {
            return mismatch(format!(
                "a request other than that of client {client} reached backend {backend}"
            ));
        }
        if counts.len() <= number {
            counts.resize(number + 1, 0);
        }
        if let Some(count) = counts.get_mut(number) {
            *count += 1;
        }
        let observed = ConnLocation { backend, number };
        if *self.conns.entry(conn).or_insert(observed) != observed {
            return mismatch(format!(
                "the request of client {client} arrived on another connection than {}",
                conn.0
            ));
        }
        Ok(())
    }

    /// Checks that no unexpected request or answer has come.
    fn end(self) -> Result<(), ReplayError> {
        thread::sleep(UNEXPECTED_WAIT);
        let counts: Vec<Vec<usize>> = self.environment.backends.iter().map(|b| b.counts()).collect();
        let total = |counts: &[Vec<usize>]| counts.iter().map(|c| c.iter().sum()).collect::<Vec<usize>>();
        if total(&counts) != total(&self.counts) {
            return mismatch(format!(
                "requests by backend and connection: {:?}, expected {:?}",
                total(&counts),
                total(&self.counts)
            ));
        }
        for (n, client) in &self.clients {
            if let Ok(status) = client.statuses.try_recv() {
                return mismatch(format!("client {n} gets another answer, {status}"));
            }
        }
        Ok(())
    }
}
