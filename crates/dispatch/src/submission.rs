//! The submissions that this incarnation has accepted, and their answers.
//!
//! Idempotence rests on one invariant: a submission of an open epoch that is not in the table was
//! never accepted, and a submission of a closed epoch is not accepted any more. When the memory
//! limit is exceeded, answers are evicted and replaced by digests, which still show that a
//! submission was accepted. Digests are dropped only together with their epoch, after the epoch has
//! been closed.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_types::caller::JobAnswer;
use filbertpitch_types::prelude::*;

/// Limits of the submission table.
#[derive(Clone, Debug)]
pub struct SubmissionSettings {
    /// The duration of an epoch. An epoch that exceeds `epoch_byte_limit` ends earlier.
    pub epoch_length: Duration,
    /// The time for which an epoch stays open after its end.
    pub acceptance_window: Duration,
    /// The time beyond the window for which bare keys are kept. A client's clock may be ahead (30 s
    /// by default), and clocks are adjusted, so a key can be claimed for longer than the window
    /// after it was accepted.
    pub bare_key_margin: Duration,
    /// The memory limit of the table.
    pub byte_limit: ByteSize,
    /// The memory of an epoch from which the next epoch begins. Answers are evicted by whole epochs,
    /// so this is the amount that one eviction releases.
    pub epoch_byte_limit: ByteSize,
}

impl Default for SubmissionSettings {
    fn default() -> Self {
        Self {
            epoch_length: Duration::from_secs(60),
            acceptance_window: Duration::from_secs(600),
            bare_key_margin: Duration::from_secs(60),
            byte_limit: ByteSize::mib(32),
            epoch_byte_limit: ByteSize::mib(2),
        }
    }
}

/// The status of a submission in the table.
#[derive(Clone, Debug)]
pub enum SubmissionStatus {
    /// The submission was never accepted and may be accepted now.
    New,
    /// The submission was accepted and has no answer yet.
    Live {
        /// The number of the submission's job.
        job: JobNumber,
        /// The digest of the accepted request.
        content: RequestDigest,
    },
    /// The submission has an answer.
    Finished {
        /// The answer.
        answer: Rc<JobAnswer>,
        /// The digest of the accepted request, if this incarnation accepted the submission.
        content: Option<RequestDigest>,
    },
    /// The submission's epoch is closed, or its answer was evicted. The submission may have run and
    /// will not be started.
    Expired,
}

/// A digest of a request, which detects the use of one submission id for two different jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestDigest(pub u64);

#[derive(Clone, Debug)]
enum SubmissionState {
    Live(JobNumber, RequestDigest),
    Finished(Rc<JobAnswer>, Option<RequestDigest>),
}

/// The origin of a submission id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubmissionOrigin {
    /// The id has a prefix of this incarnation.
    Own,
    /// The id is a bare key or has a prefix of another incarnation.
    Foreign,
}

/// The digest of a submission id whose answer was evicted. With 128 bits, it is practically
/// impossible that a new submission has the digest of an evicted one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SubmissionDigest(u64, u64);

/// Computes digests with random keys of this process, so that clients cannot construct collisions.
#[derive(Debug)]
struct DigestHasher([RandomState; 2]);

impl DigestHasher {
    fn digest(&self, submission: &SubmissionId) -> SubmissionDigest {
        let [first, second] = &self.0;
        SubmissionDigest(first.hash_one(submission), second.hash_one(submission))
    }
}

/// The submissions of one epoch and origin.
#[derive(Debug)]
struct EpochSubmissions {
    began: TimePoint,
    states: HashMap<SubmissionId, SubmissionState>,
    /// The digests of the submissions whose answers were evicted.
    evicted: HashSet<SubmissionDigest>,
    /// The estimated memory of the submissions, in bytes.
    bytes: u64,
    /// The number of submissions without an answer.
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

    /// Whether the epoch has answers that could be evicted.
    fn has_answers(&self) -> bool {
        self.states.len() > self.live
    }
}

type EpochMap = BTreeMap<EpochNumber, EpochSubmissions>;

