//! A baseline for the dispatcher: an entry VM that places every task at a random target.
//!
//! It has no queue, no fairness and no memory of submissions. It shows what the measures of the
//! load generator are without a dispatcher, and which load the generator itself can sustain.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use filbertpitch_types::caller::{JobAnswer, JobRequest, PrefixAnswer, TaskAnswer, TaskSpec};
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{AttemptOutcome, StartAnswer, StartRequest};
use filbertpitch_wire::client::{ConnectionPool, PoolLimits, RequestOptions, SentState};
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::{ClientRequest, ServerRequest, ServerResponse};
use filbertpitch_wire::server::RequestHandler;
use futures_util::future::join_all;
use http::{Method, Uri};
use rand::Rng;

use super::reply::{bad_request, not_found, ok};

/// The pause before a task that found a busy target is placed again.
const BUSY_DELAY: Duration = Duration::from_millis(2);

/// The entry VM.
pub struct RandomEntry {
    prefix: OwnerPrefix,
    targets: Vec<ConnectionPool>,
    next_job: Cell<u64>,
}

impl RandomEntry {
    /// An entry VM at `address` that uses up to `connections` connections per target.
    ///
    /// # Panics
    /// When there is no target.
    pub fn new(address: SocketAddr, targets: Vec<SocketAddr>, connections: usize) -> Self {
        assert!(!targets.is_empty(), "there must be a target");
        let limits = PoolLimits {
            connections,
            ..PoolLimits::default()
        };
        let pools = targets.into_iter();
        let pools = pools.map(|target| ConnectionPool::new(target, limits.clone()));
        Self {
            prefix: OwnerPrefix {
                zone: "baseline".parse().expect("a valid name"),
                address,
                incarnation: IncarnationId(rand::random()),
                epoch: EpochNumber(0),
            },
            targets: pools.collect(),
            next_job: Cell::new(0),
        }
    }

    async fn run_job(&self, job: &JobRequest) -> JobAnswer {
        let number = JobNumber(self.next_job.replace(self.next_job.get() + 1));
        let give_up = Instant::now() + job.deadline;
        let tasks = job.tasks.iter().enumerate().map(|(position, spec)| {
            let attempt = AttemptId {
                incarnation: self.prefix.incarnation,
                job: number,
                task: TaskIndex(position as u16),
                attempt: AttemptNumber(0),
            };
            self.run_task(&job.service, spec, attempt, give_up)
        });
        let mut tasks = join_all(tasks).await;
        let outcome = job_outcome(&tasks);
        if outcome != JobOutcome::Complete {
            tasks.iter_mut().for_each(clear_output);
        }
        JobAnswer {
            submission: job.submission.clone(),
            outcome,
            tasks,
            not_run: None,
            unknown: None,
            retry_after: None,
            prefix: Some(self.prefix.clone()),
        }
    }

    async fn run_task(
        &self,
        service: &ServiceName,
        spec: &TaskSpec,
        mut attempt: AttemptId,
        give_up: Instant,
    ) -> TaskAnswer {
        let mut answer = TaskAnswer {
            task: attempt.task,
            outcome: TaskOutcome::NotRun {
                reason: NotRunReason::DeadlineUnreachable,
            },
            attempts: 0,
            target: None,
            run_time: Duration::ZERO,
        };
        while Instant::now() < give_up {
            match self.start(service, spec, attempt, give_up).await {
                Some((outcome, run_time)) => {
                    answer.outcome = outcome;
                    answer.run_time = run_time;
                    answer.attempts = 1;
                    return answer;
                }
                None => monoio::time::sleep(BUSY_DELAY).await,
            }
            attempt.attempt = AttemptNumber(attempt.attempt.0.wrapping_add(1));
        }
        answer
    }

    /// Starts a task at a random target. `None` if it certainly did not start.
    async fn start(
        &self,
        service: &ServiceName,
        spec: &TaskSpec,
        attempt: AttemptId,
        give_up: Instant,
    ) -> Option<(TaskOutcome, Duration)> {
        let left = give_up.saturating_duration_since(Instant::now());
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let message = StartRequest {
            attempt,
            service: service.clone(),
            kind: spec.kind.clone(),
            input: spec.input.clone(),
            lease_until: WallTime(now.as_millis() as u64) + left,
            resume_from: None,
        };
        let uri = Uri::from_static("/v1/tasks");
        let request = ClientRequest::post(uri, BodyFormat::Json, &message).ok()?;
        let options = RequestOptions {
            timeout: left,
            ..RequestOptions::default()
        };
        let target = rand::rng().random_range(0..self.targets.len());
        match self.targets[target].request(&request, &options).await {
            Err(error) if error.sent == SentState::NotSent => None,
            Err(_) => Some((unknown(), Duration::ZERO)),
            Ok(response) => match response.decode::<StartAnswer>(BodyFormat::Json) {
                Ok(answer) => outcome_of(answer.verdict),
                Err(_) => Some((unknown(), Duration::ZERO)),
            },
        }
    }
}

fn unknown() -> TaskOutcome {
    TaskOutcome::Unknown {
        reason: UnknownReason::TargetUnreachable,
    }
}

fn outcome_of(verdict: AttemptOutcome) -> Option<(TaskOutcome, Duration)> {
    let failed = |reason| TaskOutcome::Failed { reason };
    match verdict {
        AttemptOutcome::Done { output, run_time } => Some((TaskOutcome::Done { output }, run_time)),
        AttemptOutcome::Failed { reason, run_time } => {
            Some((failed(FailureReason::TargetError(reason)), run_time))
        }
        AttemptOutcome::Refused { .. } => None,
        AttemptOutcome::LeaseExpired => Some((failed(FailureReason::LeaseExpired), Duration::ZERO)),
        AttemptOutcome::Stopped | AttemptOutcome::Checkpointed { .. } => {
            Some((failed(FailureReason::Cancelled), Duration::ZERO))
        }
    }
}

fn job_outcome(tasks: &[TaskAnswer]) -> JobOutcome {
    let all = |matches: fn(&TaskOutcome) -> bool| tasks.iter().all(|task| matches(&task.outcome));
    if all(|outcome| matches!(outcome, TaskOutcome::Done { .. })) {
        JobOutcome::Complete
    } else if all(|outcome| matches!(outcome, TaskOutcome::NotRun { .. })) {
        JobOutcome::NotRun
    } else if all(|outcome| !matches!(outcome, TaskOutcome::Unknown { .. })) {
        JobOutcome::Failed
    } else {
        JobOutcome::Unknown
    }
}

fn clear_output(task: &mut TaskAnswer) {
    if let TaskOutcome::Done { output } = &mut task.outcome {
        *output = "".into();
    }
}

impl RequestHandler for RandomEntry {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        match (&request.method, request.path()) {
            (&Method::GET, "/v1/prefix") => ok(&PrefixAnswer {
                prefix: self.prefix.clone(),
            }),
            (&Method::POST, "/v1/jobs") => match request.decode::<JobRequest>(BodyFormat::Json) {
                Ok(job) => ok(&self.run_job(&job).await),
                Err(error) => bad_request(&error),
            },
            _ => not_found(),
        }
    }
}
