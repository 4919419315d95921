//! Selects orderings that can be replayed: in these the node and the system do at once what they have to
//! do, and events caused from outside come in any order.

use applemill_explore::world::{World, WorldEvent};
use applemill_explore::{Scenario, Token, make, scenario};
use applemill_ledger::ConnId;
use fastrand::Rng;
use std::collections::BTreeSet;

/// The factor by which all times are longer than in the explorer, as neither the clock nor a shared machine
/// is exact.
pub const TIME_SCALE: u32 = 10;
/// The shortest time between moments at which different things fall due, in milliseconds.
const MIN_EVENT_GAP_MS: f64 = 30.0;
/// No request arrives sooner than this after the last answer on an idle connection, in milliseconds: the
/// connection could count as quiet here and not yet in the world.
const MIN_IDLE_BEFORE_ARRIVAL_MS: f64 = 40.0;
/// After this many failed walks a scenario is taken to have no more orderings.
const MAX_FAILED_WALKS: usize = 400;

/// An ordering that can be replayed: the slowed-down scenario and the external events.
#[derive(Clone, Debug)]
pub struct Ordering {
    /// The scenario.
    pub scenario: Scenario,
    /// The external events, in order. All other events follow automatically.
    pub external_events: Vec<WorldEvent>,
    /// The ordering as a token of the explorer.
    pub token: Token,
}

/// Whether the node or the system causes an event by itself and at once.
pub fn is_automatic(world: &World<'_>, event: WorldEvent) -> bool {
    use WorldEvent as E;
    match event {
        E::TimerDue | E::Read(_) | E::DescriptorGranted(_) | E::Connected(_) | E::WriteRest(_) => true,
        E::ConnectFailed(conn) => !world.is_reachable(conn),
        _ => false,
    }
}

/// The next automatic event, with its index among the enabled ones. A timer that is due comes first.
pub fn next_automatic(world: &World<'_>) -> Option<(u16, WorldEvent)> {
    let automatic = |(n, event): (u16, WorldEvent)| is_automatic(world, event).then_some((n, event));
    let all: Vec<_> = (0..).zip(world.enabled()).filter_map(automatic).collect();
    all.iter().find(|(_, event)| *event == WorldEvent::TimerDue).or(all.first()).copied()
}

/// The connections on which a backend has sent only the head of an answer.
#[derive(Clone, Debug, Default)]
pub struct PartialAnswers(BTreeSet<ConnId>);

impl PartialAnswers {
    /// Records an external event. After a head only the rest of the answer may follow, or nothing.
    fn record(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::SendHead(conn) => drop(self.0.insert(conn)),
            WorldEvent::Serve(conn) | WorldEvent::RunThenReset(conn) => drop(self.0.remove(&conn)),
            _ => {}
        }
    }

    /// Whether an event can follow what the backend has sent so far.
    fn allows(&self, event: WorldEvent) -> bool {
        use WorldEvent as E;
        match event {
            E::SendHead(c)
            | E::SendInterim(c)
            | E::Reject(c)
            | E::AnswerMalformed(c)
            | E::ServeWithExtra(c) => !self.0.contains(&c),
            _ => true,
        }
    }
}

/// Whether an event can be caused from outside at a known moment.
fn is_external(world: &World<'_>, partial_answers: &PartialAnswers, event: WorldEvent) -> bool {
    use WorldEvent as E;
    match event {
        // The system writes a small request in one piece, and a handshake on loopback succeeds where
        // somebody listens.
        E::WritePart(_) | E::Reset(_) | E::ConnectFailed(_) => false,
        // A node that is told to stop continues for a while before its ledger handles the stop.
        E::Stop => false,
        E::Arrive(_) => !world.has_unsettled_connection(MIN_IDLE_BEFORE_ARRIVAL_MS),
        _ => partial_answers.allows(event) && !is_automatic(world, event),
    }
}

