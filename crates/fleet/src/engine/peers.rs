//! Other entry VMs: finding them, exchanging envelopes, losing them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use filbertpitch_dispatch::entity::VmIndex;
use filbertpitch_types::fleet::{
    CapacityReport, DemandReport, EnvelopeAck, FleetMessage, HoldingReport, PeerEnvelope,
    PeerIdentity, PeerObservation, PeerState,
};
use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;

use super::{FleetAction, FleetEngine, FleetNotice};
use crate::link::PeerLink;
use crate::pace::{PeerCounts, PeerDistance};

impl FleetEngine {
    /// Takes over an envelope of a peer and returns the receipt.
    pub fn receive_envelope(&mut self, clock: ClockReading, envelope: PeerEnvelope) -> EnvelopeAck {
        self.advance(clock);
        let receipt = self.accept_envelope(envelope);
        self.settle();
        receipt
    }

    fn accept_envelope(&mut self, envelope: PeerEnvelope) -> EnvelopeAck {
        let own = self.identity.incarnation;
        let refusal = EnvelopeAck {
            incarnation: own,
            accepted: false,
            next_expected: 0,
            holdings_version: 0,
        };
        let meant = envelope.to.is_none_or(|to| to == own);
        if !meant || envelope.from.incarnation == own {
            return refusal;
        }
        let peer = self.intern_peer(&envelope.from);
        let now = self.now();
        let registry = &mut self.registry;
        let link = self.links[peer].as_mut().expect("the peer was interned");
        if link.is_former(envelope.from.incarnation) {
            return refusal;
        }
        let seated = link.is_seated();
        let news = link.receive(now, envelope, |name| registry.intern(name));
        let seat_changed = seated != link.is_seated();
        let receipt = link.receipt(own);
        let quota = self.draw_quota(peer);
        if let Some(link) = &mut self.links[peer] {
            link.allow_offers(quota);
        }
        self.room_changed = true;
        if news.appeared {
            self.notice(FleetNotice::PeerLive(self.vms.name(peer).clone()));
        }
        if news.dropped {
            // Requests that were sent since may be carried out all the same.
            let now = self.now();
            self.drop_peer_work(peer, now);
        }
        if seat_changed {
            self.change_seats();
        }
        if news.changed {
            self.ownership_changed = true;
            self.note_holders(peer);
        }
        for message in news.messages {
            self.inbox.push_back((peer, message));
        }
        receipt
    }

    fn intern_peer(&mut self, identity: &PeerIdentity) -> VmIndex {
        let peer = self.vms.intern(&identity.vm);
        if usize::from(peer) == self.links.len() {
            let settings = self.settings.links.clone();
            let distance = match identity.zone == self.identity.zone {
                true => PeerDistance::Near,
                false => PeerDistance::Far,
            };
            let link = PeerLink::new(settings, identity.clone(), distance, self.clock.time);
            self.links.push(Some(link));
        }
        peer
    }

    pub(super) fn find_peers(&mut self, peers: Vec<PeerObservation>) {
        let now = self.now();
        self.ownership_changed |= !std::mem::replace(&mut self.peers_listed, true);
        // The time of day of this VM may be wrong, and so may that of some others.
        let mut written = peers
            .iter()
            .map(|peer| peer.record.written_at)
            .collect::<Vec<_>>();
        written.sort_unstable();
        let usual = written.get(written.len() / 2).copied().unwrap_or_default();
        for PeerObservation {
            record,
            revision: mark,
        } in peers
        {
            let identity = record.identity;
            let old = usual.since(record.written_at) >= self.settings.record_life;
            let known = self.vms.get(&identity.vm).is_some();
            // The record of a VM that was removed stays in the store.
            if identity.vm == self.identity.vm || (old && !known) {
                continue;
            }
            let peer = self.intern_peer(&identity);
            let link = self.links[peer].as_mut().expect("the peer was interned");
            if link.note_record(&identity, mark, now) {
                self.drop_peer_work(peer, now);
                self.change_seats();
            }
        }
    }

    pub(super) fn find_seeds(&mut self, seeds: Vec<SocketAddr>) {
        for seed in seeds {
            if seed != self.identity.address {
                self.seeds.entry(seed).or_insert(TimePoint(0));
            }
        }
    }

    pub(super) fn confirm_envelope(&mut self, peer: VmIndex, receipt: &EnvelopeAck) {
        let Some(link) = &mut self.links[peer] else {
            return;
        };
        if link.confirmed(receipt) {
            self.lose_peer(peer, true);
        }
    }

    pub(super) fn fail_envelope(&mut self, peer: VmIndex, refused: bool) {
        let now = self.now();
        let Some(link) = &mut self.links[peer] else {
            return;
        };
        link.failed();
        if refused && link.judge(now, true) {
            self.lose_peer(peer, true);
        }
    }

    /// Gives up the peers that were not heard for too long.
    pub(super) fn judge_peers(&mut self) {
        let now = self.now();
        let mut lost = Vec::new();
        for (peer, link) in self.links.iter_mut_enumerated() {
            if link.as_mut().is_some_and(|link| link.judge(now, false)) {
                lost.push(peer);
            }
        }
        for peer in lost {
            self.lose_peer(peer, false);
        }
        self.plan_pace();
    }

    fn lose_peer(&mut self, peer: VmIndex, refused: bool) {
        let now = self.now();
        let Some(link) = &self.links[peer] else {
            return;
        };
        self.unsettled_at = now;
        // A process that has ended may have lived until now.
        let heard = if refused { now } else { link.last_heard() };
        let quiet = now.since(link.last_heard());
        let name = self.vms.name(peer).clone();
        self.notice(FleetNotice::PeerLost {
            peer: name,
            quiet,
            refused,
        });
        self.drop_peer_work(peer, heard);
        self.change_seats();
    }

