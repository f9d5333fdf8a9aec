//! Operators who publish tickets, some of them at the same time about the same objects, and the
//! checks on the configuration in force.
//!
//! The weight of a team identifies the ticket that set it, so the configuration in force shows
//! which ticket is in effect without asking the code under test for ticket numbers.

use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroU32;
use std::time::Duration;

use filbertpitch_config::object::{ObjectChange, ObjectName};
use filbertpitch_config::record::ticket_body;
use filbertpitch_config::spec::{Configuration, TeamSpec};
use filbertpitch_config::ticket::ChangeTicket;
use filbertpitch_types::platform::{LogRecord, TICKET_STREAM};
use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;
use rand::Rng;

use super::message::{Call, Party, PoolKind, Request, SendOptions};
use super::settings::FaultClass;
use super::sim::{SimEvent, Simulation};
use super::world_setup::{TEAMS, configuration, log_address, parse, target_name, target_spec};
use crate::log_model::{READ_LIMIT, ReadResult};

/// How soon an accepted ticket must be in effect on every VM that can read the log.
const EFFECT_LIMIT: Duration = Duration::from_secs(2);
/// How long after a disturbance of the path to the log a VM may still recover: a read waits 5 s,
/// its time-out takes 2 s more, and the pause after failed reads grows to several seconds.
const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// Faults in which some VM may not read the log.
const LOG_FAULTS: [FaultClass; 4] = [
    FaultClass::LogDown,
    FaultClass::LogSlow,
    FaultClass::PlatformCut,
    FaultClass::Loss,
];
/// How often an operator repeats an append without an answer.
const APPEND_TRIES: u32 = 4;
/// The time for an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Something about tickets.
#[derive(Clone, Copy, Debug)]
pub enum TicketEvent {
    /// Two operators publish tickets that may conflict.
    Race,
    /// An operator appends a ticket, perhaps again.
    Append(usize),
    /// All VMs that can read the log must agree.
    InForce,
}

struct PublishedTicket {
    ticket: ChangeTicket,
    tries: u32,
}

/// The operators.
#[derive(Default)]
pub struct OperatorDesk {
    tickets: Vec<PublishedTicket>,
    seen: BTreeMap<usize, BTreeMap<TeamName, u32>>,
}

/// The rules for tickets in their plainest form, apart from the code under test.
#[derive(Default)]
struct WeightFold {
    nonces: BTreeSet<TicketNonce>,
    numbers: BTreeMap<ObjectName, TicketNumber>,
    weights: BTreeMap<TeamName, u32>,
}

impl WeightFold {
    fn apply(&mut self, ticket: &ChangeTicket) {
        let names = || ticket.objects.iter().map(ObjectChange::name);
        let fresh = self.nonces.insert(ticket.nonce.clone());
        let higher = names().all(|name| self.numbers.get(&name) < Some(&ticket.number));
        if !fresh || !higher {
            return;
        }
        self.numbers
            .extend(names().map(|name| (name, ticket.number)));
        for object in &ticket.objects {
            if let ObjectChange::Team(name, Some(spec)) = object {
                self.weights.insert(name.clone(), spec.weight.0.get());
            }
        }
    }
}

impl Simulation {
    /// Publishes the configuration of the run before any VM starts.
    pub fn append_first_ticket(&mut self) {
        let configuration = configuration(self.targets.len());
        let Configuration {
            services,
            targets,
            teams,
            ..
        } = (*configuration).clone();
        let services = services.into_iter();
        let services = services.map(|(name, spec)| ObjectChange::Service(name, Some(spec)));
        let targets = targets.into_iter();
        let targets = targets.map(|(name, spec)| ObjectChange::Target(name, Some(spec)));
        let teams = teams.into_iter();
        let teams = teams.map(|(name, spec)| ObjectChange::Team(name, Some(spec)));
        let objects = services.chain(targets).chain(teams).collect();
        let ticket = self.write_ticket(TicketNumber(1), objects);
        let body = ticket_body(&self.operators.tickets[ticket].ticket);
        let clock = self.platform_clock();
        self.platform.log.append(clock, TICKET_STREAM, body);
    }

