//! A small deployment: stand-ins as threads, entry VMs as processes of the project's own program.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::executor::{Executor, ExecutorPlan, StartedRun, Starts};
use crate::http::call;
use crate::link::Link;
use crate::record::Record;
use crate::store::Store;

/// The `Host` of the queue.
pub const HOST: &str = "desk.example";
/// The path prefix of the queue.
pub const PREFIX: &str = "/confirm/";

/// How long a process may take until it reports that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// An entry VM.
pub struct Vm {
    pub name: String,
    zone: &'static str,
    pub callers: SocketAddr,
    ready: SocketAddr,
    pub peers: SocketAddr,
    metrics: SocketAddr,
    /// Between the process and the store.
    pub store_link: Link,
    process: Option<Child>,
}

pub struct System {
    pub record: Record,
    pub store: Store,
    pub vms: Vec<Vm>,
    pub executors: Vec<Executor>,
    pub starts: Starts,
    directory: PathBuf,
}

/// Whether the disruption of the case is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Free addresses on loopback. Each case has a network of its own there, so that cases can run side by side.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let id = std::process::id();
    let (second, third) = (16 + id / 250 % 200, id % 250);
    let bind = |_| TcpListener::bind(format!("127.{second}.{third}.1:0")).expect("a free port");
    let listeners = (0..count).map(bind).collect::<Vec<_>>();
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses.map(|it| it.expect("a bound address")).collect()
}

