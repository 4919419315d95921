//! When a node may use a list that discovery has not confirmed since the node began to hold it. One row for each way
//! of coming to hold such a list.

use applemill_watch_calls::{CallId, CallTiming, ListVersion, Query, Step, WatchCalls};

const GRACE_MS: f64 = 500.0;
/// By which each limit is longer on sockets.
const SOCKET_SLACK_MS: f64 = 50.0;
/// A node may be held up for this long between its decision and the first byte.
const HELD_UP_MS: f64 = 150.0;
/// What a new service has counts as told this long after discovery was moved there.
const MOVED_MS: f64 = 4_000.0;
const START_MS: f64 = 1_000.0;
/// The latest time after a notice at which the decision to send may be made.
const LAST_SEND_MS: f64 = GRACE_MS + SOCKET_SLACK_MS - HELD_UP_MS;
/// Within this time of the notice, the servers of the list have to be used.
const USED_MS: f64 = GRACE_MS / 2.0;

/// A process with its watch. Calls are never answered but by `answer`.
struct Process {
    watch: WatchCalls,
    now: f64,
    /// The last call that was started.
    last_call: Option<(CallId, Query)>,
}

impl Process {
    fn start(timing: CallTiming) -> Process {
        Process { watch: WatchCalls::new(timing, START_MS), now: START_MS, last_call: None }
    }

    fn pushed() -> Process {
        Process::start(CallTiming::pushed(GRACE_MS, 0.0))
    }

    /// A process whose list was confirmed right after its start.
    fn confirmed(timing: CallTiming) -> Process {
        let mut process = Process::start(timing);
        process.run(10.0);
        process.answer(5, true);
        process
    }

    /// Runs for a while, not held up.
    fn run(&mut self, ms: f64) {
        let end = self.now + ms;
        loop {
            for step in self.watch.tick(self.now, true) {
                if let Step::Start(id, query) = step {
                    self.last_call = Some((id, query));
                }
            }
            if self.now >= end {
                return;
            }
            self.now = (self.now + 10.0).min(end);
        }
    }

    /// The process is held up for a while: nothing of it runs.
    fn hold_up(&mut self, ms: f64) {
        self.now += ms;
    }

    fn answer(&mut self, revision: u64, is_full: bool) {
        let (id, _) = self.last_call.expect("a call is open");
        self.answer_call(id, revision, is_full);
    }

    fn answer_call(&mut self, id: CallId, revision: u64, is_full: bool) {
        self.watch.answered(self.now, id, ListVersion { revision, is_full });
    }

    fn may_send(&self) -> bool {
        self.now <= self.watch.lease().expires_ms()
    }

    /// Checks that the list is used until shortly before the end of the grace after `notice_ms`, and not later.
    /// Discovery stays silent.
    fn assert_used_for_the_grace_only(&mut self, notice_ms: f64) {
        self.run((notice_ms + USED_MS - self.now).max(0.0));
        assert!(self.may_send(), "at {} ms", self.now);
        self.run(notice_ms + LAST_SEND_MS + 1.0 - self.now);
        assert!(!self.may_send(), "at {} ms", self.now);
        self.run(60_000.0);
        assert!(!self.may_send(), "at {} ms", self.now);
    }
}

/// Guards against using a stored list for as long as discovery is silent.
#[test]
fn a_list_that_is_never_confirmed_is_used_for_the_grace_after_the_start() {
    Process::pushed().assert_used_for_the_grace_only(START_MS);
    Process::start(CallTiming::on_request(GRACE_MS)).assert_used_for_the_grace_only(START_MS);
}

#[test]
fn an_answer_at_once_confirms_the_list_for_as_long_as_the_process_runs() {
    let mut process = Process::confirmed(CallTiming::pushed(GRACE_MS, 0.0));
    // Discovery is silent from now on: it learns nothing.
    process.run(60_000.0);
    assert!(process.may_send());
    let mut process = Process::confirmed(CallTiming::on_request(GRACE_MS));
    process.run(10_000.0);
    assert!(process.may_send());
}

#[test]
fn an_answer_within_the_grace_confirms_the_list() {
    let mut process = Process::pushed();
    process.run(350.0);
    process.answer(5, true);
    process.run(60_000.0);
    assert!(process.may_send());
}

#[test]
fn an_answer_after_the_grace_brings_the_list_back_into_use() {
    let mut process = Process::pushed();
    process.run(8_000.0);
    assert!(!process.may_send());
    process.answer(5, true);
    assert!(process.may_send());
    process.run(60_000.0);
    assert!(process.may_send());
}

