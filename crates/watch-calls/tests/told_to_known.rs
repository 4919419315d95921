//! Plays the calls against a scripted discovery in virtual time, and measures how long after a change was told
//! the node knows it. Each bound is one of the operators' pages; a constant that breaks one fails here.

use applemill_watch_calls::ListUse::{Departures, Everything};
use applemill_watch_calls::{CallId, CallTiming, ListUse, ListVersion, Query, Step, WatchCalls};

const GRACE_MS: f64 = 500.0;
/// A node may be held up for this long between its decision and the first byte.
const HELD_UP_MS: f64 = 150.0;
/// Time in which an agent answers that answers at once.
const AT_ONCE_MS: f64 = 5.0;
/// A change counts as told at the latest this long after discovery had it and could be reached.
const REACHABLE_MS: f64 = 6_000.0;
const STEP_MS: f64 = 1.0;
/// Below the limit at which the oldest call is dropped, which must never be needed here.
const MAX_OPEN: usize = 15;

/// What discovery does with a call that comes at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Service {
    /// The call is never answered; nor are those that are open.
    Silent,
    /// Calls fail at once.
    Refusing,
    /// The answer begins after this time, and takes that long to arrive, in pieces.
    Answering(f64, f64),
}

/// An open call at the service.
struct ServiceCall {
    id: CallId,
    query: Query,
    /// When the call came.
    came: f64,
    lost: bool,
    /// When the answer begins, and the revision that it tells.
    answer: Option<(f64, u64)>,
}

/// A change is told at `told`; `service` says what discovery does at a time.
struct Script<'a> {
    told: f64,
    service: &'a dyn Fn(f64) -> Service,
    /// Open watches are lost at this time, without any outage.
    watches_lost_at: f64,
    spread: f64,
}

struct Played {
    /// From the news to the node's knowledge.
    delay_ms: f64,
    most_open: usize,
    calls: usize,
}

fn play(script: &Script<'_>) -> Played {
    let timing = CallTiming::pushed(GRACE_MS, script.spread);
    let mut watch = WatchCalls::new(timing, 0.0);
    let mut open: Vec<ServiceCall> = Vec::new();
    let mut played = Played { delay_ms: f64::INFINITY, most_open: 0, calls: 0 };
    let mut now = 0.0;
    while now < script.told + 60_000.0 {
        let service = (script.service)(now);
        let revision = if now >= script.told { 2 } else { 1 };
        for step in watch.tick(now, true) {
            match step {
                Step::Start(id, query) => {
                    played.calls += 1;
                    open.push(ServiceCall {
                        id,
                        query,
                        came: now,
                        lost: service == Service::Silent,
                        answer: None,
                    });
                }
                Step::Drop(id) | Step::Discard(id) => open.retain(|call| call.id != id),
            }
        }
        played.most_open = played.most_open.max(open.len());
        for call in &mut open {
            call.lost |=
                service == Service::Silent || after(call.query).is_some() && now == script.watches_lost_at;
        }
        match service {
            Service::Silent => {}
            Service::Refusing => {
                for call in open.drain(..).filter(|call| !call.lost).collect::<Vec<_>>() {
                    watch.failed(now, call.id);
                }
            }
            Service::Answering(begins_ms, takes_ms) => {
                let ended =
                    serve(&mut watch, &mut open, now, revision, timing.wait_ms, begins_ms, takes_ms);
                if let Some((id, known)) = ended {
                    let (list_use, _) =
                        watch.answered(now, id, ListVersion { revision: known, is_full: true });
                    assert_eq!(list_use, Everything);
                    open.clear();
                    if known == 2 {
                        played.delay_ms = now - script.told;
                        return played;
                    }
                }
            }
        }
        now += STEP_MS;
    }
    played
}

/// The revision after which a call asks for changes.
fn after(query: Query) -> Option<u64> {
    match query {
        Query::WholeList => None,
        Query::Changes { after, .. } => Some(after),
    }
}

/// Answers the open calls, and returns the first one that is complete, with the revision that it tells.
fn serve(
    watch: &mut WatchCalls,
    open: &mut [ServiceCall],
    now: f64,
    revision: u64,
    wait_ms: f64,
    begins_ms: f64,
    takes_ms: f64,
) -> Option<(CallId, u64)> {
    for call in open.iter_mut().filter(|call| !call.lost) {
        let has_news = after(call.query).is_none_or(|after| revision > after);
        if call.answer.is_none() && (has_news || now >= call.came + wait_ms) {
            call.answer = Some((now + begins_ms, revision));
        }
        let Some((begins, told)) = call.answer else { continue };
        if now >= begins {
            watch.moved(now, call.id);
        }
        if now >= begins + takes_ms {
            return Some((call.id, told));
        }
    }
    None
}

