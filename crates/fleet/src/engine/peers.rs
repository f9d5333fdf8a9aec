//! Discovers the other entry VMs, exchanges envelopes with them, and handles the loss of a peer.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_dispatch::entity::VmIndex;
use filbertpitch_types::fleet::{
    CapacityReport, DemandReport, EnvelopeAck, FleetMessage, HoldingReport, PeerEnvelope,
    PeerIdentity, PeerObservation, PeerState,
};
use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;

use super::forwarding::MAX_ORIGIN_SILENCE;
use super::holding::millis;
use super::{FleetAction, FleetEngine, FleetNotice, UnknownSeeds};
use crate::heartbeat::{PeerCounts, PeerLocality};
use crate::held::HeldTarget;
use crate::lease_limits::LeaseLimits;
use crate::link::{LossReason, LostContact, PeerLink};

/// The time for stopping the runs of a lost coordinator and for renewing the leases that these runs
/// have limited: the interval of the checks, and a few calls to a target.
const STOP_TIME: Duration = Duration::from_millis(200);

impl FleetEngine {
    /// Handles an envelope of a peer and returns the acknowledgement. The acknowledgement says that
    /// the envelope was not accepted if the envelope is addressed to another process, was sent by
    /// this process itself, or was sent by a process that another one has replaced on the peer.
    pub fn receive_envelope(&mut self, clock: ClockReading, envelope: PeerEnvelope) -> EnvelopeAck {
        self.advance(clock);
        let ack = self.accept_envelope(envelope);
        self.process_pending();
        ack
    }

    fn accept_envelope(&mut self, mut envelope: PeerEnvelope) -> EnvelopeAck {
        let own = self.identity.incarnation;
        let refusal = EnvelopeAck {
            incarnation: own,
            accepted: false,
            next_expected: 0,
            holdings_version: 0,
            sent_at: self.now(),
            clients_until: TimePoint(0),
        };
        let addressed_here = envelope.to.is_none_or(|to| to == own);
        if !addressed_here || envelope.from.incarnation == own {
            return refusal;
        }
        let peer = self.intern_peer(&envelope.from);
        let now = self.now();
        let examined_at = match self.lacks_examination() {
            true => self.examined_at,
            false => now,
        };
        let registry = &mut self.registry;
        let link = self.links[peer]
            .as_mut()
            .expect("an interned peer has a link");
        if link.is_former(envelope.from.incarnation) {
            return refusal;
        }
        let was_candidate = link.is_holder_candidate();
        let replaced = link.identity().incarnation != envelope.from.incarnation;
        let zones = std::mem::take(&mut envelope.zones);
        let (sent_at, routing) = (envelope.sent_at, envelope.routing);
        let update = link.receive(now, envelope, |name| registry.intern(name));
        if link.heartbeat().locality() == PeerLocality::SameZone {
            let processor = link.identity().processor;
            self.router
                .record_report(now, peer, processor, sent_at, routing);
        }
        let candidacy_changed = was_candidate != link.is_holder_candidate();
        let ack = link.ack(now, own, examined_at);
        let quota = self.draw_offer_quota(peer);
        if let Some(link) = &mut self.links[peer] {
            link.set_offer_quota(quota);
        }
        self.placement_due = true;
        if update.appeared {
            // Targets change their holders, and have none in between.
            self.membership_changed_at = now;
            self.notice(FleetNotice::PeerLive(self.vms.name(peer).clone()));
            self.share_crashes(peer);
        }
        // The messages may be about targets of a zone that the envelope closes.
        self.merge_zones(peer, &zones);
        if let Some(contact) = update.work_dropped {
            self.drop_peer_work(peer, contact, "work_dropped");
        }
        if replaced {
            self.forget_replaced_coordinator(peer);
        }
        if candidacy_changed {
            self.invalidate_assignment();
        }
        if update.changed {
            self.reconcile_due = true;
            self.record_holders(peer);
        }
        for message in update.messages {
            self.inbox.push_back((peer, message));
        }
        ack
    }

    /// Returns the index of a peer, and creates the link if the VM was not known before.
    fn intern_peer(&mut self, identity: &PeerIdentity) -> VmIndex {
        let peer = self.vms.intern(&identity.vm);
        if usize::from(peer) == self.links.len() {
            let settings = self.settings.links.clone();
            let locality = match identity.zone == self.identity.zone {
                true => PeerLocality::SameZone,
                false => PeerLocality::OtherZone,
            };
            let link = PeerLink::new(settings, identity.clone(), locality, self.clock.time);
            self.links.push(link);
            self.invalidate_assignment();
        }
        peer
    }

