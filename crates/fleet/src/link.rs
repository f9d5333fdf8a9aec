//! The link to one peer, another entry VM.
//!
//! Messages are numbered and stay in the outbox until the peer acknowledges them, so that a broken
//! connection loses none. A VM that marks a peer lost drops the work that it did for the peer, and
//! counts the loss in its next envelopes; the raised counter tells the peer that the work was
//! dropped. Requests carry the count that their sender knew, so that a request from before a loss is
//! refused after it.
//!
//! Each envelope also names the message of the receiver that has arrived last. A peer is live only
//! while messages pass in both directions: it is marked lost when it has not heard this VM for too
//! long, even if its envelopes arrive. A holder renews the leases of a peer's runs for a limited time
//! after the latest message that the peer has named. The peer thus knows when its runs have ended,
//! whatever the holder has heard since.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_types::fleet::{
    CapacityReport, DemandClass, DemandReport, EnvelopeAck, FleetMessage, OriginContact,
    PeerEnvelope, PeerIdentity, PeerState,
};
use filbertpitch_types::prelude::*;

use crate::heartbeat::{HeartbeatPacing, HeartbeatSettings, PeerCounts, PeerLocality};
use crate::peer_clock::PeerClock;
use crate::registry::TargetInstance;

/// Intervals and time-outs of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Intervals between envelopes.
    pub heartbeat: HeartbeatSettings,
    /// The time between envelopes to a peer that has been lost for long.
    pub lost_interval: Duration,
    /// A request of a peer is refused unless it is certainly younger than this time. With a whole lease
    /// on a slow clock and `LEASE_MARGIN`, it must not exceed the time after which a client sends its job
    /// again.
    pub max_request_delay: Duration,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            heartbeat: HeartbeatSettings::default(),
            lost_interval: Duration::from_millis(1000),
            max_request_delay: Duration::from_millis(175),
        }
    }
}

/// The state of a peer as seen by the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkPhase {
    /// No envelope has shown the current process as live.
    NeverHeard {
        /// The time from which the silence of the process counts.
        since: TimePoint,
    },
    /// The peer was heard recently.
    Live,
    /// The peer has been silent for a short time.
    Silent,
    /// The peer is marked lost.
    Lost {
        /// When the peer was marked lost.
        since: TimePoint,
        /// Whether the process has certainly ended.
        dead: bool,
    },
}

/// A target that a peer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerHolding {
    /// The held target.
    pub target: TargetIndex,
    /// The fencing token of the holder.
    pub token: FencingToken,
    /// The instance that the holder has confirmed.
    pub instance: TargetInstance,
    /// Free capacity and speed of the target.
    pub report: CapacityReport,
}

/// A request to a peer for capacity that the peer's latest report may still show as free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingRequest {
    number: u64,
    target: TargetIndex,
    resources: ResourceVector,
}

/// Why a peer counts as lost although its link does not show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// Nothing listens at its address.
    ConnectionRefused,
    /// The leases of its runs end soon.
    LeasesExpire,
}

/// The end of the contact with a process of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LostContact {
    /// When the latest message of the process arrived that this VM has named to it. The process
    /// counts its own timeout from that message or from an earlier one.
    pub confirmed_at: TimePoint,
}

/// What an envelope changes.
#[derive(Debug, Default, PartialEq)]
pub struct LinkUpdate {
    /// New messages in their order.
    pub messages: Vec<FleetMessage>,
    /// Set if the peer has dropped its work for this VM, or was replaced by another process.
    pub work_dropped: Option<LostContact>,
    /// Whether the peer has become live.
    pub appeared: bool,
    /// Whether the peer's state or its holdings have changed.
    pub changed: bool,
}

/// When envelopes to a peer are due, as long as neither the link nor the number of live peers
/// changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EnvelopeTimes {
    /// When an envelope is due whatever tasks wait; `None` while one is in flight.
    pub due: Option<TimePoint>,
    /// The locality of the peer while it is live.
    pub live: Option<PeerLocality>,
    /// When an envelope is due if a task waits that is more urgent than `advertised`.
    urgent_due: TimePoint,
    /// When an envelope is due if another task waits.
    demand_due: TimePoint,
    /// The class of the most urgent waiting task in the last envelope.
    advertised: Option<DemandClass>,
}

