//! Virtual time of fair queueing: work divided by weight.

use std::ops::{Add, Sub};
use std::time::Duration;

use filbertpitch_types::prelude::*;

/// Fractions per microsecond, so that short work of heavy teams is not rounded to nothing.
const FRACTION_BITS: u32 = 20;

/// A point in virtual time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VirtualTime(u128);

/// A length of virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VirtualSpan(u128);

impl VirtualSpan {
    /// The virtual length of `work` for a team of this weight.
    pub fn new(work: Duration, weight: TeamWeight) -> Self {
        Self((work.as_micros() << FRACTION_BITS) / u128::from(weight.0.get()))
    }

    /// The work that a team of this weight is served within this span.
    pub fn work(self, weight: TeamWeight) -> Duration {
        let micros = self.0.saturating_mul(u128::from(weight.0.get())) >> FRACTION_BITS;
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

impl Add<VirtualSpan> for VirtualTime {
    type Output = Self;

    fn add(self, span: VirtualSpan) -> Self {
        Self(self.0 + span.0)
    }
}

impl Sub<VirtualSpan> for VirtualTime {
    type Output = Self;

    fn sub(self, span: VirtualSpan) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Sub for VirtualTime {
    type Output = VirtualSpan;

    fn sub(self, earlier: Self) -> VirtualSpan {
        VirtualSpan(self.0.saturating_sub(earlier.0))
    }
}
