//! The ids of requests that are open.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The ids of open requests.
#[derive(Clone, Default)]
pub(crate) struct OpenIds(Rc<RefCell<HashSet<HeaderValue>>>);

/// Removes the id of an open request when dropped.
pub(crate) struct OpenIdGuard {
    open_ids: OpenIds,
    id: HeaderValue,
}

impl OpenIds {
    /// Adds an id; `None` if an open request has the same one.
    pub(crate) fn open(&self, id: HeaderValue) -> Option<OpenIdGuard> {
        let is_new = self.0.borrow_mut().insert(id.clone());
        is_new.then(|| OpenIdGuard { open_ids: self.clone(), id })
    }
}

impl Drop for OpenIdGuard {
    fn drop(&mut self) {
        self.open_ids.0.borrow_mut().remove(&self.id);
    }
}
