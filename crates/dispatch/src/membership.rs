//! Tracks which entry VMs are live, from heartbeats and the platform's VM list, and the status of
//! the owners of submissions.
//!
//! The VM list lags and may be stale or empty. It serves to discover VMs and to confirm that they
//! no longer exist, but only heartbeats decide which VMs share the slots.

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
    pub heartbeat_interval: Duration,
    /// The number of missed heartbeats after which a peer is suspected.
    pub missed_limit: u32,
    /// The time between heartbeats to a suspected peer.
    pub suspect_heartbeat_interval: Duration,
    /// How long the VM list must lack a VM before the VM counts as gone.
    pub removal_delay: Duration,
    /// How long a VM that is gone stays in the table.
    pub retention: Duration,
    /// How long a handover record is kept. Must be longer than outcomes are kept.
    pub handover_ttl: Duration,
    /// The largest number of handover records.
    pub handover_limit: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_secs(1),
            missed_limit: 3,
            suspect_heartbeat_interval: Duration::from_secs(2),
            removal_delay: Duration::from_secs(30),
            retention: Duration::from_secs(3600),
            handover_ttl: Duration::from_secs(900),
            handover_limit: 256,
        }
    }
}

/// The status of the process that an owner prefix names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerStatus {
    /// The owner is this process.
    Local,
    /// A process is live at this address. Only that process can tell whether it is the owner.
    Live(SocketAddr),
    /// The owner no longer exists, and no live process keeps its outcomes.
    Gone,
    /// Another process keeps the owner's outcomes.
    HandedOver(HandoverNotice),
    /// The owner cannot be reached and may still exist.
    Unreachable,
}

/// How a handover became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverSource {
    /// From the platform log or from the stopping process itself.
    Direct {
        /// How long ago it was announced.
        age: Duration,
    },
    /// From a heartbeat. Such a handover is not propagated further; otherwise the VMs would keep
    /// renewing it among themselves.
    Heartbeat,
}

/// The maximum number of superseded incarnations recorded per address.
const SUPERSEDED_LIMIT: usize = 16;
/// The maximum number of handovers that are followed in a chain. The limit also ends cycles.
const HANDOVER_CHAIN_LIMIT: usize = 8;

#[derive(Clone, Debug)]
struct PeerState {
    seed: bool,
    listed: bool,
    /// The times of the first and the latest read in which this VM, listed before, was missing from
    /// the VM list.
    missing_span: Option<(TimePoint, TimePoint)>,
    heartbeat: Option<PeerHeartbeat>,
    last_heard: TimePoint,
    /// Incarnations that are known to have ended at this address.
    superseded: SmallVec<[IncarnationId; 2]>,
    next_send: TimePoint,
    in_flight: bool,
}

impl PeerState {
    fn new(now: TimePoint) -> Self {
        Self {
            seed: false,
            listed: false,
            missing_span: None,
            heartbeat: None,
            last_heard: now,
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
        now.since(self.last_heard) >= settings.heartbeat_interval * settings.missed_limit
    }

    /// The last heartbeat, if it says that the peer is ready and the peer is not suspected.
    fn ready_heartbeat(
        &self,
        now: TimePoint,
        settings: &MembershipSettings,
    ) -> Option<&PeerHeartbeat> {
        let heartbeat = self.heartbeat.as_ref()?;
        let is_ready = heartbeat.ready && !heartbeat.leaving && !self.is_suspected(now, settings);
        is_ready.then_some(heartbeat)
    }

    fn is_removed(&self, settings: &MembershipSettings) -> bool {
        self.missing_span
            .is_some_and(|(first, last)| last.since(first) >= settings.removal_delay)
    }
}

#[derive(Clone, Debug)]
struct HandoverRecord {
    notice: HandoverNotice,
    expires: TimePoint,
    propagated: bool,
}

/// The known state of another entry VM.
#[derive(Clone, Copy, Debug)]
pub struct PeerView<'a> {
    /// The address that the VM listens on.
    pub address: SocketAddr,
    /// The last heartbeat from the VM.
    pub heartbeat: Option<&'a PeerHeartbeat>,
    /// The time since the last contact with the VM.
    pub age: Duration,
    /// Whether the VM missed as many heartbeats as [`MembershipSettings::missed_limit`].
    pub suspected: bool,
}