/// The submissions known to one incarnation.
#[derive(Debug)]
pub struct SubmissionTable {
    settings: SubmissionSettings,
    incarnation: IncarnationId,
    hasher: DigestHasher,
    /// The submissions with a prefix of this incarnation, by the epoch of their prefix.
    own: EpochMap,
    /// Bare keys and submissions of other incarnations, by the epoch in which they were recorded.
    foreign: EpochMap,
    /// The epochs under which the submissions in `foreign` were recorded.
    foreign_epochs: HashMap<SubmissionId, EpochNumber>,
    current: EpochNumber,
    current_since: TimePoint,
    oldest_open: EpochNumber,
    bytes: u64,
    evictions: u64,
}

impl SubmissionTable {
    /// The estimated memory of an entry without its task answers, in bytes: the id with its texts, the
    /// map slot and the answer itself.
    const ENTRY_BYTES: u64 = 512;
    /// The estimated memory of a task answer without its output, in bytes: the answer and the
    /// allocations of its texts.
    const TASK_BYTES: u64 = 96;
    /// The estimated memory of an evicted submission, in bytes, at the usual load factor of a hash set.
    const DIGEST_BYTES: u64 = 32;

    /// Creates an empty table for `incarnation`, whose first epoch begins at `now`.
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

    /// The current epoch, which new prefixes carry.
    pub fn current_epoch(&self) -> EpochNumber {
        self.current
    }

    /// The estimated memory of the table.
    pub fn bytes(&self) -> ByteSize {
        ByteSize(self.bytes)
    }

    /// How many times the answers of an epoch were evicted, or an epoch was closed, because the byte
    /// limit was exceeded.
    pub fn evictions(&self) -> u64 {
        self.evictions
    }

    /// The number of submissions that are live or whose answer is kept.
    pub fn len(&self) -> usize {
        self.epochs().map(|epoch| epoch.states.len()).sum()
    }