fn at_once(_: f64) -> Service {
    Service::Answering(AT_ONCE_MS, 0.0)
}

/// The longest delay over moments of the news and spreads of the nodes.
fn longest_delay(
    service: impl Fn(f64) -> Service,
    told: impl Iterator<Item = f64>,
    lost_before_ms: f64,
) -> f64 {
    let mut longest: f64 = 0.0;
    for told in told {
        for spread in [0.0, 0.5, 1.0] {
            let script = Script { told, service: &service, watches_lost_at: told - lost_before_ms, spread };
            let played = play(&script);
            assert!(played.most_open <= MAX_OPEN, "{} calls are open at once", played.most_open);
            longest = longest.max(played.delay_ms);
        }
    }
    longest
}

fn moments() -> impl Iterator<Item = f64> {
    (0..60).map(|n| 3_000.0 + 7.0 * f64::from(n))
}

#[test]
fn a_quiet_watch_tells_at_once() {
    // An answer without news may be on its way, and another call follows it.
    assert!(longest_delay(at_once, moments(), f64::INFINITY) <= 2.0 * (AT_ONCE_MS + STEP_MS));
}

/// Guards against waiting for a call that an outage has swallowed, however long the outage was.
#[test]
fn what_is_told_at_the_return_of_discovery_is_known_within_the_grace() {
    for outage_ms in [20.0, 150.0, 300.0, 700.0, 1_500.0, 3_600.0, 6_600.0, 8_000.0, 20_000.0] {
        for returned in moments().map(|at| at + outage_ms) {
            let service = move |now: f64| {
                if (returned - outage_ms..returned).contains(&now) { Service::Silent } else { at_once(now) }
            };
            let delay = longest_delay(service, std::iter::once(returned), f64::INFINITY);
            assert!(delay + HELD_UP_MS <= GRACE_MS, "{delay} ms after an outage of {outage_ms} ms");
        }
    }
}

/// Guards against waiting for a watch that has silently broken while discovery answers others.
#[test]
fn what_a_broken_watch_misses_is_known_within_the_grace() {
    for lost_before_ms in [0.0, 50.0, 150.0] {
        let delay = longest_delay(at_once, moments(), lost_before_ms);
        assert!(delay + HELD_UP_MS <= GRACE_MS, "{delay} ms");
    }
}

#[test]
fn what_is_told_while_calls_are_refused_is_known_soon_after() {
    for told in moments() {
        let back = told + 2_000.0;
        let service =
            |now: f64| if (told - 500.0..back).contains(&now) { Service::Refusing } else { at_once(now) };
        let delay = longest_delay(service, std::iter::once(told), f64::INFINITY);
        assert!(delay - (back - told) + HELD_UP_MS <= GRACE_MS, "{delay} ms");
    }
}

#[test]
fn a_service_that_is_slow_after_an_outage_is_awaited() {
    for begins_ms in [200.0, 600.0, 1_000.0, 1_500.0] {
        let service = move |now: f64| match now {
            ..3_000.0 => at_once(now),
            3_000.0..8_000.0 => Service::Silent,
            _ => Service::Answering(begins_ms, 0.0),
        };
        let delay = longest_delay(service, (0..20).map(|n| 8_000.0 + 13.0 * f64::from(n)), f64::INFINITY);
        assert!(delay <= REACHABLE_MS, "{delay} ms with answers that begin after {begins_ms} ms");
    }
}

#[test]
fn a_list_that_arrives_slowly_is_read_to_its_end() {
    let service = |now: f64| if now < 3_000.0 { at_once(now) } else { Service::Answering(90.0, 4_000.0) };
    let delay = longest_delay(service, std::iter::once(3_000.0), f64::INFINITY);
    assert!(delay <= REACHABLE_MS, "{delay} ms");
}

/// The first list of a process that starts while discovery is silent.
#[test]
fn a_node_that_starts_in_an_outage_has_the_list_soon_after_it() {
    for back in moments() {
        let service = |now: f64| if now < back { Service::Silent } else { at_once(now) };
        let delay = longest_delay(service, std::iter::once(back), f64::INFINITY);
        assert!(delay + HELD_UP_MS <= GRACE_MS, "{delay} ms");
    }
}

