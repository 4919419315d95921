//! The mutations: each a small edit of the ledger's source text. The build fails if a pattern is not found
//! exactly once. Without that check a change of the ledger could silently disable a mutation.

/// A replacement of source text in one file of the ledger.
pub struct Replacement {
    /// The file, relative to the ledger's `src`.
    pub file: &'static str,
    /// The text to replace, which must occur exactly once.
    pub from: &'static str,
    /// The faulty text.
    pub to: &'static str,
}

/// A fault that is put into a copy of the ledger.
pub struct Mutation {
    /// The name, for reports.
    pub name: &'static str,
    /// The edits that cause the fault.
    pub replacements: &'static [Replacement],
    /// The scenarios in which to search for it, in this order.
    pub scenarios: &'static [&'static str],
}

/// All mutations. Tokens refer to them by index, so the order must stay.
pub const MUTATIONS: &[Mutation] = &[
    Mutation {
        name: "due timers are handled before a connection event",
        replacements: &[Replacement {
            file: "ledger.rs",
            from: "Input::Conn(conn, event) => self.on_conn_event(conn, event, out),",
            to: "Input::Conn(conn, event) => {
                while let Some(timer) = self.timers.take_due(now) {
                    if let Timer::Conn(due) = timer { self.on_conn_timeout(due, out); }
                    self.process_events(out);
                }
                self.on_conn_event(conn, event, out)
            }",
        }],
        scenarios: &["unsafe-faults"],
    },
    Mutation {
        name: "a connection attempt continues after its backend drains",
        replacements: &[Replacement {
            file: "conn.rs",
            from: "Conn::AwaitingDescriptor(..) | Conn::Dialling(..) => true,",
            to: "Conn::AwaitingDescriptor(..) | Conn::Dialling(..) => false,",
        }],
        scenarios: &["drain"],
    },
    Mutation {
        name: "no unwritten request is redirected after a list update",
        replacements: &[Replacement {
            file: "ledger.rs",
            from: "if !unusable.is_empty() {",
            to: "if unusable.len() > 9 {",
        }],
        scenarios: &["drain", "move"],
    },
    Mutation {
        name: "a time-out after writing counts as never ran",
        replacements: &[Replacement {
            file: "conn.rs",
            from: "(.., AnswerProgress::Nothing) => Outcome::TimedOut,",
            to: "(.., AnswerProgress::Nothing) => Outcome::NotConnected,",
        }],
        scenarios: &["unsafe-faults"],
    },
    Mutation {
        name: "a request can be answered twice",
        replacements: &[
            Replacement {
                file: "ledger.rs",
                from: "std::mem::replace(&mut open.reply_slot, ReplySlot::Answered)",
                to: "open.reply_slot.clone()",
            },
            Replacement {
                file: "ledger.rs",
                from: "impl<O, C: Clone> Ledger<O, C> {",
                to: "impl<O: Clone, C: Clone> Ledger<O, C> {",
            },
            Replacement {
                file: "conn_events.rs",
                from: "impl<O, C: Clone> Ledger<O, C> {",
                to: "impl<O: Clone, C: Clone> Ledger<O, C> {",
            },
        ],
        scenarios: &["second-copy", "safe-faults"],
    },
    Mutation {
        name: "a connection is reused before it is quiet",
        replacements: &[Replacement {
            file: "idle_conns.rs",
            from: "now - idle.since_ms >= QUIET_BEFORE_REUSE_MS",
            to: "now - idle.since_ms >= 0.0 * QUIET_BEFORE_REUSE_MS",
        }],
        scenarios: &["reuse"],
    },
    Mutation {
        name: "attempts are numbered from one",
        replacements: &[Replacement {
            file: "ledger.rs",
            from: "let purpose = Purpose::Attempt(id, u32::try_from(open.attempts.len()).unwrap_or(u32::MAX));",
            to: "let purpose = Purpose::Attempt(id, u32::try_from(open.attempts.len() + 1).unwrap_or(u32::MAX));",
        }],
        scenarios: &["unsafe-faults"],
    },
    Mutation {
        name: "a finished request is not dropped",
        replacements: &[Replacement {
            file: "ledger.rs",
            from: "if self.open.get(&id).is_some_and(OpenRequest::is_finished)",
            to: "if self.open.len() > 99 && self.open.get(&id).is_some_and(OpenRequest::is_finished)",
        }],
        scenarios: &["unsafe-faults"],
    },
    Mutation {
        name: "the expiry timer is not cancelled by an answer",
        replacements: &[Replacement {
            file: "ledger.rs",
            from: "self.timers.cancel(expiry);",
            to: "let _ = expiry;",
        }],
        scenarios: &["unsafe-faults"],
    },
    Mutation {
        name: "the exchange timer is not cancelled by a complete answer",
        replacements: &[Replacement {
            file: "conn_events.rs",
            from:
                "ConnEvent::Complete { finish, again } if exchange.written > RequestProgress::Nothing => {
                self.timers.cancel(exchange.timer);",
            to: "ConnEvent::Complete { finish, again } if exchange.written > RequestProgress::Nothing => {",
        }],
        scenarios: &["unsafe-faults", "reuse"],
    },
    Mutation {
        name: "a malformed answer counts as never ran",
        replacements: &[Replacement {
            file: "conn.rs",
            from: "self.unless_never_ran(Outcome::Error)",
            to: "self.unless_never_ran(Outcome::NotConnected)",
        }],
        scenarios: &["unsafe-faults"],
    },
    Mutation {
        name: "the write progress is not recorded",
        replacements: &[Replacement {
            file: "conn_events.rs",
            from: "exchange.written = exchange.written.max(written);",
            to: "let _ = written;",
        }],
        scenarios: &["unsafe-faults"],
    },
    Mutation {
        name: "idle connections stay open after a list update",
        replacements: &[Replacement {
            file: "ledger.rs",
            from: "for backend in &unusable {",
            to: "for backend in unusable.iter().skip(1) {",
        }],
        scenarios: &["move", "remove-kept"],
    },
    Mutation {
        name: "a redirected job keeps the old location",
        replacements: &[Replacement {
            file: "conn_events.rs",
            from: "                job.location = location;\n",
            to: "",
        }],
        scenarios: &["move"],
    },
    Mutation {
        name: "a connection is kept although its backend has moved",
        replacements: &[Replacement {
            file: "conn_events.rs",
            from: "self.addresses.is_at(backend, location)",
            to: "self.addresses.location(backend).is_some()",
        }],
        scenarios: &["move"],
    },
    Mutation {
        name: "a stop leaves one request unanswered",
        replacements: &[Replacement {
            file: "ledger.rs",
            from: "        for id in ids {\n            self.client_left(id, out);",
            to: "        for id in ids.into_iter().skip(1) {\n            self.client_left(id, out);",
        }],
        scenarios: &["stop"],
    },
    Mutation {
        name: "an aborted connection is not closed",
        replacements: &[Replacement {
            file: "conn_events.rs",
            from: "let Some(mut conn) = self.conns.remove(&id) else { return };
        out.push(Effect::Close(id));
        match",
            to: "let Some(mut conn) = self.conns.remove(&id) else { return };
        match",
        }],
        scenarios: &["unsafe-faults"],
    },
    Mutation {
        name: "the decisions are not told that a client left",
        replacements: &[Replacement {
            file: "ledger.rs",
            from: "self.events.push_back(Event::ClientLeft(id));",
            to: "",
        }],
        scenarios: &["unsafe-faults"],
    },
    Mutation {
        name: "a request that broke on a reused connection is always resent",
        replacements: &[Replacement {
            file: "conn_events.rs",
            from: "(Conn::InExchange(exchange), event) => self.on_exchange_event(id, exchange, event, out),",
            to: "(Conn::InExchange(exchange), ConnEvent::Disconnected) if exchange.idle_ms.is_some() => {
                self.timers.cancel(exchange.timer);
                out.push(Effect::Close(id));
                self.assign_conn(exchange.job, out);
            }
            (Conn::InExchange(exchange), event) => self.on_exchange_event(id, exchange, event, out),",
        }],
        scenarios: &["move", "restart"],
    },
    Mutation {
        name: "the end of an answered request is not marked as its last",
        replacements: &[Replacement {
            file: "ledger.rs",
            from: "let last = self.open.get(&id).is_none_or(OpenRequest::is_answered);",
            to: "let last = false;",
        }],
        scenarios: &["second-copy", "unsafe-faults"],
    },
    Mutation {
        name: "a draining backend counts as up",
        replacements: &[Replacement {
            file: "addresses.rs",
            from: "entry.health == Health::Up",
            to: "entry.health != Health::Gone",
        }],
        scenarios: &["drain"],
    },
    Mutation {
        name: "a connection that is not kept is not closed",
        replacements: &[Replacement {
            file: "conn_events.rs",
            from: "            self.conns.insert(id, Conn::Idle(backend));
        } else {
            out.push(Effect::Close(id));
        }",
            to: "            self.conns.insert(id, Conn::Idle(backend));
        }",
        }],
        scenarios: &["drain"],
    },
    Mutation {
        name: "a request that is not replayable is sent again",
        replacements: &[
            Replacement {
                file: "ledger.rs",
                from: "open.is_answered() || matches!(open.body, Body::NotReplayable(_))",
                to: "open.is_answered()",
            },
            Replacement {
                file: "conn_events.rs",
                from: "Some(open) if matches!(open.body, Body::NotReplayable(_)) => Some(Outcome::Skipped),",
                to: "",
            },
        ],
        scenarios: &["upload-again"],
    },
    Mutation {
        name: "the client wait after an upload does not begin",
        replacements: &[Replacement {
            file: "ledger.rs",
            from: "if expires_ms < expiry.at_ms() {",
            to: "if expires_ms < 0.0 {",
        }],
        scenarios: &["upload", "upload-again"],
    },
    Mutation {
        name: "a list update closes streamed answers",
        replacements: &[Replacement {
            file: "conn_events.rs",
            from: "let is_displaced = |job: &Job| !self.addresses.is_at(job.backend, &job.location);",
            to: "let is_displaced = |job: &Job| !self.addresses.is_at(job.backend, &job.location);
            let stream = self.conns.iter().filter(|(_, c)| matches!(c, Conn::Streaming(..)));
            let stream: Vec<ConnId> = stream.map(|(id, _)| *id).collect();
            for id in stream { out.push(Effect::Close(id)); }",
        }],
        scenarios: &["stream"],
    },
    Mutation {
        name: "a streamed answer is forgotten",
        replacements: &[Replacement {
            file: "conn_events.rs",
            from: "self.conns.insert(id, Conn::Streaming(stream));",
            to: "",
        }],
        scenarios: &["stream"],
    },
    Mutation {
        name: "the connection of a broken stream is kept",
        replacements: &[Replacement {
            file: "conn_events.rs",
            from: "(Conn::Streaming(stream), failure @ (ConnEvent::Disconnected | ConnEvent::TooSlow)) => {
                out.push(Effect::Close(id));
                if matches!(failure, ConnEvent::Disconnected) {
                    self.close_idle(stream.backend, out);
                }",
            to: "(Conn::Streaming(stream), failure @ (ConnEvent::Disconnected | ConnEvent::TooSlow)) => {
                self.keep_or_close(id, stream.backend, &stream.location, true, out);",
        }],
        scenarios: &["stream", "stream-reuse"],
    },
    Mutation {
        name: "an answered request is sent on a new connection",
        replacements: &[Replacement {
            file: "conn_events.rs",
            from: "match self.reason_to_skip(job.purpose) {",
            to: "match None::<Outcome> {",
        }],
        scenarios: &["uncancelled"],
    },
    Mutation {
        name: "a trial that was refused by the decisions never ends",
        replacements: &[Replacement {
            file: "ledger.rs",
            from: "self.release_trial(&open.fault_context);",
            to: "let _ = open;",
        }],
        scenarios: &["trial"],
    },
    Mutation {
        name: "a trial whose stream lost its reader never ends",
        replacements: &[Replacement {
            file: "conn_events.rs",
            from: "self.stream_ended(&stream, None);",
            to: "",
        }],
        scenarios: &["trial"],
    },
    Mutation {
        name: "no trial is successful",
        replacements: &[Replacement {
            file: "fault.rs",
            from: "result.map(|r| r == AttemptResult::Success)",
            to: "result.map(|_| false)",
        }],
        scenarios: &["trial"],
    },
    Mutation {
        name: "a truncated answer counts as a successful trial",
        replacements: &[Replacement {
            file: "conn_events.rs",
            from: "Some(if matches!(failure, ConnEvent::Disconnected) {
                        AttemptResult::Disconnected
                    } else {
                        AttemptResult::TimedOut
                    })",
            to: "Some(AttemptResult::Success)",
        }],
        scenarios: &["trial"],
    },
    Mutation {
        name: "a trial is successful once its answer's head has arrived",
        replacements: &[
            Replacement {
                file: "ledger.rs",
                from: "if whole { self.evidence(id, backend, outcome) } else { outcome }",
                to: "self.evidence(id, backend, outcome)",
            },
            Replacement {
                file: "conn_events.rs",
                from: "let fault_context = self.take_fault_context(request);",
                to: "let fault_context = self.open.get(&request).map(|o| o.fault_context.clone()).unwrap_or_default();",
            },
        ],
        scenarios: &["trial"],
    },
];
