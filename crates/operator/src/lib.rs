//! The operator's file of a running node: reads it from disk, builds pools and classes from it, and applies
//! a new version on reload, completely or not at all. `applemill-routes` defines the format and checks it,
//! `applemill-upstream` holds the connections to servers, and the fronts read clients' requests.

mod file;
mod pool;
mod running;

pub use file::{FileError, load, platform_limits, read_file};
pub use pool::{PoolSetup, RunningPool, Source};
pub use running::{ConfigVersion, Operator, OperatorStart, RouteTarget};
