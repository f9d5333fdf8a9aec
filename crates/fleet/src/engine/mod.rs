//! The dispatcher of one entry VM of a fleet: it takes events and returns actions.
//!
//! The engine is both coordinator and holder. A message between the two roles of one VM takes the
//! same path as one between VMs, except for the network.

mod admission;
mod cancels;
mod capacities;
mod crashes;
mod event;
mod examination;
mod forwarding;
mod holding;
mod jobs;
mod kinds;
mod offers;
mod peers;
mod placement;
mod runs;
mod settings;
mod shedding;
mod takeover;
mod view;
mod zones;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use filbertpitch_dispatch::entity::{JobKey, NameInterner, TargetIndex, VmIndex};
use filbertpitch_dispatch::timer::TimerService;
use filbertpitch_types::fleet::{FleetMessage, PeerIdentity, PeerState};
use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use typed_index_collections::TiVec;

use crate::blocked::BlockedRequests;
use crate::cancellation::{CancelTable, CancelToken};
use crate::capacity_watch::CapacityWatch;
use crate::catalog::QueueCatalog;
use crate::closed_zones::ClosedZones;
use crate::crash_log::CrashLog;
use crate::held::HeldTarget;
use crate::job_routing::{JobRouter, ReceivedJob};
use crate::job_table::{JobTable, TaskRef};
use crate::kind_speed::KindSpeeds;
use crate::link_table::LinkTable;
use crate::offers::{OfferTable, OfferedRates};
use crate::registry::TargetRegistry;
use crate::response_timeout::LossDetector;
use crate::shedding::LoadShedder;
use crate::zone_probe::ZoneProber;

pub use self::event::{FleetAction, FleetEvent, FleetNotice, ZoneSource};
pub use self::examination::{ClientExamination, EndedClients, ExaminationRequest};
pub use self::forwarding::{ForwardOrigin, JobRoute};
pub use self::settings::FleetSettings;
pub use self::view::{EngineView, FleetCounters};

/// The index of this VM, which is the first name to be interned.
const OWN_VM_INDEX: usize = 0;

/// What is due when a timer of the engine fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TimerTopic {
    /// The client of a job stops waiting for its answer.
    JobDeadline(JobKey),
    /// The answer to a job may come too late to be of use.
    JobTooLate(JobKey),
    /// The last lease of an orphaned run has certainly expired.
    OrphanExpired(TaskRef),
    /// Held targets are compared with the assignment.
    Reconcile,
    /// The load is sampled for the log.
    Sample,
    /// Tasks that wait for a fast target are considered again.
    FastWait,
    /// The answers of other VMs to a cancel are late.
    CancelLate(CancelToken),
}

/// A target's refusal of this VM's token, because it has seen a higher one.
#[derive(Clone, Copy, Debug)]
struct TokenRefusal {
    /// When the last refusal was received.
    at: TimePoint,
    /// The token that was refused.
    token: FencingToken,
    /// The number of consecutive refusals.
    count: u32,
}

/// The seed addresses at which no peer is known, for a state of the links and the seeds.
#[derive(Debug, Default)]
struct UnknownSeeds {
    addresses: Vec<SocketAddr>,
    /// The version of the addresses of peers, and the number of seeds.
    computed_for: Option<(u64, usize)>,
}

