//! Which entry VMs are live, from heartbeats and the platform's list, and what is known about the
//! owner of a submission.
//!
//! The list lags and may be stale or empty. It introduces VMs and confirms that they are gone, but
//! only heartbeats decide which VMs share the slots.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_types::peer::{HandoverNotice, PeerHeartbeat};
use filbertpitch_types::platform::{VmEntry, VmList, VmRole, VmState};
use filbertpitch_types::prelude::*;
use smallvec::SmallVec;

use crate::placement::SharePosition;

/// The parameters of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// The time between heartbeats to a peer.
    pub heartbeat: Duration,
    /// The missed heartbeats after which a peer is suspected.
    pub missed_limit: u32,
    /// The time between heartbeats to a suspected peer.
    pub suspect_heartbeat: Duration,
    /// How long the list must lack a VM that it contained before the VM counts as gone.
    pub drop_margin: Duration,
    /// How long a VM that is gone is remembered.
    pub retention: Duration,
    /// How long a handover is remembered; longer than outcomes are kept.
    pub handover_ttl: Duration,
    /// The most handovers remembered.
    pub handover_limit: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            missed_limit: 3,
            suspect_heartbeat: Duration::from_secs(2),
            drop_margin: Duration::from_secs(30),
            retention: Duration::from_secs(3600),
            handover_ttl: Duration::from_secs(900),
            handover_limit: 256,
        }
    }
}

/// What is known about the process that an owner prefix names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerStatus {
    /// It is this process.
    This,
    /// It may be at this address; only the address itself can tell.
    Live(SocketAddr),
    /// It no longer exists and handed nothing over.
    Gone,
    /// Another process keeps its outcomes.
    HandedOver(HandoverNotice),
    /// It cannot be reached at present, and may still exist.
    Unreachable,
}

/// How a handover became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverSource {
    /// From the log or from the stopping process itself.
    Direct {
        /// How long ago it was announced.
        age: Duration,
    },
    /// From a heartbeat. It is not passed on, or VMs would keep renewing it among themselves.
    Heartbeat,
}

/// Superseded incarnations remembered per address.
const SUPERSEDED_LIMIT: usize = 16;
/// The longest chain of handovers that is followed.
const CHAIN_LIMIT: usize = 8;

#[derive(Clone, Debug)]
struct PeerState {
    seed: bool,
    listed: bool,
    /// When the list first lacked the VM, and when it last did.
    dropped: Option<(TimePoint, TimePoint)>,
    hello: Option<PeerHeartbeat>,
    heard: TimePoint,
    /// Incarnations that this address certainly no longer runs.
    superseded: SmallVec<[IncarnationId; 2]>,
    next_send: TimePoint,
    in_flight: bool,
}

impl PeerState {
    fn new(now: TimePoint) -> Self {
        Self {
            seed: false,
            listed: false,
            dropped: None,
            hello: None,
            heard: now,
            superseded: SmallVec::new(),
            next_send: now,
            in_flight: false,
        }
    }

    fn supersede(&mut self, incarnation: IncarnationId) {
        if self.superseded.contains(&incarnation) {
            return;
        }
        if self.superseded.len() == SUPERSEDED_LIMIT {
            self.superseded.remove(0);
        }
        self.superseded.push(incarnation);
    }

    fn is_suspected(&self, now: TimePoint, settings: &MembershipSettings) -> bool {
        now.since(self.heard) >= settings.heartbeat * settings.missed_limit
    }

    /// The state of a peer that counts for shares.
    fn sharing(&self, now: TimePoint, settings: &MembershipSettings) -> Option<&PeerHeartbeat> {
        let hello = self.hello.as_ref()?;
        let shares = hello.ready && !hello.leaving && !self.is_suspected(now, settings);
        shares.then_some(hello)
    }

    fn is_dropped(&self, settings: &MembershipSettings) -> bool {
        self.dropped
            .is_some_and(|(first, last)| last.since(first) >= settings.drop_margin)
    }
}

#[derive(Clone, Debug)]
struct HandoverRecord {
    notice: HandoverNotice,
    expires: TimePoint,
    passed_on: bool,
}

/// What is known about one other entry VM.
#[derive(Clone, Copy, Debug)]
pub struct PeerView<'a> {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its last heartbeat.
    pub hello: Option<&'a PeerHeartbeat>,
    /// How long ago that was.
    pub age: Duration,
    /// Whether it missed too many heartbeats.
    pub suspected: bool,
}

/// The entry VMs.
#[derive(Debug)]
pub struct PeerTable {
    settings: MembershipSettings,
    own: PeerHeartbeat,
    peers: BTreeMap<SocketAddr, PeerState>,
    handovers: BTreeMap<IncarnationId, HandoverRecord>,
    last_advance: TimePoint,
    /// When a usable list was read first and last.
    list_reads: Option<(TimePoint, TimePoint)>,
}

