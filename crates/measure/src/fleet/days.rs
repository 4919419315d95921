//! Hard cases of a fleet, each played with real nodes over a scripted network.

use super::clients::{RATE, Seen, ask};
use super::floor::{Floor, WARM, locked, most, used};
use super::rig::Rig;
use applemill_stand_ins::{Node, Script};
use std::error::Error;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{PoisonError, RwLock};
use std::thread;
use std::time::{Duration, Instant};

/// How long the fresh server is looked at.
pub const LOOK: Duration = Duration::from_secs(10);
/// What happens begins so long after it has started.
pub const HAPPENS: Duration = Duration::from_secs(3);
/// Nodes are there for so long before it starts: they know what a warm server does by then.
const BEFORE: Duration = Duration::from_secs(8);
/// Half of the fleet dies within this.
const DEATHS: Duration = Duration::from_millis(100);
/// A halted node is halted for so long.
const HALTED: Duration = Duration::from_secs(5);
/// From the start of a node that a growing fleet gets to that of the next.
const BETWEEN: Duration = Duration::from_millis(150);

/// A hard case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Day {
    /// The server starts beside nodes that have been there.
    Calm,
    /// Half of them die.
    HalfDie,
    /// The same, and nothing passes between nodes any more.
    HalfDieUnheard,
    /// All nodes start with it.
    Together,
    /// Two halves that both live think each other dead, and then hear of each other again.
    Partition,
    /// A quarter stands still, and wakes with what it knew.
    Halted,
    /// One is killed and there again under its name at once.
    Reborn,
    /// Another program runs under a node's number.
    Double,
    /// A third of the datagrams is lost, the others are late, and all questions come again.
    Rough,
    /// Every server has just started.
    AllCold,
    /// All nodes are upgraded at the same time.
    Upgraded,
    /// A third of them is there; their file is edited, each is upgraded by it, and then the others start, one after the other.
    Grows,
}

