//! Which submissions this incarnation has accepted, and what became of them.
//!
//! Idempotence rests on one rule: a submission of an open epoch that is not in the table was never
//! accepted, and a submission of a closed epoch is never accepted again. Outcomes may therefore be
//! dropped, but only by closing their whole epoch first.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_types::caller::JobAnswer;
use filbertpitch_types::prelude::*;

/// Bounds on the outcomes that are remembered.
#[derive(Clone, Debug)]
pub struct SubmissionSettings {
    /// How long one epoch accepts its own submissions before the next one begins.
    pub epoch_length: Duration,
    /// How many epochs are open at most.
    pub open_epochs: u32,
    /// The memory for remembered submissions.
    pub byte_limit: ByteSize,
    /// How long outcomes of bare keys and of other incarnations are kept.
    pub foreign_window: Duration,
}

impl Default for SubmissionSettings {
    fn default() -> Self {
        Self {
            epoch_length: Duration::from_secs(60),
            open_epochs: 10,
            byte_limit: ByteSize::mib(32),
            foreign_window: Duration::from_secs(600),
        }
    }
}

/// What the table knows about a submission.
#[derive(Clone, Debug)]
pub enum SubmissionVerdict {
    /// It was never accepted and may be accepted now.
    New,
    /// It is running under this job number.
    Live {
        /// The job.
        job: JobNumber,
        /// The digest of the request that was accepted.
        content: ContentDigest,
    },
    /// It has ended.
    Finished {
        /// Its answer.
        answer: Rc<JobAnswer>,
        /// The digest of the request that was accepted, if this incarnation accepted it.
        content: Option<ContentDigest>,
    },
    /// Its epoch is closed. It may have run and will not be started.
    Expired,
}

/// A digest of a request, to detect one submission id used for two different jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContentDigest(pub u64);

#[derive(Clone, Debug)]
enum SubmissionState {
    Live(JobNumber, ContentDigest),
    Finished(Rc<JobAnswer>, Option<ContentDigest>),
}

#[derive(Debug, Default)]
struct EpochSubmissions {
    states: HashMap<SubmissionId, SubmissionState>,
    bytes: u64,
    live: usize,
}

/// Groups submissions that are forgotten together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SubmissionGroup {
    /// Prefixed with this incarnation, in one epoch.
    Own(EpochNumber),
    /// A bare key or one of another incarnation, by the epoch in which it was recorded here.
    Foreign(EpochNumber),
}

/// The submissions of one incarnation.
#[derive(Debug)]
pub struct SubmissionTable {
    settings: SubmissionSettings,
    incarnation: IncarnationId,
    groups: BTreeMap<SubmissionGroup, EpochSubmissions>,
    foreign_groups: HashMap<SubmissionId, EpochNumber>,
    current: EpochNumber,
    current_since: TimePoint,
    oldest_open: EpochNumber,
    bytes: u64,
    shortened: u64,
}

impl SubmissionTable {
    /// The memory of one entry beside the text of its answer, in bytes: map slots, reference
    /// counts and the id, rounded up.
    const ENTRY_BYTES: u64 = 320;
    /// The memory of one task answer beside its texts, in bytes.
    const TASK_BYTES: u64 = 112;

    /// An empty table for `incarnation`, which starts at `now`.
    pub fn new(incarnation: IncarnationId, settings: SubmissionSettings, now: TimePoint) -> Self {
        Self {
            settings,
            incarnation,
            groups: BTreeMap::new(),
            foreign_groups: HashMap::new(),
            current: EpochNumber(0),
            current_since: now,
            oldest_open: EpochNumber(0),
            bytes: 0,
            shortened: 0,
        }
    }

    /// The epoch that new prefixes carry.
    pub fn current_epoch(&self) -> EpochNumber {
        self.current
    }

    /// The memory in use, estimated in bytes.
    pub fn bytes(&self) -> ByteSize {
        ByteSize(self.bytes)
    }

    /// How many epochs ended or were closed early because of the byte limit.
    pub fn shortened_epochs(&self) -> u64 {
        self.shortened
    }

