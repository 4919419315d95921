//! The platform's side of a case: servers that count bids by their first bytes, clients that send them, and the node's
//! configuration.

use crate::{Head, Record, read_answer, serve, skip, write_ok};
use std::hash::{BuildHasher, RandomState};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a server works on a bid.
const WORK: Duration = Duration::from_millis(40);
const BID_PAUSE: Duration = Duration::from_millis(40);

/// A server's doings: when bids began, and whether it has ended.
#[derive(Default)]
pub struct Server {
    /// When bids began, by their first bytes.
    pub begun: Mutex<Vec<Instant>>,
    /// Set when the server ends: it breaks its connections and answers nothing more.
    pub ended: AtomicBool,
}

/// Starts a server that works on each bid for a while.
pub fn server(state: Arc<Server>) -> SocketAddr {
    serve(move |mut stream| {
        stream.set_read_timeout(Some(Duration::from_millis(20)))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut first = [0];
        loop {
            if state.ended.load(SeqCst) {
                return Ok(());
            }
            // For drains a request counts from its first byte.
            match stream.peek(&mut first) {
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(e) => return Err(e),
            }
            let began = Instant::now();
            let Some(head) = Head::read(&mut reader)? else { return Ok(()) };
            skip(&mut reader, head.length())?;
            if head.path().starts_with("/api") {
                state.begun.lock().unwrap().push(began);
                thread::sleep(WORK);
                if state.ended.load(SeqCst) {
                    return Ok(());
                }
            }
            write_ok(&mut stream, "sold")?;
        }
    })
}

/// Sends bids on one connection until told to end; counts those answered 200, refused, and failed.
pub fn bid_on(
    address: SocketAddr,
    client: usize,
    end: &AtomicBool,
    counts: &[AtomicUsize; 3],
    record: &Record,
) {
    let mut number = 0;
    while !end.load(SeqCst) {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1_500)));
        let Ok(copy) = stream.try_clone() else { continue };
        let mut reader = BufReader::new(copy);
        while !end.load(SeqCst) {
            number += 1;
            let request = format!(
                "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {client:04x}{number:012x}\r\nX-Qos: bid\r\n\
                 X-Expires-In-Ms: 900\r\nContent-Length: 3\r\n\r\n100"
            );
            if stream.write_all(request.as_bytes()).is_err() {
                break;
            }
            let Ok(answer) = read_answer(&mut reader) else {
                record.line(format!("client {client}: bid {number} has no answer"));
                counts[2].fetch_add(1, SeqCst);
                break;
            };
            let kind = match answer.status {
                200 => 0,
                429 | 503 => 1,
                status => {
                    record.line(format!("client {client}: bid {number} answered {status}"));
                    2
                }
            };
            counts[kind].fetch_add(1, SeqCst);
            thread::sleep(BID_PAUSE);
        }
    }
}

/// How a node gets its list.
pub struct Lists<'a> {
    /// `pushed` or `on_request`.
    pub mode: &'a str,
    /// Where discovery, or its agent, listens.
    pub discovery: SocketAddr,
    /// The list as the node last had it, in discovery's form.
    pub known: &'a str,
}

/// The configuration of one of `nodes` nodes, with settings like those of a small deployment.
pub fn config(number: usize, nodes: usize, listen: SocketAddr, lists: &Lists<'_>) -> String {
    let Lists { mode, discovery, known } = lists;
    // New with each start, as the platform has it.
    let seed = RandomState::new().hash_one(number);
    format!(
        "{{\"name\":\"n{number}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:016x}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"known\":{known},\"settings\":{{\
         \"areas\":[\"a\",\"b\"],\"zone\":\"a\",\"instances\":{nodes},\"slotNo\":{number},\"tickMs\":5.0,\
         \"membershipMode\":\"{mode}\",\
         \"classes\":[{{\"name\":\"bid\",\"semantics\":\"at_most_once\",\"objectiveMs\":500,\"hardLimitMs\":900,\"value\":10}}],\
         \"limits\":{{\"attemptsCap\":4,\"connIdleMs\":15000.0,\"connectTimeoutMs\":300.0,\"mayCancel\":true,\
         \"maxRetryAfterMs\":2000.0,\"maxStreams\":1,\"openCap\":20000,\"peerMessages\":false,\"probing\":false,\
         \"retryAfter\":true,\"secondCopies\":true}},\
         \"rules\":{{\"coldMs\":22000.0,\"startCapacity\":0.14,\"fallMultiple\":3.0,\"fallMs\":1500.0,\
         \"drainGraceMs\":500.0,\"mustAskInMs\":10000.0}}}}}}"
    )
}
