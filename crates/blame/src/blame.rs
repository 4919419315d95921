//! Collects evidence, reaches verdicts and keeps the holds.

use crate::config::BlameConfig;
use crate::counts::Counts;
use crate::hold::{AfterTrial, Hold, TrialToken};
use crate::scoring::{self, Evidence};
use crate::suspect::{AttemptResult, DisplayName, RequestTraits, Suspect, SuspectKind, Suspects};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

/// Failures that are remembered, so that a later verdict can remove them from the counts of uninvolved
/// suspects.
const MAX_RECENT_FAILURES: usize = 1024;
/// A verdict without a hold is cleared when the suspect's failure rate is below this over at least so many
/// tries.
const CLEAR_FAILURE_RATE: f64 = 0.1;
const CLEAR_MIN_TRIES: f64 = 20.0;
/// Such a verdict is also cleared when the suspect has not failed for this multiple of the memory time.
const CLEAR_AFTER_MEMORIES: f64 = 3.0;
/// A suspect whose hold was cleared by trials and that is held again within this time starts with twice the
/// pause it had.
const REPEAT_WINDOW_MS: f64 = 60_000.0;
/// A hold is cleared if nothing was requested of the suspect for this long.
const UNREQUESTED_MS: f64 = 600_000.0;
/// Verdicts at a time; beyond that, failures count against their servers, as they do without a verdict.
const MAX_VERDICTS: usize = 1024;
/// A suspect that an operator has released is not blamed again for this long.
const OPERATOR_EXEMPTION_MS: f64 = 600_000.0;
/// Score above which a blamed suspect's failures at one server are attributed to that server as well.
const SERVER_TOO_MIN_SCORE: f64 = 5.0;

/// A route is doubted from this failure rate and this number of incidents on; one in so many of its requests
/// is still admitted.
const DOUBT_FAILURE_RATE: f64 = 0.8;
const DOUBT_MIN_INCIDENTS: u32 = 3;
const DOUBT_ADMIT_ONE_IN: u32 = 8;
/// Doubted work is refused only if other work was admitted within this time.
const OTHER_WORK_WINDOW_MS: f64 = 1_000.0;

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It may proceed.
    Allowed,
    /// It may proceed, but nearly all requests of its route fail: its failure is no evidence on a server
    /// under trial.
    AllowedDoubtful,
    /// It is a trial: a single attempt, whose result is to be passed to [`Blame::trial_ended`].
    Trial(TrialToken),
    /// It is refused at once.
    Refused {
        /// When to retry, in milliseconds from now; 0 to give no advice.
        after_ms: f64,
    },
}

/// What the result of an attempt says about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribution {
    /// It counts for or against the server.
    Server,
    /// It counts against one kind of work at this server, not against the server's other work.
    WorkAtServer,
    /// It says nothing about the server.
    Unrelated,
}

/// A change of verdict.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A suspect was found to be at fault.
    Blamed {
        /// The suspect.
        suspect: Suspect,
        /// Its name.
        text: DisplayName,
        /// The figures behind the verdict.
        evidence: Evidence,
        /// Whether it is held; if not, its failures are only kept out of the servers' records.
        held: bool,
        /// Servers against which its failures had been counted so far.
        servers: Vec<u64>,
    },
    /// A verdict was cleared: the suspect no longer fails, was not requested any more, or was released by an
    /// operator.
    Cleared {
        /// The suspect.
        suspect: Suspect,
        /// Its name.
        text: DisplayName,
        /// Trials during the hold.
        trials: u64,
        /// Requests refused during the hold.
        refused: u64,
    },
}

/// A suspect with a verdict, for display.
#[derive(Clone, Debug, PartialEq)]
pub struct Culprit {
    /// The suspect.
    pub suspect: Suspect,
    /// Its name.
    pub text: DisplayName,
    /// The figures behind the verdict.
    pub evidence: Evidence,
    /// Time of the verdict, in milliseconds of the clock.
    pub since_ms: f64,
    /// The hold, if there is one.
    pub held: Option<Held>,
}

