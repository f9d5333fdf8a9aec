//! The resources of tasks and targets: processor time, memory and accelerators.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::text::ParseError;

/// Thousandths of a processor core; `1500m` in text.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MilliCores(pub u32);

impl FromStr for MilliCores {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let reason = "expected a whole number of thousandths of a core with the unit m";
        text.strip_suffix('m')
            .and_then(|number| number.parse().ok())
            .map(Self)
            .ok_or_else(|| ParseError::new("processor share", text, reason))
    }
}

impl fmt::Display for MilliCores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

/// Memory in MiB; `64MiB` in text.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MemoryMib(pub u32);

impl FromStr for MemoryMib {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let reason = "expected a whole number with the unit MiB";
        text.strip_suffix("MiB")
            .and_then(|number| number.parse().ok())
            .map(Self)
            .ok_or_else(|| ParseError::new("memory size", text, reason))
    }
}

impl fmt::Display for MemoryMib {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}MiB", self.0)
    }
}

/// A number of accelerators.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GpuCount(pub u32);

impl FromStr for GpuCount {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.parse().map(Self).map_err(|_| {
            ParseError::new("number of accelerators", text, "it is not a whole number")
        })
    }
}

impl fmt::Display for GpuCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The resources that a task needs or that a target has. It is encoded as an array to save space,
/// because messages between VMs contain one for each target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
pub struct ResourceVector {
    /// Processor time in thousandths of a core.
    pub cpu: MilliCores,
    /// Memory in MiB.
    pub memory: MemoryMib,
    /// The number of accelerators.
    pub gpus: GpuCount,
}

impl ResourceVector {
    /// Whether `self` is at most `available` in every dimension.
    pub fn fits(&self, available: &Self) -> bool {
        self.cpu <= available.cpu && self.memory <= available.memory && self.gpus <= available.gpus
    }

    /// The minimum of both in every dimension.
    pub fn component_min(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            gpus: self.gpus.min(other.gpus),
        }
    }
}

impl From<(u32, u32, u32)> for ResourceVector {
    fn from((cpu, memory, gpus): (u32, u32, u32)) -> Self {
        Self {
            cpu: MilliCores(cpu),
            memory: MemoryMib(memory),
            gpus: GpuCount(gpus),
        }
    }
}

impl From<ResourceVector> for (u32, u32, u32) {
    fn from(resources: ResourceVector) -> Self {
        (resources.cpu.0, resources.memory.0, resources.gpus.0)
    }
}

impl Add for ResourceVector {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu: MilliCores(self.cpu.0.saturating_add(other.cpu.0)),
            memory: MemoryMib(self.memory.0.saturating_add(other.memory.0)),
            gpus: GpuCount(self.gpus.0.saturating_add(other.gpus.0)),
        }
    }
}

impl AddAssign for ResourceVector {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

/// Saturates at zero in each dimension.
impl Sub for ResourceVector {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            cpu: MilliCores(self.cpu.0.saturating_sub(other.cpu.0)),
            memory: MemoryMib(self.memory.0.saturating_sub(other.memory.0)),
            gpus: GpuCount(self.gpus.0.saturating_sub(other.gpus.0)),
        }
    }
}

impl fmt::Display for ResourceVector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}", self.cpu, self.memory)?;
        if self.gpus.0 > 0 {
            write!(f, "+{}gpu", self.gpus)?;
        }
        Ok(())
    }
}
