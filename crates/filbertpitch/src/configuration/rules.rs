//! The rules that a decoded configuration should follow.

use std::collections::{BTreeSet, HashMap};
use std::ptr;
use std::time::Duration;

use filbertpitch_fleet::catalog::addressed_queue;
use filbertpitch_platform::callers::{SMALLEST_JOB, host_name};
use filbertpitch_platform::configuration::DecodedConfiguration;
use filbertpitch_platform::listing::TargetList;
use filbertpitch_types::configuration::{BoundsField, ConfigurationField, QueueField};
use filbertpitch_types::fleet::{
    ClientBounds, FleetConfiguration, PRIORITY_CLASSES, QueueSpec, TargetState,
};
use filbertpitch_types::prelude::*;

use super::{ConfigurationFinding, FindingKind};

/// The number of hexadecimal digits of a job id.
const JOB_ID_DIGITS: usize = 16;

type Findings = Vec<ConfigurationFinding>;

/// Checks a decoded configuration on its own.
pub fn check_configuration(decoded: &DecodedConfiguration) -> Findings {
    let configuration = &decoded.configuration;
    let replaced = decoded.replaced.iter().cloned();
    let mut findings = replaced
        .map(|found| ConfigurationFinding::decoded(FindingKind::ReplacedValue, found))
        .collect::<Findings>();
    check_names(&configuration.queues, &mut findings);
    for index in 0..configuration.queues.len() {
        check_matches(&configuration.queues, index, &mut findings);
        check_queue(configuration, index, &mut findings);
    }
    check_services(configuration, &mut findings);
    if let Some(bounds) = &configuration.bounds {
        check_bounds(bounds, &configuration.queues, &mut findings);
    }
    findings
}

/// Checks that each service has a target that accepts runs.
pub fn check_targets(configuration: &FleetConfiguration, targets: &TargetList) -> Findings {
    let unreadable = targets.unreadable.iter().map(|name| {
        let message = format!("target `{name}` has an invalid entry; VMs do not use it");
        (FindingKind::TargetUnreadable, message)
    });
    let used = configuration.queues.iter().map(|queue| &queue.service);
    let services = used.chain(configuration.services.keys());
    let services = services.collect::<BTreeSet<_>>();
    let idle = services.into_iter().filter(|service| {
        let mut entries = targets.entries.iter();
        !entries.any(|entry| entry.service == **service && entry.state == TargetState::Ready)
    });
    let idle = idle.map(|service| {
        let message = format!("service `{service}` has no target that accepts runs");
        (FindingKind::ServiceWithoutTarget, message)
    });
    unreadable
        .chain(idle)
        .map(|(kind, message)| {
            ConfigurationFinding::new(kind, ConfigurationField::Services, message)
        })
        .collect()
}

/// Checks the version against the one that is in force. `expected` is the version that the operator
/// takes to be in force; `version` is absent if the configuration cannot be decoded.
pub fn check_base(
    version: Option<ConfigVersion>,
    in_force: ConfigVersion,
    expected: Option<ConfigVersion>,
) -> Findings {
    let other = expected.filter(|expected| *expected != in_force);
    let other = other.map(|expected| {
        let message = format!("version {} is in force, not {}", in_force.0, expected.0);
        (FindingKind::OtherVersionInForce, message)
    });
    let old = version
        .filter(|version| *version <= in_force)
        .map(|version| {
            let message = format!(
                "running VMs ignore version {}, because version {} is in force",
                version.0, in_force.0
            );
            (FindingKind::VersionNotNewer, message)
        });
    other
        .into_iter()
        .chain(old)
        .map(|(kind, message)| {
            ConfigurationFinding::new(kind, ConfigurationField::Version, message)
        })
        .collect()
}

