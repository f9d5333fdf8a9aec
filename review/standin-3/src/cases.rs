//! The cases.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::system::{Failure, Places, System, configuration, job, route};

/// `ackTimeoutMs`: a cancel that has waited so long for its acknowledgement counts as acknowledged.
const ACK_TIMEOUT: Duration = Duration::from_millis(4000);

/// `stopTimeoutMs`
const STOP_TIMEOUT: Duration = Duration::from_millis(50);

/// After the acknowledgement of a cancel, the time from which no task of the job may start.
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
        "cancel-at-coordinator" => cancel_at_coordinator(places, record, trouble),
        "cancel-and-restart" => cancel_and_restart(places, record, trouble),
        "refused-configuration" => refused_configuration(places, record, trouble),
        "outdated-receiver" => outdated_receiver(places, record, trouble),
        "cancel-on-dropped-route" => cancel_on_dropped_route(places, record, trouble),
        _ => Err(format!("no case is called {case}").into()),
    }
}

fn one_service(places: Places, record: Record) -> Result<System, Failure> {
    let executors = [
        ("desk", "biratnagar", 3),
        ("desk", "itahari", 3),
        ("desk", "dharan", 3),
        ("desk", "janakpur", 3),
    ];
    let first = configuration(7, &[route("confirm", "/lohu930/", "desk")], &["desk"]);
    System::start(places, record, &ZONES, &executors, &first)
}

/// Whether a task of the job has started later than `CANCEL` after the cancel was acknowledged.
fn starts_after_cancel(system: &System, id: &str, acked: Duration) -> bool {
    let starts = system.starts_of(id);
    let late = starts.iter().filter(|start| start.at > acked + CANCEL);
    let late = late.collect::<Vec<_>>();
    system.record.note(&format!(
        "job {id}: {} starts, {} of them later than 3 s after the acknowledgement of its cancel at {:.3} s",
        starts.len(),
        late.len(),
        acked.as_secs_f64()
    ));
    for start in &late {
        let after = (start.at - acked).as_secs_f64();
        system.record.note(&format!(
            "broken: {} ({}) started {} {after:.3} s after the acknowledgement",
            start.executor, start.service, start.task
        ));
    }
    !late.is_empty()
}

/// A job is cancelled at the VM that has it; its request arrives at another VM again.
fn cancel_at_coordinator(places: Places, record: Record, trouble: bool) -> Result<bool, Failure> {
    let mut system = one_service(places, record)?;
    let id = "5c0e7a21d94b36f8";
    let path = format!("/lohu930/{id}");
    let body = job(4, 1500);
    let deadline = Duration::from_secs(10);
    let first = system.begin_request(0, "POST", path.clone(), deadline, body.clone());
    thread::sleep(Duration::from_millis(500));
    if system.starts_of(id).is_empty() {
        return Err("the job has not started".into());
    }
    let cancel = system.request(0, "DELETE", &path, Duration::from_secs(4), "");
    let acked = system.record.now();
    if !cancel.is_some_and(|(status, _)| status == 200 || status == 410) {
        return Err("the cancel was not acknowledged".into());
    }
    let (_, answer) = first.join().map_err(|_| "the first request failed")?;
    if !answer.is_some_and(|(status, _)| status == 200) {
        return Err("the first request got no 200".into());
    }
    thread::sleep(Duration::from_secs(4));
    if trouble {
        system
            .record
            .note("the request arrives again, 4 s after its 2xx response, at another VM");
        system.request(2, "POST", &path, deadline, &body);
    }
    thread::sleep(Duration::from_secs(4));
    if !system.all_run() {
        return Err("a VM has ended".into());
    }
    Ok(starts_after_cancel(&system, id, acked))
}

