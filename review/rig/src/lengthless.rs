//! Trial: whole answers that have no length and end with their connection.

use crate::platform;
use crate::rig::{Exchange, Outcome, Rig, exchange, header, listen, read_head};
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const REQUESTS: usize = 30;

pub fn play(rig: &Rig) -> Outcome {
    let answered = Arc::new(AtomicUsize::new(0));
    let mut servers = Vec::new();
    for _ in 0..3 {
        let (rig, answered) = (rig.clone(), answered.clone());
        servers.push(listen(move |mut stream| {
            let Ok(Some((head, _))) = read_head(&mut stream) else { return };
            rig.say(&format!("server: {}", header(&head, "x-trace-id").unwrap_or_default()));
            let length =
                if rig.trouble() { "Connection: close" } else { "Connection: close\r\nContent-Length: 5" };
            if stream.write_all(format!("HTTP/1.1 200 OK\r\n{length}\r\n\r\nwhole").as_bytes()).is_ok() {
                answered.fetch_add(1, Ordering::SeqCst);
            }
        })?);
    }
    let node = platform::start(rig, &servers)?;
    let mut passed = 0;
    for number in 0..2 * REQUESTS {
        let is_bid = number % 2 == 0;
        let request = platform::request(&format!("r{number}"), is_bid);
        let end = exchange(node, request.as_bytes(), Duration::from_secs(5));
        rig.say(&format!("client: {} r{number}: {end:?}", if is_bid { "bid" } else { "page" }));
        passed += usize::from(end == Exchange::Answered(200, b"whole".into()));
        std::thread::sleep(Duration::from_millis(20));
    }
    let answered = answered.load(Ordering::SeqCst);
    rig.say(&format!("{answered} whole answers of servers, {passed} of {} requests got one", 2 * REQUESTS));
    if answered < REQUESTS {
        return Err("the servers had too few requests".into());
    }
    // "of the answers with no length that come whole, half at least are forwarded"
    Ok(2 * passed < answered)
}
