//! The command line of a load run.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use argh::FromArgs;
use filbertpitch_types::prelude::*;
use filbertpitch_types::text::ParseError;
use filbertpitch_types::units::DurationText;

use super::schedule::{ArrivalSchedule, DemandStep};
use crate::declare::control_address;
use crate::world::{CommaList, KindProfile, RunRange, TeamShare, WorldName, WorldProfile};

/// Consecutive ports; `IP:PORT` or `IP:PORT+COUNT` in text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first address.
    pub first: SocketAddr,
    /// How many ports there are.
    pub count: u16,
}

impl PortRange {
    /// All addresses.
    pub fn addresses(self) -> impl Iterator<Item = SocketAddr> {
        let port = self.first.port();
        (0..self.count).map(move |offset| SocketAddr::new(self.first.ip(), port + offset))
    }
}

impl FromStr for PortRange {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("port range", text, "expected IP:PORT or IP:PORT+COUNT");
        let (first, count) = text.split_once('+').unwrap_or((text, "1"));
        let first = first.parse::<SocketAddr>().map_err(|_| error())?;
        let count = count.parse::<u16>().map_err(|_| error())?;
        match first.port().checked_add(count) {
            Some(_) => Ok(Self { first, count }),
            None => Err(error()),
        }
    }
}

/// The number of tasks of a job; `4` or `1-8` in text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCount {
    /// The fewest tasks.
    pub min: u16,
    /// The most tasks.
    pub max: u16,
}

impl FromStr for TaskCount {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("task count", text, "expected COUNT or FROM-TO above zero");
        let (min, max) = text.split_once('-').unwrap_or((text, text));
        let min = min.parse().map_err(|_| error())?;
        let max = max.parse().map_err(|_| error())?;
        match 0 < min && min <= max {
            true => Ok(Self { min, max }),
            false => Err(error()),
        }
    }
}

impl fmt::Display for TaskCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.min, self.max)
    }
}

/// Drive a system with an open-loop load, verify every answer and print the measures.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunArgs {
    /// entry VMs as IP:PORT+COUNT, separated by commas
    #[argh(option)]
    pub entry: CommaList<PortRange>,
    /// targets as IP:PORT+COUNT, separated by commas
    #[argh(option)]
    pub targets: CommaList<PortRange>,
    /// control endpoints of the targets (default: 10,000 above their ports)
    #[argh(option)]
    pub control: Option<CommaList<PortRange>>,
    /// slots per target, for the capacity (default 8)
    #[argh(option, default = "8")]
    pub slots: u16,
    /// profile `sajha` or `glacis` (default sajha)
    #[argh(option, default = "WorldName::Sajha")]
    pub profile: WorldName,
    /// teams as NAME=SHARE, separated by commas (default: of the profile)
    #[argh(option)]
    pub teams: Option<CommaList<TeamShare>>,
    /// service (default: of the profile)
    #[argh(option)]
    pub service: Option<ServiceName>,
    /// kinds as NAME:RUN[:SHARE][:once], separated by commas (default: of the profile)
    #[argh(option)]
    pub kinds: Option<CommaList<KindProfile>>,
    /// run time of every kind as 50ms or 50ms-100ms (default: of the profile)
    #[argh(option)]
    pub run_time: Option<RunRange>,
    /// tasks per job as COUNT or FROM-TO (default: of the profile)
    #[argh(option)]
    pub job_tasks: Option<TaskCount>,
    /// share of the load in stragglers, 0 to below 1 (default: of the profile)
    #[argh(option)]
    pub straggler_share: Option<f64>,
    /// how many times longer stragglers run (default: of the profile)
    #[argh(option)]
    pub straggler_factor: Option<u32>,
    /// offered load over capacity (default 0.7)
    #[argh(option, default = "0.7")]
    pub load: f64,
    /// jobs per second instead of a load factor
    #[argh(option)]
    pub rate: Option<f64>,
    /// demand steps as FACTORx@START+LENGTH, separated by commas
    #[argh(option)]
    pub steps: Option<CommaList<DemandStep>>,
    /// length of the schedule (default 20s)
    #[argh(option, default = "DurationText(Duration::from_secs(20))")]
    pub duration: DurationText,
    /// start of the schedule that is not measured (default 2s)
    #[argh(option, default = "DurationText(Duration::from_secs(2))")]
    pub warmup: DurationText,
    /// deadline of each job (default 10s)
    #[argh(option, default = "DurationText(Duration::from_secs(10))")]
    pub deadline: DurationText,
    /// network time that is part of the ideal response time (default 0ms)
    #[argh(option, default = "DurationText(Duration::ZERO)")]
    pub network: DurationText,
    /// share of the jobs that is submitted a second time to another VM (default 0)
    #[argh(option, default = "0.0")]
    pub resubmit: f64,
    /// most jobs in flight; jobs beyond it are not sent and reported (default 15000)
    #[argh(option, default = "15_000")]
    pub in_flight: usize,
    /// seed of the schedule (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// threads that send jobs (default 1)
    #[argh(option, default = "1")]
    pub threads: usize,
    /// print the report as JSON
    #[argh(switch)]
    pub json: bool,
}

