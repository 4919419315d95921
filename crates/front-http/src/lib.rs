//! The HTTP/1.1 front end: accepts client connections, reads requests and sends answers. Requests are matched
//! to routes by `applemill-routes` and submitted to the drivers of `applemill-upstream`; the front end makes
//! no balancing decisions.

mod answer_memory;
mod body;
mod buffered_body;
mod client;
mod head;
mod open_ids;
mod recent_ids;
mod reclaim;
mod rejection;
mod request;
mod request_memory;
mod response;
mod route_fields;
mod server;
mod upload;

pub use request::RequestReader;
pub use server::{NodePages, NotReadyReason, Server, ServerLimits};
