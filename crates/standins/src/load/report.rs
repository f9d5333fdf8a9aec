//! The report of a run.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::driver::DriverOutput;
use super::fairness::{fair_shares, jain_index};
use super::measure::{
    QuantileSet, measured_ratio, ratio_quantiles, recovery_time, work_per_second,
};
use super::record::{JobRecord, JobResult};
use super::schedule::DemandStep;
use super::settings::RunArgs;
use crate::audit::{DoubledStart, audit_starts};
use crate::ledger::LedgerEntry;
use crate::target_model::TargetCounters;

/// The most examples of doubled starts in a report.
const EXAMPLE_LIMIT: usize = 10;

/// Jobs and tasks of the measured part of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Scheduled jobs.
    pub jobs: u64,
    /// Tasks of these jobs.
    pub tasks: u64,
    /// Run time of these tasks over capacity and length.
    pub offered_load: f64,
    /// Run time of the tasks of complete jobs over capacity and length.
    pub completed_load: f64,
    /// Jobs by result.
    pub results: BTreeMap<Box<str>, u64>,
    /// Answers that came after the job's deadline.
    pub late: u64,
    /// Jobs that were submitted more than once.
    pub resubmitted: u64,
    /// The largest delay of the generator itself, in milliseconds.
    pub send_delay_ms: f64,
}

/// One team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamReport {
    /// The team.
    pub name: Box<str>,
    /// Offered run time in seconds.
    pub offered_s: f64,
    /// Run time of its complete jobs in seconds.
    pub done_s: f64,
    /// Its max-min fair share of the capacity in seconds.
    pub fair_s: f64,
    /// Response time over ideal.
    pub ratio: QuantileSet,
}

/// One demand step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepReport {
    /// The factor.
    pub factor: f64,
    /// Run time of the jobs completed during the step over the capacity.
    pub completed_share: f64,
    /// Jobs that arrived during the step.
    pub jobs: u64,
    /// Of these, jobs rejected as not run.
    pub not_run: u64,
    /// The time to reject them, in milliseconds.
    pub reject_ms: QuantileSet,
    /// The time to return to normal in seconds; absent if it did not.
    pub recovery_s: Option<f64>,
}

/// Messages at the targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MessageReport {
    /// The sum over the targets.
    pub counters: TargetCounters,
    /// Messages that were not a needed start, over starts.
    pub wasted_ratio: f64,
}

/// The comparison of answers and ledgers, over the whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AuditReport {
    /// Real starts.
    pub starts: u64,
    /// Tasks that started.
    pub tasks: u64,
    /// Doubled starts.
    pub doubled: u64,
    /// Some of them.
    pub examples: Vec<DoubledStart>,
    /// Tasks reported as not run that started.
    pub not_run_but_started: u64,
    /// Tasks reported as done that never started; counted only if every ledger was read.
    pub done_without_start: u64,
    /// Targets whose ledger could not be read, so the audit is incomplete.
    pub unread_targets: u64,
}

/// The report of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Jobs and tasks.
    pub load: LoadSummary,
    /// Response time over ideal of complete jobs.
    pub ratio: QuantileSet,
    /// The same with the run time that the targets measured.
    pub measured_ratio: QuantileSet,
    /// Response time of complete jobs in milliseconds.
    pub latency_ms: QuantileSet,
    /// Response time over ideal of jobs without long tasks.
    pub short_ratio: QuantileSet,
    /// Response time of jobs without long tasks in milliseconds.
    pub short_latency_ms: QuantileSet,
    /// Response time over ideal of jobs with long tasks.
    pub long_ratio: QuantileSet,
    /// Jain's index of the teams' work done over their fair share.
    pub jain: f64,
    /// Jain's index of the teams' work done.
    pub jain_of_work: f64,
    /// The teams.
    pub teams: Vec<TeamReport>,
    /// Run time of the jobs completed in each second, over the capacity.
    pub completed_per_second: Vec<f64>,
    /// The demand steps.
    pub steps: Vec<StepReport>,
    /// Messages at the targets.
    pub messages: MessageReport,
    /// Comparison of answers and ledgers.
    pub audit: AuditReport,
    /// Errors by text.
    pub errors: BTreeMap<Box<str>, u64>,
}

