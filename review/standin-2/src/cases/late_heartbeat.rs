//! A heartbeat that got no response is carried out seconds later, after the executor has begun to drain.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::executor::{Executor, ExecutorPlan};
use crate::system::{Job, System, has_trouble};

/// `drainMs` of the deployment.
const DRAIN_MS: u64 = 2000;

/// How long after its sending the call without a response is carried out.
const CARRIED_OUT_AFTER: Duration = Duration::from_millis(4800);

/// The heartbeat that gets no response.
const LOST_BEAT: u64 = 4;

/// The heartbeat with which the executor says that it drains: 3 s after the lost one.
const DRAINING_BEAT: u64 = 6;

/// How long the executor goes on after it has said that it drains.
const LEAVES_AFTER: Duration = Duration::from_millis(3000);

const DRAINED: &str = "worker-0";

pub fn run(directory: &Path, record_file: &Path) -> Result<Verdict, String> {
    let zones = ["itahari", "itahari", "itahari"];
    let executors = (0..4).map(|index| ExecutorPlan {
        id: format!("worker-{index}"),
        zone: zones[0].to_owned(),
        service: "desk",
        labels: vec!["a".to_owned(), format!("r{}", index / 3)],
        cpu: 64_000,
    });
    let mut system = System::start(directory, &zones, executors.collect())?;
    let (sender, draining) = std::sync::mpsc::channel();
    for executor in &system.executors {
        let record = system.record.clone();
        let sender = sender.clone();
        executor.beat(
            &system.store,
            move |store, executor: &Executor, seq, entry| {
                let key = executor.id.clone();
                if executor.id != DRAINED {
                    return store.put("keyed.servers", &key, &entry);
                }
                let text = String::from_utf8_lossy(&entry).into_owned();
                if seq == LOST_BEAT && has_trouble() {
                    record.add(&format!("heartbeat {seq} of {key} gets no response"));
                    let (store, record) = (store.clone(), record.clone());
                    std::thread::spawn(move || {
                        std::thread::sleep(CARRIED_OUT_AFTER);
                        record.add(&format!("the store carries out heartbeat {seq}: {text}"));
                        store.put("keyed.servers", &key, &entry);
                    });
                    return;
                }
                store.put("keyed.servers", &key, &entry);
                record.add(&format!("the store accepts heartbeat {seq}: {text}"));
                if seq + 1 == DRAINING_BEAT {
                    executor.drain();
                }
                if seq == DRAINING_BEAT {
                    // The case may have ended.
                    let _ = sender.send(record.now_ms());
                    let executor = executor.clone();
                    std::thread::spawn(move || {
                        std::thread::sleep(LEAVES_AFTER);
                        executor.leave();
                    });
                }
            },
        );
    }
    system.start_vms()?;
    let job = Job {
        tasks: 4,
        cpu: 27_000,
        work_ms: 1000,
        deadline_ms: 1500,
    };
    let mut acked_ms = None;
    let mut next = 0_u64;
    while acked_ms.is_none_or(|acked| system.record.now_ms() < acked + 8000) {
        acked_ms = acked_ms.or(draining.try_recv().ok());
        let id = format!("{:016x}", 0x7a21_d94b_36f8_0000_u64 + next);
        let client = system.client(next as usize % zones.len());
        std::thread::spawn(move || client.submit(&id, job));
        next += 1;
        std::thread::sleep(Duration::from_millis(500));
    }
    let acked_ms = acked_ms.ok_or("the executor did not drain")?;
    std::thread::sleep(Duration::from_millis(1600));
    let late = system.starts.lock().unwrap().clone();
    let late = late.into_iter();
    let late = late.filter(|run| run.executor == DRAINED && run.at_ms > acked_ms + DRAIN_MS);
    let mut verdict = Verdict::Held;
    for run in late {
        system.record.add(&format!(
            "BROKEN: {} started on {DRAINED} {} ms after it was acknowledged as draining",
            run.task,
            run.at_ms - acked_ms
        ));
        verdict = Verdict::Broken;
        if let Some((_, how)) = run.end.filter(|(_, how)| *how != "done") {
            system
                .record
                .add(&format!("  its run ended `{how}` when the executor left"));
        }
    }
    system.record.add(&format!("verdict: {verdict:?}"));
    system.record.write(record_file);
    Ok(verdict)
}
