//! The submissions that this incarnation has accepted, and their answers.
//!
//! An incarnation is one run of an entry VM's process. An incarnation divides its run time into
//! epochs, which are numbered from 0 and group submissions for eviction. A submission id either has
//! a prefix, which names the incarnation and the epoch that issued the prefix, or is a bare key: a
//! key without a prefix, which carries the client's time of the first submission instead.
//!
//! The table ensures that a submission is not accepted twice:
//! - An id with a prefix of this incarnation is accepted only while the epoch of the prefix is
//!   open, and only if the table has neither a state nor a digest of the id.
//! - A bare key is accepted only if the table has neither a state nor a digest of the key. The
//!   claim table ([`crate::claim`]) rejects keys that are too old.
//! - An id with a prefix of another incarnation is never accepted.
//!
//! When the memory limit is exceeded, answers are evicted. The digest of the submission id replaces
//! the answer and still shows that the submission was accepted. The digests of an epoch are dropped
//! only when the epoch is closed or, for bare keys, when the keys are too old to be claimed again.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_types::caller::JobAnswer;
use filbertpitch_types::prelude::*;

/// Limits on the age and memory of the entries of a [`SubmissionTable`].
#[derive(Clone, Debug)]
pub struct SubmissionSettings {
    /// The time after which the next epoch begins, unless `epoch_byte_limit` is exceeded earlier.
    pub epoch_length: Duration,
    /// How long an epoch continues to accept submissions after a full `epoch_length`. The epoch is
    /// closed earlier if the table exceeds `byte_limit` and has no answers to evict.
    pub acceptance_window: Duration,
    /// How much longer than `acceptance_window` the epochs of bare keys are kept. The claim table
    /// computes the age of a key from the client's clock, which may be ahead by
    /// [`ClaimSettings::clock_margin`](crate::claim::ClaimSettings::clock_margin) and may be
    /// adjusted. A key can therefore be claimed when more than the window has passed since its
    /// acceptance.
    pub bare_key_margin: Duration,
    /// The estimated memory of the table above which answers are evicted.
    pub byte_limit: ByteSize,
    /// The next epoch begins when the estimated memory of the current epoch exceeds this limit.
    /// Answers are evicted by whole epochs, so a larger limit makes each eviction release more.
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

/// What the table knows about a submission.
#[derive(Clone, Debug)]
pub enum SubmissionStatus {
    /// The submission was never accepted and may be accepted now.
    New,
    /// The submission was accepted and has no answer yet.
    Live {
        /// The job that was created for the submission.
        job: JobNumber,
        /// The digest of the accepted request.
        digest: RequestDigest,
    },
    /// The submission was answered, and the answer is in the table.
    Finished {
        /// The job's answer.
        answer: Rc<JobAnswer>,
        /// The digest of the request; `None` if the answer was imported or the submission was
        /// cancelled before its request arrived.
        digest: Option<RequestDigest>,
    },
    /// The submission may have run, so it is not accepted: the submission's epoch is closed, its
    /// answer was evicted, or it has a prefix of another incarnation and no state in this table.
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

/// Whether this incarnation issued the prefix of a submission id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubmissionOrigin {
    /// The id has a prefix of this incarnation.
    Own,
    /// The id is a bare key, which has no prefix, or has a prefix of another incarnation.
    Foreign,
}

/// A digest of a submission id. With 128 bits, two ids practically never have the same digest, so a
/// new submission is not mistaken for one whose answer was evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct IdDigest(u64, u64);

/// Computes digests with hash keys that are random in each process, so that clients cannot
/// construct collisions.
#[derive(Debug)]
struct IdHasher([RandomState; 2]);

impl IdHasher {
    fn digest(&self, submission: &SubmissionId) -> IdDigest {
        let [first, second] = &self.0;
        IdDigest(first.hash_one(submission), second.hash_one(submission))
    }
}

/// The submissions of one epoch and origin.
#[derive(Debug)]
struct EpochSubmissions {
    began: TimePoint,
    states: HashMap<SubmissionId, SubmissionState>,
    /// The digests of the submissions whose answers were evicted.
    evicted: HashSet<IdDigest>,
    /// The estimated memory of `states` and `evicted`, in bytes.
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

    /// Whether `states` contains answers, which could be evicted.
    fn has_answers(&self) -> bool {
        self.states.len() > self.live
    }
}

type EpochMap = BTreeMap<EpochNumber, EpochSubmissions>;

/// The accepted submissions and their answers, by epoch. See the [module](self) documentation.
#[derive(Debug)]
pub struct SubmissionTable {
    settings: SubmissionSettings,
    incarnation: IncarnationId,
    hasher: IdHasher,
    /// The submissions with a prefix of this incarnation, by the epoch of their prefix.
    own: EpochMap,
    /// Bare keys and submissions with a prefix of another incarnation, by the epoch of this
    /// incarnation in which they were recorded.
    foreign: EpochMap,
    /// The key in `foreign` for each submission that has a state there.
    foreign_epochs: HashMap<SubmissionId, EpochNumber>,
    current_epoch: EpochNumber,
    current_began: TimePoint,
    oldest_open_epoch: EpochNumber,
    bytes: u64,
    evictions: u64,
}

impl SubmissionTable {
    /// The estimated memory of a submission's state, in bytes: the id and its strings, the map slot
    /// and the job answer. The task answers are counted separately.
    const ENTRY_BYTES: u64 = 512;
    /// The estimated memory of a task answer, in bytes, without the content of its output or error
    /// text: the answer itself and the overhead of its allocations.
    const TASK_BYTES: u64 = 96;
    /// The estimated memory of a digest in a hash set with the usual load factor, in bytes.
    const DIGEST_BYTES: u64 = 32;

