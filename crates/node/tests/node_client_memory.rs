//! Hundreds of clients at once that write slowly, stop half way, send heads of many short fields or read nothing: the
//! process stays within its memory limit, and other clients are answered.

use applemill_stand_ins::*;
use std::io::{ErrorKind, Write};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// The memory limit of the node.
const MEMORY_MB: u64 = 40;
/// The descriptors that it may open: with so many, memory is what limits its clients.
const SOCKETS: u64 = 4096;
const CLIENTS: usize = 900;
/// How often the clients connect anew.
const ROUNDS: usize = 2;
const BODY_BYTES: usize = 60_000;
/// How long the clients of a round go on.
const ROUND_TIME: Duration = Duration::from_secs(2);
/// Interval between two parts of what clients write.
const PART_INTERVAL: Duration = Duration::from_millis(30);
/// How long other clients may wait for an answer; they send requests of 4 s.
const OTHERS_WAIT: Duration = Duration::from_secs(4);

/// One test at a time: each has hundreds of connections.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// What a client sends at first, and then again and again.
struct Sent {
    first: Vec<u8>,
    then: Vec<u8>,
}

/// A client that does not wait for anything.
struct HastyClient {
    client: Client,
    unsent: Vec<u8>,
    then: Vec<u8>,
}

impl HastyClient {
    fn connect(node: &Node, sent: Sent) -> Option<HastyClient> {
        let client = Client::try_connect(node.address)?;
        // Answers that are not read do not fit the socket's buffers.
        let _ = socket2::SockRef::from(&client.stream).set_recv_buffer_size(4096);
        client.stream.set_nonblocking(true).ok()?;
        let mut hasty = HastyClient { client, unsent: sent.first, then: sent.then };
        hasty.write();
        Some(hasty)
    }

    fn write(&mut self) {
        match self.client.stream.write(&self.unsent) {
            Ok(written) => drop(self.unsent.drain(..written)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.unsent.clear(),
        }
    }

    fn write_next_part(&mut self) {
        if self.unsent.is_empty() {
            self.unsent.clone_from(&self.then);
        }
        self.write();
    }
}

fn short_fields(count: usize) -> String {
    (0..count).map(|n| format!("a{n}:b\r\n")).collect()
}

/// The head of a payment with a body of [`BODY_BYTES`].
fn upload_head(number: usize, fields: &str) -> Vec<u8> {
    format!(
        "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: upload-{number}\r\nX-Qos: pay\r\nX-Expires-In-Ms: 4000\r\n\
         Idempotency-Key: key-{number}\r\n{fields}Content-Length: {BODY_BYTES}\r\n\r\n"
    )
    .into_bytes()
}

fn body(bytes: usize) -> Vec<u8> {
    vec![b'x'; bytes]
}

/// Checks the memory of a node with such clients, and that others are answered meanwhile. Servers answer after
/// `server_time` with a large body.
fn assert_memory_is_kept(server_time: Duration, sent: impl Fn(usize) -> Sent) {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let record = Record::default();
    let addresses = backends(4, &record, move |_, _| {
        thread::sleep(server_time);
        ok(&body(BODY_BYTES))
    });
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |config| {
        config["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
    });
    let mut clients = Vec::new();
    for round in 0..ROUNDS {
        let connected = (0..CLIENTS).filter_map(|n| HastyClient::connect(&node, sent(round * CLIENTS + n)));
        clients = connected.collect::<Vec<HastyClient>>();
        let end = Instant::now() + ROUND_TIME;
        while Instant::now() < end {
            clients.iter_mut().for_each(HastyClient::write_next_part);
            thread::sleep(PART_INTERVAL);
        }
        let asked = Instant::now();
        assert!(attempt(node.address, &request("page", 4000)).is_some(), "another client is answered");
        assert!(asked.elapsed() < OTHERS_WAIT, "another client's answer took {:?}", asked.elapsed());
    }
    assert!(node.running());
    let peak_kb = node.peak_memory_kb();
    assert!(peak_kb <= MEMORY_MB * 1024, "{peak_kb} kB");
    drop(clients);
}

/// Guards against bodies that take more memory than is counted for them.
#[test]
fn uploads_that_stop_half_way_stay_within_the_memory_limit() {
    assert_memory_is_kept(Duration::ZERO, |number| Sent {
        first: [upload_head(number, ""), body(BODY_BYTES / 2)].concat(),
        then: Vec::new(),
    });
}

/// Guards against the same while the bodies grow.
#[test]
fn slow_uploads_stay_within_the_memory_limit() {
    assert_memory_is_kept(Duration::ZERO, |number| Sent {
        first: [upload_head(number, ""), body(3000)].concat(),
        then: body(3000),
    });
}

/// Guards against the same where bodies wait for slow servers.
#[test]
fn uploads_to_slow_servers_stay_within_the_memory_limit() {
    assert_memory_is_kept(Duration::from_millis(2500), |number| Sent {
        first: [upload_head(number, ""), body(BODY_BYTES)].concat(),
        then: Vec::new(),
    });
}

/// Guards against heads whose fields take far more memory than their text.
#[test]
fn heads_of_many_short_fields_stay_within_the_memory_limit() {
    assert_memory_is_kept(Duration::ZERO, |number| Sent {
        first: upload_head(number, &short_fields(88)),
        then: Vec::new(),
    });
}

/// Guards against answers that are held for clients that do not read them.
#[test]
fn answers_that_are_not_read_stay_within_the_memory_limit() {
    assert_memory_is_kept(Duration::ZERO, |_| Sent {
        first: (0..20).flat_map(|_| request("page", 4000)).collect(),
        then: Vec::new(),
    });
}
