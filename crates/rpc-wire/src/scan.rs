//! Where a message ends, and its fields: looked for once, however often more comes.

use crate::object::{Head, head, is_array};
use crate::{Garbled, Limits};
use std::ops::Range;

/// How far it has got with one message.
#[derive(Debug, Default)]
pub struct Scan {
    /// The next byte to look at; it may not have come yet.
    at: usize,
    /// Objects that are still to come, for each array or map that is open, the message outermost.
    open: Vec<u64>,
    /// Where the message's fields begin, and where the last one ends.
    marks: Vec<usize>,
}

impl Scan {
    /// Goes on over what came: whether the message is whole.
    pub fn go_on(&mut self, came: &[u8], limits: Limits) -> Result<bool, Garbled> {
        let long = Err(Garbled::Long(limits.message));
        while self.marks.is_empty() || !self.open.is_empty() {
            let Some(rest) = came.get(self.at..) else { return Ok(false) };
            let Some(Head { length, payload, children }) = head(rest)? else {
                return if self.at < limits.message { Ok(false) } else { long };
            };
            // What is announced is refused before it comes; each object has a byte at least.
            let ends = (self.at + length) as u64 + payload;
            let to_come = self.open.iter().fold(children, |sum, left| sum.saturating_add(*left));
            if ends.saturating_add(to_come.saturating_sub(u64::from(!self.open.is_empty())))
                > limits.message as u64
            {
                return long;
            }
            if self.open.len() >= limits.depth && children > 0 {
                return Err(Garbled::Deep(limits.depth));
            }
            self.at = ends as usize;
            if self.marks.is_empty() {
                // A map of two entries has four objects too.
                if !is_array(came) || !matches!(children, 3 | 4) {
                    return Err(Garbled::NoMessage);
                }
                self.marks.push(self.at);
                self.open.push(children);
                continue;
            }
            self.one_less(children);
        }
        Ok(came.len() >= self.at)
    }

    /// An object has been met, with so many of its own to come.
    fn one_less(&mut self, children: u64) {
        if let Some(left) = self.open.last_mut() {
            *left -= 1;
        }
        if children > 0 {
            self.open.push(children);
        }
        while self.open.len() > 1 && self.open.last() == Some(&0) {
            self.open.pop();
        }
        // Nothing but the message itself is open: one of its fields is whole.
        if self.open.len() == 1 {
            self.marks.push(self.at);
            self.open.retain(|left| *left > 0);
        }
    }

    /// Bytes of the message, once it is whole.
    pub fn length(&self) -> usize {
        self.at
    }

    /// Where a field is, once the message is whole; none where it has none of that number.
    pub fn field(&self, n: usize) -> Option<Range<usize>> {
        Some(*self.marks.get(n)?..*self.marks.get(n + 1)?)
    }
}