    /// Creates an empty table for `incarnation`, whose first epoch begins at `now`.
    pub fn new(incarnation: IncarnationId, settings: SubmissionSettings, now: TimePoint) -> Self {
        let epoch = EpochNumber(0);
        Self {
            settings,
            incarnation,
            hasher: IdHasher([RandomState::new(), RandomState::new()]),
            own: BTreeMap::from([(epoch, EpochSubmissions::new(now))]),
            foreign: BTreeMap::from([(epoch, EpochSubmissions::new(now))]),
            foreign_epochs: HashMap::new(),
            current_epoch: epoch,
            current_began: now,
            oldest_open_epoch: epoch,
            bytes: 0,
            evictions: 0,
        }
    }

    /// The current epoch, which new prefixes carry.
    pub fn current_epoch(&self) -> EpochNumber {
        self.current_epoch
    }

    /// The estimated memory of all states and digests.
    pub fn bytes(&self) -> ByteSize {
        ByteSize(self.bytes)
    }

    /// The number of epochs whose answers were evicted, plus the number of epochs that were closed
    /// early, both because the table exceeded its byte limit.
    pub fn evictions(&self) -> u64 {
        self.evictions
    }

    /// The number of submissions that are live or have an answer in the table. Digests do not
    /// count.
    pub fn len(&self) -> usize {
        self.epochs().map(|epoch| epoch.states.len()).sum()
    }

    /// Whether no submission is live or has an answer in the table. Digests do not count.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn epochs(&self) -> impl Iterator<Item = &EpochSubmissions> {
        self.own.values().chain(self.foreign.values())
    }

    /// Looks up whether a submission is new, live, answered or expired.
    pub fn lookup(&self, submission: &SubmissionId) -> SubmissionStatus {
        match self.find_state(submission) {
            Some(SubmissionState::Live(job, digest)) => SubmissionStatus::Live {
                job: *job,
                digest: *digest,
            },
            Some(SubmissionState::Finished(answer, digest)) => SubmissionStatus::Finished {
                answer: Rc::clone(answer),
                digest: *digest,
            },
            None if self.may_accept(submission) => SubmissionStatus::New,
            None => SubmissionStatus::Expired,
        }
    }

    /// Whether a submission that has no state in the table may be accepted.
    fn may_accept(&self, submission: &SubmissionId) -> bool {
        let is_evicted = |epoch: &EpochSubmissions| {
            !epoch.evicted.is_empty() && epoch.evicted.contains(&self.hasher.digest(submission))
        };
        match submission.prefix() {
            Some(prefix) => {
                let open = self.oldest_open_epoch..=self.current_epoch;
                prefix.incarnation == self.incarnation
                    && open.contains(&prefix.epoch)
                    && !is_evicted(&self.own[&prefix.epoch])
            }
            // `ClaimTable` has already rejected keys that are too old, and the digest of a key is
            // kept for longer than the key can be claimed.
            None => !self.foreign.values().any(is_evicted),
        }
    }

    /// Records that `submission` was accepted as `job`.
    ///
    /// # Panics
    /// If the submission is not new; two jobs for one submission would break idempotence.
    pub fn accept(&mut self, submission: &SubmissionId, job: JobNumber, digest: RequestDigest) {
        let status = self.lookup(submission);
        assert!(
            matches!(status, SubmissionStatus::New),
            "cannot accept {submission}: its status is {status:?}"
        );
        let state = SubmissionState::Live(job, digest);
        self.insert(submission.clone(), state, Self::ENTRY_BYTES);
    }

    /// Records the answer to a submission that is live, or that is answered without having been
    /// accepted: rejected, cancelled before its request arrived, or imported. Without `digest`, the
    /// digest recorded by [`Self::accept`] is kept.
    pub fn record_answer(&mut self, answer: Rc<JobAnswer>, digest: Option<RequestDigest>) {
        let submission = answer.submission.clone();
        let digest = digest.or_else(|| match self.find_state(&submission) {
            Some(SubmissionState::Live(_, digest)) => Some(*digest),
            _ => None,
        });
        let bytes = Self::answer_bytes(&answer);
        self.insert(submission, SubmissionState::Finished(answer, digest), bytes);
    }

    /// Records the answers that another incarnation handed over when it stopped.
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

