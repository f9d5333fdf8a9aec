//! Forwards jobs of this VM's clients to other VMs of the zone, and receives such jobs.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_dispatch::entity::{JobKey, KindIndex, VmIndex};
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_types::fleet::{
    ClientTimeout, FleetMessage, JobReply, JobSpec, KeptRun, OriginContact, PeerState,
};
use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;

use super::holding::millis;
use super::{ClientExamination, ExaminationRequest, FleetAction, FleetEngine, FleetNotice};
use crate::job_routing::{ForwardingEnd, ReceivedJob, SentJob};
use crate::link::LinkPhase;

/// The silence of a VM after which its forwarded jobs are removed: four short intervals. Once the VM is
/// marked lost, after 900 ms, targets change their holders, and a run whose holder has released its target
/// cannot be withdrawn any more.
const ORIGIN_SILENCE: Duration = Duration::from_millis(600);

/// The silence of a VM from which no task of its forwarded jobs is placed. The lease of a target may
/// last for 1,020.5 ms (1 s on a slow clock) and must end within 1.2 s after the last sign of life; the
/// rest is for the request.
pub(super) const MAX_ORIGIN_SILENCE: Duration = Duration::from_millis(150);

/// The VM that has forwarded a job, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardOrigin {
    /// The name of the VM.
    pub vm: VmName,
    /// The process.
    pub incarnation: IncarnationId,
    /// When the job was forwarded, on the clock of that VM.
    pub sent_at: TimePoint,
    /// The losses of that VM that, as far as it knew, the receiver had declared.
    pub losses: LossCount,
}

/// Where a job is forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRoute {
    /// The address on which the receiver listens for other entry VMs.
    pub address: SocketAddr,
    /// What the receiver needs to know of this VM.
    pub origin: ForwardOrigin,
    /// How long before the client's deadline the receiver must answer.
    pub relay_time: Duration,
}

impl FleetEngine {
    /// Records how late a timer of the engine has fired.
    pub fn record_lateness(&mut self, clock: ClockReading, lateness: Duration) {
        self.router.record_lateness(clock.time, lateness);
    }

    /// Whether this VM may forward jobs, because it is late.
    pub fn forwards_jobs(&self) -> bool {
        self.router.forwards()
    }

    /// Asks for the examination with which [`Self::route_job`] decides whether a new job of a client is
    /// forwarded: the receiver takes the request for a sign that the clients of this VM wait. Returns
    /// `None` if this VM coordinates the job.
    pub fn request_routing(
        &mut self,
        clock: ClockReading,
        job: JobId,
    ) -> Option<ExaminationRequest> {
        self.router.record_arrival(clock.time);
        let known = self.jobs.find(job).is_some();
        if !self.router.forwards() || known || self.state != PeerState::Ready {
            return None;
        }
        self.advance(clock);
        Some(self.new_examination())
    }

    /// Decides whether a new job of a client is forwarded. The examination must count the client as one that
    /// waits for a forwarded job. If the job is forwarded, the caller must send it and report the end of the
    /// exchange with [`super::FleetEvent::ForwardingEnded`].
    pub fn route_job(&mut self, job: JobId, examination: ClientExamination) -> Option<JobRoute> {
        let has_left = examination.has_ended(job);
        self.apply_examination(examination);
        if has_left {
            return None;
        }
        let route = self.start_forwarding(job);
        self.process_pending();
        route
    }

    fn start_forwarding(&mut self, job: JobId) -> Option<JobRoute> {
        let now = self.now();
        let links = &self.links;
        let accepts = |peer: VmIndex| {
            links[peer].as_ref().is_some_and(|link| {
                let ready = link.accepts_work(now) && link.state() == PeerState::Ready;
                ready && !link.has_unstated_end()
            })
        };
        let receiver = self
            .router
            .choose_receiver(now, job, accepts, &mut self.rng)?;
        self.router.start_exchange(now, job, receiver);
        self.watch_closely(receiver);
        self.counters.jobs_forwarded += 1;
        self.notice(FleetNotice::JobForwarded {
            job,
            receiver: self.vms.name(receiver).clone(),
            lateness: self.router.lateness(),
        });
        let link = self.links[receiver].as_ref()?;
        Some(JobRoute {
            address: link.identity().address,
            relay_time: self.router.relay_time(),
            origin: ForwardOrigin {
                vm: self.identity.vm.clone(),
                incarnation: self.identity.incarnation,
                sent_at: now,
                losses: link.peer_losses(),
            },
        })
    }

