//! Datagrams, of 256 bytes at most: a question, and its answer. Sealed by a key where the fleet has one.

use crate::words::{TOLD_WORDS, Word};
use ring::hmac;

/// No datagram is longer.
pub const LONGEST: usize = 256;
/// Nodes of a fleet at most.
pub const MOST_NODES: u32 = 4_096;

const MARK: [u8; 3] = *b"aM\x02";
const HEAD: usize = 56;
/// Bytes of a seal: half of SHA-256, which is as much as is needed (RFC 2104, 5).
pub const SEAL: usize = 16;
/// Nodes that one answer tells of; of a larger fleet each answer tells of others.
pub(crate) const TOLD: usize = LONGEST - HEAD - SEAL - TOLD_WORDS * WORD;
/// Bytes of a word: node, stamp, and what it says.
const WORD: usize = 13;
/// No proof.
pub(crate) const NONE: u8 = 255;

/// A fleet's key.
#[derive(Clone)]
pub struct Key(hmac::Key);

impl Key {
    /// By a secret that all nodes have.
    pub fn new(secret: &[u8]) -> Key {
        Key(hmac::Key::new(hmac::HMAC_SHA256, secret))
    }

    /// Adds the seal of what is there.
    pub fn seal(&self, out: &mut Vec<u8>) {
        let seal = hmac::sign(&self.0, out);
        out.extend(seal.as_ref().iter().take(SEAL));
    }

    /// What was sealed; none where the seal is not of this key.
    pub fn open<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let (body, seal) = bytes.split_at_checked(bytes.len().checked_sub(SEAL)?)?;
        // In time that says nothing of where they differ.
        let whole = hmac::sign(&self.0, body);
        let same = whole.as_ref().iter().zip(seal).fold(0, |differ, (a, b)| differ | (a ^ b)) == 0;
        same.then_some(body)
    }
}

impl std::fmt::Debug for Key {
    // It is never shown.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key")
    }
}

/// What a node says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Own {
    /// Its version.
    pub version: u32,
    /// A digest of its configuration.
    pub config: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Question,
    Answer,
}

/// A datagram as it is read.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Message {
    pub(crate) kind: Kind,
    pub(crate) from: u32,
    pub(crate) to: u32,
    /// Which run of its program the sender is.
    pub(crate) incarnation: u64,
    /// Of a question, drawn by its sender; of an answer, that of its question.
    pub(crate) nonce: u64,
    /// Counts what this incarnation has sent.
    pub(crate) sequence: u64,
    pub(crate) terms: u32,
    pub(crate) own: Own,
    /// The sender sends nothing any more, until its program is started again.
    pub(crate) left: bool,
    /// Of an answer: two programs are heard that say they are the one who asked.
    pub(crate) double: bool,
    /// Operators' words, [`TOLD_WORDS`] at most.
    pub(crate) words: Vec<Word>,
    /// The first node that `ages` tells of; the others follow it, and the first of all the last.
    pub(crate) start: u32,
    /// How old the proof of each one's absence is, in parts of the hold; [`NONE`] where there is none.
    pub(crate) ages: Vec<u8>,
}

pub(crate) fn write(m: &Message, key: Option<&Key>) -> Vec<u8> {
    let mut out = Vec::with_capacity(LONGEST);
    out.extend_from_slice(&MARK);
    out.push(u8::from(m.kind == Kind::Answer) | u8::from(m.left) << 1 | u8::from(m.double) << 2);
    out.extend_from_slice(&m.from.to_be_bytes());
    out.extend_from_slice(&m.to.to_be_bytes());
    for part in [m.incarnation, m.nonce, m.sequence] {
        out.extend_from_slice(&part.to_be_bytes());
    }
    for part in [m.terms, m.own.version, m.own.config] {
        out.extend_from_slice(&part.to_be_bytes());
    }
    out.extend_from_slice(&m.start.to_be_bytes());
    let words = m.words.iter().take(TOLD_WORDS);
    // Three bytes of room for what a later version may say.
    out.extend_from_slice(&[words.len() as u8, 0, 0, 0]);
    for Word { node, stamp, forgotten } in words {
        out.extend_from_slice(&node.to_be_bytes());
        out.extend_from_slice(&stamp.to_be_bytes());
        out.push(u8::from(*forgotten));
    }
    out.extend_from_slice(&m.ages);
    if let Some(key) = key {
        key.seal(&mut out);
    }
    out
}

