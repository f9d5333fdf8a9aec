//! An executor that keeps the duties of the protocol: tokens, leases, run numbers and its clock. The text of a
//! task says in its first word for how many milliseconds it runs.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Response, Server};
use crate::json::Json;
use crate::record::Record;
use crate::store::{Store, quote};

const MAX_HOLD_MS: u64 = 1000;
const BEAT: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug)]
pub struct Plan {
    pub id: String,
    pub zone: String,
    pub cpu: u32,
    pub labels: Vec<String>,
}

struct Run {
    number: u64,
    ends: Instant,
}

struct Life {
    born: u64,
    started: Instant,
    token: u64,
    lease_end: u64,
    runs: BTreeMap<String, Run>,
    /// The highest run of each task that was stopped or has ended.
    over: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// Whether this life has answered a hold, which names the time of its birth.
    told: bool,
}

impl Life {
    fn new() -> Self {
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self {
            born: born.map_or(0, |it| it.as_millis() as u64),
            started: Instant::now(),
            token: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            over: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            told: false,
        }
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline: u64) {
        let most = self.clock() + MAX_HOLD_MS;
        self.lease_end = self.lease_end.max(deadline.min(most));
    }
}

struct State {
    plan: Plan,
    life: Life,
    address: String,
    sequence: u64,
    up: bool,
}

/// An executor. Clones share the state.
#[derive(Clone)]
pub struct Executor {
    state: Arc<Mutex<State>>,
    record: Record,
    store: Store,
}

