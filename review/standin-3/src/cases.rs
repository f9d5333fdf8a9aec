//! The cases.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::store::{SERVED, UNANSWERED};
use crate::system::{Failure, Places, System, configuration, job, route};

/// `ackTimeoutMs`: a cancel that has waited so long for its acknowledgement counts as acknowledged.
const ACK_TIMEOUT: Duration = Duration::from_millis(4000);

/// `stopTimeoutMs`
const STOP_TIMEOUT: Duration = Duration::from_millis(50);

/// `cancel_ms`
const CANCEL: Duration = Duration::from_millis(3000);

const ZONES: [&str; 6] = [
    "biratnagar",
    "biratnagar",
    "itahari",
    "itahari",
    "dharan",
    "janakpur",
];

/// Plays a case. Returns whether the rule was broken.
pub fn play(case: &str, places: Places, record: Record, trouble: bool) -> Result<bool, Failure> {
    match case {
        "refused-configuration" => refused_configuration(places, record, trouble),
        "cancel-on-dropped-route" => cancel_on_dropped_route(places, record, trouble),
        "drain-after-silence" => drain_after_silence(places, record, trouble),
        _ => Err(format!("no case is called {case}").into()),
    }
}

/// A configuration adds a queue, drops another one, and spaces the priorities of the queues by 100.
fn refused_configuration(places: Places, record: Record, trouble: bool) -> Result<bool, Failure> {
    let executors = [("desk", "biratnagar", 2), ("desk", "itahari", 2)];
    let queue = |name, prefix, priority: u64| {
        let mut queue = route(name, prefix, "desk");
        queue["priority"] = priority.into();
        queue
    };
    let first = [
        queue("confirm", "/lohu930/", 0),
        queue("quote", "/pule252/", 1),
        queue("report", "/wuny96/", 2),
    ];
    let mut system = System::start(
        places,
        record,
        &ZONES,
        &executors,
        &configuration(7, &first, &["desk"]),
    )?;
    let spacing = if trouble { 100 } else { 1 };
    let second = [
        queue("confirm", "/lohu930/", spacing),
        queue("check", "/volo102/", 2 * spacing),
        queue("report", "/wuny96/", 3 * spacing),
    ];
    system.configure(&configuration(9, &second, &["desk"]));
    // configApplyMs is 2,000.
    thread::sleep(Duration::from_millis(4000));
    let mut broken = false;
    for vm in 0..ZONES.len() {
        let (new, old) = (format!("{vm:016x}"), format!("{:016x}", 16 + vm));
        let timeout = Duration::from_secs(3);
        let path = format!("/volo102/{new}");
        let answer = system.request(vm, "POST", &path, timeout, &job(1, 50));
        if answer.is_some_and(|(status, _)| status == 404) {
            broken = true;
            system.record.note("broken: 404 though the route is there");
        }
        let path = format!("/pule252/{old}");
        let answer = system.request(vm, "POST", &path, timeout, &job(1, 50));
        if answer.is_some_and(|(status, _)| status == 200) && !system.starts_of(&old).is_empty() {
            broken = true;
            system.record.note("broken: run with a dropped route");
        }
    }
    if !system.all_run() {
        return Err("a VM has ended".into());
    }
    Ok(broken)
}

/// A route is dropped while one of its jobs runs, and the client cancels the job.
fn cancel_on_dropped_route(places: Places, record: Record, trouble: bool) -> Result<bool, Failure> {
    let executors = [("desk", "biratnagar", 2), ("desk", "itahari", 2)];
    let (kept, quote) = (
        route("confirm", "/lohu930/", "desk"),
        route("quote", "/pule252/", "desk"),
    );
    let first = configuration(7, &[kept.clone(), quote], &["desk"]);
    let mut system = System::start(places, record, &ZONES, &executors, &first)?;
    let id = "5c0e7a21d94b36f8";
    let path = format!("/pule252/{id}");
    let deadline = Duration::from_secs(20);
    let sent = system.begin_request(0, "POST", path.clone(), deadline, job(2, 8100));
    thread::sleep(Duration::from_millis(200));
    if trouble {
        system.configure(&configuration(9, &[kept], &["desk"]));
    }
    thread::sleep(Duration::from_millis(200));
    if system.starts_of(id).is_empty() {
        return Err("the job has not started".into());
    }
    let asked = system.record.now();
    let acked = loop {
        let answer = system.request(0, "DELETE", &path, Duration::from_secs(4), "");
        let now = system.record.now();
        if answer.is_some_and(|(status, _)| status == 410 || (200..300).contains(&status)) {
            break now;
        }
        if now >= asked + ACK_TIMEOUT {
            system
                .record
                .note("the cancel has waited 4 s for its acknowledgement");
            break asked + ACK_TIMEOUT;
        }
        thread::sleep(Duration::from_millis(500));
    };
    let due = acked + CANCEL + STOP_TIMEOUT;
    thread::sleep(due.saturating_sub(system.record.now()) + Duration::from_millis(150));
    let running = system.running_of(id);
    for task in &running {
        system.record.note(&format!(
            "broken: {task} runs on, 3.2 s after the time at which the cancel counts"
        ));
    }
    let _ = sent.join();
    if !system.all_run() {
        return Err("a VM has ended".into());
    }
    Ok(!running.is_empty())
}

