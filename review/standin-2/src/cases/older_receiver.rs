//! A busy machine hands requests to one that is cut off from the store and has an older configuration.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::executor::ExecutorPlan;
use crate::system::{Job, System, has_trouble};

/// `configApplyMs` of the deployment.
const CONFIG_APPLY_MS: u64 = 2000;

/// Eight times `rollbackSlackMs`, the bound of a slowed machine.
const ROLLBACK_SLACK_MS: u64 = 8 * 250;

/// How long one machine is cut off from the store.
const CUT: Duration = Duration::from_millis(5500);

/// The busy machine has used up its share of the processor after this part of each tenth of a second.
const RUNS: Duration = Duration::from_millis(40);
const WAITS: Duration = Duration::from_millis(60);

const BUSY: usize = 0;
const CUT_OFF: usize = 1;

pub fn run(directory: &Path, record_file: &Path) -> Result<Verdict, String> {
    let zones = ["itahari", "itahari", "dharan"];
    let executors = (0..8).map(|index| ExecutorPlan {
        id: format!("worker-{index}"),
        zone: zones[0].to_owned(),
        service: if index < 4 { "desk" } else { "desk-2" },
        labels: vec!["a".to_owned(), format!("r{}", index / 6)],
        cpu: 64_000,
    });
    let mut system = System::start(directory, &zones, executors.collect())?;
    for executor in &system.executors {
        executor.beat_calmly(&system.store);
    }
    system.start_vms()?;
    std::thread::sleep(Duration::from_secs(4));
    let over = Arc::new(AtomicBool::new(false));
    let quota = {
        let (over, process) = (Arc::clone(&over), system.process_id(BUSY)?);
        std::thread::spawn(move || limit_processor(process, &over))
    };
    let job = Job {
        tasks: 1,
        cpu: 27_000,
        work_ms: 100,
        deadline_ms: 1500,
    };
    let (mut acked_ms, mut cut_at_ms) = (None, None);
    let mut sent = Vec::new();
    let begun_ms = system.record.now_ms();
    loop {
        let now_ms = system.record.now_ms();
        let passed_ms = now_ms - begun_ms;
        if passed_ms >= 3000 && cut_at_ms.is_none() {
            cut_at_ms = Some(now_ms);
            if has_trouble() {
                system.record.add("one machine is cut off from the store");
                system.vms[CUT_OFF].store_link.set_cut(true);
            }
        }
        if passed_ms >= 3300 && acked_ms.is_none() {
            acked_ms = Some(system.configure(9, "desk-2"));
        }
        if passed_ms >= 3000 + CUT.as_millis() as u64 {
            system.vms[CUT_OFF].store_link.set_cut(false);
            break;
        }
        let id = format!("{:016x}", 0x11d9_4b36_f800_0000_u64 + sent.len() as u64);
        sent.push((now_ms, id.clone()));
        let client = system.client(BUSY);
        std::thread::spawn(move || client.submit(&id, job));
        std::thread::sleep(Duration::from_millis(25));
    }
    std::thread::sleep(Duration::from_millis(1600));
    over.store(true, Ordering::SeqCst);
    quota.join().map_err(|_| "the quota has failed")?;
    let acked_ms = acked_ms.ok_or("no configuration was published")?;
    let service = |executor: &str| match executor {
        "worker-0" | "worker-1" | "worker-2" | "worker-3" => "desk",
        _ => "desk-2",
    };
    let starts = system.starts.lock().unwrap().clone();
    let by_new = starts.iter().find(|run| service(&run.executor) == "desk-2");
    let seen_ms = by_new.map(|run| run.at_ms);
    let Some(seen_ms) = seen_ms else {
        system.record.add("no executor has seen the new version");
        system.record.write(record_file);
        return Ok(Verdict::NotRun);
    };
    let from_ms = (acked_ms + CONFIG_APPLY_MS).max(seen_ms + ROLLBACK_SLACK_MS);
    let mut verdict = Verdict::Held;
    for (sent_ms, id) in sent.iter().filter(|(sent_ms, _)| *sent_ms > from_ms) {
        let old = system.runs_of(id);
        for run in old.iter().filter(|run| service(&run.executor) == "desk") {
            system.record.add(&format!(
                "BROKEN: request {id}, sent {} ms after version 9 was acknowledged and {} ms after an executor \
                 saw its effect, ran by the old service on {}",
                sent_ms - acked_ms,
                sent_ms - seen_ms,
                run.executor
            ));
            verdict = Verdict::Broken;
        }
    }
    system.record.add(&format!("verdict: {verdict:?}"));
    system.record.write(record_file);
    Ok(verdict)
}

/// Lets a process run for the first part of each tenth of a second only.
fn limit_processor(process: u32, over: &AtomicBool) {
    let signal = |name: &str| {
        // The process may have ended, which the case notices.
        let _ = std::process::Command::new("kill")
            .args([name, &process.to_string()])
            .status();
    };
    while !over.load(Ordering::SeqCst) {
        signal("-STOP");
        std::thread::sleep(WAITS);
        signal("-CONT");
        std::thread::sleep(RUNS);
    }
}
