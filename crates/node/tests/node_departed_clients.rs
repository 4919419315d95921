//! Clients that have sent more than a system's buffers hold and are gone: the end of their connection stands behind what
//! is unread, and nothing begins for them all the same.

use applemill_stand_ins::*;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// How long servers take. It is over well after the client has left.
const SERVER_TIME: Duration = Duration::from_millis(400);
/// How long a client goes on sending.
const SENDING_TIME: Duration = Duration::from_millis(150);
/// Nothing begins later than this after the client has closed its connection.
const CLOSE_GRACE: Duration = Duration::from_millis(100);
/// How long servers are watched after that.
const WATCHED: Duration = Duration::from_millis(1_500);

/// A payment with a body of any length.
fn payment(number: usize, body_bytes: usize) -> Vec<u8> {
    let mut bytes = format!(
        "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: gone-{number}\r\nX-Qos: pay\r\nX-Expires-In-Ms: 4000\r\n\
         Idempotency-Key: key-{number}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
    .into_bytes();
    bytes.resize(bytes.len() + body_bytes, b'x');
    bytes
}

/// Sends so many payments at once as far as they go, leaves, and returns how many requests reached the servers before
/// and after the grace.
fn arrivals_around_the_close(count: usize, body_bytes: usize, fails: bool) -> (usize, usize) {
    let record = Record::default();
    let addresses = backends(3, &record, move |_, _| {
        thread::sleep(SERVER_TIME);
        if fails { Act::Say(reply("500 Internal Server Error", "", b"")) } else { ok(b"x") }
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let bytes: Vec<u8> = (0..count).flat_map(|number| payment(number, body_bytes)).collect();
    let mut client = Client::connect(node.address);
    client.stream.set_nonblocking(true).unwrap();
    let (started, mut sent) = (Instant::now(), 0);
    while started.elapsed() < SENDING_TIME {
        sent += client.stream.write(&bytes[sent..]).unwrap_or(0);
        thread::sleep(Duration::from_millis(1));
    }
    drop(client);
    thread::sleep(CLOSE_GRACE);
    let in_time = record.count();
    thread::sleep(WATCHED);
    (in_time, record.count() - in_time)
}

/// The numbers of payments and their lengths.
const SHAPES: [(usize, usize); 3] = [(10_000, 4), (3, 50_000), (400, 10_000)];

/// Guards against beginning the next request right after the answer that a gone client does not get.
#[test]
fn no_further_request_begins_for_a_client_that_has_gone_with_much_unread() {
    for (count, body_bytes) in SHAPES {
        let (in_time, late) = arrivals_around_the_close(count, body_bytes, false);
        assert!(in_time > 0);
        assert_eq!(late, 0, "{count} payments of {body_bytes} bytes");
    }
}

/// Guards against sending the same request again for such a client.
#[test]
fn no_further_attempt_begins_for_a_client_that_has_gone_with_much_unread() {
    for (count, body_bytes) in SHAPES {
        let (in_time, late) = arrivals_around_the_close(count, body_bytes, true);
        assert!(in_time > 0);
        assert_eq!(late, 0, "{count} payments of {body_bytes} bytes");
    }
}
