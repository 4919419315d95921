//! The certificate manager's thread. It runs the scheduled tasks one at a time, each on a thread of its
//! own, so that one that hangs or panics affects no other.

use crate::clock::{WallClock, thread_cpu_ms};
use crate::files::{WatchedFile, read_client_authorities, read_ticket_keys, replace_client_authorities};
use crate::order::{LEASE_TIMEOUT_MS, PROOFS, advance, renewal_requested};
use crate::proofs::{Proof, Proofs};
use crate::state::{CertificateConfig, CertificateEntry, node_identity, table};
use crate::status::{CertificateStatus, status_of};
use crate::store::Store;
use applemill_background::{Budget, Priority, Schedule, TaskId, TaskSpec, TaskStatus};
use applemill_lease::Lease;
use applemill_renewal::{Record, RenewalStep};
use applemill_routes::{CertificateOrigin, File};
use applemill_tls::{ClientAuthorities, ServedCertificates, TicketKeys};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// CPU time for background work: 5 % of a core, with a burst that covers a signature or the creation of a
/// key.
const BUDGET: Budget = Budget { ms_per_s: 50.0, burst_ms: 100.0 };
/// How often files and the folder are checked, in milliseconds. A node serves a new certificate after half
/// of this on average.
const CHECK_INTERVAL_MS: f64 = 250.0;
/// Checks of files and the folder run after this delay even while bids wait, in milliseconds.
const MAX_CHECK_DELAY_MS: f64 = 2_000.0;
/// Queries for renewal information run after this delay even while bids wait, in milliseconds.
const MAX_INFO_DELAY_MS: f64 = 3_600_000.0;
/// A check that takes longer is stuck in the filesystem.
const MAX_CHECK_RUN_MS: f64 = 10_000.0;
/// An order that takes longer hangs; its steps have time limits of their own.
const MAX_ORDER_RUN_MS: f64 = 7_200_000.0;
/// Bounds for the interval between queries for renewal information, in seconds (RFC 9773, 4.3).
const MIN_INFO_INTERVAL_S: f64 = 60.0;
const MAX_INFO_INTERVAL_S: f64 = 86_400.0;
/// Retry interval while there is no certificate to ask about.
const NO_CERTIFICATE_RETRY_S: f64 = 1.0;
/// Shortest wait of the thread's loop while bids wait.
const OVERLOADED_POLL: Duration = Duration::from_millis(20);
/// Shortest wait of the thread's loop at any time.
const MIN_POLL: Duration = Duration::from_millis(1);
/// Hanging runs are abandoned with their threads. At this many, no further run starts.
const MAX_ABANDONED_RUNS: usize = 8;
/// Scheduling priority (nice value) of background threads.
const THREAD_NICENESS: i32 = 10;

/// Settings of a [`CertificateManager`].
pub struct ManagerSettings<'a> {
    /// The operator's file.
    pub file: &'a File,
    /// True while bids wait; set by the event loop.
    pub overloaded: Arc<AtomicBool>,
    /// Clock for validity and renewal times.
    pub wall_clock: WallClock,
}

/// State shared by the manager and all its runs.
pub(crate) struct Shared {
    pub(crate) node: String,
    pub(crate) wall_clock: WallClock,
    pub(crate) served: Arc<ServedCertificates>,
    pub(crate) proofs: Arc<Proofs>,
    pub(crate) store: Option<Store>,
    ticket_keys: Option<Arc<TicketKeys>>,
    ticket_key_file: Mutex<Option<WatchedFile>>,
    /// Authorities of client certificates, by listener.
    client_authorities: Vec<(SocketAddr, Arc<ClientAuthorities>)>,
    client_authority_files: Mutex<Vec<WatchedFile>>,
    config: Mutex<Arc<CertificateConfig>>,
    entries: Mutex<BTreeMap<String, CertificateEntry>>,
    leases: Mutex<HashMap<String, Lease>>,
    tasks: Mutex<Vec<TaskStatus>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub(crate) fn config(&self) -> Arc<CertificateConfig> {
        lock(&self.config).clone()
    }

    pub(crate) fn lease(&self, name: &str) -> Lease {
        lock(&self.leases).get(name).cloned().unwrap_or_else(|| Lease::new(LEASE_TIMEOUT_MS))
    }

    pub(crate) fn store_lease(&self, name: &str, lease: Lease) {
        lock(&self.leases).insert(name.to_owned(), lease);
    }