impl EnvelopeTimes {
    /// Whether an envelope must be sent now. `most_urgent` is the class of the most urgent waiting
    /// task.
    pub fn is_due(&self, now: TimePoint, most_urgent: Option<DemandClass>) -> bool {
        let Some(due) = self.due else {
            return false;
        };
        let new_demand = self.live.is_some()
            && most_urgent.is_some_and(|class| {
                let more_urgent = self.advertised.is_none_or(|sent| class < sent);
                let due = match more_urgent {
                    true => self.urgent_due,
                    false => self.demand_due,
                };
                due <= now
            });
        new_demand || due <= now
    }
}

/// The message of the peer that was sent last among those that have arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LatestMessage {
    /// When it was sent, on the peer's clock.
    sent_at: TimePoint,
    arrived_at: TimePoint,
}

/// An envelope to the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SentEnvelope {
    number: EnvelopeNumber,
    sent_at: TimePoint,
}

/// An end of this VM's interest in jobs that it has forwarded to the peer, of which the peer may not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnstatedEnd {
    /// Until when the clients have certainly waited.
    clients_until: TimePoint,
    /// The first envelope that states the end.
    envelope: EnvelopeNumber,
}

/// A process that ran on the VM of the peer before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FormerProcess {
    incarnation: IncarnationId,
    /// The number of the next message expected from the process, in case the process turns out to
    /// be the running one after all.
    next_expected: u64,
}

/// The link to one peer.
#[derive(Clone, Debug)]
pub struct PeerLink {
    settings: LinkSettings,
    heartbeat: HeartbeatPacing,
    identity: PeerIdentity,
    /// Whether an envelope or acknowledgement of the process was received; otherwise the process is
    /// known only from elsewhere, such as its record in the platform's store.
    heard: bool,
    /// Since when the process in `identity` counts as the one that runs on the VM.
    process_since: TimePoint,
    /// Former processes on the VM of the peer.
    former: VecDeque<FormerProcess>,
    phase: LinkPhase,
    last_heard: TimePoint,
    /// The earliest time at which the process can have last known that its clients wait.
    last_sign_of_life: TimePoint,
    /// When each process that has forwarded jobs to the peer has given the peer its last sign of life.
    origins: BTreeMap<IncarnationId, TimePoint>,
    clock: PeerClock,
    state: PeerState,
    /// When the peer's process started.
    started_at: TimePoint,
    demand: DemandReport,
    /// When the report arrived.
    demand_since: TimePoint,
    /// The number of waiting tasks of the peer for which this VM may still offer capacity.
    offer_quota: u32,
    holdings_version: u32,
    holdings: Vec<PeerHolding>,
    next_expected: u64,
    peer_losses: LossCount,
    own_losses: LossCount,
    latest_message: Option<LatestMessage>,
    /// When the latest envelope of the peer was sent, on the peer's clock.
    latest_envelope: Option<TimePoint>,
    /// When the message arrived that the latest envelope named as the last one heard.
    named_message_at: Option<TimePoint>,
    /// When the last message was sent that the peer says it has heard.
    peer_heard_until: Option<TimePoint>,
    /// When the peer last shortened its interval: the messages that it names are older until it has
    /// sent two more envelopes.
    unheard_since: TimePoint,
    outbox: VecDeque<FleetMessage>,
    first_message: u64,
    pending_requests: VecDeque<PendingRequest>,
    /// Until when the peer gets no requests, because it has refused one as too old.
    late_until: TimePoint,
    /// Set while the peer may not know of an end of this VM's interest in forwarded jobs.
    unstated_end: Option<UnstatedEnd>,
    /// The envelope that is neither acknowledged nor known to have failed.
    in_flight: Option<SentEnvelope>,
    next_envelope: EnvelopeNumber,
    /// Whether the latest envelope was not acknowledged and nothing was heard since.
    unacked: bool,
    /// When the first unacknowledged envelope was sent, if nothing was heard since.
    unacked_since: Option<TimePoint>,
    last_sent: Option<TimePoint>,
    /// The class of the most urgent waiting task in the last envelope.
    advertised_class: Option<DemandClass>,
    acked_holdings: Option<u32>,
    /// The revision of the peer's record in the platform's store, and when it last rose.
    store_revision: Option<u64>,
    store_renewed_at: Option<TimePoint>,
    /// Whether an envelope is to be sent although the outbox is empty.
    envelope_requested: bool,
}

/// How long a lost peer is contacted as often as before, so that the end of a network partition is
/// noticed at once.
const RECENT_LOSS_WINDOW: Duration = Duration::from_secs(10);

/// How long a peer counts as alive after it has renewed its record in the platform's store.
const STORE_RENEWAL_TIMEOUT: Duration = Duration::from_millis(1800);

