//! The fixed, seeded schedule of arrivals.
//!
//! The schedule does not depend on the answers, so a slow system cannot slow the load down.

use std::str::FromStr;
use std::time::Duration;

use filbertpitch_types::text::ParseError;
use filbertpitch_types::units::DurationText;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::world::WorldProfile;

/// A task whose run time exceeds this multiple of the shortest kind's mean is long.
const LONG_FACTOR: u32 = 4;

/// A change of the demand; `FACTORx@START+LENGTH` in text, for example `3x@10s+10s`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandStep {
    /// The arrival rate over the normal one.
    pub factor: f64,
    /// When it starts.
    pub start: Duration,
    /// How long it lasts.
    pub length: Duration,
}

impl DemandStep {
    /// When it ends.
    pub fn end(self) -> Duration {
        self.start + self.length
    }

    fn covers(self, at: Duration) -> bool {
        (self.start..self.end()).contains(&at)
    }
}

impl FromStr for DemandStep {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("demand step", text, "expected FACTORx@START+LENGTH");
        let (factor, span) = text.split_once("x@").ok_or_else(error)?;
        let (start, length) = span.split_once('+').ok_or_else(error)?;
        let factor = factor.parse::<f64>().map_err(|_| error())?;
        let DurationText(start) = start.parse()?;
        let DurationText(length) = length.parse()?;
        match factor.is_finite() && factor >= 0.0 {
            true => Ok(Self {
                factor,
                start,
                length,
            }),
            false => Err(error()),
        }
    }
}

/// One task of an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedTask {
    /// The kind, by position in the profile.
    pub kind: usize,
    /// The run time that the job declares.
    pub declared: Duration,
    /// The actual run time.
    pub run: Duration,
}

/// One job of the schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobArrival {
    /// When it arrives, from the start of the schedule.
    pub at: Duration,
    /// Its number within the schedule.
    pub number: u64,
    /// The team, by position in the profile.
    pub team: usize,
    /// Whether the job contains long work.
    pub long: bool,
    /// The tasks.
    pub tasks: Vec<PlannedTask>,
}

impl JobArrival {
    /// The longest run time of its tasks.
    pub fn ideal(&self) -> Duration {
        let runs = self.tasks.iter().map(|task| task.run);
        runs.max().unwrap_or_default()
    }

    /// The run time of all its tasks.
    pub fn work(&self) -> Duration {
        self.tasks.iter().map(|task| task.run).sum()
    }
}

/// An endless schedule with exponential gaps.
#[derive(Clone, Debug)]
pub struct ArrivalSchedule {
    world: WorldProfile,
    rate: f64,
    steps: Vec<DemandStep>,
    teams: WeightedIndex<f64>,
    kinds: WeightedIndex<f64>,
    long_threshold: Duration,
    rng: ChaCha8Rng,
    now: Duration,
    number: u64,
}

impl ArrivalSchedule {
    /// A schedule of `rate` jobs per second outside the steps.
    ///
    /// # Panics
    /// When the rate is not positive, or the teams or kinds of `world` have no weight.
    pub fn new(world: WorldProfile, rate: f64, steps: Vec<DemandStep>, seed: u64) -> Self {
        assert!(rate > 0.0, "the arrival rate must be positive");
        let teams = world.teams.iter().map(|team| team.share);
        let teams = WeightedIndex::new(teams).expect("a team has weight");
        let kinds = world.kinds.iter().map(|kind| kind.share);
        let kinds = WeightedIndex::new(kinds).expect("a kind has weight");
        let shortest = world.kinds.iter().map(|kind| kind.run.mean()).min();
        Self {
            long_threshold: shortest.unwrap_or_default() * LONG_FACTOR,
            world,
            rate,
            steps,
            teams,
            kinds,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            number: 0,
        }
    }

    fn factor(&self, at: Duration) -> f64 {
        let step = self.steps.iter().find(|step| step.covers(at));
        step.map_or(1.0, |step| step.factor)
    }

    /// Draws the next arrival by thinning: candidates arrive at the highest rate and are dropped
    /// where the rate is lower.
    fn next_time(&mut self) -> Duration {
        let factors = self.steps.iter().map(|step| step.factor);
        let highest = factors.fold(1.0, f64::max);
        loop {
            let draw = 1.0 - self.rng.random::<f64>();
            self.now += Duration::from_secs_f64(-draw.ln() / (self.rate * highest));
            if self.rng.random::<f64>() * highest < self.factor(self.now) {
                return self.now;
            }
        }
    }

    fn draw_task(&mut self) -> PlannedTask {
        let kind = self.kinds.sample(&mut self.rng);
        let range = self.world.kinds[kind].run;
        let (min, max) = (range.min.as_micros() as u64, range.max.as_micros() as u64);
        let declared = Duration::from_micros(self.rng.random_range(min..=max));
        let stragglers = self.world.stragglers;
        let run = match self
            .rng
            .random_bool(stragglers.probability().clamp(0.0, 1.0))
        {
            true => declared * stragglers.factor,
            false => declared,
        };
        PlannedTask {
            kind,
            declared,
            run,
        }
    }
}

impl Iterator for ArrivalSchedule {
    type Item = JobArrival;

    fn next(&mut self) -> Option<JobArrival> {
        let at = self.next_time();
        let team = self.teams.sample(&mut self.rng);
        let (min, max) = self.world.job_tasks;
        let count = self.rng.random_range(min..=max);
        let tasks = (0..count).map(|_| self.draw_task()).collect::<Vec<_>>();
        let number = self.number;
        self.number += 1;
        Some(JobArrival {
            at,
            number,
            team,
            long: tasks.iter().any(|task| task.run > self.long_threshold),
            tasks,
        })
    }
}
