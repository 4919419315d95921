//! One request and its one answer: what is passed on, and what each end of an attempt leads to by class.

use applemill_stand_ins::*;
use std::sync::Mutex;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn an_answer_is_passed_on_byte_for_byte() {
    let record = Record::default();
    let body: Vec<u8> = (0..=255_u8).cycle().take(60_000).collect();
    let sent = body.clone();
    let addresses = backends(1, &record, move |_, _| ok(&sent));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let request = b"POST /api?lot=7&x=%20y HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: 9b1f03aa5c7e2d41\r\n\
        X-Qos: pay\r\nX-Expires-In-Ms: 2000\r\nIdempotency-Key: 5c0f\r\nContent-Length: 6\r\n\r\n\x00\xff\r\n\r\n";
    let mut client = Client::connect(node.address);
    for _ in 0..3 {
        let answer = client.ask(request);
        assert_eq!(answer.status(), 200);
        assert!(answer.body == body, "the body changed on its way");
        quiet_moment();
    }
    let seen = record.seen.lock().unwrap();
    assert_eq!(seen[0].first_line, "POST /api?lot=7&x=%20y HTTP/1.1");
    assert_eq!(seen[0].body, b"\x00\xff\r\n\r\n");
    assert_eq!(seen[0].header("x-trace-id"), Some("9b1f03aa5c7e2d41"));
    assert_eq!(seen[0].header("idempotency-key"), Some("5c0f"));
    let wait: u64 = seen[0].header("x-expires-in-ms").unwrap().parse().unwrap();
    assert!((1..2000).contains(&wait), "the backend is told to wait {wait} ms");
    assert_eq!(record.open_now(), 1, "one connection serves one request after the other");
}

/// Plays one request whose first attempt ends by `first`; any further one would be served.
/// Gives the client's status and how many attempts were written.
fn play(class: &str, first: Act) -> (u16, usize) {
    let record = Record::default();
    let addresses = backends(3, &record, move |n, _| if n == 0 { first.clone() } else { ok(b"second") });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let answer = ask(node.address, &request(class, 900));
    if answer.status() == 200 {
        assert_eq!(answer.body, b"second");
    }
    (answer.status(), record.count())
}

fn ends_that_may_have_run() -> Vec<(&'static str, Act)> {
    vec![
        ("500", Act::Say(reply("500 Internal Server Error", "", b""))),
        ("500 that claims it never ran", Act::Say(reply("500 No", "X-Never-Ran: 1\r\n", b""))),
        ("503 without proof", Act::Say(reply("503 Service Unavailable", "", b""))),
        ("404", Act::Say(reply("404 Not Found", "X-Never-Ran: 1\r\n", b""))),
        ("cut before the answer", Act::SayAndClose(Vec::new())),
        ("cut in the head", Act::SayAndClose(b"HTTP/1.1 200 O".to_vec())),
        (
            "cut in the body",
            Act::SayAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_vec()),
        ),
        ("no HTTP", Act::SayAndClose(b"what?\r\n\r\n".to_vec())),
        ("a body over the limit", Act::Say(reply("200 OK", "", &vec![b'x'; 70_000]))),
    ]
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_never_sent_twice() {
    for (what, act) in ends_that_may_have_run() {
        let (status, attempts) = play("bid", act);
        assert_eq!((status, attempts), (502, 1), "{what}");
    }
}

#[test]
fn a_safe_or_keyed_request_that_may_have_run_is_sent_again() {
    for (what, act) in ends_that_may_have_run() {
        for class in ["page", "pay"] {
            assert_eq!(play(class, act.clone()), (200, 2), "{what}, {class}");
        }
    }
}

#[test]
fn what_proves_that_it_never_ran_lets_every_class_go_on() {
    for status in ["503 Service Unavailable", "504 Gateway Timeout"] {
        for class in ["page", "bid", "pay"] {
            let act = Act::Say(reply(status, "X-Never-Ran: 1\r\n", b""));
            assert_eq!(play(class, act), (200, 2), "{status}, {class}");
        }
    }
}

#[test]
fn a_refused_connection_never_ran() {
    let record = Record::default();
    let mut addresses = backends(2, &record, |_, _| ok(b"live"));
    addresses.push(free_address());
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    for n in 0..12 {
        assert_eq!(ask(node.address, &request("bid", 900)).status(), 200, "request {n}");
    }
    assert_eq!(record.count(), 12);
}

#[test]
fn a_silent_backend_costs_an_unsafe_request_its_time_and_no_second_attempt() {
    let record = Record::default();
    let addresses = backends(2, &record, |_, _| Act::Silent);
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let begun = Instant::now();
    let answer = ask(node.address, &request("bid", 300));
    assert_eq!(answer.status(), 502);
    // The deadline, and the slack of the rule: a busy machine may be late.
    assert!(begun.elapsed() < Duration::from_millis(370), "the client has gone by then");
    assert_eq!(record.count(), 1);
    wait_for("the attempt's connection closes", || record.open_now() == 0);
}

