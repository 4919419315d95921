//! One MessagePack object: what its first bytes say of it.

use crate::Garbled;
use rmp::Marker;

/// What an object's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Bytes of the head itself.
    pub length: usize,
    /// Bytes behind it that belong to it.
    pub payload: u64,
    /// Objects behind it that do.
    pub children: u64,
}

/// The head of the object that begins there; none where it is not whole.
pub fn head(bytes: &[u8]) -> Result<Option<Head>, Garbled> {
    let Some(first) = bytes.first() else { return Ok(None) };
    // How many bytes say a length, what else is in front of the payload, and what the length counts.
    let leaf = |payload: u64| Head { length: 1, payload, children: 0 };
    let (width, kind_byte) = match Marker::from_u8(*first) {
        Marker::Reserved => return Err(Garbled::Reserved),
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
    let count = length.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte));
    let (payload, children) = match Marker::from_u8(*first) {
        Marker::Array16 | Marker::Array32 => (0, count),
        Marker::Map16 | Marker::Map32 => (0, 2 * count),
        _ => (count + kind_byte, 0),
    };
    Ok(Some(Head { length: 1 + width, payload, children }))
}

/// A whole number that is not negative, written in any way.
pub fn integer(object: &[u8]) -> Option<u64> {
    let (first, rest) = object.split_first()?;
    match Marker::from_u8(*first) {
        Marker::FixPos(n) => Some(u64::from(n)),
        Marker::U8 | Marker::U16 | Marker::U32 | Marker::U64 => {
            Some(rest.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
        }
        Marker::I8 | Marker::I16 | Marker::I32 | Marker::I64 => {
            let negative = rest.first().is_some_and(|byte| byte & 0x80 != 0);
            (!negative).then(|| rest.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
        }
        _ => None,
    }
}

/// The bytes of a string, or of what older writers wrote for one.
pub fn text(object: &[u8]) -> Option<&[u8]> {
    let marker = Marker::from_u8(*object.first()?);
    let strings = matches!(
        marker,
        Marker::FixStr(_)
            | Marker::Str8
            | Marker::Str16
            | Marker::Str32
            | Marker::Bin8
            | Marker::Bin16
            | Marker::Bin32
    );
    let head = head(object).ok().flatten().filter(|_| strings)?;
    object.get(head.length..)
}

/// Whether it is an array.
pub fn is_array(object: &[u8]) -> bool {
    let marker = object.first().map(|first| Marker::from_u8(*first));
    matches!(marker, Some(Marker::FixArray(_) | Marker::Array16 | Marker::Array32))
}

/// A number, written as short as can be.
pub fn number(value: u32) -> Vec<u8> {
    let mut out = Vec::with_capacity(5);
    // Writing to memory does not fail.
    let _ = rmp::encode::write_uint(&mut out, u64::from(value));
    out
}