/// How long a statement about a VM that forwards jobs is kept: longer than it can permit runs.
const ORIGIN_RETENTION: Duration = Duration::from_secs(5);

/// The number of former processes of a VM that are remembered, so that their late envelopes can be
/// ignored.
const MAX_FORMER_PROCESSES: usize = 8;

impl PeerLink {
    /// A link to a VM that has not been heard yet.
    pub fn new(
        settings: LinkSettings,
        identity: PeerIdentity,
        locality: PeerLocality,
        now: TimePoint,
    ) -> Self {
        Self {
            heartbeat: HeartbeatPacing::new(settings.heartbeat.clone(), locality),
            settings,
            identity,
            heard: false,
            process_since: now,
            former: VecDeque::new(),
            phase: LinkPhase::NeverHeard { since: now },
            last_heard: now,
            last_sign_of_life: TimePoint(0),
            origins: BTreeMap::new(),
            clock: PeerClock::default(),
            state: PeerState::Starting,
            started_at: now,
            demand: DemandReport::default(),
            demand_since: now,
            offer_quota: 0,
            holdings_version: 0,
            holdings: Vec::new(),
            next_expected: 0,
            peer_losses: LossCount::default(),
            own_losses: LossCount::default(),
            latest_message: None,
            latest_envelope: None,
            named_message_at: None,
            peer_heard_until: None,
            unheard_since: now,
            outbox: VecDeque::new(),
            first_message: 0,
            pending_requests: VecDeque::new(),
            late_until: TimePoint(0),
            unstated_end: None,
            in_flight: None,
            next_envelope: EnvelopeNumber(0),
            unacked: false,
            unacked_since: None,
            last_sent: None,
            advertised_class: None,
            acked_holdings: None,
            store_revision: None,
            store_renewed_at: None,
            envelope_requested: false,
        }
    }

    /// The identity of the peer.
    pub fn identity(&self) -> &PeerIdentity {
        &self.identity
    }

    /// The intervals between envelopes.
    pub fn heartbeat(&self) -> &HeartbeatPacing {
        &self.heartbeat
    }

    /// The intervals between envelopes, for changes.
    pub fn heartbeat_mut(&mut self) -> &mut HeartbeatPacing {
        &mut self.heartbeat
    }

    /// The state of the peer as seen by the failure detector.
    pub fn phase(&self) -> LinkPhase {
        self.phase
    }

    /// Whether the peer was heard recently.
    pub fn is_live(&self) -> bool {
        self.phase == LinkPhase::Live
    }

    /// Whether the peer takes part in the assignment of targets.
    pub fn is_holder_candidate(&self) -> bool {
        let present = matches!(self.phase, LinkPhase::Live | LinkPhase::Silent);
        present && self.state == PeerState::Ready
    }

    /// Whether the peer's process is starting, or was not heard yet and may be about to start.
    pub fn is_awaited(&self) -> bool {
        let starting = self.is_live() && self.state == PeerState::Starting;
        starting || matches!(self.phase, LinkPhase::NeverHeard { .. })
    }

    /// Whether the peer can be asked to run tasks.
    pub fn accepts_work(&self, now: TimePoint) -> bool {
        self.is_live() && !self.unacked && self.late_until <= now
    }

    /// Records that the peer has refused a request because it may have been too old. The next ones would
    /// be refused as well, until the link or one of the VMs is faster.
    pub fn record_late_request(&mut self, now: TimePoint) {
        self.late_until = now + self.settings.max_request_delay;
    }

    /// The lifecycle stage that the peer has reported.
    pub fn state(&self) -> PeerState {
        self.state
    }

    /// When the peer's process started, as far as the peer was heard.
    pub fn started_at(&self) -> TimePoint {
        self.started_at
    }

    /// The waiting tasks that the peer has reported.
    pub fn demand(&self) -> &DemandReport {
        &self.demand
    }

    /// When the report of the peer's waiting tasks arrived.
    pub fn demand_since(&self) -> TimePoint {
        self.demand_since
    }

    /// Sets for how many of the reported waiting tasks this VM may offer capacity.
    pub fn set_offer_quota(&mut self, quota: u32) {
        self.offer_quota = quota.min(self.demand.tasks);
    }

    /// Whether this VM may offer capacity for a waiting task of the peer.
    pub fn has_offer_quota(&self) -> bool {
        self.is_live() && self.offer_quota > 0
    }

    /// Counts an offer for one of the waiting tasks.
    pub fn use_offer_quota(&mut self) {
        self.offer_quota = self.offer_quota.saturating_sub(1);
    }

