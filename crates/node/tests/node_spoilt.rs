//! Answers that are none, and answers with more behind them than belongs to them.

use applemill_stand_ins::*;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Each way to spoil an answer; the connection stays open.
fn spoilt() -> Vec<(&'static str, Vec<u8>)> {
    let whole = |head: &str| format!("HTTP/1.1 {head}\r\n\r\nbody").into_bytes();
    vec![
        ("noise", (0..=255).cycle().take(600).collect()),
        ("no status", whole("two hundred\r\nContent-Length: 4")),
        ("a header with no colon", whole("200 OK\r\nContent-Length 4")),
        ("a head without end", ["HTTP/1.1 200 OK\r\nX-Long: ", &"x".repeat(400_000)].concat().into_bytes()),
        ("a length that is none", whole("200 OK\r\nContent-Length: many")),
        ("a negative length", whole("200 OK\r\nContent-Length: -4")),
        ("two lengths", whole("200 OK\r\nContent-Length: 4\r\nContent-Length: 3")),
        ("both framings", whole("200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked")),
        ("no length", whole("200 OK")),
        ("a body that is too short", whole("200 OK\r\nContent-Length: 400")),
        ("chunks that are none", whole("200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")),
        ("3 GB", [whole("200 OK\r\nContent-Length: 3000000000"), vec![b'x'; 500_000]].concat()),
        ("another protocol", whole("101 Switching Protocols\r\nUpgrade: other")),
    ]
}

#[test]
fn a_spoilt_answer_is_a_failed_attempt_that_may_have_run() {
    for (kind, bytes) in spoilt() {
        let record = Record::default();
        // The first answer to each request is spoilt, the second is not.
        let addresses =
            backends(
                4,
                &record,
                move |n, _| if n % 2 == 0 { Act::Say(bytes.clone()) } else { ok(b"good") },
            );
        let discovery = Discovery::start(all_up(&addresses));
        let mut node = Node::start(discovery.address, |_| {});
        // Long after the time that a spoilt answer is seen in, long before any deadline.
        let soon = Duration::from_millis(1200);
        for class in ["page", "pay"] {
            let (before, begun) = (record.count(), Instant::now());
            let answer = ask(node.address, &request(class, 4000));
            assert_eq!((answer.status(), &answer.body[..]), (200, &b"good"[..]), "{kind}, {class}");
            assert!(begun.elapsed() < soon, "{kind}: {:?}", begun.elapsed());
            assert_eq!(record.count(), before + 2, "{kind}, {class}");
        }
        // An unsafe one may have run: failed, no promise, no second attempt.
        let before = record.count();
        assert_eq!(ask(node.address, &request("bid", 900)).status(), 502, "{kind}");
        assert_eq!(record.count(), before + 1, "{kind}");
        assert!(node.memory_kb() < 48 * 1024, "{kind}: {} KB", node.memory_kb());
        node.terminate();
        assert!(node.ended().success());
        assert!(!node.log().contains("congested"), "{kind}: backends were blamed");
    }
}

#[test]
fn one_spoilt_answer_costs_its_backend_no_other_connection() {
    let record = Record::default();
    let addresses = backends(1, &record, |n, _| {
        std::thread::sleep(Duration::from_millis(100));
        if n == 3 { Act::Say(b"noise, and no answer\r\n\r\n".to_vec()) } else { ok(b"x") }
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut clients: Vec<Client> = (0..3).map(|_| Client::connect(node.address)).collect();
    clients.iter_mut().for_each(|c| assert!(c.send(&request("bid", 900))));
    clients.iter_mut().for_each(|c| assert_eq!(c.answer().unwrap().status(), 200));
    let opened = record.opened.load(Ordering::SeqCst);
    quiet_moment();
    assert_eq!(ask(node.address, &request("bid", 900)).status(), 502);
    wait_for("the spoilt connection closes", || record.closed.load(Ordering::SeqCst) >= 1);
    assert_eq!(record.closed.load(Ordering::SeqCst), 1);
    assert_eq!(ask(node.address, &request("bid", 900)).status(), 200);
    assert_eq!(record.opened.load(Ordering::SeqCst), opened, "a new connection");
}

#[test]
fn what_comes_behind_an_answer_answers_nothing() {
    let right = |n: usize| format!("answer {n}").into_bytes();
    let surplus: [Vec<u8>; 3] =
        [reply("200 OK", "", b"answer of another"), b"\0\x01 noise".to_vec(), b"\r\n".to_vec()];
    for (later, extra) in surplus.iter().flat_map(|s| [(false, s.clone()), (true, s.clone())]) {
        let record = Record::default();
        let addresses = backends(1, &record, move |n, _| {
            let good = reply("200 OK", "", &right(n));
            if later {
                Act::SayAndThen(good, Duration::from_millis(2), extra.clone())
            } else {
                Act::Say([good, extra.clone()].concat())
            }
        });
        let discovery = Discovery::start(all_up(&addresses));
        let node = Node::start(discovery.address, |_| {});
        let mut client = Client::connect(node.address);
        for n in 0..20 {
            let answer = client.ask(&request("bid", 900));
            assert_eq!((answer.status(), answer.body), (200, right(n)), "later: {later}");
        }
    }
}

#[test]
fn what_comes_ahead_of_an_answer_and_load_reports_that_cannot_be_read_do_no_harm() {
    let record = Record::default();
    let ahead = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    let reports =
        ["", "TEXT", "inflight", "TEXT inflight=-7, util=1e999, queue=NaN", "BIN \u{ff}", "a=b=c,,=;"];
    let addresses = backends(2, &record, move |n, _| {
        let report = format!("Endpoint-Load-Metrics: {}\r\n", reports[n % reports.len()]);
        let good = reply("200 OK", &report, b"good");
        Act::Say([ahead.as_bytes(), &good].concat())
    });
    let discovery = Discovery::start(all_up(&addresses));
    for via in ["none", "answers"] {
        let node = Node::start(discovery.address, |c| {
            c["settings"]["reporting"] =
                serde_json::json!({"via": via, "names": ["inflight", "queue", "util"]});
        });
        let mut client = Client::connect(node.address);
        for n in 0..3 * reports.len() {
            let answer = client.ask(&request("bid", 900));
            assert_eq!((answer.status(), &answer.body[..]), (200, &b"good"[..]), "{via}, request {n}");
        }
    }
}