/// The other entry VMs and the recorded handovers.
#[derive(Debug)]
pub struct PeerTable {
    settings: MembershipSettings,
    own: PeerHeartbeat,
    peers: BTreeMap<SocketAddr, PeerState>,
    handovers: BTreeMap<IncarnationId, HandoverRecord>,
    last_advance: TimePoint,
    /// The times of the first and the latest read of a usable VM list.
    list_reads: Option<(TimePoint, TimePoint)>,
}

impl PeerTable {
    /// Creates a table for the VM that `own` describes, with the peer addresses `seeds` from its
    /// settings.
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

    /// Updates the next offset of the ticket stream that this VM reads.
    pub fn set_config_next(&mut self, config_next: LogOffset) {
        self.own.config_next = config_next;
    }

    /// The handover to the last known successor of `from`.
    pub fn handover_of(&self, now: TimePoint, from: IncarnationId) -> Option<HandoverNotice> {
        self.successor(now, from).cloned()
    }

    /// Updates the state that this VM's heartbeats contain.
    pub fn set_own_state(&mut self, ready: bool, leaving: bool, config_next: LogOffset) {
        self.own.ready = ready;
        self.own.leaving = leaving;
        self.own.config_next = config_next;
    }

    /// The heartbeat to send or to answer with.
    pub fn own_heartbeat(&self) -> PeerHeartbeat {
        let propagated = self.handovers.values().filter(|record| record.propagated);
        PeerHeartbeat {
            handovers: propagated.map(|record| record.notice.clone()).collect(),
            ..self.own.clone()
        }
    }

    /// Returns the addresses to send a heartbeat to.
    ///
    /// Each address is due again after its interval, once [`Self::heartbeat_answered`] or
    /// [`Self::heartbeat_failed`] was called for it.
    pub fn due_heartbeats(&mut self, now: TimePoint) -> Vec<SocketAddr> {
        self.advance(now);
        let settings = &self.settings;
        let mut due = Vec::new();
        for (&address, peer) in &mut self.peers {
            if peer.in_flight || peer.next_send > now {
                continue;
            }
            let interval = match peer.is_suspected(now, settings) {
                true => settings.suspect_heartbeat_interval,
                false => settings.heartbeat_interval,
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

    /// Removes expired entries. After a pause of this process, gives peers time to be heard again.
    fn advance(&mut self, now: TimePoint) {
        let settings = &self.settings;
        let pause = now.since(self.last_advance);
        if pause > settings.heartbeat_interval * 2 {
            // Heartbeats that arrived during the pause have not been read yet. Peers that were not
            // suspected before the pause get one more interval.
            let before = self.last_advance;
            let grace = now - settings.heartbeat_interval * settings.missed_limit.saturating_sub(1);
            for peer in self.peers.values_mut() {
                if !peer.is_suspected(before, settings) {
                    peer.last_heard = peer.last_heard.max(grace);
                }
            }
        }
        self.last_advance = now;
        self.handovers.retain(|_, record| record.expires > now);
        self.peers.retain(|_, peer| {
            peer.seed || peer.listed || now.since(peer.last_heard) < settings.retention
        });
    }

    /// Applies a heartbeat that a peer sent unsolicited.
    ///
    /// The heartbeat may be delayed, so it never replaces another incarnation that is known at the
    /// same address. Instead, a heartbeat to that address becomes due.
    pub fn heartbeat_received(&mut self, now: TimePoint, heartbeat: &PeerHeartbeat) {
        self.record_handovers(now, heartbeat);
        let Some(peer) = self.peer_mut(now, heartbeat.address) else {
            return;
        };
        if peer.superseded.contains(&heartbeat.incarnation) {
            return;
        }
        let known = peer.heartbeat.as_ref().map(|known| known.incarnation);
        if known.is_none_or(|known| known == heartbeat.incarnation) {
            peer.heartbeat = Some(heartbeat.clone());
            peer.last_heard = now;
        } else {
            peer.next_send = now;
        }
    }

    /// Applies the answer to a heartbeat that was sent to `address`.
    pub fn heartbeat_answered(
        &mut self,
        now: TimePoint,
        address: SocketAddr,
        heartbeat: &PeerHeartbeat,
    ) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.in_flight = false;
        }
        if heartbeat.address != address {
            // A seed may be an alias of the VM that answers, even of this VM.
            if let Some(peer) = self.peers.get_mut(&address) {
                peer.last_heard = now;
            }
            return self.heartbeat_received(now, heartbeat);
        }
        self.record_handovers(now, heartbeat);
        let Some(peer) = self.peer_mut(now, address) else {
            return;
        };
        if let Some(known) = peer.heartbeat.as_ref().map(|known| known.incarnation)
            && known != heartbeat.incarnation
        {
            peer.supersede(known);
        }
        peer.superseded.retain(|old| *old != heartbeat.incarnation);
        peer.heartbeat = Some(heartbeat.clone());
        peer.last_heard = now;
    }

    /// Records that a heartbeat got no answer.
    pub fn heartbeat_failed(&mut self, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.in_flight = false;
        }
    }

