//! A request that is repeated seconds after its job was cancelled.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::executor::ExecutorPlan;
use crate::system::{Job, System, has_trouble};

/// `cancel_ms` of the deployment.
const CANCEL_MS: u64 = 3000;

/// When the repeated request arrives, after the acknowledgement of the cancel.
const REPEATED_AFTER: Duration = Duration::from_millis(4000);

const JOBS: u32 = 3;

pub fn run(directory: &Path, record_file: &Path) -> Result<Verdict, String> {
    let zones = ["itahari", "itahari", "dharan", "dharan"];
    let executors = (0..6).map(|index| ExecutorPlan {
        id: format!("worker-{index}"),
        zone: zones[index % 2 * 2].to_owned(),
        service: "desk",
        labels: vec!["a".to_owned(), format!("r{}", index / 3)],
        cpu: 64_000,
    });
    let mut system = System::start(directory, &zones, executors.collect())?;
    for executor in &system.executors {
        executor.beat_calmly(&system.store);
    }
    system.start_vms()?;
    // All machines are in touch from here on.
    std::thread::sleep(Duration::from_secs(4));
    let job = Job {
        tasks: 2,
        cpu: 27_000,
        work_ms: 900,
        deadline_ms: 1500,
    };
    let mut verdict = Verdict::Held;
    for number in 0..JOBS {
        let id = format!("{:016x}", 0x5c0e_7a21_d94b_0000_u64 + u64::from(number));
        let first = system.client(0);
        let (submitting, name) = (first.clone(), id.clone());
        let submitted = std::thread::spawn(move || submitting.submit(&name, job));
        std::thread::sleep(Duration::from_millis(300));
        let cancelled = first.cancel(&id, 1500);
        let acked_ms = system.record.now_ms();
        let answer = submitted.join().map_err(|_| "a client has failed")?;
        let acknowledged = cancelled.is_some_and(|(status, _)| status / 100 == 2 || status == 410);
        if !acknowledged || answer.is_none_or(|(status, _)| status / 100 != 2) {
            system
                .record
                .add("the cancel or the submission got no 2xx response");
            system.record.write(record_file);
            return Ok(Verdict::NotRun);
        }
        std::thread::sleep(REPEATED_AFTER);
        if has_trouble() {
            system
                .record
                .add("the request arrives again, at another machine");
            system.client(1 + number as usize % 3).submit(&id, job);
        }
        for run in system.runs_of(&id) {
            if run.at_ms > acked_ms + CANCEL_MS {
                system.record.add(&format!(
                    "BROKEN: {} started {} ms after its job's cancelling was acknowledged",
                    run.task,
                    run.at_ms - acked_ms
                ));
                verdict = Verdict::Broken;
            }
        }
    }
    system.record.add(&format!("verdict: {verdict:?}"));
    system.record.write(record_file);
    Ok(verdict)
}