    /// Uses the short interval for a VM with which a forwarded job is shared: its loss must be
    /// noticed before the client sends the job again.
    fn watch_closely(&mut self, peer: VmIndex) {
        let base_interval = self.settings.links.heartbeat.base_interval;
        if let Some(link) = &mut self.links[peer] {
            if link.heartbeat().own_interval() > base_interval {
                // The peer learns of the shorter interval from the next envelope.
                link.request_envelope();
            }
            link.heartbeat_mut().use_base_interval();
        }
    }

    pub(super) fn finish_forwarding(&mut self, job: JobId, end: ForwardingEnd) {
        let Some(sent) = self.router.finish_exchange(self.clock.time, job, end) else {
            return;
        };
        if matches!(end, ForwardingEnd::Abandoned | ForwardingEnd::Broken) {
            self.state_abandonment(job, sent);
        }
        if matches!(end, ForwardingEnd::Answered | ForwardingEnd::Abandoned) {
            return;
        }
        self.counters.forwardings_failed += 1;
        self.notice(FleetNotice::ForwardingFailed {
            job,
            receiver: self.vms.name(sent.receiver).clone(),
            end,
        });
    }

    /// Tells the receiver of a job that no client waits for its answer, which the end of the connection does
    /// not always do.
    fn state_abandonment(&mut self, job: JobId, sent: SentJob) {
        let Some(link) = &mut self.links[sent.receiver] else {
            return;
        };
        link.record_unstated_end(self.examined_at);
        // The count of losses in the next envelope tells a lost receiver.
        if !matches!(link.phase(), LinkPhase::Lost { .. }) {
            let forwarded_at = sent.forwarded_at;
            link.push(FleetMessage::Abandon { job, forwarded_at });
        }
    }

    /// Removes the caller of a forwarded job whose clients have left. The request may still be on its way.
    pub(super) fn receive_abandonment(
        &mut self,
        origin: VmIndex,
        job: JobId,
        forwarded_at: TimePoint,
    ) {
        let abandoned = ReceivedJob {
            origin,
            job,
            forwarded_at,
        };
        match self.router.find_received(abandoned) {
            Some(caller) => self.drop_received(vec![caller]),
            None => {
                let max_delay = self.settings.links.max_request_delay;
                self.router
                    .record_abandoned(self.clock.time, abandoned, max_delay);
            }
        }
    }

    /// Returns the VM that has forwarded a job if this VM may coordinate the job. A request that was
    /// delayed, for example while this process was paused, is refused: the other VM may have given
    /// the job up since, and its client may have sent it again elsewhere.
    pub fn admit_origin(&mut self, clock: ClockReading, origin: &ForwardOrigin) -> Option<VmIndex> {
        // A pause of this process must be noticed first: it changes which peers are live.
        self.advance(clock);
        let admitted = self.find_origin(clock, origin);
        if let Some(link) = admitted.and_then(|peer| self.links[peer].as_mut()) {
            link.record_sign_of_life(clock.time, origin.sent_at);
        }
        self.process_pending();
        admitted
    }

    fn find_origin(&self, clock: ClockReading, origin: &ForwardOrigin) -> Option<VmIndex> {
        let peer = self.vms.get(&origin.vm)?;
        let link = self.links[peer].as_ref()?;
        let admitted = self.state == PeerState::Ready
            && link.identity().incarnation == origin.incarnation
            && link.admits_request(origin.losses)
            && !link.is_late_request(clock.time, origin.sent_at);
        admitted.then_some(peer)
    }

    pub(super) fn receive_job(
        &mut self,
        received: ReceivedJob,
        caller: CallerToken,
        queue: KindIndex,
        spec: JobSpec,
        client_timeout: ClientTimeout,
    ) {
        if self.router.is_abandoned(received) {
            let reply = JobReply::Unknown;
            return self.actions.push(FleetAction::Reply { caller, reply });
        }
        self.counters.jobs_received += 1;
        self.router.start_received(caller, received);
        self.watch_closely(received.origin);
        self.submit_job(caller, queue, spec, client_timeout);
    }

    /// Ends what this VM shares with a peer that was marked lost, or has marked this VM lost: jobs
    /// that were forwarded to the peer have an unknown outcome, and jobs of the peer are removed.
    pub(super) fn drop_forwarding_with(&mut self, peer: VmIndex) {
        let sent = self.router.exchanges().filter(|(_, vm)| *vm == peer);
        let sent = sent.map(|(job, _)| FleetAction::EndForwarding(job));
        self.actions.extend(sent);
        self.drop_received_from(peer);
        self.router.forget_report(peer);
    }

