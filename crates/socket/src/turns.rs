//! Fair turns among many tasks that always have work, such as streams or handshakes. A single thread runs
//! ready tasks in the order in which they became ready: behind hundreds of busy streams, each step of a bid
//! would wait for all of them. Such tasks therefore take turns, a few steps in each round of the event loop,
//! and all other tasks run between the rounds.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// A participant that takes turns.
#[derive(Default)]
pub struct Turn {
    /// The participant may take its next step.
    granted: Cell<bool>,
    /// The waker for its turn; `None` while it is not in the queue.
    waker: RefCell<Option<Waker>>,
}

#[derive(Default)]
struct QueueState {
    steps_per_round: usize,
    steps_left: Cell<usize>,
    queue: RefCell<VecDeque<Rc<Turn>>>,
    round_needed: Notify,
}

/// The queue of participants; clones refer to the same one.
#[derive(Clone)]
pub struct TurnQueue(Rc<QueueState>);

impl TurnQueue {
    /// An empty queue that allows `steps_per_round` steps in each round. Needs a running `LocalSet`.
    pub fn new(steps_per_round: usize) -> TurnQueue {
        let state = Rc::new(QueueState {
            steps_per_round,
            steps_left: Cell::new(steps_per_round),
            ..QueueState::default()
        });
        spawn_local(run_rounds(state.clone()));
        TurnQueue(state)
    }

    /// Waits for a turn. Each step needs a turn.
    pub fn poll(&self, turn: &Rc<Turn>, cx: &mut Context<'_>) -> Poll<()> {
        let QueueState { steps_left, queue, round_needed, .. } = &*self.0;
        if turn.granted.take() {
            return Poll::Ready(());
        }
        let mut queue = queue.borrow_mut();
        if queue.is_empty() && steps_left.get() > 0 {
            steps_left.set(steps_left.get() - 1);
            if steps_left.get() == 0 {
                round_needed.notify_one();
            }
            return Poll::Ready(());
        }
        if turn.waker.replace(Some(cx.waker().clone())).is_none() {
            queue.push_back(turn.clone());
            round_needed.notify_one();
        }
        Poll::Pending
    }
}

/// Starts one round after another. Tasks that are ready run before the next round.
async fn run_rounds(state: Rc<QueueState>) {
    loop {
        state.round_needed.notified().await;
        tokio::task::yield_now().await;
        let mut granted = Vec::new();
        {
            let mut queue = state.queue.borrow_mut();
            while granted.len() < state.steps_per_round
                && let Some(turn) = queue.pop_front()
            {
                let waker = turn.waker.take();
                // A participant that was dropped leaves its turn to the next one.
                if Rc::strong_count(&turn) > 1 {
                    turn.granted.set(true);
                    granted.extend(waker);
                }
            }
            if !queue.is_empty() {
                state.round_needed.notify_one();
            }
        }
        state.steps_left.set(state.steps_per_round - granted.len());
        granted.into_iter().for_each(Waker::wake);
    }
}
