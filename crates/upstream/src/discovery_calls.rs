//! Calls to discovery on real sockets, each in a task of its own.

use crate::conn::{Conn, OutgoingRequest};
use crate::discovery::{Listing, parse_listing};
use applemill_socket::Descriptors;
use applemill_watch_calls::{CallId, Query};
use hyper::StatusCode;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::task::{AbortHandle, JoinSet};

/// The largest head of an answer from discovery.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The largest body of an answer: a full list is much larger than a request.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;
/// The end of a call: its list, and the connection that may serve the next call.
pub type CallEnd = (CallId, Result<(Listing, Conn), Box<dyn Error>>);

/// An open call.
struct CallTask {
    abort: AbortHandle,
    /// When the last bytes of the answer arrived, if that is not yet taken.
    moved: Rc<Cell<Option<Instant>>>,
}

/// The open calls. Dropping it closes their connections.
pub struct CallTasks {
    tasks: JoinSet<CallEnd>,
    open: BTreeMap<CallId, CallTask>,
    descriptors: Rc<Descriptors>,
    /// The connection of the last complete answer, for the next call.
    pub idle_conn: Option<Conn>,
}

impl CallTasks {
    /// No call is open.
    pub fn new(descriptors: Rc<Descriptors>) -> CallTasks {
        CallTasks { tasks: JoinSet::new(), open: BTreeMap::new(), descriptors, idle_conn: None }
    }

    /// Starts a call.
    pub fn start(&mut self, id: CallId, at: SocketAddr, query: Query) {
        let path = match query {
            Query::Changes { after, wait_ms } => {
                format!("/discovery/hosts?after={after}&wait_ms={wait_ms:.0}")
            }
            Query::WholeList => "/discovery/hosts".to_owned(),
        };
        let moved = Rc::new(Cell::new(None));
        let call = Call {
            at,
            path,
            conn: self.idle_conn.take().filter(Conn::is_alive),
            descriptors: self.descriptors.clone(),
            moved: moved.clone(),
        };
        let abort = self.tasks.spawn_local(async move { (id, call.run().await) });
        self.open.insert(id, CallTask { abort, moved });
    }

    /// Drops a call and its connection; false if it has ended.
    pub fn abort(&mut self, id: CallId) -> bool {
        let Some(task) = self.open.remove(&id) else { return false };
        task.abort.abort();
        true
    }

    /// Drops all calls and connections.
    pub fn abort_all(&mut self) {
        self.tasks.abort_all();
        self.open.clear();
        self.idle_conn = None;
    }

    /// The calls whose answers have moved since this was last asked, with the time.
    pub fn take_movements(&self) -> Vec<(CallId, Instant)> {
        self.open.iter().filter_map(|(id, task)| Some((*id, task.moved.take()?))).collect()
    }

    /// The next call that ends by itself; `None` if no call is open. Dropping the future loses nothing.
    pub async fn next_end(&mut self) -> Option<CallEnd> {
        loop {
            match self.tasks.join_next().await? {
                // A call may have been dropped just after its end.
                Ok((id, result)) if self.open.remove(&id).is_some() => return Some((id, result)),
                _ => {}
            }
        }
    }
}

/// One call, on a connection of its own.
struct Call {
    at: SocketAddr,
    path: String,
    conn: Option<Conn>,
    descriptors: Rc<Descriptors>,
    moved: Rc<Cell<Option<Instant>>>,
}

impl Call {
    async fn run(self) -> Result<(Listing, Conn), Box<dyn Error>> {
        let mut conn = match self.conn {
            Some(conn) => conn,
            None => Conn::connect(self.at, self.descriptors.acquire_immediately(), MAX_HEAD_BYTES).await?,
        };
        let request = OutgoingRequest::get(&self.path, self.at);
        let moved = || self.moved.set(Some(Instant::now()));
        let answer = conn.fetch(request, MAX_LIST_BYTES, moved).await?;
        if answer.status() != StatusCode::OK {
            return Err(format!("status {}", answer.status()).into());
        }
        let json = serde_json::from_slice(answer.body())?;
        let listing = parse_listing(&json).ok_or("the answer is not a list of backends")?;
        Ok((listing, conn))
    }
}
