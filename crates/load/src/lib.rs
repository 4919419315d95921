//! Open-loop load generator for an HTTP address. Requests are sent at the arrival times of the laboratory's
//! clients, whether or not earlier ones have finished, and latency counts from the time a request was due. A
//! server that stalls is therefore seen with every request it delayed (no coordinated omission).
//! `applemill-lab` generates the arrivals; the requests may come from the routes of an operator's file. The
//! results say when the generator itself, not the server, was the limit.

mod mix;
mod results;
mod run;

pub use mix::{MixError, clients_from_file};
pub use results::{GeneratorLimit, GroupResults, LoadResults};
pub use run::{LoadError, Plan, run, run_alone};
