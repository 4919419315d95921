//! What is explored: the ledger, or a copy of it with one bug planted.

use applemill_ledger::{Effect, Input, Limits, Sums};
use birchspoke::Balancer;
use std::hash::Hasher;

/// What a client is owed: its number.
pub type Owed = usize;
/// What is sent on: the number of the client whose it is.
pub type Call = usize;
/// What comes back: the number of the client whose request ran.
pub type Reply = usize;
/// What happens to a subject.
pub type In = Input<Owed, Call, Reply>;
/// What it does.
pub type Out = Effect<Owed, Call, Reply>;

/// A ledger, of whatever make.
pub trait Subject: Clone {
    /// One that has heard nothing yet.
    fn start(balancer: Balancer, limits: Limits) -> Self;
    /// Takes one input.
    fn take(&mut self, now: f64, input: In, out: &mut Vec<Out>);
    /// When its next timer is due.
    fn due_ms(&self) -> Option<f64>;
    /// What it holds.
    fn held(&self) -> Sums;
    /// All that tells it from another, decisions and all.
    fn hash(&self, state: &mut dyn Hasher);
}

/// Says how a type with the ledger's methods is a subject.
#[macro_export]
macro_rules! subject {
    ($ledger:ty) => {
        impl $crate::subject::Subject for $ledger {
            fn start(balancer: birchspoke::Balancer, limits: applemill_ledger::Limits) -> Self {
                Self::new(balancer, limits)
            }

            fn take(&mut self, now: f64, input: $crate::subject::In, out: &mut Vec<$crate::subject::Out>) {
                self.handle(now, input, out);
            }

            fn due_ms(&self) -> Option<f64> {
                self.next_due_ms()
            }

            fn held(&self) -> applemill_ledger::Sums {
                self.sums()
            }

            fn hash(&self, state: &mut dyn std::hash::Hasher) {
                self.digest(&mut { state });
            }
        }
    };
}

subject!(applemill_ledger::Ledger<Owed, Call>);
