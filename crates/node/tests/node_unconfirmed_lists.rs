//! Lists that a process holds and that discovery has not confirmed since it began to hold them: at a start, after the
//! process was stopped, after discovery was moved, and at an upgrade. Bids are counted at the server that drains, by
//! their first moment.

use applemill_stand_ins::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `drainGraceMs` of the settings, and what the rules allow for sockets.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// After SIGHUP, what the new agent has counts as told so much later.
const MOVED: Duration = Duration::from_secs(4);
/// A request that cannot be served is refused within this time.
const AT_ONCE: Duration = Duration::from_millis(100);
/// How long bids are watched after the last moment at which one may begin.
const WATCHED: Duration = Duration::from_millis(1_500);
/// Pause of a client between two bids.
const BID_PAUSE: Duration = Duration::from_millis(10);
const CLIENTS: usize = 3;
/// `hold` of the fleet in the operator's file.
const HOLD_MS: u32 = 1_000;
/// Drawn schedules with real processes, and how many are played side by side.
const SCHEDULES: u64 = 20;
const SIDE_BY_SIDE: u64 = 5;

/// Two servers, of which the first will drain, and the agent of discovery beside the node.
struct Floor {
    addresses: [SocketAddr; 2],
    /// When bids began at the server that will drain.
    begun: Arc<Mutex<Vec<Instant>>>,
    agent: Discovery,
}

impl Floor {
    fn start() -> Floor {
        let begun: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let record = begun.clone();
        let draining = backend(&Record::default(), move |_, _| {
            record.lock().unwrap().push(Instant::now());
            ok(b"x")
        });
        let addresses = [draining, backend(&Record::default(), |_, _| ok(b"x"))];
        Floor { addresses, begun, agent: Discovery::start(all_up(&addresses)) }
    }

    fn known(&self) -> Value {
        json!({"rev": 1, "all": true, "targets": all_up(&self.addresses)})
    }

    fn list_with_drain(&self) -> Vec<Value> {
        vec![target("s-0", self.addresses[0], "draining"), target("s-1", self.addresses[1], "up")]
    }

    /// The agent gets the announcement of the drain, and discovery goes down.
    fn drain_and_fall_silent(&self) {
        self.agent.set(self.list_with_drain());
        self.agent.silent(true);
    }

    /// Checks that bids begin at the draining server before `last_moment`, and none after it. Bids are sent meanwhile.
    fn assert_drain_is_kept(&self, last_moment: Instant) {
        thread::sleep((last_moment + WATCHED).saturating_duration_since(Instant::now()));
        let begun = self.begun.lock().unwrap();
        let late: Vec<Duration> =
            begun.iter().filter_map(|at| at.checked_duration_since(last_moment)).collect();
        assert!(
            late.is_empty(),
            "{} bids begin later than allowed, by up to {:?}",
            late.len(),
            late.last()
        );
        assert!(begun.len() > 5, "{} bids at the draining server: it must be in use", begun.len());
    }
}

/// Answers that clients got.
#[derive(Default)]
struct Answers {
    served: AtomicUsize,
    refused: AtomicUsize,
    other: AtomicUsize,
    /// Longest time until a refusal.
    slowest_refusal: Mutex<Duration>,
    without_retry_after: AtomicUsize,
    stopping: AtomicBool,
}

impl Answers {
    fn count(&self, answer: Option<Message>, took: Duration) {
        match answer.as_ref().map(Message::status) {
            Some(200) => drop(self.served.fetch_add(1, SeqCst)),
            Some(503) => {
                self.refused.fetch_add(1, SeqCst);
                let has_time = answer.is_some_and(|answer| answer.header("retry-after").is_some());
                self.without_retry_after.fetch_add(usize::from(!has_time), SeqCst);
                let mut slowest = self.slowest_refusal.lock().unwrap();
                *slowest = (*slowest).max(took);
            }
            _ => drop(self.other.fetch_add(1, SeqCst)),
        }
    }

    fn bid(&self, address: SocketAddr) {
        while !self.stopping.load(SeqCst) {
            let sent = Instant::now();
            self.count(attempt(address, &request("bid", 900)), sent.elapsed());
            thread::sleep(BID_PAUSE);
        }
    }
}

