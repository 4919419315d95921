//! Reads request bodies that are buffered as a whole.

use crate::request_memory::RequestMemory;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The first allocation for a body, unless it is shorter.
const FIRST_ALLOCATION_BYTES: usize = 4 * 1024;
/// How much larger each further allocation is. A small factor leaves more fragments behind.
const GROWTH_FACTOR: usize = 4;

/// Why a body could not be read.
pub(crate) enum BodyError {
    OutOfMemory,
    ReadFailed,
}

/// Reads a complete body of a declared length, at which hyper ends it. Memory is reserved for what is
/// allocated, which grows as the body comes: a body that is announced and held back takes little from
/// others.
pub(crate) async fn read_body(
    mut body: Incoming,
    declared_bytes: usize,
    memory: &mut RequestMemory,
) -> Result<Bytes, BodyError> {
    let mut received: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::ReadFailed)?.into_data() else { continue };
        let needed = received.len() + data.len();
        if needed > received.capacity() {
            let grown = (GROWTH_FACTOR * received.capacity()).max(FIRST_ALLOCATION_BYTES);
            let capacity = grown.min(declared_bytes).max(needed);
            memory.grow(capacity - received.capacity()).map_err(|_| BodyError::OutOfMemory)?;
            received.reserve_exact(capacity - received.len());
        }
        received.extend_from_slice(&data);
    }
    Ok(received.into())
}
