//! Floor servers that do as a script says, and the record of what they were sent.

use crate::http::{Message, reply};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a fake backend does with a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Writes this and goes on.
    Say(Vec<u8>),
    /// Writes this and closes.
    SayAndClose(Vec<u8>),
    /// Writes this and closes a moment after the other side has read it.
    SayAndCloseLater(Vec<u8>),
    /// Writes this, and the rest so much later.
    SayAndThen(Vec<u8>, Duration, Vec<u8>),
    /// Keeps the connection open and says nothing.
    Silent,
}

/// Serves with this body.
pub fn ok(body: &[u8]) -> Act {
    Act::Say(reply("200 OK", "", body))
}

type Script = Arc<dyn Fn(usize, &Message) -> Act + Send + Sync>;

/// What the backends that share it were sent, and their connections.
#[derive(Clone, Default)]
pub struct Record {
    /// Every request, in the order they came.
    pub seen: Arc<Mutex<Vec<Message>>>,
    /// Connections that came up.
    pub opened: Arc<AtomicU32>,
    /// Connections that ended.
    pub closed: Arc<AtomicU32>,
}

impl Record {
    /// Requests so far.
    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }

    /// Connections that are up.
    pub fn open_now(&self) -> u32 {
        self.opened.load(Ordering::SeqCst) - self.closed.load(Ordering::SeqCst)
    }
}

/// Starts a backend. `script` gets the number of the request over all backends of the record, from 0.
pub fn backend(
    record: &Record,
    script: impl Fn(usize, &Message) -> Act + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    backend_on(listener, record, Arc::new(script));
    address
}

/// `count` backends with one script.
pub fn backends(
    count: usize,
    record: &Record,
    script: impl Fn(usize, &Message) -> Act + Send + Sync + 'static,
) -> Vec<SocketAddr> {
    let script: Script = Arc::new(script);
    (0..count)
        .map(|_| {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
            let address = listener.local_addr().unwrap();
            backend_on(listener, record, script.clone());
            address
        })
        .collect()
}

fn backend_on(listener: TcpListener, record: &Record, script: Script) {
    let record = record.clone();
    serve(listener, move || {
        let (record, script) = (record.clone(), script.clone());
        record.opened.fetch_add(1, Ordering::SeqCst);
        let closed = Closed(record.closed.clone());
        move |message: &Message| {
            let _ = &closed;
            let n = record.seen.lock().map_or(0, |mut seen| {
                seen.push(message.clone());
                seen.len() - 1
            });
            script(n, message)
        }
    });
}

/// Counts a connection's end by being dropped.
struct Closed(Arc<AtomicU32>);

impl Drop for Closed {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

/// Serves connections, a thread each; `opened` gives what answers the requests of one.
pub(crate) fn serve<A>(listener: TcpListener, opened: impl Fn() -> A + Send + 'static)
where
    A: FnMut(&Message) -> Act + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let act = opened();
            thread::spawn(move || converse(stream, act));
        }
    });
}

fn converse(mut stream: TcpStream, mut act: impl FnMut(&Message) -> Act) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(message) = Message::read(&mut reader) {
        match act(&message) {
            Act::Say(bytes) => drop(stream.write_all(&bytes)),
            Act::SayAndClose(bytes) => {
                let _ = stream.write_all(&bytes);
                return;
            }
            Act::SayAndCloseLater(bytes) => {
                let _ = stream.write_all(&bytes);
                thread::sleep(Duration::from_millis(50));
                return;
            }
            Act::SayAndThen(bytes, wait, rest) => {
                let _ = stream.write_all(&bytes);
                thread::sleep(wait);
                let _ = stream.write_all(&rest);
            }
            Act::Silent => {}
        }
    }
}