/// The dispatcher of one entry VM.
#[derive(Debug)]
pub struct FleetEngine {
    settings: FleetSettings,
    identity: PeerIdentity,
    clock: ClockReading,
    started_at: TimePoint,
    /// The latest time at which all clients with unanswered jobs had not left.
    examined_at: TimePoint,
    /// The number of the latest event, and of the latest one that preceded an examination of the clients.
    event: u64,
    examined_event: u64,
    /// When this VM became ready, last lost a peer or last found one.
    membership_changed_at: TimePoint,
    state: PeerState,
    /// When a draining process answers the jobs that are not finished.
    drain_ends_at: Option<TimePoint>,
    catalog: QueueCatalog,
    registry: TargetRegistry,
    closed_zones: ClosedZones,
    kind_speeds: KindSpeeds,
    /// Whether a timer for tasks that wait for a fast target is set.
    fast_wait_set: bool,
    /// What is known of the capacities while the list of targets cannot be read.
    capacity_watch: CapacityWatch,
    targets_listed: bool,
    peers_listed: bool,
    vms: NameInterner<VmIndex, VmName>,
    /// The links to the other VMs; the first element stands for this VM and is always empty.
    links: LinkTable,
    /// Addresses where peers may listen, and when each was last contacted.
    seeds: BTreeMap<SocketAddr, TimePoint>,
    /// The seed addresses at which no peer is known.
    unknown_seeds: UnknownSeeds,
    held: BTreeMap<TargetIndex, HeldTarget>,
    blocked_requests: BlockedRequests,
    /// Rises with each change of the held targets, their tokens or their instances.
    holdings_version: u32,
    /// The VM that each target is assigned to.
    assigned_holders: TiVec<TargetIndex, Option<VmIndex>>,
    /// Whether held targets must be compared with the assignment.
    reconcile_due: bool,
    /// Whether `assigned_holders` must be computed anew.
    assignment_stale: bool,
    /// The peer that last reported to hold each target.
    last_holders: BTreeMap<TargetIndex, VmIndex>,
    /// The results of reachability probes, for each availability zone with claimable targets.
    zone_probers: BTreeMap<ZoneName, ZoneProber>,
    /// The targets that refused this VM's token.
    token_refusals: BTreeMap<TargetIndex, TokenRefusal>,
    /// The highest token that peers have reported for each target.
    seen_tokens: BTreeMap<TargetIndex, FencingToken>,
    /// The last token that this VM chose.
    last_token: FencingToken,
    jobs: JobTable,
    /// Which VM coordinates new jobs, and the jobs that were forwarded from and to this VM.
    router: JobRouter,
    /// The recent crashes of targets and the tasks that the targets had.
    crash_log: CrashLog,
    cancels: CancelTable,
    offered_rates: OfferedRates,
    shedder: LoadShedder,
    /// Whether waiting tasks must be matched with free capacity again.
    placement_due: bool,
    offers: OfferTable,
    /// Whether responses of targets are being lost.
    loss_detector: LossDetector,
    timers: TimerService<TimerTopic>,
    inbox: VecDeque<(VmIndex, FleetMessage)>,
    counters: FleetCounters,
    actions: Vec<FleetAction>,
    rng: ChaCha8Rng,
}

