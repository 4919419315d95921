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

#[cfg(test)]
mod tests {
    use super::*;

    /// So many requests on connections of an age, and how many of them broke.
    fn noted(ages: &mut Ages, now: f64, age_ms: Option<f64>, used: u32, broken: u32) {
        for n in 0..used {
            ages.note(now, age_ms, n < broken);
        }
    }

    #[test]
    fn steps_double_every_second_time_from_ten_milliseconds_on() {
        for (age_ms, step) in [(0.0, 1), (10.0, 1), (14.1, 1), (14.2, 2), (19.9, 2), (20.0, 3), (1e9, 23)] {
            assert_eq!(Ages::step(age_ms), step, "{age_ms}");
        }
        let begins: Vec<f64> = [1, 2, 3, 5].map(Ages::from_ms).to_vec();
        assert!((begins[1] - 14.142).abs() < 0.001);
        assert_eq!((begins[0], begins[2], begins[3]), (10.0, 20.0, 40.0));
    }

    #[test]
    fn an_age_from_which_clearly_more_break_is_found_by_four_breaks() {
        let mut ages = Ages::new();
        noted(&mut ages, 0.0, None, 100, 1);
        noted(&mut ages, 0.0, Some(30.0), 100, 1);
        noted(&mut ages, 0.0, Some(200.0), 10, 2);
        assert_eq!(ages.limit_ms(), None, "four breaks in all, of which two are older");
        noted(&mut ages, 0.0, Some(200.0), 2, 2);
        assert_eq!(ages.limit_ms(), Some(160.0));
        // Older ones that are good say that it was chance.
        noted(&mut ages, 0.0, Some(3_000.0), 100, 0);
        assert_eq!(ages.limit_ms(), None);
    }

    #[test]
    fn what_breaks_at_any_age_is_no_age_and_new_ones_have_none() {
        let mut ages = Ages::new();
        noted(&mut ages, 0.0, None, 10, 5);
        assert_eq!(ages.limit_ms(), None, "new ones alone");
        for age_ms in [15.0, 100.0, 1_000.0] {
            noted(&mut ages, 0.0, Some(age_ms), 10, 5);
        }
        assert_eq!(ages.limit_ms(), None);
        // Of more than twice the share, and a tenth more.
        let mut ages = Ages::new();
        noted(&mut ages, 0.0, None, 100, 20);
        noted(&mut ages, 0.0, Some(15.0), 100, 20);
        noted(&mut ages, 0.0, Some(100.0), 100, 50);
        assert_eq!(ages.limit_ms(), None, "just as much as that");
        noted(&mut ages, 0.0, Some(100.0), 1, 1);
        assert_eq!(ages.limit_ms(), Some(80.0));
    }

    #[test]
    fn evidence_is_half_as_much_after_half_a_minute_and_none_fades_twice() {
        let mut ages = Ages::new();
        noted(&mut ages, 0.0, Some(200.0), 6, 6);
        assert!(ages.limit_ms().is_some());
        noted(&mut ages, 99.0, None, 1, 0);
        assert_eq!(ages.seen[Ages::step(200.0)], (6.0, 6.0), "it fades every tenth of a second at most");
        noted(&mut ages, 30_000.0, None, 1, 0);
        assert_eq!(ages.seen[Ages::step(200.0)], (3.0, 3.0));
        assert_eq!(ages.seen[0], (1.5, 0.0));
        assert_eq!(ages.limit_ms(), None);
        noted(&mut ages, 60_000.0, None, 1, 0);
        assert_eq!(ages.seen[Ages::step(200.0)], (1.5, 1.5));
    }
}
