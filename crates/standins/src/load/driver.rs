//! Sends the jobs of the schedule at their times, whatever the system does.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::thread;
use std::time::{Duration, Instant};

use filbertpitch_types::caller::{JobRequest, TaskSpec};
use filbertpitch_types::prelude::*;
use filbertpitch_types::units::DurationText;
use filbertpitch_wire::runtime;
use futures_util::future::join;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::entry::{EntryClient, SubmitReply};
use super::record::{JobRecord, JobResult, TaskClaims};
use super::schedule::JobArrival;
use super::settings::RunArgs;
use super::verify::{collect_claims, judge_answer, measured_ideal};
use crate::http::ticker::PreciseTicker;
use crate::world::WorldProfile;

/// The pause before a submission without an outcome is repeated.
const RESUBMIT_DELAY: Duration = Duration::from_millis(50);
/// The delay of the second copy of a job that is submitted twice.
const COPY_DELAY: Duration = Duration::from_millis(5);
/// Prefixes are refreshed at this interval, well inside the owner's window.
const PREFIX_INTERVAL: Duration = Duration::from_secs(10);
/// The interval at which the end of the last jobs is awaited.
const DRAIN_INTERVAL: Duration = Duration::from_millis(10);

/// What a run produced.
#[derive(Clone, Debug, Default)]
pub struct DriverOutput {
    /// One record per scheduled job.
    pub records: Vec<JobRecord>,
    /// What the answers claim.
    pub claims: TaskClaims,
    /// Errors by text.
    pub errors: BTreeMap<Box<str>, u64>,
    /// The largest delay between a job's scheduled arrival and its sending.
    pub send_delay: Duration,
}

impl DriverOutput {
    fn extend(&mut self, other: Self) {
        self.records.extend(other.records);
        self.claims.extend(other.claims);
        for (text, count) in other.errors {
            *self.errors.entry(text).or_default() += count;
        }
        self.send_delay = self.send_delay.max(other.send_delay);
    }
}

/// Runs the schedule on the threads of the settings.
///
/// # Errors
/// When the system refuses to create an event queue.
pub fn drive(args: &RunArgs) -> io::Result<DriverOutput> {
    let run: u64 = rand::random();
    let start = Instant::now() + Duration::from_millis(200);
    let threads = args.threads.max(1);
    let workers = (0..threads).map(|index| {
        let args = args.clone();
        thread::spawn(move || runtime::run(drive_share(args, run, start, index)))
    });
    let workers = workers.collect::<Vec<_>>();
    let mut output = DriverOutput::default();
    for worker in workers {
        output.extend(worker.join().expect("a load thread does not panic")?);
    }
    output.records.sort_by_key(|record| record.at);
    Ok(output)
}

/// What the jobs of one thread share.
struct DriverState {
    world: WorldProfile,
    entries: Vec<EntryClient>,
    deadline: Duration,
    run: u64,
    start: Instant,
    in_flight: Cell<usize>,
    output: RefCell<DriverOutput>,
}

async fn drive_share(args: RunArgs, run: u64, start: Instant, index: usize) -> DriverOutput {
    let threads = args.threads.max(1);
    let connections = args.in_flight.div_ceil(threads);
    let entries = args.entry_addresses().into_iter();
    let state = Rc::new(DriverState {
        world: args.world(),
        entries: entries
            .map(|address| EntryClient::new(address, connections))
            .collect(),
        deadline: args.deadline.0,
        run,
        start,
        in_flight: Cell::new(0),
        output: RefCell::default(),
    });
    refresh_prefixes(&state).await;
    monoio::spawn(keep_prefixes(state.clone()));
    let ticker = PreciseTicker::start();
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed ^ index as u64);
    let own = args
        .schedule()
        .filter(|arrival| arrival.number as usize % threads == index);
    for arrival in own {
        ticker.sleep_until(start + arrival.at).await;
        yield_once().await;
        state.note_delay(start + arrival.at);
        if state.in_flight.get() >= connections {
            state.record(&arrival, JobResult::NotSent, Duration::ZERO, 0);
            continue;
        }
        let copied = rng.random_bool(args.resubmit.clamp(0.0, 1.0));
        state.in_flight.set(state.in_flight.get() + 1);
        monoio::spawn(run_job(state.clone(), arrival, copied));
    }
    // Every job ends by itself, because every request has a time limit.
    while state.in_flight.get() > 0 {
        monoio::time::sleep(DRAIN_INTERVAL).await;
    }
    state.output.take()
}

