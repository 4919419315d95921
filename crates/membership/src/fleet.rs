//! What one node knows of the others, and what it says and asks.
//!
//! Why the shares of all that send never pass the whole: see `docs/fleet-design.md`. In short: a proof that a node is absent
//! counts from the moment at which it was *asked* for, by the asker's clock, and holds for a fixed time; a node that starts
//! sends nothing for longer than that. So whoever leaves a node out of its count does so while that node sends nothing,
//! whatever was lost, late or repeated on the way.

use crate::Ms;
use crate::terms::Terms;
use crate::wire::{self, Key, Kind, Message, NONE, Own, TOLD};
use crate::words::{Word, Words};
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// Questions that are remembered; older ones are answered too late to be of use.
const REMEMBERED: usize = 64;
/// One that has not been heard of for so many holds is called silent.
const SILENT_HOLDS: f64 = 1.0;
/// A second program under one number, or a number beyond those that are configured, counts for so many holds after it was heard.
const BESIDE_HOLDS: f64 = 20.0;
/// Numbers beyond those that are configured that are remembered.
const MOST_BEYOND: usize = 1_024;
/// Ages are told in so many parts of the hold.
const PARTS: f64 = NONE as f64 - 1.0;

/// A question to be sent. It goes out from a socket of its own, so that a refusal says which one was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// To which node.
    pub to: u32,
    /// Which question it is, for [`Fleet::refused`].
    pub nonce: u64,
    /// The datagram.
    pub bytes: Vec<u8>,
}

/// How many nodes may be sending.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Senders {
    /// This one among them; none where this one may not send yet, or any more.
    pub nodes: Option<u32>,
    /// It holds until then; after that, all that are configured may be sending.
    pub until_ms: Ms,
}

/// How a node stands, as far as is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing was ever heard of it.
    Unknown,
    /// It was heard of lately.
    Alive,
    /// It has said that it sends nothing any more.
    Left,
    /// Nothing was heard of it for a while; it counts.
    Silent,
    /// It was proven absent; it does not count.
    Absent,
    /// An operator has said that it is gone; it does not count until it speaks again.
    Forgotten,
}

/// Why a node cannot be forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum ForgetError {
    /// There is none of this number.
    #[error("there is no node {0}: the fleet's are 0 to {1}")]
    Unknown(u32, u32),
    /// It is the one that was told.
    #[error("node {0} is the one that was told; stop it instead")]
    Itself(u32),
    /// It was heard of a short while ago.
    #[error("node {0} was heard {1:.1} s ago: it runs; stop it, or cut it off, and say so again")]
    Heard(u32, f64),
}

/// What is known of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Its number.
    pub node: u32,
    /// How it stands.
    pub standing: Standing,
    /// When it was last heard of by itself.
    pub heard_ms: Option<Ms>,
    /// What it says of itself.
    pub own: Own,
    /// Which run of its program it was.
    pub incarnation: u64,
    /// Two programs say that they are this node; both count.
    pub double: bool,
}

/// What is known of a run of a program: which one, what it sent last, and when it was heard.
#[derive(Clone, Copy, Debug, Default)]
struct Run {
    incarnation: u64,
    sequence: u64,
    heard_ms: Option<Ms>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    heard_ms: Option<Ms>,
    /// When the present run was first heard, and the run before it; that is another program where it is heard much later.
    since_ms: Ms,
    older: Run,
    /// When the last question that it answered was asked.
    answered_ms: Option<Ms>,
    /// It had sent nothing more at this moment; by a proof that was asked for then.
    absent_ms: Option<Ms>,
    incarnation: u64,
    sequence: u64,
    own: Own,
    left: bool,
}

/// Of two proofs the one that holds longer.
fn later(known: Option<Ms>, new: Ms) -> Option<Ms> {
    Some(known.map_or(new, |known| known.max(new)))
}

