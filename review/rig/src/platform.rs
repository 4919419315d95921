//! A node of the platform before a fixed list of servers, for trials.

use crate::rig::{Rig, free_address, listen, read_head};
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// The configuration of a small deployment: pages are idempotent, bids run at most once.
pub fn config(listens: SocketAddr, discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listens}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{{"rev":0,"all":true,"targets":[]}},
"settings":{{"areas":["a"],"zone":"a","instances":1,"slotNo":0,"tickMs":5.0,"membershipMode":"pushed",
"classes":[{{"name":"lot-page","semantics":"idempotent","objectiveMs":1500,"hardLimitMs":4000,"value":5}},
{{"name":"place-bid","semantics":"at_most_once","objectiveMs":500,"hardLimitMs":900,"value":10}}],
"limits":{{"attemptsCap":4,"connIdleMs":15000.0,"connectTimeoutMs":300.0,"mayCancel":true,"maxRetryAfterMs":2000.0,
"maxStreams":1,"openCap":20000,"peerMessages":false,"probing":false,"retryAfter":true,"secondCopies":true}},
"rules":{{"coldMs":22000.0,"startCapacity":0.14,"fallMultiple":3.0,"fallMs":1500.0,"drainGraceMs":500.0,"mustAskInMs":10000.0}}}}}}"#
    )
}

/// An entry of discovery's list.
pub fn entry(number: usize, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"s-{number}","endpoint":"{address}","az":"a","model":"std","pod_group":1,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// Starts a node before these servers, with an agent whose list never changes, and waits until it is ready.
pub fn start(rig: &Rig, servers: &[SocketAddr]) -> Result<SocketAddr, String> {
    let entries: Vec<String> =
        servers.iter().enumerate().map(|(n, address)| entry(n, *address, "up")).collect();
    let list = format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, entries.join(","));
    let discovery = listen(move |mut stream| {
        while let Ok(Some((head, _))) = read_head(&mut stream) {
            let watches = head.contains("after=1");
            if watches {
                std::thread::sleep(Duration::from_millis(1900));
            }
            let body = if watches { r#"{"rev":1,"all":false,"targets":[]}"# } else { list.as_str() };
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })?;
    let listens = free_address()?;
    let file = rig.temporary("config.json");
    std::fs::write(&file, config(listens, discovery)).map_err(|e| e.to_string())?;
    rig.start_platform_node(&file, listens, discovery)?;
    rig.wait_until_up(listens)?;
    Ok(listens)
}

/// A bid or a page, as PROTOCOL has it.
pub fn request(id: &str, is_bid: bool) -> String {
    let (method, class, wait, length) = if is_bid {
        ("POST", "place-bid", 900, "Content-Length: 0\r\n")
    } else {
        ("GET", "lot-page", 4000, "")
    };
    format!(
        "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\n\
         X-Expires-In-Ms: {wait}\r\n{length}\r\n"
    )
}
