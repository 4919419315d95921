//! Simulates a floor, a fleet, clients and a network in virtual time. The deciding code is the real one: the
//! checks of the operator's file, the ledger, the decisions and the blame; their surroundings are modelled.
//! No sockets, files or system clock are used: a seed determines a run to the last bit. Files, threads,
//! statistics and reports are in `applemill-experiments`.
//!
//! The simulation counts outcomes itself and checks the four rules of [`Rule`] against that count, not
//! against the state of the nodes.

mod baseline;
mod clients;
mod draw;
mod floor;
mod node;
mod record;
mod run;
mod server;
mod world;

pub use baseline::BaselineConfig as Baseline;
pub use clients::{Comer, comers, node_of};
pub use draw::{Draws, Law, Zipf, mix};
pub use floor::{Floor, FloorError, Path};
pub use record::{Broken, End, Group, Record, Rule, Second};
pub use run::{EVENTS_PER_MARK, Lab};
pub use world::{Clients, Cold, Discovery, Fault, Messages, Network, Servers, What, World};