/// Lets other tasks run, also when the schedule is behind.
async fn yield_once() {
    let mut yielded = false;
    poll_fn(|context| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

async fn refresh_prefixes(state: &DriverState) {
    for entry in &state.entries {
        entry.fetch_prefix().await;
    }
}

async fn keep_prefixes(state: Rc<DriverState>) {
    loop {
        monoio::time::sleep(PREFIX_INTERVAL).await;
        refresh_prefixes(&state).await;
    }
}

async fn run_job(state: Rc<DriverState>, arrival: JobArrival, copied: bool) {
    let Some(job) = state.request(&arrival) else {
        state.count_error("no entry VM issued a prefix");
        return state.finish(&arrival, JobResult::NoAnswer, Duration::ZERO, 0);
    };
    let entry = arrival.number as usize;
    let (first, second) = match copied {
        false => (submit_until_answered(&state, &job, entry).await, None),
        true => {
            let copy = async {
                monoio::time::sleep(COPY_DELAY).await;
                submit_until_answered(&state, &job, entry + 1).await
            };
            let (first, second) = join(submit_until_answered(&state, &job, entry), copy).await;
            (first, Some(second))
        }
    };
    let mut result = state.judge(&job, &first);
    if let Some(second) = second
        && state.judge(&job, &second) != result
    {
        // Both copies are one submission and must get one outcome.
        state.count_error("two copies of a submission got different outcomes");
        result = JobResult::Wrong;
    }
    let measured = match &first.reply {
        Some(SubmitReply::Answer(answer)) => measured_ideal(answer),
        _ => Duration::ZERO,
    };
    let latency = first.at.saturating_duration_since(state.start + arrival.at);
    state.in_flight.set(state.in_flight.get() - 1);
    state.push(&arrival, result, latency, measured, first.submissions);
}

/// The last reply to a job, after resubmissions.
struct FinalReply {
    reply: Option<SubmitReply>,
    at: Instant,
    submissions: u8,
}

async fn submit_until_answered(state: &DriverState, job: &JobRequest, entry: usize) -> FinalReply {
    let give_up = Instant::now() + state.deadline;
    let mut submissions = 0;
    loop {
        let position = (entry + usize::from(submissions)) % state.entries.len();
        let client = &state.entries[position];
        submissions += 1;
        let reply = client.submit(job).await;
        let at = Instant::now();
        match &reply {
            SubmitReply::Retry(text) => state.count_error(text),
            SubmitReply::Invalid(text) => state.count_error(text),
            SubmitReply::Answer(answer) if submissions == 1 => {
                answer
                    .prefix
                    .iter()
                    .for_each(|prefix| client.set_prefix(prefix));
            }
            _ => {}
        }
        if !matches!(reply, SubmitReply::Retry(_)) || at >= give_up || submissions == u8::MAX {
            return FinalReply {
                reply: Some(reply),
                at,
                submissions,
            };
        }
        monoio::time::sleep(RESUBMIT_DELAY).await;
    }
}

impl DriverState {
    /// The request of an arrival; `None` if no entry VM has issued a prefix.
    fn request(&self, arrival: &JobArrival) -> Option<JobRequest> {
        let own = arrival.number as usize % self.entries.len();
        let others = self.entries.iter().find_map(EntryClient::prefix);
        let prefix = self.entries[own].prefix().or(others)?;
        let key = format!("{:016x}.{}", self.run, arrival.number);
        let tasks = arrival.tasks.iter().enumerate().map(|(position, task)| {
            let kind = &self.world.kinds[task.kind];
            let once = if kind.repeatable { "" } else { " once" };
            let run = DurationText(task.run);
            TaskSpec {
                kind: kind.name.clone(),
                declared: task.declared,
                repeatable: kind.repeatable,
                input: format!("run={run} key={key}.{position}{once}").into(),
            }
        });
        Some(JobRequest {
            tasks: tasks.collect(),
            submission: SubmissionId::Prefixed {
                prefix,
                key: key.into(),
            },
            team: self.world.teams[arrival.team].name.clone(),
            service: self.world.service.clone(),
            deadline: self.deadline,
        })
    }

    fn judge(&self, job: &JobRequest, reply: &FinalReply) -> JobResult {
        match &reply.reply {
            Some(SubmitReply::Answer(answer)) => {
                let claims = &mut self.output.borrow_mut().claims;
                collect_claims(job, answer, claims);
                judge_answer(job, answer)
            }
            Some(SubmitReply::NotRun) => JobResult::NotRun,
            Some(SubmitReply::Retry(_) | SubmitReply::Invalid(_)) | None => JobResult::NoAnswer,
        }
    }

    fn note_delay(&self, due: Instant) {
        let mut output = self.output.borrow_mut();
        output.send_delay = output.send_delay.max(due.elapsed());
    }

    fn count_error(&self, text: &str) {
        let mut output = self.output.borrow_mut();
        *output.errors.entry(text.into()).or_default() += 1;
    }

    fn finish(&self, arrival: &JobArrival, result: JobResult, latency: Duration, count: u8) {
        self.in_flight.set(self.in_flight.get() - 1);
        self.record(arrival, result, latency, count);
    }

    fn record(&self, arrival: &JobArrival, result: JobResult, latency: Duration, count: u8) {
        self.push(arrival, result, latency, Duration::ZERO, count);
    }

    fn push(
        &self,
        arrival: &JobArrival,
        result: JobResult,
        latency: Duration,
        measured: Duration,
        submissions: u8,
    ) {
        self.output.borrow_mut().records.push(JobRecord {
            at: arrival.at,
            latency,
            ideal: arrival.ideal(),
            measured,
            work: arrival.work(),
            tasks: arrival.tasks.len() as u16,
            team: arrival.team,
            long: arrival.long,
            result,
            late: latency > self.deadline,
            submissions,
        });
    }
}