    /// Records that no waiting task of the peer can use the offered capacity.
    pub fn clear_offer_quota(&mut self) {
        self.offer_quota = 0;
    }

    /// The targets that the peer holds.
    pub fn holdings(&self) -> &[PeerHolding] {
        &self.holdings
    }

    /// When the peer was last heard.
    pub fn last_heard(&self) -> TimePoint {
        self.last_heard
    }

    /// The earliest local time at which the process can have last known that clients wait for the jobs which
    /// it has forwarded to this VM: the sending of an envelope or a job, which are sent after an examination
    /// of the clients, or the time that an acknowledgement names. Zero before the first exchange with
    /// the process.
    pub fn last_sign_of_life(&self) -> TimePoint {
        self.last_sign_of_life
    }

    /// Records that the clients of the process have waited at `at` on its own clock.
    pub fn record_sign_of_life(&mut self, now: TimePoint, at: TimePoint) {
        if let Some(at) = self.clock.not_before(at) {
            self.last_sign_of_life = self.last_sign_of_life.max(at.min(now));
        }
    }

    /// Until when the peer has heard a process that has forwarded jobs to it, on the local clock, as the
    /// peer has stated.
    pub fn origin_heard_at(&self, process: IncarnationId) -> Option<TimePoint> {
        self.origins.get(&process).copied()
    }

    /// Records what an envelope states that was sent at `sent` or later.
    fn record_origins(&mut self, sent: TimePoint, contacts: &[OriginContact]) {
        self.origins
            .retain(|_, heard| sent.since(*heard) < ORIGIN_RETENTION);
        for contact in contacts {
            let heard = sent - Duration::from_millis(contact.silence_ms.into());
            let latest = self.origins.entry(contact.process).or_default();
            *latest = (*latest).max(heard);
        }
    }

    /// The maximum age of a message that the process has sent at `sent_at` on its own clock; `None`
    /// before the first exchange with the process.
    fn max_age(&self, now: TimePoint, sent_at: TimePoint) -> Option<Duration> {
        Some(now.since(self.clock.not_before(sent_at)?))
    }

    /// Whether a request that the process has made at `issued` on its own clock may be too old to be
    /// carried out.
    pub fn is_late_request(&self, now: TimePoint, issued: TimePoint) -> bool {
        self.max_age(now, issued)
            .is_none_or(|age| age >= self.settings.max_request_delay)
    }

    /// The free capacity of a target that the peer holds, less what was requested since the last
    /// report.
    pub fn free_capacity(&self, holding: &PeerHolding) -> ResourceVector {
        let requests = self.pending_requests.iter();
        let pending = requests.filter(|request| request.target == holding.target);
        pending.fold(holding.report.free, |free, request| {
            free - request.resources
        })
    }

    /// Appends a message to the outbox.
    pub fn push(&mut self, message: FleetMessage) {
        self.outbox.push_back(message);
    }

    /// Records that the message that was pushed last requests capacity on a target.
    pub fn record_request(&mut self, target: TargetIndex, resources: ResourceVector) {
        let number = self.first_message + self.outbox.len() as u64 - 1;
        self.pending_requests.push_back(PendingRequest {
            number,
            target,
            resources,
        });
    }

    /// The losses of this VM that the peer is known to have declared.
    pub fn peer_losses(&self) -> LossCount {
        self.peer_losses
    }

    /// Whether this VM may work for the peer at a request that the peer made when it knew of
    /// `losses`: an earlier request counts as dropped, and the end of a peer that is not live would
    /// go unnoticed.
    pub fn admits_request(&self, losses: LossCount) -> bool {
        self.is_live() && losses == self.own_losses
    }

    /// The send time of the latest message of this VM that the peer has named.
    pub fn peer_heard_until(&self) -> Option<TimePoint> {
        self.peer_heard_until
    }