impl PeerTable {
    /// A table for the VM that `own` describes, with the addresses of peers from its settings.
    pub fn new(
        now: TimePoint,
        settings: MembershipSettings,
        own: PeerHeartbeat,
        seeds: &[SocketAddr],
    ) -> Self {
        let mut table = Self {
            settings,
            own,
            peers: BTreeMap::new(),
            handovers: BTreeMap::new(),
            last_advance: now,
            list_reads: None,
        };
        for &seed in seeds {
            if let Some(peer) = table.peer_mut(now, seed) {
                peer.seed = true;
            }
        }
        table
    }

    fn peer_mut(&mut self, now: TimePoint, address: SocketAddr) -> Option<&mut PeerState> {
        if address == self.own.address {
            return None;
        }
        let peer = self.peers.entry(address);
        Some(peer.or_insert_with(|| PeerState::new(now)))
    }

    /// Updates how far this VM has read the ticket stream.
    pub fn set_config_next(&mut self, config_next: LogOffset) {
        self.own.config_next = config_next;
    }

    /// The last known process that took over from `from`.
    pub fn handover_of(&self, now: TimePoint, from: IncarnationId) -> Option<HandoverNotice> {
        self.successor(now, from).cloned()
    }

    /// Updates what this VM says about itself.
    pub fn set_own(&mut self, ready: bool, leaving: bool, config_next: LogOffset) {
        self.own.ready = ready;
        self.own.leaving = leaving;
        self.own.config_next = config_next;
    }

    /// The heartbeat to send or to answer with.
    pub fn own_hello(&self) -> PeerHeartbeat {
        let passed_on = self.handovers.values().filter(|record| record.passed_on);
        PeerHeartbeat {
            handovers: passed_on.map(|record| record.notice.clone()).collect(),
            ..self.own.clone()
        }
    }

    /// The addresses that a heartbeat is due for. Each is due again after its interval, once
    /// [`Self::hello_answered`] or [`Self::hello_failed`] was called for it.
    pub fn due_hellos(&mut self, now: TimePoint) -> Vec<SocketAddr> {
        self.advance(now);
        let settings = &self.settings;
        let mut due = Vec::new();
        for (&address, peer) in &mut self.peers {
            if peer.in_flight || peer.next_send > now {
                continue;
            }
            let interval = match peer.is_suspected(now, settings) {
                true => settings.suspect_heartbeat,
                false => settings.heartbeat,
            };
            peer.next_send = now + interval;
            peer.in_flight = true;
            due.push(address);
        }
        due
    }

    /// When the next heartbeat is due.
    pub fn next_due(&self) -> Option<TimePoint> {
        let waiting = self.peers.values().filter(|peer| !peer.in_flight);
        waiting.map(|peer| peer.next_send).min()
    }

    /// Forgets what is no longer needed, and allows for a pause of this process.
    fn advance(&mut self, now: TimePoint) {
        let settings = &self.settings;
        let pause = now.since(self.last_advance);
        if pause > settings.heartbeat * 2 {
            // Heartbeats that arrived during the pause have not been read yet. Peers that were not
            // suspected before get one more interval.
            let before = self.last_advance;
            let grace = now - settings.heartbeat * settings.missed_limit.saturating_sub(1);
            for peer in self.peers.values_mut() {
                if !peer.is_suspected(before, settings) {
                    peer.heard = peer.heard.max(grace);
                }
            }
        }
        self.last_advance = now;
        self.handovers.retain(|_, record| record.expires > now);
        self.peers.retain(|_, peer| {
            peer.seed || peer.listed || now.since(peer.heard) < settings.retention
        });
    }

    /// Takes over a heartbeat that a peer sent on its own account.
    ///
    /// It may be delayed, so it never replaces an incarnation that answered at the same address;
    /// that address is asked instead.
    pub fn hello_received(&mut self, now: TimePoint, hello: &PeerHeartbeat) {
        self.note_handovers(now, hello);
        let Some(peer) = self.peer_mut(now, hello.address) else {
            return;
        };
        if peer.superseded.contains(&hello.incarnation) {
            return;
        }
        let known = peer.hello.as_ref().map(|known| known.incarnation);
        if known.is_none_or(|known| known == hello.incarnation) {
            peer.hello = Some(hello.clone());
            peer.heard = now;
        } else {
            peer.next_send = now;
        }
    }

