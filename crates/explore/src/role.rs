//! The participants of an ordering.

/// The source or target of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A client, by index.
    Client(usize),
    /// The node.
    Node,
    /// A backend, by index.
    Backend(usize),
}