    /// Replaces the process at the other end of the link.
    fn replace_process(&mut self, now: TimePoint, identity: &PeerIdentity) -> LostContact {
        let contact = self.lose_contact(now);
        if self.heard {
            if self.former.len() == MAX_FORMER_PROCESSES {
                self.former.pop_front();
            }
            self.former.push_back(FormerProcess {
                incarnation: self.identity.incarnation,
                next_expected: self.next_expected,
            });
        }
        let known = self.find_former(identity.incarnation);
        let known = known.and_then(|position| self.former.remove(position));
        self.heard = false;
        self.process_since = now;
        self.identity = identity.clone();
        self.heartbeat.reset_peer();
        self.last_sign_of_life = TimePoint(0);
        self.origins.clear();
        self.clock = PeerClock::default();
        self.state = PeerState::Starting;
        self.demand = DemandReport::default();
        self.holdings_version = 0;
        self.holdings.clear();
        // Messages that a process known from before repeats must not be delivered again.
        self.next_expected = known.map_or(0, |former| former.next_expected);
        self.peer_losses = LossCount::default();
        self.latest_message = None;
        self.latest_envelope = None;
        self.named_message_at = None;
        self.peer_heard_until = None;
        self.drop_messages();
        self.acked_holdings = None;
        self.unstated_end = None;
        // An envelope to the former process may be in flight until its time-out.
        self.in_flight = None;
        self.envelope_requested = true;
        contact
    }

    fn lose_contact(&self, now: TimePoint) -> LostContact {
        LostContact {
            confirmed_at: self.named_message_at.unwrap_or(now),
        }
    }

    /// Drops the outbox. The message numbers continue, because the process at the other end may
    /// have seen the earlier ones.
    fn drop_messages(&mut self) {
        self.own_losses = self.own_losses.next();
        self.first_message += self.outbox.len() as u64;
        self.outbox.clear();
        self.pending_requests.clear();
    }

    /// Applies the peer's record in the platform's store, whose `revision` rises with each
    /// renewal. Returns the end of the contact with the former process if another one has replaced
    /// it.
    pub fn observe_record(
        &mut self,
        identity: &PeerIdentity,
        revision: u64,
        now: TimePoint,
    ) -> Option<LostContact> {
        let renewed = self.store_revision.is_some_and(|former| revision > former);
        if renewed {
            self.store_renewed_at = Some(now);
        }
        self.store_revision = Some(revision);
        let known = identity.incarnation == self.identity.incarnation;
        let gone = self.find_former(identity.incarnation).is_some();
        // A record that was not renewed may be older than the latest envelope of the peer.
        let old = self.heard && !renewed;
        if known || gone || old || self.is_live() {
            return None;
        }
        let contact = self.replace_process(now, identity);
        self.phase = LinkPhase::NeverHeard { since: now };
        Some(contact)
    }

    /// Whether the peer is silent and an acknowledgement is missing: the peer may not receive the
    /// envelopes of this VM either.
    pub fn is_partitioned(&self) -> bool {
        self.phase == LinkPhase::Silent && self.unacked
    }

    /// Whether the peer is not live, but its process is not known to have ended.
    pub fn is_suspect(&self) -> bool {
        match self.phase {
            LinkPhase::NeverHeard { .. } | LinkPhase::Silent => true,
            LinkPhase::Live => false,
            LinkPhase::Lost { dead, .. } => !dead,
        }
    }

    /// Whether the peer is not live on this link, but has recently renewed its record in the
    /// platform's store.
    pub fn is_alive_in_store(&self, now: TimePoint) -> bool {
        let recent = self
            .store_renewed_at
            .is_some_and(|at| now.since(at) < STORE_RENEWAL_TIMEOUT);
        self.is_suspect() && recent
    }

    /// Whether a process was replaced by one that has itself been heard.
    pub fn is_former(&self, incarnation: IncarnationId) -> bool {
        self.heard && self.find_former(incarnation).is_some()
    }

    fn find_former(&self, incarnation: IncarnationId) -> Option<usize> {
        let mut former = self.former.iter();
        former.position(|process| process.incarnation == incarnation)
    }

