//! The exchange with one other entry VM.
//!
//! Messages are numbered and stay in the outbox until the peer confirms them, so that a broken
//! connection loses none. When either side gives the other up, it drops what it did for it, and the
//! other side learns of that by the count of losses.

use std::collections::VecDeque;
use std::time::Duration;

use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_types::fleet::{
    CapacityReport, DemandClass, DemandReport, EnvelopeAck, FleetMessage, PeerEnvelope,
    PeerIdentity, PeerState,
};
use filbertpitch_types::prelude::*;

use crate::clock::DelayMeter;
use crate::pace::{LinkPace, PaceSettings, PeerCounts, PeerDistance};

/// When peers are contacted and given up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Intervals between envelopes.
    pub pace: PaceSettings,
    /// The time between envelopes to a peer that was given up long ago.
    pub lost_interval: Duration,
    /// The age at which a request of a peer is refused.
    pub stale_after: Duration,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            pace: PaceSettings::default(),
            lost_interval: Duration::from_millis(1000),
            stale_after: Duration::from_millis(250),
        }
    }
}

/// Whether a peer is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkPhase {
    /// Nothing was heard of it yet.
    Unheard {
        /// When it was first contacted.
        since: TimePoint,
    },
    /// It was heard lately.
    Live,
    /// It was not heard lately.
    Silent,
    /// It was given up.
    Lost {
        /// When.
        since: TimePoint,
        /// Whether it is certain that its process has ended.
        dead: bool,
    },
}

/// A target that a peer holds, and its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerHolding {
    /// The target.
    pub target: TargetIndex,
    /// The token under which it is held.
    pub token: FencingToken,
    /// Its state.
    pub report: CapacityReport,
}

/// A request to a peer that its reports may not include yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenRequest {
    number: u64,
    target: TargetIndex,
    room: ResourceVector,
}

/// What an envelope changes.
#[derive(Debug, Default, PartialEq)]
pub struct LinkNews {
    /// New messages in their order.
    pub messages: Vec<FleetMessage>,
    /// Whether the peer has dropped what it did for this VM, or was replaced.
    pub dropped: bool,
    /// Whether the peer is heard again.
    pub appeared: bool,
    /// Whether the peer's state or its holdings differ from before.
    pub changed: bool,
}

/// A process that was heard on a VM before another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FormerProcess {
    incarnation: IncarnationId,
    /// The number of its next message, in case that it turns out to run.
    next_expected: u64,
}

/// The exchange with one peer.
#[derive(Clone, Debug)]
pub struct PeerLink {
    settings: LinkSettings,
    pace: LinkPace,
    identity: PeerIdentity,
    /// Whether the process was heard itself; otherwise only the platform's store tells of it.
    heard: bool,
    /// Since when it counts as the process on the VM.
    adopted_at: TimePoint,
    /// Processes that were heard on the VM before.
    former: VecDeque<FormerProcess>,
    phase: LinkPhase,
    last_heard: TimePoint,
    delays: DelayMeter,
    state: PeerState,
    demand: DemandReport,
    /// How many of the tasks that wait there this VM may still offer room for.
    offer_quota: u32,
    holdings_version: u32,
    holdings: Vec<PeerHolding>,
    next_expected: u64,
    their_losses: u32,
    own_losses: u32,
    outbox: VecDeque<FleetMessage>,
    first_message: u64,
    open_requests: VecDeque<OpenRequest>,
    in_flight: bool,
    /// Whether the latest envelope got no receipt, and nothing was heard since.
    doubtful: bool,
    /// When the first envelope was sent that got no receipt, if nothing was heard since.
    unanswered_since: Option<TimePoint>,
    /// Whether the peer was given up because envelopes got no receipt.
    lost_unanswered: bool,
    last_sent: Option<TimePoint>,
    /// The class of the most urgent task that the last envelope told of.
    sent_class: Option<DemandClass>,
    confirmed_holdings: Option<u32>,
    /// The peer's mark in the platform's store, and when it rose.
    mark: Option<u64>,
    marked_at: Option<TimePoint>,
    /// Whether an envelope is wanted although no message waits.
    hurried: bool,
}