/// The scenarios that can be replayed, slowed down. The attempts are chosen to pass the check of operators'
/// files, which bounds them by what clients allow.
pub fn scenarios() -> Vec<Scenario> {
    let slower = |s: Scenario| {
        let attempts = if s.second_copy_ms.is_some() { s.attempts.min(2) } else { s.attempts };
        let attempt_ms = match attempts {
            0..=2 => 40.0,
            3 => 32.0,
            _ => 24.0,
        };
        Scenario {
            attempts,
            attempt_ms,
            key_ttl_ms: 70.0,
            scarce_descriptors: false,
            late_timers: false,
            ..s
        }
        .with_time_scale(TIME_SCALE)
    };
    scenario::all().into_iter().filter(|s| !s.stop).map(slower).collect()
}

/// A random walk through a scenario; none if it reached something that cannot be replayed.
fn walk(scenario: &Scenario, rng: &mut Rng) -> Option<Ordering> {
    let mut world = World::new(make, scenario).ok()?;
    let (mut external_events, mut path, mut partial_answers) =
        (Vec::new(), Vec::new(), PartialAnswers::default());
    loop {
        while let Some((number, event)) = next_automatic(&world) {
            path.push(number);
            world.apply(event).ok()?;
        }
        let all: Vec<(u16, WorldEvent)> = (0..)
            .zip(world.enabled())
            .filter(|(_, event)| is_external(&world, &partial_answers, *event))
            .collect();
        let Some((number, event)) = rng.choice(all) else { break };
        let before = world.now_ms();
        partial_answers.record(event);
        path.push(number);
        external_events.push(event);
        world.apply(event).ok()?;
        if event == WorldEvent::TimePasses && world.now_ms() - before < MIN_EVENT_GAP_MS {
            return None;
        }
    }
    if !world.enabled().is_empty() {
        return None;
    }
    Some(Ordering {
        scenario: scenario.clone(),
        external_events,
        token: Token { scenario: scenario.clone(), path },
    })
}

/// Draws `count` distinct orderings, evenly from all scenarios; fewer if there are no more.
pub fn sample(count: usize, seed: u64) -> Vec<Ordering> {
    let mut rng = Rng::with_seed(seed);
    let scenarios = scenarios();
    let mut seen = BTreeSet::new();
    let mut found = Vec::new();
    let mut left: Vec<&Scenario> = scenarios.iter().collect();
    while found.len() < count && !left.is_empty() {
        left.retain(|scenario| {
            for _ in 0..MAX_FAILED_WALKS {
                let Some(ordering) = walk(scenario, &mut rng) else { continue };
                if seen.insert(ordering.token.to_string()) {
                    found.push(ordering);
                    return true;
                }
            }
            false
        });
    }
    found.truncate(count);
    found
}

/// The slowed-down ordering of a token. Automatic events may come at other places in it.
///
/// # Errors
/// It contains an event that cannot be caused from outside; the message gives its number in the story.
pub fn from_token(token: &Token) -> Result<Ordering, String> {
    let found = scenarios().into_iter().find(|s| s.name == token.scenario.name);
    let slower = found.ok_or_else(|| {
        format!("'{}' cannot be played: its timing depends on the node itself", token.scenario.name)
    })?;
    let scenario =
        if token.scenario.time_scale == TIME_SCALE { slower.clone() } else { token.scenario.clone() };
    let mut world = World::new(make, &scenario).map_err(|b| b.to_string())?;
    let mut external_events = Vec::new();
    let mut partial_answers = PartialAnswers::default();
    for (step, choice) in token.path.iter().enumerate() {
        let Some(event) = world.enabled().get(usize::from(*choice)).copied() else { break };
        if !is_automatic(&world, event) {
            if !is_external(&world, &partial_answers, event) {
                return Err(format!("{}. {event:?} cannot be caused from outside", step + 1));
            }
            partial_answers.record(event);
            external_events.push(event);
        }
        // The story of a mutant breaks a property at its end, but only in that mutant.
        let _ = world.apply(event);
    }
    Ok(Ordering { scenario: slower, external_events, token: token.clone() })
}
