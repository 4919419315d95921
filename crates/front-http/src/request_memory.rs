//! The memory that a request holds until it is answered: its head and its buffered body.
//!
//! Each connection may hold a small amount without asking, for which the number of connections is limited, so
//! that a small request is never refused because of large ones.

use applemill_flow::{BodyReservation, Memory, OutOfMemory};
use hyper::HeaderMap;

/// What a request may hold without a reservation.
pub(crate) const UNRESERVED_BYTES: usize = 4 * 1024;
/// What a field of a head takes besides its text: its place in the map of fields.
const FIELD_OVERHEAD_BYTES: usize = 128;

/// The memory of one request.
pub(crate) struct RequestMemory {
    memory: Memory,
    unreserved_bytes: usize,
    reservation: Option<BodyReservation>,
}

impl RequestMemory {
    /// A request that holds nothing yet.
    pub(crate) fn new(memory: &Memory) -> RequestMemory {
        RequestMemory { memory: memory.clone(), unreserved_bytes: 0, reservation: None }
    }

    /// Adds what a parsed head holds.
    ///
    /// # Errors
    /// Not enough memory is free.
    pub(crate) fn add_head(&mut self, headers: &HeaderMap) -> Result<(), OutOfMemory> {
        let text_bytes: usize =
            headers.iter().map(|(name, value)| name.as_str().len() + value.as_bytes().len()).sum();
        self.grow(text_bytes + headers.len() * FIELD_OVERHEAD_BYTES)
    }

    /// Adds bytes.
    ///
    /// # Errors
    /// Not enough memory is free.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let unreserved = bytes.min(UNRESERVED_BYTES.saturating_sub(self.unreserved_bytes));
        let reserved = bytes - unreserved;
        match &mut self.reservation {
            _ if reserved == 0 => {}
            Some(reservation) => reservation.grow(reserved)?,
            None => self.reservation = Some(self.memory.reserve_body(reserved)?),
        }
        self.unreserved_bytes += unreserved;
        Ok(())
    }

    /// The reservation, to be held as long as the request; `None` if it needs none.
    pub(crate) fn into_reservation(self) -> Option<BodyReservation> {
        self.reservation
    }
}
