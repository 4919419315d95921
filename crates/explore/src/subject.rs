//! The subject of the exploration: the ledger, or a mutant of it.

use applemill_balancer::Balancer;
use applemill_blame::Blame;
use applemill_ledger::{Effect, Input, Limits, Totals};
use std::hash::Hasher;

/// The value for a client's pending reply: the client's index.
pub type Owed = usize;
/// The call sent to a backend: the index of the client that sent the request.
pub type Call = usize;
/// A backend's reply: the index of the client whose request ran.
pub type Reply = usize;
/// An input to a subject.
pub type In = Input<Owed, Call, Reply>;
/// An effect of a subject.
pub type Out = Effect<Owed, Call, Reply>;

/// A ledger or a mutant of it.
pub trait Subject {
    /// Returns an independent copy.
    fn clone_box(&self) -> Box<dyn Subject>;
    /// Handles one input and appends its effects to `out`.
    fn handle(&mut self, now: f64, input: In, out: &mut Vec<Out>);
    /// When the next timer is due, in milliseconds.
    fn next_due_ms(&self) -> Option<f64>;
    /// The number of objects that it holds.
    fn totals(&self) -> Totals;
    /// Hashes the whole state, including that of the decisions.
    fn digest(&self, state: &mut dyn Hasher);
}

impl Clone for Box<dyn Subject> {
    fn clone(&self) -> Box<dyn Subject> {
        self.as_ref().clone_box()
    }
}

/// Creates a subject that has not handled any input, with the blame if there is one.
pub type SubjectFactory = fn(Balancer, Limits, Option<Blame>) -> Box<dyn Subject>;

/// Implements [`Subject`](crate::subject::Subject) for a type with the ledger's methods, and defines its
/// factory `make`.
#[macro_export]
macro_rules! subject {
    ($ledger:ty) => {
        impl $crate::subject::Subject for $ledger {
            fn clone_box(&self) -> Box<dyn $crate::subject::Subject> {
                Box::new(self.clone())
            }

            fn handle(
                &mut self,
                now: f64,
                input: $crate::subject::In,
                out: &mut Vec<$crate::subject::Out>,
            ) {
                self.handle(now, input, out);
            }

            fn next_due_ms(&self) -> Option<f64> {
                self.next_due_ms()
            }

            fn totals(&self) -> applemill_ledger::Totals {
                self.totals()
            }

            fn digest(&self, state: &mut dyn std::hash::Hasher) {
                self.digest(&mut { state });
            }
        }

        /// Creates a subject of this type.
        pub fn make(
            balancer: applemill_balancer::Balancer,
            limits: applemill_ledger::Limits,
            blame: Option<applemill_blame::Blame>,
        ) -> Box<dyn $crate::subject::Subject> {
            let ledger = <$ledger>::new(balancer, limits);
            Box::new(match blame {
                Some(blame) => ledger.with_blame(blame),
                None => ledger,
            })
        }
    };
}

subject!(applemill_ledger::Ledger<Owed, Call>);
