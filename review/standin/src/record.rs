//! What was sent, answered and run, with the time since the start in milliseconds.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct RunStart {
    pub at: Duration,
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub labels: String,
    /// Whether the executor had answered a hold in this life before.
    pub told: bool,
    pub ended: Option<(Duration, &'static str)>,
}

struct State {
    file: File,
    starts: Vec<RunStart>,
}

/// The record of a case. Clones share it.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    state: Arc<Mutex<State>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self {
            started: Instant::now(),
            state: Arc::new(Mutex::new(State {
                file,
                starts: Vec::new(),
            })),
        })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: &str) {
        let at = self.now();
        let mut state = self.state.lock().unwrap();
        let _ = writeln!(state.file, "{:>8} {text}", at.as_millis());
    }

    pub fn start(
        &self,
        executor: &str,
        task: &str,
        run: u64,
        spec: &str,
        labels: &str,
        told: bool,
    ) {
        self.note(&format!(
            "{executor} starts {task} run {run} ({spec}; labels {labels})"
        ));
        let start = RunStart {
            at: self.now(),
            executor: executor.to_owned(),
            task: task.to_owned(),
            run,
            labels: labels.to_owned(),
            told,
            ended: None,
        };
        self.state.lock().unwrap().starts.push(start);
    }

    pub fn end(&self, executor: &str, task: &str, run: u64, how: &'static str) {
        self.note(&format!("{executor} ends {task} run {run}: {how}"));
        let at = self.now();
        let mut state = self.state.lock().unwrap();
        let mut starts = state.starts.iter_mut().rev();
        let found = starts.find(|it| {
            it.executor == executor && it.task == task && it.run == run && it.ended.is_none()
        });
        if let Some(start) = found {
            start.ended = Some((at, how));
        }
    }

    pub fn starts(&self) -> Vec<RunStart> {
        self.state.lock().unwrap().starts.clone()
    }
}
