//! Jobs of simulated clients and their results.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_types::fleet::{JobReply, JobSpec, StepSpec};
use filbertpitch_types::prelude::*;

/// How many times as long a task runs away from its rack.
pub const FAR_FACTOR: f64 = 1.5;

/// The label of a rack.
pub fn rack_label(rack: u16) -> Box<str> {
    format!("rack-{rack}").into()
}

/// The shape of a job of one step.
#[derive(Clone, Copy, Debug)]
pub struct JobShape {
    /// The position of its queue in the configuration.
    pub queue: usize,
    /// The number of its tasks.
    pub tasks: u16,
    /// The cores that each task uses.
    pub cores: u32,
    /// The run time of each task on a target of usual speed.
    pub work: Duration,
    /// The run time that the client declares.
    pub declared: Duration,
    /// The client's time-out.
    pub client_timeout: Duration,
    /// The number of its tasks, from the first one on, that crash the targets that start them.
    pub deadly: u16,
    /// A label that the targets of its tasks must have.
    pub label: Option<&'static str>,
    /// How many of its tasks may run on one target at the same time.
    pub spread_limit: Option<u16>,
}

impl Default for JobShape {
    fn default() -> Self {
        Self {
            queue: 0,
            tasks: 4,
            cores: 27,
            work: Duration::from_millis(100),
            declared: Duration::from_millis(100),
            client_timeout: Duration::from_millis(2000),
            deadly: 0,
            label: None,
            spread_limit: None,
        }
    }
}

/// A job, its sends and its answers.
#[derive(Clone, Debug)]
pub struct ClientJob {
    pub shape: JobShape,
    /// The rack on which its tasks run faster than elsewhere, by [`FAR_FACTOR`].
    pub rack: Option<u16>,
    /// When it was first sent, in microseconds of simulated time.
    pub sent_at: u64,
    /// The VM of the latest send.
    pub vm: usize,
    /// The latest answer.
    pub reply: Option<JobReply>,
    /// When the latest answer arrived, in microseconds of simulated time.
    pub answered_at: u64,
    /// The number of sends.
    pub sends: u32,
    /// The number of the latest send. Only that one is repeated if it gets no answer.
    pub current: u64,
    /// Whether any of its tasks ever started.
    pub started: bool,
    /// False once a send was answered other than by a rejection, or lost.
    pub all_rejected: bool,
    /// Its finished tasks.
    pub done: Vec<u16>,
}

impl ClientJob {
    /// The run time of a task on a target of usual speed with these labels.
    pub fn work_on(&self, labels: &[Box<str>]) -> Duration {
        let near = self
            .rack
            .is_none_or(|rack| labels.contains(&rack_label(rack)));
        match near {
            true => self.shape.work,
            false => self.shape.work.mul_f64(FAR_FACTOR),
        }
    }

    pub fn order(&self, id: JobId) -> JobSpec {
        JobSpec {
            id,
            payload: Rc::from("work"),
            steps: vec![StepSpec {
                count: self.shape.tasks,
                resources: ResourceVector::from((self.shape.cores * 1000, 64, 0)),
                declared: self.shape.declared,
                after: Vec::new(),
                required_label: self.shape.label.map(Box::from),
                preferred_rack: self.rack.map(rack_label),
                spread_limit: self.shape.spread_limit,
                unsupported: None,
            }],
            ephemeral: true,
            unsupported: None,
        }
    }

    /// The time from the first send to the latest answer.
    pub fn waited(&self) -> Duration {
        Duration::from_micros(self.answered_at.saturating_sub(self.sent_at))
    }
}