/// A job is cancelled, a VM is killed and starts again, and the request of the job arrives there again.
fn cancel_and_restart(places: Places, record: Record, trouble: bool) -> Result<bool, Failure> {
    let mut system = one_service(places, record)?;
    let id = "5c0e7a21d94b36f8";
    let path = format!("/lohu930/{id}");
    let body = job(4, 1500);
    let deadline = Duration::from_secs(10);
    let first = system.begin_request(0, "POST", path.clone(), deadline, body.clone());
    thread::sleep(Duration::from_millis(500));
    if system.starts_of(id).is_empty() {
        return Err("the job has not started".into());
    }
    // At a VM that asks all others, so that each of them has heard of the cancel.
    let cancel = system.request(2, "DELETE", &path, Duration::from_secs(4), "");
    let acked = system.record.now();
    if !cancel.is_some_and(|(status, _)| status == 200 || status == 410) {
        return Err("the cancel was not acknowledged".into());
    }
    let (_, answer) = first.join().map_err(|_| "the first request failed")?;
    if !answer.is_some_and(|(status, _)| status == 200) {
        return Err("the first request got no 200".into());
    }
    thread::sleep(Duration::from_millis(500));
    if trouble {
        system.kill_vm(3)?;
        thread::sleep(Duration::from_millis(300));
        system.start_vm(3)?;
        system.wait_until_ready(3, Duration::from_secs(5))?;
    }
    // The VM that was killed is in touch again 3 s after its start.
    let due = acked + Duration::from_millis(6500);
    thread::sleep(due.saturating_sub(system.record.now()));
    system
        .record
        .note("the request arrives again, seconds after its 2xx response, at that VM");
    system.request(3, "POST", &path, deadline, &body);
    thread::sleep(Duration::from_secs(3));
    if !system.all_run() {
        return Err("a VM has ended".into());
    }
    Ok(starts_after_cancel(&system, id, acked))
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

/// `rollbackSlackMs`, eight times that on a slowed machine.
const ROLLBACK_SLACK: Duration = Duration::from_millis(8 * 250);

/// A queue moves to another service while the store turns one VM away and another one of its zone is slow.
fn outdated_receiver(places: Places, record: Record, trouble: bool) -> Result<bool, Failure> {
    let mut executors = Vec::new();
    for zone in ["biratnagar", "itahari", "dharan", "janakpur"] {
        executors.extend([("desk", zone, 2), ("newdesk", zone, 2)]);
    }
    let services = ["desk", "newdesk"];
    let first = configuration(7, &[route("confirm", "/lohu930/", "desk")], &services);
    let mut system = System::start(places, record, &ZONES, &executors, &first)?;
    let ended = Arc::new(AtomicBool::new(false));
    let load = system.begin_load(0, 8, Duration::from_millis(200), &ended);
    thread::sleep(Duration::from_millis(1000));
    let (slow, away) = (Duration::from_millis(5500), Duration::from_millis(9000));
    let began = system.record.now();
    let slowdown = trouble.then(|| {
        system
            .record
            .note("the store turns front-biratnagar-1 away for 9 s");
        system.vms[1].turned_away.store(true, Ordering::SeqCst);
        system
            .record
            .note("front-biratnagar-0 runs 5.5 times slower for 5.5 s");
        system.slow_down(0, slow)
    });
    thread::sleep(Duration::from_millis(500));
    system.configure(&configuration(
        9,
        &[route("confirm", "/lohu930/", "newdesk")],
        &services,
    ));
    thread::sleep((began + away).saturating_sub(system.record.now()));
    system.vms[1].turned_away.store(false, Ordering::SeqCst);
    ended.store(true, Ordering::SeqCst);
    let sent = load
        .into_iter()
        .flat_map(|thread| thread.join().unwrap_or_default());
    let sent = sent.collect::<Vec<_>>();
    if let Some(slowdown) = slowdown {
        let _ = slowdown.join();
    }
    if !system.all_run() {
        return Err("a VM has ended".into());
    }
    let starts = system.starts.lock().expect("the starts").clone();
    let seen = starts
        .iter()
        .find(|start| start.service == "newdesk")
        .map(|start| start.at);
    let seen = seen.ok_or("no executor has seen the new version")?;
    system.record.note(&format!(
        "an executor sees the new version at {:.3} s",
        seen.as_secs_f64()
    ));
    let mut broken = 0;
    for start in starts.iter().filter(|start| start.service == "desk") {
        let id = start.task.split('.').next().unwrap_or_default();
        let request = sent.iter().find(|request| request.id == id);
        let Some(request) = request.filter(|request| request.at > seen + ROLLBACK_SLACK) else {
            continue;
        };
        broken += 1;
        system.record.note(&format!(
            "broken: {id}, sent to front-biratnagar-0 {:.3} s after an executor has seen the new version, is run \
             by the old service: {} starts {}",
            (request.at - seen).as_secs_f64(),
            start.executor,
            start.task
        ));
    }
    system.record.note(&format!(
        "{} requests, {broken} starts by the old service after the slack",
        sent.len()
    ));
    Ok(broken > 0)
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