#[test]
fn a_restart_forgets_the_old_list_and_calls_at_once() {
    let mut watch = WatchCalls::new(CallTiming::pushed(GRACE_MS, 0.0), 0.0);
    let Some(Step::Start(first, Query::WholeList)) = watch.tick(0.0, true).first().copied() else {
        panic!("no call")
    };
    watch.answered(1.0, first, ListVersion { revision: 9, is_full: true });
    assert!(matches!(watch.tick(1.0, true)[..], [Step::Start(_, Query::Changes { after: 9, .. })]));
    watch.restart(2.0);
    assert!(matches!(watch.tick(2.0, true)[..], [Step::Start(_, Query::WholeList)]));
}

/// Ticks as a process does that is not held up, and checks that nothing is due. The list must have been confirmed
/// at `from`.
fn run_quietly(watch: &mut WatchCalls, from: f64, to: f64, wanted: bool) {
    let mut now = from;
    while now < to {
        assert_eq!(watch.tick(now, wanted), [], "at {now} ms");
        now += 50.0;
    }
}

/// Answers the next call of a watch 100 ms later, and runs on for the rest of a second; returns the revision after
/// which it asked, and how far the list is used.
fn answer(watch: &mut WatchCalls, now: f64, revision: u64, is_full: bool) -> (Option<u64>, ListUse) {
    let Some(Step::Start(id, query)) = watch.tick(now, true).first().copied() else { panic!("no call") };
    let list_use = watch.answered(now + 100.0, id, ListVersion { revision, is_full }).0;
    run_quietly(watch, now + 100.0, now + 1_000.0, false);
    (after(query), list_use)
}

#[test]
fn changes_to_a_list_that_the_node_does_not_have_bring_nothing_back() {
    let mut watch = WatchCalls::new(CallTiming::pushed(GRACE_MS, 0.0), 0.0);
    assert_eq!(answer(&mut watch, 0.0, 4, false), (None, Departures));
    assert_eq!(answer(&mut watch, 1_000.0, 5, true), (None, Everything));
    assert_eq!(answer(&mut watch, 2_000.0, 6, false), (Some(5), Everything));
    // The service has restarted with other revisions.
    assert_eq!(answer(&mut watch, 3_000.0, 2, false), (Some(6), Departures));
    assert_eq!(answer(&mut watch, 4_000.0, 2, true), (None, Everything));
}

/// Guards against a late answer that brings back servers that are leaving.
#[test]
fn one_older_list_is_passed_over_and_two_in_a_row_are_a_restart() {
    let mut watch = WatchCalls::new(CallTiming::pushed(GRACE_MS, 0.0), 0.0);
    for (now, revision, expected) in [
        (0.0, 41, Everything),
        (1_000.0, 40, Departures),
        (2_000.0, 41, Everything),
        (3_000.0, 40, Departures),
        (4_000.0, 40, Everything),
        (5_000.0, 39, Departures),
        (6_000.0, 38, Everything),
    ] {
        assert_eq!(answer(&mut watch, now, revision, true).1, expected, "at {now} ms");
    }
    // A failed call in between does not make an older list newer.
    let Some(Step::Start(failed, Query::Changes { after: 38, .. })) =
        watch.tick(7_000.0, true).first().copied()
    else {
        panic!()
    };
    watch.failed(7_100.0, failed);
    run_quietly(&mut watch, 7_100.0, 8_000.0, false);
    assert_eq!(answer(&mut watch, 8_000.0, 37, true), (None, Departures));
}

/// Calls to a service that all nodes share are paced by the balancer, one at a time.
#[test]
fn a_shared_service_gets_one_call_at_a_time_and_none_after_a_failure() {
    let mut watch = WatchCalls::new(CallTiming::on_request(GRACE_MS), 0.0);
    let Some(Step::Start(list, Query::WholeList)) = watch.tick(0.0, true).first().copied() else {
        panic!("no call")
    };
    assert!(watch.tick(3_499.0, true).is_empty());
    assert_eq!(watch.tick(3_500.0, true), [Step::Drop(list)]);
    let Some(Step::Start(again, Query::WholeList)) = watch.tick(4_000.0, true).first().copied() else {
        panic!("no call")
    };
    watch.answered(4_010.0, again, ListVersion { revision: 1, is_full: true });
    let Some(Step::Start(held, Query::Changes { after: 1, .. })) =
        watch.tick(4_010.0, true).first().copied()
    else {
        panic!("no call")
    };
    run_quietly(&mut watch, 4_010.0, 25_509.0, true);
    assert!(watch.tick(25_509.0, true).is_empty());
    assert_eq!(watch.tick(25_510.0, true), [Step::Drop(held)]);
}
