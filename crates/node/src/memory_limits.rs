//! How the memory of the process is divided among connections, requests and answers.

use applemill_upstream::BODY_LIMIT;

/// Heads and bodies of requests may take one part in this many of the process's memory.
const REQUEST_MEMORY_DIVISOR: usize = 4;
/// Answers that clients have not read yet may take one part in this many.
const ANSWER_MEMORY_DIVISOR: usize = 8;
/// Read buffers of connections may take one part in this many.
const BUFFER_MEMORY_DIVISOR: usize = 4;
/// Connections of clients may take one part in this many.
const CLIENT_MEMORY_DIVISOR: usize = 3;
/// Ids of requests that must not run again may take one part in this many.
const KEPT_ID_MEMORY_DIVISOR: usize = 64;
/// What an id that is kept takes.
const KEPT_ID_BYTES: usize = 40;
/// Smallest read buffer of a connection: a request head must fit.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Largest read buffer of a connection: more than a body is of no use.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Read buffers of a client's connection: the head of a request holds one until it is answered, and what
/// follows is read to another.
const BUFFERS_PER_CLIENT: usize = 2;
/// What a client's connection takes besides, with a request under way.
const CLIENT_STATE_BYTES: usize = 24 * 1024;
/// So many clients may be connected with however little memory.
const MIN_CLIENTS: usize = 64;

/// The limits that follow from the memory and the descriptors of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// The size of a connection's read buffer.
    pub buffer_bytes: usize,
    /// How many clients may be connected.
    pub max_clients: usize,
    /// How many ids are kept of requests that must not run again.
    pub kept_ids: usize,
    /// What heads and buffered bodies of requests may take.
    pub request_bytes: usize,
    /// What answers may take that clients have not read yet.
    pub answer_bytes: usize,
}

impl MemoryLimits {
    /// The limits of a process with this much memory, which may open so many descriptors.
    pub fn new(memory_bytes: usize, max_descriptors: usize) -> MemoryLimits {
        let buffer_bytes = (memory_bytes / BUFFER_MEMORY_DIVISOR / max_descriptors.max(1))
            .clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES);
        // Only what is read is resident in a large buffer: the smallest one is what a client is counted with.
        let client_bytes = CLIENT_STATE_BYTES + BUFFERS_PER_CLIENT * MIN_BUFFER_BYTES;
        MemoryLimits {
            buffer_bytes,
            max_clients: (memory_bytes / CLIENT_MEMORY_DIVISOR / client_bytes).max(MIN_CLIENTS),
            kept_ids: memory_bytes / KEPT_ID_MEMORY_DIVISOR / KEPT_ID_BYTES,
            request_bytes: (memory_bytes / REQUEST_MEMORY_DIVISOR).max(BODY_LIMIT),
            answer_bytes: (memory_bytes / ANSWER_MEMORY_DIVISOR).max(BODY_LIMIT),
        }
    }
}
