//! The list of backends, the other nodes, and the node's own end.

use applemill_stand_ins::*;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_node_starts_from_the_known_list_while_discovery_is_down() {
    let record = Record::default();
    let addresses = backends(1, &record, |_, _| ok(b"x"));
    let known = json!({"rev": 41, "all": true, "targets": all_up(&addresses)});
    let node = Node::start(free_address(), |c| c["known"] = known);
    assert_eq!(ask(node.address, &request("page", 900)).status(), 200);
}

#[test]
fn a_bad_entry_does_not_hide_the_others() {
    let record = Record::default();
    let addresses = backends(1, &record, |_, _| ok(b"x"));
    let mut targets = all_up(&addresses);
    targets.insert(0, json!({"uid": "s-8", "endpoint": "nowhere", "state": "up"}));
    targets.insert(0, json!({"uid": 7, "endpoint": addresses[0].to_string(), "state": "up"}));
    targets.insert(0, json!("what?"));
    let discovery = Discovery::start(targets);
    let node = Node::start(discovery.address, |_| {});
    for _ in 0..5 {
        assert_eq!(ask(node.address, &request("bid", 900)).status(), 200);
    }
}

#[test]
fn a_discovery_that_falls_silent_is_asked_again_and_its_news_taken() {
    let record = Record::default();
    let addresses = backends(2, &record, |_, _| ok(b"x"));
    let discovery = Discovery::start(vec![target("s-0", addresses[0], "up")]);
    let node = Node::start(discovery.address, |_| {});
    wait_for("a watch is out", || discovery.calls() >= 2);
    discovery.silent(true);
    let calls = discovery.calls();
    wait_for("the silent call is given up and made again", || discovery.calls() > calls + 1);
    assert_eq!(ask(node.address, &request("page", 900)).status(), 200, "the old list holds meanwhile");
    discovery.set(vec![target("s-0", addresses[0], "draining")]);
    discovery.silent(false);
    wait_for("the news arrived", || node.up() == 503);
}

#[test]
fn a_drain_told_during_the_handshake_stops_the_send() {
    // A listener whose queue is full lets no connection come up until one is taken out.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&loopback(0).into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let filler = Client::connect(address);
    let discovery = Discovery::start(all_up(&[address]));
    // Time for several tries: an attempt waits for as long as the client does.
    let node = Node::start(discovery.address, |c| {
        c["settings"]["limits"]["connectTimeoutMs"] = 5000.into();
        c["settings"]["classes"][0]["objectiveMs"] = 4000.into();
    });
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("page", 4000)));
    wait_for("a handshake is under way", || tcp_state(address, SYN_SENT));
    discovery.set(vec![target("s-0", address, "draining")]);
    wait_for("the drain is known", || node.up() == 503);
    // Take the filler out: whoever still wants to connect can, at the next of its tries.
    let (first, _) = socket.accept().unwrap();
    drop((first, filler));
    assert_eq!(client.answer().unwrap().status(), 503);
    wait_for("no handshake is under way", || !tcp_state(address, SYN_SENT));
    socket.set_nonblocking(true).unwrap();
    assert!(socket.accept().is_err(), "connected to a draining backend");
}

#[test]
fn a_drain_closes_idle_connections() {
    let record = Record::default();
    let addresses = backends(1, &record, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    assert_eq!(ask(node.address, &request("page", 900)).status(), 200);
    assert_eq!(record.open_now(), 1);
    discovery.set(vec![target("s-0", addresses[0], "draining")]);
    wait_for("the connection is closed", || record.open_now() == 0);
}

#[test]
fn one_reset_clears_the_other_connections_of_the_same_backend() {
    // A machine that was cut off resets old connections only when something is sent on them.
    let record = Record::default();
    let back = Arc::new(AtomicBool::new(false));
    let script_back = back.clone();
    let opened = record.opened.clone();
    let addresses = backends(1, &record, move |_, _| {
        if !script_back.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(100));
            return ok(b"x");
        }
        // Whatever was opened before it came back is cut; only new connections are served.
        if opened.load(Ordering::SeqCst) == 2 { Act::SayAndClose(Vec::new()) } else { ok(b"x") }
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(node.address)).collect();
    for client in &mut clients {
        assert!(client.send(&request("bid", 900)));
    }
    for client in &mut clients {
        assert_eq!(client.answer().unwrap().status(), 200);
    }
    assert_eq!(record.open_now(), 2, "two connections stand idle");
    quiet_moment();
    back.store(true, Ordering::SeqCst);
    assert_eq!(clients[0].ask(&request("bid", 900)).status(), 502, "cut, and it may have run");
    assert_eq!(clients[0].ask(&request("bid", 900)).status(), 200, "sent on the other stale connection");
}

