//! The answer that a front waits for.

use crate::call::Reply;
use crate::driver::{Driver, Input};
use applemill_balancer::interface::RequestId;
use applemill_ledger::Answer;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Waits for the answer to a submitted request. Dropping it before the answer reports that the client has
/// left.
pub struct PendingAnswer {
    pub(crate) driver: Rc<Driver>,
    pub(crate) id: RequestId,
    pub(crate) answer: oneshot::Receiver<Answer<Reply>>,
}

impl PendingAnswer {
    /// Returns a function after whose call no attempt of the request begins any more.
    pub fn attempt_stopper(&self) -> impl FnOnce() + use<> {
        let (driver, id) = (self.driver.clone(), self.id);
        move || driver.handle(Input::NotReplayable(id))
    }

    /// Waits for the answer.
    pub async fn answer(mut self) -> Answer<Reply> {
        (&mut self.answer).await.unwrap_or(Answer::Failed)
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        self.driver.handle(Input::ClientLeft(self.id));
    }
}
