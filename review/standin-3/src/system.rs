//! A small deployment: the store, executors, and the project's own program as separate processes.

use std::fs::{self, File};
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::executor::{Executor, Started};
use crate::http::call;
use crate::record::Record;
use crate::store::Store;

/// The host of all queues.
pub const HOST: &str = "nony24.example";

/// Why a case could not run.
pub type Failure = Box<dyn std::error::Error>;

/// Where things are.
pub struct Places {
    /// The root of the repository, in which the programs start.
    pub repository: PathBuf,
    /// For settings and outputs.
    pub scratch: PathBuf,
}

/// The settings that the platform would fill in, by the names of its own settings file.
struct Fields(Vec<(&'static str, String)>);

impl Fields {
    /// Fills in the project's template as far as it uses plain values and sections of present values.
    fn fill(&self, template: &str) -> Result<String, Failure> {
        let mut text = template.to_owned();
        for (name, value) in &self.0 {
            let plain = value.trim_matches('"');
            text = text.replace(&format!("{{{{{name}|json}}}}"), value);
            text = text.replace(&format!("{{{{{name}}}}}"), plain);
            if let Some((before, rest)) = text.split_once(&format!("{{{{#{name}}}}}"))
                && let Some((section, after)) = rest.split_once("{{/")
                && let Some((_, after)) = after.split_once("}}")
            {
                text = format!("{before}{}{after}", section.replace("{{.}}", plain));
            }
        }
        match text.contains("{{") {
            true => Err("the settings template has a placeholder that is not filled in".into()),
            false => Ok(text),
        }
    }
}

pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    process: Option<Child>,
    /// How the store treats this VM.
    pub access: Arc<AtomicU8>,
    starts: u32,
}

pub struct System {
    places: Places,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub starts: Arc<Mutex<Vec<Started>>>,
    pub vms: Vec<Vm>,
    pub executors: Vec<Arc<Executor>>,
}

impl Drop for System {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            if let Some(mut process) = vm.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
    }
}

/// Listens on a loopback address of this process, at a port that was not used before, so that nobody else takes
/// the port of a VM before the VM has bound it. The ports are below those of outgoing connections.
fn free_listener() -> Result<TcpListener, Failure> {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [.., third, fourth] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, 77, third, fourth.clamp(1, 254));
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        match TcpListener::bind((address, port)) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && port < 30_000 => {}
            bound => return Ok(bound?),
        }
    }
}

fn free_address() -> Result<SocketAddr, Failure> {
    Ok(free_listener()?.local_addr()?)
}