    fn write_ticket(&mut self, number: TicketNumber, objects: Vec<ObjectChange>) -> usize {
        let index = self.operators.tickets.len();
        let ticket = ChangeTicket {
            number,
            nonce: parse(&format!("nonce-{index}")),
            author: format!("operator-{}", index % 2).into(),
            objects,
        };
        self.operators
            .tickets
            .push(PublishedTicket { ticket, tries: 0 });
        index
    }

    /// Schedules races until `end`.
    pub fn begin_tickets(&mut self, end: TimePoint) {
        let mut at = self.now;
        while at < end {
            self.queue.push(at, SimEvent::Ticket(TicketEvent::Race));
            at = at + Duration::from_millis(self.rng.random_range(200..4_000));
        }
    }

    /// Lets operators act.
    pub fn act_operator(&mut self, event: TicketEvent) {
        match event {
            TicketEvent::Race => self.race(),
            TicketEvent::Append(ticket) => self.append_ticket(ticket),
            TicketEvent::InForce => self.check_in_force(),
        }
    }

    /// Two tickets about the same objects, mostly with the same number.
    fn race(&mut self) {
        let numbers = self.operators.tickets.iter();
        let highest = numbers.map(|known| known.ticket.number.0).max();
        let highest = highest.unwrap_or_default();
        let target = self.rng.random_range(0..self.targets.len());
        for _ in 0..2 {
            let number = highest + self.rng.random_range(0..3);
            let mut objects = Vec::new();
            for team in TEAMS {
                if self.rng.random_bool(0.7) {
                    objects.push(self.weigh_team(team));
                }
            }
            if self.rng.random_bool(0.3) || objects.is_empty() {
                let spec = self.rng.random_bool(0.5).then(|| target_spec(target));
                objects.push(ObjectChange::Target(target_name(target), spec));
            }
            let ticket = self.write_ticket(TicketNumber(number), objects);
            let delay = Duration::from_millis(self.rng.random_range(0..20));
            let event = SimEvent::Ticket(TicketEvent::Append(ticket));
            self.queue.push(self.now + delay, event);
        }
    }

    /// A team whose weight identifies the ticket that is written next.
    fn weigh_team(&self, team: &str) -> ObjectChange {
        let index = self.operators.tickets.len() as u32;
        let weight = NonZeroU32::new(index).expect("the first ticket was written before");
        let spec = TeamSpec {
            weight: TeamWeight(weight),
            ..TeamSpec::default()
        };
        ObjectChange::Team(parse(team), Some(spec))
    }

    fn append_ticket(&mut self, ticket: usize) {
        let published = &mut self.operators.tickets[ticket];
        published.tries += 1;
        let request = Request::Append {
            stream: TICKET_STREAM,
            body: ticket_body(&published.ticket),
        };
        let options = SendOptions {
            timeout: APPEND_TIMEOUT,
            fresh: false,
            pool: PoolKind::Plain,
            limit: usize::MAX,
        };
        let call = Call::Ticket(ticket);
        self.send(Party::Operators, log_address(), request, options, call);
    }

    /// Repeats an append without an answer; the nonce tells the log's readers that it is the same
    /// ticket.
    pub fn end_append(&mut self, ticket: usize, stored: bool) {
        if !stored && self.operators.tickets[ticket].tries < APPEND_TRIES {
            let pause = Duration::from_millis(self.rng.random_range(50..1_500));
            let event = SimEvent::Ticket(TicketEvent::Append(ticket));
            self.queue.push(self.now + pause, event);
        }
    }

    /// Schedules the check that belongs to a record of the ticket stream.
    pub fn expect_ticket(&mut self, stream: &str, at: TimePoint) {
        if stream == TICKET_STREAM {
            let event = SimEvent::Ticket(TicketEvent::InForce);
            self.queue.push(at + EFFECT_LIMIT, event);
        }
    }

