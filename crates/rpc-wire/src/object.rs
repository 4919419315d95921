//! Decoding of the head and the simple values of a MessagePack object.

use crate::MalformedMessage;
use rmp::Marker;

/// The head of an object: its marker and length field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Length of the head in bytes.
    pub length: usize,
    /// Bytes of the payload that follow the head.
    pub payload: u64,
    /// Number of child objects that follow the head.
    pub children: u64,
}

/// Decodes the head of the object at the start of `bytes`; `None` if the head is incomplete.
pub fn decode_head(bytes: &[u8]) -> Result<Option<Head>, MalformedMessage> {
    let Some(first) = bytes.first() else { return Ok(None) };
    // `width` is the size of the length field; `kind_byte` is 1 if a type byte stands between it and the
    // payload.
    let leaf = |payload: u64| Head { length: 1, payload, children: 0 };
    let (width, kind_byte) = match Marker::from_u8(*first) {
        Marker::Reserved => return Err(MalformedMessage::Reserved),
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => {
            return Ok(Some(leaf(0)));
        }
        Marker::U8 | Marker::I8 => return Ok(Some(leaf(1))),
        Marker::U16 | Marker::I16 => return Ok(Some(leaf(2))),
        Marker::U32 | Marker::I32 | Marker::F32 => return Ok(Some(leaf(4))),
        Marker::U64 | Marker::I64 | Marker::F64 => return Ok(Some(leaf(8))),
        Marker::FixStr(length) => return Ok(Some(leaf(u64::from(length)))),
        Marker::FixArray(count) => return Ok(Some(Head { children: u64::from(count), ..leaf(0) })),
        Marker::FixMap(count) => return Ok(Some(Head { children: 2 * u64::from(count), ..leaf(0) })),
        Marker::FixExt1 => return Ok(Some(leaf(2))),
        Marker::FixExt2 => return Ok(Some(leaf(3))),
        Marker::FixExt4 => return Ok(Some(leaf(5))),
        Marker::FixExt8 => return Ok(Some(leaf(9))),
        Marker::FixExt16 => return Ok(Some(leaf(17))),
        Marker::Str8 | Marker::Bin8 => (1, 0),
        Marker::Str16 | Marker::Bin16 | Marker::Array16 | Marker::Map16 => (2, 0),
        Marker::Str32 | Marker::Bin32 | Marker::Array32 | Marker::Map32 => (4, 0),
        Marker::Ext8 => (1, 1),
        Marker::Ext16 => (2, 1),
        Marker::Ext32 => (4, 1),
    };
    let Some(length) = bytes.get(1..=width) else { return Ok(None) };
    let count = length.iter().fold(0, |value, byte| value << 8 | u64::from(*byte));
    let (payload, children) = match Marker::from_u8(*first) {
        Marker::Array16 | Marker::Array32 => (0, count),
        Marker::Map16 | Marker::Map32 => (0, 2 * count),
        _ => (count + kind_byte, 0),
    };
    Ok(Some(Head { length: 1 + width, payload, children }))
}

/// Decodes an integer that is not negative, in any encoding.
pub fn decode_integer(object: &[u8]) -> Option<u64> {
    let (first, rest) = object.split_first()?;
    match Marker::from_u8(*first) {
        Marker::FixPos(n) => Some(u64::from(n)),
        Marker::U8 | Marker::U16 | Marker::U32 | Marker::U64 => {
            Some(rest.iter().fold(0, |value, byte| value << 8 | u64::from(*byte)))
        }
        Marker::I8 | Marker::I16 | Marker::I32 | Marker::I64 => {
            let negative = rest.first().is_some_and(|byte| byte & 0x80 != 0);
            (!negative).then(|| rest.iter().fold(0, |value, byte| value << 8 | u64::from(*byte)))
        }
        _ => None,
    }
}

/// Returns the bytes of a string, or of a bin object, which older encoders write for strings.
pub fn decode_string(object: &[u8]) -> Option<&[u8]> {
    let marker = Marker::from_u8(*object.first()?);
    let is_string = matches!(
        marker,
        Marker::FixStr(_)
            | Marker::Str8
            | Marker::Str16
            | Marker::Str32
            | Marker::Bin8
            | Marker::Bin16
            | Marker::Bin32
    );
    let head = decode_head(object).ok().flatten().filter(|_| is_string)?;
    object.get(head.length..)
}

/// Whether the object is an array.
pub fn is_array(object: &[u8]) -> bool {
    let marker = object.first().map(|first| Marker::from_u8(*first));
    matches!(marker, Some(Marker::FixArray(_) | Marker::Array16 | Marker::Array32))
}

/// Encodes an integer in the shortest form.
pub fn encode_integer(value: u32) -> Vec<u8> {
    let mut out = Vec::with_capacity(5);
    // Writing to a Vec cannot fail.
    let _ = rmp::encode::write_uint(&mut out, u64::from(value));
    out
}
