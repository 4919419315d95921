//! Incremental search for the end and the fields of a message; no byte is scanned twice.

use crate::object::{Head, decode_head, is_array};
use crate::{Limits, MalformedMessage};
use std::ops::Range;

/// Progress of the scan of one message.
#[derive(Debug, Default)]
pub struct Scan {
    /// Position of the next object; it may lie after the bytes received.
    position: usize,
    /// Number of remaining child objects of each open array or map; the message is the first.
    remaining: Vec<u64>,
    /// Positions at which the fields begin, and at which the last one ends.
    field_bounds: Vec<usize>,
}

impl Scan {
    /// Continues the scan over the bytes received so far, and returns whether the message is complete.
    pub fn advance(&mut self, received: &[u8], limits: Limits) -> Result<bool, MalformedMessage> {
        let too_long = Err(MalformedMessage::TooLong(limits.max_message_bytes));
        while self.field_bounds.is_empty() || !self.remaining.is_empty() {
            let Some(rest) = received.get(self.position..) else { return Ok(false) };
            let Some(Head { length, payload, children }) = decode_head(rest)? else {
                return if self.position < limits.max_message_bytes { Ok(false) } else { too_long };
            };
            // Rejects a message of excessive length when it is announced: each remaining object has at least
            // one byte.
            let end = (self.position + length) as u64 + payload;
            let objects_left = self.remaining.iter().fold(children, |sum, left| sum.saturating_add(*left));
            if end.saturating_add(objects_left.saturating_sub(u64::from(!self.remaining.is_empty())))
                > limits.max_message_bytes as u64
            {
                return too_long;
            }
            if self.remaining.len() >= limits.max_depth && children > 0 {
                return Err(MalformedMessage::TooDeep(limits.max_depth));
            }
            self.position = end as usize;
            if self.field_bounds.is_empty() {
                // The check for an array is needed since a map of two entries has four children, too.
                if !is_array(received) || !matches!(children, 3 | 4) {
                    return Err(MalformedMessage::NotAMessage);
                }
                self.field_bounds.push(self.position);
                self.remaining.push(children);
                continue;
            }
            self.finish_object(children);
        }
        Ok(received.len() >= self.position)
    }

    /// Counts an object whose head and payload have been scanned and that has so many children.
    fn finish_object(&mut self, children: u64) {
        if let Some(left) = self.remaining.last_mut() {
            *left -= 1;
        }
        if children > 0 {
            self.remaining.push(children);
        }
        while self.remaining.len() > 1 && self.remaining.last() == Some(&0) {
            self.remaining.pop();
        }
        // Only the message itself is open: one of its fields is complete.
        if self.remaining.len() == 1 {
            self.field_bounds.push(self.position);
            self.remaining.retain(|left| *left > 0);
        }
    }

    /// Length of the message in bytes; valid once the message is complete.
    pub fn length(&self) -> usize {
        self.position
    }

    /// Byte range of a field of the complete message; `None` if the message has no such field.
    pub fn field(&self, n: usize) -> Option<Range<usize>> {
        Some(*self.field_bounds.get(n)?..*self.field_bounds.get(n + 1)?)
    }
}