    /// Applies an envelope. `resolve` finds the index of a target.
    pub fn receive<F>(&mut self, now: TimePoint, envelope: PeerEnvelope, resolve: F) -> LinkUpdate
    where
        F: FnMut(&TargetName) -> TargetIndex,
    {
        let mut update = LinkUpdate::default();
        if envelope.from.incarnation != self.identity.incarnation {
            let unused = matches!(self.phase, LinkPhase::NeverHeard { .. });
            let contact = self.replace_process(now, &envelope.from);
            update.work_dropped = (!unused).then_some(contact);
            self.phase = LinkPhase::NeverHeard { since: now };
        }
        self.heard = true;
        // Without a receiver, the envelope may name a message of a former process of this VM.
        let named = envelope.heard_until.filter(|named| *named <= now);
        if let (Some(_), Some(named)) = (envelope.to, named) {
            self.clock.observe(named, envelope.sent_at);
        }
        self.record_message(now, envelope.sent_at);
        self.record_sign_of_life(now, envelope.sent_at);
        // Envelopes may overtake each other.
        let is_latest = self.latest_envelope <= Some(envelope.sent_at);
        if is_latest {
            self.latest_envelope = Some(envelope.sent_at);
            self.unacked = false;
            self.unacked_since = None;
            let interval = Duration::from_millis(envelope.heartbeat_interval_ms.into());
            if self.heartbeat.record_peer_interval(interval) {
                self.unheard_since = now;
            }
        }
        // A delayed envelope shows that the peer was alive when it was sent, not that it is now.
        // Before the first exchange its delay is unknown and taken as zero: a peer that wrongly counts
        // as live is noticed by the time-outs, and its requests are refused until then.
        let age = self.max_age(now, envelope.sent_at);
        let delay = age.unwrap_or_default();
        if envelope.losses > self.peer_losses {
            self.peer_losses = envelope.losses;
            update.work_dropped = update.work_dropped.or(Some(self.lose_contact(now)));
            self.pending_requests.clear();
        }
        let heard = now - delay;
        if age.is_some() {
            self.record_origins(heard, &envelope.origins);
        }
        self.peer_heard_until = self.peer_heard_until.max(envelope.heard_until);
        if self.is_unheard_too_long(now) {
            // The peer marks this VM live again when it knows that its envelopes arrive.
            self.envelope_requested = true;
        } else if delay < self.heartbeat.silent_after() {
            update.appeared = !self.is_live();
            self.phase = LinkPhase::Live;
        }
        self.last_heard = self.last_heard.max(heard);
        update.changed = update.appeared || update.work_dropped.is_some();
        if is_latest {
            update.changed |= envelope.state != self.state;
            self.state = envelope.state;
            self.started_at = heard - Duration::from_millis(envelope.uptime_ms.into());
            self.demand = envelope.demand;
            self.demand_since = heard;
            update.changed |= self.apply_holdings(&envelope, resolve);
        }
        update.messages = self.take_messages(envelope);
        update
    }

    /// The messages of an envelope that were not delivered before.
    fn take_messages(&mut self, envelope: PeerEnvelope) -> Vec<FleetMessage> {
        self.prune_requests(envelope.next_expected);
        let skipped = self.next_expected.saturating_sub(envelope.first_message);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        // A gap means that the peer has marked this VM lost and dropped messages.
        self.next_expected = self.next_expected.max(envelope.first_message);
        let fresh = envelope.messages.into_iter().skip(skipped);
        let messages = fresh.collect::<Vec<_>>();
        self.next_expected += messages.len() as u64;
        messages
    }

    fn apply_holdings<F>(&mut self, envelope: &PeerEnvelope, mut resolve: F) -> bool
    where
        F: FnMut(&TargetName) -> TargetIndex,
    {
        let mut changed = false;
        if let Some(holdings) = &envelope.holdings {
            changed = self.holdings_version != envelope.holdings_version;
            self.holdings_version = envelope.holdings_version;
            let holdings = holdings.iter().map(|holding| PeerHolding {
                target: resolve(&holding.target),
                token: holding.token,
                instance: TargetInstance(holding.boot),
                report: CapacityReport::default(),
            });
            self.holdings = holdings.collect();
        }
        if envelope.holdings_version == self.holdings_version
            && envelope.capacities.len() == self.holdings.len()
        {
            for (holding, report) in self.holdings.iter_mut().zip(&envelope.capacities) {
                holding.report = *report;
            }
        }
        changed
    }

    /// Removes the requests that the peer had received before it made the capacity report.
    fn prune_requests(&mut self, next_expected: u64) {
        while let Some(request) = self.pending_requests.front()
            && request.number < next_expected
        {
            self.pending_requests.pop_front();
        }
    }

    /// Records that the interest of this VM in a job which it has forwarded to the peer has ended, and that
    /// the next envelope states so. Clients have certainly waited until `clients_until`.
    pub fn record_unstated_end(&mut self, clients_until: TimePoint) {
        let former = self.unstated_end.map(|end| end.clients_until);
        self.unstated_end = Some(UnstatedEnd {
            clients_until: former.map_or(clients_until, |former| former.min(clients_until)),
            envelope: self.next_envelope,
        });
    }

    /// Whether the peer may not know of an end of this VM's interest in forwarded jobs. Only an envelope,
    /// which states all ends, is a sign of life until then.
    pub fn has_unstated_end(&self) -> bool {
        self.unstated_end.is_some()
    }

