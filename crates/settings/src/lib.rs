//! Converts an operator's file to the types of the balancer: classes, settings and static server lists. No
//! I/O and no clock. `applemill-operator` reads files and handles versions and reloads; `applemill-routes`
//! defines the format.

use applemill_balancer::interface::{
    BackendId, Class, Effect, Entry, Group, Health, RouteValues, Settings,
};
use applemill_balancer::wire::{self, Names, WireError, stable_hash};
use applemill_blame::BlameConfig;
use applemill_ledger::Target;
use applemill_routes::{DroppedBy, Effect as RouteEffect, File, Plan, Pool, Retry, Server};
use serde_json::json;

/// Worth of an answer that arrives after the objective but before the deadline, relative to one within the
/// objective.
const LATE_ANSWER_WORTH: f64 = 0.3;

/// Converts a plan to a class of the balancer. `None` if the plan's class is not in the file.
pub fn class_of_plan(file: &File, plan: &Plan) -> Option<Class> {
    let class = file.classes.get(plan.class)?;
    let group = match class.dropped_by.as_ref().map(|d| d.value) {
        Some(DroppedBy::Pool) => Group::All,
        Some(DroppedBy::Zone) => Group::Zone,
        _ => Group::Cell,
    };
    Some(Class {
        objective_ms: class
            .objective_ms
            .as_ref()
            .map_or(plan.deadline_ms, |objective| objective.value.min(plan.deadline_ms)),
        deadline_ms: plan.deadline_ms,
        worth: class.worth.as_ref().map_or(1.0, |w| w.value),
        late_worth: LATE_ANSWER_WORTH,
        effect: match class.effect.as_ref().map(|e| e.value) {
            Some(RouteEffect::Safe) => Effect::Safe,
            Some(RouteEffect::Keyed) => Effect::Keyed(group),
            _ => Effect::Unsafe,
        },
        key_ttl_ms: class.dropped_for_ms.as_ref().map_or(0.0, |d| d.value),
        objective_stretch: 0.0,
        route: RouteValues {
            attempts: plan.attempts,
            attempt_timeout_ms: plan.attempt_timeout_ms.unwrap_or(f64::INFINITY),
            retry_possibly_executed: plan.retry == Retry::MayHaveRun,
            second_copy_ms: plan.second_copy_ms.unwrap_or(f64::INFINITY),
        },
    })
}

/// The configuration of failure attribution; `None` if the file switches it off.
pub fn blame_config(file: &File) -> Option<BlameConfig> {
    let (blame, node) = (&file.blame, &file.node);
    blame.on.then(|| BlameConfig {
        memory_ms: blame.memory_ms,
        hold_failure_rate: blame.hold_failure_rate,
        trial_fraction: blame.trial_fraction,
        trials_per_s: blame.trials,
        initial_pause_ms: blame.initial_pause_ms,
        max_pause_ms: blame.max_pause_ms,
        max_retry_after_ms: if node.retry_after { node.retry_after_max_ms } else { 0.0 },
        ..BlameConfig::default()
    })
}

/// Settings of the pools that the operator's file defines, with a placeholder class: the caller sets the
/// classes.
///
/// # Errors
/// The values of the file are not valid settings.
pub fn pool_settings(file: &File) -> Result<(Settings, Names), WireError> {
    let (node, fleet) = (&file.node, &file.fleet);
    let tenants: Vec<_> =
        file.tenants.iter().map(|t| json!({"name": t.name.value, "quotaRps": t.rate})).collect();
    let settings = json!({
        "zone": node.zone.as_ref().map_or("", |z| &z.value),
        "instances": fleet.nodes, "slotNo": fleet.number, "tickMs": 1.0, "membershipMode": "pushed",
        "classes": [{"name": "none", "hardLimitMs": 1000.0}], "tenants": tenants, "overShareWorth": 0.1,
        "limits": {"attemptsCap": 16, "mayCancel": true, "secondCopies": true, "retryAfter": node.retry_after,
                   "maxRetryAfterMs": node.retry_after_max_ms, "openCap": node.open_requests, "maxStreams": 1,
                   "connIdleMs": node.idle_timeout_ms, "connectTimeoutMs": node.connect_timeout_ms},
        "rules": {"coldMs": fleet.cold_ms, "startCapacity": fleet.start_capacity,
                  "fallMultiple": fleet.fall_multiple, "fallMs": fleet.fall_ms},
    });
    wire::settings(&settings.to_string())
}

/// The static list that a reload replaces.
#[derive(Clone, Copy)]
pub struct PreviousList<'a> {
    /// The pool in the previous version of the file.
    pub pool: &'a Pool,
    /// The time of the reload, in milliseconds of the pool's clock.
    pub now_ms: f64,
}

/// Converts a pool's static list to targets. A server that is not in the `previous` list has just started
/// and is cold from the time of the reload on, unless the file marks it as warm: adding servers must not
/// overload them. If no server of the previous list remains, all are treated as warm, as there is no other
/// server to send the load to.
pub fn static_targets(pool: &Pool, previous: Option<PreviousList<'_>>) -> Vec<Target> {
    let was_listed =
        |server: &Server| {
            previous.is_some_and(|previous| {
                previous.pool.servers.iter().any(|old| {
                    old.name.value == server.name.value && old.address.value == server.address.value
                })
            })
        };
    let any_remains = pool.servers.iter().any(was_listed);
    let cold_since_ms = |server: &Server| {
        previous
            .filter(|_| any_remains && !server.warm && !was_listed(server))
            .map_or(0.0, |previous| previous.now_ms)
    };
    let target = |server: &Server| Target {
        entry: Entry {
            // Two pools may each have a server of the same name.
            backend: BackendId(stable_hash(&format!("{}/{}", pool.name.value, server.name.value))),
            zone: server.zone.as_ref().and_then(|z| wire::zone_id(&z.value)),
            cell: server.cell.as_ref().map(|c| c.value),
            health: Health::Up,
            units: server.weight,
            ready_at_ms: cold_since_ms(server),
        },
        address: Some(server.address.value),
    };
    pool.servers.iter().map(target).collect()
}
