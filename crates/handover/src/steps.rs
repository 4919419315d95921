//! State machines for the two sides of a handover, without I/O or clock.
//!
//! The old node offers its sockets and keeps serving. The new node prepares and reports that it is ready. The
//! old node then stops accepting and yields, and the new node starts to accept; connections that arrive in
//! between wait in the sockets that both nodes hold open. When the new node reports that it serves, the old
//! node releases its share for good with its last message. If anything fails before that, the old node
//! returns to normal operation.

use crate::Ms;
use crate::messages::{FORMAT, NewMessage, OldMessage};

/// Time limits for the new node, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HandoverTimeouts {
    /// From the offer until the new node reports that it is ready.
    pub ready_ms: Ms,
    /// From then until the new node reports that it serves.
    pub serve_ms: Ms,
}

impl Default for HandoverTimeouts {
    fn default() -> HandoverTimeouts {
        HandoverTimeouts { ready_ms: 30_000.0, serve_ms: 5_000.0 }
    }
}

/// Reason for aborting a handover that has begun.
const ABORTED: &str = "it took too long, or said something out of turn: the running node goes on";

/// An input of the old node.
#[derive(Clone, Debug, PartialEq)]
pub enum OldEvent {
    /// A message from the new node.
    Message(NewMessage),
    /// The connection to the new node is lost, or an invalid message was received.
    Lost,
    /// Time has passed; see [`OldNode::due`].
    Tick,
}

/// An action of the old node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OldAction {
    /// Send the sockets and keep serving.
    Offer,
    /// Send the reason for the refusal and close the connection. If the connection closes without this
    /// message, the new node takes the old one for dead.
    Refuse(&'static str),
    /// Stop accepting connections and tell the new node.
    Yield,
    /// Release the share, tell the new node in the last message, and exit when the open requests have ended.
    ReleaseShare,
    /// Accept connections again: return to normal operation.
    Resume,
}

/// State of the old node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OldNode {
    /// Serves; no handover is in progress.
    Serving,
    /// Serves while the new node prepares, which must be ready by this time.
    Offered(Ms),
    /// Does not accept; the new node must serve by this time.
    Yielded(Ms),
    /// The new node has taken over.
    Gone,
}

impl OldNode {
    /// Applies an event and returns the actions to carry out in order.
    pub fn handle(&mut self, now: Ms, event: &OldEvent, timeouts: HandoverTimeouts) -> Vec<OldAction> {
        let (next, actions) = match (*self, event) {
            (OldNode::Gone, _) | (OldNode::Serving, OldEvent::Tick | OldEvent::Lost) => return Vec::new(),
            (OldNode::Serving, OldEvent::Message(NewMessage::Hello { format })) if *format != FORMAT => (
                OldNode::Serving,
                vec![OldAction::Refuse("the running node speaks another form of handover")],
            ),
            (OldNode::Serving, OldEvent::Message(NewMessage::Hello { .. })) => {
                (OldNode::Offered(now + timeouts.ready_ms), vec![OldAction::Offer])
            }
            (OldNode::Offered(deadline), OldEvent::Message(NewMessage::Ready)) if now < deadline => {
                (OldNode::Yielded(now + timeouts.serve_ms), vec![OldAction::Yield])
            }
            (OldNode::Yielded(deadline), OldEvent::Message(NewMessage::Serves)) if now < deadline => {
                (OldNode::Gone, vec![OldAction::ReleaseShare])
            }
            (OldNode::Offered(deadline) | OldNode::Yielded(deadline), OldEvent::Tick) if now < deadline => {
                return Vec::new();
            }
            (OldNode::Serving | OldNode::Offered(_), _) => {
                (OldNode::Serving, vec![OldAction::Refuse(ABORTED)])
            }
            (OldNode::Yielded(_), _) => {
                (OldNode::Serving, vec![OldAction::Resume, OldAction::Refuse(ABORTED)])
            }
        };
        *self = next;
        actions
    }

    /// Time of the next time-out, at which [`OldEvent::Tick`] is due; none if no time-out is running.
    pub fn due(&self) -> Option<Ms> {
        match self {
            OldNode::Offered(deadline) | OldNode::Yielded(deadline) => Some(*deadline),
            OldNode::Serving | OldNode::Gone => None,
        }
    }

    /// Whether this node accepts new connections.
    pub fn accepts(&self) -> bool {
        matches!(self, OldNode::Serving | OldNode::Offered(_))
    }

    /// Whether this node has the share.
    pub fn has_share(&self) -> bool {
        !matches!(self, OldNode::Gone)
    }
}

/// State of the new node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewNode {
    /// Has asked to take over and waits for the offer.
    Asking,
    /// Has the sockets and prepares without accepting.
    Preparing,
    /// Has reported that it is ready and waits for the old node to yield.
    Waiting,
    /// Accepts; the old node still has the share.
    Accepting,
    /// Accepts and has the share.
    Owner,
    /// Exits without having taken over.
    GivenUp,
}

/// An action of the new node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewAction {
    /// Set up on the received sockets.
    Prepare,
    /// Start to accept and report that this node serves.
    Accept,
    /// Take the share.
    TakeShare,
    /// The old node has died: accept at once, with the state of a newly started node.
    StartAlone,
    /// Exit.
    GiveUp,
}

impl NewNode {
    /// Applies a message of the old node, or its death if there is none, and returns the action to carry out.
    pub fn handle(&mut self, message: Option<&OldMessage>) -> NewAction {
        let (next, action) = match (*self, message) {
            (NewNode::Asking, Some(OldMessage::Offer { .. })) => (NewNode::Preparing, NewAction::Prepare),
            (NewNode::Waiting, Some(OldMessage::Yours)) => (NewNode::Accepting, NewAction::Accept),
            (NewNode::Accepting, Some(OldMessage::Done { .. })) => (NewNode::Owner, NewAction::TakeShare),
            // The owner no longer depends on the old node.
            (NewNode::Owner, _) => return NewAction::TakeShare,
            (NewNode::Preparing | NewNode::Waiting | NewNode::Accepting, None) => {
                (NewNode::Owner, NewAction::StartAlone)
            }
            _ => (NewNode::GivenUp, NewAction::GiveUp),
        };
        *self = next;
        action
    }

    /// Records that this node is able to serve. Returns the message to send, or none if the node was not
    /// preparing.
    pub fn mark_ready(&mut self) -> Option<NewMessage> {
        (*self == NewNode::Preparing).then(|| {
            *self = NewNode::Waiting;
            NewMessage::Ready
        })
    }

    /// Whether this node accepts new connections.
    pub fn accepts(&self) -> bool {
        matches!(self, NewNode::Accepting | NewNode::Owner)
    }

    /// Whether this node has the share.
    pub fn has_share(&self) -> bool {
        *self == NewNode::Owner
    }
}
