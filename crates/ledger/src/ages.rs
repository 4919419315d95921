//! Up to what age kept connections are good, learned from what became of requests on them.

use std::hash::{Hash, Hasher};

/// A backend, or something on the way to it, may drop idle connections sooner than the settings say and without
/// a word: what is written on one is reset unread, and an unsafe request is lost. Any such age shows, also one
/// that changes, since evidence fades; one that few backends have is taken for all. It costs a handshake for each
/// connection that is not used again, so it hurts where old connections break for another reason.
#[derive(Clone, Debug)]
pub struct Ages {
    /// Requests, and those whose connection broke with no answer begun, by age; the first is for new connections.
    seen: [(f64, f64); Ages::STEPS],
    faded_ms: f64,
}

impl Ages {
    /// Two steps for each doubling, from the youngest that is told apart on.
    const STEPS: usize = 24;
    const YOUNGEST_MS: f64 = 10.0;
    /// Evidence is half as much after this.
    const HALF_LIFE_MS: f64 = 30_000.0;
    /// It fades so often at most: each note would otherwise pay for all steps.
    const FADE_MS: f64 = 100.0;
    /// Breaks without which there is no such age.
    const LEAST: f64 = 4.0;
    /// A share of breaks is above that of younger ones by more than a factor and an amount.
    const FACTOR: f64 = 2.0;
    const AMOUNT: f64 = 0.1;

    /// Nothing is known.
    pub fn new() -> Ages {
        Ages { seen: [(0.0, 0.0); Ages::STEPS], faded_ms: 0.0 }
    }

    fn step(age_ms: f64) -> usize {
        let doublings = (age_ms / Ages::YOUNGEST_MS).max(1.0).log2();
        (1 + (2.0 * doublings) as usize).min(Ages::STEPS - 1)
    }

    fn from_ms(step: usize) -> f64 {
        Ages::YOUNGEST_MS * ((step as f64 - 1.0) / 2.0).exp2()
    }

    /// What tells them from others.
    pub fn digest<H: Hasher>(&self, state: &mut H) {
        for (used, broken) in &self.seen {
            (used.to_bits(), broken.to_bits()).hash(state);
        }
        self.faded_ms.to_bits().hash(state);
    }

    /// Notes what became of a request on a connection that had been idle for so long; none for a new one.
    pub fn note(&mut self, now: f64, age_ms: Option<f64>, broke: bool) {
        if now - self.faded_ms >= Ages::FADE_MS {
            let keep = 0.5_f64.powf((now - self.faded_ms) / Ages::HALF_LIFE_MS);
            self.faded_ms = now;
            for (used, broken) in &mut self.seen {
                (*used, *broken) = (*used * keep, *broken * keep);
            }
        }
        if let Some((used, broken)) = self.seen.get_mut(age_ms.map_or(0, Ages::step)) {
            (*used, *broken) = (*used + 1.0, *broken + f64::from(u8::from(broke)));
        }
    }

    /// The age from which on they are not good: of some step and of all older ones together more break than of
    /// what is younger.
    pub fn limit_ms(&self) -> Option<f64> {
        let mut younger = (0.0, 0.0);
        let total = self.seen.iter().fold((0.0, 0.0), |t, s| (t.0 + s.0, t.1 + s.1));
        if total.1 < Ages::LEAST {
            return None;
        }
        self.seen.iter().enumerate().find_map(|(step, &(used, broken))| {
            let bound = younger.1 / f64::max(younger.0, 1.0) * Ages::FACTOR + Ages::AMOUNT;
            let older = (total.0 - younger.0, total.1 - younger.1);
            younger = (younger.0 + used, younger.1 + broken);
            let bad = broken > used * bound && older.1 > older.0 * bound && older.1 >= Ages::LEAST;
            (bad && step > 0).then(|| Ages::from_ms(step))
        })
    }
}