impl System {
    /// Starts VMs in these zones, and executors: service, zone and how many.
    pub fn start(
        places: Places,
        record: Record,
        zones: &[&str],
        executors: &[(&str, &str, usize)],
        configuration: &Value,
    ) -> Result<Self, Failure> {
        fs::create_dir_all(&places.scratch)?;
        let mut system = Self {
            places,
            record: Arc::new(record),
            store: Arc::default(),
            starts: Arc::default(),
            vms: Vec::new(),
            executors: Vec::new(),
        };
        system.configure(configuration);
        let template = fs::read_to_string(system.places.repository.join("deploy/settings.yaml"))?;
        let peers = zones
            .iter()
            .map(|_| free_address())
            .collect::<Result<Vec<_>, _>>()?;
        let seeds = peers
            .iter()
            .take(3)
            .map(SocketAddr::to_string)
            .collect::<Vec<_>>();
        for (index, zone) in zones.iter().enumerate() {
            let listener = free_listener()?;
            let store = listener.local_addr()?;
            let name = format!("front-{zone}-{index}");
            let access = system.store.serve_machine(&name, listener);
            let (callers, ready, metrics) = (free_address()?, free_address()?, free_address()?);
            let quoted = |value: &dyn std::fmt::Display| json!(value.to_string()).to_string();
            let fields = Fields(vec![
                ("node", quoted(&name)),
                ("zone", quoted(zone)),
                ("ip", quoted(&metrics.ip())),
                ("portRange.0", metrics.port().to_string()),
                ("listen.front", quoted(&callers)),
                ("listen.ready", quoted(&ready)),
                ("listen.control", quoted(&peers[index])),
                ("platform.address", quoted(&store)),
                ("seeds", json!(seeds).to_string()),
                ("bounds.maxHoldMs", "1000".to_owned()),
                ("bounds.retransmitMs", "1300".to_owned()),
                ("bounds.graceS", "6".to_owned()),
                ("bounds.farFactor", "1.5".to_owned()),
                ("limits.cpuShare", "0.25".to_owned()),
            ]);
            let settings = system.places.scratch.join(format!("{name}.yaml"));
            fs::write(&settings, fields.fill(&template)?)?;
            system.vms.push(Vm {
                name,
                callers,
                ready,
                settings,
                process: None,
                access,
                starts: 0,
            });
        }
        for (service, zone, count) in executors {
            for index in 0..*count {
                let id = format!("i-{service}-{zone}-{index}");
                let executor = Executor::start(
                    (&id, service, zone),
                    64,
                    free_listener()?,
                    &system.store,
                    &system.record,
                    &system.starts,
                );
                system.executors.push(executor);
            }
        }
        for vm in 0..system.vms.len() {
            system.start_vm(vm)?;
        }
        for vm in 0..system.vms.len() {
            system.wait_until_ready(vm, Duration::from_secs(10))?;
        }
        system.record.note("all VMs are ready");
        // Traffic starts 10 s after the machines do; here once all have been ready for contactMs.
        thread::sleep(Duration::from_millis(3500));
        Ok(system)
    }

    /// The operator writes a configuration.
    pub fn configure(&self, configuration: &Value) {
        self.store
            .put("keyed.op", "config", configuration.to_string().as_bytes());
        self.record
            .note(&format!("operator writes op/config: {configuration}"));
    }

    /// Starts the process of a VM with the command of the deploy file.
    pub fn start_vm(&mut self, vm: usize) -> Result<(), Failure> {
        let program = self.places.repository.join("target/release/filbertpitch");
        let vm = &mut self.vms[vm];
        vm.starts += 1;
        let output = self
            .places
            .scratch
            .join(format!("{}-{}.log", vm.name, vm.starts));
        let output = File::create(output)?;
        let mut command = Command::new(program);
        command.args(["fleet", "--settings"]).arg(&vm.settings);
        command
            .current_dir(&self.places.repository)
            .stdin(Stdio::null());
        command.stdout(output.try_clone()?).stderr(output);
        vm.process = Some(command.spawn()?);
        self.record.note(&format!("{} starts", vm.name));
        Ok(())
    }