impl Executor {
    /// Starts to serve, to beat and to end runs.
    pub fn start(plan: Plan, store: &Store, record: &Record) -> std::io::Result<(Self, Server)> {
        let executor = Self {
            state: Arc::new(Mutex::new(State {
                plan,
                life: Life::new(),
                address: String::new(),
                sequence: 0,
                up: true,
            })),
            record: record.clone(),
            store: store.clone(),
        };
        let server = executor.serve("127.0.0.1:0")?;
        executor.state.lock().unwrap().address = server.address.to_string();
        let (ticker, beater) = (executor.clone(), executor.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                ticker.advance(&mut ticker.state.lock().unwrap());
            }
        });
        thread::spawn(move || {
            loop {
                beater.register();
                thread::sleep(BEAT);
            }
        });
        Ok((executor, server))
    }

    fn serve(&self, address: &str) -> std::io::Result<Server> {
        let handler = self.clone();
        Server::start(address, move |request| handler.respond(request))
    }

    /// Writes the entry to the store.
    fn register(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.up {
            return;
        }
        state.sequence += 1;
        let State { plan, life, .. } = &*state;
        let labels = plan.labels.iter().map(|label| quote(label));
        let entry = format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1\",\"slots\":8,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":{},\
             \"capacity\":{{\"cpu\":{},\"memMb\":131072,\"gpu\":0}},\"labels\":[{}],\"born\":{}}}",
            state.address,
            plan.zone,
            state.sequence,
            plan.cpu,
            labels.collect::<Vec<_>>().join(","),
            life.born
        );
        let id = state.plan.id.clone();
        self.store
            .put("keyed.servers", id.as_bytes(), entry.as_bytes());
    }

    /// Crashes and starts again under the same id, as another kind if a plan is given. The new life
    /// registers at once.
    pub fn restart(&self, plan: Option<Plan>) {
        {
            let mut state = self.state.lock().unwrap();
            let lost = state.life.runs.len();
            self.record
                .note(&format!("{} crashes with {lost} runs", state.plan.id));
            for task in state.life.runs.keys().cloned().collect::<Vec<_>>() {
                self.end(&mut state, &task, "lost");
            }
            state.life = Life::new();
            state.sequence = 0;
            if let Some(plan) = plan {
                state.plan = plan;
            }
        }
        self.register();
    }

    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        let done = state.life.runs.iter().filter(|(_, run)| run.ends <= now);
        let done = done.map(|(task, _)| task.clone()).collect::<Vec<_>>();
        for task in done {
            self.end(state, &task, "done");
        }
        if state.life.clock() >= state.life.lease_end {
            for task in state.life.runs.keys().cloned().collect::<Vec<_>>() {
                self.end(state, &task, "lapsed");
            }
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.life.runs.remove(task) else {
            return;
        };
        let number = state.life.next_end;
        state.life.next_end += 1;
        state.life.over.insert(task.to_owned(), run.number);
        state
            .life
            .ended
            .push((number, task.to_owned(), run.number, how));
        self.record.end(&state.plan.id, task, run.number, how);
    }

    fn respond(&self, request: &Message) -> Option<Response> {
        let body = Json::parse(&request.body)?;
        let mut state = self.state.lock().unwrap();
        if !state.up {
            return None;
        }
        self.advance(&mut state);
        if request.header("filbertpitch-target-instance") != Some(&state.plan.id) {
            return Some(Response::json(421, "{}".into()));
        }
        let token = body.get("fencingToken").u64().unwrap_or(0);
        if token < state.life.token {
            return Some(refuse(&state, "fence"));
        }
        state.life.token = token;
        match request.path() {
            "/v1/run-start" => self.start_run(&mut state, &body),
            "/v1/run-stop" => {
                let task = body.get("task").text()?.to_owned();
                let run = body.get("run").u64()?;
                if state
                    .life
                    .runs
                    .get(&task)
                    .is_some_and(|known| known.number <= run)
                {
                    self.end(&mut state, &task, "stopped");
                } else {
                    let over = state.life.over.entry(task).or_default();
                    *over = run.max(*over);
                }
                Some(accept(&state))
            }
            "/v1/hold" => {
                let acked = body.get("ackedThrough").u64().unwrap_or(0);
                if let Some(deadline) = body.get("deadlineMs").u64() {
                    state.life.extend(deadline);
                }
                state.life.ended.retain(|(number, ..)| *number > acked);
                let born = state.life.born;
                drop(state);
                self.hold(
                    Duration::from_millis(body.get("waitMs").u64().unwrap_or(0)),
                    born,
                )
            }
            _ => Some(Response::json(404, "{}".into())),
        }
    }

    fn start_run(&self, state: &mut State, body: &Json) -> Option<Response> {
        let task = body.get("task").text()?.to_owned();
        let number = body.get("run").u64()?;
        let deadline = body.get("deadlineMs").u64()?;
        if deadline <= state.life.clock() {
            return Some(refuse(state, "late"));
        }
        state.life.extend(deadline);
        if let Some(known) = state.life.runs.get(&task) {
            let same = known.number == number;
            return Some(if same {
                accept(state)
            } else {
                refuse(state, "old")
            });
        }
        if state
            .life
            .over
            .get(&task)
            .is_some_and(|over| number <= *over)
        {
            return Some(refuse(state, "old"));
        }
        let spec = body.get("spec").text()?;
        let work = spec.split(' ').next()?.parse().ok()?;
        let run = Run {
            number,
            ends: Instant::now() + Duration::from_millis(work),
        };
        state.life.runs.insert(task.clone(), run);
        let labels = state.plan.labels.join(",");
        self.record.start(
            &state.plan.id,
            &task,
            number,
            spec,
            &labels,
            state.life.told,
        );
        Some(accept(state))
    }

    fn hold(&self, wait: Duration, born: u64) -> Option<Response> {
        let started = Instant::now();
        loop {
            {
                let mut state = self.state.lock().unwrap();
                self.advance(&mut state);
                if state.life.born != born {
                    // The process that had the call has crashed.
                    return None;
                }
                if !state.life.ended.is_empty() || started.elapsed() >= wait {
                    state.life.told = true;
                    return Some(report(&state));
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn accept(state: &State) -> Response {
    let (clock, born) = (state.life.clock(), state.life.born);
    Response::json(200, format!("{{\"clockMs\":{clock},\"born\":{born}}}"))
}

fn refuse(state: &State, reason: &str) -> Response {
    let (clock, born) = (state.life.clock(), state.life.born);
    Response::json(
        409,
        format!("{{\"clockMs\":{clock},\"born\":{born},\"reason\":\"{reason}\"}}"),
    )
}

fn report(state: &State) -> Response {
    let running = state.life.runs.iter();
    let running = running.map(|(task, run)| format!("[\"{task}\",{},\"\",50,1000]", run.number));
    let ended = state.life.ended.iter().take(500);
    let ended =
        ended.map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"));
    Response::json(
        200,
        format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            state.life.clock(),
            state.life.born,
            running.collect::<Vec<_>>().join(","),
            ended.collect::<Vec<_>>().join(",")
        ),
    )
}
