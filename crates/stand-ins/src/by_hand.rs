//! A floor server that does nothing by itself: whoever plays it says what it writes, and when it closes what.

use crate::http::Message;
use crate::{PATIENCE, loopback};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// One connection to it.
struct Taken {
    /// None once this side has closed it.
    stream: Option<TcpStream>,
    requests: Vec<Message>,
    /// The other side has closed it.
    ended: bool,
}

type Connections = Arc<(Mutex<Vec<Taken>>, Condvar)>;

/// The server: requests are taken whole and kept, and wait.
pub struct ByHand {
    /// Where it listens.
    pub address: SocketAddr,
    listener: Option<TcpListener>,
    taken: Connections,
}

impl ByHand {
    /// Starts one.
    ///
    /// # Errors
    /// There is no place for it.
    pub fn start() -> std::io::Result<ByHand> {
        let mut server = ByHand { address: loopback(0), listener: None, taken: Connections::default() };
        server.listen()?;
        Ok(server)
    }

    /// Listens where it did before, after [`ByHand::end`].
    ///
    /// # Errors
    /// Something else does.
    pub fn listen(&mut self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        self.address = listener.local_addr()?;
        let (own, taken) = (listener.try_clone()?, self.taken.clone());
        self.listener = Some(listener);
        thread::spawn(move || {
            for stream in own.incoming() {
                let Ok(stream) = stream else { return };
                let Ok(copy) = stream.try_clone() else { continue };
                let number = {
                    let mut all = locked(&taken);
                    all.push(Taken { stream: Some(stream), requests: Vec::new(), ended: false });
                    all.len() - 1
                };
                let taken = taken.clone();
                thread::spawn(move || read(&taken, number, copy));
            }
        });
        Ok(())
    }

    /// Its process ends: nobody listens there, and all that is open closes.
    pub fn end(&mut self) {
        if let Some(listener) = self.listener.take() {
            // Wakes the thread that accepts, which holds the other descriptor of it.
            let _ = socket2::SockRef::from(&listener).shutdown(Shutdown::Both);
        }
        for taken in locked(&self.taken).iter_mut() {
            close(taken);
        }
    }

    /// Waits for a connection with more requests than it had by `seen` (by connection, in the order in which they came
    /// up; one that is not in it had none): its number, and the request.
    pub fn next(&self, seen: &[usize]) -> Option<(usize, Message)> {
        let fresh = |all: &[Taken]| {
            let mut pairs = all.iter().enumerate();
            pairs.find_map(|(n, t)| Some((n, t.requests.get(seen.get(n).copied().unwrap_or(0))?.clone())))
        };
        let all = self.wait(|all| fresh(all).is_some());
        fresh(&all)
    }

    /// Waits until the other side has closed one; false where it does not.
    pub fn closed(&self, number: usize) -> bool {
        let ended = |all: &[Taken]| all.get(number).is_some_and(|t| t.ended);
        let all = self.wait(ended);
        ended(&all)
    }

    /// Requests that have come, by connection.
    pub fn counts(&self) -> Vec<usize> {
        locked(&self.taken).iter().map(|t| t.requests.len()).collect()
    }

    /// All requests that have come.
    pub fn requests(&self) -> Vec<Message> {
        locked(&self.taken).iter().flat_map(|t| t.requests.iter().cloned()).collect()
    }

    /// Writes on a connection.
    pub fn write(&self, number: usize, bytes: &[u8]) {
        if let Some(stream) = locked(&self.taken).get_mut(number).and_then(|t| t.stream.as_mut()) {
            let _ = stream.write_all(bytes);
        }
    }

    /// Closes one in good order.
    pub fn close(&self, number: usize) {
        if let Some(taken) = locked(&self.taken).get_mut(number) {
            close(taken);
        }
    }

    /// Resets one.
    pub fn reset(&self, number: usize) {
        if let Some(stream) = locked(&self.taken).get_mut(number).and_then(|t| t.stream.take()) {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            // Wakes the reader, whose descriptor is the last one.
            let _ = stream.shutdown(Shutdown::Read);
        }
    }

    fn wait(&self, done: impl Fn(&[Taken]) -> bool) -> MutexGuard<'_, Vec<Taken>> {
        let (_, changed) = &*self.taken;
        let waited = changed.wait_timeout_while(locked(&self.taken), PATIENCE / 5, |all| !done(all));
        waited.unwrap_or_else(std::sync::PoisonError::into_inner).0
    }
}

impl Drop for ByHand {
    fn drop(&mut self) {
        self.end();
    }
}

fn locked(taken: &Connections) -> MutexGuard<'_, Vec<Taken>> {
    taken.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn close(taken: &mut Taken) {
    if let Some(stream) = taken.stream.take() {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn read(taken: &Connections, number: usize, stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    loop {
        let message = Message::read(&mut reader);
        let ended = message.is_none();
        if let Some(own) = locked(taken).get_mut(number) {
            own.requests.extend(message);
            own.ended = ended;
        }
        taken.1.notify_all();
        if ended {
            return;
        }
    }
}