    /// Takes over the answer to a heartbeat that was sent to `address`.
    pub fn hello_answered(&mut self, now: TimePoint, address: SocketAddr, hello: &PeerHeartbeat) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.in_flight = false;
        }
        if hello.address != address {
            // A seed may be another name of the VM that answers, even of this one.
            if let Some(peer) = self.peers.get_mut(&address) {
                peer.heard = now;
            }
            return self.hello_received(now, hello);
        }
        self.note_handovers(now, hello);
        let Some(peer) = self.peer_mut(now, address) else {
            return;
        };
        if let Some(known) = peer.hello.as_ref().map(|known| known.incarnation)
            && known != hello.incarnation
        {
            peer.supersede(known);
        }
        peer.superseded.retain(|old| *old != hello.incarnation);
        peer.hello = Some(hello.clone());
        peer.heard = now;
    }

    /// Records that a heartbeat got no answer.
    pub fn hello_failed(&mut self, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.in_flight = false;
        }
    }

    /// Records that the owner's address answered a forwarded request as another incarnation.
    pub fn note_superseded(&mut self, now: TimePoint, owner: &OwnerPrefix) {
        if let Some(peer) = self.peer_mut(now, owner.address) {
            peer.supersede(owner.incarnation);
            if peer
                .hello
                .as_ref()
                .is_some_and(|hello| hello.incarnation == owner.incarnation)
            {
                peer.hello = None;
                peer.next_send = now;
            }
        }
    }

    /// Takes over the platform's list.
    ///
    /// A list without entry VMs says nothing, because this VM runs and must be in it.
    pub fn set_list(&mut self, now: TimePoint, list: &VmList) {
        let entries = || list.vms.iter().filter(|vm| vm.role == VmRole::Entry);
        if entries().next().is_none() {
            return;
        }
        let first = self.list_reads.map_or(now, |(first, _)| first);
        self.list_reads = Some((first, now));
        let listed = entries().map(|vm| vm.address).collect::<BTreeSet<_>>();
        for &address in &listed {
            if let Some(peer) = self.peer_mut(now, address) {
                peer.listed = true;
                peer.dropped = None;
            }
        }
        for (address, peer) in &mut self.peers {
            if !listed.contains(address) && (peer.listed || peer.dropped.is_some()) {
                let first = peer.dropped.map_or(now, |(first, _)| first);
                peer.dropped = Some((first, now));
                peer.listed = false;
            }
        }
    }

    /// The targets of a list and their states.
    pub fn listed_targets(list: &VmList) -> impl Iterator<Item = (&TargetName, VmState)> {
        let is_target = |vm: &&VmEntry| vm.role == VmRole::Target;
        let targets = list.vms.iter().filter(is_target);
        targets.map(|vm| (&vm.name, vm.state))
    }

    /// Takes over a handover.
    pub fn note_handover(
        &mut self,
        now: TimePoint,
        notice: &HandoverNotice,
        source: HandoverSource,
    ) {
        let (age, passed_on) = match source {
            HandoverSource::Direct { age } => (age, true),
            HandoverSource::Heartbeat => (Duration::ZERO, false),
        };
        let ttl = self.settings.handover_ttl.saturating_sub(age);
        if ttl.is_zero() {
            return;
        }
        if let Some(known) = self.handovers.get_mut(&notice.from) {
            known.passed_on |= passed_on;
            return;
        }
        let record = HandoverRecord {
            notice: notice.clone(),
            expires: now + ttl,
            passed_on,
        };
        self.handovers.insert(notice.from, record);
        if self.handovers.len() > self.settings.handover_limit {
            self.forget_oldest_handover();
        }
    }

    fn note_handovers(&mut self, now: TimePoint, hello: &PeerHeartbeat) {
        for notice in &hello.handovers {
            self.note_handover(now, notice, HandoverSource::Heartbeat);
        }
    }

    fn forget_oldest_handover(&mut self) {
        let records = self.handovers.iter();
        let oldest = records.min_by_key(|(_, record)| record.expires);
        if let Some(oldest) = oldest.map(|(&from, _)| from) {
            self.handovers.remove(&oldest);
        }
    }

    /// What is known about an owner.
    pub fn owner(&self, now: TimePoint, prefix: &OwnerPrefix) -> OwnerStatus {
        if prefix.incarnation == self.own.incarnation {
            return OwnerStatus::This;
        }
        let Some(notice) = self.successor(now, prefix.incarnation) else {
            return self.process_status(now, prefix.address, prefix.incarnation);
        };
        let keeper = self.process_status(now, notice.address, notice.to);
        match notice.to != self.own.incarnation && keeper == OwnerStatus::Gone {
            true => OwnerStatus::Gone,
            false => OwnerStatus::HandedOver(notice.clone()),
        }
    }

    /// What is known about another process, apart from handovers.
    fn process_status(
        &self,
        now: TimePoint,
        address: SocketAddr,
        incarnation: IncarnationId,
    ) -> OwnerStatus {
        if address == self.own.address {
            return OwnerStatus::Gone;
        }
        let Some(peer) = self.peers.get(&address) else {
            // A VM that started after the owner was removed never had it in its table. The list
            // shows new VMs well within the margin, so an address that it lacked for that long
            // belongs to no VM.
            return match self.is_unlisted_for_long(now) {
                true => OwnerStatus::Gone,
                false => OwnerStatus::Unreachable,
            };
        };
        if peer.superseded.contains(&incarnation) {
            return OwnerStatus::Gone;
        }
        if !peer.is_suspected(now, &self.settings) {
            return OwnerStatus::Live(address);
        }
        // A seed that was replaced before this VM started is in the table and never was in the
        // list.
        let silent = now.since(peer.heard) >= self.settings.drop_margin;
        let unlisted = !peer.listed && peer.dropped.is_none() && silent;
        match peer.is_dropped(&self.settings) || (unlisted && self.is_unlisted_for_long(now)) {
            true => OwnerStatus::Gone,
            false => OwnerStatus::Unreachable,
        }
    }

    /// Whether an address outside the table has been missing from the list for the margin.
    fn is_unlisted_for_long(&self, now: TimePoint) -> bool {
        let margin = self.settings.drop_margin;
        self.list_reads
            .is_some_and(|(first, last)| last.since(first) >= margin && now.since(last) < margin)
    }

    /// The last handover of a chain.
    fn successor(&self, now: TimePoint, from: IncarnationId) -> Option<&HandoverNotice> {
        let next = |from: IncarnationId| {
            let record = self.handovers.get(&from)?;
            (record.expires > now).then_some(&record.notice)
        };
        let first = next(from);
        std::iter::successors(first, |notice| next(notice.to))
            .take(CHAIN_LIMIT)
            .last()
    }

    /// The entry VMs that share slots, with this one if it does, in the order of their addresses.
    fn sharing(&self, now: TimePoint) -> Vec<(&ZoneName, SocketAddr)> {
        let peers = self.peers.values();
        let mut sharing = peers
            .filter_map(|peer| peer.sharing(now, &self.settings))
            .chain(Some(&self.own).filter(|own| own.ready && !own.leaving))
            .map(|hello| (&hello.zone, hello.address))
            .collect::<Vec<_>>();
        sharing.sort_by_key(|&(_, address)| address);
        sharing
    }

    /// This VM's place among the live, ready entry VMs of its zone.
    ///
    /// There is none while this VM is not ready. A draining VM then uses its last share for the
    /// work that it still has; refusals resolve the overlap with the VMs that took over.
    pub fn zone_share(&self, now: TimePoint) -> Option<SharePosition> {
        let mut sharing = self.sharing(now);
        sharing.retain(|&(zone, _)| *zone == self.own.zone);
        self.place_of(&sharing)
    }

    /// This VM's place among the live, ready entry VMs of all zones, if it is ready itself.
    pub fn fleet_share(&self, now: TimePoint) -> Option<SharePosition> {
        self.place_of(&self.sharing(now))
    }

    fn place_of(&self, sharing: &[(&ZoneName, SocketAddr)]) -> Option<SharePosition> {
        let own = self.own.address;
        let position = sharing.iter().position(|&(_, address)| address == own)?;
        Some(SharePosition {
            position: u32::try_from(position).expect("fewer than 2^32 VMs"),
            vms: u32::try_from(sharing.len()).expect("fewer than 2^32 VMs"),
        })
    }

    /// The zones that have a live, ready entry VM.
    pub fn populated_zones(&self, now: TimePoint) -> Vec<ZoneName> {
        let sharing = self.sharing(now).into_iter();
        let mut zones = sharing.map(|(zone, _)| zone.clone()).collect::<Vec<_>>();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// How many entry VMs are live and ready in all zones, at least one.
    pub fn live_vms(&self, now: TimePoint) -> u32 {
        let live = self.sharing(now).len().max(1);
        u32::try_from(live).expect("fewer than 2^32 VMs")
    }

    /// All known peers in the order of their addresses.
    pub fn views(&self, now: TimePoint) -> impl Iterator<Item = PeerView<'_>> {
        self.peers.iter().map(move |(&address, peer)| PeerView {
            address,
            hello: peer.hello.as_ref(),
            age: now.since(peer.heard),
            suspected: peer.is_suspected(now, &self.settings),
        })
    }

    /// The live peers with their states, for example to load the configuration from.
    pub fn live_peers(&self, now: TimePoint) -> impl Iterator<Item = &PeerHeartbeat> {
        let live = move |peer: &&PeerState| !peer.is_suspected(now, &self.settings);
        let peers = self.peers.values().filter(live);
        peers.filter_map(|peer| peer.hello.as_ref())
    }
}
