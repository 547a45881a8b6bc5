//! An average that is steady, and yet follows a change.

/// Weight of a value in the steady average, as a part of its weight in the quick one.
const STEADY_PART: f64 = 0.2;

/// A steady average beside a quick one, which it takes over when they are far apart.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Smooth {
    steady: f64,
    quick: f64,
    /// Ratio of the two from which a change is believed.
    jump: f64,
}

impl Smooth {
    pub(crate) fn new(start: f64, jump: f64) -> Self {
        Self { steady: start, quick: start, jump }
    }

    pub(crate) fn value(&self) -> f64 {
        self.steady
    }

    /// Takes in `value`, and tells whether the average jumped.
    pub(crate) fn add(&mut self, value: f64, weight: f64) -> bool {
        self.quick += weight * (value - self.quick);
        self.steady += STEADY_PART * weight * (value - self.steady);
        let is_jump = self.quick > self.jump * self.steady || self.quick * self.jump < self.steady;
        if is_jump {
            self.steady = self.quick;
        }
        is_jump
    }
}
