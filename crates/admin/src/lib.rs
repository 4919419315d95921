//! The admin interface of a node: HTTP/1.1 on a Unix socket that only the node's user and root may open. The
//! node defines the pages and commands; the permissions of the socket file decide who has access.

mod client;
mod server;

pub use client::{CallError, call, fetch};
pub use server::{AdminHandler, AdminRequest, PreparedSocket, Reply, UnixSocketFile, serve};
