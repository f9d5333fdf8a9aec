//! Which faults happen when.

use std::fmt::Write;
use std::time::Duration;

use filbertpitch_types::prelude::*;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::settings::{FaultClass, TrialSettings};

/// The time before the first fault.
const CALM_START: Duration = Duration::from_secs(4);
/// The time after the last fault begins, before all faults have ended.
const CALM_END: Duration = Duration::from_secs(5);

/// What a fault struck, to end it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Victim {
    /// Nothing in particular, or nothing that has to be ended.
    None,
    /// A VM process.
    Vm(usize),
    /// A target.
    Target(usize),
    /// A zone.
    Zone(usize),
}

/// A fault.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// Its class.
    pub class: FaultClass,
    /// When it begins.
    pub begin: TimePoint,
    /// When it ends, if it lasts.
    pub end: TimePoint,
    /// What it struck.
    pub victim: Victim,
}

/// The faults of a run.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    /// In no particular order.
    pub faults: Vec<PlannedFault>,
    /// For people.
    pub text: Box<str>,
}

impl FaultPlan {
    /// The plan of a seed: one class alone, one class overlapping with itself, two classes
    /// together, or many classes.
    pub fn draw(settings: &TrialSettings, rng: &mut ChaCha8Rng) -> Self {
        let all = match settings.faults.is_empty() {
            true => FaultClass::ALL.to_vec(),
            false => settings.faults.clone(),
        };
        let turn = usize::try_from(settings.seed / 4).unwrap_or_default();
        let chosen = all[turn % all.len()];
        let mut drawing = PlanDrawing {
            settings,
            rng,
            faults: Vec::new(),
        };
        let mode = match settings.seed % 4 {
            0 => {
                drawing.repeat(&[chosen], 4);
                "alone"
            }
            1 => {
                drawing.repeat(&[chosen, chosen], 3);
                "twice"
            }
            2 => {
                let other = *all.choose(drawing.rng).expect("there are classes");
                drawing.repeat(&[chosen, other], 3);
                "pair"
            }
            _ => {
                let count = drawing.rng.random_range(10..=18);
                for _ in 0..count {
                    let class = *all.choose(drawing.rng).expect("there are classes");
                    drawing.repeat(&[class], 1);
                }
                "many"
            }
        };
        let faults = drawing.faults;
        let mut text = mode.to_owned();
        for fault in &faults {
            let begin = fault.begin.0 as f64 / 1e6;
            let end = fault.end.0 as f64 / 1e6;
            write!(text, " {}@{begin:.1}-{end:.1}", fault.class).expect("writing to a string");
        }
        Self {
            faults,
            text: text.into(),
        }
    }

    /// Whether faults of a class occur.
    pub fn contains(&self, class: FaultClass) -> bool {
        self.faults.iter().any(|fault| fault.class == class)
    }
}

struct PlanDrawing<'a> {
    settings: &'a TrialSettings,
    rng: &'a mut ChaCha8Rng,
    faults: Vec<PlannedFault>,
}

impl PlanDrawing<'_> {
    /// Adds the classes together, `times` times.
    fn repeat(&mut self, classes: &[FaultClass], times: usize) {
        let first = CALM_START.as_micros() as u64;
        let last = (self.settings.fault_time.saturating_sub(CALM_END)).as_micros() as u64;
        let limit = TimePoint::default() + self.settings.fault_time;
        for _ in 0..times {
            let begin = self.rng.random_range(first..last.max(first + 1));
            for &class in classes {
                let offset = self.rng.random_range(0..3_000_000);
                let begin = TimePoint(begin + offset).min(TimePoint(last));
                let end = (begin + self.draw_length(class)).min(limit);
                self.faults.push(PlannedFault {
                    class,
                    begin,
                    end,
                    victim: Victim::None,
                });
            }
        }
    }

    fn draw_length(&mut self, class: FaultClass) -> Duration {
        let millis = match class {
            FaultClass::Freeze => match self.rng.random_range(0..10) {
                0..=3 => 200..3_000,
                4..=6 => 3_000..15_000,
                _ => 60_000..75_000,
            },
            FaultClass::TargetFreeze => 500..20_000,
            FaultClass::TargetCut => 2_000..20_000,
            FaultClass::TargetRestart => 50..8_000,
            FaultClass::Kill | FaultClass::Drain => 300..12_000,
            FaultClass::Leave => 4_000..25_000,
            FaultClass::Loss => 2_000..20_000,
            FaultClass::LogDown | FaultClass::ListStale => 2_000..40_000,
            _ => 1_000..25_000,
        };
        Duration::from_millis(self.rng.random_range(millis))
    }
}