#[test]
fn where_discovery_is_asked_a_failed_call_is_made_again() {
    let record = Record::default();
    let addresses = backends(1, &record, |_, _| ok(b"x"));
    let targets = all_up(&addresses);
    // Nobody answers at first: the decisions ask again, until somebody does.
    let address = free_address();
    let node =
        Node::launch(address, |c| c["settings"]["membershipMode"] = "on_request".into(), "exec \"$0\"");
    wait_for("the node answers", || node.up() == 503);
    let discovery = Discovery::start_at(address, targets);
    wait_for("the list arrived", || node.up() == 200);
    discovery.set(vec![target("s-0", addresses[0], "draining")]);
    wait_for("the drain is known", || node.up() == 503);
}

#[test]
fn a_discovery_that_does_not_wait_is_not_asked_without_end() {
    let record = Record::default();
    let addresses = backends(1, &record, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    discovery.hasty(true);
    let _node = Node::start(discovery.address, |_| {});
    let calls = discovery.calls();
    thread::sleep(Duration::from_millis(1000));
    let calls = discovery.calls() - calls;
    // 200 ms is the longest pause after which a watch goes on.
    assert!((5..50).contains(&calls), "{calls} calls in a second");
}

#[test]
fn after_sigterm_an_endless_run_of_connections_does_not_keep_the_node() {
    let record = Record::default();
    let addresses = backends(1, &record, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let address = node.address;
    let over = Arc::new(AtomicBool::new(false));
    let told = over.clone();
    let stream = thread::spawn(move || {
        while !told.load(Ordering::SeqCst) {
            drop(Client::try_connect(address));
            thread::sleep(Duration::from_millis(20));
        }
    });
    node.terminate();
    let begun = Instant::now();
    let status = node.ended();
    over.store(true, Ordering::SeqCst);
    stream.join().unwrap();
    assert!(status.success() && begun.elapsed() < Duration::from_millis(3700), "{:?}", begun.elapsed());
}

#[test]
fn datagrams_of_any_kind_do_no_harm() {
    let record = Record::default();
    let addresses = backends(1, &record, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let peer = UdpSocket::bind(loopback(0)).unwrap();
    let own = free_address();
    let mut node = Node::start(discovery.address, |c| {
        c["peer_listen"] = own.to_string().into();
        c["peers"] = json!([own.to_string(), peer.local_addr().unwrap().to_string()]);
    });
    let stranger = UdpSocket::bind(loopback(0)).unwrap();
    for sender in [&peer, &stranger] {
        for length in [0, 1, 256, 257, 9000] {
            sender.send_to(&vec![0xff; length], own).unwrap();
        }
    }
    assert_eq!(ask(node.address, &request("page", 900)).status(), 200);
    assert!(node.running());
}

#[test]
fn sigterm_under_traffic_loses_nothing() {
    let record = Record::default();
    let addresses = backends(4, &record, |_, _| {
        thread::sleep(Duration::from_millis(30));
        ok(b"x")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let address = node.address;
    let told = Arc::new(AtomicBool::new(false));
    let idle: Vec<Client> = (0..3).map(|_| Client::connect(address)).collect();
    let mut clients = Vec::new();
    for n in 0..6 {
        let told = told.clone();
        clients.push(thread::spawn(move || {
            let mut served = 0;
            let mut until = None;
            let mut client = Client::connect(address);
            loop {
                if told.load(Ordering::SeqCst) && until.is_none() {
                    until = Some(Instant::now() + Duration::from_millis(400));
                }
                let over = until.is_some_and(|u| Instant::now() >= u);
                let class = if n % 2 == 0 { "page" } else { "bid" };
                assert!(
                    client.send(&request(class, 900)),
                    "client {n}: the connection was not announced to close"
                );
                let answer = client.answer().expect("taken and not answered");
                assert!(matches!(answer.status(), 200 | 503), "{}", answer.first_line);
                served += 1;
                let close = answer.header("connection") == Some("close");
                if over {
                    return (served, close);
                }
                if close {
                    client = Client::try_connect(address).expect("connections still come");
                }
            }
        }));
    }
    wait_for("traffic flows", || record.count() > 20);
    node.terminate();
    let begun = Instant::now();
    told.store(true, Ordering::SeqCst);
    for client in clients {
        let (served, close) = client.join().unwrap();
        assert!(served > 1 && close, "{served} answers, the last announces a close: {close}");
    }
    let status = node.ended();
    assert!(status.success(), "{status}");
    assert!(begun.elapsed() < Duration::from_millis(3000), "SIGKILL would have come");
    drop(idle);
}