/// `drainMs`
const DRAIN: Duration = Duration::from_millis(2000);

/// `contactMs`
const CONTACT: Duration = Duration::from_millis(3000);

/// The store leaves the calls of the VM that publishes the list unanswered for a while. When it serves all again, an
/// executor drains.
fn drain_after_silence(places: Places, record: Record, trouble: bool) -> Result<bool, Failure> {
    let zones = ["biratnagar", "itahari", "dharan", "janakpur"];
    let executors = zones.map(|zone| ("desk", zone, 4));
    let first = configuration(7, &[route("confirm", "/lohu930/", "desk")], &["desk"]);
    let mut system = System::start(places, record, &zones, &executors, &first)?;
    let writer = system
        .store
        .last_conditional_writer()
        .ok_or("nobody has written under a condition")?;
    let vm = system
        .vms
        .iter()
        .position(|vm| vm.name == writer)
        .ok_or("no such VM")?;
    system.record.note(&format!(
        "{writer} has last written to the store under a condition"
    ));
    let ended = Arc::new(AtomicBool::new(false));
    let load = system.begin_load(vm, 10, Duration::from_millis(30), &wide_job(), &ended);
    thread::sleep(Duration::from_millis(1000));
    let began = system.record.now();
    let silence = Duration::from_millis(7500);
    if trouble {
        system.record.note(&format!(
            "the store leaves the calls of {writer} unanswered for 7.5 s"
        ));
        system.vms[vm].access.store(UNANSWERED, Ordering::SeqCst);
    }
    thread::sleep((began + silence).saturating_sub(system.record.now()));
    system.vms[vm].access.store(SERVED, Ordering::SeqCst);
    system.record.note("the store serves all");
    thread::sleep(Duration::from_millis(500));
    let of_zone = format!("i-desk-{}-", zones[vm]);
    let mut of_zone = system
        .executors
        .iter()
        .filter(|executor| executor.id().starts_with(&of_zone));
    let executor = Arc::clone(of_zone.next().ok_or("no executor")?);
    let drained = system.record.now();
    executor.drain(&system.store);
    // It serves on for `drainMs` and two seconds.
    thread::sleep(Duration::from_millis(4000));
    executor.leave(&system.store);
    let left = system.record.now();
    thread::sleep(Duration::from_millis(500));
    ended.store(true, Ordering::SeqCst);
    for thread in load {
        let _ = thread.join();
    }
    if !system.all_run() {
        return Err("a VM has ended".into());
    }
    let from = (drained + DRAIN).max(began + silence + CONTACT);
    let starts = system.starts.lock().expect("the starts").clone();
    let before = starts
        .iter()
        .filter(|start| start.executor == executor.id() && start.at < drained);
    system.record.note(&format!(
        "{} starts on {} before",
        before.count(),
        executor.id()
    ));
    let late = starts
        .iter()
        .filter(|start| start.executor == executor.id() && start.at > from && start.at < left);
    let late = late.collect::<Vec<_>>();
    for start in &late {
        system.record.note(&format!(
            "broken: {} started {} {:.3} s after the store had accepted that it drains, {:.3} s after the store served all",
            start.executor,
            start.task,
            (start.at - drained).as_secs_f64(),
            (start.at - began - silence).as_secs_f64()
        ));
    }
    Ok(!late.is_empty())
}

/// A job of two tasks that each take almost half of an executor.
fn wide_job() -> String {
    let step = serde_json::json!({ "count": 2, "cpu": 27_000, "memMb": 64, "estimateMs": 170 });
    serde_json::json!({ "spec": "work 170", "steps": [step], "bestEffort": true }).to_string()
}