/// One node's view.
#[derive(Clone, Debug)]
pub struct Fleet {
    terms: Terms,
    number: u32,
    own: Own,
    key: Option<Key>,
    incarnation: u64,
    sequence: u64,
    /// From then on it may send.
    sends_from_ms: Ms,
    left: bool,
    /// An operator had this node forgotten, as it heard then: it sends nothing until all that count have heard of it.
    back_ms: Option<Ms>,
    /// Another program was heard under this node's number.
    doubled_ms: Option<Ms>,
    words: Words,
    /// Numbers that are not configured here, but have the key.
    beyond: BTreeMap<u32, Run>,
    peers: Vec<Peer>,
    /// Who is asked next, each once before any is asked again.
    round: Vec<u32>,
    asked: VecDeque<(u64, u32, Ms)>,
    /// The first node that the next answer tells of.
    tells_from: usize,
}

impl Fleet {
    /// A node that starts now, and listens already, so that nobody is refused there any more: `number` among all, `incarnation`
    /// higher with each start of its program.
    pub fn new(terms: Terms, number: u32, own: Own, key: Option<Key>, incarnation: u64, now: Ms) -> Fleet {
        Fleet {
            terms,
            number,
            own,
            key,
            incarnation,
            sequence: 0,
            sends_from_ms: now + terms.wait_ms(),
            left: false,
            back_ms: None,
            doubled_ms: None,
            words: Words::default(),
            beyond: BTreeMap::new(),
            peers: vec![Peer::default(); terms.nodes as usize],
            round: Vec::new(),
            asked: VecDeque::new(),
            tells_from: 0,
        }
    }

    /// One that has sent so much already, and may go on from `now` on.
    pub(crate) fn sent_until(self, sequence: u64, now: Ms) -> Fleet {
        Fleet { sequence, sends_from_ms: now, ..self }
    }

    pub(crate) fn with_words(mut self, words: impl Iterator<Item = Word>) -> Fleet {
        let nodes = self.terms.nodes;
        words.filter(|w| w.node < nodes).for_each(|w| self.words.hear(w));
        self
    }

    pub(crate) fn words(&self) -> impl Iterator<Item = &Word> {
        self.words.all()
    }

    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// From when on it may send.
    pub fn sends_from_ms(&self) -> Ms {
        self.sends_from_ms
    }

    /// What it says of itself from now on.
    pub fn says(&mut self, own: Own) {
        self.own = own;
    }

    /// From now on it sends nothing that is counted, to its end.
    pub fn leave(&mut self) {
        self.left = true;
    }

    /// The next question, to be sent now; `draw` makes it unlike any other. None where there is nobody to ask.
    pub fn ask(&mut self, now: Ms, draw: u64) -> Option<Ask> {
        if self.round.is_empty() {
            self.round = (0..self.terms.nodes).filter(|n| *n != self.number).collect();
            let mut state = draw | 1;
            for n in (1..self.round.len()).rev() {
                state = state.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
                self.round.swap(n, ((state >> 33) % (n as u64 + 1)) as usize);
            }
        }
        let to = self.round.pop()?;
        if self.asked.len() >= REMEMBERED {
            self.asked.pop_front();
        }
        self.asked.push_back((draw, to, now));
        let bytes = self.say(now, Kind::Question, to, draw);
        Some(Ask { to, nonce: draw, bytes })
    }

    /// An operator's word that a node will send nothing any more unless the fleet hears it before, as of one whose machine is
    /// dead; `wall_ms` is since 1970. It is passed on, and taken back when that node speaks again.
    ///
    /// # Errors
    /// It is heard, or none of the others.
    pub fn forget(&mut self, node: u32, now: Ms, wall_ms: u64) -> Result<(), ForgetError> {
        if node == self.number {
            return Err(ForgetError::Itself(node));
        }
        let last = self.terms.nodes.saturating_sub(1);
        let peer = self.peers.get(node as usize).ok_or(ForgetError::Unknown(node, last))?;
        let heard = peer.heard_ms.filter(|at| !peer.left && now - at <= SILENT_HOLDS * self.terms.hold_ms);
        if let Some(at) = heard {
            return Err(ForgetError::Heard(node, (now - at) / 1000.0));
        }
        self.words.forget(node, wall_ms);
        Ok(())
    }