    pub(super) fn update_peers(&mut self, peers: Vec<PeerObservation>) {
        let now = self.now();
        self.reconcile_due |= !std::mem::replace(&mut self.peers_listed, true);
        // The wall clocks of this VM and of some others may be wrong, so records are compared with
        // the median write time instead of the local time.
        let mut write_times = peers
            .iter()
            .map(|peer| peer.record.written_at)
            .collect::<Vec<_>>();
        write_times.sort_unstable();
        let median = write_times
            .get(write_times.len() / 2)
            .copied()
            .unwrap_or_default();
        for PeerObservation { record, revision } in peers {
            let identity = record.identity;
            let old = median.since(record.written_at) >= self.settings.record_max_age;
            let known = self.vms.get(&identity.vm).is_some();
            // The record of a removed VM stays in the store, so an old record of a VM that was
            // never seen is ignored.
            if identity.vm == self.identity.vm || (old && !known) {
                continue;
            }
            let peer = self.intern_peer(&identity);
            let link = self.links[peer]
                .as_mut()
                .expect("an interned peer has a link");
            if let Some(contact) = link.observe_record(&identity, revision, now) {
                self.drop_peer_work(peer, contact, "replaced");
                self.forget_replaced_coordinator(peer);
                self.invalidate_assignment();
            }
        }
    }

    pub(super) fn add_seeds(&mut self, seeds: Vec<SocketAddr>) {
        for seed in seeds {
            if seed != self.identity.address {
                // Time zero means that the address was never contacted.
                self.seeds.entry(seed).or_insert(TimePoint(0));
            }
        }
    }

    pub(super) fn receive_ack(&mut self, peer: VmIndex, number: EnvelopeNumber, ack: &EnvelopeAck) {
        let now = self.now();
        let silent = self.silence_of_origin(peer) >= MAX_ORIGIN_SILENCE;
        let link = self.links[peer].as_mut();
        let Some(link) = link.filter(|link| link.is_in_flight(number)) else {
            return;
        };
        let contact = link.handle_ack(now, ack);
        self.placement_due |= silent && self.router.has_received_from(peer);
        if let Some(contact) = contact {
            self.handle_peer_loss(peer, true, contact);
            self.forget_replaced_coordinator(peer);
        }
    }

    pub(super) fn receive_envelope_failure(
        &mut self,
        peer: VmIndex,
        number: EnvelopeNumber,
        refused: bool,
    ) {
        let now = self.now();
        let link = self.links[peer].as_mut();
        let Some(link) = link.filter(|link| link.is_in_flight(number)) else {
            return;
        };
        link.handle_send_failure();
        let reason = refused.then_some(LossReason::ConnectionRefused);
        if refused && let Some(contact) = link.check_liveness(now, reason) {
            self.handle_peer_loss(peer, true, contact);
        }
    }

    /// Marks peers lost that have been silent, or have not heard this VM, for too long. Then plans
    /// the heartbeat intervals, which depend on the number of live peers.
    pub(super) fn detect_lost_peers(&mut self) {
        let now = self.now();
        let stop_by = now + STOP_TIME;
        let expiring = self.coordinators_of_expiring_runs(stop_by);
        self.stop_runs_of_silent_origins(stop_by);
        let mut lost = Vec::new();
        for (peer, link) in self.links.iter_mut() {
            let expires = expiring.contains(&peer);
            let reason = expires.then_some(LossReason::LeasesExpire);
            if let Some(contact) = link.check_liveness(now, reason) {
                lost.push((peer, contact));
            }
        }
        for (peer, contact) in lost {
            self.handle_peer_loss(peer, false, contact);
        }
        self.drop_jobs_of_silent_origins();
        self.plan_heartbeats();
    }

    /// The coordinators that have not been heard for so long that the leases of their runs end soon,
    /// and with them the leases of other runs on the same targets.
    fn coordinators_of_expiring_runs(&mut self, stop_by: TimePoint) -> BTreeSet<VmIndex> {
        let limits = LeaseLimits::new(&self.links, &self.settings.held, self.examined_at);
        let ledgers = self.held.values_mut().map(HeldTarget::ledger_mut);
        let expiring = ledgers.flat_map(|ledger| {
            ledger.advance_lease_limits(&limits);
            ledger.runs().filter(|(_, run)| run.lease_limit < stop_by)
        });
        expiring.filter_map(|(_, run)| run.coordinator).collect()
    }

    /// Drops the work of and for a peer that was marked lost. With `refused`, nothing listens at its
    /// address.
    fn handle_peer_loss(&mut self, peer: VmIndex, refused: bool, contact: LostContact) {
        let now = self.now();
        let Some(link) = &self.links[peer] else {
            return;
        };
        self.membership_changed_at = now;
        let silence = now.since(link.last_heard());
        let name = self.vms.name(peer).clone();
        self.notice(FleetNotice::PeerLost {
            peer: name,
            silence,
            refused,
        });
        self.drop_peer_work(peer, contact, "holder_lost");
        self.invalidate_assignment();
    }

