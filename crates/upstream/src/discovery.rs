//! The list of backends: initially from the configuration, then from a watch on discovery.

use crate::discovery_calls::{CallEnd, CallTasks};
use crate::driver::{Driver, Input};
use applemill_balancer::interface::{BackendId, Discovery, Entry, Health, ListKind};
use applemill_balancer::wire::{stable_hash, zone_id};
use applemill_ledger::Target;
use applemill_socket::Descriptors;
use applemill_watch_calls::{BootTimes, CallId, CallTiming, ListUse, ListVersion, Step, WatchCalls};
use serde_json::Value;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tracing::{info, warn};

/// A list from discovery, or the one in the configuration.
pub struct Listing {
    revision: u64,
    is_full: bool,
    /// The entries, without malformed ones.
    pub targets: Vec<Target>,
}

/// Parses a list in discovery's format; `None` if it is not one. Malformed entries are logged and skipped:
/// one of them must not hide the others.
pub fn parse_listing(json: &Value) -> Option<Listing> {
    let revision = json.get("rev")?.as_u64()?;
    let is_full = json.get("all").and_then(Value::as_bool).unwrap_or(false);
    let entries = json.get("targets")?.as_array()?;
    let mut targets = Vec::with_capacity(entries.len());
    for entry in entries {
        match parse_entry(entry) {
            Ok(target) => targets.push(target),
            Err(field) => {
                let text = entry.to_string();
                warn!(field, entry = %format_args!("{text:.200}"), "discovery: entry skipped");
            }
        }
    }
    Some(Listing { revision, is_full, targets })
}

fn parse_entry(json: &Value) -> Result<Target, &'static str> {
    let text = |field: &str| json.get(field).and_then(Value::as_str);
    let uid = text("uid").filter(|u| !u.is_empty()).ok_or("uid")?;
    let health = match text("state") {
        Some("up") => Health::Up,
        Some("draining") => Health::Draining,
        Some("removed") => Health::Gone,
        _ => return Err("state"),
    };
    let address = match text("endpoint") {
        Some(text) => Some(text.parse().map_err(|_| "endpoint")?),
        None if health == Health::Gone => None,
        None => return Err("endpoint"),
    };
    let number = |field: &'static str, default: f64| match json.get(field) {
        None | Some(Value::Null) => Ok(default),
        Some(v) => v.as_f64().ok_or(field),
    };
    let cell = match json.get("pod_group") {
        None | Some(Value::Null) => None,
        Some(cell) => Some(parse_cell(cell).ok_or("pod_group")?),
    };
    let entry = Entry {
        backend: BackendId(stable_hash(uid)),
        zone: text("az").and_then(zone_id),
        cell,
        health,
        units: number("capacity_hint", 1.0)?,
        // Unix time; the caller converts it to the driver's clock.
        ready_at_ms: number("boot_ms", 0.0)?,
    };
    Ok(Target { entry, address })
}

/// A whole number, also where it is written with a fraction of zero.
fn parse_cell(json: &Value) -> Option<u32> {
    let number = json.as_f64()?;
    let is_cell = number.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&number);
    is_cell.then_some(number as u32)
}

/// Keeps a pool's list of backends up to date.
pub struct DiscoveryWatch {
    /// The address of discovery; a new configuration may change it.
    pub address: watch::Receiver<SocketAddr>,
    /// How the list is delivered.
    pub mode: Discovery,
    /// The time limits of the calls.
    pub timing: CallTiming,
    /// The pool of descriptors that the connections count against.
    pub descriptors: Rc<Descriptors>,
    /// Whether the balancer wants to watch, with [`Discovery::OnRequest`].
    pub watch_requests: mpsc::UnboundedReceiver<bool>,
    /// Since when the node has held the list that it starts with.
    pub held_since: Instant,
}

impl DiscoveryWatch {
    /// Starts the watch, in a task that runs until the driver is gone. From now on the driver's list is under
    /// a lease.
    pub fn start(self, driver: Rc<Driver>) {
        let DiscoveryWatch { mut address, mode, timing, descriptors, watch_requests, held_since } = self;
        let caller = Caller {
            at: *address.borrow_and_update(),
            mode,
            boot_times: BootTimes::new(driver.clock.reading()),
            calls: WatchCalls::new(timing, driver.clock.at_ms(held_since)),
            tasks: CallTasks::new(descriptors),
            failing: false,
            wanted: mode == Discovery::Pushed,
            list_expired: false,
            driver,
        };
        caller.pass_on_lease();
        spawn_local(caller.run(address, watch_requests));
    }
}

/// Sleeps until a time; for ever if there is none.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

/// Carries out the steps of [`WatchCalls`], and passes the lists on to the driver.
struct Caller {
    at: SocketAddr,
    mode: Discovery,
    calls: WatchCalls,
    boot_times: BootTimes,
    tasks: CallTasks,
    /// The last call has failed, which has been logged.
    failing: bool,
    /// Whether to call at all.
    wanted: bool,
    /// The lease of the list has expired, which has been logged.
    list_expired: bool,
    driver: Rc<Driver>,
}

