//! An executor that starts whatever it is told to start (`rejectsOverload` is false).

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Request, Response, serve};
use crate::record::Record;
use crate::store::Store;

/// `maxHoldMs` of the deployment.
pub const MAX_HOLD_MS: u64 = 1000;

/// `heartbeatMs` of the deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);

/// How often ends and expired leases are looked for.
const TICK: Duration = Duration::from_millis(5);

/// A run that an executor has begun.
#[derive(Clone, Debug)]
pub struct StartedRun {
    pub at_ms: u64,
    pub executor: String,
    pub task: String,
    /// When it ended, and how.
    pub end: Option<(u64, &'static str)>,
}

/// All runs on all executors, in the order of their starts.
pub type Starts = Arc<Mutex<Vec<StartedRun>>>;

struct ActiveRun {
    run: u64,
    ends_at: Instant,
    /// The position among all starts.
    position: usize,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_end_ms: u64,
    running: BTreeMap<String, ActiveRun>,
    /// The highest run of each task that was stopped or has ended.
    over: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    seq: u64,
    draining: bool,
    left: bool,
}

/// An executor. Clones share its state.
#[derive(Clone)]
pub struct Executor {
    pub id: String,
    pub zone: String,
    address: SocketAddr,
    service: &'static str,
    labels: Vec<String>,
    cpu: u64,
    born: u64,
    started_at: Instant,
    state: Arc<(Mutex<State>, Condvar)>,
    starts: Starts,
    record: Record,
}

/// How an executor is set up.
pub struct ExecutorPlan {
    pub id: String,
    pub zone: String,
    pub service: &'static str,
    pub labels: Vec<String>,
    /// In thousandths of a core.
    pub cpu: u64,
}

impl Executor {
    pub fn start(plan: ExecutorPlan, starts: &Starts, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time");
        let executor = Self {
            id: plan.id,
            zone: plan.zone,
            service: plan.service,
            labels: plan.labels,
            cpu: plan.cpu,
            address: listener.local_addr().expect("a bound address"),
            born: u64::try_from(since.as_millis()).expect("a time"),
            started_at: Instant::now(),
            state: Arc::default(),
            starts: Arc::clone(starts),
            record: record.clone(),
        };
        let served = executor.clone();
        serve(listener, move |request| served.respond(&request));
        let ticking = executor.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                ticking.advance();
            }
        });
        executor
    }

    /// Writes the executor's entry at each heartbeat, without disruption.
    pub fn beat_calmly(&self, store: &Store) {
        self.beat(store, |store, executor, _, entry| {
            store.put("keyed.servers", &executor.id, &entry);
        });
    }

    /// Writes the executor's entry at each heartbeat. `write` carries out the call to the store.
    pub fn beat<W>(&self, store: &Store, write: W)
    where
        W: Fn(&Store, &Executor, u64, Vec<u8>) + Send + 'static,
    {
        let (executor, store) = (self.clone(), store.clone());
        std::thread::spawn(move || {
            while !executor.has_left() {
                let (seq, entry) = executor.next_entry();
                write(&store, &executor, seq, entry);
                std::thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Writes the entry with the next sequence number.
    pub fn next_entry(&self) -> (u64, Vec<u8>) {
        let mut state = self.state.0.lock().unwrap();
        state.seq += 1;
        let draining = state.draining;
        let mut entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "1", "slots": 8, "state": if draining { "draining" } else { "ready" },
            "coldRemainingMs": 0, "seq": state.seq, "born": self.born,
            "capacity": { "cpu": self.cpu, "memMb": 131072, "gpu": 0 }, "labels": self.labels,
        });
        if draining {
            entry["remainingMs"] = json!(2000);
        }
        (state.seq, entry.to_string().into_bytes())
    }

    pub fn drain(&self) {
        self.state.0.lock().unwrap().draining = true;
    }

    /// Ends all runs and answers nothing any more.
    pub fn leave(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.left = true;
        for task in state.running.keys().cloned().collect::<Vec<_>>() {
            self.end(&mut state, &task, "lapsed");
        }
    }

    pub fn has_left(&self) -> bool {
        self.state.0.lock().unwrap().left
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.ends += 1;
        let number = state.ends;
        state.over.insert(task.to_owned(), run.run);
        state.ended.push((number, task.to_owned(), run.run, how));
        self.starts.lock().unwrap()[run.position].end = Some((self.record.now_ms(), how));
        let text = format!(
            "executor {}: run {} of {task} ends `{how}`",
            self.id, run.run
        );
        self.record.add(&text);
        self.state.1.notify_all();
    }

    fn advance(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let done = state.running.iter().filter(|(_, run)| run.ends_at <= now);
        let done = done.map(|(task, _)| task.clone()).collect::<Vec<_>>();
        for task in done {
            self.end(&mut state, &task, "done");
        }
        if self.clock_ms() >= state.lease_end_ms {
            for task in state.running.keys().cloned().collect::<Vec<_>>() {
                self.end(&mut state, &task, "lapsed");
            }
        }
    }

    fn extend_lease(&self, state: &mut State, request: &Value) {
        if let Some(deadline) = request["deadlineMs"].as_u64() {
            let deadline = deadline.min(self.clock_ms() + MAX_HOLD_MS);
            state.lease_end_ms = state.lease_end_ms.max(deadline);
        }
    }

    fn refuse(&self, reason: &str) -> Response {
        Response::json(
            409,
            &json!({ "clockMs": self.clock_ms(), "reason": reason }),
        )
    }

    fn respond(&self, request: &Request) -> Option<Response> {
        self.advance();
        let intended = request.headers.get("filbertpitch-target-instance");
        let body = request.json();
        let mut state = self.state.0.lock().unwrap();
        if state.left {
            return None;
        }
        if intended != Some(&self.id) {
            return Some(Response::json(421, &json!({ "clockMs": self.clock_ms() })));
        }
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token < state.token {
            return Some(self.refuse("fence"));
        }
        state.token = token;
        match &*request.path {
            "/v1/run-start" => Some(self.start_run(&mut state, &body)),
            "/v1/run-stop" => Some(self.stop_run(&mut state, &body)),
            "/v1/hold" => Some(self.hold(state, &body)),
            _ => Some(Response::json(404, &json!({}))),
        }
    }

    fn accept(&self) -> Response {
        Response::json(200, &json!({ "clockMs": self.clock_ms() }))
    }

    fn start_run(&self, state: &mut State, body: &Value) -> Response {
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run"].as_u64()) else {
            return Response::json(400, &json!({ "clockMs": self.clock_ms() }));
        };
        let deadline = body["deadlineMs"].as_u64().unwrap_or(0);
        if deadline <= self.clock_ms() {
            return self.refuse("late");
        }
        let known = state.running.get(task).map(|known| known.run);
        if known == Some(run) {
            return self.accept();
        }
        self.extend_lease(state, body);
        if known.is_some() || state.over.get(task).is_some_and(|over| run <= *over) {
            return self.refuse("old");
        }
        // The payload is the run time of each task in milliseconds.
        let spec = body["spec"].as_str().unwrap_or_default();
        let work = Duration::from_millis(spec.parse().unwrap_or(100));
        let mut starts = self.starts.lock().unwrap();
        starts.push(StartedRun {
            at_ms: self.record.now_ms(),
            executor: self.id.clone(),
            task: task.to_owned(),
            end: None,
        });
        let position = starts.len() - 1;
        drop(starts);
        let ends_at = Instant::now() + work;
        let active = ActiveRun {
            run,
            ends_at,
            position,
        };
        state.running.insert(task.to_owned(), active);
        self.record
            .add(&format!("executor {}: starts run {run} of {task}", self.id));
        self.accept()
    }

    fn stop_run(&self, state: &mut State, body: &Value) -> Response {
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run"].as_u64()) else {
            return Response::json(400, &json!({ "clockMs": self.clock_ms() }));
        };
        match state
            .running
            .get(task)
            .is_some_and(|known| known.run <= run)
        {
            true => self.end(state, task, "stopped"),
            false => {
                let over = state.over.entry(task.to_owned()).or_default();
                *over = run.max(*over);
            }
        }
        self.accept()
    }

    fn hold(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Value) -> Response {
        let acked = body["ackedThrough"].as_u64().unwrap_or(0);
        self.extend_lease(&mut state, body);
        state.ended.retain(|(number, ..)| *number > acked);
        let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
        let until = Instant::now() + wait;
        while state.ended.is_empty() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        let running = state.running.iter();
        let running = running.map(|(task, run)| json!([task, run.run, "", 100, 0.0]));
        let ended = state.ended.iter();
        let ended = ended.map(|(number, task, run, how)| json!([number, task, run, how, ""]));
        let body = json!({
            "clockMs": self.clock_ms(), "born": self.born,
            "running": running.collect::<Vec<_>>(), "ended": ended.collect::<Vec<_>>(),
        });
        Response::json(200, &body)
    }
}
