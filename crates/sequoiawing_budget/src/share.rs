use serde::{Deserialize, Serialize};

/// A fraction of a total, in millionths.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Share(u32);

impl Share {
    /// No part of the total.
    pub const NONE: Self = Self(0);
    /// The whole total.
    pub const WHOLE: Self = Self(1_000_000);

    /// Returns a share in millionths, capped at the whole.
    pub fn from_millionths(millionths: u32) -> Self {
        Self(millionths.min(Self::WHOLE.0))
    }

    /// Returns one of `count` equal shares, rounded down.
    pub fn equal(count: usize) -> Self {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        Self(Self::WHOLE.0 / count.max(1))
    }

    /// Returns the share in millionths.
    pub fn millionths(self) -> u32 {
        self.0
    }

    /// Returns this share of `total`, rounded down.
    pub fn of(self, total: u64) -> u64 {
        let part = u128::from(total) * u128::from(self.0) / u128::from(Self::WHOLE.0);
        u64::try_from(part).unwrap_or(u64::MAX)
    }

    /// Returns this share minus `other`, or nothing if `other` is larger.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the sum of both shares, capped at the whole.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self::from_millionths(self.0.saturating_add(other.0))
    }
}
