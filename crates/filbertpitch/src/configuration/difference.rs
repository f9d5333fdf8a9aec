//! Compares two fleet configurations entry by entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use filbertpitch_types::configuration::{
    BoundsField, ConfigurationEntry, EntryField, QueueField, ServiceField,
};
use filbertpitch_types::fleet::{ClientBounds, FleetConfiguration, QueueSpec, ServicePolicy};

/// A changed value of a field, as text; times are in milliseconds and sizes in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    /// The field.
    pub field: EntryField,
    /// The former value.
    pub from: Box<str>,
    /// The new value.
    pub to: Box<str>,
}

/// What has changed in an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The entry is new.
    Added,
    /// The entry is no longer there.
    Removed,
    /// Fields of the entry have other values.
    Changed(Vec<FieldChange>),
}

/// A difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryDifference {
    /// The entry.
    pub entry: ConfigurationEntry,
    /// The change.
    pub change: EntryChange,
}

type FieldValues = Vec<(EntryField, Box<str>)>;

/// The values of all entries. Entries of the same name are numbered in their order.
type EntryTable = BTreeMap<(ConfigurationEntry, usize), FieldValues>;

/// The differences of `to` from `from`, except for the version.
pub fn compare_configurations(
    from: &FleetConfiguration,
    to: &FleetConfiguration,
) -> Vec<EntryDifference> {
    let (from, to) = (entry_table(from), entry_table(to));
    let keys = from.keys().chain(to.keys()).collect::<BTreeSet<_>>();
    let differences = keys.into_iter().filter_map(|key| {
        let change = match (from.get(key), to.get(key)) {
            (Some(from), Some(to)) => EntryChange::Changed(compare_fields(from, to)?),
            (None, _) => EntryChange::Added,
            (_, None) => EntryChange::Removed,
        };
        let entry = key.0.clone();
        Some(EntryDifference { entry, change })
    });
    differences.collect()
}

/// The changed fields; `None` if there are none.
fn compare_fields(from: &FieldValues, to: &FieldValues) -> Option<Vec<FieldChange>> {
    let pairs = from.iter().zip(to).filter(|(from, to)| from != to);
    let changes = pairs.map(|((field, from), (_, to))| FieldChange {
        field: *field,
        from: from.clone(),
        to: to.clone(),
    });
    let changes = changes.collect::<Vec<_>>();
    (!changes.is_empty()).then_some(changes)
}

fn entry_table(configuration: &FleetConfiguration) -> EntryTable {
    let FleetConfiguration {
        version: _,
        queues,
        services,
        bounds,
    } = configuration;
    let queues = queues.iter().map(|queue| {
        let entry = ConfigurationEntry::Queue(queue.name.clone());
        (entry, queue_values(queue))
    });
    let services = services.iter().map(|(name, policy)| {
        let entry = ConfigurationEntry::Service(name.clone());
        (entry, service_values(policy))
    });
    let bounds = bounds.iter();
    let bounds = bounds.map(|bounds| (ConfigurationEntry::Bounds, bounds_values(bounds)));
    let mut table = EntryTable::new();
    for (entry, values) in queues.chain(services).chain(bounds) {
        let mut number = 0;
        while table.contains_key(&(entry.clone(), number)) {
            number += 1;
        }
        table.insert((entry, number), values);
    }
    table
}

fn queue_values(queue: &QueueSpec) -> FieldValues {
    let QueueSpec {
        name: _,
        host,
        path_prefix,
        service,
        priority,
        attempt_limit,
        stretch,
        allowance,
        requires_advisory,
    } = queue;
    let values = [
        (QueueField::Host, host.clone()),
        (QueueField::PathPrefix, path_prefix.clone()),
        (QueueField::Service, text(service)),
        (QueueField::Priority, text(priority)),
        (QueueField::AttemptLimit, text(attempt_limit)),
        (QueueField::Stretch, text(stretch)),
        (QueueField::Allowance, millis(*allowance)),
        (QueueField::Advisory, text(requires_advisory)),
    ];
    let values = values.into_iter();
    values
        .map(|(field, value)| (EntryField::Queue(field), value))
        .collect()
}

fn service_values(policy: &ServicePolicy) -> FieldValues {
    let ServicePolicy { rejects_overload } = policy;
    let field = EntryField::Service(ServiceField::RejectsOverload);
    vec![(field, text(rejects_overload))]
}

fn bounds_values(bounds: &ClientBounds) -> FieldValues {
    let ClientBounds {
        head_bytes,
        body_bytes,
        head_timeout,
        idle_timeout,
    } = bounds;
    let values = [
        (BoundsField::HeadBytes, text(head_bytes)),
        (BoundsField::BodyBytes, text(body_bytes)),
        (BoundsField::HeadTimeout, millis(*head_timeout)),
        (BoundsField::IdleTimeout, millis(*idle_timeout)),
    ];
    let values = values.into_iter();
    values
        .map(|(field, value)| (EntryField::Bounds(field), value))
        .collect()
}

fn text<T>(value: &T) -> Box<str>
where
    T: ToString,
{
    value.to_string().into()
}

fn millis(duration: Duration) -> Box<str> {
    text(&duration.as_millis())
}