impl Caller {
    async fn run(
        mut self,
        mut address: watch::Receiver<SocketAddr>,
        mut watch_requests: mpsc::UnboundedReceiver<bool>,
    ) {
        let caller = &mut self;
        let mode = caller.mode;
        loop {
            while let Ok(wanted) = watch_requests.try_recv() {
                caller.wanted = wanted;
            }
            let due = caller.start_due_calls();
            tokio::select! {
                Some(end) = caller.tasks.next_end() => caller.handle(end),
                () = sleep_until(due) => {}
                request = watch_requests.recv(), if mode == Discovery::OnRequest => match request {
                    Some(wanted) => caller.wanted = wanted,
                    None => return,
                },
                Ok(()) = address.changed() => caller.move_to(*address.borrow_and_update()),
            }
        }
    }

    /// Starts and drops calls, and returns when to do so again; `None` if nothing is planned.
    fn start_due_calls(&mut self) -> Option<Instant> {
        let clock = self.driver.clock;
        for (id, at) in self.tasks.take_movements() {
            self.calls.moved(clock.at_ms(at), id);
        }
        for step in self.calls.tick(clock.now_ms(), self.wanted) {
            match step {
                Step::Start(id, query) => self.tasks.start(id, self.at, query),
                Step::Drop(id) => self.drop_call(id),
                Step::Discard(id) => {
                    self.tasks.abort(id);
                }
            }
        }
        self.pass_on_lease();
        self.report_expiry();
        let due = self.calls.due(self.wanted);
        due.is_finite().then(|| clock.instant(due))
    }

    /// Tells the driver until when it may use its list.
    fn pass_on_lease(&self) {
        self.driver.handle(Input::ListLease(self.calls.lease().expires_ms()));
    }

    /// Logs that no server is used any more until discovery answers, and later that it has.
    fn report_expiry(&mut self) {
        let has_expired = self.driver.clock.now_ms() > self.calls.lease().expires_ms();
        if has_expired && !self.list_expired {
            warn!("discovery: the list is not confirmed in time: no server is used until it is");
        } else if !has_expired && self.list_expired {
            info!("discovery: the list is confirmed");
        }
        self.list_expired = has_expired;
    }

    fn drop_call(&mut self, id: CallId) {
        if self.tasks.abort(id) {
            self.report_failure("no answer in time");
        }
    }

    /// Handles the end of a call.
    fn handle(&mut self, (id, result): CallEnd) {
        let now = self.driver.clock.now_ms();
        let (mut listing, conn) = match result {
            Ok(answer) => answer,
            Err(e) => {
                self.calls.failed(now, id);
                self.report_failure(&e.to_string());
                return;
            }
        };
        let version = ListVersion { revision: listing.revision, is_full: listing.is_full };
        let (list_use, steps) = self.calls.answered(now, id, version);
        for step in steps {
            if let Step::Drop(other) = step {
                self.tasks.abort(other);
            }
        }
        self.tasks.idle_conn = Some(conn);
        if self.failing {
            info!("discovery: requests succeed again");
            self.failing = false;
        }
        self.convert_boot_times(&mut listing);
        self.pass_on(listing, list_use);
        self.pass_on_lease();
    }

    /// Converts the times at which backends booted from Unix time to the driver's clock.
    fn convert_boot_times(&mut self, listing: &mut Listing) {
        let reading = self.driver.clock.reading();
        self.boot_times.observe(reading);
        if listing.is_full {
            let listed: HashSet<u64> =
                listing.targets.iter().map(|target| target.entry.backend.0).collect();
            self.boot_times.retain(|backend| listed.contains(&backend));
        }
        for Target { entry, .. } in &mut listing.targets {
            // Zero stands for a boot long ago.
            if entry.ready_at_ms > 0.0 {
                let boot_unix_ms = entry.ready_at_ms;
                entry.ready_at_ms =
                    self.boot_times.boot_at_ms(entry.backend.0, boot_unix_ms, reading.now_ms);
            }
        }
    }

    /// Passes a list on to the driver, as far as it may be used.
    fn pass_on(&self, listing: Listing, list_use: ListUse) {
        match list_use {
            ListUse::Everything => {
                // With OnRequest, an empty list of changes says that the call has succeeded.
                let has_news = listing.is_full || !listing.targets.is_empty();
                if has_news || self.mode == Discovery::OnRequest {
                    let kind = if listing.is_full { ListKind::Full } else { ListKind::Changes };
                    self.driver.handle(Input::List(kind, listing.targets));
                }
            }
            ListUse::Departures => {
                let revision = listing.revision;
                warn!(
                    revision,
                    "discovery: list out of order: used for servers that leave, and asked for again"
                );
                let leaves = |target: &Target| target.entry.health != Health::Up;
                let departures: Vec<Target> = listing.targets.into_iter().filter(leaves).collect();
                if !departures.is_empty() {
                    self.driver.handle(Input::List(ListKind::Changes, departures));
                }
            }
        }
    }

    fn report_failure(&mut self, cause: &str) {
        if !self.failing {
            warn!("discovery: request failed: {cause}");
            self.failing = true;
        }
        if self.mode == Discovery::OnRequest {
            // The balancer paces the calls: each one loads the single service that all nodes share.
            self.wanted = false;
            self.driver.handle(Input::List(ListKind::Failed, Vec::new()));
        }
    }

    /// Another discovery service has other revisions: its full list is requested at once, and answers to calls
    /// to the old one would belong to another list.
    fn move_to(&mut self, at: SocketAddr) {
        if self.at != at {
            self.at = at;
            self.calls.restart(self.driver.clock.now_ms());
            self.tasks.abort_all();
            self.wanted = true;
            self.pass_on_lease();
        }
    }
}
