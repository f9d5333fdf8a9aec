//! The crashes of targets and the tasks that the targets had when they crashed.
//!
//! A task may crash every target that starts it, and a crash ends the other runs on the target as
//! well. One crash therefore says little about a single task. A task with a recorded crash is a
//! suspect: its next run is a trial, which has an idle target to itself at first, so that a further crash
//! shows whether the task is the cause. A task that is the cause is not started again.
//!
//! Clients send a job again to another VM when they get no answer, so the VMs that may get the job
//! exchange their records.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use filbertpitch_types::fleet::CrashReport;
use filbertpitch_types::prelude::*;

/// The crashes with a confirmed run after which a task is given up if it was alone on one of the targets.
const CRASH_LIMIT: usize = 2;

/// The crashes, `CRASH_LIMIT` of them with a confirmed run, after which a task is given up whatever else the
/// targets ran: three crashes beside different tasks are unlikely to have another cause.
const SHARED_CRASH_LIMIT: usize = 3;

/// The crashes after which a task is given up although its runs were not confirmed: a task may crash its target
/// before the response to the start.
const UNCONFIRMED_CRASH_LIMIT: usize = 4;

/// How long a crash is remembered: longer than clients keep sending a job again.
const CRASH_LIFETIME: Duration = Duration::from_secs(120);

/// The most crashes that are remembered; bounds the memory while targets crash for other causes.
const MAX_CRASHES: usize = 1024;

/// The most crashes that a VM tells a peer that it hears again.
const MAX_SHARED_CRASHES: usize = 64;

/// A crash of a target that had a task.
#[derive(Clone, Debug, PartialEq, Eq)]
struct TaskCrash {
    task: TaskName,
    target: TargetName,
    boot: Option<TargetBoot>,
    /// Whether the target had no other task.
    alone: bool,
    /// Whether the target had confirmed the run.
    confirmed: bool,
}

impl TaskCrash {
    fn is_of(&self, report: &CrashReport) -> bool {
        self.target == report.target && self.boot == report.boot
    }
}

#[derive(Clone, Debug)]
struct LoggedCrash {
    report: CrashReport,
    recorded_at: TimePoint,
}

/// What the recorded crashes say about a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashSuspicion {
    /// No target is known to have crashed while it had the task.
    None,
    /// The task may be the cause of a crash; its next run is a trial.
    Suspect,
    /// The task is the cause of crashes and must not be started again.
    Cause,
}

/// The recent crashes of targets, by job.
#[derive(Clone, Debug, Default)]
pub struct CrashLog {
    crashes: VecDeque<LoggedCrash>,
    by_job: HashMap<JobId, Vec<TaskCrash>>,
}

impl CrashLog {
    /// Records a crash, and returns the tasks for which it was not known.
    pub fn record(&mut self, now: TimePoint, report: &CrashReport) -> Vec<TaskName> {
        self.expire(now);
        let mut fresh = Vec::new();
        for task in &report.tasks {
            let known = self.by_job.entry(task.job).or_default();
            if known
                .iter()
                .any(|crash| crash.task == *task && crash.is_of(report))
            {
                continue;
            }
            known.push(TaskCrash {
                task: *task,
                target: report.target.clone(),
                boot: report.boot,
                alone: report.alone == Some(*task),
                confirmed: !report.unconfirmed.contains(task),
            });
            fresh.push(*task);
        }
        if !fresh.is_empty() {
            if self.crashes.len() == MAX_CRASHES {
                self.forget_oldest();
            }
            self.crashes.push_back(LoggedCrash {
                report: report.clone(),
                recorded_at: now,
            });
        }
        fresh
    }

    fn expire(&mut self, now: TimePoint) {
        while let Some(oldest) = self.crashes.front()
            && now.since(oldest.recorded_at) >= CRASH_LIFETIME
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(LoggedCrash { report, .. }) = self.crashes.pop_front() else {
            return;
        };
        for task in &report.tasks {
            let Some(known) = self.by_job.get_mut(&task.job) else {
                continue;
            };
            known.retain(|crash| crash.task != *task || !crash.is_of(&report));
            if known.is_empty() {
                self.by_job.remove(&task.job);
            }
        }
    }

    fn crashes_of(&self, task: TaskName) -> impl Iterator<Item = &TaskCrash> {
        let of_job = self.by_job.get(&task.job).into_iter().flatten();
        of_job.filter(move |crash| crash.task == task)
    }

    /// Whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// The number of crashes recorded for a task.
    pub fn count(&self, task: TaskName) -> usize {
        self.crashes_of(task).count()
    }

    /// What the recorded crashes say about a task.
    pub fn suspicion(&self, task: TaskName) -> CrashSuspicion {
        let count = self.count(task);
        let alone = self.crashes_of(task).any(|crash| crash.alone);
        let confirmed = self.crashes_of(task).filter(|crash| crash.confirmed);
        let enough_runs = confirmed.count() >= CRASH_LIMIT;
        let is_cause = count >= UNCONFIRMED_CRASH_LIMIT
            || (enough_runs && (alone || count >= SHARED_CRASH_LIMIT));
        if is_cause {
            CrashSuspicion::Cause
        } else if count > 0 {
            CrashSuspicion::Suspect
        } else {
            CrashSuspicion::None
        }
    }

    /// A task of a job that is the cause of crashes, if there is one.
    pub fn cause_in(&self, job: JobId) -> Option<TaskName> {
        let crashes = self.by_job.get(&job).into_iter().flatten();
        let mut tasks = crashes.map(|crash| crash.task);
        tasks.find(|task| self.suspicion(*task) == CrashSuspicion::Cause)
    }

    /// The latest crashes, for a VM that may not know of them.
    pub fn latest(&self) -> Vec<CrashReport> {
        let skipped = self.crashes.len().saturating_sub(MAX_SHARED_CRASHES);
        let latest = self.crashes.iter().skip(skipped);
        latest.map(|crash| crash.report.clone()).collect()
    }
}
