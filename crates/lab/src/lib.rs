//! A floor, a fleet, clients and a network in virtual time. What decides is real: the operator's file through its checks, the
//! ledger, the decisions, the blame; what surrounds them is a model. No sockets, no files, no clock: one seed gives one run, to the
//! last bit. Files, threads, statistics and reports are left to `applemill-experiments`.
//!
//! What happens is counted by the world itself, and the four rules are watched over that count, not over what nodes believe.

mod draw;
mod floor;
mod node;
mod people;
mod plain;
mod record;
mod run;
mod server;
mod world;

pub use draw::{Draws, Law, Zipf, mix};
pub use floor::{Floor, FloorError, Path};
pub use people::{Comer, comers, node_of};
pub use plain::Terms as Baseline;
pub use record::{Broken, End, Group, Record, Rule, Second};
pub use run::{Lab, STRETCH};
pub use world::{Clients, Cold, Discovery, Fault, Messages, Network, Servers, What, World};
