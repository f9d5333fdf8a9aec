//! The parts of a fleet configuration, as messages about it refer to them.

use crate::prelude::*;

/// A field of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueField {
    /// The name.
    Name,
    /// The host of the requests.
    Host,
    /// The path prefix of the requests.
    PathPrefix,
    /// The service whose targets run the tasks.
    Service,
    /// The priority class.
    Priority,
    /// The limit of failed runs of a task.
    AttemptLimit,
    /// The latency objective as a multiple of the run time.
    Stretch,
    /// The fixed part of the latency objective.
    Allowance,
    /// Whether an advisory service chooses the targets.
    Advisory,
}

/// A field of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceField {
    /// The name.
    Name,
    /// Whether the targets refuse runs that exceed their free capacity.
    RejectsOverload,
}

/// A field of the limits on client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoundsField {
    /// The largest request head.
    HeadBytes,
    /// The largest request body.
    BodyBytes,
    /// How long receiving a request head may take.
    HeadTimeout,
    /// How long a connection may stay open without a request.
    IdleTimeout,
}

/// A field of a fleet configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationField {
    /// The version.
    Version,
    /// A field of the queue at this position, counted from 0.
    Queue(usize, QueueField),
    /// The list of services.
    Services,
    /// A field of the limits on client requests.
    Bounds(BoundsField),
}

/// An entry of a fleet configuration, identified by its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConfigurationEntry {
    /// A queue.
    Queue(QueueName),
    /// A service.
    Service(ServiceName),
    /// The limits on client requests.
    Bounds,
}

/// A field within an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryField {
    /// A field of a queue.
    Queue(QueueField),
    /// A field of a service.
    Service(ServiceField),
    /// A field of the limits on client requests.
    Bounds(BoundsField),
}
