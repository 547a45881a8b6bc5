//! The order of shedding, and how much of a rank a gate admits.

use twox_hash::XxHash3_64;

use crate::call::RequestId;

/// Position of a request among those of its rank, from 0 (shed last) to 65 535 (shed first).
///
/// The position is a hash of the request's identity, so every node computes the same one
/// and a request that passes one gate passes the others (DAGOR, Zhou et al., 2018).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShedPosition(pub u16);

impl ShedPosition {
    /// The position of `request`.
    pub fn of(request: RequestId) -> Self {
        Self((XxHash3_64::oneshot(&request.0.to_le_bytes()) >> 48) as u16)
    }
}

/// Part of a share that is added for requests that have begun.
const SLACK_PART: u32 = 6;

/// Fraction of a rank's requests that a gate admits, in parts of 65 536.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Share(u32);

impl Share {
    /// Admits everything.
    pub const FULL: Share = Share(1 << 16);
    /// Admits nothing.
    pub const NONE: Share = Share(0);

    /// The nearest share to `fraction`, which is clamped to 0..=1.
    pub fn from_fraction(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * f64::from(Self::FULL.0)).round() as u32)
    }

    /// A share from its parts of 65 536; larger numbers count as [`Share::FULL`].
    pub fn from_raw(parts: u32) -> Self {
        Self(parts).min(Self::FULL)
    }

    /// The share in parts of 65 536.
    pub const fn raw(self) -> u32 {
        self.0
    }

    /// The share as a fraction of 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::FULL.0)
    }

    /// A slightly larger share, for requests on which work has been spent already.
    ///
    /// The share of a deep gate moves while it travels up to the entry; the slack keeps requests
    /// that the entry let in under the last one.
    pub fn with_slack(self) -> Self {
        Self::from_raw(self.0 + self.0 / SLACK_PART)
    }

    /// Whether a request at position `draw` passes.
    pub fn admits(self, draw: ShedPosition) -> bool {
        u32::from(draw.0) < self.0
    }
}
