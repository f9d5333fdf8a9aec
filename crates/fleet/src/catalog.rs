//! The active configuration of queues and services, and run-time estimates for each queue.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::entity::{KindIndex, NameInterner, ServiceIndex};
use filbertpitch_dispatch::estimate::{EstimateSettings, RunEstimator};
use filbertpitch_types::fleet::{FleetConfiguration, QueueSpec};
use filbertpitch_types::prelude::*;

use crate::run_time_model::{MAX_RUN_TIME, RunTimeModel};

/// The run time that is assumed before the first run of a queue if the client declares none, typical
/// of sub-second tasks.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(200);

/// The queue that a request addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueMatch<'a> {
    /// The queue.
    pub queue: KindIndex,
    /// The part of the path after the prefix of the queue.
    pub rest: &'a str,
}

/// The active configuration and the estimates learned for its queues.
#[derive(Clone, Debug)]
pub struct QueueCatalog {
    configuration: Option<Rc<FleetConfiguration>>,
    queues: NameInterner<KindIndex, QueueName>,
    services: NameInterner<ServiceIndex, ServiceName>,
    estimator: RunEstimator,
    /// For each queue, the relation between client time-outs and run times.
    run_time_models: HashMap<KindIndex, RunTimeModel>,
}

impl Default for QueueCatalog {
    fn default() -> Self {
        Self {
            configuration: None,
            queues: NameInterner::default(),
            services: NameInterner::default(),
            estimator: RunEstimator::new(EstimateSettings {
                // Queues have no configured run time. With a share of `DEFAULT_RUN_TIME`, tasks of
                // 760 ms were predicted at half of their run time until several had ended.
                declared_share: 1.0,
                ..EstimateSettings::default()
            }),
            run_time_models: HashMap::new(),
        }
    }
}

/// The queue that a request with this host and path addresses: the one with the longest matching path
/// prefix, and the last of these if several have the same one. The case of letters in host names is
/// ignored, as RFC 9110 section 4.2.3 requires.
pub fn addressed_queue<'a>(
    queues: &'a [QueueSpec],
    host: &str,
    path: &str,
) -> Option<&'a QueueSpec> {
    let matching = queues
        .iter()
        .filter(|queue| queue.host.eq_ignore_ascii_case(host))
        .filter(|queue| path.starts_with(&*queue.path_prefix));
    matching.max_by_key(|queue| queue.path_prefix.len())
}

impl QueueCatalog {
    /// Activates a configuration if it is newer than the active one. Returns whether it was
    /// activated.
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

    /// The active configuration.
    pub fn configuration(&self) -> Option<&Rc<FleetConfiguration>> {
        self.configuration.as_ref()
    }

    /// The version of the active configuration.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.configuration.as_ref().map(|it| it.version)
    }

    /// Finds the queue with the longest matching path prefix for a host and a path.
    pub fn match_request<'a>(&self, host: &str, path: &'a str) -> Option<QueueMatch<'a>> {
        let queue = addressed_queue(&self.configuration.as_ref()?.queues, host, path)?;
        Some(QueueMatch {
            queue: self.queues.get(&queue.name)?,
            rest: &path[queue.path_prefix.len()..],
        })
    }

    /// The configuration of a queue, if the active configuration has it.
    pub fn spec(&self, queue: KindIndex) -> Option<&QueueSpec> {
        let name = self.queues.name(queue);
        let queues = &self.configuration.as_ref()?.queues;
        queues.iter().find(|spec| spec.name == *name)
    }

    /// The name of a queue, also when it is no longer configured.
    pub fn name(&self, queue: KindIndex) -> &QueueName {
        self.queues.name(queue)
    }

    /// The index of the queue with this name.
    pub fn index(&self, name: &QueueName) -> Option<KindIndex> {
        self.queues.get(name)
    }

    /// Predicts the run time of a task on a target of mean speed, from the run time that the client
    /// declares and from the time-out of its request.
    pub fn predict_run_time(
        &self,
        queue: KindIndex,
        declared: Duration,
        client_timeout: Duration,
    ) -> Duration {
        let baseline = self.baseline(queue, declared);
        let model = self.run_time_models.get(&queue);
        model
            .and_then(|model| model.predict(client_timeout))
            .unwrap_or(baseline)
            .min(MAX_RUN_TIME)
    }

    fn baseline(&self, queue: KindIndex, declared: Duration) -> Duration {
        let declared = match declared.is_zero() {
            true => DEFAULT_RUN_TIME,
            false => declared,
        };
        self.estimator.predict(queue, declared).expected
    }

    /// Learns from a completed job of one step whose longest task took `longest_run`, normalised as
    /// for [`Self::observe`].
    pub fn observe_job(
        &mut self,
        queue: KindIndex,
        declared: Duration,
        client_timeout: Duration,
        longest_run: Duration,
    ) {
        let baseline = self.baseline(queue, declared);
        let model = self.run_time_models.entry(queue).or_default();
        model.observe(client_timeout, longest_run, baseline);
    }

    /// Learns from a completed run. `took` is normalised: it has been divided by the factor of the
    /// target's kind.
    pub fn observe(&mut self, queue: KindIndex, declared: Duration, took: Duration) {
        self.estimator.observe(queue, declared, took);
    }
}
