//! One node's view of the claims on a task.

/// Fraction of the time until a claim expires during which its holder may still act.
pub const SAFE_HOLD_FRACTION: f64 = 0.8;
/// Heartbeats within the safe hold time; with four of them, two may be lost.
const HEARTBEATS_PER_SAFE_HOLD: f64 = 4.0;

/// A claim as stored. Of several claims, the one with the highest number counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Number of the claim.
    pub number: u64,
    /// Counter that changes while the holder lives.
    pub heartbeat: u64,
    /// Whether the holder has released the claim, because the task is done or abandoned.
    pub released: bool,
}

/// The next step of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseStep {
    /// Try to create the claim with this number, which fails if another node was first. After success, call
    /// [`Lease::acquired`].
    Create(u64),
    /// Another node holds the lease: look again at this time, in milliseconds.
    Wait(f64),
    /// This node holds the lease.
    Held {
        /// Number of the claim to write heartbeats to.
        number: u64,
        /// Time at which the next heartbeat must be written, in milliseconds.
        heartbeat_due_ms: f64,
    },
}

/// State of the lease on one node. Times are milliseconds of a clock that does not go back and that also
/// counts while the node is suspended.
#[derive(Clone, Debug)]
pub struct Lease {
    hold_ms: f64,
    observed: Option<Observation>,
    held: Option<HeldClaim>,
}

/// The highest claim as last seen.
#[derive(Clone, Debug)]
struct Observation {
    claim: Claim,
    /// Time since which the claim has been unchanged.
    since_ms: f64,
}

/// The claim that this node has created.
#[derive(Clone, Copy, Debug)]
struct HeldClaim {
    number: u64,
    heartbeat: u64,
    /// Time before the last heartbeat was written, from which the hold time counts.
    since_ms: f64,
}

impl Lease {
    /// Creates the state for a lease whose claims expire when they have not changed for `hold_ms`.
    pub fn new(hold_ms: f64) -> Lease {
        Lease { hold_ms, observed: None, held: None }
    }

    /// Records the claim that is in storage now.
    pub fn observe(&mut self, now: f64, claim: Option<Claim>) {
        if let (Some(claim), Some(held)) = (&claim, self.held)
            && claim.number > held.number
        {
            // Another node has taken over.
            self.held = None;
        }
        match (claim, &self.observed) {
            // The storage was emptied: numbering continues from the highest number seen.
            (None, _) => {}
            (Some(new), Some(old)) if new == old.claim || new.number < old.claim.number => {}
            (Some(new), _) => self.observed = Some(Observation { claim: new, since_ms: now }),
        }
    }

    /// Returns the next step.
    pub fn next(&self, now: f64) -> LeaseStep {
        if let Some(held) = self.held
            && self.is_held(now)
        {
            return LeaseStep::Held {
                number: held.number,
                heartbeat_due_ms: held.since_ms
                    + self.hold_ms * SAFE_HOLD_FRACTION / HEARTBEATS_PER_SAFE_HOLD,
            };
        }
        match &self.observed {
            None => LeaseStep::Create(1),
            Some(Observation { claim, since_ms }) if claim.released || now >= since_ms + self.hold_ms => {
                LeaseStep::Create(claim.number + 1)
            }
            Some(Observation { since_ms, .. }) => LeaseStep::Wait(since_ms + self.hold_ms),
        }
    }

    /// Records that this node has created the claim; `began` is the time before it was written.
    pub fn acquired(&mut self, began: f64, number: u64) {
        self.held = Some(HeldClaim { number, heartbeat: 0, since_ms: began });
        let claim = Claim { number, heartbeat: 0, released: false };
        self.observed = Some(Observation { claim, since_ms: began });
    }

    /// Returns the claim to write as the next heartbeat, or none if this node no longer holds the lease.
    pub fn next_heartbeat(&self, now: f64) -> Option<Claim> {
        let held = self.held.filter(|_| self.is_held(now))?;
        Some(Claim { number: held.number, heartbeat: held.heartbeat + 1, released: false })
    }

    /// Records that a heartbeat was written; `began` is the time before the write.
    pub fn heartbeat_written(&mut self, began: f64, claim: &Claim) {
        if let Some(held) = &mut self.held
            && held.number == claim.number
        {
            (held.heartbeat, held.since_ms) = (claim.heartbeat, began);
            self.observed = Some(Observation { claim: claim.clone(), since_ms: began });
        }
    }

    /// Whether this node holds the lease, with the margin that keeps any other node from starting.
    pub fn is_held(&self, now: f64) -> bool {
        self.held.is_some_and(|held| now < held.since_ms + self.hold_ms * SAFE_HOLD_FRACTION)
    }

    /// Gives up the lease. Returns the claim to write, or none if this node no longer held the lease.
    pub fn release(&mut self, now: f64) -> Option<Claim> {
        let claim = self.next_heartbeat(now).map(|claim| Claim { released: true, ..claim });
        self.held = None;
        if let Some(claim) = &claim {
            self.observed = Some(Observation { claim: claim.clone(), since_ms: now });
        }
        claim
    }
}
