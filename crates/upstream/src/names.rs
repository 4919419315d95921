//! Headers of the platform's protocol (PROTOCOL), as names that are read once and not for each request.

use hyper::header::HeaderName;

/// Which request it is; no two open ones have the same.
pub const TRACE_ID: HeaderName = HeaderName::from_static("x-trace-id");
/// Its class.
pub const QOS: HeaderName = HeaderName::from_static("x-qos");
/// How much work it is, in microseconds.
pub const SIZE_HINT: HeaderName = HeaderName::from_static("x-size-hint");
/// Whose it is.
pub const CUSTOMER: HeaderName = HeaderName::from_static("x-customer");
/// What it is about.
pub const OBJECT: HeaderName = HeaderName::from_static("x-object");
/// The client has asked before.
pub const SECOND_TRY: HeaderName = HeaderName::from_static("x-second-try");
/// Repeats with the same one are dropped.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// How long the client waits, and how long this node will, as a backend is told; in milliseconds.
pub const EXPIRES: HeaderName = HeaderName::from_static("x-expires-in-ms");
/// A backend's word that a request never ran.
pub const NEVER_RAN: HeaderName = HeaderName::from_static("x-never-ran");
/// A backend's load, in its answers.
pub const LOAD: HeaderName = HeaderName::from_static("endpoint-load-metrics");
