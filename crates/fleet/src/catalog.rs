//! The queues and services in force.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::entity::{KindIndex, NameInterner, ServiceIndex};
use filbertpitch_dispatch::estimate::{EstimateSettings, RunEstimator};
use filbertpitch_types::fleet::{FleetConfiguration, QueueSpec};
use filbertpitch_types::prelude::*;

use crate::run_time_model::RunTimeModel;

/// The run time that is assumed of a queue before its first job: the middle of sub-second tasks.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(200);

/// A queue that a request names, and the rest of its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueMatch<'a> {
    /// The queue.
    pub queue: KindIndex,
    /// What follows the queue's prefix in the path.
    pub rest: &'a str,
}

/// The configuration in force and what was learned of its queues.
#[derive(Clone, Debug)]
pub struct QueueCatalog {
    configuration: Option<Rc<FleetConfiguration>>,
    queues: NameInterner<KindIndex, QueueName>,
    services: NameInterner<ServiceIndex, ServiceName>,
    estimator: RunEstimator,
    /// What the patience of clients tells of each queue's jobs.
    run_time_models: HashMap<KindIndex, RunTimeModel>,
}

impl Default for QueueCatalog {
    fn default() -> Self {
        Self {
            configuration: None,
            queues: NameInterner::default(),
            services: NameInterner::default(),
            estimator: RunEstimator::new(EstimateSettings::default()),
            run_time_models: HashMap::new(),
        }
    }
}

impl QueueCatalog {
    /// Puts a configuration in force unless the one in force is as new. Returns whether it did.
    pub fn install(&mut self, configuration: Rc<FleetConfiguration>) -> bool {
        if self.version() >= Some(configuration.version) {
            return false;
        }
        for queue in &configuration.queues {
            let kind = self.queues.intern(&queue.name);
            let service = self.services.intern(&queue.service);
            self.estimator.configure(kind, service, DEFAULT_RUN_TIME);
        }
        self.configuration = Some(configuration);
        true
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Rc<FleetConfiguration>> {
        self.configuration.as_ref()
    }

    /// The version in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.configuration.as_ref().map(|it| it.version)
    }

    /// The queue that a host and a path name: the one with the longest prefix.
    pub fn match_request<'a>(&self, host: &str, path: &'a str) -> Option<QueueMatch<'a>> {
        let queues = &self.configuration.as_ref()?.queues;
        let matching = queues
            .iter()
            .filter(|queue| *queue.host == *host && path.starts_with(&*queue.path_prefix));
        let queue = matching.max_by_key(|queue| queue.path_prefix.len())?;
        Some(QueueMatch {
            queue: self.queues.get(&queue.name)?,
            rest: &path[queue.path_prefix.len()..],
        })
    }

    /// What is configured for a queue, if it is still there.
    pub fn spec(&self, queue: KindIndex) -> Option<&QueueSpec> {
        let name = self.queues.name(queue);
        let queues = &self.configuration.as_ref()?.queues;
        queues.iter().find(|spec| spec.name == *name)
    }

    /// The name of a queue, in force or not.
    pub fn name(&self, queue: KindIndex) -> &QueueName {
        self.queues.name(queue)
    }

    /// The index of a queue's name.
    pub fn index(&self, name: &QueueName) -> Option<KindIndex> {
        self.queues.get(name)
    }

    /// The expected run time of a task, by what clients declare and by how long they wait.
    pub fn predict_run_time(
        &self,
        queue: KindIndex,
        declared: Duration,
        client_timeout: Duration,
    ) -> Duration {
        let baseline = self.estimator.predict(queue, declared).expected;
        let model = self.run_time_models.get(&queue);
        model
            .and_then(|model| model.predict(client_timeout))
            .unwrap_or(baseline)
    }

    /// Learns from a job of one step that was done, whose longest task took `longest`.
    pub fn observe_job(
        &mut self,
        queue: KindIndex,
        declared: Duration,
        client_timeout: Duration,
        longest_run: Duration,
    ) {
        let baseline = self.estimator.predict(queue, declared).expected;
        let model = self.run_time_models.entry(queue).or_default();
        model.observe(client_timeout, longest_run, baseline);
    }

    /// Learns from a run that was done.
    pub fn observe(&mut self, queue: KindIndex, declared: Duration, took: Duration) {
        self.estimator.observe(queue, declared, took);
    }
}
