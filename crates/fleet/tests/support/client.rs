//! The jobs of simulated clients and what became of them.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_types::fleet::{JobReply, JobSpec, StepSpec};
use filbertpitch_types::prelude::*;

/// The shape of a job of one step.
#[derive(Clone, Copy, Debug)]
pub struct JobShape {
    /// The position of its queue in the configuration.
    pub queue: usize,
    /// Its tasks.
    pub tasks: u16,
    /// What each takes.
    pub cores: u32,
    /// How long each runs.
    pub work: Duration,
    /// What the client says that each runs.
    pub declared: Duration,
    /// How long the client waits.
    pub patience: Duration,
}

impl Default for JobShape {
    fn default() -> Self {
        Self {
            queue: 0,
            tasks: 4,
            cores: 27,
            work: Duration::from_millis(100),
            declared: Duration::from_millis(100),
            patience: Duration::from_millis(2000),
        }
    }
}

/// A job and its history.
#[derive(Clone, Debug)]
pub struct ClientJob {
    pub shape: JobShape,
    /// When it was sent first.
    pub sent_at: u64,
    /// The VM that it was sent to last.
    pub vm: usize,
    /// The last answer.
    pub reply: Option<JobReply>,
    /// When it was answered last.
    pub answered_at: u64,
    /// How often it was sent.
    pub sends: u32,
    /// The number of the send whose answer counts.
    pub current: u64,
    /// Whether a task of it ever started.
    pub started: bool,
    /// Whether all sends were rejected.
    pub all_rejected: bool,
    /// The tasks that are done.
    pub done: Vec<u16>,
}

impl ClientJob {
    pub fn order(&self, id: JobId) -> JobSpec {
        JobSpec {
            id,
            payload: Rc::from("work"),
            steps: vec![StepSpec {
                count: self.shape.tasks,
                resources: ResourceVector::from((self.shape.cores * 1000, 64, 0)),
                declared: self.shape.declared,
                after: Vec::new(),
                required_label: None,
                preferred_rack: None,
                spread_limit: None,
                unsupported: None,
            }],
            ephemeral: true,
            unsupported: None,
        }
    }

    /// How long the client waited for the answer.
    pub fn waited(&self) -> Duration {
        Duration::from_micros(self.answered_at.saturating_sub(self.sent_at))
    }
}
