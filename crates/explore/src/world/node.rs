//! The model of the node: hands inputs to the ledger and carries out its effects at once.

use super::{ConnState, Connection, EXTRA_WINDOW_MS, Incoming, Run, World};
use crate::property::{Property, Violation};
use crate::subject::{In, Out};
use applemill_balancer::interface::{Load, Outcome};
use applemill_ledger::{AnswerProgress, ConnEvent, ConnId, ExchangeResult, Payload, RequestProgress};
use std::collections::VecDeque;

impl World<'_> {
    /// Hands in one input and carries out the effects, including inputs that follow from them.
    pub(super) fn hand_in(&mut self, input: In) -> Result<(), Violation> {
        let mut out = Vec::new();
        let mut next = Some(input);
        let mut waiting = VecDeque::new();
        while let Some(input) = next {
            self.subject.handle(self.now, input, &mut out);
            for effect in out.drain(..) {
                self.carry_out(effect, &mut waiting)?;
            }
            next = waiting.pop_front();
        }
        Ok(())
    }

    pub(super) fn carry_out(&mut self, effect: Out, waiting: &mut VecDeque<In>) -> Result<(), Violation> {
        if self.record_actions {
            self.actions.extend(crate::story::effect(&effect));
        }
        if self.stopped && matches!(effect, Out::Dial(..) | Out::Send { .. }) {
            let description = "a connection or request is started after the stop".to_owned();
            return Err(Violation { property: Property::Stop, description });
        }
        match effect {
            Out::Dial(id, at) => {
                let backend = self.addresses.iter().position(|a| *a == at).unwrap_or(0);
                let scarce = self.scenario.scarce_descriptors;
                let state = if scarce { ConnState::AwaitingDescriptor } else { ConnState::Dialling };
                let connection = Connection {
                    backend,
                    address: at,
                    state,
                    client: None,
                    written: RequestProgress::Nothing,
                    written_at: (0, 0),
                    handled: false,
                    incoming: Vec::new(),
                    quiet_since: None,
                    extra_pending: false,
                    stale: false,
                };
                self.connections.insert(id, connection);
                if !scarce {
                    waiting.push_back(In::Conn(id, ConnEvent::Dialling));
                }
            }
            Out::Send { conn, payload, kept, .. } => {
                let Some(connection) =
                    self.connections.get_mut(&conn).filter(|c| c.state == ConnState::Open)
                else {
                    waiting.push_back(In::Conn(conn, ConnEvent::Disconnected));
                    return Ok(());
                };
                if kept && connection.stale {
                    connection.state = ConnState::Closed;
                    waiting.push_back(In::Conn(conn, ConnEvent::Stale));
                    return Ok(());
                }
                let quiet = connection.quiet_since.map(f64::from_bits);
                if connection.client.is_some()
                    || quiet.is_some_and(|since| self.now - since < EXTRA_WINDOW_MS)
                {
                    let description = format!("at {} ms, quiet since {quiet:?}", self.now);
                    return Err(Violation { property: Property::QuietReuse, description });
                }
                connection.client = match payload {
                    Payload::Call(n) => Some(n),
                    Payload::Probe => None,
                };
                let client = connection.client.and_then(|n| self.clients.get(n));
                if let Some(client) = client.filter(|c| c.outcome.is_some() || c.left || c.not_replayable) {
                    let description = format!("sent at {} ms for {client:?}", self.now);
                    return Err(Violation { property: Property::NothingSentLate, description });
                }
            }
            Out::Close(id) => {
                // A backend that has received the complete request may still run it after the close, and
                // messages on the way may still arrive. The model assumes the worst case, that it does run:
                // if the properties hold then, they hold otherwise too.
                let Some(mut connection) = self.connections.remove(&id) else { return Ok(()) };
                if let Some(client) = self.clients.iter_mut().find(|c| c.stream_conn == Some(id)) {
                    client.stream_conn = None;
                    if !self.stopped {
                        let description = format!("answer cut at {} ms without a reason", self.now);
                        return Err(Violation { property: Property::StreamCompletes, description });
                    }
                }
                let complete = connection.written == RequestProgress::Complete && !connection.handled;
                self.runs.extend(Run::of(&connection).filter(|_| complete));
                if !connection.incoming.is_empty() {
                    (connection.state, connection.handled) = (ConnState::Closed, true);
                    self.connections.insert(id, connection);
                }
            }
            Out::Answer(n, answer) => self.record_answer(n, &answer)?,
            Out::Tell(..) | Out::Watch(_) | Out::Log(_) => {}
        }
        Ok(())
    }

    pub(super) fn deliver(&mut self, id: ConnId) -> Result<(), Violation> {
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
        if connection.incoming.is_empty() {
            return Ok(());
        }
        let message = connection.incoming.remove(0);
        let client_index = connection.client;
        let result = |outcome, reply| ExchangeResult { outcome, reply, load: Load::default() };
        let complete = |finish| ConnEvent::Complete { finish, again: true };
        let stream = self.clients.iter_mut().find(|c| c.stream_conn == Some(id));
        if let Some(client) = stream.filter(|_| matches!(message, Incoming::Answer | Incoming::Disconnect))
        {
            client.stream_conn = None;
        }
        let served = message == Incoming::Answer && connection.state == ConnState::Open;
        if let Some(client) = client_index.and_then(|n| self.clients.get_mut(n)).filter(|_| served) {
            client.answer_complete = true;
        }
        if matches!(message, Incoming::Answer | Incoming::Rejection) && connection.state == ConnState::Open
        {
            connection.quiet_since = Some(self.now.to_bits());
            // The node's handling of the message decides the new state: until then no request is in flight
            // on it.
            (connection.client, connection.written, connection.handled) =
                (None, RequestProgress::Nothing, false);
        }
        if message == Incoming::Disconnect && connection.state == ConnState::Open {
            connection.state = ConnState::Closed;
            connection.handled = true;
        }
        if connection.state == ConnState::Closed && connection.handled && connection.incoming.is_empty() {
            self.connections.remove(&id);
        }
        match message {
            Incoming::Interim => {
                self.conn_event(id, ConnEvent::Progress(RequestProgress::Complete, AnswerProgress::Started))
            }
            Incoming::Head => self.conn_event(
                id,
                ConnEvent::Progress(RequestProgress::Complete, AnswerProgress::HeadComplete),
            ),
            Incoming::StreamHead => {
                // Recorded before the ledger handles it. The client's answer is this one, unless it was
                // answered before from another attempt.
                let open = self.connections.get(&id).is_some_and(|c| c.state == ConnState::Open);
                let client = client_index.and_then(|n| self.clients.get_mut(n));
                let wanted = open && client.as_ref().is_some_and(|c| c.is_waiting());
                if let Some(client) = client.filter(|_| wanted) {
                    client.stream_conn = Some(id);
                }
                self.conn_event(id, ConnEvent::HeadReceived(result(Outcome::Done, client_index)))?;
                if wanted { Ok(()) } else { self.conn_event(id, ConnEvent::Unwanted) }
            }
            Incoming::Disconnect => self.conn_event(id, ConnEvent::Disconnected),
            Incoming::Malformed => {
                self.conn_event(
                    id,
                    ConnEvent::Progress(RequestProgress::Complete, AnswerProgress::Started),
                )?;
                self.conn_event(id, ConnEvent::Malformed)
            }
            Incoming::Answer => self.conn_event(id, complete(result(Outcome::Done, client_index))),
            Incoming::Rejection => self.conn_event(id, complete(result(Outcome::Full, None))),
        }
    }
}
