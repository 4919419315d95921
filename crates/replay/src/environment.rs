//! The environment of a replay: a fresh node, manually controlled backends, discovery and an operator's
//! file for the scenario.

use applemill_balancer::interface::{Effect, Settings};
use applemill_explore::Scenario;
use applemill_explore::scenario::Notice;
use applemill_explore::world::{SEED, cell, name};
use applemill_stand_ins::{ByHand, Discovery, Node};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

/// The environment of one replay.
pub struct Environment {
    /// The node.
    pub node: Node,
    discovery: Discovery,
    list: Vec<Value>,
    /// The backends, by the index that [`Environment::backend_at`] returns.
    pub backends: Vec<ByHand>,
    backend_by_address: HashMap<SocketAddr, usize>,
}

fn target(backend: usize, address: SocketAddr) -> Value {
    json!({"uid": name(backend), "endpoint": address.to_string(), "az": "a", "model": "m",
           "pod_group": cell(backend), "state": "up", "capacity_hint": 1.0, "boot_ms": 0})
}

/// The world's settings in the platform's form. Their only class is not used by any route.
fn config(settings: &Settings, discovery: SocketAddr) -> Value {
    let longest = settings.classes.first().map_or(1000.0, |c| c.deadline_ms);
    json!({
        "name": "n0", "discovery": discovery.to_string(), "seed": SEED,
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"rev": 0, "all": true, "targets": []},
        "settings": {
            "areas": ["a"], "instances": settings.instances, "slotNo": settings.slot, "tickMs": settings.tick_ms,
            "membershipMode": "pushed", "overShareWorth": settings.over_share_worth,
            "classes": [{"name": "other", "semantics": "idempotent", "hardLimitMs": longest}],
            "limits": {"attemptsCap": settings.max_attempts, "connIdleMs": settings.conn_idle_ms,
                       "connectTimeoutMs": settings.connect_timeout_ms, "mayCancel": settings.may_cancel,
                       "maxRetryAfterMs": settings.max_retry_after_ms, "maxStreams": settings.max_streams,
                       "openCap": settings.open_cap, "retryAfter": settings.retry_after,
                       "secondCopies": settings.second_copies},
            "rules": {"coldMs": settings.cold_ms, "startCapacity": settings.start_capacity,
                      "fallMultiple": settings.fall_multiple, "fallMs": settings.fall_ms,
                      "drainGraceMs": settings.drain_grace_ms}
        }
    })
}

/// An operator's file with a class and a route for each client.
fn routes(settings: &Settings) -> String {
    let mut text = String::new();
    for (n, class) in settings.classes.iter().enumerate() {
        let effect = match class.effect {
            Effect::Safe => "effect = \"safe\"\nretry = \"may-have-run\"\n".to_owned(),
            Effect::Unsafe => "effect = \"unsafe\"\n".to_owned(),
            Effect::Keyed(_) => format!(
                "effect = \"keyed\"\nretry = \"may-have-run\"\nrepeats_dropped_by = \"cell\"\nrepeats_dropped_for = \"{}ms\"\n",
                class.key_ttl_ms
            ),
        };
        let copy = match class.route.second_copy_ms {
            ms if ms.is_finite() => format!("second_copy_after = \"{ms}ms\"\n"),
            _ => String::new(),
        };
        text.push_str(&format!(
            "[class.c{n}]\n{effect}patience = \"{}ms\"\nattempts = {}\nattempt_timeout = \"{}ms\"\n{copy}\
             [[route]]\nname = \"c{n}\"\npath = \"/c{n}\"\nclass = \"c{n}\"\npool = \"platform\"\n\
             key = {{ header = \"X-Object\" }}\n",
            class.deadline_ms, class.route.attempts, class.route.attempt_timeout_ms
        ));
    }
    text
}

impl Environment {
    /// Starts everything. `program` is the command of the node.
    ///
    /// # Errors
    /// The node does not become ready.
    pub fn start(scenario: &Scenario, program: Command) -> Result<Environment, Box<dyn Error>> {
        let backends = (0..scenario.backends).map(|_| ByHand::start()).collect::<Result<Vec<_>, _>>()?;
        let list: Vec<Value> =
            backends.iter().enumerate().map(|(n, backend)| target(n, backend.address)).collect();
        let discovery = Discovery::start(list.clone());
        let settings = scenario.settings();
        let mut node = Node::run_both(program, config(&settings, discovery.address), &routes(&settings))?;
        node.get_ready()?;
        Ok(Environment { node, discovery, list, backends, backend_by_address: HashMap::new() })
    }

    /// Sets the address that a backend has in the world.
    pub fn set_address(&mut self, address: SocketAddr, backend: usize) {
        self.backend_by_address.insert(address, backend);
    }

    /// The index of the backend at an address of the world.
    pub fn backend_at(&self, address: SocketAddr) -> Option<usize> {
        self.backend_by_address.get(&address).copied()
    }

    /// Gives the node a notice through discovery, and waits until it has applied it. `moved` is the address
    /// in the world to which backend 0 has moved.
    ///
    /// # Errors
    /// The node does not poll discovery again, or no other backend can be started.
    pub fn give_notice(&mut self, notice: Notice, moved: Option<SocketAddr>) -> Result<(), Box<dyn Error>> {
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs_f64() * 1000.0;
        let new = match (notice, moved) {
            (Notice::Move, Some(address)) => {
                let backend = ByHand::start()?;
                let new = backend.address;
                self.backends.push(backend);
                self.backend_by_address.insert(address, self.backends.len() - 1);
                Some(new)
            }
            _ => None,
        };
        let first = self.list.first_mut().ok_or("no backend")?;
        match notice {
            Notice::Drain => first["state"] = "draining".into(),
            Notice::Remove => first["state"] = "removed".into(),
            Notice::Restart => first["boot_ms"] = now_ms.into(),
            Notice::Move => {
                first["boot_ms"] = now_ms.into();
                first["endpoint"] = new.map(|a| a.to_string()).into();
            }
        }
        self.discovery.set(self.list.clone());
        if self.discovery.is_heard() {
            Ok(())
        } else {
            Err("the node did not poll discovery again after a notice".into())
        }
    }
}