    /// Records when a message of the peer was sent and has arrived.
    fn record_message(&mut self, now: TimePoint, sent_at: TimePoint) {
        let later = |latest: LatestMessage| sent_at > latest.sent_at;
        if self.latest_message.is_none_or(later) {
            self.latest_message = Some(LatestMessage {
                sent_at,
                arrived_at: now,
            });
        }
    }

    /// Whether the peer has heard this VM before, but not recently.
    fn is_unheard_too_long(&self, now: TimePoint) -> bool {
        let limit = self.heartbeat.unheard_after();
        self.peer_heard_until
            .is_some_and(|heard| now.since(heard.max(self.unheard_since)) >= limit)
    }

    /// The acknowledgement of an envelope that was applied. The caller must send it now. The clients of this
    /// VM were last known to wait at `examined_at`.
    pub fn ack(&self, now: TimePoint, own: IncarnationId, examined_at: TimePoint) -> EnvelopeAck {
        let unstated = self.unstated_end;
        let clients_until = unstated.map_or(examined_at, |end| end.clients_until.min(examined_at));
        EnvelopeAck {
            incarnation: own,
            accepted: true,
            next_expected: self.next_expected,
            holdings_version: self.holdings_version,
            sent_at: now,
            clients_until,
        }
    }

    /// When envelopes are due; `counts` are the live peers.
    pub fn envelope_times(&self, counts: PeerCounts) -> EnvelopeTimes {
        let after = |interval| {
            // The first envelope is due at once.
            self.last_sent
                .map_or(TimePoint(0), |sent: TimePoint| sent + interval)
        };
        let requested = !self.outbox.is_empty() || self.envelope_requested;
        let due = match requested {
            true => TimePoint(0),
            false => after(self.interval()),
        };
        EnvelopeTimes {
            due: self.in_flight.is_none().then_some(due),
            live: self.is_live().then_some(self.heartbeat.locality()),
            urgent_due: after(self.heartbeat.demand_spacing(counts, true)),
            demand_due: after(self.heartbeat.demand_spacing(counts, false)),
            advertised: self.advertised_class,
        }
    }

    /// Whether an envelope must be sent now; `counts` are the live peers.
    pub fn is_envelope_due(
        &self,
        now: TimePoint,
        most_urgent: Option<DemandClass>,
        counts: PeerCounts,
    ) -> bool {
        self.envelope_times(counts).is_due(now, most_urgent)
    }

    /// Requests that an envelope is sent as soon as possible.
    pub fn request_envelope(&mut self) {
        self.envelope_requested = true;
    }

    /// The latest time for the next envelope; `None` while one is in flight.
    pub fn heartbeat_due(&self) -> Option<TimePoint> {
        if self.in_flight.is_some() {
            return None;
        }
        let sent = self.last_sent.unwrap_or(TimePoint(0));
        Some(sent + self.interval())
    }

    fn interval(&self) -> Duration {
        match self.phase {
            LinkPhase::Lost { since, .. } if self.last_sent > Some(since + RECENT_LOSS_WINDOW) => {
                self.settings.lost_interval
            }
            _ if self.unacked_since.is_some() => self
                .heartbeat
                .own_interval()
                .min(self.settings.heartbeat.base_interval),
            _ => self.heartbeat.own_interval(),
        }
    }

    /// Whether acknowledgements have been missing for too long.
    fn is_unacked_too_long(&self, now: TimePoint) -> bool {
        self.unacked_since
            .is_some_and(|since| now.since(since) >= self.heartbeat.unacked_limit())
    }

    /// Whether the peer has not acknowledged this version of the holdings of this VM.
    pub fn needs_holdings(&self, version: u32) -> bool {
        self.acked_holdings != Some(version)
    }

    /// Completes an envelope from the common template. The caller must send it now.
    pub fn complete_envelope(
        &mut self,
        now: TimePoint,
        mut envelope: PeerEnvelope,
    ) -> (EnvelopeNumber, PeerEnvelope) {
        let number = self.next_envelope;
        self.next_envelope = number.next();
        self.in_flight = Some(SentEnvelope {
            number,
            sent_at: now,
        });
        self.envelope_requested = false;
        self.last_sent = Some(now);
        self.advertised_class = envelope.demand.class();
        let unknown = matches!(self.phase, LinkPhase::NeverHeard { .. });
        // Another process would take the time of the message for a time on its own clock.
        let addressed = !unknown || self.latest_message.is_some();
        envelope.to = addressed.then_some(self.identity.incarnation);
        envelope.losses = self.own_losses;
        envelope.heard_until = self.latest_message.map(|message| message.sent_at);
        self.named_message_at = self.latest_message.map(|message| message.arrived_at);
        envelope.heartbeat_interval_ms =
            u32::try_from(self.heartbeat.advertise().as_millis()).unwrap_or(u32::MAX);
        envelope.first_message = self.first_message;
        envelope.messages = self.outbox.iter().cloned().collect();
        envelope.next_expected = self.next_expected;
        if !self.needs_holdings(envelope.holdings_version) {
            envelope.holdings = None;
        }
        (number, envelope)
    }