/// How long a peer that was given up is contacted as often as before, so that the end of a cut is
/// noticed at once.
const RECENT_LOSS: Duration = Duration::from_secs(10);

/// How long a peer that makes itself known in the platform's store counts as alive.
const SIGHTING_LIFE: Duration = Duration::from_millis(1800);

/// How many former processes of a VM are remembered, to ignore what they sent last.
const FORMER_LIMIT: usize = 8;

impl PeerLink {
    /// A link to a VM that was not heard yet.
    pub fn new(
        settings: LinkSettings,
        identity: PeerIdentity,
        distance: PeerDistance,
        now: TimePoint,
    ) -> Self {
        Self {
            pace: LinkPace::new(settings.pace.clone(), distance),
            settings,
            identity,
            heard: false,
            adopted_at: now,
            former: VecDeque::new(),
            phase: LinkPhase::Unheard { since: now },
            last_heard: now,
            delays: DelayMeter::default(),
            state: PeerState::Starting,
            demand: DemandReport::default(),
            offer_quota: 0,
            holdings_version: 0,
            holdings: Vec::new(),
            next_expected: 0,
            their_losses: 0,
            own_losses: 0,
            outbox: VecDeque::new(),
            first_message: 0,
            open_requests: VecDeque::new(),
            in_flight: false,
            doubtful: false,
            unanswered_since: None,
            lost_unanswered: false,
            last_sent: None,
            sent_class: None,
            confirmed_holdings: None,
            mark: None,
            marked_at: None,
            hurried: false,
        }
    }

    /// The peer.
    pub fn identity(&self) -> &PeerIdentity {
        &self.identity
    }

    /// How often envelopes are exchanged.
    pub fn pace(&self) -> &LinkPace {
        &self.pace
    }

    /// How often envelopes are exchanged, for changes.
    pub fn pace_mut(&mut self) -> &mut LinkPace {
        &mut self.pace
    }

    /// Whether it is there.
    pub fn phase(&self) -> LinkPhase {
        self.phase
    }

    /// Whether it was heard lately.
    pub fn is_live(&self) -> bool {
        self.phase == LinkPhase::Live
    }

    /// Whether it takes part in the assignment of targets.
    pub fn is_seated(&self) -> bool {
        let present = matches!(self.phase, LinkPhase::Live | LinkPhase::Silent);
        present && self.state == PeerState::Ready
    }

    /// Whether it can be asked to run tasks.
    pub fn takes_work(&self) -> bool {
        self.is_live() && !self.doubtful
    }

    /// Where it is in its life.
    pub fn state(&self) -> PeerState {
        self.state
    }

    /// The tasks that wait there.
    pub fn demand(&self) -> DemandReport {
        self.demand
    }

    /// Sets how many of the tasks that were reported this VM may offer room for.
    pub fn allow_offers(&mut self, quota: u32) {
        self.offer_quota = quota.min(self.demand.tasks);
    }

    /// Whether this VM may offer room for a task that waits there.
    pub fn may_be_offered(&self) -> bool {
        self.is_live() && self.offer_quota > 0
    }

    /// Counts a task that was offered room, so that it is not offered room again.
    pub fn serve_demand(&mut self) {
        self.offer_quota = self.offer_quota.saturating_sub(1);
    }

    /// Records that nothing that waits there can use the offered room.
    pub fn clear_demand(&mut self) {
        self.offer_quota = 0;
    }

    /// The targets that it holds.
    pub fn holdings(&self) -> &[PeerHolding] {
        &self.holdings
    }

    /// When it was heard last.
    pub fn last_heard(&self) -> TimePoint {
        self.last_heard
    }

    /// How long a request that was issued at `issued`, on the peer's clock, was on its way.
    pub fn age(&self, issued: TimePoint, now: TimePoint) -> Duration {
        self.delays.age(issued, now)
    }

