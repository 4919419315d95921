//! Schedules background work: which task runs next, within a budget of CPU time, by priority and deadline.
//! No I/O, no clock and no threads: the caller (`applemill-certificate-manager`) runs the tasks, and
//! reports when one ends, its CPU time, and whether bids wait.
//!
//! One task runs at a time. Its CPU time is charged after the run, and the next task starts once the
//! budget is positive again. Over any time `t`, the tasks that start thus take at most `burst + rate * t`
//! plus the overrun of one task.
//!
//! ```
//! use applemill_background::{Budget, Priority, Schedule, TaskSpec};
//!
//! let mut schedule = Schedule::new(Budget { ms_per_s: 50.0, burst_ms: 50.0 });
//! let task = schedule.add(TaskSpec {
//!     name: "sweep".into(),
//!     priority: Priority::Low,
//!     due_ms: 0.0,
//!     deadline_ms: None,
//!     max_run_ms: 1000.0,
//! });
//! assert_eq!(schedule.next_task(0.0, true), None, "bids wait");
//! assert_eq!(schedule.next_task(0.0, false), Some(task));
//! schedule.record_success(10.0, task, 8.0, Some(1010.0));
//! ```

mod schedule;

pub use schedule::{Budget, Priority, Schedule, State, TaskId, TaskSpec, TaskStatus};
