//! Reads and writes MessagePack-RPC messages, as in the published specification: `[0, msgid, method,
//! params]`, `[1, msgid, error, result]` and `[2, method, params]`. No I/O and no clock. Methods, params,
//! errors and results pass byte for byte and are not interpreted.

mod object;
mod scan;

use bytes::{Bytes, BytesMut};
use object::{decode_integer, decode_string};
use scan::Scan;
use thiserror::Error;

/// Limits on the messages of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Length of the longest message, in bytes.
    pub max_message_bytes: usize,
    /// Depth to which arrays and maps may be nested, counting the message itself.
    pub max_depth: usize,
}

/// One message. Each field except the msgid is an encoded object, kept in the encoding in which it was
/// received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A call that expects a response.
    Request {
        /// Number of the call, unique among the open calls of a connection.
        msgid: u32,
        /// Name of the method: a string.
        method: Bytes,
        /// Arguments: an array.
        params: Bytes,
    },
    /// The response to a request.
    Response {
        /// Number of the request.
        msgid: u32,
        /// The error; nil after a success.
        error: Bytes,
        /// The result.
        result: Bytes,
    },
    /// A call without a response.
    Notification {
        /// Name of the method: a string.
        method: Bytes,
        /// Arguments: an array.
        params: Bytes,
    },
}

/// The bytes received are not a valid message. The boundaries of later messages are unknown then, so the
/// connection cannot be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MalformedMessage {
    /// The object is not an array of three or four elements.
    #[error("a message must be an array of 3 or 4 elements")]
    NotAMessage,
    /// The first field is not a known type of message, or the array has the wrong length for it.
    #[error("a message must begin with the type 0, 1 or 2 and have the length of that type")]
    Kind,
    /// The msgid is not an unsigned integer of 32 bits.
    #[error("a msgid must be an unsigned 32-bit integer")]
    Msgid,
    /// The method is not a UTF-8 string.
    #[error("a method must be a UTF-8 string")]
    Method,
    /// The params are not an array.
    #[error("params must be an array")]
    Params,
    /// An object begins with the byte 0xc1, which MessagePack does not use.
    #[error("byte 0xc1 begins no MessagePack object")]
    Reserved,
    /// The message is longer than the limit in bytes, or announces to be.
    #[error("message longer than {0} bytes")]
    TooLong(usize),
    /// The message is nested deeper than the limit.
    #[error("message nested deeper than {0} levels")]
    TooDeep(usize),
}

/// Decodes the name of a method; `None` if the object is not a UTF-8 string.
pub fn method_name(method: &[u8]) -> Option<&str> {
    std::str::from_utf8(decode_string(method)?).ok()
}

/// Splits the bytes received on one connection into messages.
pub struct MessageReader {
    limits: Limits,
    buffer: BytesMut,
    scan: Scan,
}

impl MessageReader {
    /// Creates a reader with an empty buffer.
    pub fn new(limits: Limits) -> MessageReader {
        MessageReader { limits, buffer: BytesMut::new(), scan: Scan::default() }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of buffered bytes that have not been returned as messages yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the next message; `None` until it is complete. Each byte is scanned once, however the input is
    /// split.
    ///
    /// # Errors
    /// The input is malformed; the reader must not be used any more.
    pub fn next_message(&mut self) -> Result<Option<Message>, MalformedMessage> {
        if !self.scan.advance(&self.buffer, self.limits)? {
            return Ok(None);
        }
        let scan = std::mem::take(&mut self.scan);
        let bytes = self.buffer.split_to(scan.length()).freeze();
        let field = |n: usize| scan.field(n).map(|range| bytes.slice(range));
        parse_message([field(0), field(1), field(2), field(3)]).map(Some)
    }
}

fn parse_message(fields: [Option<Bytes>; 4]) -> Result<Message, MalformedMessage> {
    let msgid = |id: &Bytes| {
        decode_integer(id).and_then(|id| u32::try_from(id).ok()).ok_or(MalformedMessage::Msgid)
    };
    let kind = fields.first().and_then(Option::as_ref).and_then(|kind| decode_integer(kind));
    match (kind, fields) {
        (Some(0), [_, Some(id), Some(method), Some(params)]) => {
            let msgid = msgid(&id)?;
            check_call(&method, &params)?;
            Ok(Message::Request { msgid, method, params })
        }
        (Some(1), [_, Some(id), Some(error), Some(result)]) => {
            Ok(Message::Response { msgid: msgid(&id)?, error, result })
        }
        (Some(2), [_, Some(method), Some(params), None]) => {
            check_call(&method, &params)?;
            Ok(Message::Notification { method, params })
        }
        _ => Err(MalformedMessage::Kind),
    }
}

fn check_call(method: &[u8], params: &[u8]) -> Result<(), MalformedMessage> {
    method_name(method).ok_or(MalformedMessage::Method)?;
    if object::is_array(params) { Ok(()) } else { Err(MalformedMessage::Params) }
}

impl Message {
    /// Appends the encoded message to `out`. The fields are copied unchecked: the caller must provide valid
    /// objects.
    pub fn write(&self, out: &mut BytesMut) {
        let mut append = |parts: &[&[u8]]| parts.iter().for_each(|part| out.extend_from_slice(part));
        match self {
            Message::Request { msgid, method, params } => {
                append(&[&[0x94, 0x00], object::encode_integer(*msgid).as_ref(), method, params]);
            }
            Message::Response { msgid, error, result } => {
                append(&[&[0x94, 0x01], object::encode_integer(*msgid).as_ref(), error, result]);
            }
            Message::Notification { method, params } => append(&[&[0x93, 0x02], method, params]),
        }
    }
}
