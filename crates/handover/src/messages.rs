//! Messages between the old and the new node, each a JSON object on a line.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Version of these messages and of the learned state that they carry.
pub const FORMAT: u32 = 1;

/// Message from the new node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum NewMessage {
    /// Asks to take over.
    Hello {
        /// Message version of the new node, see [`FORMAT`].
        format: u32,
    },
    /// Has a list of backends and is able to serve.
    Ready,
    /// Accepts connections.
    Serves,
}

/// Message from the old node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum OldMessage {
    /// Offers its sockets, whose descriptors are attached in the order of `sockets`.
    Offer {
        /// Use of each socket.
        sockets: Vec<SocketUse>,
        /// State learned by the old node, by pool. Its format is versioned separately.
        learned: BTreeMap<String, String>,
    },
    /// Has stopped accepting connections: the new node may accept.
    Yours,
    /// Has released its share.
    Done {
        /// State of the old node's run, to be continued under its number. Its format is versioned separately.
        share: String,
    },
    /// Refuses or aborts the handover.
    Refused {
        /// Reason, for the log.
        why: String,
    },
}

/// Use of a socket or file that is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SocketUse {
    /// Accepts clients at this address.
    Listener(SocketAddr),
    /// Receives messages of the other nodes of the fleet at this address.
    Fleet(SocketAddr),
    /// Holds the lock on the file at this path.
    Lock(String),
}