    /// Whether the outcome of an envelope is awaited. The outcome of an envelope to a former process
    /// is not.
    pub fn is_in_flight(&self, number: EnvelopeNumber) -> bool {
        self.in_flight.is_some_and(|sent| sent.number == number)
    }

    /// Applies an acknowledgement. Returns the end of the contact with the former process if another
    /// one has sent the acknowledgement.
    pub fn handle_ack(&mut self, now: TimePoint, ack: &EnvelopeAck) -> Option<LostContact> {
        let acked = self.in_flight.take();
        if ack.incarnation != self.identity.incarnation {
            let identity = PeerIdentity {
                incarnation: ack.incarnation,
                ..self.identity.clone()
            };
            // The envelope was sent after the link had switched to the process in `identity`. So
            // the acknowledging process is the running one, and the envelopes received since then
            // from the process in `identity` were delayed. An earlier envelope would not show this.
            let sent_at = self.last_sent.filter(|sent| *sent >= self.process_since)?;
            let contact = self.replace_process(sent_at, &identity);
            self.heard = true;
            self.phase = LinkPhase::NeverHeard {
                since: self.last_heard,
            };
            return Some(contact);
        }
        if !ack.accepted {
            self.heartbeat.record_missing_ack();
            return None;
        }
        if let Some(acked) = acked {
            self.clock.observe(acked.sent_at, ack.sent_at);
            self.unstated_end
                .take_if(|unstated| unstated.envelope <= acked.number);
        }
        self.record_message(now, ack.sent_at);
        self.record_sign_of_life(now, ack.clients_until);
        self.request_confirmation(now);
        self.unacked = false;
        self.unacked_since = None;
        self.heartbeat.record_ack();
        self.acked_holdings = Some(ack.holdings_version);
        while self.first_message < ack.next_expected && self.outbox.pop_front().is_some() {
            self.first_message += 1;
        }
        None
    }

    /// After an interruption, tells the peer at once that its messages arrive again.
    fn request_confirmation(&mut self, now: TimePoint) {
        let recent = self
            .named_message_at
            .is_some_and(|named| now.since(named) < self.settings.heartbeat.base_interval);
        if !recent && matches!(self.phase, LinkPhase::Lost { .. }) {
            self.envelope_requested = true;
        }
    }

    /// Records that an envelope was not acknowledged.
    pub fn handle_send_failure(&mut self) {
        self.in_flight = None;
        self.unacked = true;
        self.unacked_since = self.unacked_since.or(self.last_sent);
        self.heartbeat.record_missing_ack();
    }

    /// Marks the peer lost if it has been silent, has not heard this VM, or acknowledgements have
    /// been missing for too long, or at once for a `reason` known from elsewhere. Returns the end of
    /// the contact if this call has marked the peer lost.
    pub fn check_liveness(
        &mut self,
        now: TimePoint,
        reason: Option<LossReason>,
    ) -> Option<LostContact> {
        let refused = reason == Some(LossReason::ConnectionRefused);
        let silence = match &mut self.phase {
            LinkPhase::Lost { dead, .. } => {
                *dead |= refused;
                return None;
            }
            LinkPhase::NeverHeard { since } => now.since(*since),
            LinkPhase::Live | LinkPhase::Silent => now.since(self.last_heard),
        };
        let is_silent_too_long = silence >= self.heartbeat.lost_after();
        let is_lost =
            is_silent_too_long || self.is_unheard_too_long(now) || self.is_unacked_too_long(now);
        if reason.is_some() || is_lost {
            let contact = self.lose_contact(now);
            self.mark_lost(now, refused);
            return Some(contact);
        }
        if self.is_live() && silence >= self.heartbeat.silent_after() {
            self.phase = LinkPhase::Silent;
        }
        None
    }

    fn mark_lost(&mut self, now: TimePoint, dead: bool) {
        self.phase = LinkPhase::Lost { since: now, dead };
        self.unacked_since = None;
        self.drop_messages();
        self.holdings.clear();
        self.holdings_version = 0;
        self.acked_holdings = None;
        self.demand = DemandReport::default();
    }
}
