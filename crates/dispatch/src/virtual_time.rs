//! Virtual time, by which start-time fair queueing orders the teams.
//!
//! Each team has a virtual time, which advances by the run time of the team's tasks divided by the
//! team's weight. The queue serves the team with the lowest virtual time next.

use std::ops::{Add, Sub};
use std::time::Duration;

use filbertpitch_types::prelude::*;

/// Virtual time is a fixed-point number of microseconds with this number of fractional bits. The
/// fraction keeps a short run time divided by a large weight from being rounded to zero.
const FRACTION_BITS: u32 = 20;

/// A point in virtual time, in fixed-point microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VirtualTime(u128);

/// The difference of two points in virtual time, in fixed-point microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VirtualSpan(u128);

impl VirtualSpan {
    /// The span by which a run time of `work` advances the virtual time of a team with `weight`.
    pub fn new(work: Duration, weight: TeamWeight) -> Self {
        Self((work.as_micros() << FRACTION_BITS) / u128::from(weight.0.get()))
    }

    /// The run time that advances the virtual time of a team with `weight` by this span: the
    /// inverse of [`Self::new`]. The result is at most `u64::MAX` microseconds.
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

    /// The earlier point, or zero if `span` reaches back beyond zero.
    fn sub(self, span: VirtualSpan) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Sub for VirtualTime {
    type Output = VirtualSpan;

    /// The span since `earlier`, or zero if `earlier` is the later point.
    fn sub(self, earlier: Self) -> VirtualSpan {
        VirtualSpan(self.0.saturating_sub(earlier.0))
    }
}
