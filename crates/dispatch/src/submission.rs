//! Which submissions this incarnation has accepted, and what became of them.
//!
//! Idempotence rests on one rule: a submission of an open epoch that is not in the table was never
//! accepted, and a submission of a closed epoch is never accepted again. When memory runs short,
//! answers are replaced by digests, which still tell that a submission was accepted. Digests are
//! dropped only with their whole epoch, after it has been closed.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_types::caller::JobAnswer;
use filbertpitch_types::prelude::*;

/// Bounds on the outcomes that are remembered.
#[derive(Clone, Debug)]
pub struct SubmissionSettings {
    /// How long an epoch lasts, unless its outcomes exceed `epoch_bytes` earlier.
    pub epoch_length: Duration,
    /// How long an epoch stays open after it has ended.
    pub window: Duration,
    /// How much longer than their window bare keys are remembered. A client's clock may be ahead
    /// (30 s by default), and clocks are adjusted, so a key can be claimed for longer than the
    /// window after it was accepted.
    pub key_margin: Duration,
    /// The memory for remembered submissions.
    pub byte_limit: ByteSize,
    /// The memory of one epoch after which the next one begins. Memory is released by epochs, so
    /// this is the step in which outcomes are forgotten.
    pub epoch_bytes: ByteSize,
}

impl Default for SubmissionSettings {
    fn default() -> Self {
        Self {
            epoch_length: Duration::from_secs(60),
            window: Duration::from_secs(600),
            key_margin: Duration::from_secs(60),
            byte_limit: ByteSize::mib(32),
            epoch_bytes: ByteSize::mib(2),
        }
    }
}

/// What the table knows about a submission.
#[derive(Clone, Debug)]
pub enum SubmissionStatus {
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
    /// Its epoch is closed or its outcome is forgotten. It may have run and will not be started.
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

/// Which submissions of an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubmissionOrigin {
    /// Those prefixed with this incarnation.
    Own,
    /// All others.
    Foreign,
}

/// Stands for a submission whose outcome is forgotten. 128 bits make it practically impossible
/// that a new submission is taken for a forgotten one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SubmissionDigest(u64, u64);

/// Computes digests with keys of this process, so that clients cannot construct collisions.
#[derive(Debug)]
struct DigestHasher([RandomState; 2]);

impl DigestHasher {
    fn digest(&self, submission: &SubmissionId) -> SubmissionDigest {
        let [first, second] = &self.0;
        SubmissionDigest(first.hash_one(submission), second.hash_one(submission))
    }
}

/// The submissions of one epoch.
#[derive(Debug)]
struct EpochSubmissions {
    began: TimePoint,
    states: HashMap<SubmissionId, SubmissionState>,
    evicted: HashSet<SubmissionDigest>,
    bytes: u64,
    live: usize,
}

impl EpochSubmissions {
    fn new(began: TimePoint) -> Self {
        Self {
            began,
            states: HashMap::new(),
            evicted: HashSet::new(),
            bytes: 0,
            live: 0,
        }
    }

    /// Whether it holds answers that could be forgotten to release memory.
    fn has_answers(&self) -> bool {
        self.states.len() > self.live
    }
}

type EpochMap = BTreeMap<EpochNumber, EpochSubmissions>;

/// The submissions of one incarnation.
#[derive(Debug)]
pub struct SubmissionTable {
    settings: SubmissionSettings,
    incarnation: IncarnationId,
    hasher: DigestHasher,
    /// Submissions prefixed with this incarnation, by the epoch of their prefix.
    own: EpochMap,
    /// Bare keys and submissions of other incarnations, by the epoch in which they arrived here.
    foreign: EpochMap,
    foreign_epochs: HashMap<SubmissionId, EpochNumber>,
    current: EpochNumber,
    current_since: TimePoint,
    oldest_open: EpochNumber,
    bytes: u64,
    evictions: u64,
}