/// Tells clients to stop, also if a check panics.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, SeqCst);
    }
}

/// Runs `play` while clients send bids.
fn while_bidding(address: SocketAddr, play: impl FnOnce(&Answers)) -> Answers {
    let answers = Answers::default();
    thread::scope(|scope| {
        let _stop = StopOnDrop(&answers.stopping);
        for _ in 0..CLIENTS {
            scope.spawn(|| answers.bid(address));
        }
        play(&answers);
    });
    answers
}

/// Guards against bids at a server that the agent has as draining, from the stored list, while the agent is silent.
#[test]
fn a_process_that_starts_in_an_outage_uses_its_stored_list_for_the_grace_only() {
    let floor = Floor::start();
    floor.drain_and_fall_silent();
    let started = Instant::now();
    let node = Node::start(floor.agent.address, |config| config["known"] = floor.known());
    let answers = while_bidding(node.address, |answers| {
        floor.assert_drain_is_kept(started + GRACE);
        let refused = answers.refused.load(SeqCst);
        assert!(refused > 20, "{refused} bids refused while no server may be used");
        floor.agent.silent(false);
        let served = answers.served.load(SeqCst);
        wait_for("bids are served again", || answers.served.load(SeqCst) > served + 20);
    });
    assert_eq!(answers.other.load(SeqCst), 0, "bids neither served nor refused");
    assert_eq!(answers.without_retry_after.load(SeqCst), 0, "refusals without a time to come back");
    let slowest = *answers.slowest_refusal.lock().unwrap();
    assert!(slowest <= AT_ONCE, "a refusal took {slowest:?}");
}

/// Guards against counting the grace from the end of a slow start: what the agent has counts from the first moment.
#[test]
fn a_process_that_takes_longer_than_the_grace_to_start_uses_no_stored_list() {
    let floor = Floor::start();
    floor.drain_and_fall_silent();
    // The configuration comes from a pipe, a second after the start.
    let slow_start = "pipe=$(mktemp -u); mkfifo \"$pipe\"; \
                      (sleep 1; cat \"$LB_CONFIG\" > \"$pipe\"; rm \"$pipe\") & \
                      LB_CONFIG=$pipe exec \"$0\"";
    let node = Node::launch(floor.agent.address, |config| config["known"] = floor.known(), slow_start);
    wait_for("/up is 200", || node.up() == 200);
    let answers = while_bidding(node.address, |_| thread::sleep(WATCHED));
    assert_eq!(floor.begun.lock().unwrap().len(), 0, "bids at the draining server");
    let [served, refused, other] =
        [&answers.served, &answers.refused, &answers.other].map(|count| count.load(SeqCst));
    assert!(served == 0 && refused > 20 && other == 0, "{served} served, {refused} refused, {other} other");
}

/// Guards against bids that wait while the process is stopped and begin in its first moment, by a list of before.
#[test]
fn a_process_that_was_stopped_sends_nothing_by_its_old_list() {
    let floor = Floor::start();
    let node = Node::start(floor.agent.address, |config| config["known"] = floor.known());
    while_bidding(node.address, |_| {
        thread::sleep(Duration::from_millis(300));
        node.halt();
        thread::sleep(Duration::from_millis(100));
        floor.drain_and_fall_silent();
        let told = Instant::now();
        thread::sleep(Duration::from_secs(2));
        node.go_on();
        floor.assert_drain_is_kept(told + GRACE);
    });
}

/// Guards against the same after a stop in which nothing has happened: service has to go on.
#[test]
fn a_process_that_was_stopped_serves_again_as_soon_as_its_agent_answers() {
    let floor = Floor::start();
    let node = Node::start(floor.agent.address, |config| config["known"] = floor.known());
    while_bidding(node.address, |answers| {
        thread::sleep(Duration::from_millis(300));
        node.halt();
        thread::sleep(Duration::from_secs(2));
        node.go_on();
        let served = answers.served.load(SeqCst);
        thread::sleep(Duration::from_millis(500));
        let more = answers.served.load(SeqCst) - served;
        assert!(more > 20, "{more} bids served in the half second after the stop");
    });
}

