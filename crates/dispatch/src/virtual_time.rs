//! Virtual time of start-time fair queueing: work divided by weight.

use std::ops::{Add, Sub};
use std::time::Duration;

use filbertpitch_types::prelude::*;

/// The number of fractional bits of a microsecond of virtual time. They keep the quotient of a short
/// work and a large weight from being rounded to zero.
const FRACTION_BITS: u32 = 20;

/// A point in virtual time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VirtualTime(u128);

/// A span of virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VirtualSpan(u128);

impl VirtualSpan {
    /// The span by which `work` advances the virtual time of a team with this weight.
    pub fn new(work: Duration, weight: TeamWeight) -> Self {
        Self((work.as_micros() << FRACTION_BITS) / u128::from(weight.0.get()))
    }

    /// The work that a team with this weight is served in this span. It saturates at the largest
    /// duration in microseconds.
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