impl Day {
    /// All of them, with their names.
    pub const ALL: [(&'static str, Day); 12] = [
        ("calm", Day::Calm),
        ("half_die", Day::HalfDie),
        ("half_die_unheard", Day::HalfDieUnheard),
        ("together", Day::Together),
        ("partition", Day::Partition),
        ("halted", Day::Halted),
        ("reborn", Day::Reborn),
        ("double", Day::Double),
        ("rough", Day::Rough),
        ("all_cold", Day::AllCold),
        ("upgraded", Day::Upgraded),
        ("grows", Day::Grows),
    ];

    /// The part of what a cold server can do that may be sent it: what nodes that stand still, or died unheard, may have is not the
    /// others'.
    pub fn allowed(self, count: usize) -> f64 {
        match self {
            Day::Halted => 1.0 - count.div_ceil(4) as f64 / count as f64,
            Day::HalfDieUnheard => 0.5,
            _ => 1.0,
        }
    }
}

/// What became of it.
pub struct Played {
    /// The most that a server was sent in any window, to what makes it fall.
    pub max_ratio: f64,
    /// What it was sent from the third second on, to what it could do.
    pub used: f64,
    /// The same from three seconds after the deaths on.
    pub used_after: f64,
    /// See [`Day::allowed`].
    pub allowed: f64,
    /// Every server is cold: what is served is what they can do.
    pub all_cold: bool,
    /// What it was sent, by half second, in requests a second, and what a warm server does.
    pub line: Vec<f64>,
    /// Requests a second of a warm server.
    pub whole: f64,
    /// Requests that reached a node that lives and moves, and those that got one answer.
    pub taken: u64,
    /// See `taken`.
    pub answered: u64,
    /// Served, of those asked.
    pub served: f64,
    /// Bids that ran more than once.
    pub ran_twice: usize,
    /// Bids that were answered as served and never ran.
    pub never_ran: usize,
    /// Connections that a node refused which was there.
    pub unconnected: u64,
    /// From the last death until all that live count so.
    pub detect: Option<Duration>,
    /// Bytes that a node sent a second.
    pub bytes: f64,
}

/// Plays one with so many nodes.
///
/// # Errors
/// It could not be played.
pub fn play(count: usize, day: Day) -> Result<Played, Box<dyn Error>> {
    let floor = Floor::start();
    let all = day == Day::AllCold;
    let with_nodes = matches!(day, Day::Together | Day::AllCold);
    let mut rig = Rig::new(count, floor.discovery.address)?;
    let mut started = with_nodes.then(|| floor.add(all));
    if day == Day::Grows {
        rig.configured = count.div_ceil(3);
    }
    for n in 0..rig.configured {
        rig.launch(n)?;
    }
    let addresses = RwLock::new(rig.addresses());
    for node in rig.nodes.iter_mut().flatten() {
        node.get_ready()?;
    }
    if day == Day::Rough {
        let late = Duration::from_millis(60);
        rig.members.network.play(Script {
            lost: 0.3,
            late,
            again: Some(Duration::from_millis(900)),
            cut: None,
        });
    }
    let (over, seen) = (AtomicBool::new(false), Seen::default());
    let (mut still, mut gone, mut detect, mut bytes) = (Vec::new(), Vec::new(), None, 0.0);
    let failed = thread::scope(|scope| -> Result<(), Box<dyn Error>> {
        for n in 0..count {
            let (addresses, over, seen) = (&addresses, &over, &seen);
            scope.spawn(move || ask(addresses, n, over, seen));
        }
        let done = (|| {
            if started.is_none() {
                let before = (Instant::now(), rig.members.network.carried());
                thread::sleep(BEFORE);
                let sent = rig.members.network.carried().1 - before.1.1;
                bytes = sent as f64 / before.0.elapsed().as_secs_f64() / count as f64;
            }
            let at = *started.get_or_insert_with(|| floor.add(all));
            let until = |age: Duration| thread::sleep((at + age).saturating_duration_since(Instant::now()));
            until(HAPPENS);
            match day {
                Day::HalfDie | Day::HalfDieUnheard => {
                    if day == Day::HalfDieUnheard {
                        rig.members.network.play(Script { lost: 1.0, ..Script::default() });
                    }
                    gone = (count - count / 2..count).collect();
                    for n in &gone {
                        rig.nodes[*n] = None;
                        thread::sleep(DEATHS / count as u32);
                    }
                    if day == Day::HalfDie {
                        let left: Vec<usize> = (0..count - count / 2).collect();
                        detect = rig.wait(&left, left.len() as u64, Instant::now(), LOOK - HAPPENS);
                    }
                }
                Day::Partition => {
                    rig.members.network.play(Script { cut: Some(count / 2), ..Script::default() });
                    until(HAPPENS + Duration::from_secs(4));
                    rig.members.network.play(Script::default());
                }
                Day::Halted => {
                    still = (0..count.div_ceil(4)).collect();
                    still.iter().for_each(|n| rig.nodes[*n].iter().for_each(Node::halt));
                    until(HAPPENS + HALTED);
                    still.iter().for_each(|n| rig.nodes[*n].iter().for_each(Node::go_on));
                }
                Day::Reborn => {
                    gone = vec![0];
                    rig.nodes[0] = None;
                    thread::sleep(Duration::from_millis(200));
                    rig.launch(0)?;
                }
                Day::Double => {
                    let text = rig.members.sections(0, &rig.more).replace("0.sock", "twin.sock");
                    let text = text.replace("0.lock", "twin.lock").replace("0.hand", "twin.hand");
                    let own = applemill_stand_ins::free_address().to_string();
                    let text = text.replace(&rig.members.listens(0).to_string(), &own);
                    let program = crate::node(&std::env::current_exe()?);
                    let twin = Node::run_file(program, &format!("{text}{}", rig.rest))?;
                    rig.nodes.push(Some(twin));
                }
                Day::Upgraded => rig.upgrade(count)?,
                Day::Grows => {
                    let there = rig.configured;
                    rig.configured = count;
                    for n in 0..there {
                        rig.edit(n)?;
                        rig.upgrade_one(n)?;
                    }
                    for n in there..count {
                        rig.launch(n)?;
                        thread::sleep(BETWEEN);
                        *addresses.write().unwrap_or_else(PoisonError::into_inner) = rig.addresses();
                    }
                }
                Day::Calm | Day::Together | Day::Rough | Day::AllCold => {}
            }
            until(LOOK);
            Ok(())
        })();
        over.store(true, Relaxed);
        done
    });
    failed?;
    let at = started.ok_or("nothing was started")?;
    let whole = RATE * count as f64 / (WARM + 1) as f64;
    let asked = floor.asked(all);
    let mean =
        |f: &dyn Fn(&[Instant]) -> f64| asked.iter().map(|a| f(a)).sum::<f64>() / asked.len().max(1) as f64;
    // A node that was killed, or stood still, owes no answer to what it had then.
    let excused = |n: &usize| gone.contains(n) || still.contains(n);
    let unanswered = locked(&seen.lost).iter().filter(|(n, _)| !excused(n)).count() as u64;
    let lost = locked(&seen.lost).len() as u64;
    let of = |n: &std::sync::atomic::AtomicU64| n.load(Relaxed);
    let never_ran = locked(&seen.bids).iter().filter(|bid| !floor.ran(bid)).count();
    let halves = (0..LOOK.as_millis() as u64 / 500).map(|n| Duration::from_millis(500 * n));
    let line = halves.map(|from| {
        let to = from + Duration::from_millis(500);
        let ages = asked.iter().flatten().map(|a| a.saturating_duration_since(at));
        ages.filter(|age| (from..to).contains(age)).count() as f64 * 2.0 / asked.len().max(1) as f64
    });
    Ok(Played {
        max_ratio: asked.iter().map(|a| most(a, at, whole)).fold(0.0, f64::max),
        used: mean(&|a| used(a, at, whole, HAPPENS, LOOK)),
        used_after: mean(&|a| used(a, at, whole, HAPPENS + Duration::from_secs(3), LOOK)),
        allowed: day.allowed(count),
        all_cold: all,
        line: line.collect(),
        whole,
        taken: of(&seen.asked) - (lost - unanswered),
        answered: of(&seen.served) + of(&seen.refused),
        served: of(&seen.served) as f64 / of(&seen.asked).max(1) as f64,
        ran_twice: floor.ran_twice(),
        never_ran,
        unconnected: locked(&seen.unconnected).iter().filter(|n| !excused(n)).count() as u64,
        detect,
        bytes,
    })
}
