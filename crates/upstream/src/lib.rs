//! Runs a pool of backends on real sockets: executes the effects of its ledger, manages connections and
//! exchanges, follows the list from discovery and exchanges messages with other nodes. `applemill-balancer`
//! chooses servers and decides on retries and refusals, the ledger tracks open requests and connections, and
//! the front ends receive the clients' requests.

mod call;
mod clock;
mod conn;
mod discovery;
mod discovery_calls;
mod driver;
mod exchange_log;
pub mod headers;
mod peers;
mod pending_answer;
mod pipe;
mod streamed;

pub use call::{
    BODY_LIMIT, Body, Call, Protocol, Reply, ReplyBody, StreamedAnswer, end_to_end,
    without_connection_headers,
};
pub use clock::Clock;
pub use discovery::{DiscoveryWatch, parse_listing};
pub use driver::{Driver, Input, PoolKind, RequestDeadlines, SharedResources};
pub use peers::Peers;
pub use pending_answer::PendingAnswer;
pub use pipe::{ReaderGone, Replay, StreamItem, StreamPool, StreamReader, StreamWriter};
