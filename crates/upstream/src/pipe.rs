//! One direction of a stream between a client's connection and a backend's. It buffers bytes that were
//! received and not yet sent, within the limits of `applemill-flow`. The two ends wake each other; a separate
//! task enforces the time limits.

use crate::clock::Clock;
use applemill_flow::{CutReason, Flow, StreamLimits, StreamReservation};
use applemill_socket::{Turn, TurnQueue};
use bytes::{Bytes, BytesMut};
use hyper::HeaderMap;
use std::cell::{RefCell, RefMut};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// The steps of streams in a round of the event loop; each is one read or write.
const STEPS_PER_ROUND: usize = 4;
/// Parts shorter than this are coalesced into parts of up to [`COALESCED_PART_BYTES`].
const SMALL_PART_BYTES: usize = 1024;
const COALESCED_PART_BYTES: usize = 4 * 1024;

struct StreamState {
    flow: Flow,
    /// Bytes that were sent and are kept to be sent again.
    replay_buffer: BytesMut,
    /// Bytes to be sent, in order; `coalesced` follows `queue` and holds small parts. A small part by itself
    /// would take much more memory than it is counted with.
    queue: VecDeque<Bytes>,
    coalesced: BytesMut,
    /// How the stream ended: complete, with its trailers, or cut short.
    end: Option<Result<HeaderMap, CutReason>>,
    /// The reader does not need any more bytes.
    reader_gone: bool,
    writer_waker: Option<Waker>,
    reader_waker: Option<Waker>,
    /// When the task that enforces the time limits wakes next, in milliseconds of the clock.
    sleeping_until_ms: f64,
    recheck: Rc<Notify>,
    clock: Clock,
    /// Called once the received bytes are no longer all held.
    on_not_replayable: Option<NotReplayableCallback>,
}

type NotReplayableCallback = Box<dyn FnOnce()>;

impl StreamState {
    fn is_closed(&self) -> bool {
        self.reader_gone || matches!(self.end, Some(Err(_)))
    }

    fn finish(&mut self, end: Result<HeaderMap, CutReason>) {
        if self.end.is_none() {
            self.flow.source_ended(self.clock.now_ms());
            self.end = Some(end);
            self.wake_both();
        }
    }

    /// Cuts the stream short, even if its writer has finished: the reader has not received everything yet.
    fn cut(&mut self, reason: CutReason) {
        if !self.is_closed() {
            self.end = Some(Err(reason));
            self.wake_both();
        }
    }

    fn wake_both(&mut self) {
        self.writer_waker.take().into_iter().chain(self.reader_waker.take()).for_each(Waker::wake);
    }

    fn recheck_if_earlier(&self) {
        if self.flow.next_check_ms() < self.sleeping_until_ms {
            self.recheck.notify_one();
        }
    }

    /// Drops the replay buffer if the stream is not replayable any more. The caller runs the returned
    /// callback after it has released its borrow of the stream.
    #[must_use]
    fn release_replay_buffer(&mut self) -> Option<NotReplayableCallback> {
        if self.flow.is_replayable() {
            return None;
        }
        self.replay_buffer = BytesMut::new();
        self.on_not_replayable.take()
    }

    fn enqueue(&mut self, bytes: Bytes) {
        if bytes.len() >= SMALL_PART_BYTES && self.coalesced.is_empty() {
            return self.queue.push_back(bytes);
        }
        self.coalesced.extend_from_slice(&bytes);
        if self.coalesced.len() >= COALESCED_PART_BYTES {
            self.queue.push_back(std::mem::take(&mut self.coalesced).freeze());
        }
    }

    fn dequeue(&mut self) -> Option<Bytes> {
        let coalesced_rest =
            || Some(std::mem::take(&mut self.coalesced).freeze()).filter(|b| !b.is_empty());
        let next = self.queue.pop_front().or_else(coalesced_rest)?;
        if self.flow.is_replayable() {
            self.replay_buffer.extend_from_slice(&next);
        }
        Some(next)
    }
}

/// Follows each transfer. The callback may use the stream again, so the borrow ends before it.
fn after_transfer(mut state: RefMut<'_, StreamState>) {
    state.recheck_if_earlier();
    let on_not_replayable = state.release_replay_buffer();
    drop(state);
    if let Some(on_not_replayable) = on_not_replayable {
        on_not_replayable();
    }
}

