//! Task schedule with priorities, deadlines and a CPU budget.

use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Waiting this long counts as one step of priority, so that no task starves.
const AGING_STEP_MS: f64 = 60_000.0;
/// Wait after a first failure, which doubles up to [`MAX_RETRY_MS`].
const INITIAL_RETRY_MS: f64 = 1_000.0;
const MAX_RETRY_MS: f64 = 300_000.0;

/// Identifies a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

/// Priority of a task among others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Runs when nothing else is due: sweeps.
    Low,
    /// Checks of files.
    Normal,
    /// Renewals.
    High,
}

/// CPU time that all tasks together may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Rate in milliseconds per second.
    pub ms_per_s: f64,
    /// Unused time that may accumulate, in milliseconds.
    pub burst_ms: f64,
}

/// Describes a task. Times are in milliseconds of one monotonic clock.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskSpec {
    /// Name in lists and metrics.
    pub name: String,
    /// Priority among due tasks.
    pub priority: Priority,
    /// Earliest start.
    pub due_ms: f64,
    /// From this time it precedes all tasks that have not reached their deadline, and runs also while bids
    /// wait.
    pub deadline_ms: Option<f64>,
    /// A run that takes longer is to be abandoned.
    pub max_run_ms: f64,
}

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Not due yet.
    Waiting,
    /// Due, and waiting to run.
    Due,
    /// Past its deadline.
    Late,
    /// Running.
    Running,
}

/// Status of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskStatus {
    /// The task.
    pub id: TaskId,
    /// Name from its [`TaskSpec`].
    pub name: String,
    /// Current state.
    pub state: State,
    /// When it is due, in milliseconds.
    pub due_ms: f64,
    /// Successful runs.
    pub runs: u64,
    /// Failed runs, including abandoned ones.
    pub failures: u64,
    /// CPU time of all runs, in milliseconds.
    pub cpu_ms: f64,
}

#[derive(Clone, Debug)]
struct Task {
    spec: TaskSpec,
    /// Start of the current run.
    started_ms: Option<f64>,
    runs: u64,
    failures: u64,
    /// Failures since the last success.
    consecutive_failures: u32,
    cpu_ms: f64,
}

impl Task {
    fn is_late(&self, now: f64) -> bool {
        self.spec.deadline_ms.is_some_and(|d| now >= d)
    }

    /// The greater one runs first: tasks past their deadline by deadline, then others by priority and
    /// waiting time.
    fn compare(&self, other: &Task, now: f64) -> Ordering {
        let passed_deadline = |t: &Task| t.spec.deadline_ms.filter(|d| now >= *d);
        match (passed_deadline(self), passed_deadline(other)) {
            (Some(a), Some(b)) => b.total_cmp(&a),
            (Some(_), None) => Ordering::Greater,
            (None, Some(_)) => Ordering::Less,
            (None, None) => self.effective_priority(now).total_cmp(&other.effective_priority(now)),
        }
    }

    fn effective_priority(&self, now: f64) -> f64 {
        f64::from(self.spec.priority as u8) + (now - self.spec.due_ms).max(0.0) / AGING_STEP_MS
    }
}

/// All tasks and their CPU budget.
#[derive(Clone, Debug)]
pub struct Schedule {
    budget: Budget,
    /// CPU time available now; negative after an overrun.
    available_ms: f64,
    refilled_ms: f64,
    tasks: BTreeMap<TaskId, Task>,
    next_id: u64,
    running: Option<TaskId>,
}

impl Schedule {
    /// Creates a schedule with no tasks and a full burst.
    pub fn new(budget: Budget) -> Schedule {
        Schedule {
            budget,
            available_ms: budget.burst_ms,
            refilled_ms: f64::NEG_INFINITY,
            tasks: BTreeMap::new(),
            next_id: 0,
            running: None,
        }
    }

    /// Adds a task and returns its id.
    pub fn add(&mut self, spec: TaskSpec) -> TaskId {
        let id = TaskId(self.next_id);
        self.next_id += 1;
        let task =
            Task { spec, started_ms: None, runs: 0, failures: 0, consecutive_failures: 0, cpu_ms: 0.0 };
        self.tasks.insert(id, task);
        id
    }

    /// Removes a task. The result of a current run is ignored.
    pub fn remove(&mut self, id: TaskId) {
        self.tasks.remove(&id);
        if self.running == Some(id) {
            self.running = None;
        }
    }

    /// Sets the due time and deadline of a task; for a running task, those of its next run.
    pub fn reschedule(&mut self, id: TaskId, due_ms: f64, deadline_ms: Option<f64>) {
        if let Some(task) = self.tasks.get_mut(&id) {
            (task.spec.due_ms, task.spec.deadline_ms) = (due_ms, deadline_ms);
        }
    }