    /// The renewal record of a certificate, the number of the one in service, and its PEM chain.
    pub(crate) fn record(&self, name: &str) -> (Record, u64, Vec<u8>) {
        let entries = lock(&self.entries);
        entries.get(name).map_or_else(Default::default, |e| (e.record.clone(), e.number, e.chain.clone()))
    }

    /// Checks one certificate's files or its collection in the folder. They are read without holding a
    /// lock.
    pub(crate) fn check_certificate(&self, name: &str) {
        let config = self.config();
        let Some(certificate) = config.certificate(name) else { return };
        let mut entry = lock(&self.entries).get(name).cloned().unwrap_or_default();
        let (changed, problem) = entry.update(certificate, self.store.as_ref(), self.wall_clock.now_s());
        if let Some(why) = problem {
            warn!(certificate = name, why, "new certificate not accepted; current one stays in service");
        }
        let status = status_of(&config, certificate, &entry, &self.node, self.wall_clock.now_s());
        let label = status.standing.label();
        if label != entry.last_label {
            let ends = status.not_after;
            if status.standing.needs_attention() {
                warn!(certificate = name, standing = label, ends, "{status}");
            } else if !entry.last_label.is_empty() {
                info!(certificate = name, standing = label, ends, "{status}");
            }
            entry.last_label = label;
        }
        lock(&self.entries).insert(name.to_owned(), entry);
        if changed {
            self.publish();
        }
    }

    fn publish(&self) {
        let (config, entries) = (self.config(), lock(&self.entries));
        self.served.put(table(&config, |name| entries.get(name)));
    }

    fn check_all(&self) {
        for certificate in &self.config().certificates {
            self.check_certificate(&certificate.name.value);
        }
        self.reload_proofs();
        self.reload_ticket_keys();
        self.reload_client_authorities();
    }

    pub(crate) fn reload_proofs(&self) {
        let Some(store) = &self.store else { return };
        let names = store.names(PROOFS).unwrap_or_default();
        let load = |name: &String| serde_json::from_slice::<Proof>(&store.get(PROOFS, name).ok()??).ok();
        let proofs: Vec<Proof> = names.iter().filter_map(load).collect();
        self.proofs.replace(&proofs);
    }

    fn reload_ticket_keys(&self) {
        let (mut file, Some(ticket_keys)) = (lock(&self.ticket_key_file), &self.ticket_keys) else {
            return;
        };
        if let Some(why) =
            file.as_mut().and_then(|f| f.reload_if_changed(|path| read_ticket_keys(path, ticket_keys)))
        {
            warn!(why, "new ticket keys not accepted; current ones stay in use");
        }
    }

    fn reload_client_authorities(&self) {
        for (file, (listener, authorities)) in
            lock(&self.client_authority_files).iter_mut().zip(&self.client_authorities)
        {
            if let Some(why) = file.reload_if_changed(|path| replace_client_authorities(path, authorities))
            {
                warn!(%listener, why, "authorities of clients kept as they were");
            }
        }
    }

    /// When an order of a certificate is due and from when on it is urgent, in seconds since 1970.
    fn order_times(&self, name: &str) -> (f64, f64) {
        let config = self.config();
        let Some(certificate) = config.certificate(name) else { return (f64::INFINITY, f64::INFINITY) };
        let (mut record, number, _) = self.record(name);
        let now = self.wall_clock.now_s();
        record.normalize(now, config.authorities_for(certificate).len());
        let urgent_from = record.validity.map_or(now, |v| v.not_after - v.lifetime_s() / 4.0);
        if self.store.as_ref().is_some_and(|s| renewal_requested(s, name, number)) {
            record.revoked = true;
        }
        match record.next(&config.policy(name, &self.node), now) {
            RenewalStep::Order(_) => (now, urgent_from),
            RenewalStep::Wait(until) => (until, urgent_from.max(until)),
        }
    }

