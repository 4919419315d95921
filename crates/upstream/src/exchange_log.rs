//! Logs each exchange with a backend: the request's id, the backend, and how it ended.

use crate::call::Call;
use crate::conn::ExchangeError;
use crate::headers::TRACE_ID;
use applemill_ledger::Payload;
use std::cell::Cell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tracing::debug;

/// Logs the end of an exchange, also when its task is dropped.
pub(crate) struct ExchangeLog {
    /// The client's request; `None` for a probe.
    call: Option<Rc<Call>>,
    address: SocketAddr,
    started: Instant,
    ended: Cell<bool>,
}

impl ExchangeLog {
    /// Logs the start of an exchange with the backend at `address`, which is told that `left_ms` are left. `kept`
    /// says that the connection has carried a request before.
    pub(crate) fn start(
        payload: &Payload<Rc<Call>>,
        address: SocketAddr,
        left_ms: f64,
        kept: bool,
    ) -> ExchangeLog {
        let call = match payload {
            Payload::Call(call) => Some(call.clone()),
            Payload::Probe => None,
        };
        let log = ExchangeLog { call, address, started: Instant::now(), ended: Cell::new(false) };
        debug!(request = log.request_id(), %address, left_ms, kept, "sends to a backend");
        log
    }

    /// The exchange has ended, with a complete answer or a failure.
    pub(crate) fn ended(&self, failure: Option<&ExchangeError>) {
        self.ended.set(true);
        match failure {
            None => self.write(&"complete"),
            Some(failure) => self.write(failure),
        }
    }

    fn request_id(&self) -> &str {
        let id = self.call.as_ref().and_then(|call| call.headers.get(TRACE_ID));
        id.and_then(|id| id.to_str().ok()).unwrap_or("none")
    }

    fn write(&self, result: &dyn Display) {
        let elapsed_ms = self.started.elapsed().as_millis();
        let address = self.address;
        debug!(request = self.request_id(), %address, elapsed_ms, "exchange with a backend ended: {result}");
    }
}

impl Drop for ExchangeLog {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.write(&"given up");
        }
    }
}
