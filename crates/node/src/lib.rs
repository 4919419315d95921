//! The program: the command line, and a node's configuration, start, reload and stop. The fronts speak with
//! clients, `applemill-upstream` with backends, and `applemill-balancer` makes the decisions.

mod blame;
mod certs;
mod cli;
mod config;
mod daemon;
mod demo;
mod fleet;
mod handover;
mod memory_limits;
mod metrics;
mod pools;
mod print;
mod serve;
mod setup;
mod unix_sockets;
mod upgrade;

pub use cli::main;