#[test]
fn changes_to_a_list_that_discovery_never_gave_confirm_nothing() {
    let mut process = Process::pushed();
    process.run(100.0);
    process.answer(5, false);
    process.assert_used_for_the_grace_only(START_MS);
}

#[test]
fn failed_calls_confirm_nothing() {
    let mut process = Process::pushed();
    process.run(100.0);
    let (id, _) = process.last_call.expect("a call is open");
    process.watch.failed(process.now, id);
    process.assert_used_for_the_grace_only(START_MS);
}

/// Guards against requests that waited while the process was stopped and begin in its first moment.
#[test]
fn a_process_held_up_for_more_than_the_grace_sends_nothing_until_its_list_is_confirmed_anew() {
    for timing in [CallTiming::pushed(GRACE_MS, 0.0), CallTiming::on_request(GRACE_MS)] {
        let mut process = Process::confirmed(timing);
        process.run(1_000.0);
        process.hold_up(LAST_SEND_MS + 1.0);
        assert!(!process.may_send(), "in the first moment");
        process.run(0.0);
        assert!(!process.may_send(), "discovery has not answered");
        let (_, query) = process.last_call.expect("a call is open");
        assert_eq!(query, Query::WholeList, "a watch would be answered only when something changes");
        process.run(20.0);
        process.answer(5, true);
        assert!(process.may_send());
    }
}

/// Guards against an answer that was given before the hold-up or during it, and is read after it.
#[test]
fn an_answer_to_a_call_from_before_the_hold_up_confirms_nothing() {
    let mut process = Process::confirmed(CallTiming::pushed(GRACE_MS, 0.0));
    process.run(1_000.0);
    let (old, _) = process.last_call.expect("a call is open");
    process.hold_up(3_000.0);
    process.answer_call(old, 5, false);
    process.run(60_000.0);
    assert!(!process.may_send());
    process.answer(5, true);
    assert!(process.may_send());
}

#[test]
fn a_hold_up_as_short_as_the_operators_allow_changes_nothing() {
    for timing in [CallTiming::pushed(GRACE_MS, 0.0), CallTiming::on_request(GRACE_MS)] {
        let mut process = Process::confirmed(timing);
        for _ in 0..20 {
            process.run(300.0);
            process.hold_up(HELD_UP_MS);
            assert!(process.may_send(), "at {} ms", process.now);
        }
        process.run(1_000.0);
        assert!(process.may_send());
    }
}

#[test]
fn the_list_of_the_old_service_holds_until_what_the_new_one_has_counts_as_told() {
    let mut process = Process::confirmed(CallTiming::pushed(GRACE_MS, 0.0));
    process.run(1_000.0);
    process.watch.restart(process.now);
    let told = process.now + MOVED_MS;
    process.run(MOVED_MS);
    process.assert_used_for_the_grace_only(told);
}

#[test]
fn moving_discovery_again_and_again_does_not_prolong_the_use_of_an_old_list() {
    let mut process = Process::confirmed(CallTiming::pushed(GRACE_MS, 0.0));
    process.run(1_000.0);
    process.watch.restart(process.now);
    let told = process.now + MOVED_MS;
    for _ in 0..3 {
        process.run(1_000.0);
        process.watch.restart(process.now);
    }
    process.assert_used_for_the_grace_only(told);
    process.watch.restart(process.now);
    process.run(100.0);
    assert!(!process.may_send());
    process.answer(1, true);
    assert!(process.may_send());
}

#[test]
fn a_move_prolongs_nothing_for_a_process_that_has_just_started() {
    let mut process = Process::pushed();
    process.run(100.0);
    process.watch.restart(process.now);
    process.assert_used_for_the_grace_only(START_MS);
}

/// Guards against counting a slow shared service's watch as a failure because the process was held up.
#[test]
fn a_watch_at_a_shared_service_that_a_hold_up_outdates_has_not_failed() {
    let mut process = Process::confirmed(CallTiming::on_request(GRACE_MS));
    process.run(1_000.0);
    let (old, _) = process.last_call.expect("a watch is open");
    process.hold_up(2_000.0);
    let steps = process.watch.tick(process.now, true);
    assert_eq!(steps.first(), Some(&Step::Discard(old)));
    assert!(matches!(steps.get(1), Some(Step::Start(_, Query::WholeList))));
}