    pub fn wait_until_ready(&self, vm: usize, limit: Duration) -> Result<(), Failure> {
        let until = Instant::now() + limit;
        let vm = &self.vms[vm];
        while Instant::now() < until {
            let answer = call(
                vm.ready,
                "GET",
                "/v1/ready",
                "x",
                Duration::from_millis(500),
                "",
            );
            if answer.is_some_and(|(status, _)| status == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} does not get ready", vm.name).into())
    }

    /// Whether the processes of all VMs still run.
    pub fn all_run(&mut self) -> bool {
        let mut processes = self.vms.iter_mut().filter_map(|vm| vm.process.as_mut());
        processes.all(|process| matches!(process.try_wait(), Ok(None)))
    }

    /// Sends a request of a client to a VM and records it with its answer.
    pub fn request(
        &self,
        vm: usize,
        method: &str,
        path: &str,
        timeout: Duration,
        body: &str,
    ) -> Option<(u16, String)> {
        request(&self.record, &self.vms[vm], method, path, timeout, body)
    }

    /// The same on a thread of its own.
    pub fn begin_request(
        &self,
        vm: usize,
        method: &'static str,
        path: String,
        timeout: Duration,
        body: String,
    ) -> thread::JoinHandle<(Duration, Option<(u16, String)>)> {
        let (record, name, callers) = (
            Arc::clone(&self.record),
            self.vms[vm].name.clone(),
            self.vms[vm].callers,
        );
        thread::spawn(move || {
            let answer = send(&record, (&name, callers), method, &path, timeout, &body);
            (record.now(), answer)
        })
    }

    /// Clients that each send a small job to a VM and, a while after its answer, the next one, until `ended` is
    /// set.
    pub fn begin_load(
        &self,
        vm: usize,
        clients: u64,
        pause: Duration,
        job: &str,
        ended: &Arc<AtomicBool>,
    ) -> Vec<thread::JoinHandle<()>> {
        let client = |client: u64| {
            let (record, name) = (Arc::clone(&self.record), self.vms[vm].name.clone());
            let (address, ended) = (self.vms[vm].callers, Arc::clone(ended));
            let job = job.to_owned();
            thread::spawn(move || {
                let mut sent = 0_u64;
                while !ended.load(Ordering::SeqCst) {
                    let id = format!("{:016x}", client << 32 | sent);
                    let path = format!("/lohu930/{id}");
                    send(
                        &record,
                        (&name, address),
                        "POST",
                        &path,
                        Duration::from_millis(1500),
                        &job,
                    );
                    sent += 1;
                    thread::sleep(pause);
                }
            })
        };
        (1..=clients).map(client).collect()
    }

    /// The tasks of a job that run now.
    pub fn running_of(&self, job: &str) -> Vec<String> {
        let executors = self.executors.iter();
        executors
            .flat_map(|executor| executor.running_of(job))
            .collect()
    }

    /// The starts so far of the tasks of a job.
    pub fn starts_of(&self, job: &str) -> Vec<Started> {
        let starts = self.starts.lock().expect("the starts");
        let of_job = starts.iter().filter(|it| it.task.starts_with(job));
        of_job.cloned().collect()
    }
}

fn request(
    record: &Record,
    vm: &Vm,
    method: &str,
    path: &str,
    timeout: Duration,
    body: &str,
) -> Option<(u16, String)> {
    send(record, (&vm.name, vm.callers), method, path, timeout, body)
}

fn send(
    record: &Record,
    (name, address): (&str, SocketAddr),
    method: &str,
    path: &str,
    timeout: Duration,
    body: &str,
) -> Option<(u16, String)> {
    record.note(&format!("client sends {method} {path} to {name} {body}"));
    let answer = call(address, method, path, HOST, timeout, body);
    let text = match &answer {
        Some((status, body)) => format!("{status} {body}"),
        None => "no response".to_owned(),
    };
    record.note(&format!("{name} answers {method} {path}: {text}"));
    answer
}

/// A route as the operator writes it.
pub fn route(name: &str, prefix: &str, service: &str) -> Value {
    json!({
        "name": name, "host": HOST, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 60_000, "sloMs": 60,
        "priority": 1, "service": service, "maxAttempts": 3, "stretch": 1.6,
    })
}

/// A configuration as the operator writes it.
pub fn configuration(version: u64, routes: &[Value], services: &[&str]) -> Value {
    let services = services.iter().map(|name| {
        json!({
            "name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false,
            "rejectsOverload": false, "headroom": false,
        })
    });
    json!({
        "version": version, "routes": routes, "services": services.collect::<Vec<_>>(),
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000,
        },
    })
}

/// A job of one step that needn't be kept: so many tasks, each with so many milliseconds of work.
pub fn job(tasks: u32, work_ms: u64) -> String {
    let step = json!({ "count": tasks, "cpu": 8000, "memMb": 64, "estimateMs": work_ms });
    json!({ "spec": format!("work {work_ms}"), "steps": [step], "bestEffort": true }).to_string()
}

/// The root of the repository, from the place of this program's package.
pub fn repository() -> Result<PathBuf, Failure> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2);
    Ok(root.ok_or("no repository")?.to_owned())
}