impl LoadReport {
    /// Whether every answer was correct, no start was doubled and every ledger was read.
    pub fn is_sound(&self) -> bool {
        let count = |result| {
            let name = result_name(result);
            self.load.results.get(&name).copied().unwrap_or_default()
        };
        let answers = count(JobResult::Wrong) + count(JobResult::Partial);
        let audit = &self.audit;
        let starts = audit.doubled + audit.not_run_but_started + audit.done_without_start;
        answers + starts + audit.unread_targets == 0
    }
}

/// What the targets report at the end of a run.
#[derive(Clone, Debug, Default)]
pub struct TargetTotals {
    /// The sum of the counters since the start of the run.
    pub counters: TargetCounters,
    /// The ledger entries of the run.
    pub entries: Vec<LedgerEntry>,
    /// Targets that could not be read.
    pub unread: u64,
}

/// Computes the report.
pub fn build_report(args: &RunArgs, output: &DriverOutput, totals: TargetTotals) -> LoadReport {
    let warmup = args.warmup.0;
    let records = output.records.iter().copied();
    let records = records
        .filter(|record| record.at >= warmup)
        .collect::<Vec<_>>();
    let network = args.network.0;
    let teams = team_reports(args, &records);
    let served = |team: &TeamReport| team.done_s / team.fair_s.max(1e-9);
    let capacity = args.capacity();
    let per_second = work_per_second(&output.records, args.duration.0);
    LoadReport {
        load: summarize(args, &records, output),
        ratio: ratio_quantiles(&records, network, |_| true),
        measured_ratio: QuantileSet::of(
            complete(&records).map(|record| measured_ratio(record, network)),
        ),
        latency_ms: latencies(complete(&records)),
        short_ratio: ratio_quantiles(&records, network, |record| !record.long),
        short_latency_ms: latencies(complete(&records).filter(|record| !record.long)),
        long_ratio: ratio_quantiles(&records, network, |record| record.long),
        jain: jain_index(&teams.iter().map(served).collect::<Vec<_>>()),
        jain_of_work: jain_index(&teams.iter().map(|team| team.done_s).collect::<Vec<_>>()),
        teams,
        completed_per_second: per_second
            .iter()
            .map(|work| work.as_secs_f64() / capacity)
            .collect(),
        steps: step_reports(args, &output.records),
        messages: message_report(totals.counters),
        audit: audit(output, totals),
        errors: output.errors.clone(),
    }
}

fn complete(records: &[JobRecord]) -> impl Iterator<Item = &JobRecord> {
    records
        .iter()
        .filter(|record| record.result == JobResult::Complete)
}

fn latencies<'a, Records>(records: Records) -> QuantileSet
where
    Records: Iterator<Item = &'a JobRecord>,
{
    QuantileSet::of(records.map(|record| record.latency.as_secs_f64() * 1e3))
}

fn result_name(result: JobResult) -> Box<str> {
    match result {
        JobResult::Complete => "complete",
        JobResult::Failed => "failed",
        JobResult::NotRun => "not_run",
        JobResult::Unknown => "unknown",
        JobResult::NoAnswer => "no_answer",
        JobResult::Wrong => "wrong",
        JobResult::Partial => "partial",
        JobResult::NotSent => "not_sent",
    }
    .into()
}

fn total_work<'a, Records>(records: Records) -> f64
where
    Records: Iterator<Item = &'a JobRecord>,
{
    records.map(|record| record.work.as_secs_f64()).sum()
}

fn measured_length(args: &RunArgs) -> Duration {
    args.duration.0.saturating_sub(args.warmup.0)
}

