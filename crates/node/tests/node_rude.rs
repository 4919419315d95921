//! Clients that do not behave, while a usual one is served: each gets an error or a close soon, none reaches a
//! backend, and none takes what others need.

use applemill_stand_ins::*;
use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// What such a client is owed an end in, with room for a busy machine.
const SOON: Duration = Duration::from_secs(5);

/// The node ends this connection, with or without an error before.
fn ends(client: &mut Client) {
    client.stream.set_read_timeout(Some(SOON)).unwrap();
    let mut all = Vec::new();
    // A reset is an end too.
    let read = client.stream.read_to_end(&mut all);
    let open = matches!(&read, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
    assert!(!open, "still open");
    assert!(!all.starts_with(b"HTTP/1.1 2"), "served: {:?}", String::from_utf8_lossy(&all));
}

#[test]
fn silence_and_half_requests_are_ended_while_a_usual_client_is_served() {
    let record = Record::default();
    let addresses = backends(2, &record, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let halves: [&[u8]; 5] = [
        b"",
        b"GET /api HT",
        b"GET /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: a1\r\nX-Qos: page\r\nX-Expires-In-Ms: 4000\r\n",
        b"POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: a2\r\nX-Qos: pay\r\nIdempotency-Key: k\r\nX-Expires-In-Ms: 4000\r\nContent-Length: 9\r\n\r\nhalf",
        b"\x16\x03\x01\x02",
    ];
    let begun = Instant::now();
    let mut rude: Vec<Client> = halves
        .iter()
        .map(|half| {
            let mut client = Client::connect(node.address);
            assert!(client.send(half));
            client
        })
        .collect();
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        let usual = scope.spawn(|| {
            let mut served = 0;
            let mut client = Client::connect(node.address);
            while !over.load(Ordering::SeqCst) {
                assert_eq!(client.ask(&request("page", 4000)).status(), 200);
                served += 1;
            }
            served
        });
        rude.iter_mut().for_each(ends);
        over.store(true, Ordering::SeqCst);
        assert!(begun.elapsed() < SOON);
        assert_eq!(usual.join().unwrap(), record.count());
    });
}

#[test]
fn who_reads_nothing_and_who_sends_without_end_is_not_kept() {
    let record = Record::default();
    let addresses = backends(1, &record, |_, _| ok(&vec![b'x'; 60_000]));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let before = node.descriptors();
    // Far more asked for than sockets hold, and nothing read.
    let mut deaf = Client::connect(node.address);
    deaf.stream.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
    (0..400).take_while(|_| deaf.send(&request("page", 4000))).for_each(drop);
    let to_backends = || record.open_now() as usize;
    wait_for("the one who reads nothing is closed", || node.descriptors() <= before + to_backends());
    // 60 MB that nobody wants.
    let mut endless = Client::connect(node.address);
    let head =
        "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: b1\r\nX-Qos: bid\r\nContent-Length: 60000000\r\n\r\n";
    assert!(endless.send(head.as_bytes()));
    let begun = Instant::now();
    let part = vec![b'x'; 1_000_000];
    (0..60).take_while(|_| endless.send(&part)).for_each(drop);
    ends(&mut endless);
    assert!(begun.elapsed() < SOON);
    assert!(node.memory_kb() < 48 * 1024, "{} KB", node.memory_kb());
}

#[test]
fn the_id_of_an_open_request_is_turned_away_and_free_again_after() {
    let record = Record::default();
    let addresses = backends(2, &record, |n, _| {
        if n == 0 {
            thread::sleep(Duration::from_millis(300));
        }
        ok(b"x")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let first = request("page", 4000);
    let mut usual = Client::connect(node.address);
    assert!(usual.send(&first));
    wait_for("the request is open", || record.count() == 1);
    let refused = ask(node.address, &first);
    assert_eq!((refused.status(), refused.header("connection")), (409, Some("close")));
    assert_eq!(usual.answer().unwrap().status(), 200);
    assert_eq!(record.count(), 1);
    // Also free after a client that left.
    let second = request("page", 4000);
    for _ in 0..3 {
        let mut leaver = Client::connect(node.address);
        assert!(leaver.send(&second[..second.len() - 2]));
        drop(leaver);
    }
    for id in [first, second] {
        assert_eq!(ask(node.address, &id).status(), 200);
    }
}

#[test]
fn hundreds_of_strangers_take_neither_descriptors_nor_time_from_usual_clients() {
    let record = Record::default();
    let addresses = backends(4, &record, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| {
        c["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
    });
    let mut usual = Client::connect(node.address);
    let mut strangers = Vec::new();
    for round in 0..6 {
        for n in 0..100 {
            let mut stranger = Client::connect(node.address);
            // Some say nothing, some begin, some send what is no request.
            stranger.send([&b""[..], b"POST /api HTTP/1.1\r\nX-", b"\0\0\r\n\r\n"][n % 3]);
            strangers.push(stranger);
        }
        assert_eq!(usual.ask(&request("bid", 900)).status(), 200, "round {round}");
        quiet_moment();
        assert_eq!(ask(node.address, &request("page", 4000)).status(), 200, "round {round}");
        assert!(node.descriptors() <= 256, "{} descriptors", node.descriptors());
        quiet_moment();
        // A connection to a backend is dearer than a stranger's: none is made anew for these.
        assert!(record.opened.load(Ordering::SeqCst) <= 4, "{:?}", record.opened);
    }
    strangers.iter_mut().for_each(ends);
    assert_eq!(record.count(), 12);
    assert!(node.memory_kb() < 32 * 1024, "{} KB", node.memory_kb());
}

#[test]
fn bodies_take_no_more_than_their_part_of_the_memory() {
    let record = Record::default();
    let addresses = backends(4, &record, |_, _| {
        thread::sleep(Duration::from_millis(200));
        ok(b"x")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["limits"]["memory_mb"] = 1.into());
    let body = vec![b'x'; 60_000];
    // What is announced and held back takes nothing from others.
    let mut holders: Vec<Client> = (0..20).map(|_| Client::connect(node.address)).collect();
    for (n, holder) in holders.iter_mut().enumerate() {
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: h{n}\r\nX-Qos: bid\r\nContent-Length: 60000\r\n\r\n"
        );
        assert!(holder.send(head.as_bytes()));
    }
    assert_eq!(ask(node.address, &request("bid", 900)).status(), 200);
    let mut clients: Vec<Client> = (0..12).map(|_| Client::connect(node.address)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: c{n}\r\nX-Qos: bid\r\nX-Expires-In-Ms: 900\r\nContent-Length: 60000\r\n\r\n"
        );
        assert!(client.send(head.as_bytes()) && client.send(&body));
    }
    let answers: Vec<Message> = clients.iter_mut().map(|c| c.answer().unwrap()).collect();
    let of = |status| answers.iter().filter(move |a| a.status() == status);
    assert!(of(200).count() >= 3, "{answers:?}");
    assert!(of(503).count() >= 1 && of(503).all(|a| a.header("retry-after").is_some()), "{answers:?}");
    // And what they took comes back.
    wait_for("room again", || {
        let head =
            "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: d\r\nX-Qos: bid\r\nContent-Length: 60000\r\n\r\n";
        attempt(node.address, &[head.as_bytes(), &body].concat()).is_some_and(|m| m.status() == 200)
    });
}