    /// Begins a new epoch if the current one has reached its limits, closes own epochs and drops
    /// foreign epochs that have reached their age limits, and releases memory while the table
    /// exceeds its byte limit.
    pub fn advance(&mut self, now: TimePoint) {
        let has_ended = now.since(self.current_began) >= self.settings.epoch_length;
        if has_ended || self.current_bytes() > self.settings.epoch_byte_limit.0 {
            self.begin_epoch(now);
        }
        self.close_expired(now);
        self.drop_expired_foreign(now);
        while self.bytes > self.settings.byte_limit.0 && self.evict_oldest() {
            self.evictions += 1;
        }
    }

    fn current_bytes(&self) -> u64 {
        let bytes = |epochs: &EpochMap| {
            epochs
                .get(&self.current_epoch)
                .map_or(0, |epoch| epoch.bytes)
        };
        bytes(&self.own) + bytes(&self.foreign)
    }

    fn begin_epoch(&mut self, now: TimePoint) {
        self.current_epoch = self.current_epoch.next();
        self.current_began = now;
        self.own
            .insert(self.current_epoch, EpochSubmissions::new(now));
        self.foreign
            .insert(self.current_epoch, EpochSubmissions::new(now));
    }

    /// Closes the open epochs that have reached their age limit.
    fn close_expired(&mut self, now: TimePoint) {
        let age_limit = self.settings.acceptance_window + self.settings.epoch_length;
        while self.oldest_open_epoch < self.current_epoch {
            let began = self.own[&self.oldest_open_epoch].began;
            if now.since(began) < age_limit {
                break;
            }
            self.close_oldest_epoch();
        }
    }

    /// Closes the oldest open epoch. The epoch's live submissions stay in the table until they are
    /// answered.
    fn close_oldest_epoch(&mut self) {
        let epoch = self.oldest_open_epoch;
        self.oldest_open_epoch = epoch.next();
        self.evict_answers(SubmissionOrigin::Own, epoch);
        self.drop_digests(SubmissionOrigin::Own, epoch);
    }

    /// Drops the answers and digests of the foreign epochs whose bare keys are too old to be
    /// claimed again. Digests must not be dropped earlier to release memory: a bare key carries no
    /// epoch, so the key would be taken for new.
    fn drop_expired_foreign(&mut self, now: TimePoint) {
        let age_limit = self.settings.acceptance_window
            + self.settings.epoch_length
            + self.settings.bare_key_margin;
        let old = self.foreign.iter();
        let old = old.take_while(|(_, epoch)| now.since(epoch.began) >= age_limit);
        let old = old.map(|(&number, _)| number).collect::<Vec<_>>();
        for epoch in old {
            self.evict_answers(SubmissionOrigin::Foreign, epoch);
            self.drop_digests(SubmissionOrigin::Foreign, epoch);
        }
    }

    /// Drops the digests of an epoch, and removes the epoch if none of its submissions is live.
    fn drop_digests(&mut self, origin: SubmissionOrigin, epoch: EpochNumber) {
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

    /// Evicts the answers of the oldest epoch that has any. If there are no answers, closes the
    /// oldest open epoch instead. Closing is the more costly loss, because a closed epoch accepts no
    /// submissions. The current epoch stays open, because prefixes that were just issued must
    /// remain usable. Returns whether anything was evicted or closed.
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
        if self.oldest_open_epoch < self.current_epoch {
            self.close_oldest_epoch();
            return true;
        }
        false
    }

    /// Replaces the answers of an epoch by the digests of the submission ids.
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

    fn find_state(&self, submission: &SubmissionId) -> Option<&SubmissionState> {
        let epoch = match submission.prefix() {
            Some(prefix) if prefix.incarnation == self.incarnation => self.own.get(&prefix.epoch),
            _ => self.foreign.get(self.foreign_epochs.get(submission)?),
        };
        epoch?.states.get(submission)
    }

    /// Returns the origin of a submission and the epoch under which the submission is recorded.
    /// Records the current epoch for a foreign submission that has no entry in `foreign_epochs`.
    fn assign_epoch(&mut self, submission: &SubmissionId) -> (SubmissionOrigin, EpochNumber) {
        match submission.prefix() {
            Some(prefix) if prefix.incarnation == self.incarnation => {
                (SubmissionOrigin::Own, prefix.epoch)
            }
            _ => {
                let recorded = self.foreign_epochs.entry(submission.clone());
                (
                    SubmissionOrigin::Foreign,
                    *recorded.or_insert(self.current_epoch),
                )
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
            // The epoch is closed and has no live submissions, or was never issued. The answer need
            // not be recorded, because such an epoch accepts no submission.
            return;
        };
        let live = matches!(state, SubmissionState::Live(..));
        if origin == SubmissionOrigin::Own && epoch < self.oldest_open_epoch && !live {
            return self.drop_answered(epoch, &submission);
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

    /// Removes a submission that was answered after its epoch was closed, because closed epochs
    /// keep no answers. Takes constant time, however many other submissions of the epoch are live.
    fn drop_answered(&mut self, epoch: EpochNumber, submission: &SubmissionId) {
        let Some(submissions) = self.own.get_mut(&epoch) else {
            return;
        };
        if submissions.states.remove(submission).is_some() {
            // Closing the epoch evicted its answers, so all states that remain are live.
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