    /// Queries a certificate's authority for the renewal window. Returns the seconds until the next query.
    fn fetch_renewal_window(&self, name: &str) -> f64 {
        let config = self.config();
        let (_, _, chain) = self.record(name);
        let authority = config.certificate(name).and_then(|c| config.authorities_for(c).first().copied());
        let (Some(store), Some(authority)) = (&self.store, authority.filter(|_| !chain.is_empty())) else {
            return NO_CERTIFICATE_RETRY_S;
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let answer =
            runtime.ok().and_then(|r| r.block_on(crate::acme::renewal_window(authority, store, &chain)));
        let Some(window) = answer else { return MAX_INFO_INTERVAL_S / 4.0 };
        if let Some(entry) = lock(&self.entries).get_mut(name) {
            let bounds = Some((window.start_s, window.end_s));
            (entry.window, entry.record.window) = (bounds, bounds);
        }
        window.retry_after_s.clamp(MIN_INFO_INTERVAL_S, MAX_INFO_INTERVAL_S)
    }
}

/// The kinds of tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Job {
    CheckFiles,
    Order(String),
    RenewalInfo(String),
}

/// Result of a run.
struct RunResult {
    run: u64,
    cpu_ms: f64,
    /// Milliseconds until the task is due again, or why the run failed.
    rerun_after_ms: Result<f64, String>,
}

enum Message {
    RunEnded(RunResult),
    NewConfig(Arc<CertificateConfig>),
    Stop,
}

/// Manages the certificates of a node. Dropping it stops the thread; an order in progress ends with the
/// process.
pub struct CertificateManager {
    shared: Arc<Shared>,
    messages_tx: Sender<Message>,
}