fn summarize(args: &RunArgs, records: &[JobRecord], output: &DriverOutput) -> LoadSummary {
    let capacity = args.capacity() * measured_length(args).as_secs_f64();
    let mut results = BTreeMap::<_, u64>::new();
    for record in records {
        *results.entry(result_name(record.result)).or_default() += 1;
    }
    let count = |matches: fn(&&JobRecord) -> bool| records.iter().filter(matches).count() as u64;
    LoadSummary {
        jobs: records.len() as u64,
        tasks: records.iter().map(|record| u64::from(record.tasks)).sum(),
        offered_load: total_work(records.iter()) / capacity,
        completed_load: total_work(complete(records)) / capacity,
        results,
        late: count(|record| record.late),
        resubmitted: count(|record| record.submissions > 1),
        send_delay_ms: output.send_delay.as_secs_f64() * 1e3,
    }
}

fn team_reports(args: &RunArgs, records: &[JobRecord]) -> Vec<TeamReport> {
    let world = args.world();
    let of_team = |team| {
        records
            .iter()
            .filter(move |record: &&JobRecord| record.team == team)
    };
    let offered = (0..world.teams.len()).map(|team| {
        let work = total_work(of_team(team));
        Duration::from_secs_f64(work)
    });
    let offered = offered.collect::<Vec<_>>();
    let capacity = measured_length(args).mul_f64(args.capacity());
    let fair = fair_shares(&offered, capacity);
    let reports = world
        .teams
        .iter()
        .enumerate()
        .map(|(team, share)| TeamReport {
            name: share.name.as_str().into(),
            offered_s: offered[team].as_secs_f64(),
            done_s: total_work(complete(records).filter(|record| record.team == team)),
            fair_s: fair[team].as_secs_f64(),
            ratio: ratio_quantiles(records, args.network.0, |record| record.team == team),
        });
    reports.collect()
}

fn step_reports(args: &RunArgs, records: &[JobRecord]) -> Vec<StepReport> {
    let steps = args.demand_steps().into_iter();
    steps.map(|step| step_report(args, records, step)).collect()
}

fn step_report(args: &RunArgs, records: &[JobRecord], step: DemandStep) -> StepReport {
    let during = step.start..step.end();
    let finished =
        complete(records).filter(|record| during.contains(&(record.at + record.latency)));
    let arrived = records.iter().filter(|record| during.contains(&record.at));
    let arrived = arrived.collect::<Vec<_>>();
    let rejected = arrived.iter().copied();
    let rejected = rejected.filter(|record| record.result == JobResult::NotRun);
    let recovery = recovery_time(records, step, args.duration.0, args.network.0);
    StepReport {
        factor: step.factor,
        completed_share: total_work(finished) / (args.capacity() * step.length.as_secs_f64()),
        jobs: arrived.len() as u64,
        not_run: rejected.clone().count() as u64,
        reject_ms: latencies(rejected),
        recovery_s: recovery.map(|time| time.as_secs_f64()),
    }
}

fn message_report(counters: TargetCounters) -> MessageReport {
    let wasted = counters.messages.saturating_sub(counters.starts);
    MessageReport {
        counters,
        wasted_ratio: wasted as f64 / counters.starts.max(1) as f64,
    }
}

fn audit(output: &DriverOutput, totals: TargetTotals) -> AuditReport {
    let started = totals
        .entries
        .iter()
        .map(|entry| entry.task)
        .collect::<HashSet<_>>();
    let mut claimed = HashMap::<u64, bool>::new();
    claimed.extend(output.claims.not_run.iter().map(|&task| (task, false)));
    claimed.extend(output.claims.done.iter().map(|&task| (task, true)));
    let mismatches = |done: bool| {
        let claims = claimed.iter().filter(|&(_, &claim)| claim == done);
        let wrong = claims.filter(|&(task, _)| started.contains(task) != done);
        wrong.count() as u64
    };
    let not_run_but_started = mismatches(false);
    let done_without_start = match totals.unread {
        0 => mismatches(true),
        _ => 0,
    };
    let mut audit = audit_starts(totals.entries);
    let doubled = audit.doubled.len() as u64;
    audit.doubled.truncate(EXAMPLE_LIMIT);
    AuditReport {
        starts: audit.starts,
        tasks: audit.tasks,
        doubled,
        examples: audit.doubled,
        not_run_but_started,
        done_without_start,
        unread_targets: totals.unread,
    }
}