impl System {
    /// Starts the store and the executors, publishes a configuration, starts one process for each entry of
    /// `zones`, and waits until all are ready.
    ///
    /// # Errors
    /// When a process cannot be started or does not become ready.
    pub fn start(
        directory: &Path,
        zones: &[&'static str],
        executors: Vec<ExecutorPlan>,
    ) -> Result<Self, String> {
        let record = Record::new();
        let store = Store::start();
        let starts: Starts = Arc::new(Mutex::new(Vec::<StartedRun>::new()));
        let executors = executors.into_iter();
        let executors = executors.map(|plan| Executor::start(plan, &starts, &record));
        let mut addresses = free_addresses(zones.len() * 4).into_iter();
        let mut next = || addresses.next().expect("an address for each purpose");
        let vms = zones.iter().enumerate().map(|(index, zone)| Vm {
            name: format!("front-{zone}-{index}"),
            zone,
            callers: next(),
            ready: next(),
            peers: next(),
            metrics: next(),
            store_link: Link::start(store.address),
            process: None,
        });
        let vms = vms.collect();
        let system = Self {
            executors: executors.collect(),
            directory: directory.to_owned(),
            record,
            store,
            vms,
            starts,
        };
        system.configure(7, "desk");
        Ok(system)
    }

    /// Publishes a configuration in which a service serves the queue. Returns when the store has acknowledged it.
    pub fn configure(&self, version: u32, service: &str) -> u64 {
        let configuration = json!({
            "version": version,
            "routes": [{
                "name": "confirm", "host": HOST, "pathPrefix": PREFIX, "service": service,
                "priority": 0, "maxAttempts": 3, "stretch": 1.6, "sloMs": 60,
            }],
            "services": [
                { "name": "desk", "rejectsOverload": false },
                { "name": "desk-2", "rejectsOverload": false },
            ],
            "limits": null,
        });
        let text = configuration.to_string();
        self.store.put("keyed.op", "config", text.as_bytes());
        let text = format!("version {version} acknowledged: service {service}");
        self.record.add(&text);
        self.record.now_ms()
    }

    /// Starts all processes.
    ///
    /// # Errors
    /// When one cannot be started or does not become ready.
    pub fn start_vms(&mut self) -> Result<(), String> {
        for vm in 0..self.vms.len() {
            self.start_vm(vm)?;
        }
        self.wait_until_ready()
    }

    /// The settings file that the template of the deploy file gives, in JSON, which is YAML as well.
    fn settings(&self, vm: usize) -> Value {
        let seeds = self.vms.iter().take(3).map(|vm| vm.peers.to_string());
        let vm = &self.vms[vm];
        json!({
            "vm": vm.name, "availability_zone": vm.zone,
            "listen": {
                "callers": vm.callers.to_string(), "ready": vm.ready.to_string(),
                "peers": vm.peers.to_string(), "metrics": vm.metrics.to_string(),
            },
            "store": vm.store_link.address.to_string(),
            "seed_peers": seeds.collect::<Vec<_>>(),
            "lease": "1000ms", "resend_delay": "1300ms", "stop_grace": "6s",
            "far_factor": 1.5, "processor_share": 0.25,
        })
    }

    pub fn start_vm(&mut self, vm: usize) -> Result<(), String> {
        let name = self.vms[vm].name.clone();
        let settings = self.directory.join(format!("{name}.yaml"));
        let text = self.settings(vm).to_string();
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = self.directory.join(format!("{name}.log"));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new("target/release/filbertpitch")
            .args(["fleet", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("target/release/filbertpitch: {error}"))?;
        self.vms[vm].process = Some(child);
        self.record.add(&format!("{name}: process started"));
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + READY_TIMEOUT;
        for vm in &self.vms {
            while !is_ready(vm) {
                if Instant::now() > until {
                    return Err(format!("{} does not become ready", vm.name));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.add("all processes are ready");
        Ok(())
    }

    /// The id of a process that this case has started.
    ///
    /// # Errors
    /// When the process does not run.
    pub fn process_id(&self, vm: usize) -> Result<u32, String> {
        let process = self.vms[vm].process.as_ref();
        process
            .map(Child::id)
            .ok_or_else(|| "the process does not run".to_owned())
    }

    /// Kills a process that this case has started.
    pub fn kill_vm(&mut self, vm: usize) {
        let Vm { process, name, .. } = &mut self.vms[vm];
        if let Some(mut child) = process.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
            self.record.add(&format!("{name}: process killed"));
        }
    }

    /// Waits until a process has ended by itself. Returns whether it has.
    pub fn wait_for_exit(&mut self, vm: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let Vm { process, name, .. } = &mut self.vms[vm];
        while let Some(child) = process {
            if let Ok(Some(status)) = child.try_wait() {
                self.record
                    .add(&format!("{name}: process ended with {status}"));
                *process = None;
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        true
    }

    /// Whether a process runs.
    pub fn is_running(&mut self, vm: usize) -> bool {
        let process = self.vms[vm].process.as_mut();
        process.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn client(&self, vm: usize) -> Client {
        Client {
            vm: self.vms[vm].name.clone(),
            address: self.vms[vm].callers,
            record: self.record.clone(),
        }
    }

    /// The runs so far of a job's tasks.
    pub fn runs_of(&self, job: &str) -> Vec<StartedRun> {
        let starts = self.starts.lock().unwrap();
        let of_job = starts.iter().filter(|start| start.task.starts_with(job));
        of_job.cloned().collect()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            if let Some(mut child) = vm.process.take() {
                // It may have ended by itself.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

fn is_ready(vm: &Vm) -> bool {
    let timeout = Duration::from_millis(500);
    let headers = [("host", "ready")];
    let answer = call(vm.ready, ("GET", "/v1/ready"), &headers, "", timeout);
    answer.is_some_and(|(status, _)| status == 200)
}

/// A client that is connected to one entry VM.
#[derive(Clone)]
pub struct Client {
    vm: String,
    address: SocketAddr,
    record: Record,
}

/// A job of one step.
#[derive(Clone, Copy)]
pub struct Job {
    pub tasks: u32,
    /// In thousandths of a core, for each task.
    pub cpu: u32,
    pub work_ms: u32,
    /// How long the client waits for the answer.
    pub deadline_ms: u32,
}

impl Job {
    fn body(self, estimate_ms: u32) -> String {
        let step = json!({
            "count": self.tasks, "cpu": self.cpu, "memMb": 64, "estimateMs": estimate_ms,
        });
        let spec = self.work_ms.to_string();
        json!({ "spec": spec, "bestEffort": true, "steps": [step] }).to_string()
    }
}

impl Client {
    /// `deadline_ms` is what the client states; it waits for a minute at most.
    fn send(&self, method: &str, id: &str, body: &str, deadline_ms: u64) -> Option<(u16, String)> {
        let deadline = deadline_ms.to_string();
        let headers = [
            ("host", HOST),
            ("content-type", "application/json"),
            ("filbertpitch-deadline", &*deadline),
        ];
        self.record
            .add(&format!("client: {method} {id} to {}", self.vm));
        let path = format!("{PREFIX}{id}");
        let timeout = Duration::from_millis(deadline_ms.min(60_000));
        let answer = call(self.address, (method, &path), &headers, body, timeout);
        self.record.add(&match &answer {
            Some((status, body)) => format!("client: {method} {id} gets {status} {body}"),
            None => format!("client: {method} {id} gets no response in time"),
        });
        answer
    }

    pub fn submit(&self, id: &str, job: Job) -> Option<(u16, String)> {
        self.submit_with_estimate(id, job, job.work_ms)
    }

    pub fn submit_with_estimate(
        &self,
        id: &str,
        job: Job,
        estimate_ms: u32,
    ) -> Option<(u16, String)> {
        self.send("POST", id, &job.body(estimate_ms), job.deadline_ms.into())
    }

    /// Submits a job of so many steps of one short task each.
    pub fn submit_steps(&self, id: &str, steps: u32, deadline_ms: u64) -> Option<(u16, String)> {
        let step = json!({ "count": 1, "cpu": 8000, "memMb": 64, "estimateMs": 200 });
        let steps = vec![step; steps as usize];
        let body = json!({ "spec": "10", "bestEffort": true, "steps": steps }).to_string();
        self.send("POST", id, &body, deadline_ms)
    }

    pub fn cancel(&self, id: &str, deadline_ms: u32) -> Option<(u16, String)> {
        self.send("DELETE", id, "", deadline_ms.into())
    }
}