/// A hold, for display.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// Whether an operator holds it; there are no trials then.
    pub by_operator: bool,
    /// Earliest time of the next trial, in milliseconds of the clock.
    pub next_ms: f64,
    /// Trials so far.
    pub trials: u64,
    /// Successful trials in a row.
    pub successes: u32,
    /// Requests refused.
    pub refused: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum HoldState {
    /// Not held; its failures count against nothing else.
    NotHeld,
    Held(Hold),
    /// Held by an operator, with the number of refused requests.
    HeldByOperator(u64),
}

#[derive(Clone, Debug, PartialEq)]
struct Verdict {
    text: DisplayName,
    evidence: Evidence,
    since_ms: f64,
    last_failure_ms: f64,
    last_request_ms: f64,
    /// For a route at one server, the route.
    route: Option<Suspect>,
    hold_state: HoldState,
}

/// A failure that a later verdict may attribute to another suspect.
#[derive(Clone, Copy, Debug)]
struct RecentFailure {
    at_ms: f64,
    suspects: Suspects,
    result: AttemptResult,
}

/// The pause of a cleared hold, remembered until a given time.
#[derive(Clone, Copy, Debug)]
struct ClearedHold {
    pause_ms: f64,
    until_ms: f64,
}

/// The evidence and verdicts of one pool of servers. See the crate's documentation.
#[derive(Clone, Debug)]
pub struct Blame {
    config: BlameConfig,
    rng: fastrand::Rng,
    counts: Counts,
    verdicts: BTreeMap<Suspect, Verdict>,
    /// Suspects whose holds were cleared by trials recently.
    recently_cleared: BTreeMap<Suspect, ClearedHold>,
    /// Suspects that an operator released, with the end of their exemption.
    exempt_until_ms: BTreeMap<Suspect, f64>,
    recent_failures: VecDeque<RecentFailure>,
    open_trials: BTreeMap<TrialToken, Vec<Suspect>>,
    next_trial_token: u64,
    /// Trials that may still start, for all holds together.
    trial_budget: f64,
    last_refill_ms: f64,
    last_expiry_ms: f64,
    /// When a request that is not doubted was last admitted.
    last_undoubted_ms: f64,
    changes: Vec<Change>,
}

impl Blame {
    /// A state without evidence. The same seed, calls and times give the same verdicts.
    pub fn new(config: BlameConfig, seed: u64) -> Blame {
        Blame {
            counts: Counts::new(config.memory_ms),
            rng: fastrand::Rng::with_seed(seed),
            verdicts: BTreeMap::new(),
            recently_cleared: BTreeMap::new(),
            exempt_until_ms: BTreeMap::new(),
            recent_failures: VecDeque::new(),
            open_trials: BTreeMap::new(),
            next_trial_token: 0,
            trial_budget: 1.0,
            last_refill_ms: f64::NEG_INFINITY,
            last_expiry_ms: f64::NEG_INFINITY,
            last_undoubted_ms: f64::NEG_INFINITY,
            changes: Vec::new(),
            config,
        }
    }

    /// Changes of verdicts since the last call.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Trials without a result yet.
    pub fn trials_in_flight(&self) -> usize {
        self.open_trials.len()
    }

