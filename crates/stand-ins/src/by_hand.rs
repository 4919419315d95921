//! A floor server that does nothing by itself: the test decides what it writes and when it closes a
//! connection.

use crate::http::Message;
use crate::{PATIENCE, loopback};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// An accepted connection.
struct Accepted {
    /// None after this side has closed the connection.
    stream: Option<TcpStream>,
    requests: Vec<Message>,
    /// Whether the other side has closed the connection.
    ended: bool,
}

type Connections = Arc<(Mutex<Vec<Accepted>>, Condvar)>;

/// The server. It reads and records complete requests and answers none of them by itself.
pub struct ByHand {
    /// The address that it listens at.
    pub address: SocketAddr,
    listener: Option<TcpListener>,
    connections: Connections,
}

impl ByHand {
    /// Starts a server on a free port.
    ///
    /// # Errors
    /// The server cannot listen.
    pub fn start() -> std::io::Result<ByHand> {
        let mut server =
            ByHand { address: loopback(0), listener: None, connections: Connections::default() };
        server.listen()?;
        Ok(server)
    }

    /// Listens again at the same address, after [`ByHand::end`].
    ///
    /// # Errors
    /// The address is in use.
    pub fn listen(&mut self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        self.address = listener.local_addr()?;
        let (acceptor, connections) = (listener.try_clone()?, self.connections.clone());
        self.listener = Some(listener);
        thread::spawn(move || {
            for stream in acceptor.incoming() {
                let Ok(stream) = stream else { return };
                let Ok(copy) = stream.try_clone() else { continue };
                let number = {
                    let mut all = locked(&connections);
                    all.push(Accepted { stream: Some(stream), requests: Vec::new(), ended: false });
                    all.len() - 1
                };
                let connections = connections.clone();
                thread::spawn(move || read_requests(&connections, number, copy));
            }
        });
        Ok(())
    }

    /// Simulates the end of the server's process: stops listening and closes all connections.
    pub fn end(&mut self) {
        if let Some(listener) = self.listener.take() {
            // Wakes the accepting thread, which holds a second descriptor of the listener.
            let _ = socket2::SockRef::from(&listener).shutdown(Shutdown::Both);
        }
        for connection in locked(&self.connections).iter_mut() {
            close(connection);
        }
    }

    /// Waits for a connection with more requests than `seen` states, and returns its number and the first
    /// further request; none if none comes in time. `seen` has a count for each connection in the order of
    /// acceptance; missing counts are 0.
    pub fn next(&self, seen: &[usize]) -> Option<(usize, Message)> {
        let find_new = |all: &[Accepted]| {
            let mut pairs = all.iter().enumerate();
            pairs.find_map(|(n, t)| Some((n, t.requests.get(seen.get(n).copied().unwrap_or(0))?.clone())))
        };
        let all = self.wait(|all| find_new(all).is_some());
        find_new(&all)
    }

    /// Waits until the other side has closed a connection; false if it does not in time.
    pub fn closed(&self, number: usize) -> bool {
        let ended = |all: &[Accepted]| all.get(number).is_some_and(|t| t.ended);
        let all = self.wait(ended);
        ended(&all)
    }

    /// Number of requests received on each connection.
    pub fn counts(&self) -> Vec<usize> {
        locked(&self.connections).iter().map(|t| t.requests.len()).collect()
    }

    /// All requests received, by connection.
    pub fn requests(&self) -> Vec<Message> {
        locked(&self.connections).iter().flat_map(|t| t.requests.iter().cloned()).collect()
    }

    /// Writes on a connection.
    pub fn write(&self, number: usize, bytes: &[u8]) {
        if let Some(stream) = locked(&self.connections).get_mut(number).and_then(|t| t.stream.as_mut()) {
            let _ = stream.write_all(bytes);
        }
    }

    /// Closes a connection without a reset.
    pub fn close(&self, number: usize) {
        if let Some(connection) = locked(&self.connections).get_mut(number) {
            close(connection);
        }
    }

    /// Resets a connection.
    pub fn reset(&self, number: usize) {
        if let Some(stream) = locked(&self.connections).get_mut(number).and_then(|t| t.stream.take()) {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            // Wakes the reading thread, which holds the last descriptor.
            let _ = stream.shutdown(Shutdown::Read);
        }
    }

    /// Waits until `done`, for a fifth of [`PATIENCE`] at most.
    fn wait(&self, done: impl Fn(&[Accepted]) -> bool) -> MutexGuard<'_, Vec<Accepted>> {
        let (_, changed) = &*self.connections;
        let waited = changed.wait_timeout_while(locked(&self.connections), PATIENCE / 5, |all| !done(all));
        waited.unwrap_or_else(std::sync::PoisonError::into_inner).0
    }
}

impl Drop for ByHand {
    fn drop(&mut self) {
        self.end();
    }
}

fn locked(connections: &Connections) -> MutexGuard<'_, Vec<Accepted>> {
    connections.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn close(connection: &mut Accepted) {
    if let Some(stream) = connection.stream.take() {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Records the requests of one connection until it ends.
fn read_requests(connections: &Connections, number: usize, stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    loop {
        let message = Message::read(&mut reader);
        let ended = message.is_none();
        if let Some(connection) = locked(connections).get_mut(number) {
            connection.requests.extend(message);
            connection.ended = ended;
        }
        connections.1.notify_all();
        if ended {
            return;
        }
    }
}