    /// Drops the messages and offers of a peer, stops the runs that it has requested as a
    /// coordinator, and marks the tasks that were placed with it as orphaned.
    fn drop_peer_work(&mut self, peer: VmIndex, contact: LostContact, reason: &'static str) {
        self.inbox.retain(|(from, _)| *from != peer);
        self.offers.drop_coordinator(peer);
        self.blocked_requests.drop_coordinator(peer);
        self.stop_runs_for(peer);
        self.drop_forwarding_with(peer);
        self.drop_cancels_with(peer);
        self.orphan_tasks_on(peer, contact, reason);
        self.placement_due = true;
    }

    /// The losses of this VM that a holder is known to have declared; none if it is this VM itself.
    pub(super) fn losses_declared_by(&self, holder: VmIndex) -> LossCount {
        let link = self.links[holder].as_ref();
        link.map(PeerLink::peer_losses).unwrap_or_default()
    }

    /// Queues a message for a peer, or for this VM itself, which has no link.
    pub(super) fn send(&mut self, to: VmIndex, message: FleetMessage) {
        match &mut self.links[to] {
            Some(link) => link.push(message),
            None => self.inbox.push_back((to, message)),
        }
    }

    /// Sends a message to all live peers and to this VM itself.
    pub(super) fn broadcast(&mut self, message: FleetMessage) {
        let live = self.live_vms().collect::<Vec<_>>();
        for vm in live {
            self.send(vm, message.clone());
        }
    }

    /// All live peers, and this VM itself.
    pub(super) fn live_vms(&self) -> impl Iterator<Item = VmIndex> {
        let vms = self.links.iter_enumerated();
        vms.filter(|(_, link)| link.as_ref().is_none_or(PeerLink::is_live))
            .map(|(vm, _)| vm)
    }

    pub(super) fn receive_message(&mut self, from: VmIndex, message: FleetMessage) {
        match message {
            FleetMessage::Place(request) => self.receive_place_request(from, request),
            FleetMessage::Withdraw(tasks) => self.receive_withdrawal(from, &tasks),
            FleetMessage::Offer {
                offer,
                target,
                resources: room,
            } => self.receive_offer(from, offer, &target, room),
            FleetMessage::Decline(offer) => self.receive_decline(from, offer),
            FleetMessage::Refused { run, refusal } => self.receive_refusal(from, run, refusal),
            FleetMessage::Ended(notice) => self.receive_end(from, &notice),
            FleetMessage::FoundEnd(notice) => self.receive_found_end(&notice),
            FleetMessage::Released {
                target,
                runs,
                token,
            } => self.receive_release(from, &target, &runs, token),
            FleetMessage::Inquire {
                target,
                token,
                runs,
            } => self.receive_inquiry(from, &target, token, &runs),
            FleetMessage::Keep {
                target,
                runs,
                losses,
                claim,
            } => self.receive_keep(from, &target, &runs, losses, claim),
            FleetMessage::Crashed(reports) => self.receive_crashes(&reports),
            FleetMessage::AskCapacities { asked_at, age_ms } => {
                self.answer_capacities(from, asked_at, age_ms);
            }
            FleetMessage::Capacities {
                asked_at,
                age_ms,
                changed,
            } => self.receive_capacities(from, asked_at, age_ms, &changed),
            FleetMessage::Abandon { job, forwarded_at } => {
                self.receive_abandonment(from, job, forwarded_at);
            }
            FleetMessage::Cancel(job) => self.receive_cancel(from, job),
            FleetMessage::CancelDone { job, found } => {
                self.receive_cancel_answer(from, job, found);
            }
            FleetMessage::Redirected { run, target, token } => {
                self.receive_redirection(from, run, &target, token);
            }
        }
    }

    /// Whether an envelope to a known peer is due.
    pub(super) fn has_due_envelopes(&mut self) -> bool {
        !self.due_envelopes().is_empty()
    }

    /// The peers to which an envelope must be sent now.
    fn due_envelopes(&mut self) -> Vec<VmIndex> {
        let most_urgent = self.jobs.waiting().next().map(|task| {
            let (timeliness, priority, _) = self.rank_of(task);
            (timeliness, priority)
        });
        self.links.due_envelopes(self.clock.time, most_urgent)
    }