#[test]
fn a_late_answer_reaches_nobody() {
    let record = Record::default();
    let addresses = backends(1, &record, |n, _| {
        std::thread::sleep(Duration::from_millis(if n == 0 { 400 } else { 0 }));
        ok(format!("answer {n}").as_bytes())
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    assert_eq!(client.ask(&request("bid", 200)).status(), 502);
    let next = client.ask(&request("page", 2000));
    assert_eq!((next.status(), next.body), (200, b"answer 1".to_vec()));
}

#[test]
fn a_stale_connection_is_not_sent_on() {
    // The backend closes after each answer without saying so.
    let record = Record::default();
    let addresses = backends(1, &record, |_, _| Act::SayAndCloseLater(reply("200 OK", "", b"bye")));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    for n in 1..=5 {
        assert_eq!(client.ask(&request("bid", 900)).status(), 200);
        wait_for("the backend closes", || record.closed.load(SeqCst) == n);
        // The close is in the system's hands by now, not yet at the node.
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn nothing_usable_is_refused_at_once_with_a_time_to_come_back() {
    let record = Record::default();
    let addresses = backends(1, &record, |_, _| ok(b""));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    discovery.set(vec![target("s-0", addresses[0], "draining")]);
    wait_for("the drain is known", || node.up() == 503);
    for class in ["page", "bid", "pay"] {
        let begun = Instant::now();
        let answer = ask(node.address, &request(class, 900));
        assert_eq!(answer.status(), 503, "{class}");
        let wait: f64 = answer.header("retry-after").expect("Retry-After").parse().unwrap();
        assert!(wait > 0.0 && wait <= 2.0, "{wait} s");
        assert!(begun.elapsed() < Duration::from_millis(450), "held back");
    }
    assert_eq!(record.count(), 0);
}

#[test]
fn a_client_that_leaves_takes_its_attempt_along() {
    let record = Record::default();
    let addresses = backends(2, &record, |_, _| Act::Silent);
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("page", 4000)));
    wait_for("the attempt is out", || record.count() == 1);
    drop(client);
    let begun = Instant::now();
    wait_for("the attempt's connection closes", || record.open_now() == 0);
    assert!(begun.elapsed() < Duration::from_millis(900), "only its time-out ended it");
    assert_eq!(record.count(), 1);
}

#[test]
fn kept_connections_are_used_only_up_to_the_age_at_which_they_prove_good() {
    // Backends that drop what has been idle for a while, and say so only by a reset under the next request.
    const IDLE: Duration = Duration::from_millis(100);
    let record = Record::default();
    let (opened, last) = (record.opened.clone(), Mutex::new((0, Instant::now())));
    let addresses = backends(1, &record, move |_, message| {
        let mut last = last.lock().unwrap();
        let connections = opened.load(SeqCst);
        let kept = message.first_line.contains("/api") && last.0 == connections;
        let stale = kept && last.1.elapsed() > IDLE;
        *last = (connections, Instant::now());
        if stale { Act::SayAndClose(Vec::new()) } else { ok(b"x") }
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| {
        // Whoever is held congested gets its trial soon.
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            class["objectiveMs"] = 300.into();
        }
    });
    let (mut served, mut failed) = (0, 0);
    while served < 40 {
        match ask(node.address, &request("bid", 900)).status() {
            200 => served += 1,
            503 => {}
            _ => failed += 1,
        }
        assert!(failed <= 15, "{failed} failed, {served} served");
        thread::sleep(2 * IDLE);
    }
    // Those that were idle for less are used again.
    let before = record.opened.load(SeqCst);
    for _ in 0..40 {
        ask(node.address, &request("bid", 900));
        thread::sleep(Duration::from_millis(15));
    }
    let new = record.opened.load(SeqCst) - before;
    assert!(new <= 30, "{new} connections for 40 requests");
}

#[test]
fn kept_connections_that_the_backend_has_closed_lose_no_bid_however_many_they_are() {
    let record = Record::default();
    // Each connection is kept through its first answer, closed by the backend a moment after its second.
    let asked = Mutex::new(0);
    let addresses = backends(1, &record, move |_, _| {
        let mut asked = asked.lock().unwrap();
        *asked += 1;
        // The first eight come side by side, each on a connection of its own.
        if *asked <= 8 {
            drop(asked);
            thread::sleep(Duration::from_millis(60));
            return ok(b"x");
        }
        Act::SayAndCloseLater(reply("200 OK", "", b"x"))
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let first: Vec<_> = (0..8)
        .map(|_| {
            let address = node.address;
            thread::spawn(move || ask(address, &request("page", 4000)).status())
        })
        .collect();
    let first: Vec<u16> = first.into_iter().map(|f| f.join().unwrap()).collect();
    let opened = record.open_now();
    assert!(first.iter().all(|s| *s == 200) && opened >= 2, "{first:?} on {opened} connections");
    for n in 0..u64::from(opened) * 2 {
        quiet_moment();
        assert_eq!(ask(node.address, &request("bid", 900)).status(), 200, "bid {n}");
        wait_for("its connection closes", || u64::from(record.closed.load(SeqCst)) > n);
    }
}
