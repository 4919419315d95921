//! Names of the headers of the platform's protocol (PROTOCOL), as constants that need no parsing for each
//! request.

use hyper::header::HeaderName;

/// The request's identifier, unique among open requests.
pub const TRACE_ID: HeaderName = HeaderName::from_static("x-trace-id");
/// The request's class.
pub const QOS: HeaderName = HeaderName::from_static("x-qos");
/// The estimated work, in microseconds.
pub const SIZE_HINT: HeaderName = HeaderName::from_static("x-size-hint");
/// The tenant.
pub const CUSTOMER: HeaderName = HeaderName::from_static("x-customer");
/// The key.
pub const OBJECT: HeaderName = HeaderName::from_static("x-object");
/// Marks a retry by the client.
pub const SECOND_TRY: HeaderName = HeaderName::from_static("x-second-try");
/// The idempotency key; repeated requests with the same value are dropped.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The time until the sender stops waiting, in milliseconds: from a client, and from this node to a backend.
pub const EXPIRES: HeaderName = HeaderName::from_static("x-expires-in-ms");
/// A backend's confirmation that a request never ran.
pub const NEVER_RAN: HeaderName = HeaderName::from_static("x-never-ran");
/// A backend's load report in an answer.
pub const LOAD: HeaderName = HeaderName::from_static("endpoint-load-metrics");