impl Drop for StreamState {
    fn drop(&mut self) {
        // Otherwise the task that enforces the time limits would stay until its next check.
        self.recheck.notify_one();
    }
}

/// The writing end of a stream. Dropping it before [`StreamWriter::finish`] cuts the stream short.
pub struct StreamWriter {
    shared: Rc<RefCell<StreamState>>,
    turns: TurnQueue,
    turn: Rc<Turn>,
}

/// The reading end of a stream. Dropping it closes the stream, unless the reader belongs to a [`Replay`].
pub struct StreamReader {
    shared: Rc<RefCell<StreamState>>,
    turns: TurnQueue,
    turn: Rc<Turn>,
    owned_by_replay: bool,
}

/// A stream that can be sent to one backend after another, as long as all sent bytes are held. Dropping it
/// closes the stream.
pub struct Replay {
    shared: Rc<RefCell<StreamState>>,
    turns: TurnQueue,
}

/// An item read from a stream.
#[derive(Debug)]
pub enum StreamItem {
    /// Bytes of the body.
    Data(Bytes),
    /// The end of a complete stream, with its trailers.
    End(HeaderMap),
    /// The stream was cut short.
    Cut(CutReason),
}

/// Opens streams and shares the event loop fairly among all streams of a node.
#[derive(Clone)]
pub struct StreamPool {
    clock: Clock,
    turns: TurnQueue,
}

impl StreamPool {
    /// A pool without streams.
    pub fn new(clock: Clock) -> StreamPool {
        StreamPool { clock, turns: TurnQueue::new(STEPS_PER_ROUND) }
    }

    /// Opens a stream. Needs a running `LocalSet`.
    pub fn open(
        &self,
        stream_limits: StreamLimits,
        reservation: StreamReservation,
    ) -> (StreamWriter, StreamReader) {
        open(self.clock, self.turns.clone(), stream_limits, reservation)
    }
}

fn open(
    clock: Clock,
    turns: TurnQueue,
    stream_limits: StreamLimits,
    reservation: StreamReservation,
) -> (StreamWriter, StreamReader) {
    let flow = Flow::new(clock.now_ms(), stream_limits, reservation);
    let recheck = Rc::new(Notify::new());
    let shared = Rc::new(RefCell::new(StreamState {
        flow,
        replay_buffer: BytesMut::new(),
        queue: VecDeque::new(),
        coalesced: BytesMut::new(),
        end: None,
        reader_gone: false,
        writer_waker: None,
        reader_waker: None,
        sleeping_until_ms: 0.0,
        recheck: recheck.clone(),
        clock,
        on_not_replayable: None,
    }));
    spawn_local(watch_time_limits(Rc::downgrade(&shared), recheck));
    let writer = StreamWriter { shared: shared.clone(), turns: turns.clone(), turn: Rc::default() };
    (writer, StreamReader { shared, turns, turn: Rc::default(), owned_by_replay: false })
}

/// Enforces the time limits until the stream is closed. It does not keep the stream alive.
async fn watch_time_limits(shared: Weak<RefCell<StreamState>>, recheck: Rc<Notify>) {
    loop {
        let due = {
            let Some(shared) = shared.upgrade() else { return };
            let mut state = shared.borrow_mut();
            if state.is_closed() {
                return;
            }
            let now = state.clock.now_ms();
            if let Err(reason) = state.flow.check(now) {
                state.cut(reason);
                return;
            }
            state.sleeping_until_ms = state.flow.next_check_ms();
            state.clock.instant(state.sleeping_until_ms)
        };
        tokio::select! {
            () = tokio::time::sleep_until(due.into()) => {}
            () = recheck.notified() => {}
        }
    }
}

impl StreamWriter {
    /// Waits until bytes can be pushed; returns how many.
    ///
    /// # Errors
    /// The reader is gone, or the stream was cut short.
    pub fn poll_capacity(&self, cx: &mut Context<'_>) -> Poll<Result<usize, ReaderGone>> {
        let mut state = self.shared.borrow_mut();
        if state.is_closed() {
            return Poll::Ready(Err(ReaderGone));
        }
        match state.flow.capacity() {
            0 => {
                state.writer_waker = Some(cx.waker().clone());
                Poll::Pending
            }
            capacity => self.turns.poll(&self.turn, cx).map(|()| Ok(capacity)),
        }
    }

