//! Explores every ordering of events in small worlds around a ledger with the real decisions, and checks
//! properties against the world's own record of what ran where. Sockets and real time are covered by the
//! node's own tests; `docs/explorer.md` describes the abstractions.

pub mod chart;
mod parallel_map;
pub mod property;
mod role;
pub mod scenario;
pub mod search;
pub mod story;
pub mod subject;
pub mod token;
pub mod world;

pub use chart::chart;
pub use parallel_map::{parallel_map, parallel_map_in};
pub use property::{Property, Violation};
pub use role::Role;
pub use scenario::Scenario;
pub use search::{SearchResult, search};
pub use story::story;
pub use subject::{Subject, SubjectFactory, make};
pub use token::Token;