    /// Sends an envelope to each known peer and each seed address for which one is due. Those to known
    /// peers extend leases and wait for an examination.
    pub(super) fn send_envelopes(&mut self) {
        let now = self.now();
        let due = match self.lacks_examination() {
            true => Vec::new(),
            false => self.due_envelopes(),
        };
        let due_seeds = self.due_seeds();
        if due.is_empty() && due_seeds.is_empty() {
            return;
        }
        let demand = self.demand_report();
        let template = self.envelope_template(demand);
        for address in due_seeds {
            self.actions.push(FleetAction::SendEnvelope {
                peer: None,
                address,
                envelope: Box::new(PeerEnvelope {
                    holdings: Some(self.holding_reports()),
                    ..template.clone()
                }),
            });
        }
        for peer in due {
            // Most peers have acknowledged the holdings, whose names need not be copied for them.
            let link = self.links[peer].as_ref();
            let needed = link.is_some_and(|link| link.needs_holdings(self.holdings_version));
            let envelope = PeerEnvelope {
                holdings: needed.then(|| self.holding_reports()),
                origins: self.origin_contacts(peer),
                ..template.clone()
            };
            let link = self.links[peer]
                .as_mut()
                .expect("a peer with an envelope due has a link");
            let address = link.identity().address;
            let (number, envelope) = link.complete_envelope(now, envelope);
            self.counters.envelopes_sent += 1;
            self.actions.push(FleetAction::SendEnvelope {
                peer: Some((peer, number)),
                address,
                envelope: Box::new(envelope),
            });
        }
    }

    fn plan_heartbeats(&mut self) {
        let counts = self.peer_counts();
        self.refresh_run_origins();
        let holders = self.jobs.placed().map(|placed| placed.holder);
        let mut holders = holders.collect::<BTreeSet<_>>();
        holders.extend(self.router.partners());
        for (peer, link) in self.links.iter_mut() {
            link.heartbeat_mut()
                .plan_interval(counts, holders.contains(&peer));
        }
    }

    /// The number of live peers.
    pub(super) fn peer_counts(&mut self) -> PeerCounts {
        self.links.counts()
    }

    /// Returns the seed addresses to contact now, and records the contact: those at which no peer
    /// is known and which were not contacted within the base interval.
    fn due_seeds(&mut self) -> Vec<SocketAddr> {
        let now = self.now();
        self.find_unknown_seeds();
        let interval = self.settings.links.heartbeat.base_interval;
        let unknown = self.unknown_seeds.addresses.iter();
        let due = unknown.filter_map(|seed| {
            let last = self.seeds.get_mut(seed)?;
            let waiting = last.0 > 0 && now.since(*last) < interval;
            if waiting {
                return None;
            }
            *last = now;
            Some(*seed)
        });
        due.collect()
    }

    /// Finds the seed addresses at which no peer is known, if the addresses have changed since the
    /// last call.
    fn find_unknown_seeds(&mut self) {
        let current = Some((self.links.addresses_version(), self.seeds.len()));
        if self.unknown_seeds.computed_for == current {
            return;
        }
        let links = self.links.iter().flatten();
        let known = links.map(|link| link.identity().address);
        let known = known.collect::<BTreeSet<_>>();
        let seeds = self.seeds.keys().copied();
        self.unknown_seeds = UnknownSeeds {
            addresses: seeds.filter(|seed| !known.contains(seed)).collect(),
            computed_for: current,
        };
    }

    /// The targets that this VM holds.
    fn holding_reports(&self) -> Vec<HoldingReport> {
        let held = self.held.iter();
        held.map(|(target, held)| HoldingReport {
            target: self.registry.name(*target).clone(),
            token: held.token(),
            boot: held.instance().0,
        })
        .collect()
    }

    /// The content that an envelope has for all receivers, except the holdings; the link of a
    /// receiver adds the rest.
    fn envelope_template(&mut self, demand: DemandReport) -> PeerEnvelope {
        let now = self.now();
        let offers = &self.offers;
        let mut capacities = Vec::with_capacity(self.held.len());
        for (target, held) in &mut self.held {
            let open =
                self.closed_zones.may_start(&self.registry, *target) && !offers.is_offered(*target);
            let free = match open && self.state != PeerState::Leaving {
                true => held.free_capacity(now),
                false => ResourceVector::default(),
            };
            capacities.push(CapacityReport {
                free,
                slowdown_percent: slowdown_percent(
                    held.health().slowdown() * self.kind_speeds.factor_of(*target),
                ),
            });
        }
        PeerEnvelope {
            from: self.identity.clone(),
            to: None,
            losses: LossCount::default(),
            sent_at: now,
            heard_until: None,
            heartbeat_interval_ms: 0,
            state: self.state,
            uptime_ms: millis(now.since(self.started_at)),
            config_version: self.catalog.version(),
            first_message: 0,
            messages: Vec::new(),
            next_expected: 0,
            demand,
            holdings_version: self.holdings_version,
            holdings: None,
            capacities,
            zones: self.closed_zones.reports(now),
            routing: self.router.report(now, self.state == PeerState::Ready),
            origins: Vec::new(),
        }
    }
}

/// The factor by which runs take longer than expected, in percent; 100 is the expected speed.
fn slowdown_percent(slowdown: f64) -> u16 {
    (slowdown * 100.0).clamp(1.0, f64::from(u16::MAX)) as u16
}