    /// All suspects with a verdict.
    pub fn culprits(&self) -> impl Iterator<Item = Culprit> + '_ {
        self.verdicts.iter().map(|(suspect, v)| {
            let held = match &v.hold_state {
                HoldState::NotHeld => None,
                HoldState::HeldByOperator(refused) => Some(Held {
                    by_operator: true,
                    next_ms: f64::INFINITY,
                    trials: 0,
                    successes: 0,
                    refused: *refused,
                }),
                HoldState::Held(h) => Some(Held {
                    by_operator: false,
                    next_ms: h.next_trial_ms,
                    trials: h.trials,
                    successes: h.successes,
                    refused: h.refused,
                }),
            };
            let (text, evidence) = (v.text.clone(), v.evidence);
            Culprit { suspect: *suspect, text, evidence, since_ms: v.since_ms, held }
        })
    }

    /// Decides whether a request may proceed, at `now` in milliseconds of a monotonic clock.
    pub fn admit(&mut self, now: f64, request: &RequestTraits) -> Admission {
        self.expire(now);
        self.refill_trial_budget(now);
        if self.verdicts.is_empty() {
            return self.admit_unheld(now, request);
        }
        let suspects: Vec<Suspect> = request.holdable_suspects().into_iter().flatten().collect();
        let (mut held, mut wait_ms) = (Vec::new(), None::<f64>);
        for suspect in suspects {
            if let Some(verdict) = self.verdicts.get_mut(&suspect) {
                verdict.last_request_ms = now;
            }
            let trial_in_ms = match self.verdicts.get_mut(&suspect).map(|v| &mut v.hold_state) {
                None | Some(HoldState::NotHeld) => continue,
                Some(HoldState::HeldByOperator(_)) => Some(self.config.max_pause_ms),
                Some(HoldState::Held(hold)) => {
                    let pause_ms = hold.pause_ms;
                    let due_in_ms =
                        if hold.next_trial_ms > now { hold.next_trial_ms - now } else { pause_ms };
                    (!hold.may_start_trial(now, &self.config)).then_some(due_in_ms)
                }
            };
            held.push(suspect);
            wait_ms = wait_ms.into_iter().chain(trial_in_ms).reduce(f64::max);
        }
        if held.is_empty() {
            self.trial_budget += self.config.trial_fraction;
            return self.admit_unheld(now, request);
        }
        if wait_ms.is_none() && self.trial_budget < 1.0 {
            wait_ms = Some(self.config.initial_pause_ms);
        }
        if let Some(wait_ms) = wait_ms {
            for suspect in held {
                match self.verdicts.get_mut(&suspect).map(|v| &mut v.hold_state) {
                    Some(HoldState::Held(hold)) => hold.refused += 1,
                    Some(HoldState::HeldByOperator(refused)) => *refused += 1,
                    _ => {}
                }
            }
            return Admission::Refused { after_ms: self.retry_after_ms(wait_ms) };
        }
        self.trial_budget -= 1.0;
        let trial_token = TrialToken(self.next_trial_token);
        self.next_trial_token += 1;
        for suspect in &held {
            let random = self.rng.f64();
            if let Some(HoldState::Held(hold)) = self.verdicts.get_mut(suspect).map(|v| &mut v.hold_state) {
                hold.start_trial(now, trial_token, random);
            }
        }
        self.open_trials.insert(trial_token, held);
        Admission::Trial(trial_token)
    }

    /// Decides on a request that nothing is held against. While other work comes in, most requests of a route
    /// that nearly always fails are refused even before there is evidence for a verdict: servers that its
    /// failures have made congested would otherwise be tried with its requests, which fail again, and other
    /// work would not get through. One in [`DOUBT_ADMIT_ONE_IN`] is still admitted, and all of them where
    /// everything fails, since no route is at fault then.
    fn admit_unheld(&mut self, now: f64, request: &RequestTraits) -> Admission {
        if self.recent_failures.is_empty() {
            return Admission::Allowed;
        }
        let route = request.route.and_then(|id| self.counts.get(Suspect { kind: SuspectKind::Route, id }));
        let doubted = route.is_some_and(|c| {
            c.separate_incidents >= DOUBT_MIN_INCIDENTS
                && c.failures >= DOUBT_FAILURE_RATE * c.tries
                && c.tries > 0.5
        });
        if !doubted {
            self.last_undoubted_ms = now;
            return Admission::Allowed;
        }
        match self.rng.u32(..DOUBT_ADMIT_ONE_IN) == 0 {
            true if now - self.last_undoubted_ms < OTHER_WORK_WINDOW_MS => Admission::AllowedDoubtful,
            true => Admission::Allowed,
            false if now - self.last_undoubted_ms < OTHER_WORK_WINDOW_MS => {
                Admission::Refused { after_ms: self.retry_after_ms(self.config.initial_pause_ms) }
            }
            false => Admission::AllowedDoubtful,
        }
    }

    /// The retry time for a refused request, with jitter, so that not all clients return at the moment of the
    /// next trial.
    fn retry_after_ms(&mut self, wait_ms: f64) -> f64 {
        (wait_ms * (1.0 + 0.5 * self.rng.f64())).min(self.config.max_retry_after_ms)
    }

    /// Trials of all holds come from one budget, so that many culprits cost the servers no more than one.
    fn refill_trial_budget(&mut self, now: f64) {
        let seconds = if self.last_refill_ms == f64::NEG_INFINITY {
            0.0
        } else {
            (now - self.last_refill_ms) / 1000.0
        };
        self.last_refill_ms = now;
        self.trial_budget = (self.trial_budget + seconds * self.config.trials_per_s)
            .min(2.0 + 2.0 * self.config.trials_per_s);
    }

    /// Records the result of an attempt at a server. Returns whether it counts for or against the server.
    pub fn ended(
        &mut self,
        now: f64,
        request: &RequestTraits,
        server: u64,
        result: AttemptResult,
    ) -> Attribution {
        self.expire(now);
        let suspects = request.suspects_at(server);
        let blamed = suspects
            .iter()
            .flatten()
            .filter(|s| s.kind != SuspectKind::Server && self.verdicts.contains_key(s));
        // The broadest of them explains the most.
        if let Some(suspect) = blamed.max_by_key(|s| s.kind).copied() {
            return self.record_blamed(now, suspect, server, result);
        }
        if result == AttemptResult::Success {
            self.counts.add(now, &suspects, result);
            return Attribution::Server;
        }
        let server_suspect = Suspect { kind: SuspectKind::Server, id: server };
        if scoring::is_plainly_broken(&self.counts, server_suspect) {
            self.counts.add_broken(now, server_suspect, result);
            return Attribution::Server;
        }
        self.counts.add(now, &suspects, result);
        if self.recent_failures.len() >= MAX_RECENT_FAILURES {
            self.recent_failures.pop_front();
        }
        self.recent_failures.push_back(RecentFailure { at_ms: now, suspects, result });
        match scoring::culprit(&self.counts, &suspects) {
            Some((suspect, evidence))
                if !self.exempt_until_ms.contains_key(&suspect) && self.verdicts.len() < MAX_VERDICTS =>
            {
                self.blame_suspect(now, suspect, evidence, request, &suspects);
                if suspect.kind == SuspectKind::Cell {
                    Attribution::WorkAtServer
                } else {
                    Attribution::Unrelated
                }
            }
            _ => Attribution::Server,
        }
    }

    /// Records the result of an attempt with a blamed suspect.
    fn record_blamed(
        &mut self,
        now: f64,
        suspect: Suspect,
        server: u64,
        result: AttemptResult,
    ) -> Attribution {
        let cell = suspect.at_server(server);
        let both = [Some(suspect), Some(cell).filter(|cell| *cell != suspect)];
        self.counts.add_without_totals(now, &both, result);
        let overall = self.counts.get(suspect).unwrap_or_default();
        let here = self.counts.get(cell).unwrap_or_default();
        let rate = overall.failures / overall.tries.max(f64::MIN_POSITIVE);
        let Some(verdict) = self.verdicts.get_mut(&suspect) else { return Attribution::Server };
        if result == AttemptResult::Success {
            if verdict.hold_state == HoldState::NotHeld
                && overall.tries >= CLEAR_MIN_TRIES
                && rate < CLEAR_FAILURE_RATE
            {
                self.clear(now, suspect, false);
            }
            return Attribution::Server;
        }
        verdict.last_failure_ms = now;
        if suspect.kind == SuspectKind::Cell {
            return Attribution::WorkAtServer;
        }
        if verdict.hold_state == HoldState::NotHeld {
            // A suspect that fails at this server far more often than overall fails because of the server as
            // well.
            if scoring::log_likelihood_ratio(here.tries, here.failures, rate.min(0.99))
                > SERVER_TOO_MIN_SCORE
            {
                return Attribution::Server;
            }
            if rate >= self.config.hold_failure_rate && overall.tries >= 4.0 {
                let evidence = scoring::evidence(&self.counts, suspect);
                self.hold_and_notify(now, suspect, evidence);
            }
        }
        Attribution::Unrelated
    }

    fn blame_suspect(
        &mut self,
        now: f64,
        suspect: Suspect,
        evidence: Evidence,
        request: &RequestTraits,
        suspects: &Suspects,
    ) {
        let text = request.display_name(suspect);
        let route = suspects.iter().flatten().find(|s| s.kind == SuspectKind::Route).copied();
        let cell_route = route.filter(|_| suspect.kind == SuspectKind::Cell);
        // A route blamed at one server after another is at fault itself.
        let same_route = |v: &Verdict| cell_route.is_some() && v.route == cell_route;
        let cells: Vec<Suspect> =
            self.verdicts.iter().filter(|(_, v)| same_route(v)).map(|(suspect, _)| *suspect).collect();
        if let Some(route) = cell_route
            && !cells.is_empty()
            && 2 * (cells.len() + 1) >= self.counts.active(SuspectKind::Server)
            && !self.exempt_until_ms.contains_key(&route)
        {
            cells.iter().for_each(|cell| drop(self.verdicts.remove(cell)));
            let text = request.display_name(route);
            return self.add_verdict(now, route, evidence, text, None);
        }
        self.add_verdict(now, suspect, evidence, text, cell_route);
    }

    fn add_verdict(
        &mut self,
        now: f64,
        suspect: Suspect,
        evidence: Evidence,
        text: DisplayName,
        route: Option<Suspect>,
    ) {
        let mut servers = Vec::new();
        let counts = &mut self.counts;
        self.recent_failures.retain(|RecentFailure { at_ms, suspects, result }| {
            let involved = suspects.contains(&Some(suspect));
            if involved {
                servers.extend(
                    suspects.iter().flatten().find(|s| s.kind == SuspectKind::Server).map(|s| s.id),
                );
                counts.subtract(*at_ms, &suspects.map(|s| s.filter(|s| *s != suspect)), *result);
            }
            !involved
        });
        servers.sort_unstable();
        servers.dedup();
        let verdict = Verdict {
            text: text.clone(),
            evidence,
            since_ms: now,
            last_failure_ms: now,
            last_request_ms: now,
            route,
            hold_state: HoldState::NotHeld,
        };
        self.verdicts.insert(suspect, verdict);
        let held = suspect.kind != SuspectKind::Cell && evidence.rate() >= self.config.hold_failure_rate;
        if held {
            self.begin_hold(now, suspect);
        }
        self.changes.push(Change::Blamed { suspect, text, evidence, held, servers });
    }

    fn begin_hold(&mut self, now: f64, suspect: Suspect) {
        let pause_ms = self.recently_cleared.remove(&suspect).map_or(0.0, |cleared| cleared.pause_ms * 2.0);
        let hold = Hold::new(now, &self.config, pause_ms, self.rng.f64());
        if let Some(verdict) = self.verdicts.get_mut(&suspect) {
            verdict.hold_state = HoldState::Held(hold);
        }
    }

    fn hold_and_notify(&mut self, now: f64, suspect: Suspect, evidence: Evidence) {
        self.begin_hold(now, suspect);
        let Some(verdict) = self.verdicts.get_mut(&suspect) else { return };
        verdict.evidence = evidence;
        let (text, servers) = (verdict.text.clone(), Vec::new());
        self.changes.push(Change::Blamed { suspect, text, evidence, held: true, servers });
    }

    /// Removes a verdict; with `remember_pause`, a new hold within [`REPEAT_WINDOW_MS`] starts with twice its
    /// pause.
    fn clear(&mut self, now: f64, suspect: Suspect, remember_pause: bool) {
        let Some(verdict) = self.verdicts.remove(&suspect) else { return };
        self.counts.remove(suspect);
        let (mut trials, mut refused) = (0, 0);
        match &verdict.hold_state {
            HoldState::NotHeld => {}
            HoldState::HeldByOperator(n) => refused = *n,
            HoldState::Held(hold) => {
                (trials, refused) = (hold.trials, hold.refused);
                if remember_pause {
                    self.recently_cleared.insert(
                        suspect,
                        ClearedHold { pause_ms: hold.pause_ms, until_ms: now + REPEAT_WINDOW_MS },
                    );
                }
            }
        }
        self.changes.push(Change::Cleared { suspect, text: verdict.text, trials, refused });
    }

    /// Records the result of a trial; `succeeded` is none if the trial showed nothing. A second result of the
    /// same trial is ignored.
    pub fn trial_ended(&mut self, now: f64, trial_token: TrialToken, succeeded: Option<bool>) {
        for suspect in self.open_trials.remove(&trial_token).unwrap_or_default() {
            let random = self.rng.f64();
            let Some(verdict) = self.verdicts.get_mut(&suspect) else { continue };
            let HoldState::Held(hold) = &mut verdict.hold_state else { continue };
            if hold.trial_ended(now, trial_token, succeeded, &self.config, random) == AfterTrial::Cleared {
                self.clear(now, suspect, true);
            }
        }
    }

    /// Holds a suspect for an operator, without trials, until it is released.
    pub fn hold_by_operator(&mut self, now: f64, suspect: Suspect, text: DisplayName) {
        let evidence = scoring::evidence(&self.counts, suspect);
        self.exempt_until_ms.remove(&suspect);
        let hold_state = HoldState::HeldByOperator(0);
        let verdict = Verdict {
            text: text.clone(),
            evidence,
            since_ms: now,
            last_failure_ms: now,
            last_request_ms: now,
            route: None,
            hold_state,
        };
        self.verdicts.insert(suspect, verdict);
        self.changes.push(Change::Blamed { suspect, text, evidence, held: true, servers: Vec::new() });
    }

    /// Removes a suspect's verdict for an operator; it is not blamed again for ten minutes. False if there
    /// was no verdict.
    pub fn release_by_operator(&mut self, now: f64, suspect: Suspect) -> bool {
        self.exempt_until_ms.insert(suspect, now + OPERATOR_EXEMPTION_MS);
        let had_verdict = self.verdicts.contains_key(&suspect);
        self.clear(now, suspect, false);
        had_verdict
    }

    /// Hashes all state that later verdicts depend on: two states with the same configuration and hash behave
    /// the same.
    pub fn digest<H: Hasher>(&self, state: &mut H) {
        let Blame {
            config: _,
            rng,
            counts,
            verdicts,
            recently_cleared,
            exempt_until_ms,
            recent_failures,
            ..
        } = self;
        let Blame {
            open_trials,
            next_trial_token,
            trial_budget,
            last_refill_ms,
            last_expiry_ms,
            last_undoubted_ms,
            changes: _,
            ..
        } = self;
        (rng.get_seed(), open_trials, next_trial_token).hash(state);
        for value in [trial_budget, last_refill_ms, last_expiry_ms, last_undoubted_ms] {
            value.to_bits().hash(state);
        }
        counts.digest(state);
        for (suspect, ClearedHold { pause_ms, until_ms }) in recently_cleared {
            (suspect, pause_ms.to_bits(), until_ms.to_bits()).hash(state);
        }
        for (suspect, until) in exempt_until_ms {
            (suspect, until.to_bits()).hash(state);
        }
        for RecentFailure { at_ms, suspects, result } in recent_failures {
            (at_ms.to_bits(), suspects, result).hash(state);
        }
        for (suspect, verdict) in verdicts {
            (suspect, verdict.since_ms.to_bits(), verdict.last_failure_ms.to_bits(), verdict.route)
                .hash(state);
            verdict.last_request_ms.to_bits().hash(state);
            match &verdict.hold_state {
                HoldState::NotHeld => 0_u64.hash(state),
                HoldState::HeldByOperator(refused) => (1, refused).hash(state),
                HoldState::Held(hold) => hold.digest(state),
            }
        }
    }

    /// Removes verdicts, exemptions and open trials whose time has passed.
    fn expire(&mut self, now: f64) {
        if now - self.last_expiry_ms < 100.0 {
            return;
        }
        self.last_expiry_ms = now;
        self.recently_cleared.retain(|_, cleared| now < cleared.until_ms);
        self.exempt_until_ms.retain(|_, until| now < *until);
        let quiet_ms = CLEAR_AFTER_MEMORIES * self.config.memory_ms;
        let is_over = |v: &Verdict| match v.hold_state {
            HoldState::NotHeld => now - v.last_failure_ms > quiet_ms,
            HoldState::Held(_) => now - v.last_request_ms > UNREQUESTED_MS,
            HoldState::HeldByOperator(_) => false,
        };
        let ended: Vec<Suspect> =
            self.verdicts.iter().filter(|(_, v)| is_over(v)).map(|(suspect, _)| *suspect).collect();
        for suspect in ended {
            self.clear(now, suspect, false);
        }
        // Tokens of trials that were given up as lost are dropped, which bounds their number.
        let holds: Vec<&Hold> = (self.verdicts.values())
            .filter_map(|v| match &v.hold_state {
                HoldState::Held(hold) => Some(hold),
                _ => None,
            })
            .collect();
        self.open_trials.retain(|trial_token, _| {
            holds.iter().any(|h| h.in_flight.iter().any(|t| t.token == *trial_token))
        });
    }
}