impl RunArgs {
    /// The environment with the overrides of the command line.
    pub fn world(&self) -> WorldProfile {
        let mut world = WorldProfile::named(self.profile);
        if let Some(CommaList(teams)) = &self.teams {
            world.teams = teams.clone();
        }
        if let Some(service) = &self.service {
            world.service = service.clone();
        }
        if let Some(CommaList(kinds)) = &self.kinds {
            world.kinds = kinds.clone();
        }
        if let Some(run) = self.run_time {
            world.kinds.iter_mut().for_each(|kind| kind.run = run);
        }
        if let Some(count) = self.job_tasks {
            world.job_tasks = (count.min, count.max);
        }
        if let Some(share) = self.straggler_share {
            world.stragglers.share = share.clamp(0.0, 0.99);
        }
        if let Some(factor) = self.straggler_factor {
            world.stragglers.factor = factor.max(1);
        }
        world
    }

    /// The addresses of all entry VMs.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let ranges = self.entry.0.iter();
        ranges.flat_map(|range| range.addresses()).collect()
    }

    /// The addresses of all targets.
    pub fn target_addresses(&self) -> Vec<SocketAddr> {
        let ranges = self.targets.0.iter();
        ranges.flat_map(|range| range.addresses()).collect()
    }

    /// The addresses of the control endpoints of all targets.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        match &self.control {
            Some(CommaList(ranges)) => {
                let ranges = ranges.iter();
                ranges.flat_map(|range| range.addresses()).collect()
            }
            None => {
                let targets = self.target_addresses().into_iter();
                targets.map(control_address).collect()
            }
        }
    }

    /// Slots of all targets: the run time that the targets can do per unit of time.
    pub fn capacity(&self) -> f64 {
        self.target_addresses().len() as f64 * f64::from(self.slots)
    }

    /// Jobs per second outside of steps.
    pub fn job_rate(&self) -> f64 {
        let world = self.world();
        let (min, max) = world.job_tasks;
        let job_tasks = f64::from(min + max) / 2.0;
        let task_work = world.mean_run().as_secs_f64() * world.stragglers.mean_factor();
        let rate = self.load * self.capacity() / (job_tasks * task_work.max(1e-6));
        self.rate.unwrap_or(rate)
    }

    /// The demand steps.
    pub fn demand_steps(&self) -> Vec<DemandStep> {
        let steps = self.steps.as_ref().map(|CommaList(steps)| steps.clone());
        steps.unwrap_or_default()
    }

    /// The schedule of arrivals, cut at the duration.
    pub fn schedule(&self) -> impl Iterator<Item = super::schedule::JobArrival> + use<> {
        let end = self.duration.0;
        let steps = self.demand_steps();
        let schedule = ArrivalSchedule::new(self.world(), self.job_rate(), steps, self.seed);
        schedule.take_while(move |arrival| arrival.at < end)
    }
}
