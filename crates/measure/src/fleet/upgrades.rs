//! Upgrades in a row under load, one of ten made to fail: what clients saw, and whether what failed left the node as it was.

use applemill_admin::call;
use applemill_stand_ins::{Far, Orphan, PATIENCE, Replaced, Upgraded, lives, take_partly};
use std::cell::RefCell;
use std::error::Error;
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

const HOLD_MS: u32 = 1_500;
/// One of so many fails.
const FAILS: usize = 10;
/// From one to the next, so that each meets clients that have found their way again.
const BETWEEN: Duration = Duration::from_millis(100);

/// How one is made to fail.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// The file is none.
    File,
    /// The file wants an address that is taken.
    Address,
    /// The program ends at once.
    Program,
    /// The process dies once it was told that all is its own.
    Death,
}

impl Way {
    const ALL: [Way; 4] = [Way::Death, Way::Address, Way::File, Way::Program];
}

/// What came of them.
pub struct InARow {
    /// Those that came about.
    pub upgrades: usize,
    /// Those that were made to fail, and those of them that left the node as it was.
    pub failed: usize,
    /// See `failed`.
    pub rolled_back: usize,
    /// Connections refused, bids without an answer, bids answered, bids that ran, and those that were the first of their name.
    pub refused: usize,
    /// See `refused`.
    pub lost: usize,
    /// See `refused`.
    pub answered: usize,
    /// See `refused`.
    pub ran: usize,
    /// See `refused`.
    pub different: usize,
    /// Processes that were replaced and have not ended.
    pub left_over: usize,
    /// From the start of `applemill upgrade` to its end, in milliseconds; the middle one.
    pub took_ms: f64,
}

/// So many, one after the other.
///
/// # Errors
/// They could not be played, or one that should have come about did not.
pub fn in_a_row(count: usize) -> Result<InARow, Box<dyn Error>> {
    let own = std::env::current_exe()?;
    let rig = Replaced::start(crate::node(&own), HOLD_MS, "")?;
    let (mut upgrades, mut failed, mut rolled_back, mut took) = (0, 0, 0, Vec::new());
    let (mut replaced, last) = (vec![rig.node.id()], RefCell::new(None::<Orphan>));
    let incarnation = about(&rig).ok_or("the node says nothing of itself")?;
    let mut wrong = None;
    let seen = rig.under_load(|| {
        for n in 0..count {
            thread::sleep(BETWEEN);
            if n % FAILS == FAILS - 1 {
                failed += 1;
                let way = Way::ALL[failed % Way::ALL.len()];
                let before = owner(&rig);
                let as_it_should = fail(&rig, way);
                let same =
                    owner(&rig) == before && about(&rig) == Some(incarnation) && rig.node.up() == 200;
                if as_it_should && same {
                    rolled_back += 1;
                } else {
                    eprintln!("upgrade {n}, to fail by {way:?}: the node is not as it was");
                }
                continue;
            }
            let begun = Instant::now();
            match rig.upgrade(crate::node(&own), &[]) {
                Ok(Upgraded { code: Some(0), .. }) if about(&rig) == Some(incarnation) => upgrades += 1,
                Ok(Upgraded { code, log }) => {
                    wrong = Some(format!("upgrade {n}: exit code {code:?}: {log}"))
                }
                Err(e) => wrong = Some(format!("upgrade {n}: {e}")),
            }
            took.push(begun.elapsed().as_secs_f64() * 1000.0);
            let next = Orphan::with_lock(&rig.members, 0);
            replaced.extend(last.replace(next).map(Orphan::leave));
        }
    });
    if let Some(wrong) = wrong {
        return Err(wrong.into());
    }
    let begun = Instant::now();
    while replaced.iter().any(|id| lives(*id)) && begun.elapsed() < PATIENCE {
        thread::sleep(Duration::from_millis(50));
    }
    let of = |n: &AtomicUsize| n.load(Relaxed);
    let (ran, different) = rig.counts();
    Ok(InARow {
        upgrades,
        failed,
        rolled_back,
        refused: of(&seen.unconnected),
        lost: of(&seen.lost),
        answered: of(&seen.answered),
        ran,
        different,
        left_over: replaced.iter().filter(|id| lives(**id)).count(),
        took_ms: crate::median(&took).unwrap_or_default(),
    })
}

/// Which run the node is for the others; none where it does not send as one that has its share.
fn about(rig: &Replaced) -> Option<u64> {
    let page = call(&rig.members.admin(0), "/fleet", None).ok()?;
    page["senders"].as_u64().and(page["incarnation"].as_u64())
}

/// Which process has the lock.
fn owner(rig: &Replaced) -> Option<u32> {
    Orphan::with_lock(&rig.members, 0).map(Orphan::leave)
}

/// Makes one fail; whether it did, and said so.
fn fail(rig: &Replaced, way: Way) -> bool {
    let Ok(own) = std::env::current_exe() else { return false };
    let (file, address) = (rig.node.file(), rig.node.address.to_string());
    let with = |text: &str| std::fs::write(file, text.replace("LISTEN", &address)).is_ok();
    let code = |more: &[&str]| rig.upgrade(crate::node(&own), more).ok().and_then(|u| u.code);
    let failed = match way {
        Way::File => with("none of it") && code(&[]) == Some(2),
        Way::Address => TcpListener::bind(applemill_stand_ins::free_address()).is_ok_and(|taken| {
            let at = taken.local_addr().map(|a| a.to_string()).unwrap_or_default();
            with(&rig.text(&format!("[[listener]]\naddress = \"{at}\"\n"))) && code(&[]) == Some(1)
        }),
        Way::Program => code(&["--program", "false"]) == Some(1),
        Way::Death => take_partly(&rig.members.hand_over(0), Far::Ready).is_ok(),
    };
    with(&rig.text("")) && failed
}
