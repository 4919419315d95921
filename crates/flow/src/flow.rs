//! One direction of one stream: what has come from its source and not yet gone to its sink, and what may come now.

use crate::memory::Lane;
use crate::pace::{Pace, Slowest};
use thiserror::Error;

/// What a route allows a stream in one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Bytes in all.
    pub size: u64,
    /// Bytes held at once.
    pub hold: usize,
    /// Bytes that are kept after they have gone, so that all of it can go again; at most `hold`. 0 for none.
    pub replay: usize,
    /// The slowest that either side may be.
    pub slowest: Option<Slowest>,
    /// How long it may take, in milliseconds.
    pub longest_ms: f64,
}

/// Why a stream is cut short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum Cut {
    /// More came than may.
    #[error("more bytes than the route allows")]
    TooMuch,
    /// The side that it comes from is too slow, though it is waited for.
    #[error("its source is too slow")]
    SlowSource,
    /// The side that it goes to is.
    #[error("its sink is too slow")]
    SlowSink,
    /// It takes longer than it may.
    #[error("it takes too long")]
    TooLong,
    /// Its source broke off.
    #[error("its source broke off")]
    Broken,
}

/// Part of what may be held that is worth reading.
const LITTLE: usize = 8;
/// Part that comes at once while something waits.
const PART: usize = 4;

/// The state of a direction.
#[derive(Debug)]
pub struct Flow {
    terms: Terms,
    lane: Lane,
    source: Option<Pace>,
    sink: Option<Pace>,
    /// Bytes that have come.
    came: u64,
    /// Bytes that have come and not gone.
    waiting: usize,
    /// What has gone is still held.
    whole: bool,
    ended: bool,
    /// Somebody takes what comes.
    wanted: bool,
    ends_ms: f64,
}

impl Flow {
    /// Nothing has come yet; it begins now.
    pub fn new(now: f64, terms: Terms, lane: Lane) -> Flow {
        let pace = || terms.slowest.map(Pace::new);
        let mut flow = Flow {
            terms,
            lane,
            source: pace(),
            sink: pace(),
            came: 0,
            waiting: 0,
            whole: true,
            ended: false,
            wanted: true,
            ends_ms: now + terms.longest_ms,
        };
        flow.settle(now);
        flow
    }

    /// How much may come now. While something waits, little room is none: bytes that come a few at a time cost more than
    /// they are (the silly window of RFC 9293, 3.8.6.2.1). And it comes in small parts: a sink that does not keep up
    /// holds one or two of them itself, beside what is held here.
    pub fn room(&self) -> usize {
        let room = self.lane.room(self.terms.hold);
        match self.waiting {
            _ if self.ended || !self.wanted => 0,
            0 => room,
            _ if room < self.terms.hold / LITTLE => 0,
            _ => room.min(self.terms.hold / PART),
        }
    }

    /// Bytes that have come and not gone.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Bytes that have come.
    pub fn came_in_all(&self) -> u64 {
        self.came
    }

    /// Bytes that are held, gone ones that are kept among them.
    pub fn held(&self) -> usize {
        self.lane.held()
    }

    /// All that has come is still held, so that it can go again from the start.
    pub fn whole(&self) -> bool {
        self.whole
    }

    /// Bytes have come from the source.
    ///
    /// # Errors
    /// They are more than may; they are not held.
    pub fn came(&mut self, now: f64, bytes: usize) -> Result<(), Cut> {
        if self.came.saturating_add(bytes as u64) > self.terms.size {
            return Err(Cut::TooMuch);
        }
        self.came += bytes as u64;
        self.lane.take(bytes);
        self.waiting += bytes;
        if let Some(pace) = &mut self.source {
            pace.moved(now, bytes);
        }
        if self.came > self.terms.replay as u64 {
            self.let_go();
        }
        self.settle(now);
        Ok(())
    }

    /// The source has sent its last byte.
    pub fn ended(&mut self, now: f64) {
        self.ended = true;
        self.settle(now);
    }

    /// Bytes have gone to the sink.
    pub fn went(&mut self, now: f64, bytes: usize) {
        let bytes = bytes.min(self.waiting);
        self.waiting -= bytes;
        if !self.whole {
            self.lane.give(bytes);
        }
        if let Some(pace) = &mut self.sink {
            pace.moved(now, bytes);
        }
        self.settle(now);
    }

    /// Nothing may come before [`Flow::again`], and its source is not waited for: nobody is there to take it.
    pub fn hold_back(&mut self, now: f64) {
        self.wanted = false;
        self.settle(now);
    }

    /// All that has come is to go again from the start; false where it is not held any more.
    pub fn again(&mut self, now: f64) -> bool {
        self.wanted = true;
        if self.whole {
            self.waiting = self.lane.held();
            self.settle(now);
        }
        self.whole
    }

    /// What has gone is kept no longer.
    pub fn let_go(&mut self) {
        if std::mem::replace(&mut self.whole, false) {
            self.lane.give(self.lane.held().saturating_sub(self.waiting));
        }
    }

    /// Whom it waits for: the source while there is room, the sink while something waits.
    fn settle(&mut self, now: f64) {
        // What is kept must not be all that is held: nothing could come any more.
        if self.whole && !self.ended && self.waiting == 0 && self.lane.room(self.terms.hold) == 0 {
            self.let_go();
        }
        let (reads, writes) = (self.room() > 0, self.waiting > 0);
        if let Some(pace) = &mut self.source {
            pace.awaited(now, reads);
        }
        if let Some(pace) = &mut self.sink {
            pace.awaited(now, writes);
        }
    }

    /// When [`Flow::look`] is to be called, in milliseconds.
    pub fn look_ms(&self) -> f64 {
        let paces = [&self.source, &self.sink].into_iter().flatten().filter_map(Pace::look_ms);
        paces.fold(self.ends_ms, f64::min)
    }

    /// Looks at the time: whether it may go on.
    ///
    /// # Errors
    /// It may not, and why.
    pub fn look(&mut self, now: f64) -> Result<(), Cut> {
        self.settle(now);
        if now >= self.ends_ms {
            return Err(Cut::TooLong);
        }
        if self.sink.as_mut().is_some_and(|pace| !pace.look(now)) {
            return Err(Cut::SlowSink);
        }
        if self.source.as_mut().is_some_and(|pace| !pace.look(now)) {
            return Err(Cut::SlowSource);
        }
        Ok(())
    }
}
