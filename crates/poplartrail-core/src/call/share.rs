//! Order in which requests are shed, and the fraction of a rank that a gate admits.

use twox_hash::XxHash3_64;

use crate::call::RequestId;

/// Position of a request in the order of shedding within its rank, from 0 (shed last) to 65 535
/// (shed first).
///
/// The position is a hash of the request's identity, so every node computes the same one, and a
/// request that one gate admits is admitted by the others (DAGOR, Zhou et al., 2018).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShedPosition(pub u16);

impl ShedPosition {
    /// Returns the position of `request`.
    pub fn of_request(request: RequestId) -> Self {
        Self((XxHash3_64::oneshot(&request.0.to_le_bytes()) >> 48) as u16)
    }
}

/// The slack of a share for nested calls is the share divided by this number.
const SLACK_DIVISOR: u32 = 6;

/// Fraction of a rank's requests that a gate admits, as a fixed-point number: 65 536 is all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Share(u32);

impl Share {
    /// Admits every request.
    pub const FULL: Share = Share(1 << 16);
    /// Admits no request.
    pub const NONE: Share = Share(0);

    /// Converts `fraction`, clamped to 0..=1, to the nearest share.
    pub fn from_fraction(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * f64::from(Self::FULL.0)).round() as u32)
    }

    /// Converts a fixed-point number; larger numbers than 65 536 count as [`Share::FULL`].
    pub fn from_raw(raw: u32) -> Self {
        Self(raw).min(Self::FULL)
    }

    /// Returns the fixed-point number, 65 536 being all.
    pub const fn raw(self) -> u32 {
        self.0
    }

    /// Returns the share as a fraction of 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::FULL.0)
    }

    /// Returns the share enlarged by its slack, for requests on which work has been done already.
    ///
    /// The share of a gate deep in the call chain changes while it propagates up to the entry. The
    /// slack keeps the requests that the entry admitted under the previous share.
    pub fn with_slack(self) -> Self {
        Self::from_raw(self.0 + self.0 / SLACK_DIVISOR)
    }

    /// Returns whether a request at `position` is admitted.
    pub fn admits(self, position: ShedPosition) -> bool {
        u32::from(position.0) < self.0
    }
}
