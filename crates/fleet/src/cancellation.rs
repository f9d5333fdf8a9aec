//! Cancels of jobs that this VM does not coordinate.
//!
//! A client may send the cancel of its job to any VM. A VM that does not have the job asks all others, and
//! each VM that is asked remembers the job, because its submission may arrive later than the cancel.

use std::collections::{BTreeSet, HashSet, VecDeque};
use std::time::Duration;

use filbertpitch_dispatch::entity::VmIndex;
use filbertpitch_types::prelude::*;

/// How long a cancelled job is remembered: longer than clients wait for the answers to their jobs and keep
/// sending them again.
pub const CANCEL_MEMORY: Duration = Duration::from_secs(10);

/// How long the answers of the other VMs are awaited. A loss of a VM is noticed within a second.
pub const CANCEL_TIMEOUT: Duration = Duration::from_millis(1500);

/// The most cancelled jobs that are remembered; bounds the memory.
const MAX_REMEMBERED: usize = 4096;

/// Identifies the cancel of a client at the VM that the client has asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CancelToken(pub u64);

/// The answer to a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job was cancelled.
    Cancelled,
    /// No VM has the job.
    UnknownJob,
    /// A VM that may have the job could not be asked.
    Unconfirmed,
}

/// A cancel that waits for answers of other VMs.
#[derive(Clone, Debug)]
struct OpenCancel {
    token: CancelToken,
    job: JobId,
    awaited: BTreeSet<VmIndex>,
    /// What the client is told if no VM has the job.
    otherwise: CancelOutcome,
}

/// The cancels that wait for answers, and the jobs that were cancelled recently.
#[derive(Clone, Debug, Default)]
pub struct CancelTable {
    open: Vec<OpenCancel>,
    recent: VecDeque<(TimePoint, JobId)>,
    remembered: HashSet<JobId>,
}

impl CancelTable {
    /// Remembers that a job was cancelled.
    pub fn remember(&mut self, now: TimePoint, job: JobId) {
        self.expire(now);
        if self.remembered.insert(job) {
            self.recent.push_back((now, job));
        }
        if self.recent.len() > MAX_REMEMBERED {
            self.forget_oldest();
        }
    }

    /// Whether a job was cancelled recently.
    pub fn is_cancelled(&mut self, now: TimePoint, job: JobId) -> bool {
        self.expire(now);
        self.remembered.contains(&job)
    }

    fn expire(&mut self, now: TimePoint) {
        while let Some((at, _)) = self.recent.front()
            && now.since(*at) >= CANCEL_MEMORY
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, job)) = self.recent.pop_front() {
            self.remembered.remove(&job);
        }
    }

    /// Awaits the answers of `awaited` to a cancel. The client is told `otherwise` if none of them has the job.
    pub fn open(
        &mut self,
        token: CancelToken,
        job: JobId,
        awaited: BTreeSet<VmIndex>,
        otherwise: CancelOutcome,
    ) {
        self.open.push(OpenCancel {
            token,
            job,
            awaited,
            otherwise,
        });
    }

    /// Records whether a VM had a job. Returns the cancels that are answered now.
    pub fn record_answer(
        &mut self,
        from: VmIndex,
        job: JobId,
        found: bool,
    ) -> Vec<(CancelToken, CancelOutcome)> {
        for cancel in self.open.iter_mut().filter(|cancel| cancel.job == job) {
            if !cancel.awaited.remove(&from) {
                continue;
            }
            if found {
                cancel.otherwise = CancelOutcome::Cancelled;
                cancel.awaited.clear();
            }
        }
        self.take_answered()
    }

    /// Records that a VM will not answer. Returns the cancels that are answered now.
    pub fn drop_vm(&mut self, vm: VmIndex) -> Vec<(CancelToken, CancelOutcome)> {
        for cancel in &mut self.open {
            if cancel.awaited.remove(&vm) {
                cancel.otherwise = CancelOutcome::Unconfirmed;
            }
        }
        self.take_answered()
    }

    /// Ends a cancel whose answers are late. Returns whether it was open.
    pub fn give_up(&mut self, token: CancelToken) -> bool {
        let before = self.open.len();
        self.open.retain(|cancel| cancel.token != token);
        self.open.len() < before
    }

    fn take_answered(&mut self) -> Vec<(CancelToken, CancelOutcome)> {
        let answered = self.open.extract_if(.., |cancel| cancel.awaited.is_empty());
        answered
            .map(|cancel| (cancel.token, cancel.otherwise))
            .collect()
    }
}