    /// How many submissions are remembered.
    pub fn len(&self) -> usize {
        self.groups.values().map(|group| group.states.len()).sum()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Looks a submission up without accepting it.
    pub fn lookup(&self, submission: &SubmissionId) -> SubmissionVerdict {
        match self.find(submission) {
            Some(SubmissionState::Live(job, content)) => SubmissionVerdict::Live {
                job: *job,
                content: *content,
            },
            Some(SubmissionState::Finished(answer, content)) => SubmissionVerdict::Finished {
                answer: Rc::clone(answer),
                content: *content,
            },
            None if self.accepts(submission) => SubmissionVerdict::New,
            None => SubmissionVerdict::Expired,
        }
    }

    /// Whether an unknown submission may still be accepted.
    fn accepts(&self, submission: &SubmissionId) -> bool {
        match submission.prefix() {
            Some(prefix) => {
                let open = self.oldest_open..=self.current;
                prefix.incarnation == self.incarnation && open.contains(&prefix.epoch)
            }
            // The claim table has checked the age of a bare key before it comes here.
            None => true,
        }
    }

    /// Records that `submission` runs as `job`.
    ///
    /// # Panics
    /// When the submission is not new; two jobs for one submission would break idempotence.
    pub fn accept(&mut self, submission: &SubmissionId, job: JobNumber, content: ContentDigest) {
        let verdict = self.lookup(submission);
        assert!(
            matches!(verdict, SubmissionVerdict::New),
            "accepted {submission} although it is {verdict:?}"
        );
        let state = SubmissionState::Live(job, content);
        self.insert(submission.clone(), state, Self::ENTRY_BYTES);
    }

    /// Records the answer of a submission, accepted before or rejected at once.
    pub fn finish(&mut self, answer: Rc<JobAnswer>, content: Option<ContentDigest>) {
        let submission = answer.submission.clone();
        let content = content.or_else(|| match self.find(&submission) {
            Some(SubmissionState::Live(_, content)) => Some(*content),
            _ => None,
        });
        let bytes = Self::answer_bytes(&answer);
        self.insert(
            submission,
            SubmissionState::Finished(answer, content),
            bytes,
        );
    }

    /// Takes over the outcomes of an incarnation that stopped.
    pub fn adopt(&mut self, answers: Vec<JobAnswer>) {
        for answer in answers {
            self.finish(Rc::new(answer), None);
        }
    }

    /// The finished answers, for a handover.
    pub fn finished(&self) -> impl Iterator<Item = &Rc<JobAnswer>> {
        let states = self.groups.values().flat_map(|group| group.states.values());
        states.filter_map(|state| match state {
            SubmissionState::Finished(answer, _) => Some(answer),
            SubmissionState::Live(..) => None,
        })
    }

    /// Begins a new epoch when it is time and closes the epochs outside the bounds.
    pub fn advance(&mut self, now: TimePoint) {
        let share = self.settings.byte_limit.0 / u64::from(self.settings.open_epochs.max(1));
        let current_bytes = self
            .groups
            .get(&SubmissionGroup::Own(self.current))
            .map_or(0, |group| group.bytes);
        let elapsed = now.since(self.current_since) >= self.settings.epoch_length;
        if elapsed || current_bytes > share {
            self.current = self.current.next();
            self.current_since = now;
            self.shortened += u64::from(!elapsed);
        }
        let window = EpochNumber(self.current.0.saturating_sub(self.settings.open_epochs - 1));
        while self.oldest_open < window {
            self.close_oldest();
        }
        // The current epoch stays open: a prefix that was issued a moment ago must be usable.
        while self.bytes > self.settings.byte_limit.0 && self.oldest_open < self.current {
            self.close_oldest();
            self.shortened += 1;
        }
        self.drop_foreign();
    }

    /// Closes the oldest epoch. Entries of running jobs stay until they have ended and are
    /// answered from then on as expired.
    fn close_oldest(&mut self) {
        let epoch = self.oldest_open;
        self.oldest_open = epoch.next();
        self.prune(SubmissionGroup::Own(epoch));
    }

    fn drop_foreign(&mut self) {
        let epochs = self.settings.foreign_window.as_micros()
            / self.settings.epoch_length.as_micros().max(1);
        let kept = u32::try_from(epochs).unwrap_or(u32::MAX).saturating_add(1);
        let oldest = EpochNumber(self.current.0.saturating_sub(kept));
        let expired = self
            .groups
            .range(SubmissionGroup::Foreign(EpochNumber(0))..SubmissionGroup::Foreign(oldest))
            .map(|(group, _)| *group)
            .collect::<Vec<_>>();
        for group in expired {
            self.prune(group);
        }
    }

    /// Forgets the finished submissions of a group.
    fn prune(&mut self, group: SubmissionGroup) {
        let Some(mut submissions) = self.groups.remove(&group) else {
            return;
        };
        self.bytes -= submissions.bytes;
        let foreign_groups = &mut self.foreign_groups;
        submissions.states.retain(|submission, state| {
            let live = matches!(state, SubmissionState::Live(..));
            if !live {
                foreign_groups.remove(submission);
            }
            live
        });
        if submissions.live > 0 {
            submissions.bytes = Self::ENTRY_BYTES * submissions.live as u64;
            self.bytes += submissions.bytes;
            self.groups.insert(group, submissions);
        }
    }

    fn group_of(&self, submission: &SubmissionId) -> SubmissionGroup {
        match submission.prefix() {
            Some(prefix) if prefix.incarnation == self.incarnation => {
                SubmissionGroup::Own(prefix.epoch)
            }
            _ => {
                let recorded = self.foreign_groups.get(submission);
                SubmissionGroup::Foreign(recorded.copied().unwrap_or(self.current))
            }
        }
    }

    fn find(&self, submission: &SubmissionId) -> Option<&SubmissionState> {
        let group = self.groups.get(&self.group_of(submission))?;
        group.states.get(submission)
    }

    fn insert(&mut self, submission: SubmissionId, state: SubmissionState, bytes: u64) {
        let group = self.group_of(&submission);
        if let SubmissionGroup::Own(epoch) = group
            && epoch < self.oldest_open
            && matches!(state, SubmissionState::Finished(..))
        {
            self.remove_closed(group, &submission);
            return;
        }
        if let SubmissionGroup::Foreign(epoch) = group {
            self.foreign_groups.insert(submission.clone(), epoch);
        }
        let submissions = self.groups.entry(group).or_default();
        let now_live = matches!(state, SubmissionState::Live(..));
        match submissions.states.insert(submission, state) {
            Some(SubmissionState::Live(..)) => {
                submissions.live -= 1;
                submissions.bytes -= Self::ENTRY_BYTES;
                self.bytes -= Self::ENTRY_BYTES;
            }
            Some(SubmissionState::Finished(answer, _)) => {
                let old_bytes = Self::answer_bytes(&answer);
                submissions.bytes -= old_bytes;
                self.bytes -= old_bytes;
            }
            None => {}
        }
        submissions.live += usize::from(now_live);
        submissions.bytes += bytes;
        self.bytes += bytes;
    }

    /// Forgets a job that ended after its epoch was closed.
    fn remove_closed(&mut self, group: SubmissionGroup, submission: &SubmissionId) {
        let Some(submissions) = self.groups.get_mut(&group) else {
            return;
        };
        if submissions.states.remove(submission).is_some() {
            submissions.live -= 1;
            submissions.bytes -= Self::ENTRY_BYTES;
            self.bytes -= Self::ENTRY_BYTES;
        }
        if submissions.states.is_empty() {
            self.groups.remove(&group);
        }
    }

    fn answer_bytes(answer: &JobAnswer) -> u64 {
        let task_bytes = |task: &filbertpitch_types::caller::TaskAnswer| {
            let text = match &task.outcome {
                TaskOutcome::Done { output } => output.len(),
                TaskOutcome::Failed {
                    reason: FailureReason::TargetError(text),
                } => text.len(),
                _ => 0,
            };
            Self::TASK_BYTES + text as u64
        };
        Self::ENTRY_BYTES + answer.tasks.iter().map(task_bytes).sum::<u64>()
    }
}
