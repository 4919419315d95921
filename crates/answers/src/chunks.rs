//! A body in chunks (RFC 9112, 7.1). Extensions and trailers are read and left out.

use crate::Spoilt;
use bytes::{Bytes, BytesMut};

/// A chunk's line with its extensions, and a trailer's line, are at most so long.
const LONGEST_LINE: usize = 4096;
/// Trailers together.
const MOST_TRAILERS: usize = 16 * 1024;

enum Next {
    /// The line with a chunk's size.
    Size,
    /// So many bytes of it.
    Data(usize),
    /// The end of its line.
    End,
    /// Trailers, so many bytes so far, up to an empty line.
    Trailers(usize),
}

/// As far as it has come.
pub struct Chunks {
    limit: usize,
    body: BytesMut,
    next: Next,
}

impl Chunks {
    /// A body of `limit` bytes at most.
    pub fn new(limit: usize) -> Chunks {
        Chunks { limit, body: BytesMut::new(), next: Next::Size }
    }

    /// Takes what it can of what came; whether the body is whole.
    ///
    /// # Errors
    /// These are no chunks, or too many.
    pub fn take(&mut self, came: &mut BytesMut) -> Result<bool, Spoilt> {
        loop {
            match self.next {
                Next::Size => {
                    let Some(line) = line(came)? else { return Ok(false) };
                    let size = size(&line)?;
                    if size > (self.limit - self.body.len()) as u64 {
                        return Err(Spoilt);
                    }
                    self.next = if size == 0 { Next::Trailers(0) } else { Next::Data(size as usize) };
                }
                Next::Data(left) => {
                    let part = came.split_to(left.min(came.len()));
                    self.body.extend_from_slice(&part);
                    match left - part.len() {
                        0 => self.next = Next::End,
                        left => {
                            self.next = Next::Data(left);
                            return Ok(false);
                        }
                    }
                }
                Next::End => {
                    let Some(line) = line(came)? else { return Ok(false) };
                    if !line.is_empty() {
                        return Err(Spoilt);
                    }
                    self.next = Next::Size;
                }
                Next::Trailers(so_far) => {
                    let Some(line) = line(came)? else { return Ok(false) };
                    if line.is_empty() {
                        return Ok(true);
                    }
                    let together = so_far + line.len();
                    if !line.contains(&b':') || together > MOST_TRAILERS {
                        return Err(Spoilt);
                    }
                    self.next = Next::Trailers(together);
                }
            }
        }
    }

    /// The body, once it is whole.
    pub fn body(&mut self) -> Bytes {
        self.body.split().freeze()
    }
}

/// The next line without its end, once it is whole.
fn line(came: &mut BytesMut) -> Result<Option<BytesMut>, Spoilt> {
    let Some(end) = came.iter().position(|b| *b == b'\n') else {
        return if came.len() <= LONGEST_LINE { Ok(None) } else { Err(Spoilt) };
    };
    let mut line = came.split_to(end + 1);
    // A line feed alone could be an end to one reader and none to another.
    if end > LONGEST_LINE || !line.ends_with(b"\r\n") {
        return Err(Spoilt);
    }
    line.truncate(end - 1);
    Ok(Some(line))
}

/// A chunk's size: hexadecimal digits, and extensions behind a semicolon.
fn size(line: &[u8]) -> Result<u64, Spoilt> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
    let text = std::str::from_utf8(digits).map_err(|_| Spoilt)?;
    // A sign would be taken by the parser.
    if !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(Spoilt);
    }
    u64::from_str_radix(text, 16).map_err(|_| Spoilt)
}
