//! A client without a time limit of its own sends a job of many steps.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::executor::ExecutorPlan;
use crate::system::{Client, Job, System, has_trouble};

/// `retransmitMs` of the deployment.
const RETRANSMIT: Duration = Duration::from_millis(1300);

/// The largest whole number of 64 bits with a sign, which stands for no limit in many languages.
const NO_LIMIT: u64 = i64::MAX as u64;

const STEPS: u32 = 200;

/// How often a process of each of two machines must have ended by itself.
const ENDS: u32 = 3;

/// How long the case waits for that.
const LIMIT_MS: u64 = 90_000;

/// The machines of the clients' zone.
const LOCAL: [usize; 2] = [0, 1];

pub fn run(directory: &Path, record_file: &Path) -> Result<Verdict, String> {
    let zones = ["itahari", "itahari", "dharan", "dharan"];
    let executors = (0..8).map(|index| ExecutorPlan {
        id: format!("worker-{index}"),
        zone: zones[index % 2 * 2].to_owned(),
        service: "desk",
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
    let next = Arc::new(AtomicU64::new(0));
    let clients = LOCAL.map(|vm| system.client(vm));
    for client in &clients {
        let (client, next, over) = (client.clone(), Arc::clone(&next), Arc::clone(&over));
        std::thread::spawn(move || send_usual_jobs(&client, &next, &over));
    }
    if has_trouble() {
        let (clients, over) = (clients.clone(), Arc::clone(&over));
        std::thread::spawn(move || send_without_limit(&clients, &over));
    }
    let mut ends = [0; LOCAL.len()];
    let begun_ms = system.record.now_ms();
    let limit_ms = if has_trouble() { LIMIT_MS } else { 20_000 };
    while system.record.now_ms() < begun_ms + limit_ms && ends.iter().any(|count| *count < ENDS) {
        std::thread::sleep(Duration::from_millis(20));
        for vm in LOCAL {
            if !system.is_running(vm) {
                ends[vm] += 1;
                system.wait_for_exit(vm, Duration::from_secs(1));
                let (name, count) = (system.vms[vm].name.clone(), ends[vm]);
                system
                    .record
                    .add(&format!("{name}: ended by itself, {count} times so far"));
                std::thread::sleep(Duration::from_millis(500));
                system.start_vm(vm)?;
            }
        }
    }
    over.store(true, Ordering::SeqCst);
    let verdict = match ends.iter().all(|count| *count >= ENDS) {
        true => Verdict::Broken,
        false => Verdict::Held,
    };
    if verdict == Verdict::Broken {
        system.record.add(&format!(
            "BROKEN: processes ended by themselves {ends:?} times on two machines"
        ));
    }
    system.record.add(&format!("verdict: {verdict:?}"));
    system.record.write(record_file);
    Ok(verdict)
}

/// Short jobs whose clients wait for 1.5 s, and longer ones whose clients wait for 2 s.
fn send_usual_jobs(client: &Client, next: &AtomicU64, over: &AtomicBool) {
    while !over.load(Ordering::SeqCst) {
        for (work_ms, deadline_ms) in [(60, 1500), (800, 2000)] {
            let id = format!(
                "{:016x}",
                0x2b00_0000_0000_0000 + next.fetch_add(1, Ordering::SeqCst)
            );
            let job = Job {
                tasks: 1,
                cpu: 8000,
                work_ms,
                deadline_ms,
            };
            let client = client.clone();
            std::thread::spawn(move || client.submit_with_estimate(&id, job, 200));
        }
        std::thread::sleep(Duration::from_millis(150));
    }
}

/// One job after the other, each sent again to the other machine while there is no response.
fn send_without_limit(clients: &[Client; 2], over: &AtomicBool) {
    let mut sends = 0;
    for number in 0_u64.. {
        std::thread::sleep(Duration::from_secs(4));
        let id = format!("{:016x}", 0x7c00_0000_0000_0000 + number);
        while !over.load(Ordering::SeqCst) {
            sends += 1;
            if clients[sends % 2]
                .submit_steps(&id, STEPS, NO_LIMIT)
                .is_some()
            {
                break;
            }
            std::thread::sleep(RETRANSMIT);
        }
        if over.load(Ordering::SeqCst) {
            return;
        }
    }
}