/// Guards against using the old agent's list for as long as the new agent is silent.
#[test]
fn a_list_of_the_agent_before_a_reload_is_used_until_what_the_new_one_has_counts() {
    let floor = Floor::start();
    let mut node = Node::start(floor.agent.address, |config| config["known"] = floor.known());
    let new_agent = Discovery::start(floor.list_with_drain());
    new_agent.silent(true);
    while_bidding(node.address, |answers| {
        thread::sleep(Duration::from_millis(300));
        let moved = Instant::now();
        node.reload(new_agent.address);
        thread::sleep(MOVED);
        assert_eq!(answers.refused.load(SeqCst), 0, "refused while the old list holds");
        floor.assert_drain_is_kept(moved + MOVED + GRACE);
    });
}

/// Guards against a new process that takes over although discovery has given it no list.
#[test]
fn an_upgrade_in_an_outage_leaves_the_process_that_has_a_list() {
    let floor = Floor::start();
    let members = Members::new(1, HOLD_MS, true).unwrap();
    let file = format!(
        "{}[[listener]]\naddress = \"LISTEN\"\n[pool.floor]\ndiscovery = \"{}\"\n\
         [class.bid]\neffect = \"unsafe\"\npatience = \"4s\"\n\
         [[route]]\nname = \"bids\"\nclass = \"bid\"\npool = \"floor\"\n",
        members.sections(0, ""),
        floor.agent.address
    );
    let mut command = Command::new(program());
    command.stderr(Stdio::null());
    let mut node = Node::run_file(command, &file).unwrap();
    node.get_ready().unwrap();
    floor.agent.set(floor.list_with_drain());
    assert!(floor.agent.is_heard(), "the node must have the drain");
    floor.agent.silent(true);
    let begun_before = floor.begun.lock().unwrap().len();
    let log = members.folder().join("upgrade.log");
    let answers = while_bidding(node.address, |_| {
        let upgraded = upgrade(Command::new(program()), node.file(), &log, &[]).unwrap();
        assert_ne!(upgraded.code, Some(0), "{}", upgraded.log);
    });
    assert!(node.running(), "the process with the list goes on");
    assert_eq!(floor.begun.lock().unwrap().len(), begun_before, "bids at the draining server");
    let [served, refused, other] =
        [&answers.served, &answers.refused, &answers.other].map(|count| count.load(SeqCst));
    assert!(
        served > 100 && refused == 0 && other == 0,
        "{served} served, {refused} refused, {other} other"
    );
}

/// What happens to the process in a drawn schedule.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// It is killed, and started again after its time away.
    Restart,
    /// It is stopped for that time.
    Stop,
    /// Discovery is moved to another agent that has the same news.
    Move,
}

/// One drawn schedule. Times count from the first bid.
#[derive(Debug)]
struct Schedule {
    trouble: Trouble,
    trouble_at: Duration,
    away: Duration,
    drain_at: Duration,
    /// Discovery goes down so long after the drain.
    down_after: Duration,
    down_for: Duration,
}

