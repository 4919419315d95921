//! MessagePack-RPC messages (the published specification: `[0, msgid, method, params]`, `[1, msgid, error, result]`,
//! `[2, method, params]`), cut out of bytes as they come and put together again. No I/O and no clock. What a method or
//! its params mean is left to others: they pass byte for byte, and are never decoded.

mod object;
mod scan;

use bytes::{Bytes, BytesMut};
use object::{integer, text};
use scan::Scan;
use thiserror::Error;

/// What is read of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest message, in bytes.
    pub message: usize,
    /// How deep arrays and maps may stand in one another, the message itself among them.
    pub depth: usize,
}

/// One message. Every field but the msgid is its object as it came, whatever way it was written in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A call that is answered.
    Request {
        /// Its number on its connection.
        msgid: u32,
        /// What is called: a string.
        method: Bytes,
        /// With what: an array.
        params: Bytes,
    },
    /// The answer to one.
    Response {
        /// The call's number.
        msgid: u32,
        /// Nil where it went well.
        error: Bytes,
        /// What came of it.
        result: Bytes,
    },
    /// A call that is not answered.
    Notification {
        /// What is called: a string.
        method: Bytes,
        /// With what: an array.
        params: Bytes,
    },
}

/// What came is no message. Nothing behind it can be told apart either: the connection is of no use any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Garbled {
    /// Something else than an array of three or four.
    #[error("a message is an array of three or four")]
    NoMessage,
    /// Its first field, with its length, is none of the three.
    #[error("a message begins with 0, 1 or 2, and is of that kind's length")]
    Kind,
    /// The number is none of 32 bits.
    #[error("a msgid is a whole number of 32 bits")]
    Msgid,
    /// The method is no string of UTF-8.
    #[error("a method is a string")]
    Method,
    /// The params are no array.
    #[error("params are an array")]
    Params,
    /// The byte 0xc1, which is nothing.
    #[error("0xc1 is no object")]
    Reserved,
    /// It is, or says that it will be, longer than the limit.
    #[error("a message is longer than {0} bytes")]
    Long(usize),
    /// It stands deeper than the limit.
    #[error("objects stand deeper than {0} in one another")]
    Deep(usize),
}

/// The name in a method's object; none where it is no string.
pub fn method_name(method: &[u8]) -> Option<&str> {
    std::str::from_utf8(text(method)?).ok()
}

/// Messages out of the bytes of one connection.
pub struct Reader {
    limits: Limits,
    came: BytesMut,
    scan: Scan,
}

impl Reader {
    /// One that nothing has come to yet.
    pub fn new(limits: Limits) -> Reader {
        Reader { limits, came: BytesMut::new(), scan: Scan::default() }
    }

    /// Takes what came next.
    pub fn take(&mut self, bytes: &[u8]) {
        self.came.extend_from_slice(bytes);
    }

    /// Bytes that are held of a message that is not whole, or was not asked for.
    pub fn held(&self) -> usize {
        self.came.len()
    }

    /// The next message, once it is whole. Each byte is looked at once, whatever the pieces.
    ///
    /// # Errors
    /// What came will never be one; so it stays.
    pub fn next_message(&mut self) -> Result<Option<Message>, Garbled> {
        if !self.scan.go_on(&self.came, self.limits)? {
            return Ok(None);
        }
        let scan = std::mem::take(&mut self.scan);
        let whole = self.came.split_to(scan.length()).freeze();
        let field = |n: usize| scan.field(n).map(|range| whole.slice(range));
        message([field(0), field(1), field(2), field(3)]).map(Some)
    }
}

fn message(fields: [Option<Bytes>; 4]) -> Result<Message, Garbled> {
    let msgid = |id: &Bytes| integer(id).and_then(|id| u32::try_from(id).ok()).ok_or(Garbled::Msgid);
    let kind = fields.first().and_then(Option::as_ref).and_then(|kind| integer(kind));
    match (kind, fields) {
        (Some(0), [_, Some(id), Some(method), Some(params)]) => {
            let msgid = msgid(&id)?;
            check(&method, &params)?;
            Ok(Message::Request { msgid, method, params })
        }
        (Some(1), [_, Some(id), Some(error), Some(result)]) => {
            Ok(Message::Response { msgid: msgid(&id)?, error, result })
        }
        (Some(2), [_, Some(method), Some(params), None]) => {
            check(&method, &params)?;
            Ok(Message::Notification { method, params })
        }
        _ => Err(Garbled::Kind),
    }
}

fn check(method: &[u8], params: &[u8]) -> Result<(), Garbled> {
    method_name(method).ok_or(Garbled::Method)?;
    if object::is_array(params) { Ok(()) } else { Err(Garbled::Params) }
}

impl Message {
    /// Writes it behind what is there. Fields go out as they are; whoever made them answers for that.
    pub fn write(&self, out: &mut BytesMut) {
        let mut put = |parts: &[&[u8]]| parts.iter().for_each(|part| out.extend_from_slice(part));
        match self {
            Message::Request { msgid, method, params } => {
                put(&[&[0x94, 0x00], object::number(*msgid).as_ref(), method, params]);
            }
            Message::Response { msgid, error, result } => {
                put(&[&[0x94, 0x01], object::number(*msgid).as_ref(), error, result]);
            }
            Message::Notification { method, params } => put(&[&[0x93, 0x02], method, params]),
        }
    }
}
