//! An executor: it starts whatever it is told, lists ends, and kills all runs when their lease expires.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Request, Response, serve};
use crate::record::Record;
use crate::store::Store;

/// The longest lease, on the executor's clock.
const MAX_HOLD_MS: u64 = 1000;
const BEAT: Duration = Duration::from_millis(1500);

struct Run {
    number: u64,
    ends_at: Instant,
}

struct State {
    draining: bool,
    left: bool,
    token: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    /// The highest number of a run of the task that was stopped or has ended here.
    over: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    sequence: u64,
}

/// A start that an executor has carried out.
#[derive(Clone, Debug)]
pub struct Started {
    pub at: Duration,
    pub executor: String,
    pub task: String,
}

pub struct Executor {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    cores: u64,
    started_at: Instant,
    born: u64,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    starts: Arc<Mutex<Vec<Started>>>,
}

impl Executor {
    /// Starts an executor and registers it in the store.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        cores: u64,
        listener: TcpListener,
        store: &Arc<Store>,
        record: &Arc<Record>,
        starts: &Arc<Mutex<Vec<Started>>>,
    ) -> Arc<Self> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time")
            .as_millis();
        let executor = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            cores,
            started_at: Instant::now(),
            born: born as u64,
            state: Mutex::new(State {
                draining: false,
                left: false,
                token: 0,
                lease_end_ms: 0,
                runs: BTreeMap::new(),
                over: BTreeMap::new(),
                ended: Vec::new(),
                last_end: 0,
                sequence: 0,
            }),
            changed: Condvar::new(),
            record: Arc::clone(record),
            starts: Arc::clone(starts),
        });
        let server = Arc::clone(&executor);
        serve(listener, move |request| server.answer(&request));
        let ticker = Arc::clone(&executor);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                ticker.advance(&mut ticker.state.lock().expect("the state"));
            }
        });
        let (beating, store) = (Arc::clone(&executor), Arc::clone(store));
        thread::spawn(move || {
            loop {
                store.put(
                    "keyed.servers",
                    &beating.id,
                    beating.entry().to_string().as_bytes(),
                );
                thread::sleep(BEAT);
            }
        });
        executor
    }

    pub fn id(&self) -> &str {
        &self.id
    }

    fn has_left(&self) -> bool {
        self.state.lock().expect("the state").left
    }

    fn write_entry(&self, store: &Store) {
        let entry = self.entry().to_string();
        store.put("keyed.servers", &self.id, entry.as_bytes());
    }

    /// Reports that the executor drains. It serves on until [`Self::leave`].
    pub fn drain(&self, store: &Store) {
        self.state.lock().expect("the state").draining = true;
        self.write_entry(store);
        self.record
            .note(&format!("the store accepts that {} is draining", self.id));
    }

    /// Ends everything that runs, and serves no longer.
    pub fn leave(&self, store: &Store) {
        let mut state = self.state.lock().expect("the state");
        self.advance(&mut state);
        state.left = true;
        for task in state.runs.keys() {
            self.record
                .note(&format!("{} leaves; {task} is lost with it", self.id));
        }
        state.runs.clear();
        drop(state);
        store.put("keyed.servers", &self.id, b"");
        self.record.note(&format!("{} has left", self.id));
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        let response = self.respond(request);
        (!self.has_left()).then_some(response)
    }

    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn entry(&self) -> Value {
        let mut state = self.state.lock().expect("the state");
        state.sequence += 1;
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": 8, "state": if state.draining { "draining" } else { "ready" }, "coldRemainingMs": 0,
            "capacity": { "cpu": self.cores * 1000, "memMb": 131_072, "gpu": 0 },
            "labels": ["a", "r1-1"], "clockMs": self.clock_ms(), "seq": state.sequence, "born": self.born,
        })
    }

    /// The tasks of a job that run here now.
    pub fn running_of(&self, job: &str) -> Vec<String> {
        let mut state = self.state.lock().expect("the state");
        self.advance(&mut state);
        let tasks = state.runs.keys().filter(|task| task.starts_with(job));
        tasks.cloned().collect()
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        if let Some(run) = state.runs.remove(task) {
            state.last_end += 1;
            let number = state.last_end;
            state.ended.push((number, task.to_owned(), run.number, how));
            let over = state.over.entry(task.to_owned()).or_default();
            *over = run.number.max(*over);
            self.record.note(&format!(
                "{} ends {task} run {}: {how}",
                self.id, run.number
            ));
            self.changed.notify_all();
        }
    }

    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        let done = state.runs.iter().filter(|(_, run)| run.ends_at <= now);
        for task in done.map(|(task, _)| task.clone()).collect::<Vec<_>>() {
            self.end(state, &task, "done");
        }
        if self.clock_ms() >= state.lease_end_ms {
            for task in state.runs.keys().cloned().collect::<Vec<_>>() {
                self.end(state, &task, "lapsed");
            }
        }
    }

    fn respond(&self, request: &Request) -> Response {
        if request.method == "GET" && request.path == "/health" {
            return Response::empty(200);
        }
        if request.header("filbertpitch-target-instance") != Some(&self.id) {
            return Response::json(421, &json!({ "clockMs": self.clock_ms() }));
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return Response::empty(400);
        };
        let mut state = self.state.lock().expect("the state");
        self.advance(&mut state);
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token < state.token {
            return self.refuse("fence");
        }
        state.token = token;
        let response = match request.path.as_str() {
            "/v1/run-start" => self.start_run(&mut state, &body),
            "/v1/run-stop" => self.stop_run(&mut state, &body),
            "/v1/hold" => {
                drop(state);
                return self.hold(&body);
            }
            _ => None,
        };
        response.unwrap_or_else(|| Response::empty(400))
    }

    fn refuse(&self, reason: &str) -> Response {
        Response::json(
            409,
            &json!({ "clockMs": self.clock_ms(), "reason": reason }),
        )
    }

    fn accept(&self) -> Response {
        Response::json(200, &json!({ "clockMs": self.clock_ms() }))
    }

    fn extend_lease(&self, state: &mut State, deadline_ms: u64) {
        let longest = self.clock_ms() + MAX_HOLD_MS;
        state.lease_end_ms = state.lease_end_ms.max(deadline_ms.min(longest));
    }

    fn start_run(&self, state: &mut State, body: &Value) -> Option<Response> {
        let task = body["task"].as_str()?;
        let number = body["run"].as_u64()?;
        let deadline = body["deadlineMs"].as_u64()?;
        if deadline <= self.clock_ms() {
            return Some(self.refuse("late"));
        }
        self.extend_lease(state, deadline);
        if let Some(known) = state.runs.get(task) {
            return Some(match known.number == number {
                true => self.accept(),
                false => self.refuse("old"),
            });
        }
        if state.over.get(task).is_some_and(|over| number <= *over) {
            return Some(self.refuse("old"));
        }
        let work = body["spec"].as_str()?.strip_prefix("work ")?.parse().ok()?;
        let ends_at = Instant::now() + Duration::from_millis(work);
        state.runs.insert(task.to_owned(), Run { number, ends_at });
        self.record.note(&format!(
            "{} ({}) starts {task} run {number}",
            self.id, self.service
        ));
        self.starts.lock().expect("the starts").push(Started {
            at: self.record.now(),
            executor: self.id.clone(),
            task: task.to_owned(),
        });
        Some(self.accept())
    }

    fn stop_run(&self, state: &mut State, body: &Value) -> Option<Response> {
        let task = body["task"].as_str()?;
        let number = body["run"].as_u64()?;
        if state.runs.get(task).is_some_and(|run| run.number <= number) {
            self.end(state, task, "stopped");
        }
        let over = state.over.entry(task.to_owned()).or_default();
        *over = number.max(*over);
        Some(self.accept())
    }

    fn hold(&self, body: &Value) -> Response {
        let acked = body["ackedThrough"].as_u64().unwrap_or(0);
        let wait = body["waitMs"].as_u64().unwrap_or(0).min(2000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().expect("the state");
        if let Some(deadline) = body["deadlineMs"].as_u64() {
            self.extend_lease(&mut state, deadline);
        }
        state.ended.retain(|(number, ..)| *number > acked);
        loop {
            self.advance(&mut state);
            let now = Instant::now();
            if !state.ended.is_empty() || now >= until {
                let running = state
                    .runs
                    .iter()
                    .map(|(task, run)| json!([task, run.number, "", 100, 1000]));
                let ended = state.ended.iter().take(500);
                let ended =
                    ended.map(|(number, task, run, how)| json!([number, task, run, how, ""]));
                let (running, ended) = (running.collect::<Vec<_>>(), ended.collect::<Vec<_>>());
                return Response::json(
                    200,
                    &json!({ "clockMs": self.clock_ms(), "born": self.born, "running": running, "ended": ended }),
                );
            }
            state = self
                .changed
                .wait_timeout(state, until - now)
                .expect("the state")
                .0;
        }
    }
}
