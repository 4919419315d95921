//! The decisions of an HTTP load balancer that runs as a fleet of nodes.
//!
//! [`Balancer`] is a state machine without I/O, clock, threads or global state: a host passes it each event
//! ([`interface::Event`]) with its time and carries out the returned [`interface::Action`]s. Nodes share no
//! state; the same seed and events give the same actions. `docs/design.md` describes how decisions are made.
//!
//! ```
//! use applemill_balancer::Balancer;
//! use applemill_balancer::interface::{
//!     Action, BackendId, Entry, Event, Health, ListKind, Outcome, Request, RequestId,
//! };
//!
//! // Settings can also be built directly. Here they are parsed from JSON, which fills in defaults for absent keys.
//! let text = r#"{"classes": [{"name": "page", "semantics": "idempotent",
//!                             "objectiveMs": 300, "hardLimitMs": 900}],
//!                "rules": {"coldMs": 20000, "startCapacity": 0.2, "fallMultiple": 3, "fallMs": 2000}}"#;
//! let (settings, _names) = applemill_balancer::wire::settings(text)?;
//! let mut balancer = Balancer::new(settings, 7)?;
//! let mut actions = Vec::new();
//! balancer.handle(0.0, Event::Start, &mut actions);
//!
//! // The list has one backend, which started long ago.
//! let backend = BackendId(42);
//! let entry = Entry { backend, zone: None, cell: None, health: Health::Up, units: 1.0, ready_at_ms: 0.0 };
//! balancer.handle(0.0, Event::List { kind: ListKind::Full, entries: vec![entry] }, &mut actions);
//!
//! // A request arrives at 10 ms and is sent to it.
//! actions.clear();
//! let id = RequestId(1);
//! let request = Request {
//!     id, class: 0, tenant: None, key: Some(5), deadline_ms: 910.0,
//!     effort_ms: None, retry: false, suspect: false,
//! };
//! balancer.handle(10.0, Event::Request(request), &mut actions);
//! assert!(matches!(actions[0], Action::Send { id: RequestId(1), backend: BackendId(42), .. }));
//!
//! // The host forwards the answer to the client; no further action is needed.
//! actions.clear();
//! balancer.handle(60.0, Event::AttemptEnded {
//!     id, attempt: 0, backend, outcome: Outcome::Done, last: true, whole: true,
//!     elapsed_ms: 50.0, load: Default::default(),
//! }, &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod balancer;
pub mod interface;
pub mod wire;

pub use balancer::Balancer;
