//! The pure function that folds the records of the ticket stream into the configuration.
//!
//! Every VM applies the same records in log order, so all VMs reach the same verdicts and hold the
//! same state without any coordination. The fold does not depend on time, randomness or the VM.

use std::collections::BTreeMap;
use std::rc::Rc;

use filbertpitch_types::platform::LogRecord;
use filbertpitch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::history::{RecentVerdicts, SeenNonces};
use crate::object::{ObjectChange, ObjectName};
use crate::record::RecordBody;
use crate::resolve::{PROBLEM_LIMIT, object_count, verify_changes, verify_configuration};
use crate::snapshot::StateDigest;
use crate::spec::Configuration;
use crate::ticket::ChangeTicket;
use crate::verdict::{RecordVerdict, RejectReason, VerdictEntry};
use crate::verify::verify_ticket;

/// The maximum number of removed objects that keep their own ticket number. With 660 replaced VMs
/// a day, a number is kept for about six days, longer than the publication of any ticket takes.
pub const TOMBSTONE_LIMIT: usize = 4096;
/// The number of tombstones left after pruning, lower than the limit so that not every further
/// removal prunes again.
const TOMBSTONES_KEPT: usize = 3072;

/// The result of applying every record before `next`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigState {
    next: LogOffset,
    configuration: Rc<Configuration>,
    /// The last accepted ticket number of each object in force and of recently removed objects.
    numbers: BTreeMap<ObjectName, TicketNumber>,
    /// The highest number that was dropped from `numbers`. It applies to every object without an
    /// entry, so that the number of an object never decreases.
    floor: TicketNumber,
    nonces: SeenNonces,
    verdicts: RecentVerdicts,
}

impl ConfigState {
    /// Applies one record. A record with an offset other than the next one is not applied.
    pub fn apply(&mut self, record: &LogRecord) -> RecordVerdict {
        if record.offset != self.next {
            let expected = self.next;
            return RecordVerdict::OutOfOrder { expected };
        }
        self.apply_body(RecordBody::parse(&record.body))
    }

    /// Applies the content of the next record.
    pub fn apply_body(&mut self, body: RecordBody) -> RecordVerdict {
        let offset = self.next;
        let Some(next) = offset.0.checked_add(1) else {
            return RecordVerdict::OutOfOrder { expected: offset };
        };
        self.next = LogOffset(next);
        match body {
            RecordBody::Ticket(ticket) => self.apply_ticket(offset, *ticket),
            RecordBody::Snapshot(snapshot) => RecordVerdict::Snapshot {
                next: snapshot.state.next_offset(),
                digest: snapshot.digest,
            },
            RecordBody::Malformed(explanation) => RecordVerdict::Malformed { explanation },
        }
    }

    fn apply_ticket(&mut self, offset: LogOffset, ticket: ChangeTicket) -> RecordVerdict {
        let rejected = self.check_ticket(&ticket).err();
        if self.nonces.first_use(&ticket.nonce).is_none() {
            self.nonces.record(&ticket.nonce, offset);
        }
        self.verdicts.record(VerdictEntry {
            offset,
            ticket: ticket.number,
            nonce: ticket.nonce.clone(),
            rejected: rejected.clone(),
        });
        if let Some(reason) = rejected {
            return RecordVerdict::Rejected {
                ticket: ticket.number,
                nonce: ticket.nonce,
                reason,
            };
        }
        let changed = ticket.objects.iter().map(ObjectChange::name).collect();
        self.commit(ticket.number, ticket.objects);
        RecordVerdict::Accepted {
            ticket: ticket.number,
            nonce: ticket.nonce,
            changed,
        }
    }

    fn check_ticket(&self, ticket: &ChangeTicket) -> Result<(), RejectReason> {
        if let Some(offset) = self.nonces.first_use(&ticket.nonce) {
            return Err(RejectReason::NonceSeen { offset });
        }
        let mut errors = verify_ticket(ticket);
        if !errors.is_empty() {
            errors.truncate(PROBLEM_LIMIT);
            return Err(RejectReason::RulesBroken { errors });
        }
        for change in &ticket.objects {
            self.check_number(ticket.number, change.name())?;
        }
        let mut problems = verify_changes(&self.configuration, &ticket.objects);
        if !problems.is_empty() {
            problems.truncate(PROBLEM_LIMIT);
            return Err(RejectReason::Invalid { problems });
        }
        Ok(())
    }

