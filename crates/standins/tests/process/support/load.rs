//! Callers that submit jobs one after another, as behind the platform's balancer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbertpitch_types::caller::{JobAnswer, JobRequest};
use filbertpitch_types::prelude::*;
use http::StatusCode;
use monoio::task::JoinHandle;

use super::client::{EntryClient, Reply};
use super::jobs::JobDraft;
use filbertpitch_standins::children::wait::sleep;

/// How often the balancer checks readiness; less than the notice that a stopping VM gives.
const BALANCER_INTERVAL: Duration = Duration::from_millis(100);
/// The pause before a submission without an outcome is repeated.
const RESUBMIT_DELAY: Duration = Duration::from_millis(50);

/// What callers submit.
pub struct LoadPlan {
    /// The jobs, of which each caller picks at random.
    pub jobs: Vec<JobDraft>,
    /// How many callers there are.
    pub callers: usize,
}

/// One job of the load.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// The job.
    pub job: JobRequest,
    /// Every reply in order; the last one is the job answer.
    pub replies: Vec<Reply>,
    /// The time from the first submission to the answer.
    pub response_time: Duration,
    /// When the answer arrived.
    pub answered_at: Instant,
}

impl LoadRecord {
    /// The final answer.
    pub fn answer(&self) -> &JobAnswer {
        self.replies.last().expect("at least one reply").answer()
    }
}

struct LoadState {
    plan: LoadPlan,
    /// The VMs that the balancer knows, and whether each was ready.
    rotation: RefCell<Vec<(EntryClient, bool)>>,
    next_entry: Cell<usize>,
    stop: Cell<bool>,
    records: RefCell<Vec<LoadRecord>>,
}

/// A load in progress.
pub struct LoadRun {
    state: Rc<LoadState>,
    callers: Vec<JoinHandle<()>>,
}

impl LoadRun {
    /// Starts callers that use these VMs.
    pub fn start(plan: LoadPlan, entries: &[EntryClient]) -> Self {
        let callers = plan.callers;
        let rotation = entries.iter().cloned().map(|entry| (entry, true));
        let state = Rc::new(LoadState {
            plan,
            rotation: RefCell::new(rotation.collect()),
            next_entry: Cell::new(0),
            stop: Cell::new(false),
            records: RefCell::default(),
        });
        monoio::spawn(Rc::clone(&state).balance());
        let callers = (0..callers).map(|_| monoio::spawn(Rc::clone(&state).call()));
        Self {
            callers: callers.collect(),
            state,
        }
    }

    /// Lets the balancer use one more VM.
    pub fn add(&self, entry: EntryClient) {
        self.state.rotation.borrow_mut().push((entry, false));
    }

    /// How many jobs have been answered.
    pub fn answered(&self) -> usize {
        self.state.records.borrow().len()
    }

    /// Ends the load once the jobs in progress are answered.
    pub async fn finish(self) -> Vec<LoadRecord> {
        self.state.stop.set(true);
        for caller in self.callers {
            caller.await;
        }
        self.state.records.take()
    }
}

impl LoadState {
    /// Takes VMs that are not ready out of the rotation, and adds those that are.
    async fn balance(self: Rc<Self>) {
        while !self.stop.get() {
            let entries = self.rotation.borrow().clone();
            for (position, (entry, _)) in entries.iter().enumerate() {
                let ready = entry.readiness().await == Some(StatusCode::OK);
                self.rotation.borrow_mut()[position].1 = ready;
            }
            sleep(BALANCER_INTERVAL).await;
        }
    }

    fn entry(&self) -> Option<EntryClient> {
        let turn = self.next_entry.replace(self.next_entry.get() + 1);
        let rotation = self.rotation.borrow();
        let ready = rotation.iter().filter(|(_, ready)| *ready);
        let ready = ready.collect::<Vec<_>>();
        let (entry, _) = ready.get(turn % ready.len().max(1))?;
        Some(entry.clone())
    }

    async fn call(self: Rc<Self>) {
        while !self.stop.get() {
            // At random, because turns would tie each job to one VM.
            let index = rand::random_range(0..self.plan.jobs.len());
            let draft = self.plan.jobs[index].clone();
            if let Some(record) = self.run_job(draft).await {
                self.records.borrow_mut().push(record);
            } else {
                sleep(RESUBMIT_DELAY).await;
            }
        }
    }

    /// Submits a job until it has an answer; nothing if no VM gives a prefix.
    async fn run_job(&self, draft: JobDraft) -> Option<LoadRecord> {
        let mut entry = self.entry()?;
        let job = draft.owned_by(&entry.prefix().await?);
        let begun = Instant::now();
        let mut replies = Vec::new();
        loop {
            let reply = entry.submit(&job).await;
            let answered = matches!(reply, Reply::Job(..));
            replies.push(reply);
            if answered {
                return Some(LoadRecord {
                    job,
                    replies,
                    response_time: begun.elapsed(),
                    answered_at: Instant::now(),
                });
            }
            let limit = job.deadline * 3;
            assert!(begun.elapsed() < limit, "no answer: {replies:?}");
            sleep(RESUBMIT_DELAY).await;
            entry = self.entry().unwrap_or(entry);
        }
    }
}

/// Fails unless every job is complete.
pub fn assert_complete(records: &[LoadRecord]) {
    let answers = records.iter().map(LoadRecord::answer);
    let others = answers.filter(|answer| answer.outcome != JobOutcome::Complete);
    let others = others.collect::<Vec<_>>();
    assert!(others.is_empty(), "of {} jobs: {others:?}", records.len());
}

/// How many of the records ended with this outcome.
pub fn count_outcome(records: &[LoadRecord], outcome: JobOutcome) -> usize {
    let ended = |record: &&LoadRecord| record.answer().outcome == outcome;
    records.iter().filter(ended).count()
}