impl FleetEngine {
    /// An engine without configuration and targets. `seed` drives the random rounding of offer
    /// quotas and the spread of retry hints.
    pub fn new(
        settings: FleetSettings,
        identity: PeerIdentity,
        clock: ClockReading,
        seed: u64,
    ) -> Self {
        let mut vms = NameInterner::default();
        vms.intern(&identity.vm);
        let mut timers = TimerService::default();
        timers.subscribe(clock.time, TimerTopic::Reconcile);
        timers.subscribe(clock.time + settings.sample_interval, TimerTopic::Sample);
        let router = JobRouter::new(settings.routing.clone(), identity.processor);
        Self {
            settings,
            identity,
            clock,
            started_at: clock.time,
            examined_at: clock.time,
            event: 0,
            examined_event: 0,
            membership_changed_at: clock.time,
            state: PeerState::Starting,
            drain_ends_at: None,
            catalog: QueueCatalog::default(),
            registry: TargetRegistry::default(),
            closed_zones: ClosedZones::default(),
            kind_speeds: KindSpeeds::default(),
            fast_wait_set: false,
            capacity_watch: CapacityWatch::default(),
            targets_listed: false,
            peers_listed: false,
            vms,
            links: LinkTable::default(),
            seeds: BTreeMap::new(),
            unknown_seeds: UnknownSeeds::default(),
            held: BTreeMap::new(),
            blocked_requests: BlockedRequests::default(),
            holdings_version: 0,
            assigned_holders: TiVec::new(),
            reconcile_due: true,
            assignment_stale: true,
            last_holders: BTreeMap::new(),
            zone_probers: BTreeMap::new(),
            token_refusals: BTreeMap::new(),
            seen_tokens: BTreeMap::new(),
            last_token: FencingToken(0),
            jobs: JobTable::default(),
            router,
            crash_log: CrashLog::default(),
            cancels: CancelTable::default(),
            offered_rates: OfferedRates::default(),
            shedder: LoadShedder::default(),
            placement_due: false,
            offers: OfferTable::default(),
            loss_detector: LossDetector::default(),
            timers,
            inbox: VecDeque::new(),
            counters: FleetCounters::default(),
            actions: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Handles an event. Time must not go backwards from call to call.
    pub fn handle(&mut self, clock: ClockReading, event: FleetEvent) {
        self.advance(clock);
        self.apply_event(event);
        self.process_pending();
    }

    fn apply_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Configured(configuration) => self.configure(configuration),
            FleetEvent::ZonesRead(read) => self.read_zones(read),
            FleetEvent::TargetsChanged(notices) => self.update_targets(notices),
            FleetEvent::TargetsListed => self.finish_listing(),
            FleetEvent::PeersFound(peers) => self.update_peers(peers),
            FleetEvent::SeedsFound(seeds) => self.add_seeds(seeds),
            FleetEvent::EnvelopeAcked { peer, number, ack } => {
                self.receive_ack(peer, number, &ack);
            }
            FleetEvent::EnvelopeFailed {
                peer,
                number,
                refused,
            } => self.receive_envelope_failure(peer, number, refused),
            FleetEvent::JobSubmitted {
                caller,
                queue,
                spec: order,
                client_timeout,
            } => self.submit_job(caller, queue, order, client_timeout),
            FleetEvent::JobReceived {
                origin,
                forwarded_at,
                caller,
                queue,
                spec,
                client_timeout,
            } => {
                let received = ReceivedJob {
                    origin,
                    job: spec.id,
                    forwarded_at,
                };
                self.receive_job(received, caller, queue, spec, client_timeout);
            }
            FleetEvent::ForwardingEnded { job, end } => self.finish_forwarding(job, end),
            FleetEvent::CallerDisconnected(caller) => self.remove_caller(caller),
            FleetEvent::CancelRequested { token, job } => self.request_cancel(token, job),
            FleetEvent::StartResult {
                target,
                token,
                run,
                answer,
            } => self.receive_start_result(target, token, run, answer),
            FleetEvent::StopResult {
                target,
                token,
                run,
                answer,
            } => self.receive_stop_result(target, token, run, answer),
            FleetEvent::PollResult {
                target,
                token,
                number,
                answer,
            } => self.receive_poll_result(target, token, number, answer),
            FleetEvent::ProbeResult { target, reached } => {
                self.receive_probe_result(target, reached)
            }
            FleetEvent::DrainStarted { ends_at } => {
                self.drain_ends_at = Some(ends_at);
                self.start_draining();
            }
            FleetEvent::DrainExpired => self.give_up_all_jobs(),
            FleetEvent::TimeAdvanced => {}
        }
    }

    /// Advances the time, and runs the timers and other work that is due.
    fn advance(&mut self, clock: ClockReading) {
        self.event += 1;
        let former = self.clock.time;
        self.clock = ClockReading {
            time: clock.time.max(former),
            wall: clock.wall,
        };
        let gap = self.clock.time.since(former);
        self.placement_due |= self.closed_zones.advance(self.clock.time);
        if gap >= self.settings.pause_threshold {
            self.resume_from_pause(gap);
        }
        while let Some(topic) = self.timers.pop_due(self.clock.time) {
            match topic {
                TimerTopic::JobDeadline(job) => self.give_up_job(job),
                TimerTopic::JobTooLate(job) => self.end_unanswerable(job),
                TimerTopic::OrphanExpired(task) => self.requeue_orphan(task),
                TimerTopic::Reconcile => {
                    self.reconcile();
                    self.shed_waiting();
                }
                TimerTopic::Sample => self.sample_load(),
                TimerTopic::FastWait => {
                    self.fast_wait_set = false;
                    self.placement_due = true;
                }
                TimerTopic::CancelLate(token) => self.give_up_cancel(token),
            }
        }
        if self.offers.expire(self.clock.time) {
            self.placement_due = true;
        }
        let now = self.clock.time;
        let mut probers = self.zone_probers.values().filter_map(ZoneProber::next_due);
        self.reconcile_due |= probers.any(|due| due <= now);
        self.advance_held();
    }

