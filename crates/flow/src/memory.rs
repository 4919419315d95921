//! The memory shared by the bodies of all requests. The part of a stream grows and shrinks; a buffered body
//! holds its part until it is dropped.
//!
//! Each direction of a stream has a floor, a number of bytes that no other can take. No stream therefore
//! waits for another: one that may not read holds at least its floor and continues as soon as its sink takes
//! bytes. Above the floors, free memory is shared by a dynamic threshold (Choudhury and Hahne, 1998): no
//! stream grows past the amount that stays free after it has grown. Streams with much demand end up with
//! equal parts, some memory is always left for a new stream, and no queue of waiting streams is needed.
//! Buffered bodies may use all free memory; streams never use the reserve.

use std::cell::Cell;
use std::rc::Rc;
use thiserror::Error;

/// How the memory is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLayout {
    /// The total size.
    pub total_bytes: usize,
    /// The part that streams never use, left for buffered bodies, such as those of bids.
    pub body_reserve_bytes: usize,
    /// What each direction of a stream may hold regardless of the others.
    pub stream_floor_bytes: usize,
    /// How many directions of streams may be open at the same time.
    pub max_directions: usize,
}

/// There is not enough free memory. Nothing was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the memory for bodies is used up")]
pub struct OutOfMemory;

#[derive(Debug)]
struct MemoryState {
    layout: MemoryLayout,
    directions: Cell<usize>,
    /// What streams hold above their floors.
    above_floor_bytes: Cell<usize>,
    body_bytes: Cell<usize>,
}

/// The shared memory; clones refer to the same one.
#[derive(Clone, Debug)]
pub struct Memory(Rc<MemoryState>);

impl Memory {
    /// A memory that is entirely free.
    pub fn new(layout: MemoryLayout) -> Memory {
        Memory(Rc::new(MemoryState {
            layout,
            directions: Cell::new(0),
            above_floor_bytes: Cell::new(0),
            body_bytes: Cell::new(0),
        }))
    }

    /// The layout.
    pub fn layout(&self) -> MemoryLayout {
        self.0.layout
    }

    /// The number of open directions of streams.
    pub fn open_directions(&self) -> usize {
        self.0.directions.get()
    }

    /// The bytes that count for streams: their floors, in use or not, and what they hold above them.
    pub fn stream_bytes(&self) -> usize {
        self.0.directions.get() * self.0.layout.stream_floor_bytes + self.0.above_floor_bytes.get()
    }

    /// The bytes that buffered bodies hold.
    pub fn body_bytes(&self) -> usize {
        self.0.body_bytes.get()
    }

    /// The free bytes that streams may use above their floors.
    fn free_above(&self) -> usize {
        let MemoryLayout { total_bytes, body_reserve_bytes, .. } = self.0.layout;
        let streams = self.stream_bytes();
        let stream_share = total_bytes.saturating_sub(body_reserve_bytes).saturating_sub(streams);
        stream_share.min(total_bytes.saturating_sub(streams).saturating_sub(self.body_bytes()))
    }

    /// Reserves the floor for one more direction of a stream.
    ///
    /// # Errors
    /// The number of directions is at its limit, or not enough memory is free for the floor.
    pub fn reserve_stream(&self) -> Result<StreamReservation, OutOfMemory> {
        let MemoryLayout { stream_floor_bytes, max_directions, .. } = self.0.layout;
        if self.open_directions() >= max_directions || self.free_above() < stream_floor_bytes {
            return Err(OutOfMemory);
        }
        self.0.directions.set(self.open_directions() + 1);
        Ok(StreamReservation { memory: self.clone(), held_bytes: 0 })
    }

    /// Reserves memory for a buffered body.
    ///
    /// # Errors
    /// Not enough memory is free.
    pub fn reserve_body(&self, bytes: usize) -> Result<BodyReservation, OutOfMemory> {
        let mut reservation = BodyReservation { memory: self.clone(), bytes: 0 };
        reservation.grow(bytes)?;
        Ok(reservation)
    }
}

/// The memory of one direction of a stream; released when dropped.
#[derive(Debug)]
pub struct StreamReservation {
    memory: Memory,
    held_bytes: usize,
}

impl StreamReservation {
    fn above_floor_bytes(&self) -> usize {
        self.held_bytes.saturating_sub(self.memory.0.layout.stream_floor_bytes)
    }

    /// The bytes held.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// How many more bytes it may hold now, if it is limited to `max_bytes` in total.
    pub fn available(&self, max_bytes: usize) -> usize {
        let stream_floor_bytes = self.memory.0.layout.stream_floor_bytes;
        let below_floor = stream_floor_bytes.saturating_sub(self.held_bytes);
        // Above its floor, a stream may hold at most as much as stays free afterwards, hence the half.
        let above_floor = self.memory.free_above().saturating_sub(self.above_floor_bytes()) / 2;
        (below_floor + above_floor).min(max_bytes.saturating_sub(self.held_bytes))
    }

    /// Adds held bytes. Adding more than [`StreamReservation::available`] is the caller's mistake and still
    /// counted, because the bytes exist.
    pub fn grow(&mut self, bytes: usize) {
        let previous = self.above_floor_bytes();
        self.held_bytes += bytes;
        let above_floor_bytes = &self.memory.0.above_floor_bytes;
        above_floor_bytes.set(above_floor_bytes.get() + (self.above_floor_bytes() - previous));
    }

    /// Releases held bytes.
    pub fn shrink(&mut self, bytes: usize) {
        let previous = self.above_floor_bytes();
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
        let above_floor_bytes = &self.memory.0.above_floor_bytes;
        above_floor_bytes.set(above_floor_bytes.get().saturating_sub(previous - self.above_floor_bytes()));
    }
}

impl Drop for StreamReservation {
    fn drop(&mut self) {
        self.shrink(self.held_bytes);
        self.memory.0.directions.set(self.memory.open_directions().saturating_sub(1));
    }
}

/// The memory of a buffered body; released when dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: Memory,
    bytes: usize,
}

impl BodyReservation {
    /// Reserves more bytes.
    ///
    /// # Errors
    /// Not enough memory is free; the reservation is unchanged.
    pub fn grow(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let Memory(state) = &self.memory;
        let used = self.memory.stream_bytes() + self.memory.body_bytes();
        if bytes > state.layout.total_bytes.saturating_sub(used) {
            return Err(OutOfMemory);
        }
        state.body_bytes.set(state.body_bytes.get() + bytes);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let body_bytes = &self.memory.0.body_bytes;
        body_bytes.set(body_bytes.get().saturating_sub(self.bytes));
    }
}
