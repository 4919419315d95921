//! Client requests: arrivals, tries at nodes, answers, time-outs and retries.

use super::{ClientTry, Event, Lab, START_MS};
use crate::clients::node_of;
use crate::node::TryId;
use crate::record::{End, Rule};
use applemill_balancer::interface::{Effect as ClassEffect, Request, RequestId};
use applemill_balancer::wire::stable_hash;
use applemill_blame::RequestTraits;
use applemill_ledger::{Answer, Input};
use std::rc::Rc;

/// How long before the client gives up the deadline of the decisions is; the same margin as in the HTTP
/// front.
const DEADLINE_MARGIN_MS: f64 = applemill_routes::MARGIN_MS;
/// How long before the client gives up the ledger ends the request, whatever the decisions do.
const EXPIRY_MARGIN_MS: f64 = 1.0;
/// Tolerance when times are compared, because events are rounded to nanoseconds.
const TIME_TOLERANCE_MS: f64 = 1e-3;

impl Lab<'_> {
    /// Schedules the next arrival of a group.
    pub(super) fn schedule_arrival(&mut self, group: usize) {
        let (Some(config), Some(client_group)) =
            (self.world.clients.get(group), self.client_groups.get_mut(group))
        else {
            return;
        };
        if let Some(at) =
            client_group.next_arrival(config, self.now - START_MS, self.world.seconds * 1000.0)
        {
            self.schedule(START_MS + at, Event::ClientArrives(group));
        }
    }

    pub(super) fn client_arrives(&mut self, group: usize) {
        let (Some(config), Some(client_group)) =
            (self.world.clients.get(group), self.client_groups.get_mut(group))
        else {
            return;
        };
        self.requests_arrived += 1;
        let request = client_group.draw_request(config, group, self.requests_arrived, self.now - START_MS);
        let request = self.requests.insert(request);
        if let Some(g) = self.record.groups.get_mut(group) {
            g.asked += 1;
        }
        if let Some(s) = self.current_second() {
            s.asked += 1;
        }
        self.schedule_arrival(group);
        self.start_try(request);
    }

    pub(super) fn start_try(&mut self, number: usize) {
        let Some(client_request) = self.requests.get_mut(number) else { return };
        client_request.tries += 1;
        let (is_retry, client_request) = (client_request.tries > 1, client_request.clone());
        if let Some(g) = self.record.groups.get_mut(client_request.group) {
            g.tries += 1;
        }
        if let Some(s) = self.current_second().filter(|_| is_retry) {
            s.retries += 1;
        }
        let (Some(config), Some(path)) =
            (self.world.clients.get(client_request.group), self.floor.paths.get(client_request.group))
        else {
            return;
        };
        // Connections are distributed over the running nodes only: a stopped node is noticed at once.
        let running = self.nodes.iter().filter(|n| n.pools.is_some()).count();
        let index = node_of(self.seed, client_request.number, client_request.tries, running);
        let node = self.nodes.iter().enumerate().filter(|(_, n)| n.pools.is_some()).nth(index);
        let Some(node) = node.map(|(n, _)| n) else {
            return self.finish_try(number, End::Lost, 0.0);
        };
        let id = self.next_try_id;
        self.next_try_id += 1;
        let deadline_ms = self.now + path.patience_ms;
        let client_try = ClientTry {
            request: number,
            request_number: client_request.number,
            attempts: 0,
            node,
            pool: path.pool,
            client_waits: true,
            answered: false,
            open_exchanges: 0,
            runs: 0,
            first_run: None,
            deadline_ms,
        };
        self.tries.insert(id, client_try);
        self.trace(Some(id), || {
            format!(
                "try {} of client {} ({}) at node {node}",
                client_request.tries, client_request.number, config.name
            )
        });
        self.schedule(deadline_ms, Event::ClientGivesUp(id));
        let tenant = config.tenants.get(client_request.tenant).map_or("", |(name, _)| name.as_str());
        let key = path.key(config, client_request.key, tenant);
        let tenant = path.tenant(config, client_request.key, tenant);
        let names = self.floor.pools.get(path.pool).map(|p| &p.names);
        let request = Request {
            id: RequestId(id),
            class: path.class,
            tenant: tenant.as_deref().and_then(|t| names?.tenant(t)),
            key,
            deadline_ms: deadline_ms - DEADLINE_MARGIN_MS,
            effort_ms: None,
            retry: false,
            suspect: false,
        };
        let work = self.floor.rules.file.blame.on.then(|| {
            Rc::new(RequestTraits {
                route: Some(path.route),
                class: path.class as u64,
                tenant: tenant.as_deref().map(stable_hash),
                key,
                ..RequestTraits::default()
            })
        });
        let expires_ms = deadline_ms - EXPIRY_MARGIN_MS;
        let input = Input::Arrived { request, expires_ms, upload_ms: None, work, call: id, owed: id };
        self.deliver(node, path.pool, input);
    }

    /// A node answers a try.
    pub(super) fn node_answered(&mut self, id: TryId, answer: &Answer<()>) {
        let now = self.now;
        self.trace(Some(id), || format!("answered: {answer:?}"));
        let Some(client_try) = self.tries.get_mut(&id) else {
            return self.record_violation(
                Rule::Answer,
                "an answer to a try that is over".to_owned(),
                Some(id),
            );
        };
        let answered_before = std::mem::replace(&mut client_try.answered, true);
        let (client_waits, request, deadline_ms) =
            (client_try.client_waits, client_try.request, client_try.deadline_ms);
        if answered_before {
            return self.record_violation(Rule::Answer, "a second answer".to_owned(), Some(id));
        }
        // A node that was notified that the client has left still answers; nobody receives it.
        if client_waits {
            client_try.client_waits = false;
            if now > deadline_ms + TIME_TOLERANCE_MS {
                let late_ms = now - deadline_ms;
                self.record_violation(
                    Rule::Answer,
                    format!("answered {late_ms:.1} ms after its client gave up"),
                    Some(id),
                );
            }
            match answer {
                Answer::Served(()) => self.finish_try(request, End::Served, 0.0),
                Answer::Refused { retry_after_ms } => {
                    self.finish_try(request, End::Refused, *retry_after_ms)
                }
                Answer::Failed => self.finish_try(request, End::Failed, 0.0),
            }
        }
        self.drop_finished_try(id);
    }

    /// Ends a try: its client tries again, or the request ends with this result. `retry_after_ms` is the time
    /// that a refusal named, 0 for none.
    pub(super) fn finish_try(&mut self, number: usize, end: End, retry_after_ms: f64) {
        let Some(request) = self.requests.get(number).cloned() else { return };
        let (Some(config), Some(path)) =
            (self.world.clients.get(request.group), self.floor.paths.get(request.group))
        else {
            return;
        };
        // A refused request never ran; a failed one may have.
        let may_retry = end == End::Refused || end != End::Served && path.effect != ClassEffect::Unsafe;
        if may_retry
            && request.tries <= config.retries
            && let Some(client_group) = self.client_groups.get_mut(request.group)
        {
            let delay_ms = client_group.retry_delay_ms(config, request.tries, retry_after_ms);
            return self.schedule(self.now + delay_ms, Event::ClientTries(number));
        }
        self.requests.remove(number);
        let duration_ms = self.now - START_MS - request.arrived_ms;
        if let Some(group) = self.record.groups.get_mut(request.group) {
            group.end(end, duration_ms, path.objective_ms);
        }
        if let Some(s) = self.current_second() {
            match end {
                End::Served => s.served += 1,
                End::Refused => s.refused += 1,
                End::Failed | End::GivenUp | End::Lost => s.failed += 1,
            }
        }
    }

    /// The client's time-out of a try.
    pub(super) fn client_gives_up(&mut self, id: TryId) {
        let Some(client_try) = self.tries.get_mut(&id).filter(|t| t.client_waits) else { return };
        client_try.client_waits = false;
        let (request, node, pool) = (client_try.request, client_try.node, client_try.pool);
        self.trace(Some(id), || "its client gives up".to_owned());
        self.record_violation(
            Rule::Answer,
            "its client gave up before it had an answer".to_owned(),
            Some(id),
        );
        self.deliver(node, pool, Input::ClientLeft(RequestId(id)));
        self.finish_try(request, End::GivenUp, 0.0);
        self.drop_finished_try(id);
    }

    /// Drops a try whose client no longer waits and whose exchanges have all ended.
    pub(super) fn drop_finished_try(&mut self, id: TryId) {
        if self.tries.get(&id).is_some_and(|t| !t.client_waits && t.open_exchanges == 0) {
            self.tries.remove(&id);
        }
    }
}
