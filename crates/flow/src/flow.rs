//! One direction of a stream: counts the bytes received from its source and not yet sent to its sink, and
//! limits how many may be read now.

use crate::memory::StreamReservation;
use crate::pace::{MinRate, Pace};
use thiserror::Error;

/// A route's limits for one direction of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamLimits {
    /// The largest size in bytes.
    pub max_bytes: u64,
    /// The largest number of bytes held at the same time.
    pub buffer_bytes: usize,
    /// How many bytes are kept after they were sent, to send the whole stream again; at most `buffer_bytes`,
    /// 0 for none.
    pub replay_bytes: usize,
    /// The minimum rate of either side; `None` for no minimum.
    pub min_rate: Option<MinRate>,
    /// The longest duration, in milliseconds.
    pub max_duration_ms: f64,
}

/// Why a stream is cut short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum CutReason {
    /// More bytes were received than allowed.
    #[error("more bytes than the route allows")]
    TooMuch,
    /// The source is slower than the minimum rate while its bytes are awaited.
    #[error("the source is too slow")]
    SlowSource,
    /// The sink is slower than the minimum rate while bytes are pending for it.
    #[error("the sink is too slow")]
    SlowSink,
    /// The stream exceeds its longest duration.
    #[error("the stream takes too long")]
    TooLong,
    /// The source ended before the stream was complete.
    #[error("the source broke off")]
    Broken,
}

/// While bytes are pending, at least `buffer_bytes` divided by this is read at once.
const MIN_READ_DIVISOR: usize = 8;
/// While bytes are pending, at most `buffer_bytes` divided by this is read at once.
const MAX_READ_DIVISOR: usize = 4;

/// The flow-control state of one direction of a stream.
#[derive(Debug)]
pub struct Flow {
    limits: StreamLimits,
    reservation: StreamReservation,
    source_pace: Option<Pace>,
    sink_pace: Option<Pace>,
    received_bytes: u64,
    /// Received and not yet sent.
    pending_bytes: usize,
    /// All bytes that were sent are still held.
    replayable: bool,
    ended: bool,
    /// False while paused: no sink is attached.
    has_reader: bool,
    ends_at_ms: f64,
}

impl Flow {
    /// A stream that starts now, without any bytes.
    pub fn new(now: f64, limits: StreamLimits, reservation: StreamReservation) -> Flow {
        let pace = || limits.min_rate.map(Pace::new);
        let mut flow = Flow {
            limits,
            reservation,
            source_pace: pace(),
            sink_pace: pace(),
            received_bytes: 0,
            pending_bytes: 0,
            replayable: true,
            ended: false,
            has_reader: true,
            ends_at_ms: now + limits.max_duration_ms,
        };
        flow.update_awaited(now);
        flow
    }

    /// How many bytes may be read now. While bytes are pending, a small capacity counts as 0, because reading
    /// a few bytes at a time is inefficient (the silly window syndrome, RFC 9293, 3.8.6.2.1). A large one is
    /// split into parts, because a sink that does not keep up holds one or two parts itself, in addition to
    /// what is held here.
    pub fn capacity(&self) -> usize {
        let available = self.reservation.available(self.limits.buffer_bytes);
        match self.pending_bytes {
            _ if self.ended || !self.has_reader => 0,
            0 => available,
            _ if available < self.limits.buffer_bytes / MIN_READ_DIVISOR => 0,
            _ => available.min(self.limits.buffer_bytes / MAX_READ_DIVISOR),
        }
    }

    /// The bytes that were received and not yet sent.
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// The bytes received so far.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// The bytes held, including sent ones that are kept for a replay.
    pub fn held_bytes(&self) -> usize {
        self.reservation.held_bytes()
    }

    /// Whether all received bytes are still held, so that they can be sent again from the start.
    pub fn is_replayable(&self) -> bool {
        self.replayable
    }

    /// Records bytes received from the source.
    ///
    /// # Errors
    /// The size limit is exceeded; the bytes are not counted.
    pub fn received(&mut self, now: f64, bytes: usize) -> Result<(), CutReason> {
        if self.received_bytes.saturating_add(bytes as u64) > self.limits.max_bytes {
            return Err(CutReason::TooMuch);
        }
        self.received_bytes += bytes as u64;
        self.reservation.grow(bytes);
        self.pending_bytes += bytes;
        if let Some(pace) = &mut self.source_pace {
            pace.record_progress(now, bytes);
        }
        if self.received_bytes > self.limits.replay_bytes as u64 {
            self.stop_replay();
        }
        self.update_awaited(now);
        Ok(())
    }

    /// Records that the source has sent its last byte.
    pub fn source_ended(&mut self, now: f64) {
        self.ended = true;
        self.update_awaited(now);
    }

    /// Records bytes sent to the sink.
    pub fn sent(&mut self, now: f64, bytes: usize) {
        let bytes = bytes.min(self.pending_bytes);
        self.pending_bytes -= bytes;
        if !self.replayable {
            self.reservation.shrink(bytes);
        }
        if let Some(pace) = &mut self.sink_pace {
            pace.record_progress(now, bytes);
        }
        self.update_awaited(now);
    }

    /// Stops reading until [`Flow::restart`], while no sink is attached. The source is not held to its rate
    /// meanwhile.
    pub fn pause(&mut self, now: f64) {
        self.has_reader = false;
        self.update_awaited(now);
    }

    /// Makes all received bytes pending again, for a new sink; returns false if they are no longer all held.
    pub fn restart(&mut self, now: f64) -> bool {
        self.has_reader = true;
        if self.replayable {
            self.pending_bytes = self.reservation.held_bytes();
            self.update_awaited(now);
        }
        self.replayable
    }

    /// Releases sent bytes and keeps none from now on.
    pub fn stop_replay(&mut self) {
        if std::mem::replace(&mut self.replayable, false) {
            self.reservation.shrink(self.reservation.held_bytes().saturating_sub(self.pending_bytes));
        }
    }

    /// Updates which side is awaited: the source while there is capacity, the sink while bytes are pending.
    fn update_awaited(&mut self, now: f64) {
        // Bytes kept for a replay must not fill the whole buffer: nothing more could be read.
        if self.replayable
            && !self.ended
            && self.pending_bytes == 0
            && self.reservation.available(self.limits.buffer_bytes) == 0
        {
            self.stop_replay();
        }
        let (awaits_source, awaits_sink) = (self.capacity() > 0, self.pending_bytes > 0);
        if let Some(pace) = &mut self.source_pace {
            pace.set_awaited(now, awaits_source);
        }
        if let Some(pace) = &mut self.sink_pace {
            pace.set_awaited(now, awaits_sink);
        }
    }

    /// When [`Flow::check`] must be called next, in milliseconds.
    pub fn next_check_ms(&self) -> f64 {
        let paces =
            [&self.source_pace, &self.sink_pace].into_iter().flatten().filter_map(Pace::next_check_ms);
        paces.fold(self.ends_at_ms, f64::min)
    }

    /// Checks the time limits.
    ///
    /// # Errors
    /// The reason why the stream must be cut short.
    pub fn check(&mut self, now: f64) -> Result<(), CutReason> {
        self.update_awaited(now);
        if now >= self.ends_at_ms {
            return Err(CutReason::TooLong);
        }
        if self.sink_pace.as_mut().is_some_and(|pace| !pace.check(now)) {
            return Err(CutReason::SlowSink);
        }
        if self.source_pace.as_mut().is_some_and(|pace| !pace.check(now)) {
            return Err(CutReason::SlowSource);
        }
        Ok(())
    }
}
