//! The rules for tickets that do not depend on the current configuration.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use crate::error::{RuleError, RuleProblem};
use crate::object::{ObjectChange, ObjectName};
use crate::path::FieldPath;
use crate::spec::{LimitSpec, ServiceSpec, TargetSpec, TeamSpec};
use crate::ticket::ChangeTicket;

/// The maximum size of a ticket in bytes, as an operator's text and as a log record. It bounds the
/// cost of one append to the log and one read of the log.
pub const TICKET_LIMIT: usize = 256 << 10;
/// The maximum length of the author in bytes.
pub const AUTHOR_LIMIT: usize = 128;
/// The maximum typical run time. Tasks take less than a second, so a higher value means that the
/// unit is mistyped.
pub const TYPICAL_LIMIT: Duration = Duration::from_secs(3600);
/// The maximum deadline of a job.
pub const DEADLINE_LIMIT: Duration = Duration::from_secs(24 * 3600);
/// The maximum number of attempts of one repeatable task.
pub const ATTEMPTS_LIMIT: u8 = 10;
/// The maximum number of slots or connections of one target.
pub const SLOTS_LIMIT: u16 = 4096;
/// The maximum weight of a team; a higher weight would leave other teams with almost no share.
pub const WEIGHT_LIMIT: u32 = 10_000;
/// The maximum number of queued tasks per VM or team; each one takes memory on a VM.
pub const QUEUED_LIMIT: u32 = 10_000_000;

/// Lists every rule that the ticket breaks.
pub fn verify_ticket(ticket: &ChangeTicket) -> Vec<RuleError> {
    let mut verifier = TicketVerifier::default();
    verifier.check_header(ticket);
    verifier.check_names(&ticket.objects);
    for (position, change) in ticket.objects.iter().enumerate() {
        verifier.check_object(&FieldPath::object(position), change);
    }
    verifier.errors
}

/// Collects the rules that a ticket breaks.
#[derive(Default)]
struct TicketVerifier {
    errors: Vec<RuleError>,
}

impl TicketVerifier {
    fn report(&mut self, path: FieldPath, problem: RuleProblem) {
        self.errors.push(RuleError { path, problem });
    }

    fn check_header(&mut self, ticket: &ChangeTicket) {
        let root = FieldPath::default;
        self.check_range(&root(), "number", ticket.number.0, 1..=u64::MAX);
        let author = &ticket.author;
        if author.trim().is_empty() {
            self.report(root().field("author"), RuleProblem::Empty);
        }
        if author.chars().any(char::is_control) {
            self.report(root().field("author"), RuleProblem::ControlCharacter);
        }
        if author.len() > AUTHOR_LIMIT {
            let (found, most) = (author.len(), AUTHOR_LIMIT);
            self.report(
                root().field("author"),
                RuleProblem::TextLength { found, most },
            );
        }
        if ticket.objects.is_empty() {
            self.report(root().field("objects"), RuleProblem::Empty);
        }
        let found = crate::record::ticket_body(ticket).len();
        if found > TICKET_LIMIT {
            let most = TICKET_LIMIT;
            self.report(root(), RuleProblem::TicketSize { found, most });
        }
    }

    fn check_names(&mut self, objects: &[ObjectChange]) {
        let mut first_positions = BTreeMap::<ObjectName, usize>::new();
        for (position, change) in objects.iter().enumerate() {
            match first_positions.entry(change.name()) {
                Entry::Vacant(entry) => drop(entry.insert(position)),
                Entry::Occupied(entry) => {
                    let first = *entry.get();
                    let problem = RuleProblem::DuplicateObject { first };
                    self.report(FieldPath::object(position), problem);
                }
            }
        }
    }

    fn check_object(&mut self, path: &FieldPath, change: &ObjectChange) {
        match change {
            ObjectChange::Service(_, Some(spec)) => self.check_service(path, spec),
            ObjectChange::Target(_, Some(spec)) => self.check_target(path, spec),
            ObjectChange::Team(_, Some(spec)) => self.check_team(path, spec),
            ObjectChange::Limits(Some(spec)) => self.check_limits(path, spec),
            ObjectChange::Service(_, None)
            | ObjectChange::Target(_, None)
            | ObjectChange::Team(_, None)
            | ObjectChange::Limits(None) => {}
        }
    }

    fn check_service(&mut self, path: &FieldPath, spec: &ServiceSpec) {
        let kinds = path.clone().field("kinds");
        if spec.kinds.is_empty() {
            self.report(kinds.clone(), RuleProblem::Empty);
        }
        for (name, kind) in &spec.kinds {
            let kind_path = kinds.clone().field(name.as_str());
            self.check_span(&kind_path, "typical", kind.typical, TYPICAL_LIMIT);
        }
        let attempts = u64::from(spec.max_attempts);
        self.check_range(path, "max_attempts", attempts, 1..=ATTEMPTS_LIMIT.into());
        self.check_range(path, "retry_percent", spec.retry_percent.into(), 0..=100);
    }

    fn check_target(&mut self, path: &FieldPath, spec: &TargetSpec) {
        let ip = spec.address.ip();
        if spec.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            self.report(path.clone().field("address"), RuleProblem::Address);
        }
        let range = 1..=u64::from(SLOTS_LIMIT);
        self.check_range(path, "slots", spec.slots.into(), range.clone());
        self.check_range(path, "connections", spec.connections.into(), range);
        let takes = path.clone().field("takes");
        if spec.takes.is_empty() {
            self.report(takes.clone(), RuleProblem::Empty);
        }
        for (service, kinds) in &spec.takes {
            if kinds.is_empty() {
                self.report(takes.clone().field(service.as_str()), RuleProblem::Empty);
            }
        }
    }

    fn check_team(&mut self, path: &FieldPath, spec: &TeamSpec) {
        let weight = u64::from(spec.weight.0.get());
        self.check_range(path, "weight", weight, 1..=WEIGHT_LIMIT.into());
        let quotas = [
            ("max_running", spec.max_running),
            ("max_queued", spec.max_queued),
        ];
        for (name, quota) in quotas {
            if let Some(quota) = quota {
                self.check_range(path, name, quota.into(), 1..=QUEUED_LIMIT.into());
            }
        }
    }

    fn check_limits(&mut self, path: &FieldPath, spec: &LimitSpec) {
        self.check_range(
            path,
            "job_tasks",
            spec.job_tasks.into(),
            1..=u16::MAX.into(),
        );
        self.check_span(path, "job_deadline", spec.job_deadline, DEADLINE_LIMIT);
        let queued = u64::from(spec.queued_tasks);
        self.check_range(path, "queued_tasks", queued, 1..=QUEUED_LIMIT.into());
    }

    fn check_range(
        &mut self,
        path: &FieldPath,
        name: &str,
        found: u64,
        range: std::ops::RangeInclusive<u64>,
    ) {
        if !range.contains(&found) {
            let (least, most) = range.into_inner();
            let problem = RuleProblem::Range { found, least, most };
            self.report(path.clone().field(name), problem);
        }
    }

    fn check_span(&mut self, path: &FieldPath, name: &str, found: Duration, most: Duration) {
        if found.is_zero() || found > most {
            let problem = RuleProblem::Span { found, most };
            self.report(path.clone().field(name), problem);
        }
    }
}