fn check_names(queues: &[QueueSpec], findings: &mut Findings) {
    let mut first = HashMap::new();
    for (index, queue) in queues.iter().enumerate() {
        if *first.entry(&queue.name).or_insert(index) != index {
            findings.push(ConfigurationFinding::new(
                FindingKind::RepeatedName,
                ConfigurationField::Queue(index, QueueField::Name),
                format!(
                    "queue `{}` is listed before; VMs use the settings of the first entry",
                    queue.name
                ),
            ));
        }
    }
}

/// Why no job can have the host of this queue.
fn host_fault(host: &str) -> Option<&'static str> {
    if host.is_empty() {
        return Some("the host is empty");
    }
    if host_name(host) != host {
        return Some("the host has a port, which is not compared");
    }
    let valid = host.bytes().all(|byte| byte.is_ascii_graphic());
    (!valid).then_some("the host has characters that no host name has")
}

/// Why no job can have a path with this prefix.
fn prefix_fault(prefix: &str) -> Option<&'static str> {
    if !prefix.starts_with('/') {
        return Some("the path prefix does not begin with `/`");
    }
    let excluded = |character: char| {
        matches!(character, '?' | '#') || character.is_whitespace() || character.is_control()
    };
    let message = "the path prefix has characters that no path has";
    prefix.contains(excluded).then_some(message)
}

/// Checks that jobs reach the queue at `index`, by the rule that VMs use.
fn check_matches(queues: &[QueueSpec], index: usize, findings: &mut Findings) {
    let queue = &queues[index];
    let mut report = |kind, field, message| {
        let field = ConfigurationField::Queue(index, field);
        findings.push(ConfigurationFinding::new(kind, field, message));
    };
    let host = host_fault(&queue.host).map(|fault| (QueueField::Host, fault));
    let prefix = prefix_fault(&queue.path_prefix).map(|fault| (QueueField::PathPrefix, fault));
    if let Some((field, fault)) = host.or(prefix) {
        let message = format!("no job reaches queue `{}`: {fault}", queue.name);
        return report(FindingKind::NeverMatched, field, message);
    }
    let other_queue = |path: &str| {
        let found = addressed_queue(queues, &queue.host, path);
        found.filter(|found| !ptr::eq(*found, queue))
    };
    if let Some(other) = other_queue(&queue.path_prefix) {
        let message = format!(
            "no job reaches queue `{}`: a later entry, queue `{}`, has the same host and path prefix",
            queue.name, other.name
        );
        return report(FindingKind::Shadowed, QueueField::PathPrefix, message);
    }
    let same_host = queues
        .iter()
        .filter(|other| other.host.eq_ignore_ascii_case(&queue.host));
    let digits = same_host.filter_map(|other| other.path_prefix.strip_prefix(&*queue.path_prefix));
    let digits = digits.filter(|digits| {
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        (1..=JOB_ID_DIGITS).contains(&digits.len()) && digits.bytes().all(is_digit)
    });
    for digits in digits.collect::<BTreeSet<_>>() {
        let path = format!("{}{digits:0<JOB_ID_DIGITS$}", queue.path_prefix);
        if let Some(other) = other_queue(&path) {
            let message = format!(
                "jobs of queue `{}` whose id begins with `{digits}` go to queue `{}`, which rejects them",
                queue.name, other.name
            );
            report(FindingKind::PartlyShadowed, QueueField::PathPrefix, message);
        }
    }
}

