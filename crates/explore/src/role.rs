//! Who takes part in an ordering.

/// Who does something, or to whom it is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A client.
    Client(usize),
    /// The node.
    Node,
    /// A backend.
    Backend(usize),
}