    /// Delivers the messages between the roles of this VM, reconciles held targets, places waiting
    /// tasks and sends polls, as far as this needs no examination of the clients.
    fn process_pending(&mut self) {
        self.refuse_unblocked();
        if !self.deliver_inbox() {
            return;
        }
        if self.reconcile_due {
            self.reconcile_ownership();
        }
        if self.placement_due && !self.is_placement_held_back() {
            self.placement_due = false;
            // Placing tasks on this VM's own targets adds messages to the inbox.
            self.place_waiting();
            self.deliver_inbox();
            self.offer_capacity();
        }
        if !self.is_examination_old() {
            self.send_polls();
        }
    }

    /// Delivers messages up to the first one that must wait for an examination. Returns whether there is
    /// none.
    fn deliver_inbox(&mut self) -> bool {
        while let Some((from, message)) = self.inbox.pop_front() {
            if self.is_held_back(&message) {
                self.inbox.push_front((from, message));
                return false;
            }
            self.receive_message(from, message);
        }
        true
    }

    /// Takes the actions that the events so far have caused, including the envelopes that are due
    /// now. `examination` answers [`Self::request_examination`], which must be called first; what needs
    /// an examination waits until there is one.
    pub fn take_actions(&mut self, examination: Option<ClientExamination>) -> Vec<FleetAction> {
        if let Some(examination) = examination {
            self.apply_examination(examination);
        }
        self.send_envelopes();
        std::mem::take(&mut self.actions)
    }

    /// The latest time at which [`Self::handle`] must be called next.
    pub fn next_due(&self) -> Option<TimePoint> {
        let held = self.held.values().map(HeldTarget::next_due).min();
        // The periodic reconciliation checks the liveness of peers.
        let links = self.links.heartbeat_due();
        let prober = self
            .zone_probers
            .values()
            .filter_map(ZoneProber::next_due)
            .min();
        let dues = [
            self.timers.next_due(),
            self.offers.next_due(),
            held,
            links,
            prober,
        ];
        dues.into_iter().flatten().min()
    }

    /// The lifecycle state that this VM reports to its peers.
    pub fn state(&self) -> PeerState {
        self.state
    }

    /// The queues of the configuration in force, and their run time estimates.
    pub fn catalog(&self) -> &QueueCatalog {
        &self.catalog
    }

    /// The learned speeds of the kinds of targets.
    pub fn kind_speeds(&self) -> &KindSpeeds {
        &self.kind_speeds
    }

    fn own_vm(&self) -> VmIndex {
        VmIndex::from(OWN_VM_INDEX)
    }

    fn now(&self) -> TimePoint {
        self.clock.time
    }

    fn notice(&mut self, notice: FleetNotice) {
        self.actions.push(FleetAction::Notice(notice));
    }

    /// Revalidates what was known before the process was paused: held targets must confirm this VM
    /// as their holder again before they get further requests.
    fn resume_from_pause(&mut self, gap: std::time::Duration) {
        self.notice(FleetNotice::ProcessPaused(gap));
        let now = self.now();
        self.closed_zones.resume_from_pause(now, gap);
        for held in self.held.values_mut() {
            held.reconfirm(now);
        }
        self.limit_capacities();
        // Peers have timed this VM out in the same period: work for peers that have marked it lost
        // must not be renewed.
        self.detect_lost_peers();
        self.placement_due = true;
    }
}
