//! A value that fades back to a mean when it is not updated.

/// A value that fades back to a given mean with time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FadingValue {
    pub(super) value: f64,
    /// Time of the latest update; 0 before the first.
    pub(super) updated_ms: f64,
}

impl FadingValue {
    /// Time constant of the fading.
    pub(super) const MEMORY_MS: f64 = 10_000.0;

    /// The value at `now`, part of the way back to `mean`.
    pub(super) fn at(self, now: f64, mean: f64) -> f64 {
        if self.updated_ms == 0.0 {
            return mean;
        }
        mean + (self.value - mean) * (-(now - self.updated_ms) / FadingValue::MEMORY_MS).exp()
    }

    /// Moves the value towards a new sample by the fraction `step`.
    pub(super) fn update(&mut self, now: f64, mean: f64, sample: f64, step: f64) {
        let current = self.at(now, mean);
        *self = FadingValue { value: current + step * (sample - current), updated_ms: now };
    }
}
