//! The state machine of requests, of their attempts, and of the connections to backends that carry them. It
//! has no I/O, clock or randomness of its own: events go in with their time, effects come out. It contains
//! the decision module `applemill-balancer`, which selects backends, decides on retries and refuses
//! requests, and optionally the blame, which attributes failures to servers, routes, classes, tenants or
//! keys. Sockets, bytes and sleeping until the next timer are left to the node.
//!
//! [`Ledger::handle`] is the only entry point. A front hands in [`Input::Arrived`] with a value that stands
//! for the client's pending reply, and gets that value back with its [`Answer`] exactly once: the ledger
//! owns the value, and answering moves it out. Which client connection a request came on, and how many
//! requests share it, is known to the front alone.

mod addresses;
mod conn;
mod conn_events;
mod digest;
mod fault;
mod idle_age;
mod idle_conns;
mod interface;
mod ledger;
mod timers;

pub use interface::{
    Answer, AnswerProgress, ConnEvent, ConnId, Effect, ExchangeResult, Input, Limits, OperatorCommand,
    Payload, RequestProgress, Target, Totals,
};
pub use ledger::Ledger;
