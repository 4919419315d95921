//! Reads a body in pieces, for streaming.

use crate::chunks::Step;
use crate::{Framing, MalformedAnswer};
use bytes::{Buf, Bytes, BytesMut};
use http::header::{
    AUTHORIZATION, CACHE_CONTROL, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_RANGE,
    CONTENT_TYPE, EXPECT, HOST, HeaderMap, HeaderName, MAX_FORWARDS, SET_COOKIE, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Headers that are forbidden as trailers (RFC 9110, 6.5.1). They control framing, routing, authentication or
/// how the body is interpreted, and a recipient has already acted without them when the trailers arrive.
const FORBIDDEN_TRAILERS: [HeaderName; 15] = [
    AUTHORIZATION,
    CACHE_CONTROL,
    CONNECTION,
    CONTENT_ENCODING,
    CONTENT_LENGTH,
    CONTENT_RANGE,
    CONTENT_TYPE,
    EXPECT,
    HOST,
    MAX_FORWARDS,
    SET_COOKIE,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Whether all of these headers are allowed as trailers.
pub fn trailers_allowed(trailers: &HeaderMap) -> bool {
    trailers.keys().all(|name| !FORBIDDEN_TRAILERS.contains(name))
}

/// Splits off up to `bytes` from the front. They are copied unless they fill most of their buffer: a slice
/// would keep the whole buffer alive and use much more memory than it is counted with.
pub(crate) fn split_off(input: &mut BytesMut, bytes: usize) -> Bytes {
    let bytes = bytes.min(input.len());
    if bytes == input.len() && input.capacity() <= bytes + bytes / 2 {
        return std::mem::take(input).freeze();
    }
    let part = Bytes::copy_from_slice(input.get(..bytes).unwrap_or_default());
    input.advance(bytes);
    if input.is_empty() {
        *input = BytesMut::new();
    }
    part
}

/// The next piece of a body.
#[derive(Debug)]
pub enum BodyPiece {
    /// More bytes must be received first.
    More,
    /// Bytes of the body, never empty.
    Data(Bytes),
    /// The body is complete.
    End {
        /// The trailers.
        trailers: HeaderMap,
        /// Nothing followed the answer, and the server keeps the connection open.
        reusable: bool,
    },
}

/// Reads the body of an answer in pieces.
pub struct BodyReader {
    framing: Framing,
    input: BytesMut,
    keeps_open: bool,
}

impl BodyReader {
    pub(crate) fn new(framing: Framing, input: BytesMut, keeps_open: bool) -> BodyReader {
        BodyReader { framing, input, keeps_open }
    }

    /// The remaining bytes, if the length is declared.
    pub fn remaining(&self) -> Option<u64> {
        match &self.framing {
            Framing::Sized(length) => Some(*length),
            Framing::Chunked(_) | Framing::UntilClose(_) => None,
        }
    }

    /// Whether the whole body was returned. Only known in advance if the length is declared.
    pub fn is_complete(&self) -> bool {
        self.remaining() == Some(0)
    }

    /// Whether the body ends where the server closes the connection.
    pub fn ends_at_close(&self) -> bool {
        matches!(self.framing, Framing::UntilClose(_))
    }

    /// The server has closed the connection in order, which may be the end of the body.
    pub fn close(&mut self) {
        if let Framing::UntilClose(closed) = &mut self.framing {
            *closed = true;
        }
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Returns the next piece, with at most `max_bytes` of data; 0 counts as 1.
    ///
    /// # Errors
    /// The body is malformed or has forbidden trailers.
    pub fn next(&mut self, max_bytes: usize) -> Result<BodyPiece, MalformedAnswer> {
        let max_bytes = max_bytes.max(1);
        match &mut self.framing {
            Framing::Sized(0) => {
                let reusable = self.input.is_empty() && self.keeps_open;
                Ok(BodyPiece::End { trailers: HeaderMap::new(), reusable })
            }
            Framing::UntilClose(true) if self.input.is_empty() => {
                Ok(BodyPiece::End { trailers: HeaderMap::new(), reusable: false })
            }
            Framing::Sized(_) | Framing::UntilClose(_) if self.input.is_empty() => Ok(BodyPiece::More),
            Framing::UntilClose(_) => {
                let length = max_bytes.min(self.input.len());
                Ok(BodyPiece::Data(split_off(&mut self.input, length)))
            }
            Framing::Sized(remaining) => {
                let max_bytes = max_bytes.min(self.input.len());
                let part = split_off(
                    &mut self.input,
                    usize::try_from(*remaining).map_or(max_bytes, |l| l.min(max_bytes)),
                );
                *remaining -= part.len() as u64;
                Ok(BodyPiece::Data(part))
            }
            Framing::Chunked(chunks) => Ok(match chunks.step(&mut self.input, u64::MAX, max_bytes)? {
                Step::More => BodyPiece::More,
                Step::Data(part) => BodyPiece::Data(part),
                Step::End(trailers) if trailers_allowed(&trailers) => {
                    BodyPiece::End { trailers, reusable: self.input.is_empty() && self.keeps_open }
                }
                Step::End(_) => return Err(MalformedAnswer),
            }),
        }
    }
}
