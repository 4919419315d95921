//! Faults that are no load: what they must not cost the requests that have nothing to do with them.

use applemill_stand_ins::*;
use std::thread;
use std::time::Duration;

fn bid(message: &Message) -> bool {
    message.header("x-qos") == Some("bid")
}

fn served(statuses: &[u16]) -> usize {
    statuses.iter().filter(|s| **s == 200).count()
}

#[test]
fn first_tries_in_a_hurry_are_served_where_retries_are_marked() {
    let record = Record::default();
    let addresses = backends(3, &record, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| {
        c["settings"]["clientHabits"]["marksRetry"] = true.into();
    });
    let usual = play_many(node.address, "page", 4000, 40, 4);
    assert!(usual.iter().all(|s| *s == 200), "{usual:?}");
    // Held for last tries, they would be older than the aim, and of no worth.
    let hurried = play_many(node.address, "page", 1500, 40, 4);
    assert!(hurried.iter().all(|s| *s == 200), "{hurried:?}");
}

#[test]
fn clients_that_do_not_wait_close_no_backend_to_those_that_do() {
    let record = Record::default();
    let addresses = backends(3, &record, |_, _| {
        thread::sleep(Duration::from_millis(150));
        ok(b"x")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |c| {
        c["settings"]["clientHabits"]["marksRetry"] = true.into();
    });
    let patient =
        |node: &Node| play_many(node.address, "page", 4000, 40, 4).iter().filter(|s| **s == 200).count();
    assert_eq!(patient(&node), 40);
    let hurried = play_many(node.address, "page", 60, 60, 4);
    assert!(hurried.iter().all(|s| *s != 200), "{hurried:?}");
    assert!(record.count() > 80, "{} written: those in a hurry are tried", record.count());
    assert_eq!(patient(&node), 40);
    node.terminate();
    assert!(node.ended().success());
    let log = node.log();
    assert!(!log.contains("congested"), "{log}");
}

#[test]
fn unsafe_requests_that_broke_leave_others_their_second_try() {
    let record = Record::default();
    // Bids fail and may have run. The one page that is asked fails at its first attempt.
    let addresses = backends(3, &record, |n, message| {
        let fails = bid(message) || n == 40;
        if fails { Act::Say(reply("500 Internal Server Error", "", b"")) } else { ok(b"x") }
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let bids = play_many(node.address, "bid", 900, 40, 1);
    assert_eq!((served(&bids), record.count()), (0, 40), "each is sent once and fails");
    assert_eq!(play_many(node.address, "page", 4000, 1, 1), [200]);
    assert_eq!(record.count(), 42, "the page was sent again");
}

#[test]
fn a_class_that_is_turned_away_leaves_the_other_its_backends() {
    let record = Record::default();
    let addresses = backends(3, &record, |_, message| {
        if !bid(message) {
            return ok(b"x");
        }
        thread::sleep(Duration::from_millis(30));
        Act::Say(reply("503 Service Unavailable", "X-Never-Ran: 1\r\n", b""))
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["settings"]["instances"] = 2.into());
    let mut pages = Vec::new();
    for _ in 0..25 {
        assert_eq!(served(&play_many(node.address, "bid", 900, 2, 1)), 0);
        pages.extend(play_many(node.address, "page", 4000, 1, 1));
    }
    assert!(served(&pages) >= 23, "{pages:?}");
}

#[test]
fn a_class_that_hangs_at_some_backends_is_sent_to_the_others() {
    let record = Record::default();
    let mut addresses = backends(3, &record, |_, _| ok(b"x"));
    let hung = Record::default();
    let hang = |_, message: &Message| if bid(message) { Act::Silent } else { ok(b"x") };
    addresses.extend(backends(2, &hung, hang));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| {
        c["settings"]["classes"][1]["objectiveMs"] = 200.into();
        c["settings"]["familyInfo"]["warmKeys"] = true.into();
    });
    let (mut bids, mut pages) = (Vec::new(), Vec::new());
    for _ in 0..60 {
        bids.extend(play_many(node.address, "bid", 900, 4, 4));
        // So many that the backends are no failing ones.
        pages.extend(play_many(node.address, "page", 4000, 24, 4));
    }
    assert!(served(&bids) >= 170, "{} of 240 bids", served(&bids));
    assert!(served(&pages) >= 1300, "{} of 1440 pages", served(&pages));
}

#[test]
fn a_storm_of_retries_does_not_put_a_tenant_over_its_share() {
    let record = Record::default();
    let addresses = backends(3, &record, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| {
        c["settings"]["tenants"] = serde_json::json!([{"name": "t", "quotaRps": 30.0}]);
        c["settings"]["overShareWorth"] = 0.0.into();
        c["settings"]["clientHabits"]["marksRetry"] = true.into();
    });
    let ask_of = |mark: &str| {
        let text = String::from_utf8(request("page", 4000)).unwrap();
        let marked = text.replacen("\r\n", &format!("\r\nX-Customer: t\r\n{mark}"), 1);
        ask(node.address, marked.as_bytes()).status()
    };
    // Forty first tries in a second or more are in share; with their retries it would be over.
    let mut first = Vec::new();
    for _ in 0..40 {
        first.push(ask_of(""));
        for _ in 0..8 {
            ask_of("X-Second-Try: 1\r\n");
        }
        thread::sleep(Duration::from_millis(25));
    }
    assert_eq!(served(&first), 40, "{first:?}");
}
