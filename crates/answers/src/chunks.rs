//! Decodes chunked bodies (RFC 9112, 7.1). Chunk extensions are ignored.

use crate::MalformedAnswer;
use crate::pieces::split_off;
use bytes::{Bytes, BytesMut};
use http::header::{HeaderMap, HeaderName, HeaderValue};

/// The largest length of a line with a chunk's size and extensions, and of a trailer line.
const MAX_LINE_BYTES: usize = 4096;
/// The largest size of all trailers together.
const MAX_TRAILERS_BYTES: usize = 16 * 1024;

/// The largest number of digits in a chunk size. More are never needed and could hide a size from another
/// parser.
const MAX_SIZE_DIGITS: usize = 16;

/// What is expected next in the input.
enum Expected {
    /// The line with a chunk's size.
    Size,
    /// Data of a chunk, with the remaining bytes.
    Data(u64),
    /// The line end after a chunk's data.
    ChunkEnd,
    /// Trailers up to an empty line, with their bytes so far.
    Trailers(usize),
}

/// The result of one decoding step.
pub enum Step {
    /// More input is needed.
    More,
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete, with its trailers.
    End(HeaderMap),
}

/// Decodes one chunked body.
pub struct ChunkDecoder {
    expected: Expected,
    trailers: HeaderMap,
}

impl ChunkDecoder {
    /// A decoder at the start of a body.
    pub fn new() -> ChunkDecoder {
        ChunkDecoder { expected: Expected::Size, trailers: HeaderMap::new() }
    }

    /// Consumes input and returns at most `max_data_bytes` of the body. A chunk may have up to
    /// `max_chunk_bytes`.
    ///
    /// # Errors
    /// The encoding is malformed, or a chunk is too large.
    pub fn step(
        &mut self,
        input: &mut BytesMut,
        max_chunk_bytes: u64,
        max_data_bytes: usize,
    ) -> Result<Step, MalformedAnswer> {
        loop {
            match self.expected {
                Expected::Size => {
                    let Some(line) = take_line(input)? else { return Ok(Step::More) };
                    let size = parse_size(&line)?;
                    if size > max_chunk_bytes {
                        return Err(MalformedAnswer);
                    }
                    self.expected = if size == 0 { Expected::Trailers(0) } else { Expected::Data(size) };
                }
                Expected::Data(remaining) => {
                    if input.is_empty() {
                        return Ok(Step::More);
                    }
                    let max_data_bytes = max_data_bytes.min(input.len());
                    let part = split_off(
                        input,
                        usize::try_from(remaining).map_or(max_data_bytes, |l| l.min(max_data_bytes)),
                    );
                    self.expected = match remaining - part.len() as u64 {
                        0 => Expected::ChunkEnd,
                        remaining => Expected::Data(remaining),
                    };
                    return Ok(Step::Data(part));
                }
                Expected::ChunkEnd => {
                    let Some(line) = take_line(input)? else { return Ok(Step::More) };
                    if !line.is_empty() {
                        return Err(MalformedAnswer);
                    }
                    self.expected = Expected::Size;
                }
                Expected::Trailers(trailer_bytes) => {
                    let Some(line) = take_line(input)? else { return Ok(Step::More) };
                    if line.is_empty() {
                        return Ok(Step::End(std::mem::take(&mut self.trailers)));
                    }
                    let total_bytes = trailer_bytes + line.len();
                    let colon = line.iter().position(|b| *b == b':').ok_or(MalformedAnswer)?;
                    if total_bytes > MAX_TRAILERS_BYTES {
                        return Err(MalformedAnswer);
                    }
                    let (name, value) = line.split_at(colon);
                    let value = value.get(1..).unwrap_or_default().trim_ascii();
                    let name = HeaderName::from_bytes(name).map_err(|_| MalformedAnswer)?;
                    self.trailers
                        .append(name, HeaderValue::from_bytes(value).map_err(|_| MalformedAnswer)?);
                    self.expected = Expected::Trailers(total_bytes);
                }
            }
        }
    }
}

/// Takes the next line without its line end, once it is complete.
fn take_line(input: &mut BytesMut) -> Result<Option<BytesMut>, MalformedAnswer> {
    let Some(end) = input.iter().position(|b| *b == b'\n') else {
        return if input.len() <= MAX_LINE_BYTES { Ok(None) } else { Err(MalformedAnswer) };
    };
    let mut line = input.split_to(end + 1);
    // Some parsers accept a line feed alone as a line end and others do not.
    if end > MAX_LINE_BYTES || !line.ends_with(b"\r\n") {
        return Err(MalformedAnswer);
    }
    line.truncate(end - 1);
    Ok(Some(line))
}

/// Parses a chunk's size: hexadecimal digits, optionally followed by a semicolon and extensions.
fn parse_size(line: &[u8]) -> Result<u64, MalformedAnswer> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
    let text = std::str::from_utf8(digits).map_err(|_| MalformedAnswer)?;
    // `from_str_radix` would accept a sign.
    if text.len() > MAX_SIZE_DIGITS || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(MalformedAnswer);
    }
    u64::from_str_radix(text, 16).map_err(|_| MalformedAnswer)
}