    /// Whether no submission is live and no answer is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn epochs(&self) -> impl Iterator<Item = &EpochSubmissions> {
        self.own.values().chain(self.foreign.values())
    }

    /// The status of a submission.
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

    /// Whether a submission that is neither live nor finished may be accepted.
    fn may_accept(&self, submission: &SubmissionId) -> bool {
        let is_evicted = |epoch: &EpochSubmissions| {
            !epoch.evicted.is_empty() && epoch.evicted.contains(&self.hasher.digest(submission))
        };
        match submission.prefix() {
            Some(prefix) => {
                let open = self.oldest_open..=self.current;
                prefix.incarnation == self.incarnation
                    && open.contains(&prefix.epoch)
                    && !is_evicted(&self.own[&prefix.epoch])
            }
            // The claim table has already checked the age of a bare key, and the key's digest is kept
            // for longer than the key can be claimed.
            None => !self.foreign.values().any(is_evicted),
        }
    }

    /// Records that `submission` was accepted as `job`.
    ///
    /// # Panics
    /// If the submission is not new; two jobs for one submission would break idempotence.
    pub fn accept(&mut self, submission: &SubmissionId, job: JobNumber, content: RequestDigest) {
        let status = self.lookup(submission);
        assert!(
            matches!(status, SubmissionStatus::New),
            "accepted {submission} although its status is {status:?}"
        );
        let state = SubmissionState::Live(job, content);
        self.insert(submission.clone(), state, Self::ENTRY_BYTES);
    }

    /// Records the answer to a submission that was accepted before or is rejected now.
    pub fn record_answer(&mut self, answer: Rc<JobAnswer>, content: Option<RequestDigest>) {
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

    /// Records the answers that a stopped incarnation handed over.
    pub fn import_answers(&mut self, answers: Vec<JobAnswer>) {
        for answer in answers {
            self.record_answer(Rc::new(answer), None);
        }
    }

    /// All answers in the table, for a handover.
    pub fn answers(&self) -> impl Iterator<Item = &Rc<JobAnswer>> {
        let states = self.epochs().flat_map(|epoch| epoch.states.values());
        states.filter_map(|state| match state {
            SubmissionState::Finished(answer, _) => Some(answer),
            SubmissionState::Live(..) => None,
        })
    }

    /// Begins a new epoch if the current one has ended, closes the epochs outside the window, and
    /// evicts answers while the table exceeds its memory limit.
    pub fn advance(&mut self, now: TimePoint) {
        let elapsed = now.since(self.current_since) >= self.settings.epoch_length;
        if elapsed || self.current_bytes() > self.settings.epoch_byte_limit.0 {
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

    /// Closes the epochs whose window has passed.
    fn close_expired(&mut self, now: TimePoint) {
        let age_limit = self.settings.acceptance_window + self.settings.epoch_length;
        while self.oldest_open < self.current {
            let began = self.own[&self.oldest_open].began;
            if now.since(began) < age_limit {
                break;
            }
            self.close_oldest();
        }
    }

    /// Closes the oldest open epoch. Its live submissions stay in the table until they are answered.
    fn close_oldest(&mut self) {
        let epoch = self.oldest_open;
        self.oldest_open = epoch.next();
        self.evict_answers(SubmissionOrigin::Own, epoch);
        self.drop_closed(SubmissionOrigin::Own, epoch);
    }

    /// Drops the foreign epochs whose bare keys are too old to be claimed again. A bare key carries no
    /// epoch, so its digest must not be dropped earlier to release memory.
    fn drop_expired_foreign(&mut self, now: TimePoint) {
        let age_limit = self.settings.acceptance_window
            + self.settings.epoch_length
            + self.settings.bare_key_margin;
        let old = self.foreign.iter();
        let old = old.take_while(|(_, epoch)| now.since(epoch.began) >= age_limit);
        let old = old.map(|(&number, _)| number).collect::<Vec<_>>();
        for epoch in old {
            self.evict_answers(SubmissionOrigin::Foreign, epoch);
            self.drop_closed(SubmissionOrigin::Foreign, epoch);
        }
    }

    /// Drops the digests of a closed epoch, and the epoch itself if none of its submissions is live.
    fn drop_closed(&mut self, origin: SubmissionOrigin, epoch: EpochNumber) {
        let epochs = match origin {
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

    /// Evicts the answers of the oldest epoch that has any. Only if no answers are left, closes the
    /// oldest epoch, which is the more costly loss. The current epoch stays open, because prefixes
    /// that were just issued must remain usable. Returns whether anything was evicted or closed.
    fn evict_oldest(&mut self) -> bool {
        let candidate = |epochs: &EpochMap| {
            let with_answers = epochs.iter().find(|(_, epoch)| epoch.has_answers());
            with_answers.map(|(&number, _)| number)
        };
        let own = candidate(&self.own).map(|epoch| (epoch, SubmissionOrigin::Own));
        let foreign = candidate(&self.foreign).map(|epoch| (epoch, SubmissionOrigin::Foreign));
        let oldest = [own, foreign].into_iter().flatten();
        if let Some((epoch, origin)) = oldest.min_by_key(|(epoch, _)| *epoch) {
            self.evict_answers(origin, epoch);
            return true;
        }
        if self.oldest_open < self.current {
            self.close_oldest();
            return true;
        }
        false
    }

    /// Replaces the answers of an epoch by digests of their submissions.
    fn evict_answers(&mut self, origin: SubmissionOrigin, epoch: EpochNumber) {
        let epochs = match origin {
            SubmissionOrigin::Own => &mut self.own,
            SubmissionOrigin::Foreign => &mut self.foreign,
        };
        let Some(submissions) = epochs.get_mut(&epoch) else {
            return;
        };
        let EpochSubmissions {
            states, evicted, ..
        } = submissions;
        states.retain(|submission, state| {
            let live = matches!(state, SubmissionState::Live(..));
            if !live {
                evicted.insert(self.hasher.digest(submission));
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

    /// The origin of a submission and the epoch under which it is recorded. A foreign submission
    /// without an epoch is assigned the current one.
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
        let (origin, epoch) = self.assign_epoch(&submission);
        let epochs = match origin {
            SubmissionOrigin::Own => &mut self.own,
            SubmissionOrigin::Foreign => &mut self.foreign,
        };
        let Some(submissions) = epochs.get_mut(&epoch) else {
            // A rejection in a closed epoch is not recorded: the epoch accepts no submission.
            return;
        };
        let live = matches!(state, SubmissionState::Live(..));
        if origin == SubmissionOrigin::Own && epoch < self.oldest_open && !live {
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

    /// Drops a submission that was answered after its epoch had been closed; closed epochs keep no
    /// answers. The cost must not depend on the number of other live submissions of the epoch.
    fn drop_ended(&mut self, epoch: EpochNumber, submission: &SubmissionId) {
        let Some(submissions) = self.own.get_mut(&epoch) else {
            return;
        };
        if submissions.states.remove(submission).is_some() {
            // All submissions of a closed epoch are live.
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
