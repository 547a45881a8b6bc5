//! Rate of calls.

use std::fmt;

/// Calls a second, in steps of a thousandth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallRate(u32);

impl CallRate {
    /// Creates a rate from calls a second; `None` if it is negative or not finite.
    ///
    /// A rate above 4.29 million calls a second becomes that rate.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self((rate * 1e3) as u32))
    }

    /// Creates a rate from thousandths of a call a second.
    pub const fn from_thousandths(thousandths: u32) -> Self {
        Self(thousandths)
    }

    /// Returns the rate in thousandths of a call a second.
    pub const fn thousandths(self) -> u32 {
        self.0
    }

    /// Returns the rate in calls a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}