    /// Records that the owner's address answered a forwarded request as another incarnation.
    pub fn record_superseded(&mut self, now: TimePoint, owner: &OwnerPrefix) {
        if let Some(peer) = self.peer_mut(now, owner.address) {
            peer.supersede(owner.incarnation);
            if peer
                .heartbeat
                .as_ref()
                .is_some_and(|heartbeat| heartbeat.incarnation == owner.incarnation)
            {
                peer.heartbeat = None;
                peer.next_send = now;
            }
        }
    }

    /// Applies the platform's VM list.
    ///
    /// A list without entry VMs is ignored, because a correct list contains at least this VM.
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
                peer.missing_span = None;
            }
        }
        for (address, peer) in &mut self.peers {
            if !listed.contains(address) && (peer.listed || peer.missing_span.is_some()) {
                let first = peer.missing_span.map_or(now, |(first, _)| first);
                peer.missing_span = Some((first, now));
                peer.listed = false;
            }
        }
    }

    /// The targets of a VM list and their states.
    pub fn listed_targets(list: &VmList) -> impl Iterator<Item = (&TargetName, VmState)> {
        let is_target = |vm: &&VmEntry| vm.role == VmRole::Target;
        let targets = list.vms.iter().filter(is_target);
        targets.map(|vm| (&vm.name, vm.state))
    }

    /// Records a handover.
    pub fn record_handover(
        &mut self,
        now: TimePoint,
        notice: &HandoverNotice,
        source: HandoverSource,
    ) {
        let (age, propagated) = match source {
            HandoverSource::Direct { age } => (age, true),
            HandoverSource::Heartbeat => (Duration::ZERO, false),
        };
        let ttl = self.settings.handover_ttl.saturating_sub(age);
        if ttl.is_zero() {
            return;
        }
        if let Some(known) = self.handovers.get_mut(&notice.from) {
            known.propagated |= propagated;
            return;
        }
        let record = HandoverRecord {
            notice: notice.clone(),
            expires: now + ttl,
            propagated,
        };
        self.handovers.insert(notice.from, record);
        if self.handovers.len() > self.settings.handover_limit {
            self.evict_oldest_handover();
        }
    }

    fn record_handovers(&mut self, now: TimePoint, heartbeat: &PeerHeartbeat) {
        for notice in &heartbeat.handovers {
            self.record_handover(now, notice, HandoverSource::Heartbeat);
        }
    }

    fn evict_oldest_handover(&mut self) {
        let records = self.handovers.iter();
        let oldest = records.min_by_key(|(_, record)| record.expires);
        if let Some(oldest) = oldest.map(|(&from, _)| from) {
            self.handovers.remove(&oldest);
        }
    }

    /// The status of an owner.
    pub fn owner(&self, now: TimePoint, prefix: &OwnerPrefix) -> OwnerStatus {
        if prefix.incarnation == self.own.incarnation {
            return OwnerStatus::Local;
        }
        let Some(notice) = self.successor(now, prefix.incarnation) else {
            return self.process_status(now, prefix.address, prefix.incarnation);
        };
        let status = self.process_status(now, notice.address, notice.to);
        match notice.to != self.own.incarnation && status == OwnerStatus::Gone {
            true => OwnerStatus::Gone,
            false => OwnerStatus::HandedOver(notice.clone()),
        }
    }

    /// The status of another process, without regard to handovers.
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
            // A VM that started after the owner was removed never had the owner in its table. The
            // VM list shows new VMs well within the removal delay, so no VM has an address that the
            // list lacked for that long.
            return match self.is_list_conclusive(now) {
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
        // A seed that was replaced before this VM started is in the table although this VM never
        // saw it in the VM list.
        let silent = now.since(peer.last_heard) >= self.settings.removal_delay;
        let unlisted = !peer.listed && peer.missing_span.is_none() && silent;
        match peer.is_removed(&self.settings) || (unlisted && self.is_list_conclusive(now)) {
            true => OwnerStatus::Gone,
            false => OwnerStatus::Unreachable,
        }
    }

    /// Whether the VM list has been read recently and for at least the removal delay, so that an
    /// address that the list never contained belongs to no VM.
    fn is_list_conclusive(&self, now: TimePoint) -> bool {
        let margin = self.settings.removal_delay;
        self.list_reads
            .is_some_and(|(first, last)| last.since(first) >= margin && now.since(last) < margin)
    }

    /// The last handover of the chain that starts at `from`.
    fn successor(&self, now: TimePoint, from: IncarnationId) -> Option<&HandoverNotice> {
        let next = |from: IncarnationId| {
            let record = self.handovers.get(&from)?;
            (record.expires > now).then_some(&record.notice)
        };
        let first = next(from);
        std::iter::successors(first, |notice| next(notice.to))
            .take(HANDOVER_CHAIN_LIMIT)
            .last()
    }

    /// The ready entry VMs, which share the slots, in the order of their addresses. Includes this
    /// VM if it is ready.
    fn ready_vms(&self, now: TimePoint) -> Vec<(&ZoneName, SocketAddr)> {
        let peers = self.peers.values();
        let mut ready = peers
            .filter_map(|peer| peer.ready_heartbeat(now, &self.settings))
            .chain(Some(&self.own).filter(|own| own.ready && !own.leaving))
            .map(|heartbeat| (&heartbeat.zone, heartbeat.address))
            .collect::<Vec<_>>();
        ready.sort_by_key(|&(_, address)| address);
        ready
    }

    /// This VM's position among the live, ready entry VMs of its zone, or `None` while this VM is
    /// not ready.
    ///
    /// A draining VM continues to use its last share for its remaining tasks. Refusals by targets
    /// resolve the overlap with the VMs that received its slots.
    pub fn zone_share(&self, now: TimePoint) -> Option<SharePosition> {
        let mut ready = self.ready_vms(now);
        ready.retain(|&(zone, _)| *zone == self.own.zone);
        self.position_of(&ready)
    }

    /// This VM's position among the live, ready entry VMs of all zones, or `None` while this VM is
    /// not ready.
    pub fn fleet_share(&self, now: TimePoint) -> Option<SharePosition> {
        self.position_of(&self.ready_vms(now))
    }

    fn position_of(&self, ready: &[(&ZoneName, SocketAddr)]) -> Option<SharePosition> {
        let own = self.own.address;
        let position = ready.iter().position(|&(_, address)| address == own)?;
        Some(SharePosition {
            position: u32::try_from(position).expect("fewer than 2^32 VMs"),
            vms: u32::try_from(ready.len()).expect("fewer than 2^32 VMs"),
        })
    }

    /// The zones that have a live, ready entry VM.
    pub fn populated_zones(&self, now: TimePoint) -> Vec<ZoneName> {
        let ready = self.ready_vms(now).into_iter();
        let mut zones = ready.map(|(zone, _)| zone.clone()).collect::<Vec<_>>();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// The number of live, ready entry VMs in all zones, but at least one.
    pub fn live_vms(&self, now: TimePoint) -> u32 {
        let live = self.ready_vms(now).len().max(1);
        u32::try_from(live).expect("fewer than 2^32 VMs")
    }

    /// All known peers in the order of their addresses.
    pub fn views(&self, now: TimePoint) -> impl Iterator<Item = PeerView<'_>> {
        self.peers.iter().map(move |(&address, peer)| PeerView {
            address,
            heartbeat: peer.heartbeat.as_ref(),
            age: now.since(peer.last_heard),
            suspected: peer.is_suspected(now, &self.settings),
        })
    }

    /// The last heartbeats of the live peers, for example to choose one to load the configuration
    /// from.
    pub fn live_peers(&self, now: TimePoint) -> impl Iterator<Item = &PeerHeartbeat> {
        let live = move |peer: &&PeerState| !peer.is_suspected(now, &self.settings);
        let peers = self.peers.values().filter(live);
        peers.filter_map(|peer| peer.heartbeat.as_ref())
    }
}