    /// Waits until the reader is gone or the stream is cut short.
    pub fn poll_closed(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.shared.borrow_mut();
        if state.is_closed() {
            return Poll::Ready(());
        }
        state.writer_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Appends bytes, at most as many as [`StreamWriter::poll_capacity`] has returned.
    pub fn push(&self, bytes: Bytes) {
        let mut state = self.shared.borrow_mut();
        if bytes.is_empty() || state.is_closed() {
            return;
        }
        let now = state.clock.now_ms();
        if let Err(reason) = state.flow.received(now, bytes.len()) {
            return state.cut(reason);
        }
        state.enqueue(bytes);
        if let Some(reader_waker) = state.reader_waker.take() {
            reader_waker.wake();
        }
        after_transfer(state);
    }

    /// Ends the stream as complete, with its trailers.
    pub fn finish(&self, trailers: HeaderMap) {
        self.shared.borrow_mut().finish(Ok(trailers));
    }

    /// Why the stream was cut short, if it was.
    pub fn cut_reason(&self) -> Option<CutReason> {
        self.shared.borrow().end.as_ref().and_then(|end| end.as_ref().err()).copied()
    }
}

impl Drop for StreamWriter {
    fn drop(&mut self) {
        self.shared.borrow_mut().finish(Err(CutReason::Broken));
    }
}

/// The reader of a stream is gone, or the stream was cut short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderGone;

impl StreamReader {
    /// Waits for the next item. Returned bytes count as sent.
    pub fn poll_next(&self, cx: &mut Context<'_>) -> Poll<StreamItem> {
        let mut state = self.shared.borrow_mut();
        if let Some(Err(reason)) = state.end {
            return Poll::Ready(StreamItem::Cut(reason));
        }
        let has_data = !state.queue.is_empty() || !state.coalesced.is_empty();
        if has_data && self.turns.poll(&self.turn, cx).is_pending() {
            return Poll::Pending;
        }
        if let Some(bytes) = state.dequeue() {
            let now = state.clock.now_ms();
            state.flow.sent(now, bytes.len());
            if let Some(writer_waker) = state.writer_waker.take() {
                writer_waker.wake();
            }
            after_transfer(state);
            return Poll::Ready(StreamItem::Data(bytes));
        }
        if let Some(Ok(trailers)) = &state.end {
            return Poll::Ready(StreamItem::End(trailers.clone()));
        }
        state.reader_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Makes the stream replayable. Its writer is paused until [`Replay::reader`] is called.
    pub fn into_replay(mut self) -> Replay {
        self.owned_by_replay = true;
        let mut state = self.shared.borrow_mut();
        let now = state.clock.now_ms();
        state.flow.pause(now);
        drop(state);
        Replay { shared: self.shared.clone(), turns: self.turns.clone() }
    }
}

impl Drop for StreamReader {
    fn drop(&mut self) {
        if !self.owned_by_replay {
            let mut state = self.shared.borrow_mut();
            state.reader_gone = true;
            state.wake_both();
        }
    }
}

impl Replay {
    /// A reader from the start of the stream; `None` if the sent bytes are no longer all held.
    pub fn reader(&self) -> Option<StreamReader> {
        let mut state = self.shared.borrow_mut();
        let now = state.clock.now_ms();
        if !state.flow.restart(now) {
            return None;
        }
        let replay_buffer = std::mem::take(&mut state.replay_buffer).freeze();
        if !replay_buffer.is_empty() {
            state.queue.push_front(replay_buffer);
        }
        if let Some(writer_waker) = state.writer_waker.take() {
            writer_waker.wake();
        }
        let (shared, turns) = (self.shared.clone(), self.turns.clone());
        Some(StreamReader { shared, turns, turn: Rc::default(), owned_by_replay: true })
    }

    /// Sets the callback for when the received bytes are no longer all held. It is called at once if that is
    /// the case already.
    pub fn on_not_replayable(&self, on_not_replayable: Box<dyn FnOnce()>) {
        let mut state = self.shared.borrow_mut();
        if state.flow.is_replayable() {
            state.on_not_replayable = Some(on_not_replayable);
        } else {
            drop(state);
            on_not_replayable();
        }
    }
}

impl Drop for Replay {
    fn drop(&mut self) {
        let mut state = self.shared.borrow_mut();
        state.reader_gone = true;
        state.wake_both();
    }
}