    fn check_number(&self, number: TicketNumber, object: ObjectName) -> Result<(), RejectReason> {
        match self.numbers.get(&object) {
            Some(&current) if number <= current => {
                Err(RejectReason::StaleNumber { object, current })
            }
            None if number <= self.floor => {
                let floor = self.floor;
                Err(RejectReason::BelowFloor { object, floor })
            }
            _ => Ok(()),
        }
    }

    fn commit(&mut self, number: TicketNumber, changes: Vec<ObjectChange>) {
        let configuration = Rc::make_mut(&mut self.configuration);
        for change in changes {
            self.numbers.insert(change.name(), number);
            commit_change(configuration, change);
        }
        self.prune_tombstones();
    }

    fn is_in_force(&self, object: &ObjectName) -> bool {
        match object {
            ObjectName::Service(name) => self.configuration.services.contains_key(name),
            ObjectName::Target(name) => self.configuration.targets.contains_key(name),
            ObjectName::Team(name) => self.configuration.teams.contains_key(name),
            ObjectName::Limits => true,
        }
    }

    /// Drops the tombstones with the lowest numbers when there are too many.
    fn prune_tombstones(&mut self) {
        let estimate = self
            .numbers
            .len()
            .saturating_sub(object_count(&self.configuration));
        if estimate <= TOMBSTONE_LIMIT {
            return;
        }
        let mut tombstones = self
            .numbers
            .iter()
            .filter(|(object, _)| !self.is_in_force(object))
            .map(|(object, &number)| (number, object.clone()))
            .collect::<Vec<_>>();
        tombstones.sort_unstable();
        let dropped = tombstones.len().saturating_sub(TOMBSTONES_KEPT);
        for (number, object) in &tombstones[..dropped] {
            self.numbers.remove(object);
            self.floor = self.floor.max(*number);
        }
    }

    /// The offset of the next record.
    pub fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Rc<Configuration> {
        &self.configuration
    }

    /// The number that a ticket must exceed to change the object.
    pub fn object_number(&self, object: &ObjectName) -> TicketNumber {
        self.numbers.get(object).copied().unwrap_or(self.floor)
    }

    /// The last accepted ticket number of each object in force and of recently removed objects.
    pub fn object_numbers(&self) -> &BTreeMap<ObjectName, TicketNumber> {
        &self.numbers
    }

    /// The most recent verdicts in log order.
    pub fn recent_verdicts(&self) -> impl DoubleEndedIterator<Item = &VerdictEntry> {
        self.verdicts.iter()
    }

    /// A digest of the whole state, equal on all VMs that have applied the same records.
    pub fn digest(&self) -> StateDigest {
        StateDigest::of(self)
    }

    /// Whether a state that was received from elsewhere satisfies the invariants of the fold.
    pub(crate) fn is_valid(&self) -> bool {
        let configuration = &self.configuration;
        let services = configuration.services.keys().cloned();
        let targets = configuration.targets.keys().cloned();
        let teams = configuration.teams.keys().cloned();
        let numbered = services
            .map(ObjectName::Service)
            .chain(targets.map(ObjectName::Target))
            .chain(teams.map(ObjectName::Team))
            .all(|object| self.numbers.contains_key(&object));
        numbered
            && self.nonces.is_valid()
            && self.verdicts.is_valid()
            && verify_configuration(configuration).is_empty()
    }
}

fn commit_change(configuration: &mut Configuration, change: ObjectChange) {
    match change {
        ObjectChange::Service(name, spec) => set_entry(&mut configuration.services, name, spec),
        ObjectChange::Target(name, spec) => set_entry(&mut configuration.targets, name, spec),
        ObjectChange::Team(name, spec) => set_entry(&mut configuration.teams, name, spec),
        ObjectChange::Limits(spec) => configuration.limits = spec.unwrap_or_default(),
    }
}

fn set_entry<K, S>(entries: &mut BTreeMap<K, S>, name: K, spec: Option<S>)
where
    K: Ord,
{
    match spec {
        Some(spec) => drop(entries.insert(name, spec)),
        None => drop(entries.remove(&name)),
    }
}
