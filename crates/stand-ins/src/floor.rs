//! Floor servers that answer as a script says, and the record of the requests they received.

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
    /// Writes the bytes and waits for the next request.
    Say(Vec<u8>),
    /// Writes the bytes and closes the connection.
    SayAndClose(Vec<u8>),
    /// Writes the bytes and resets the connection.
    SayAndReset(Vec<u8>),
    /// Writes the bytes and closes the connection 50 ms later, so that the other side reads them before the
    /// end.
    SayAndCloseLater(Vec<u8>),
    /// Writes the first bytes, and the second after the delay.
    SayAndThen(Vec<u8>, Duration, Vec<u8>),
    /// Writes nothing and keeps the connection open.
    Silent,
}

/// Answers 200 with a body.
pub fn ok(body: &[u8]) -> Act {
    Act::Say(reply("200 OK", "", body))
}

type Script = Arc<dyn Fn(usize, &Message) -> Act + Send + Sync>;

/// Requests received by the backends that share this record, and counts of their connections.
#[derive(Clone, Default)]
pub struct Record {
    /// Every request, in the order of arrival.
    pub seen: Arc<Mutex<Vec<Message>>>,
    /// Connections opened.
    pub opened: Arc<AtomicU32>,
    /// Connections closed.
    pub closed: Arc<AtomicU32>,
}

impl Record {
    /// Number of requests so far.
    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }

    /// Number of open connections.
    pub fn open_now(&self) -> u32 {
        self.opened.load(Ordering::SeqCst) - self.closed.load(Ordering::SeqCst)
    }
}

/// Starts a backend. `script` gets the number of the request among all backends of the record, from 0.
pub fn backend(
    record: &Record,
    script: impl Fn(usize, &Message) -> Act + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    backend_on(listener, record, Arc::new(script));
    address
}

/// Starts `count` backends with one script.
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
        let count_close = CountClose(record.closed.clone());
        move |message: &Message| {
            let _ = &count_close;
            let n = record.seen.lock().map_or(0, |mut seen| {
                seen.push(message.clone());
                seen.len() - 1
            });
            script(n, message)
        }
    });
}

/// Counts the end of a connection on drop.
struct CountClose(Arc<AtomicU32>);

impl Drop for CountClose {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

/// Serves each connection in a thread. `opened` creates the handler for the requests of a connection.
pub(crate) fn serve<A>(listener: TcpListener, opened: impl Fn() -> A + Send + 'static)
where
    A: FnMut(&Message) -> Act + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let act = opened();
            thread::spawn(move || serve_connection(stream, act));
        }
    });
}

fn serve_connection(mut stream: TcpStream, mut act: impl FnMut(&Message) -> Act) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(message) = Message::read(&mut reader) {
        match act(&message) {
            Act::Say(bytes) => drop(stream.write_all(&bytes)),
            Act::SayAndClose(bytes) => {
                let _ = stream.write_all(&bytes);
                return;
            }
            Act::SayAndReset(bytes) => {
                let _ = stream.write_all(&bytes);
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
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
