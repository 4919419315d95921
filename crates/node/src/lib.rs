//! One node: the decisions of the crate `birchspoke` on real sockets. Sockets, timers and files are here; no
//! decision is.

mod call;
mod cli;
mod clock;
mod config;
mod demo;
mod discovery;
mod driver;
mod log;
mod names;
mod operator;
mod peers;
mod request;
mod serve;
mod server;
mod setup;
mod socket;
mod upstream;

pub use cli::main;
