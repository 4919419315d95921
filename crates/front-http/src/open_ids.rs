//! The ids of requests that are open, or that may have run: none of them may run again.

use crate::recent_ids::RecentIds;
use applemill_balancer::interface::{Effect, Group};
use applemill_routes as routes;
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

/// When the id of a request is kept after its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeepId {
    /// The request may run again.
    Never,
    /// If its client has left without an answer: where ids are only unique among requests that are open, a
    /// client that has its answer may use the same one for something else.
    IfUnanswered,
    /// Unless it is known not to have run: where ids are new for each request.
    IfMayHaveRun,
}

impl KeepId {
    /// For a request of the platform, whose ids are new for each request, also for a client's retry (PROTOCOL).
    pub(crate) fn for_platform(effect: Effect) -> KeepId {
        match effect {
            Effect::Safe | Effect::Keyed(Group::All) => KeepId::Never,
            // Another group of servers may not know the key.
            Effect::Unsafe | Effect::Keyed(Group::Zone | Group::Cell) => KeepId::IfMayHaveRun,
        }
    }

    /// For a request of a route, whose id may be that of a trace of several requests.
    pub(crate) fn for_route(class: Option<&routes::Class>) -> KeepId {
        let effect = class.and_then(|class| class.effect.as_ref()).map(|effect| effect.value);
        let dropped_by = class.and_then(|class| class.dropped_by.as_ref()).map(|scope| scope.value);
        match (effect, dropped_by) {
            (Some(routes::Effect::Safe), _) => KeepId::Never,
            (Some(routes::Effect::Keyed), Some(routes::DroppedBy::Pool)) => KeepId::Never,
            _ => KeepId::IfUnanswered,
        }
    }
}

/// The id that a client gave its request.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequestId {
    pub(crate) value: HeaderValue,
    pub(crate) keep: KeepId,
}

/// How a request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestEnd {
    /// It has not been submitted to a pool, or it was refused.
    NeverRan,
    /// It was submitted, and its client has no answer.
    Unanswered,
    Answered,
}

/// Why an id cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdConflict {
    /// A request with this id is open.
    Open,
    /// A request with this id may have run.
    MayHaveRun,
}

struct Ids {
    open: HashSet<HeaderValue>,
    may_have_run: RecentIds,
}

/// The ids of requests; clones refer to the same ones.
#[derive(Clone)]
pub(crate) struct OpenIds(Rc<RefCell<Ids>>);

impl OpenIds {
    /// No ids. `kept_ids` are kept after the end of their requests.
    pub(crate) fn new(kept_ids: usize) -> OpenIds {
        OpenIds(Rc::new(RefCell::new(Ids { open: HashSet::new(), may_have_run: RecentIds::new(kept_ids) })))
    }

    /// Adds the id of a request.
    ///
    /// # Errors
    /// Another request with the id is open or may have run.
    pub(crate) fn open(&self, id: ClientRequestId) -> Result<OpenIdGuard, IdConflict> {
        let mut ids = self.0.borrow_mut();
        if ids.open.contains(&id.value) {
            return Err(IdConflict::Open);
        }
        if id.keep != KeepId::Never && ids.may_have_run.contains(&id.value) {
            return Err(IdConflict::MayHaveRun);
        }
        ids.open.insert(id.value.clone());
        Ok(OpenIdGuard { open_ids: self.clone(), id, end: Cell::new(RequestEnd::NeverRan) })
    }
}

/// Removes the id of an open request when dropped, and keeps it among those that may have run if it has to.
pub(crate) struct OpenIdGuard {
    open_ids: OpenIds,
    id: ClientRequestId,
    end: Cell<RequestEnd>,
}

impl OpenIdGuard {
    /// The request is submitted to a pool, and may run from now on.
    pub(crate) fn set_submitted(&self) {
        self.end.set(RequestEnd::Unanswered);
    }

    /// The request was refused: it has not run.
    pub(crate) fn set_refused(&self) {
        self.end.set(RequestEnd::NeverRan);
    }

    /// The request has another answer than a refusal.
    pub(crate) fn set_answered(&self) {
        self.end.set(RequestEnd::Answered);
    }
}

impl Drop for OpenIdGuard {
    fn drop(&mut self) {
        let mut ids = self.open_ids.0.borrow_mut();
        ids.open.remove(&self.id.value);
        let is_kept = match (self.id.keep, self.end.get()) {
            (KeepId::Never, _) | (_, RequestEnd::NeverRan) => false,
            (KeepId::IfUnanswered, end) => end == RequestEnd::Unanswered,
            (KeepId::IfMayHaveRun, _) => true,
        };
        if is_kept {
            ids.may_have_run.insert(&self.id.value);
        }
    }
}