impl SubmissionTable {
    /// The memory of one entry beside its answer's tasks, in bytes: the id with its texts, the map
    /// slot and the answer itself.
    const ENTRY_BYTES: u64 = 512;
    /// The memory of one task answer beside its output, in bytes: the answer and the allocations
    /// of its texts.
    const TASK_BYTES: u64 = 96;
    /// The memory of a forgotten submission, in bytes, at the usual fill of a hash set.
    const DIGEST_BYTES: u64 = 32;

    /// An empty table for `incarnation`, which starts at `now`.
    pub fn new(incarnation: IncarnationId, settings: SubmissionSettings, now: TimePoint) -> Self {
        let epoch = EpochNumber(0);
        Self {
            settings,
            incarnation,
            hasher: DigestHasher([RandomState::new(), RandomState::new()]),
            own: BTreeMap::from([(epoch, EpochSubmissions::new(now))]),
            foreign: BTreeMap::from([(epoch, EpochSubmissions::new(now))]),
            foreign_epochs: HashMap::new(),
            current: epoch,
            current_since: now,
            oldest_open: epoch,
            bytes: 0,
            evictions: 0,
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

    /// How many times answers were forgotten or an epoch was closed because of the byte limit.
    pub fn evictions(&self) -> u64 {
        self.evictions
    }

    /// How many submissions are remembered with their outcome or are running.
    pub fn len(&self) -> usize {
        self.epochs().map(|epoch| epoch.states.len()).sum()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn epochs(&self) -> impl Iterator<Item = &EpochSubmissions> {
        self.own.values().chain(self.foreign.values())
    }

    /// Looks a submission up without accepting it.
    pub fn lookup(&self, submission: &SubmissionId) -> SubmissionStatus {
        match self.find(submission) {
            Some(SubmissionState::Live(job, content)) => SubmissionStatus::Live {
                job: *job,
                content: *content,
            },
            Some(SubmissionState::Finished(answer, content)) => SubmissionStatus::Finished {
                answer: Rc::clone(answer),
                content: *content,
            },
            None if self.may_accept(submission) => SubmissionStatus::New,
            None => SubmissionStatus::Expired,
        }
    }

    /// Whether an unknown submission may still be accepted.
    fn may_accept(&self, submission: &SubmissionId) -> bool {
        let is_forgotten = |epoch: &EpochSubmissions| {
            !epoch.evicted.is_empty() && epoch.evicted.contains(&self.hasher.digest(submission))
        };
        match submission.prefix() {
            Some(prefix) => {
                let open = self.oldest_open..=self.current;
                prefix.incarnation == self.incarnation
                    && open.contains(&prefix.epoch)
                    && !is_forgotten(&self.own[&prefix.epoch])
            }
            // The claim table has checked the age of a bare key before it comes here. Its digest
            // is kept for longer than a key of that age can be claimed.
            None => !self.foreign.values().any(is_forgotten),
        }
    }

    /// Records that `submission` runs as `job`.
    ///
    /// # Panics
    /// When the submission is not new; two jobs for one submission would break idempotence.
    pub fn accept(&mut self, submission: &SubmissionId, job: JobNumber, content: ContentDigest) {
        let verdict = self.lookup(submission);
        assert!(
            matches!(verdict, SubmissionStatus::New),
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
    pub fn import_answers(&mut self, answers: Vec<JobAnswer>) {
        for answer in answers {
            self.finish(Rc::new(answer), None);
        }
    }

    /// The finished answers, for a handover.
    pub fn finished(&self) -> impl Iterator<Item = &Rc<JobAnswer>> {
        let states = self.epochs().flat_map(|epoch| epoch.states.values());
        states.filter_map(|state| match state {
            SubmissionState::Finished(answer, _) => Some(answer),
            SubmissionState::Live(..) => None,
        })
    }

    /// Begins a new epoch when it is time, closes those outside the window, and forgets outcomes
    /// while they exceed the memory.
    pub fn advance(&mut self, now: TimePoint) {
        let elapsed = now.since(self.current_since) >= self.settings.epoch_length;
        if elapsed || self.current_bytes() > self.settings.epoch_bytes.0 {
            self.begin_epoch(now);
        }
        self.close_expired(now);
        self.drop_expired_foreign(now);
        while self.bytes > self.settings.byte_limit.0 && self.evict_oldest() {
            self.evictions += 1;
        }
    }

    fn current_bytes(&self) -> u64 {
        let bytes = |epochs: &EpochMap| epochs.get(&self.current).map_or(0, |epoch| epoch.bytes);
        bytes(&self.own) + bytes(&self.foreign)
    }

    fn begin_epoch(&mut self, now: TimePoint) {
        self.current = self.current.next();
        self.current_since = now;
        self.own.insert(self.current, EpochSubmissions::new(now));
        self.foreign
            .insert(self.current, EpochSubmissions::new(now));
    }

    /// Closes the epochs that began too long ago.
    fn close_expired(&mut self, now: TimePoint) {
        let age_limit = self.settings.window + self.settings.epoch_length;
        while self.oldest_open < self.current {
            let began = self.own[&self.oldest_open].began;
            if now.since(began) < age_limit {
                break;
            }
            self.close_oldest();
        }
    }

    /// Closes the oldest open epoch. Running jobs stay in the table until they have ended.
    fn close_oldest(&mut self) {
        let epoch = self.oldest_open;
        self.oldest_open = epoch.next();
        self.evict_answers(SubmissionOrigin::Own, epoch);
        self.drop_closed(SubmissionOrigin::Own, epoch);
    }

    /// Drops the bare keys that are too old to be claimed again. A bare key carries no epoch, so
    /// its digest must not be dropped earlier to release memory.
    fn drop_expired_foreign(&mut self, now: TimePoint) {
        let age_limit =
            self.settings.window + self.settings.epoch_length + self.settings.key_margin;
        let old = self.foreign.iter();
        let old = old.take_while(|(_, epoch)| now.since(epoch.began) >= age_limit);
        let old = old.map(|(&number, _)| number).collect::<Vec<_>>();
        for epoch in old {
            self.evict_answers(SubmissionOrigin::Foreign, epoch);
            self.drop_closed(SubmissionOrigin::Foreign, epoch);
        }
    }

    /// Drops the digests of a closed epoch, and the epoch itself once no job of it is running.
    fn drop_closed(&mut self, side: SubmissionOrigin, epoch: EpochNumber) {
        let epochs = match side {
            SubmissionOrigin::Own => &mut self.own,
            SubmissionOrigin::Foreign => &mut self.foreign,
        };
        let Some(submissions) = epochs.get_mut(&epoch) else {
            return;
        };
        let released = Self::DIGEST_BYTES * submissions.evicted.len() as u64;
        submissions.evicted = HashSet::new();
        submissions.bytes -= released;
        self.bytes -= released;
        if submissions.states.is_empty() {
            epochs.remove(&epoch);
        }
    }

    /// Releases memory in the step that costs the least: the answers of the oldest epoch that has
    /// any, and only if there are none left, the oldest epoch itself. The current epoch stays
    /// open, because a prefix that was issued a moment ago must be usable. Returns whether memory
    /// was released.
    fn evict_oldest(&mut self) -> bool {
        let candidate = |epochs: &EpochMap| {
            let with_answers = epochs.iter().find(|(_, epoch)| epoch.has_answers());
            with_answers.map(|(&number, _)| number)
        };
        let own = candidate(&self.own).map(|epoch| (epoch, SubmissionOrigin::Own));
        let foreign = candidate(&self.foreign).map(|epoch| (epoch, SubmissionOrigin::Foreign));
        let oldest = [own, foreign].into_iter().flatten();
        if let Some((epoch, side)) = oldest.min_by_key(|(epoch, _)| *epoch) {
            self.evict_answers(side, epoch);
            return true;
        }
        if self.oldest_open < self.current {
            self.close_oldest();
            return true;
        }
        false
    }

    /// Replaces the answers of an epoch by their digests.
    fn evict_answers(&mut self, side: SubmissionOrigin, epoch: EpochNumber) {
        let epochs = match side {
            SubmissionOrigin::Own => &mut self.own,
            SubmissionOrigin::Foreign => &mut self.foreign,
        };
        let Some(submissions) = epochs.get_mut(&epoch) else {
            return;
        };
        let EpochSubmissions {
            states,
            evicted: forgotten,
            ..
        } = submissions;
        states.retain(|submission, state| {
            let live = matches!(state, SubmissionState::Live(..));
            if !live {
                forgotten.insert(self.hasher.digest(submission));
                self.foreign_epochs.remove(submission);
            }
            live
        });
        states.shrink_to_fit();
        let bytes = Self::ENTRY_BYTES * submissions.live as u64
            + Self::DIGEST_BYTES * submissions.evicted.len() as u64;
        self.bytes = self.bytes - submissions.bytes + bytes;
        submissions.bytes = bytes;
    }

    fn find(&self, submission: &SubmissionId) -> Option<&SubmissionState> {
        let epoch = match submission.prefix() {
            Some(prefix) if prefix.incarnation == self.incarnation => self.own.get(&prefix.epoch),
            _ => self.foreign.get(self.foreign_epochs.get(submission)?),
        };
        epoch?.states.get(submission)
    }

    /// Where a submission is recorded.
    fn assign_epoch(&mut self, submission: &SubmissionId) -> (SubmissionOrigin, EpochNumber) {
        match submission.prefix() {
            Some(prefix) if prefix.incarnation == self.incarnation => {
                (SubmissionOrigin::Own, prefix.epoch)
            }
            _ => {
                let recorded = self.foreign_epochs.entry(submission.clone());
                (SubmissionOrigin::Foreign, *recorded.or_insert(self.current))
            }
        }
    }

    fn insert(&mut self, submission: SubmissionId, state: SubmissionState, bytes: u64) {
        let (side, epoch) = self.assign_epoch(&submission);
        let epochs = match side {
            SubmissionOrigin::Own => &mut self.own,
            SubmissionOrigin::Foreign => &mut self.foreign,
        };
        let Some(submissions) = epochs.get_mut(&epoch) else {
            // A rejection for a closed epoch needs no record: the epoch accepts nothing.
            return;
        };
        let live = matches!(state, SubmissionState::Live(..));
        if side == SubmissionOrigin::Own && epoch < self.oldest_open && !live {
            return self.drop_ended(epoch, &submission);
        }
        let released = match submissions.states.insert(submission, state) {
            Some(SubmissionState::Live(..)) => {
                submissions.live -= 1;
                Self::ENTRY_BYTES
            }
            Some(SubmissionState::Finished(answer, _)) => Self::answer_bytes(&answer),
            None => 0,
        };
        submissions.live += usize::from(live);
        submissions.bytes = submissions.bytes + bytes - released;
        self.bytes = self.bytes + bytes - released;
    }

    /// Drops a job that ended after its own epoch was closed; a closed epoch keeps no outcomes. The
    /// cost must not depend on how many other jobs of the epoch are running.
    fn drop_ended(&mut self, epoch: EpochNumber, submission: &SubmissionId) {
        let Some(submissions) = self.own.get_mut(&epoch) else {
            return;
        };
        if submissions.states.remove(submission).is_some() {
            // A closed epoch contains running jobs only.
            submissions.live -= 1;
            submissions.bytes -= Self::ENTRY_BYTES;
            self.bytes -= Self::ENTRY_BYTES;
        }
        if submissions.states.is_empty() {
            self.own.remove(&epoch);
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