    /// Checks that no team of a VM goes back to an earlier ticket.
    pub fn witness_configuration(&mut self, vm: usize) {
        let Some(process) = &self.vms[vm].process else {
            return;
        };
        let teams = &process.engine().catalog().configuration().teams;
        let seen = self.operators.seen.entry(vm).or_default();
        let mut reverted = Vec::new();
        for (name, known) in seen.iter_mut() {
            let weight = teams.get(name).map_or(0, |spec| spec.weight.0.get());
            if weight == *known {
                continue;
            }
            let number = |weight: u32| {
                let published = self.operators.tickets.get(weight as usize);
                published.map(|published| published.ticket.number)
            };
            // The default weight 1 before the first race stands for the first ticket.
            if *known > 1 && number(weight) <= number(*known) {
                reverted.push(format!(
                    "vm {vm} went back from ticket {known} to {weight} for team {name}"
                ));
            }
            *known = weight;
        }
        if seen.is_empty() {
            let weights = teams.iter();
            *seen = weights
                .map(|(name, spec)| (name.clone(), spec.weight.0.get()))
                .collect();
        }
        for text in reverted {
            self.violate(text);
        }
    }

    /// The weights after each ticket in the log, from those that must be in effect on: a ticket
    /// counts unless its nonce was used before or an object that it changes has an equal or
    /// higher number.
    fn expected_weights(&mut self) -> Option<Vec<BTreeMap<TeamName, u32>>> {
        let clock = self.platform_clock();
        let settled = ClockReading {
            time: clock.time - EFFECT_LIMIT,
            ..clock
        };
        let settled = self.read_tickets_at(settled)?.len();
        let mut fold = WeightFold::default();
        let mut expected = Vec::new();
        for (position, record) in self.read_tickets_at(clock)?.iter().enumerate() {
            let known = self.operators.tickets.iter();
            let mut known = known.map(|published| &published.ticket);
            fold.apply(known.find(|ticket| *ticket_body(ticket) == *record.body)?);
            if position + 1 >= settled {
                expected.push(fold.weights.clone());
            }
        }
        Some(expected)
    }

    fn read_tickets_at(&mut self, clock: ClockReading) -> Option<Vec<LogRecord>> {
        let log = &mut self.platform.log;
        match log.read(clock, TICKET_STREAM, LogOffset(0), READ_LIMIT) {
            ReadResult::Records(answer) => Some(answer.records),
            _ => None,
        }
    }

    fn check_in_force(&mut self) {
        if self.is_disturbed(&LOG_FAULTS, RECOVERY_TIME) {
            return;
        }
        let Some(expected) = self.expected_weights() else {
            return;
        };
        let limit = EFFECT_LIMIT + RECOVERY_TIME;
        let mut behind = Vec::new();
        for vm in self.live_vms() {
            let recent = self.now.since(self.vms[vm].born) < limit;
            let paused = self.was_paused(vm, limit);
            let process = self.vms[vm].process.as_ref();
            let Some(process) = process.filter(|_| !recent && !paused) else {
                continue;
            };
            let teams = &process.engine().catalog().configuration().teams;
            let weights = teams.iter();
            let actual = weights
                .map(|(name, spec)| (name.clone(), spec.weight.0.get()))
                .collect::<BTreeMap<_, _>>();
            if !expected.contains(&actual) {
                let oldest = expected.first();
                behind.push(format!("vm {vm} has weights {actual:?} and not {oldest:?}"));
            }
        }
        for text in behind {
            self.violate(text);
        }
    }

    fn was_paused(&self, vm: usize, limit: Duration) -> bool {
        let pauses = self.evidence.pauses.iter();
        let recent = |until: TimePoint| self.now.since(until) < limit;
        pauses
            .clone()
            .any(|&(paused, _, until)| paused == vm && recent(until))
    }
}