    fn refill(&mut self, now: f64) {
        if now > self.refilled_ms {
            let seconds = (now - self.refilled_ms.max(now - 1e9)) / 1000.0;
            self.available_ms =
                (self.available_ms + seconds * self.budget.ms_per_s).min(self.budget.burst_ms);
            self.refilled_ms = now;
        }
    }

    /// Starts the next task; `None` while one runs, none is due, or the budget is used up. While bids wait
    /// (`overloaded`), only tasks past their deadline run.
    pub fn next_task(&mut self, now: f64, overloaded: bool) -> Option<TaskId> {
        self.refill(now);
        if self.running.is_some() || self.available_ms <= 0.0 {
            return None;
        }
        let due = |t: &Task| now >= t.spec.due_ms && (!overloaded || t.is_late(now));
        // Among equals, the one added first.
        let (id, _) = (self.tasks.iter().filter(|(_, t)| due(t)))
            .max_by(|(a, x), (b, y)| x.compare(y, now).then(b.cmp(a)))?;
        let id = *id;
        self.tasks.get_mut(&id)?.started_ms = Some(now);
        self.running = Some(id);
        Some(id)
    }

    /// Records a successful run and its CPU time. The task is due again at `next_due_ms`, or removed if
    /// that is `None`.
    pub fn record_success(&mut self, now: f64, id: TaskId, cpu_ms: f64, next_due_ms: Option<f64>) {
        let Some(task) = self.end_run(now, id, cpu_ms) else { return };
        task.runs += 1;
        task.consecutive_failures = 0;
        // The deadline stays: the caller may have set a new one during the run.
        match next_due_ms {
            Some(due) => task.spec.due_ms = due,
            None => drop(self.tasks.remove(&id)),
        }
    }

    /// Records a failed or abandoned run. The wait doubles with each failure; `draw`, from 0 to 1, picks a
    /// point in its second half. Returns when the task is due again.
    pub fn record_failure(&mut self, now: f64, id: TaskId, cpu_ms: f64, draw: f64) -> Option<f64> {
        let task = self.end_run(now, id, cpu_ms)?;
        task.failures += 1;
        let wait_ms =
            (INITIAL_RETRY_MS * f64::from(1_u32 << task.consecutive_failures.min(16))).min(MAX_RETRY_MS);
        task.consecutive_failures += 1;
        task.spec.due_ms = now + wait_ms * (0.5 + 0.5 * draw.clamp(0.0, 1.0));
        Some(task.spec.due_ms)
    }

    fn end_run(&mut self, now: f64, id: TaskId, cpu_ms: f64) -> Option<&mut Task> {
        if self.running != Some(id) {
            return None;
        }
        self.refill(now);
        self.running = None;
        let cpu_ms = if cpu_ms.is_finite() { cpu_ms.max(0.0) } else { 0.0 };
        self.available_ms -= cpu_ms;
        let task = self.tasks.get_mut(&id)?;
        task.started_ms = None;
        task.cpu_ms += cpu_ms;
        Some(task)
    }

    /// The running task if it exceeds its time limit. The caller abandons it with
    /// [`Schedule::record_failure`].
    pub fn overrunning(&self, now: f64) -> Option<TaskId> {
        let id = self.running?;
        let task = self.tasks.get(&id)?;
        (now >= task.started_ms? + task.spec.max_run_ms).then_some(id)
    }

    /// Latest time of the next call to [`Schedule::next_task`] or [`Schedule::overrunning`] if nothing
    /// else happens; `None` if nothing will be due.
    pub fn next_ms(&self) -> Option<f64> {
        if let Some(task) = self.running.and_then(|id| self.tasks.get(&id)) {
            return Some(task.started_ms? + task.spec.max_run_ms);
        }
        let due = self.tasks.values().map(|t| t.spec.due_ms).min_by(f64::total_cmp)?;
        let debt_ms = if self.available_ms > 0.0 {
            0.0
        } else {
            -self.available_ms * 1000.0 / self.budget.ms_per_s + 1.0
        };
        Some(due.max(self.refilled_ms + debt_ms))
    }

    /// Status of all tasks.
    pub fn statuses(&self, now: f64) -> Vec<TaskStatus> {
        let status = |(id, t): (&TaskId, &Task)| TaskStatus {
            id: *id,
            name: t.spec.name.clone(),
            state: if t.started_ms.is_some() {
                State::Running
            } else if t.is_late(now) {
                State::Late
            } else if now >= t.spec.due_ms {
                State::Due
            } else {
                State::Waiting
            },
            due_ms: t.spec.due_ms,
            runs: t.runs,
            failures: t.failures,
            cpu_ms: t.cpu_ms,
        };
        self.tasks.iter().map(status).collect()
    }
}