    /// Ends what this VM does for a peer, and what it believes that the peer does for it. The peer
    /// was alive for certain at `heard`.
    fn drop_peer_work(&mut self, peer: VmIndex, heard: TimePoint) {
        self.inbox.retain(|(from, _)| *from != peer);
        self.offers.drop_home(peer);
        self.stop_runs_of(peer);
        self.orphan_holder(peer, heard);
        self.room_changed = true;
    }

    /// Sends a message to a VM, this one included.
    pub(super) fn send(&mut self, to: VmIndex, message: FleetMessage) {
        match &mut self.links[to] {
            Some(link) => link.push(message),
            None => self.inbox.push_back((to, message)),
        }
    }

    /// Sends a message to all VMs that are heard, this one included.
    pub(super) fn broadcast(&mut self, message: FleetMessage) {
        let live = self.live_vms().collect::<Vec<_>>();
        for vm in live {
            self.send(vm, message.clone());
        }
    }

    /// The VMs that are heard, this one included.
    pub(super) fn live_vms(&self) -> impl Iterator<Item = VmIndex> {
        let vms = self.links.iter_enumerated();
        vms.filter(|(_, link)| link.as_ref().is_none_or(PeerLink::is_live))
            .map(|(vm, _)| vm)
    }

    pub(super) fn receive_message(&mut self, from: VmIndex, message: FleetMessage) {
        match message {
            FleetMessage::Place(request) => self.receive_place(from, request),
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
            FleetMessage::Released { target, runs } => self.receive_release(from, &target, &runs),
            FleetMessage::Inquire { target, runs } => self.receive_inquiry(from, &target, &runs),
            FleetMessage::Keep { target, runs } => self.receive_keep(from, &target, &runs),
        }
    }

    /// Sends the envelopes that are due.
    pub(super) fn send_envelopes(&mut self) {
        let now = self.now();
        let most_urgent = self.jobs.waiting().next().map(|task| {
            let (hope, priority, _) = self.rank_of(task);
            (hope, priority)
        });
        let counts = self.peer_counts();
        let due = self.links.iter_enumerated().filter(|(_, link)| {
            link.as_ref()
                .is_some_and(|link| link.wants_envelope(now, most_urgent, counts))
        });
        let due = due.map(|(peer, _)| peer).collect::<Vec<_>>();
        let greeted = self.due_seeds();
        if due.is_empty() && greeted.is_empty() {
            return;
        }
        let demand = self.demand_report();
        let template = self.envelope_template(demand);
        for address in greeted {
            self.actions.push(FleetAction::SendEnvelope {
                peer: None,
                address,
                envelope: Box::new(template.clone()),
            });
        }
        for peer in due {
            let link = self.links[peer]
                .as_mut()
                .expect("the link wants an envelope");
            let address = link.identity().address;
            let envelope = link.fill(now, template.clone());
            self.counters.envelopes_sent += 1;
            self.actions.push(FleetAction::SendEnvelope {
                peer: Some(peer),
                address,
                envelope: Box::new(envelope),
            });
        }
    }

    /// Plans how often each peer hears from this VM.
    fn plan_pace(&mut self) {
        let counts = self.peer_counts();
        let holders = self.jobs.placed().map(|(_, holder, _)| holder);
        let engaged = holders.collect::<BTreeSet<_>>();
        for (peer, link) in self.links.iter_mut_enumerated() {
            if let Some(link) = link {
                link.pace_mut().plan(counts, engaged.contains(&peer));
            }
        }
    }

    /// How many peers are heard.
    pub(super) fn peer_counts(&self) -> PeerCounts {
        let mut counts = PeerCounts::default();
        for link in self.links.iter().flatten().filter(|link| link.is_live()) {
            counts.add(link.pace().distance());
        }
        counts
    }

    /// The seeds to contact: those at whose address no peer is known.
    fn due_seeds(&mut self) -> Vec<SocketAddr> {
        let now = self.now();
        let links = self.links.iter().flatten();
        let known = links
            .map(|link| link.identity().address)
            .collect::<Vec<_>>();
        let interval = self.settings.links.pace.beat_interval;
        let due = self.seeds.iter_mut().filter(|(seed, last)| {
            let waiting = last.0 > 0 && now.since(**last) < interval;
            !waiting && !known.contains(seed)
        });
        due.map(|(seed, last)| {
            *last = now;
            *seed
        })
        .collect()
    }

    fn envelope_template(&mut self, demand: DemandReport) -> PeerEnvelope {
        let now = self.now();
        let offers = &self.offers;
        let mut rooms = Vec::with_capacity(self.held.len());
        for (target, held) in &mut self.held {
            let open = self.registry.is_ready(*target) && !offers.holds(*target);
            let free = match open && self.state != PeerState::Leaving {
                true => held.open_room(now),
                false => ResourceVector::default(),
            };
            rooms.push(CapacityReport {
                free,
                slowdown_percent: slowdown_percent(held.verdict().slowdown()),
            });
        }
        let holdings = self.held.iter().map(|(target, held)| HoldingReport {
            target: self.registry.name(*target).clone(),
            token: held.token(),
        });
        PeerEnvelope {
            from: self.identity.clone(),
            to: None,
            losses: 0,
            sent_at: now,
            heartbeat_interval_ms: 0,
            state: self.state,
            config_version: self.catalog.version(),
            first_message: 0,
            messages: Vec::new(),
            next_expected: 0,
            demand,
            holdings_version: self.holdings_version,
            holdings: Some(holdings.collect()),
            capacities: rooms,
        }
    }
}

fn slowdown_percent(slowdown: f64) -> u16 {
    (slowdown * 100.0).clamp(1.0, f64::from(u16::MAX)) as u16
}