impl Schedule {
    fn draw(seed: u64) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let trouble = match seed % 3 {
            0 => Trouble::Restart,
            1 => Trouble::Stop,
            _ => Trouble::Move,
        };
        let mut between = |from: u64, to: u64| Duration::from_millis(rng.u64(from..to));
        let trouble_at = between(300, 900);
        let away = between(100, 2_000);
        // The drain comes into the trouble, or shortly before or after it.
        let drain_at = trouble_at + between(0, 300 + away.as_millis() as u64) - Duration::from_millis(150);
        Schedule {
            trouble,
            trouble_at,
            away,
            drain_at,
            down_after: between(20, 600),
            down_for: between(500, 3_500),
        }
    }

    /// The announcement, the outage and its end, each at its time.
    fn run_discovery(&self, started: Instant, floor: &Floor, agents: &[Discovery]) {
        sleep_until(started + self.drain_at);
        agents.iter().for_each(|agent| agent.set(floor.list_with_drain()));
        sleep_until(started + self.drain_at + self.down_after);
        agents.iter().for_each(|agent| agent.silent(true));
        thread::sleep(self.down_for);
        agents.iter().for_each(|agent| agent.silent(false));
    }

    /// Plays the schedule. Returns the answers, and the last moment at which a bid may begin at the draining server.
    fn play(&self, floor: &Floor, with_outage: bool) -> (Answers, Instant) {
        let agents = [floor.agent.clone(), Discovery::start(all_up(&floor.addresses))];
        let known = |config: &mut Value| config["known"] = floor.known();
        let mut node = Node::start(floor.agent.address, known);
        let answers = Answers::default();
        let started = Instant::now();
        let mut last_moment = started + self.drain_at + GRACE;
        let front = Mutex::new(node.address);
        thread::scope(|scope| {
            let _stop = StopOnDrop(&answers.stopping);
            if with_outage {
                scope.spawn(|| self.run_discovery(started, floor, &agents));
            } else {
                scope.spawn(|| {
                    sleep_until(started + self.drain_at);
                    agents.iter().for_each(|agent| agent.set(floor.list_with_drain()));
                });
            }
            for _ in 0..CLIENTS {
                scope.spawn(|| {
                    while !answers.stopping.load(SeqCst) {
                        let (address, sent) = (*front.lock().unwrap(), Instant::now());
                        // The front sends nobody to a process that is away.
                        if address.port() != 0 {
                            answers.count(attempt(address, &request("bid", 900)), sent.elapsed());
                        }
                        thread::sleep(BID_PAUSE);
                    }
                });
            }
            sleep_until(started + self.trouble_at);
            match self.trouble {
                Trouble::Restart => {
                    front.lock().unwrap().set_port(0);
                    drop(node);
                    thread::sleep(self.away);
                    let first_moment = Instant::now();
                    node = Node::start(floor.agent.address, known);
                    last_moment = last_moment.max(first_moment + GRACE);
                    *front.lock().unwrap() = node.address;
                }
                Trouble::Stop => {
                    node.halt();
                    thread::sleep(self.away);
                    node.go_on();
                }
                Trouble::Move => {
                    let moved = Instant::now();
                    node.reload(agents[1].address);
                    if moved < started + self.drain_at {
                        last_moment = last_moment.max(moved + MOVED + GRACE);
                    }
                }
            }
            sleep_until(started + self.drain_at + self.down_after + self.down_for + WATCHED);
            sleep_until(last_moment + WATCHED / 2);
        });
        (answers, last_moment)
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Plays a schedule with its outage and without, checks the drain in both, and returns the shares of bids served.
fn play_both(seed: u64) -> [f64; 2] {
    let schedule = Schedule::draw(seed);
    [true, false].map(|with_outage| {
        let floor = Floor::start();
        let (answers, last_moment) = schedule.play(&floor, with_outage);
        let begun = floor.begun.lock().unwrap();
        let late = begun.iter().filter(|at| **at > last_moment).count();
        assert_eq!(
            late, 0,
            "late bids at the draining server, seed {seed}, outage {with_outage}: {schedule:?}"
        );
        assert!(!begun.is_empty(), "seed {seed}: the draining server had no bid");
        let [served, refused, other] =
            [&answers.served, &answers.refused, &answers.other].map(|count| count.load(SeqCst) as f64);
        served / (served + refused + other)
    })
}

/// Guards against bids at a draining server from an unconfirmed list, in drawn schedules of outages, restarts, stops
/// and moves of discovery.
#[test]
fn drains_are_kept_in_drawn_schedules_of_outages_restarts_and_stops() {
    for first in (0..SCHEDULES).step_by(SIDE_BY_SIDE as usize) {
        let seeds = first..SCHEDULES.min(first + SIDE_BY_SIDE);
        let plays: Vec<_> = seeds.map(|seed| (seed, thread::spawn(move || play_both(seed)))).collect();
        for (seed, play) in plays {
            let [with, without] = play.join().unwrap();
            println!("seed {seed}: served {with:.3} of the bids, {without:.3} without the outage");
        }
    }
}