    fn say(&mut self, now: Ms, kind: Kind, to: u32, nonce: u64) -> Vec<u8> {
        self.sequence += 1;
        let double =
            kind == Kind::Answer && self.peers.get(to as usize).is_some_and(|p| self.double(p, now));
        let (start, ages) = if kind == Kind::Answer { self.proofs(now) } else { (0, Vec::new()) };
        let message = Message {
            kind,
            from: self.number,
            to,
            incarnation: self.incarnation,
            nonce,
            sequence: self.sequence,
            terms: self.terms.digest(),
            own: self.own,
            left: self.left,
            double,
            // What is taken back of itself goes first, so that whoever answers has heard of it; and what is said of the
            // hearer, so that it does not begin to send before it knows.
            words: self.words.next([self.number, to]),
            start,
            ages,
        };
        wire::write(&message, self.key.as_ref())
    }

    /// Proofs to pass on, of the next nodes in turn: from which one on, and how old they are.
    fn proofs(&mut self, now: Ms) -> (u32, Vec<u8>) {
        let start = self.tells_from % self.peers.len().max(1);
        self.tells_from = start + TOLD;
        let next = self.peers.iter().cycle().skip(start).take(TOLD.min(self.peers.len()));
        let age =
            |peer: &Peer| match peer.absent_ms.map(|at| ((now - at) / self.terms.hold_ms * PARTS).ceil()) {
                // Up, never down: rather too old.
                Some(parts) if parts <= PARTS => parts.max(0.0) as u8,
                _ => NONE,
            };
        (start as u32, next.map(age).collect())
    }

    /// What has come: from whom, as far as it says so truly, and the answer to be sent back, where it is a question.
    pub fn datagram(&mut self, now: Ms, bytes: &[u8]) -> Option<(u32, Option<Vec<u8>>)> {
        let m = wire::read(bytes, self.key.as_ref())?;
        if m.to != self.number || m.from == self.number {
            return None;
        }
        if m.from >= self.terms.nodes {
            return self.unknown_number(now, &m);
        }
        let agreed = m.terms == self.terms.digest();
        let peer = self.peers.get_mut(m.from as usize)?;
        if m.incarnation < peer.incarnation {
            return self.older_run(now, &m);
        }
        // What was said before what was heard already is old news.
        if (m.incarnation, m.sequence) <= (peer.incarnation, peer.sequence) {
            return None;
        }
        if m.incarnation > peer.incarnation {
            peer.older = Run { incarnation: peer.incarnation, sequence: peer.sequence, heard_ms: None };
            peer.since_ms = now;
        }
        (peer.incarnation, peer.sequence) = (m.incarnation, m.sequence);
        (peer.own, peer.left, peer.heard_ms) = (m.own, m.left, Some(now));
        if m.kind == Kind::Question {
            if !m.left {
                // It is there: it counts before it sends.
                peer.absent_ms = None;
            }
            // A run from before the word may be a datagram from before it; what it answers tells.
            if m.incarnation > self.words.stamp(m.from) && !m.left {
                self.words.take_back(m.from);
            }
            self.hear_words(now, &m);
            return Some((m.from, Some(self.say(now, Kind::Answer, m.from, m.nonce))));
        }
        let place = self.asked.iter().position(|(nonce, to, _)| (*nonce, *to) == (m.nonce, m.from))?;
        let (_, _, asked_ms) = self.asked.remove(place)?;
        peer.answered_ms = later(peer.answered_ms, asked_ms);
        peer.absent_ms = match (m.left, agreed) {
            // It had left when it answered, which was behind the question; what starts under its name after that waits.
            (true, true) => later(peer.absent_ms, asked_ms),
            (true, false) => peer.absent_ms,
            (false, _) => None,
        };
        if m.double {
            self.doubled_ms = Some(now);
        }
        if !m.left {
            self.words.take_back(m.from);
        }
        self.hear_words(now, &m);
        if agreed {
            self.learn(&m, asked_ms);
        }
        Some((m.from, None))
    }

