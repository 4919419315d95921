//! Counts the bytes of answers that have not been written to their clients yet.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The bytes of answers that are held; clones refer to the same count.
#[derive(Clone, Default)]
pub(crate) struct AnswerMemory(Arc<AtomicUsize>);

impl AnswerMemory {
    /// The same bytes, counted until the last reference to them is dropped.
    pub(crate) fn counted(&self, bytes: Bytes) -> Bytes {
        self.0.fetch_add(bytes.len(), Ordering::Relaxed);
        Bytes::from_owner(CountedBytes { bytes, memory: self.clone() })
    }

    /// How many bytes are held.
    pub(crate) fn held_bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

struct CountedBytes {
    bytes: Bytes,
    memory: AnswerMemory,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for CountedBytes {
    fn drop(&mut self) {
        self.memory.0.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}