/// A piece of a fixed length, and the rest.
fn piece<const N: usize>(bytes: &[u8]) -> Option<([u8; N], &[u8])> {
    let (piece, rest) = bytes.split_at_checked(N)?;
    Some((piece.try_into().ok()?, rest))
}

/// A datagram; none where it is no such, or not of this fleet.
pub(crate) fn read(bytes: &[u8], key: Option<&Key>) -> Option<Message> {
    let body = key.map_or(Some(bytes), |key| key.open(bytes))?;
    let (mark, rest) = piece::<3>(body)?;
    let ([flags], rest) = piece::<1>(rest)?;
    if mark != MARK || flags > 7 {
        return None;
    }
    let (from, rest) = piece(rest)?;
    let (to, rest) = piece(rest)?;
    let (incarnation, rest) = piece(rest)?;
    let (nonce, rest) = piece(rest)?;
    let (sequence, rest) = piece(rest)?;
    let (terms, rest) = piece(rest)?;
    let (version, rest) = piece(rest)?;
    let (config, rest) = piece(rest)?;
    let (start, rest) = piece(rest)?;
    let ([told, ..], mut ages) = piece::<4>(rest)?;
    let mut words = Vec::new();
    for _ in 0..told {
        let (node, rest) = piece(ages)?;
        let (stamp, rest) = piece(rest)?;
        let ([forgotten], rest) = piece::<1>(rest)?;
        let (node, stamp) = (u32::from_be_bytes(node), u64::from_be_bytes(stamp));
        words.push(Word { node, stamp, forgotten: forgotten != 0 });
        ages = rest;
    }
    if ages.len() > TOLD || words.len() > TOLD_WORDS {
        return None;
    }
    Some(Message {
        kind: if flags & 1 == 0 { Kind::Question } else { Kind::Answer },
        left: flags & 2 != 0,
        double: flags & 4 != 0,
        words,
        from: u32::from_be_bytes(from),
        to: u32::from_be_bytes(to),
        incarnation: u64::from_be_bytes(incarnation),
        nonce: u64::from_be_bytes(nonce),
        sequence: u64::from_be_bytes(sequence),
        terms: u32::from_be_bytes(terms),
        own: Own { version: u32::from_be_bytes(version), config: u32::from_be_bytes(config) },
        start: u32::from_be_bytes(start),
        ages: ages.to_vec(),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn message(told: usize) -> Message {
        Message {
            kind: Kind::Answer,
            from: 7,
            to: 4_095,
            incarnation: u64::MAX - 1,
            nonce: 0x0102_0304_0506_0708,
            sequence: 9,
            terms: 5,
            own: Own { version: 3, config: 4 },
            left: true,
            double: told % 2 == 1,
            words: (0..told.min(TOLD_WORDS) as u32)
                .map(|n| Word { node: n, stamp: u64::MAX - 5, forgotten: n % 2 == 0 })
                .collect(),
            start: 4_000,
            ages: (0..told).map(|n| n as u8).collect(),
        }
    }

    #[test]
    fn the_longest_fits_and_reads_as_it_was_written() {
        let key = Key::new(b"secret");
        for told in [0, 1, 20, TOLD] {
            for key in [None, Some(&key)] {
                let bytes = write(&message(told), key);
                assert!(bytes.len() <= LONGEST, "{told}: {}", bytes.len());
                assert_eq!(read(&bytes, key), Some(message(told)));
            }
        }
        assert_eq!(read(&write(&message(TOLD + 1), None), None), None);
    }

    #[test]
    fn what_was_changed_anywhere_cut_or_sealed_by_another_is_none() {
        let key = Key::new(b"secret");
        let bytes = write(&message(20), Some(&key));
        for n in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[n] ^= 1;
            assert_eq!(read(&changed, Some(&key)), None, "byte {n}");
            assert_eq!(read(&bytes[..n], Some(&key)), None, "cut at {n}");
        }
        assert_eq!(read(&bytes, Some(&Key::new(b"another"))), None);
        assert_eq!(read(&write(&message(20), None), Some(&key)), None, "not sealed");
    }
}