    /// An earlier run than the one that is known: late news of it, or another program that goes on beside it.
    fn older_run(&mut self, now: Ms, m: &Message) -> Option<(u32, Option<Vec<u8>>)> {
        let hold_ms = self.terms.hold_ms;
        let peer = self.peers.get_mut(m.from as usize)?;
        let run = peer.older;
        if (m.incarnation, m.sequence) <= (run.incarnation, run.sequence) {
            return None;
        }
        // What a run sent before its end may come this late, not later.
        let goes_on = m.incarnation == run.incarnation && now - peer.since_ms > hold_ms / 2.0;
        let heard_ms = if goes_on { Some(now) } else { run.heard_ms };
        if goes_on {
            self.words.take_back(m.from);
        }
        peer.older = Run { incarnation: m.incarnation, sequence: m.sequence, heard_ms };
        (m.kind == Kind::Question).then(|| (m.from, Some(self.say(now, Kind::Answer, m.from, m.nonce))))
    }

    /// A node with the key that is not configured here: the fleet grows, and this node has yet to be told.
    fn unknown_number(&mut self, now: Ms, m: &Message) -> Option<(u32, Option<Vec<u8>>)> {
        let room = self.beyond.len() < MOST_BEYOND;
        let known = self.beyond.get(&m.from).copied().or_else(|| room.then(Run::default))?;
        if m.kind != Kind::Question || (m.incarnation, m.sequence) <= (known.incarnation, known.sequence) {
            return None;
        }
        let run = Run { incarnation: m.incarnation, sequence: m.sequence, heard_ms: Some(now) };
        self.beyond.insert(m.from, run);
        Some((m.from, Some(self.say(now, Kind::Answer, m.from, m.nonce))))
    }

    fn hear_words(&mut self, now: Ms, m: &Message) {
        for word in m.words.iter().filter(|w| w.node < self.terms.nodes) {
            self.words.hear(*word);
        }
        if self.words.take_back(self.number) {
            self.back_ms = Some(now);
        }
    }

    fn beside(&self, heard_ms: Option<Ms>, now: Ms) -> bool {
        heard_ms.is_some_and(|at| now - at <= BESIDE_HOLDS * self.terms.hold_ms)
    }

    /// Two programs say that they are this node.
    fn double(&self, peer: &Peer, now: Ms) -> bool {
        self.beside(peer.older.heard_ms, now)
    }

    /// Another program was heard lately under this node's number.
    pub fn doubled(&self, now: Ms) -> bool {
        self.beside(self.doubled_ms, now)
    }

    /// Numbers that were heard of lately and are not configured here.
    pub fn beyond(&self, now: Ms) -> Vec<u32> {
        let heard = self.beyond.iter().filter(|(_, run)| self.beside(run.heard_ms, now));
        heard.map(|(node, _)| *node).collect()
    }

    /// Those that must have heard that this node, which an operator had forgotten, is back.
    pub fn waits_for(&self, now: Ms) -> Vec<u32> {
        let Some(back_ms) = self.back_ms else { return Vec::new() };
        let waits = |(n, peer): &(u32, &Peer)| {
            *n != self.number
                && peer.answered_ms.is_none_or(|asked| asked <= back_ms)
                && self.holds(peer, now).is_none()
                && !self.words.forgotten(*n)
        };
        (0..self.terms.nodes).zip(&self.peers).filter(waits).map(|(n, _)| n).collect()
    }