fn check_queue(configuration: &FleetConfiguration, index: usize, findings: &mut Findings) {
    let queue = &configuration.queues[index];
    let name = &queue.name;
    let mut report = |kind, field, message| {
        let field = ConfigurationField::Queue(index, field);
        findings.push(ConfigurationFinding::new(kind, field, message));
    };
    if !configuration.services.contains_key(&queue.service) {
        let message = format!("service `{}` is not listed", queue.service);
        report(FindingKind::ServiceNotListed, QueueField::Service, message);
    }
    if usize::from(queue.priority) >= PRIORITY_CLASSES {
        let last = PRIORITY_CLASSES - 1;
        let message = format!(
            "priority {} of queue `{name}` has no weight of its own; under overload it counts as {last}",
            queue.priority
        );
        report(
            FindingKind::PriorityWithoutWeight,
            QueueField::Priority,
            message,
        );
    }
    if queue.stretch < 1.0 {
        let message = format!(
            "the objective of queue `{name}` is {} times the run time; VMs use 1",
            queue.stretch
        );
        report(FindingKind::StretchBelowOne, QueueField::Stretch, message);
    }
    if queue.stretch <= 1.0 && queue.allowance.is_zero() {
        let message = format!(
            "the objective of queue `{name}` is not longer than the run time, so that every job is late"
        );
        report(
            FindingKind::ObjectiveWithoutSlack,
            QueueField::Allowance,
            message,
        );
    }
    if queue.requires_advisory {
        let message = format!("all jobs of queue `{name}` are refused: advice is not supported");
        report(
            FindingKind::AdviceUnsupported,
            QueueField::Advisory,
            message,
        );
    }
}

fn check_services(configuration: &FleetConfiguration, findings: &mut Findings) {
    let used = configuration.queues.iter().map(|queue| &queue.service);
    let used = used.collect::<BTreeSet<_>>();
    let unused = configuration.services.keys();
    findings.extend(
        unused
            .filter(|service| !used.contains(service))
            .map(|service| {
                ConfigurationFinding::new(
                    FindingKind::ServiceWithoutQueue,
                    ConfigurationField::Services,
                    format!("service `{service}` has no queue"),
                )
            }),
    );
}

/// The size of the shortest request head of a job of this queue, in bytes.
fn shortest_head(queue: &QueueSpec) -> usize {
    let fixed = format!(
        "POST {:0JOB_ID_DIGITS$} HTTP/1.1\r\nhost:\r\ncontent-length:{}\r\n\r\n",
        0,
        SMALLEST_JOB.len()
    );
    fixed.len() + queue.host.len() + queue.path_prefix.len()
}

fn check_bounds(bounds: &ClientBounds, queues: &[QueueSpec], findings: &mut Findings) {
    let mut report = |kind, field, message| {
        let field = ConfigurationField::Bounds(field);
        findings.push(ConfigurationFinding::new(kind, field, message));
    };
    let timeouts = [
        (BoundsField::HeadTimeout, bounds.head_timeout),
        (BoundsField::IdleTimeout, bounds.idle_timeout),
    ];
    for (field, _) in timeouts.iter().filter(|timeout| timeout.1.is_zero()) {
        let message = "the time-out is 0 and ends at once".to_owned();
        report(FindingKind::TimeoutZero, *field, message);
    }
    if bounds.idle_timeout < bounds.head_timeout && bounds.idle_timeout > Duration::ZERO {
        let message = format!(
            "idle connections are closed after {} ms, before the {} ms that a request head may take",
            bounds.idle_timeout.as_millis(),
            bounds.head_timeout.as_millis()
        );
        report(
            FindingKind::IdleBelowHeadTimeout,
            BoundsField::IdleTimeout,
            message,
        );
    }
    let longest = queues.iter().max_by_key(|queue| shortest_head(queue));
    if let Some(queue) = longest.filter(|queue| bounds.head_bytes < shortest_head(queue)) {
        let message = format!(
            "no request head of queue `{}` fits into {} bytes; the shortest one has {}",
            queue.name,
            bounds.head_bytes,
            shortest_head(queue)
        );
        report(
            FindingKind::HeadLimitTooSmall,
            BoundsField::HeadBytes,
            message,
        );
    }
    if bounds.body_bytes < SMALLEST_JOB.len() {
        let message = format!(
            "no job fits into {} bytes; the smallest one has {}",
            bounds.body_bytes,
            SMALLEST_JOB.len()
        );
        report(
            FindingKind::BodyLimitTooSmall,
            BoundsField::BodyBytes,
            message,
        );
    }
}