    /// The time since the last sign of life of a VM that has forwarded jobs.
    pub(super) fn silence_of_origin(&self, origin: VmIndex) -> Duration {
        let link = self.links[origin].as_ref();
        link.map_or(Duration::ZERO, |link| {
            self.now().since(link.last_sign_of_life())
        })
    }

    /// The VM whose client waits for a job that was forwarded; `None` if a client of this VM waits for
    /// it. A client waits for the latest of its requests.
    pub(super) fn origin_of(&self, job: JobKey) -> Option<VmIndex> {
        let mut latest = None;
        for caller in &self.jobs.get(job)?.callers {
            latest = Some(self.router.origin_of(*caller)?);
        }
        latest
    }

    /// Whether the tasks of a job wait for a sign of life of the VM that has forwarded it.
    pub(super) fn awaits_origin(&self, job: JobKey) -> bool {
        let origin = self.origin_of(job);
        origin.is_some_and(|origin| self.silence_of_origin(origin) >= MAX_ORIGIN_SILENCE)
    }

    /// The process that has forwarded a job. The envelopes to the holder state from now on until when
    /// it was heard.
    pub(super) fn state_origin_to(
        &mut self,
        holder: VmIndex,
        job: JobKey,
    ) -> Option<IncarnationId> {
        let origin = self.origin_of(job)?;
        self.router.record_run_origin(holder, origin);
        let link = self.links[origin].as_ref()?;
        Some(link.identity().incarnation)
    }

    /// Records which VMs have forwarded the jobs whose runs each holder has.
    pub(super) fn refresh_run_origins(&mut self) {
        if self.router.received().next().is_none() {
            return self.router.set_run_origins(BTreeSet::new());
        }
        let placed = self.jobs.placed();
        let pairs = placed.filter_map(|it| Some((it.holder, self.origin_of(it.task.job)?)));
        let pairs = pairs.collect();
        self.router.set_run_origins(pairs);
    }

    /// What an envelope to a holder states about the VMs that have forwarded jobs to this VM.
    pub(super) fn origin_contacts(&self, holder: VmIndex) -> Vec<OriginContact> {
        let origins = self.router.run_origins_at(holder);
        let contacts = origins.filter_map(|origin| {
            let link = self.links[origin].as_ref()?;
            Some(OriginContact {
                process: link.identity().incarnation,
                // Rounded up.
                silence_ms: millis(self.silence_of_origin(origin)).saturating_add(1),
            })
        });
        contacts.collect()
    }

    /// Tells the holders of a job's runs that another VM's client, or one of this VM, waits for the job
    /// since `former` was its origin.
    pub(super) fn update_run_origins(&mut self, key: JobKey, former: Option<VmIndex>) {
        if self.origin_of(key) == former {
            return;
        }
        let placed = self.jobs.placed().filter(|placed| placed.task.job == key);
        for placed in placed.collect::<Vec<_>>() {
            let origin = self.state_origin_to(placed.holder, key);
            let Some(job) = self.jobs.get(key) else {
                return;
            };
            let task = &job.tasks[placed.task.position];
            let run = KeptRun {
                run: RunName {
                    task: task.name,
                    run: task.run,
                },
                resources: job.step_of(placed.task.position).resources,
                expected_ms: millis(self.expected_on(placed.task, placed.target)),
                origin,
            };
            let keep = FleetMessage::Keep {
                target: self.registry.name(placed.target).clone(),
                runs: vec![run],
                losses: self.losses_declared_by(placed.holder),
                claim: None,
            };
            self.send(placed.holder, keep);
        }
    }

    /// Removes the jobs of VMs that have been silent for `ORIGIN_SILENCE`.
    pub(super) fn drop_jobs_of_silent_origins(&mut self) {
        let received = self.router.received();
        let silent =
            received.filter(|(_, origin)| self.silence_of_origin(*origin) >= ORIGIN_SILENCE);
        self.drop_received(silent.map(|(caller, _)| caller).collect());
    }

    fn drop_received_from(&mut self, peer: VmIndex) {
        let received = self.router.received();
        let received = received.filter(|(_, origin)| *origin == peer);
        self.drop_received(received.map(|(caller, _)| caller).collect());
    }

    fn drop_received(&mut self, callers: Vec<CallerToken>) {
        for caller in callers {
            self.remove_caller(caller);
            let reply = JobReply::Unknown;
            self.actions.push(FleetAction::Reply { caller, reply });
        }
    }

    /// Ends all exchanges of forwarded jobs, because the process is about to exit.
    pub(super) fn end_all_forwarding(&mut self) {
        let jobs = self.router.exchanges().map(|(job, _)| job);
        self.actions.extend(jobs.map(FleetAction::EndForwarding));
    }
}
