//! An ordering as a numbered list of sentences.

use crate::property::Violation;
use crate::role::Role;
use crate::scenario::Scenario;
use crate::subject::{Out, SubjectFactory};
use crate::world::{World, WorldEvent};
use applemill_ledger::Answer;

/// Describes an effect of the node; none for effects that a story omits.
pub fn effect(effect: &Out) -> Option<String> {
    Some(match effect {
        Out::Dial(conn, at) => format!("the node dials {at} (connection {})", conn.0),
        Out::Send { conn, kept, .. } => {
            let which = if *kept { "idle connection" } else { "connection" };
            format!("the node sends on {which} {}", conn.0)
        }
        Out::Close(conn) => format!("the node closes connection {}", conn.0),
        Out::Answer(n, Answer::Served(whose)) => {
            format!("client {n} is served the answer to client {whose}")
        }
        Out::Answer(n, Answer::Refused { .. }) => format!("client {n} is refused"),
        Out::Answer(n, Answer::Failed) => format!("the request of client {n} fails"),
        Out::Tell(..) | Out::Watch(_) | Out::Log(_) => return None,
    })
}

fn sentence(world: &World<'_>, event: WorldEvent) -> String {
    use WorldEvent as E;
    let backend =
        |id| world.backend_and_client(id).0.map_or("a backend".to_owned(), |b| format!("backend {b}"));
    let request_of = |id| {
        world
            .backend_and_client(id)
            .1
            .map_or("a request".to_owned(), |n| format!("the request of client {n}"))
    };
    match event {
        E::Arrive(n) => format!("client {n} sends its request"),
        E::Leave(n) => format!("client {n} leaves"),
        E::DescriptorGranted(c) => format!("connection {} is granted a descriptor", c.0),
        E::Connected(c) => format!("connection {} to {} is established", c.0, backend(c)),
        E::ConnectFailed(c) => format!("connection {} to {} cannot be established", c.0, backend(c)),
        E::WritePart(c) => format!("part of {} is written on connection {}", request_of(c), c.0),
        E::WriteRest(c) => format!("the last byte of {} is written on connection {}", request_of(c), c.0),
        E::Serve(c) => format!("{} runs {} and answers", backend(c), request_of(c)),
        E::ServeWithExtra(c) => {
            format!("{} runs {}, answers, and sends more bytes", backend(c), request_of(c))
        }
        E::Reject(c) => format!("{} rejects {} without running it", backend(c), request_of(c)),
        E::AnswerMalformed(c) => {
            format!("{} runs {} and sends a malformed answer", backend(c), request_of(c))
        }
        E::SendInterim(c) => format!("{} sends an interim response to {}", backend(c), request_of(c)),
        E::SendHead(c) => format!("{} sends the head of its answer to {}", backend(c), request_of(c)),
        E::BeginStream(c) => {
            format!("{} runs {} and begins a streamed answer", backend(c), request_of(c))
        }
        E::FinishStream(c) => {
            format!("{} sends the last byte of its answer to {}", backend(c), request_of(c))
        }
        E::BreakStream(c) => format!("connection {} is reset in the middle of an answer", c.0),
        E::BodyNotReplayable(n) => {
            format!("part of the request of client {n} is no longer buffered")
        }
        E::Reset(c) => {
            format!(
                "connection {} is reset before {} has received all of {}",
                c.0,
                backend(c),
                request_of(c)
            )
        }
        E::RunThenReset(c) => {
            format!("{} runs {}, then connection {} is reset", backend(c), request_of(c), c.0)
        }
        E::CloseIdle(c) => format!("{} closes the idle connection {}", backend(c), c.0),
        E::ExtraArrives(c) => format!("bytes after the answer arrive on connection {}", c.0),
        E::Read(c) => format!("the node reads a message on connection {}", c.0),
        E::ProcessEnds => "the process of backend 0 ends".to_owned(),
        E::Notice => "the node receives the notice about backend 0".to_owned(),
        E::Stop => "the node is told to stop".to_owned(),
        E::TimePasses => format!("time advances from {} ms", world.now_ms()),
        E::TimerDue => format!("the due timer is handled at {} ms", world.now_ms()),
    }
}

/// The source and the target of an event.
fn roles(world: &World<'_>, event: WorldEvent) -> (Role, Role) {
    use WorldEvent as E;
    let backend = |id| world.backend_and_client(id).0.map_or(Role::Node, Role::Backend);
    match event {
        E::Arrive(n) | E::Leave(n) => (Role::Client(n), Role::Node),
        E::Connected(c) | E::WritePart(c) | E::WriteRest(c) => (Role::Node, backend(c)),
        E::ConnectFailed(c) | E::Read(c) | E::ExtraArrives(c) | E::Reset(c) => (backend(c), Role::Node),
        E::Serve(c) | E::ServeWithExtra(c) | E::Reject(c) | E::AnswerMalformed(c) => {
            (backend(c), backend(c))
        }
        E::BodyNotReplayable(_) => (Role::Node, Role::Node),
        E::BeginStream(c) | E::FinishStream(c) | E::BreakStream(c) => (backend(c), backend(c)),
        E::SendInterim(c) | E::SendHead(c) | E::RunThenReset(c) | E::CloseIdle(c) => {
            (backend(c), backend(c))
        }
        E::ProcessEnds => (Role::Backend(0), Role::Backend(0)),
        E::DescriptorGranted(_) | E::Notice | E::Stop | E::TimePasses | E::TimerDue => {
            (Role::Node, Role::Node)
        }
    }
}

/// One event of a story.
#[derive(Clone, Debug)]
pub struct StoryStep {
    /// A description of the event.
    pub sentence: String,
    /// The source.
    pub from: Role,
    /// The target.
    pub to: Role,
    /// The node's reactions.
    pub actions: Vec<String>,
}

/// Replays an ordering and returns its events and the property that was broken, if any.
pub fn replay(
    make: SubjectFactory,
    scenario: &Scenario,
    path: &[u16],
) -> (Vec<StoryStep>, Option<Violation>) {
    let mut steps = Vec::new();
    let mut world = match World::new(make, scenario) {
        Ok(world) => world,
        Err(broken) => return (steps, Some(broken)),
    };
    world.record_actions = true;
    for choice in path {
        let Some(event) = world.enabled().get(usize::from(*choice)).copied() else { break };
        let (sentence, (from, to)) = (sentence(&world, event), roles(&world, event));
        let end = world.apply(event);
        steps.push(StoryStep { sentence, from, to, actions: world.actions.clone() });
        if let Err(broken) = end {
            return (steps, Some(broken));
        }
    }
    let end = if world.enabled().is_empty() { world.judge_end().err() } else { None };
    (steps, end)
}

/// An ordering as a story, one line for each event with the node's reactions. If a property was broken, the
/// last line says which.
pub fn story(make: SubjectFactory, scenario: &Scenario, path: &[u16]) -> Vec<String> {
    let (steps, broken) = replay(make, scenario, path);
    let line = |(step, number): (StoryStep, usize)| {
        let mut line = format!("{number}. {}", step.sentence);
        for action in &step.actions {
            line.push_str("; ");
            line.push_str(action);
        }
        line
    };
    steps.into_iter().zip(1..).map(line).chain(broken.map(|b| b.to_string())).collect()
}