impl CertificateManager {
    /// Loads all certificates, ticket keys and client authorities, and starts the background thread.
    ///
    /// # Errors
    /// Faults in the configured files, one line each.
    pub fn start(settings: ManagerSettings<'_>) -> Result<CertificateManager, Vec<String>> {
        let ManagerSettings { file, overloaded, wall_clock } = settings;
        let config = CertificateConfig::from_file(file);
        let store = config.tls.state.as_ref().map(|s| Store::new(Path::new(&s.value)));
        let mut entries = BTreeMap::new();
        let mut problems = Vec::new();
        for certificate in &config.certificates {
            let mut entry = CertificateEntry::default();
            let (_, problem) = entry.update(certificate, store.as_ref(), wall_clock.now_s());
            // A fault in the folder may be repaired by the next order; a file set by an operator can only
            // be repaired by the operator.
            let from_files = matches!(certificate.origin, CertificateOrigin::Files { .. });
            problems.extend(problem.filter(|_| from_files));
            entries.insert(certificate.name.value.clone(), entry);
        }
        let ticket_key_file = config.tls.ticket_keys.as_ref().map(|file| WatchedFile::new(&file.value));
        let ticket_keys = config.tls.ticket_keys.as_ref().map(|file| {
            let keys = TicketKeys::default();
            problems.extend(read_ticket_keys(&file.value, &keys).err());
            Arc::new(keys)
        });
        let (mut client_authorities, mut client_authority_files) = (Vec::new(), Vec::new());
        for listener in &file.listeners {
            let Some((path, required)) = listener.callers() else { continue };
            // The version is recorded before the read, so that a change during the read causes another
            // one.
            client_authority_files.push(WatchedFile::new(path));
            match read_client_authorities(path, required) {
                Ok(authorities) => client_authorities.push((listener.address.value, Arc::new(authorities))),
                Err(why) => problems.push(why),
            }
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        let served = Arc::new(ServedCertificates::default());
        let shared = Arc::new(Shared {
            node: node_identity(file),
            wall_clock,
            proofs: Arc::new(Proofs::new(served.clone())),
            served,
            store,
            ticket_keys,
            ticket_key_file: Mutex::new(ticket_key_file),
            client_authorities,
            client_authority_files: Mutex::new(client_authority_files),
            config: Mutex::new(Arc::new(config)),
            entries: Mutex::new(entries),
            leases: Mutex::default(),
            tasks: Mutex::default(),
        });
        shared.check_all();
        shared.publish();
        let (messages_tx, messages) = channel();
        let runner = TaskRunner {
            shared: shared.clone(),
            schedule: Schedule::new(BUDGET),
            jobs: BTreeMap::new(),
            delayed_until: BTreeMap::new(),
            running: None,
            next_run: 0,
            abandoned: 0,
            started_at: Instant::now(),
            messages_tx: messages_tx.clone(),
        };
        let started =
            thread::Builder::new().name("keeper".into()).spawn(move || runner.run(&messages, &overloaded));
        started.map_err(|e| vec![format!("cannot start a thread: {e}")])?;
        Ok(CertificateManager { shared, messages_tx })
    }

    /// The certificates in service.
    pub fn served(&self) -> Arc<ServedCertificates> {
        self.shared.served.clone()
    }

    /// Keys for session tickets; `None` if no key file is configured.
    pub fn tickets(&self) -> Option<Arc<TicketKeys>> {
        self.shared.ticket_keys.clone()
    }

    /// Authorities of client certificates for a listener; `None` if it requests no certificates.
    pub fn callers(&self, listener: SocketAddr) -> Option<Arc<ClientAuthorities>> {
        self.shared.client_authorities.iter().find(|(at, _)| *at == listener).map(|(_, a)| a.clone())
    }

    /// Proofs for ACME challenges.
    pub fn proofs(&self) -> Arc<Proofs> {
        self.shared.proofs.clone()
    }

    /// Applies a new version of the operator's file. Each certificate is updated by itself; one that is
    /// invalid stays as it was.
    pub fn reload(&self, file: &File) {
        // If the thread has ended, the certificates in service stay.
        let _ = self.messages_tx.send(Message::NewConfig(Arc::new(CertificateConfig::from_file(file))));
    }

    /// The status of all certificates.
    pub fn statuses(&self) -> Vec<CertificateStatus> {
        let (config, entries, now) =
            (self.shared.config(), lock(&self.shared.entries), self.shared.wall_clock.now_s());
        let show = |c: &applemill_routes::Certificate| {
            Some(status_of(&config, c, entries.get(&c.name.value)?, &self.shared.node, now))
        };
        config.certificates.iter().filter_map(show).collect()
    }

    /// The status of all background tasks.
    pub fn tasks(&self) -> Vec<TaskStatus> {
        lock(&self.shared.tasks).clone()
    }
}

impl Drop for CertificateManager {
    fn drop(&mut self) {
        let _ = self.messages_tx.send(Message::Stop);
    }
}

/// State of the background thread.
struct TaskRunner {
    shared: Arc<Shared>,
    schedule: Schedule,
    jobs: BTreeMap<TaskId, Job>,
    /// Earliest time of the next run of tasks that have failed or wait for a lease.
    delayed_until: BTreeMap<TaskId, f64>,
    running: Option<(TaskId, u64)>,
    next_run: u64,
    /// Abandoned runs that have not ended.
    abandoned: usize,
    started_at: Instant,
    messages_tx: Sender<Message>,
}

impl TaskRunner {
    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    fn run(mut self, messages: &Receiver<Message>, overloaded: &AtomicBool) {
        self.update_tasks();
        loop {
            let now = self.now();
            if let Some(id) = self.schedule.overrunning(now) {
                self.abandoned += 1;
                self.run_failed(id, 0.0, "run exceeded its time limit and was abandoned");
            }
            let overloaded_now = overloaded.load(Ordering::Relaxed);
            if self.abandoned < MAX_ABANDONED_RUNS
                && let Some(id) = self.schedule.next_task(now, overloaded_now)
            {
                self.start_run(id);
            }
            *lock(&self.shared.tasks) = self.schedule.statuses(now);
            let wait_ms = self.schedule.next_ms().map_or(1_000.0, |at| (at - now).clamp(0.0, 1_000.0));
            let wait = Duration::from_secs_f64(wait_ms / 1000.0).max(if overloaded_now {
                OVERLOADED_POLL
            } else {
                MIN_POLL
            });
            match messages.recv_timeout(wait) {
                Ok(Message::RunEnded(result)) => self.run_ended(result),
                Ok(Message::NewConfig(config)) => {
                    *lock(&self.shared.config) = config;
                    self.update_tasks();
                    // Changed names, defaults and removed certificates take effect at once.
                    self.shared.publish();
                }
                Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    /// Creates one task that checks all files, and two for each certificate of an authority: orders and
    /// renewal information. Removes those no longer needed.
    fn update_tasks(&mut self) {
        let config = self.shared.config();
        let ordered =
            config.certificates.iter().filter(|c| matches!(c.origin, CertificateOrigin::Authorities(_)));
        let mut jobs = vec![Job::CheckFiles];
        for name in ordered.map(|c| &c.name.value) {
            jobs.extend([Job::Order(name.clone()), Job::RenewalInfo(name.clone())]);
        }
        let removed: Vec<TaskId> =
            self.jobs.iter().filter(|(_, j)| !jobs.contains(j)).map(|(id, _)| *id).collect();
        for id in removed {
            self.schedule.remove(id);
            self.jobs.remove(&id);
        }
        for job in jobs {
            if self.jobs.values().any(|j| *j == job) {
                continue;
            }
            let (name, priority, max_run_ms) = match &job {
                Job::CheckFiles => ("look".to_owned(), Priority::Normal, MAX_CHECK_RUN_MS),
                Job::Order(name) => (format!("order {name}"), Priority::High, MAX_ORDER_RUN_MS),
                Job::RenewalInfo(name) => {
                    (format!("renewal information {name}"), Priority::Low, MAX_ORDER_RUN_MS)
                }
            };
            let due_ms = self.now();
            let id = self.schedule.add(TaskSpec { name, priority, due_ms, deadline_ms: None, max_run_ms });
            self.jobs.insert(id, job);
        }
        self.schedule_orders();
    }

    /// Sets the due times of all orders from the renewal policy, replacing earlier ones.
    fn schedule_orders(&mut self) {
        let (now, wall_clock) = (self.now(), self.shared.wall_clock.now_s());
        for (id, job) in &self.jobs {
            let Job::Order(name) = job else { continue };
            if self.running.is_some_and(|(running, _)| running == *id) {
                continue;
            }
            let (due_s, urgent_s) = self.shared.order_times(name);
            let at = |s: f64| now + (s - wall_clock) * 1000.0;
            let not_before = self.delayed_until.get(id).copied().unwrap_or(0.0);
            self.schedule.reschedule(*id, at(due_s).max(not_before), Some(at(urgent_s).max(not_before)));
        }
    }

    fn start_run(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get(&id).cloned() else { return };
        self.next_run += 1;
        let run = self.next_run;
        self.running = Some((id, run));
        let (shared, messages_tx) = (self.shared.clone(), self.messages_tx.clone());
        let started = thread::Builder::new().name("keeper-run".into()).spawn(move || {
            // This affects only the calling thread. Failure is harmless: the thread keeps normal priority.
            let _ = rustix::process::nice(THREAD_NICENESS);
            let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match &job {
                Job::CheckFiles => {
                    shared.check_all();
                    Ok(CHECK_INTERVAL_MS)
                }
                Job::Order(name) => advance(&shared, name),
                Job::RenewalInfo(name) => Ok(shared.fetch_renewal_window(name) * 1000.0),
            }));
            let rerun_after_ms = outcome.unwrap_or_else(|_| Err("task panicked".into()));
            let _ = messages_tx.send(Message::RunEnded(RunResult {
                run,
                cpu_ms: thread_cpu_ms(),
                rerun_after_ms,
            }));
        });
        if let Err(e) = started {
            self.run_failed(id, 0.0, &format!("cannot start a thread: {e}"));
        }
    }

    fn run_ended(&mut self, result: RunResult) {
        let Some((id, _)) = self.running.filter(|(_, run)| *run == result.run) else {
            // An abandoned run has ended after all.
            self.abandoned = self.abandoned.saturating_sub(1);
            return;
        };
        self.running = None;
        match result.rerun_after_ms {
            Ok(rerun_after_ms) => {
                self.delayed_until.remove(&id);
                let at = self.now() + rerun_after_ms.clamp(0.0, 1e12);
                self.schedule.record_success(self.now(), id, result.cpu_ms, Some(at));
                match self.jobs.get(&id) {
                    // Keep the lease's wait until the next check of the renewal policy.
                    Some(Job::Order(_)) => {
                        self.delayed_until
                            .insert(id, self.now() + rerun_after_ms.clamp(0.0, CHECK_INTERVAL_MS));
                    }
                    Some(Job::CheckFiles) => {
                        self.schedule.reschedule(id, at, Some(at + MAX_CHECK_DELAY_MS))
                    }
                    Some(Job::RenewalInfo(_)) => {
                        self.schedule.reschedule(id, at, Some(at + MAX_INFO_DELAY_MS))
                    }
                    None => {}
                }
            }
            Err(why) => self.run_failed(id, result.cpu_ms, &why),
        }
        self.schedule_orders();
    }

    fn run_failed(&mut self, id: TaskId, cpu_ms: f64, why: &str) {
        self.running = None;
        let retry_at = self.schedule.record_failure(self.now(), id, cpu_ms, fastrand::f64());
        let name = self
            .schedule
            .statuses(0.0)
            .into_iter()
            .find(|l| l.id == id)
            .map(|l| l.name)
            .unwrap_or_default();
        warn!(task = name, why, "background work failed");
        if let Some(retry_at) = retry_at {
            self.delayed_until.insert(id, retry_at);
        }
    }
}
