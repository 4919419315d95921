//! The rules that every attempt must keep, whatever the selection of a backend prefers.

use super::backend::Backend;
use super::open_request::OpenRequest;
use super::state::Balancer;
use crate::interface::{Effect, Group, RouteValues};

impl Balancer {
    /// Whether a second attempt of this class may do no harm. An unknown class counts as unsafe.
    pub(super) fn is_repeatable(&self, class: usize) -> bool {
        self.settings
            .classes
            .get(class)
            .is_some_and(|c| c.effect != Effect::Unsafe && c.route.retry_possibly_executed)
    }

    /// Whether the list of backends may still be used: any backend of a list that was not confirmed in time
    /// may be draining or gone.
    pub fn has_valid_list(&self, now: f64) -> bool {
        now <= self.list_lease_until_ms
    }

    /// Whether the four rules allow another attempt of this request at this backend. Checked before every
    /// send, whatever the selection prefers.
    pub(super) fn may_send(&self, now: f64, open: &OpenRequest, index: usize) -> bool {
        let backend = &self.backends[index];
        let route =
            self.settings.classes.get(open.request.class).map_or_else(RouteValues::default, |c| c.route);
        let attempts_left = (open.attempts.len() as u32) < self.max_attempts(open, &route);
        let in_time = !open.finished && now < open.request.deadline_ms;
        let copies_allowed = self.settings.second_copies || !open.has_attempt_in_flight();
        let cold_budget_left = !backend.is_cold(now, &self.settings) || backend.cold_tokens >= 1.0;
        self.has_valid_list(now)
            && in_time
            && attempts_left
            && backend.up
            && self.effect_allows(now, open, backend)
            && copies_allowed
            && cold_budget_left
    }

    fn max_attempts(&self, open: &OpenRequest, route: &RouteValues) -> u32 {
        if open.request.suspect { 1 } else { self.settings.max_attempts.min(route.attempts) }
    }

    /// Whether an attempt at this backend cannot make the request take effect twice.
    fn effect_allows(&self, now: f64, open: &OpenRequest, backend: &Backend) -> bool {
        let Some(possibly_executed) = open.first_possibly_executed() else { return true };
        let Some(class) = self.settings.classes.get(open.request.class) else { return false };
        let same_group = match class.effect {
            Effect::Unsafe => return false,
            Effect::Safe => return class.route.retry_possibly_executed,
            Effect::Keyed(Group::All) => true,
            Effect::Keyed(Group::Zone) => is_same_group(possibly_executed.zone, backend.zone),
            Effect::Keyed(Group::Cell) => is_same_group(possibly_executed.cell, backend.cell),
        };
        let key_remembered = now < possibly_executed.sent_ms + class.key_ttl_ms;
        class.route.retry_possibly_executed && same_group && key_remembered
    }
}

/// Whether two backends are known to be in one group. A group that is not known is no group: which backends
/// drop repeats there cannot be told.
fn is_same_group<G: PartialEq>(first: Option<G>, second: Option<G>) -> bool {
    first.is_some() && first == second
}
