//! Checks the properties by the world's record.

use super::{Client, ClientOutcome, ConnState, Connection, Run, World};
use crate::property::{Property, Violation};
use crate::subject::Reply;
use applemill_balancer::interface::Effect as RepeatEffect;
use applemill_ledger::{Answer, ConnId};

impl World<'_> {
    pub(super) fn record_answer(&mut self, n: usize, answer: &Answer<Reply>) -> Result<(), Violation> {
        let (patience_ms, upload_ms) = (self.scenario.patience_ms(), self.scenario.upload_ms);
        let Some(client) = self.clients.get_mut(n) else { return Ok(()) };
        if client.outcome.is_some() {
            return Err(Violation {
                property: Property::SingleAnswer,
                description: format!("client {n} is answered again"),
            });
        }
        client.outcome = Some(match answer {
            Answer::Served(_) => ClientOutcome::Served,
            Answer::Refused { .. } => ClientOutcome::Refused,
            Answer::Failed => ClientOutcome::Failed,
        });
        if !client.left && self.now > client.patience_end_ms(patience_ms, upload_ms) {
            let description = format!("client {n} is answered at {} ms", self.now);
            return Err(Violation { property: Property::InTime, description });
        }
        match answer {
            Answer::Served(whose) if *whose != n => {
                let description = format!("client {n} gets the answer to client {whose}");
                Err(Violation { property: Property::OwnAnswer, description })
            }
            _ => Ok(()),
        }
    }

    /// Checks what must hold after every event.
    pub(super) fn judge(&self) -> Result<(), Violation> {
        let (patience_ms, upload_ms) = (self.scenario.patience_ms(), self.scenario.upload_ms);
        let patience_end = |c: &Client| c.patience_end_ms(patience_ms, upload_ms);
        let late = self.clients.iter().position(|c| c.is_waiting() && self.now >= patience_end(c));
        if let Some(n) = late {
            let description = format!("client {n} has no answer at {} ms", self.now);
            return Err(Violation { property: Property::InTime, description });
        }
        for (n, (client, effect)) in self.clients.iter().zip(&self.scenario.requests).enumerate() {
            self.judge_runs(n, client, *effect)?;
            let is_done = client.outcome.is_some() || client.left;
            let is_stream = |id: &ConnId| client.stream_conn == Some(*id);
            let has_open_attempt = |(id, c): &(&ConnId, &Connection)| {
                c.client == Some(n) && c.state == ConnState::Open && !is_stream(id)
            };
            // Where attempts may not be cancelled, they stay open.
            let must_be_closed = is_done && self.scenario.may_cancel;
            if let Some((_, connection)) =
                self.connections.iter().find(has_open_attempt).filter(|_| must_be_closed)
            {
                let description = format!(
                    "client {n} is done, but an attempt for it is open at backend {}",
                    connection.backend
                );
                return Err(Violation { property: Property::AttemptsClosed, description });
            }
        }
        Ok(())
    }

    pub(super) fn judge_runs(
        &self,
        n: usize,
        client: &Client,
        effect: RepeatEffect,
    ) -> Result<(), Violation> {
        let runs: Vec<_> = self.runs.iter().filter(|run| run.client == n).collect();
        let Some(first) = runs.iter().min_by_key(|run| run.written_at) else { return Ok(()) };
        let counts = match effect {
            RepeatEffect::Safe => return Ok(()),
            RepeatEffect::Unsafe => runs.len(),
            // A repeat has no effect in the cell of the first execution if it was written before the key is
            // forgotten.
            RepeatEffect::Keyed(_) => {
                let ends = f64::from_bits(first.written_at.0) + self.scenario.key_ttl_ms;
                let dropped = |run: &&&Run| {
                    run.backend / 2 == first.backend / 2 && f64::from_bits(run.written_at.1) <= ends
                };
                1 + runs.iter().filter(|run| !dropped(run)).count()
            }
        };
        if counts > 1 {
            let description = format!("the request of client {n} took effect {counts} times");
            return Err(Violation { property: Property::NoDuplicateEffect, description });
        }
        if client.outcome == Some(ClientOutcome::Refused) {
            let description = format!("client {n} is refused, but its request has run");
            return Err(Violation { property: Property::RefusedNeverRan, description });
        }
        Ok(())
    }

    /// Checks what must hold right after the stop.
    pub(super) fn judge_stop(&self) -> Result<(), Violation> {
        let (unanswered, totals) = (self.clients.iter().any(Client::is_waiting), self.subject.totals());
        if unanswered || totals.requests + totals.active_conns > 0 {
            let description = format!("unanswered requests after the stop: {unanswered}; {totals:?}");
            return Err(Violation { property: Property::Stop, description });
        }
        Ok(())
    }

    /// Checks what must hold when no event is left.
    ///
    /// # Errors
    /// A property is broken.
    pub fn judge_end(&self) -> Result<(), Violation> {
        if let Some(n) = self.clients.iter().position(|c| c.outcome.is_none()) {
            return Err(Violation {
                property: Property::SingleAnswer,
                description: format!("client {n} was never answered"),
            });
        }
        let totals = self.subject.totals();
        if totals.requests + totals.active_conns + totals.timers + totals.trials_in_flight > 0 {
            return Err(Violation { property: Property::NothingHeld, description: format!("{totals:?}") });
        }
        // One request has one trial, and the end of its answer decides whether that succeeded.
        let complete = self.clients.iter().filter(|c| c.answer_complete).count();
        if self.scenario.route_held && self.clients.len() == 1 && complete != totals.successful_trials {
            let description =
                format!("{complete} complete answers, but {} successful trials", totals.successful_trials);
            return Err(Violation { property: Property::TrialResult, description });
        }
        let open = self.connections.values().filter(|c| c.state != ConnState::Closed).count();
        if open != totals.idle_conns {
            let description = format!("{open} connections are open, but {} are idle", totals.idle_conns);
            return Err(Violation { property: Property::NothingHeld, description });
        }
        Ok(())
    }
}