    /// Proofs of another: as old as it says when it answered, and it answered behind the question.
    fn learn(&mut self, m: &Message, asked_ms: Ms) {
        let count = self.peers.len();
        for (n, age) in m.ages.iter().enumerate().filter(|(_, age)| **age != NONE) {
            let proven_ms = asked_ms - f64::from(*age) / PARTS * self.terms.hold_ms;
            let n = (m.start as usize + n) % count.max(1);
            let Some(peer) = self.peers.get_mut(n).filter(|_| n != self.number as usize) else { continue };
            // One that was heard of since then is there.
            if peer.heard_ms.is_none_or(|heard| peer.left || heard < proven_ms) {
                peer.absent_ms = later(peer.absent_ms, proven_ms);
            }
        }
    }

    /// A question was refused: its node's machine says that no program listens there. Only where the operator says that
    /// nothing else on the way may say so.
    pub fn refused(&mut self, nonce: u64) {
        let Some(place) = self.asked.iter().position(|(n, ..)| *n == nonce) else { return };
        let Some((_, to, asked_ms)) = self.asked.remove(place) else { return };
        if let Some(peer) = self.peers.get_mut(to as usize)
            && peer.heard_ms.is_none_or(|heard| heard < asked_ms)
        {
            peer.absent_ms = later(peer.absent_ms, asked_ms);
        }
    }

    /// Until when it is proven absent. Of two programs under one number a proof says nothing of the other.
    fn holds(&self, peer: &Peer, now: Ms) -> Option<Ms> {
        let until = peer.absent_ms.map(|at| at + self.terms.hold_ms);
        until.filter(|until| now < *until && !self.double(peer, now))
    }

    /// This node's number.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Which run of the program this is.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// What it says of itself.
    pub fn own(&self) -> Own {
        self.own
    }

    /// What the fleet has agreed on.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// How many nodes may be sending now. To be asked again with each look at the clock before anything is sent.
    pub fn senders(&self, now: Ms) -> Senders {
        if self.left || now < self.sends_from_ms {
            let until_ms = if self.left { f64::INFINITY } else { self.sends_from_ms };
            return Senders { nodes: None, until_ms };
        }
        if !self.waits_for(now).is_empty() {
            return Senders { nodes: None, until_ms: f64::INFINITY };
        }
        let others = (0..self.terms.nodes).zip(&self.peers).filter(|(n, _)| *n != self.number);
        let (mut nodes, mut until_ms) = (1, f64::INFINITY);
        for (n, peer) in others {
            let double = self.double(peer, now);
            match self.holds(peer, now) {
                // It does not end by itself.
                _ if self.words.forgotten(n) && !double => {}
                Some(until) => until_ms = f64::min(until_ms, until),
                None => nodes += 1 + u32::from(double),
            }
        }
        nodes += u32::from(self.doubled(now)) + self.beyond(now).len() as u32;
        Senders { nodes: Some(nodes), until_ms }
    }

    /// What is known of all, this one left out.
    pub fn lines(&self, now: Ms) -> Vec<Line> {
        let others = (0..self.terms.nodes).zip(&self.peers).filter(|(n, _)| *n != self.number);
        let line = |(node, peer): (u32, &Peer)| {
            let standing = match peer.heard_ms {
                _ if self.words.forgotten(node) => Standing::Forgotten,
                _ if self.holds(peer, now).is_some() => {
                    if peer.left {
                        Standing::Left
                    } else {
                        Standing::Absent
                    }
                }
                None => Standing::Unknown,
                Some(heard) if now - heard > SILENT_HOLDS * self.terms.hold_ms => Standing::Silent,
                Some(_) if peer.left => Standing::Left,
                Some(_) => Standing::Alive,
            };
            let double = self.double(peer, now);
            let Peer { heard_ms, own, incarnation, .. } = *peer;
            Line { node, standing, heard_ms, own, incarnation, double }
        };
        others.map(line).collect()
    }
}
