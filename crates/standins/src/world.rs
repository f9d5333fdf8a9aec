//! The environments that the stand-ins simulate: zones, teams and kinds of work.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::text::ParseError;
use filbertpitch_types::units::DurationText;

/// The range from which run times are drawn uniformly; `50ms` or `50ms-100ms` in text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunRange {
    /// The shortest run time.
    pub min: Duration,
    /// The longest run time.
    pub max: Duration,
}

impl RunRange {
    /// A range in milliseconds.
    pub const fn millis(min: u64, max: u64) -> Self {
        Self {
            min: Duration::from_millis(min),
            max: Duration::from_millis(max),
        }
    }

    /// The mean run time.
    pub fn mean(self) -> Duration {
        (self.min + self.max) / 2
    }
}

impl FromStr for RunRange {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (min, max) = text.split_once('-').unwrap_or((text, text));
        let DurationText(min) = min.parse()?;
        let DurationText(max) = max.parse()?;
        if max < min {
            return Err(ParseError::new(
                "run time range",
                text,
                "it ends before it starts",
            ));
        }
        Ok(Self { min, max })
    }
}

/// A kind of work; `NAME:RUN[:SHARE][:once]` in text, for example `quote:50ms-100ms:2:once`.
#[derive(Clone, Debug, PartialEq)]
pub struct KindProfile {
    /// The name.
    pub name: KindName,
    /// The run times without stragglers.
    pub run: RunRange,
    /// The kind's weight among the tasks.
    pub share: f64,
    /// Whether a second run does no harm.
    pub repeatable: bool,
}

impl FromStr for KindProfile {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = |reason| ParseError::new("kind of work", text, reason);
        let mut parts = text.split(':');
        let mut part = || parts.next();
        let name = part().unwrap_or_default().parse()?;
        let run = part()
            .ok_or_else(|| error("the run time is missing"))?
            .parse()?;
        let mut kind = Self {
            name,
            run,
            share: 1.0,
            repeatable: true,
        };
        for word in parts {
            match word {
                "once" => kind.repeatable = false,
                _ => kind.share = parse_share(word).ok_or_else(|| error("the share is invalid"))?,
            }
        }
        Ok(kind)
    }
}

/// A team and its weight in the offered load; `NAME` or `NAME=SHARE` in text.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamShare {
    /// The team.
    pub name: TeamName,
    /// Its weight in the offered load.
    pub share: f64,
}

impl FromStr for TeamShare {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (name, share) = text.split_once('=').unwrap_or((text, "1"));
        let error = || ParseError::new("team share", text, "the share is invalid");
        Ok(Self {
            name: name.parse()?,
            share: parse_share(share).ok_or_else(error)?,
        })
    }
}

fn parse_share(text: &str) -> Option<f64> {
    let share = text.parse::<f64>().ok()?;
    (share.is_finite() && share >= 0.0).then_some(share)
}

/// Stragglers: tasks that run many times longer than declared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StragglerProfile {
    /// Their share of the load (of run time, not of tasks), 0 to below 1.
    pub share: f64,
    /// How many times longer they run.
    pub factor: u32,
}

impl StragglerProfile {
    /// The probability that a task is a straggler.
    pub fn probability(self) -> f64 {
        let factor = f64::from(self.factor);
        self.share / (factor * (1.0 - self.share) + self.share)
    }

    /// The mean run time over the mean run time without stragglers.
    pub fn mean_factor(self) -> f64 {
        1.0 + self.probability() * (f64::from(self.factor) - 1.0)
    }
}

/// A named environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorldName {
    /// Three jute mills in four availability zones.
    Sajha,
    /// A sculpture atelier in three availability zones.
    Glacis,
}

impl FromStr for WorldName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "sajha" => Ok(Self::Sajha),
            "glacis" => Ok(Self::Glacis),
            _ => Err(ParseError::new(
                "profile",
                text,
                "expected `sajha` or `glacis`",
            )),
        }
    }
}

impl fmt::Display for WorldName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Sajha => "sajha",
            Self::Glacis => "glacis",
        })
    }
}

/// An environment.
#[derive(Clone, Debug, PartialEq)]
pub struct WorldProfile {
    /// The availability zones.
    pub zones: Vec<ZoneName>,
    /// The teams.
    pub teams: Vec<TeamShare>,
    /// The service that all kinds belong to.
    pub service: ServiceName,
    /// The kinds of work.
    pub kinds: Vec<KindProfile>,
    /// The stragglers.
    pub stragglers: StragglerProfile,
    /// The tasks of a job, from and to.
    pub job_tasks: (u16, u16),
}

impl WorldProfile {
    /// The environment with this name.
    pub fn named(name: WorldName) -> Self {
        match name {
            WorldName::Sajha => Self::sajha(),
            WorldName::Glacis => Self::glacis(),
        }
    }

    fn sajha() -> Self {
        Self {
            zones: parse_list("biratnagar,itahari,dharan,janakpur"),
            teams: parse_list("mill-east,mill-south,mill-west"),
            service: "order-desk".parse().expect("a valid name"),
            kinds: parse_list(
                "stock-check:50ms-100ms:6,bulk-quote:200ms-1s:2,\
                 dispatch-confirmation:100ms-300ms:2:once",
            ),
            stragglers: StragglerProfile {
                share: 0.0,
                factor: 100,
            },
            job_tasks: (1, 8),
        }
    }

    fn glacis() -> Self {
        Self {
            zones: parse_list("mu-north-1,mu-north-2,mu-north-3"),
            teams: parse_list("atelier,cruise,events"),
            service: "studio".parse().expect("a valid name"),
            kinds: parse_list(
                "rush-quote:50ms-150ms:7,centrepiece-order:200ms-500ms:2:once,cruise-proof:1s-4s:1",
            ),
            stragglers: StragglerProfile {
                share: 0.1,
                factor: 20,
            },
            job_tasks: (1, 8),
        }
    }

    /// The mean run time of a task, without stragglers.
    pub fn mean_run(&self) -> Duration {
        let shares = self.kinds.iter().map(|kind| kind.share).sum::<f64>();
        let weighted = self
            .kinds
            .iter()
            .map(|kind| kind.run.mean().mul_f64(kind.share));
        weighted
            .sum::<Duration>()
            .div_f64(shares.max(f64::MIN_POSITIVE))
    }
}

/// Parses a list of constants.
fn parse_list<Item>(text: &str) -> Vec<Item>
where
    Item: FromStr<Err = ParseError>,
{
    let items = text.split(',').map(str::parse);
    items.collect::<Result<_, _>>().expect("a valid constant")
}

/// A list separated by commas, as a command line option.
#[derive(Clone, Debug, PartialEq)]
pub struct CommaList<Item>(pub Vec<Item>);

impl<Item> FromStr for CommaList<Item>
where
    Item: FromStr<Err = ParseError>,
{
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let items = text.split(',').map(str::parse);
        items.collect::<Result<_, _>>().map(Self)
    }
}