    /// The room that is free on a target that the peer holds, without what was requested since its
    /// last report.
    pub fn free_room(&self, holding: &PeerHolding) -> ResourceVector {
        let requests = self.open_requests.iter();
        let pending = requests.filter(|request| request.target == holding.target);
        pending.fold(holding.report.free, |free, request| free - request.room)
    }

    /// Puts a message into the outbox.
    pub fn push(&mut self, message: FleetMessage) {
        self.outbox.push_back(message);
    }

    /// Records that the message that was pushed last requests room on a target.
    pub fn note_request(&mut self, target: TargetIndex, room: ResourceVector) {
        let number = self.first_message + self.outbox.len() as u64 - 1;
        self.open_requests.push_back(OpenRequest {
            number,
            target,
            room,
        });
    }

    /// Replaces the process at the other end.
    fn replace(&mut self, now: TimePoint, identity: &PeerIdentity) {
        if self.heard {
            if self.former.len() == FORMER_LIMIT {
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
        self.adopted_at = now;
        self.identity = identity.clone();
        self.pace.forget_peer();
        self.delays = DelayMeter::default();
        self.state = PeerState::Starting;
        self.demand = DemandReport::default();
        self.holdings_version = 0;
        self.holdings.clear();
        // Messages that it repeats must have no further effect.
        self.next_expected = known.map_or(0, |former| former.next_expected);
        self.their_losses = 0;
        self.drop_messages();
        self.confirmed_holdings = None;
    }

    /// Drops what was to be sent. The numbers go on, because the process at the other end may be
    /// one that has seen the earlier ones.
    fn drop_messages(&mut self) {
        self.own_losses += 1;
        self.first_message += self.outbox.len() as u64;
        self.outbox.clear();
        self.open_requests.clear();
    }

    /// Takes over the peer's record in the platform's store; `mark` rises with each renewal.
    /// Returns whether the former process is gone.
    pub fn note_record(&mut self, identity: &PeerIdentity, mark: u64, now: TimePoint) -> bool {
        let renewed = self.mark.is_some_and(|former| mark > former);
        if renewed {
            self.marked_at = Some(now);
        }
        self.mark = Some(mark);
        let known = identity.incarnation == self.identity.incarnation;
        let gone = self.find_former(identity.incarnation).is_some();
        // A record that was not renewed may be older than what the peer has said itself.
        let old = self.heard && !renewed;
        if known || gone || old || self.is_live() {
            return false;
        }
        self.replace(now, identity);
        self.phase = LinkPhase::Unheard { since: now };
        true
    }

    /// Whether the peer is not heard and its envelopes get no receipt, so that it may not hear this VM
    /// either.
    pub fn is_cut(&self) -> bool {
        self.phase == LinkPhase::Silent && self.doubtful
    }

    /// Whether the peer may be alive although it is not heard.
    pub fn is_suspect(&self) -> bool {
        match self.phase {
            LinkPhase::Unheard { .. } | LinkPhase::Silent => true,
            LinkPhase::Live => false,
            LinkPhase::Lost { dead, .. } => !dead,
        }
    }

    /// Whether the peer is alive by its marks in the platform's store, although it is not heard.
    pub fn is_alive_elsewhere(&self, now: TimePoint) -> bool {
        let recent = self
            .marked_at
            .is_some_and(|at| now.since(at) < SIGHTING_LIFE);
        self.is_suspect() && recent
    }

    /// Whether a process has been replaced by one that was heard itself.
    pub fn is_former(&self, incarnation: IncarnationId) -> bool {
        self.heard && self.find_former(incarnation).is_some()
    }

    fn find_former(&self, incarnation: IncarnationId) -> Option<usize> {
        let mut former = self.former.iter();
        former.position(|process| process.incarnation == incarnation)
    }

    /// Takes over an envelope. `resolve` finds the index of a target.
    pub fn receive<F>(&mut self, now: TimePoint, envelope: PeerEnvelope, resolve: F) -> LinkNews
    where
        F: FnMut(&TargetName) -> TargetIndex,
    {
        let mut news = LinkNews::default();
        if envelope.from.incarnation != self.identity.incarnation {
            news.dropped = !matches!(self.phase, LinkPhase::Unheard { .. });
            self.replace(now, &envelope.from);
            self.phase = LinkPhase::Unheard { since: now };
        }
        self.heard = true;
        self.doubtful = false;
        self.unanswered_since = None;
        self.pace
            .learn(Duration::from_millis(envelope.heartbeat_interval_ms.into()));
        // An envelope that was held up on its way says little about now.
        let age = self.delays.age(envelope.sent_at, now);
        self.delays.observe(envelope.sent_at, now);
        if envelope.losses > self.their_losses {
            self.their_losses = envelope.losses;
            news.dropped = true;
            self.open_requests.clear();
        }
        let heard = now - age;
        if age < self.pace.silent_after() {
            news.appeared = !self.is_live();
            self.phase = LinkPhase::Live;
        }
        self.last_heard = self.last_heard.max(heard);
        news.changed = news.appeared || news.dropped || envelope.state != self.state;
        self.state = envelope.state;
        self.demand = envelope.demand;
        news.changed |= self.take_holdings(&envelope, resolve);
        self.forget_requests(envelope.next_expected);
        let skipped = self.next_expected.saturating_sub(envelope.first_message);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        // A gap means that the peer has given this VM up and dropped messages.
        self.next_expected = self.next_expected.max(envelope.first_message);
        let fresh = envelope.messages.into_iter().skip(skipped);
        news.messages = fresh.collect();
        self.next_expected += news.messages.len() as u64;
        news
    }

    fn take_holdings<F>(&mut self, envelope: &PeerEnvelope, mut resolve: F) -> bool
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

    /// Forgets requests that the peer's report includes.
    fn forget_requests(&mut self, next_expected: u64) {
        while let Some(request) = self.open_requests.front()
            && request.number < next_expected
        {
            self.open_requests.pop_front();
        }
    }

    /// The answer to an envelope that was taken over.
    pub fn receipt(&self, own: IncarnationId) -> EnvelopeAck {
        EnvelopeAck {
            incarnation: own,
            accepted: true,
            next_expected: self.next_expected,
            holdings_version: self.holdings_version,
        }
    }

    /// Whether an envelope is to be sent now; `counts` are the live peers.
    pub fn wants_envelope(
        &self,
        now: TimePoint,
        most_urgent: Option<DemandClass>,
        counts: PeerCounts,
    ) -> bool {
        if self.in_flight {
            return false;
        }
        let quiet = self.last_sent.map(|sent| now.since(sent));
        let due = |interval: Duration| quiet.is_none_or(|quiet| quiet >= interval);
        let new_demand = self.is_live()
            && most_urgent.is_some_and(|class| {
                let more_urgent = self.sent_class.is_none_or(|sent| class < sent);
                due(self.pace.demand_spacing(counts, more_urgent))
            });
        !self.outbox.is_empty() || self.hurried || new_demand || due(self.interval())
    }

    /// Sends the next envelope as soon as possible.
    pub fn hurry(&mut self) {
        self.hurried = true;
    }

    /// When an envelope must be sent at the latest.
    pub fn beat_due(&self) -> Option<TimePoint> {
        if self.in_flight {
            return None;
        }
        let sent = self.last_sent.unwrap_or(TimePoint(0));
        Some(sent + self.interval())
    }

    fn interval(&self) -> Duration {
        match self.phase {
            LinkPhase::Lost { since, .. } if self.last_sent > Some(since + RECENT_LOSS) => {
                self.settings.lost_interval
            }
            _ if self.unanswered_since.is_some() => {
                self.pace.own_beat().min(self.settings.pace.beat_interval)
            }
            _ => self.pace.own_beat(),
        }
    }

    /// Whether the peer was given up because envelopes got no receipt. It may have heard them all the same.
    pub fn was_lost_unanswered(&self) -> bool {
        self.lost_unanswered && matches!(self.phase, LinkPhase::Lost { .. })
    }

    /// Whether envelopes got no receipt for too long.
    fn is_unanswered(&self, now: TimePoint) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) >= self.pace.unanswered_limit())
    }

    /// Completes an envelope that goes out now.
    pub fn fill(&mut self, now: TimePoint, mut envelope: PeerEnvelope) -> PeerEnvelope {
        self.in_flight = true;
        self.hurried = false;
        self.last_sent = Some(now);
        self.sent_class = envelope.demand.class();
        let unknown = matches!(self.phase, LinkPhase::Unheard { .. });
        envelope.to = (!unknown).then_some(self.identity.incarnation);
        envelope.losses = self.own_losses;
        envelope.heartbeat_interval_ms =
            u32::try_from(self.pace.tell().as_millis()).unwrap_or(u32::MAX);
        envelope.first_message = self.first_message;
        envelope.messages = self.outbox.iter().cloned().collect();
        envelope.next_expected = self.next_expected;
        if self.confirmed_holdings == Some(envelope.holdings_version) {
            envelope.holdings = None;
        }
        envelope
    }

    /// Takes over a receipt. Returns whether the process at the other end is another one, so that
    /// the former one is gone.
    pub fn confirmed(&mut self, receipt: &EnvelopeAck) -> bool {
        self.in_flight = false;
        if receipt.incarnation != self.identity.incarnation {
            let identity = PeerIdentity {
                incarnation: receipt.incarnation,
                ..self.identity.clone()
            };
            // The process has answered an envelope that was sent after the other one was adopted:
            // what was heard of that one since was held up on its way.
            let Some(asked_at) = self.last_sent.filter(|sent| *sent >= self.adopted_at) else {
                return false;
            };
            self.replace(asked_at, &identity);
            self.heard = true;
            self.phase = LinkPhase::Unheard {
                since: self.last_heard,
            };
            return true;
        }
        if !receipt.accepted {
            self.pace.doubt();
            return false;
        }
        self.doubtful = false;
        self.unanswered_since = None;
        self.pace.confirm();
        self.confirmed_holdings = Some(receipt.holdings_version);
        while self.first_message < receipt.next_expected && self.outbox.pop_front().is_some() {
            self.first_message += 1;
        }
        false
    }

    /// Records that an envelope got no receipt.
    pub fn failed(&mut self) {
        self.in_flight = false;
        self.doubtful = true;
        self.unanswered_since = self.unanswered_since.or(self.last_sent);
        self.pace.doubt();
    }

    /// Gives the peer up when nothing was heard for too long, or at once when `refused` says that
    /// nothing listens there. Returns whether it was given up now.
    pub fn judge(&mut self, now: TimePoint, refused: bool) -> bool {
        let quiet = match &mut self.phase {
            LinkPhase::Lost { dead, .. } => {
                *dead |= refused;
                return false;
            }
            LinkPhase::Unheard { since } => now.since(*since),
            LinkPhase::Live | LinkPhase::Silent => now.since(self.last_heard),
        };
        let unheard = quiet >= self.pace.lost_after();
        if refused || unheard || self.is_unanswered(now) {
            self.lost_unanswered = !refused && !unheard;
            self.give_up(now, refused);
            return true;
        }
        if self.is_live() && quiet >= self.pace.silent_after() {
            self.phase = LinkPhase::Silent;
        }
        false
    }

    fn give_up(&mut self, now: TimePoint, dead: bool) {
        self.phase = LinkPhase::Lost { since: now, dead };
        self.unanswered_since = None;
        self.drop_messages();
        self.holdings.clear();
        self.holdings_version = 0;
        self.confirmed_holdings = None;
        self.demand = DemandReport::default();
    }
}
