//! A cancel that a machine has heard of before its process was killed and started again.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::executor::ExecutorPlan;
use crate::system::{Job, System, has_trouble};

/// `cancel_ms` of the deployment.
const CANCEL_MS: u64 = 3000;

/// How long the killed process is down.
const DOWN: Duration = Duration::from_millis(500);

/// When the request arrives once more, after the restart: the machine is in touch again after 3 s (`contactMs`).
const REPEATED_AFTER: Duration = Duration::from_millis(3700);

const JOBS: u32 = 3;

const COORDINATOR: usize = 0;
const CANCELLED_AT: usize = 1;
const KILLED: usize = 2;

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
    std::thread::sleep(Duration::from_secs(4));
    let job = Job {
        tasks: 2,
        cpu: 27_000,
        work_ms: 900,
        deadline_ms: 1500,
    };
    let mut verdict = Verdict::Held;
    for number in 0..JOBS {
        let id = format!("{:016x}", 0x21d9_4b36_f800_0000_u64 + u64::from(number));
        let (submitting, name) = (system.client(COORDINATOR), id.clone());
        let submitted = std::thread::spawn(move || submitting.submit(&name, job));
        std::thread::sleep(Duration::from_millis(300));
        let cancelled = system.client(CANCELLED_AT).cancel(&id, 1500);
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
        if has_trouble() {
            system.kill_vm(KILLED);
            std::thread::sleep(DOWN);
            system.start_vm(KILLED)?;
        } else {
            std::thread::sleep(DOWN);
        }
        std::thread::sleep(REPEATED_AFTER);
        system.record.add("the request arrives again");
        system.client(KILLED).submit(&id, job);
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
