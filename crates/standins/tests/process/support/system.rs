//! A whole system of processes on loopback.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use filbertpitch_standins::children::ports::PortBlock;
use filbertpitch_standins::children::process::{TestProcess, read_text};
use filbertpitch_standins::children::wait::wait_for;
use filbertpitch_standins::declare::control_address;
use filbertpitch_standins::http::log_host::LogControl;
use filbertpitch_standins::http::target_control::TargetControl;
use filbertpitch_types::status::{PeerState, PeerStatus, VmStatus};
use filbertpitch_wire::message::ClientRequest;
use filbertpitch_wire::runtime;
use http::{Method, StatusCode};
use rustix::process::Signal;
use serde_json::json;

use super::client::{EntryClient, control};
use super::evidence::Evidence;

/// No test of this file set may run longer, so that a fault cannot block the set.
const TEST_LIMIT: Duration = Duration::from_secs(120);
/// The lines of each process's output that a failing test prints.
const EXCERPT_LINES: usize = 25;

/// What to start.
#[derive(Clone, Debug)]
pub struct SystemPlan {
    /// The availability zone of each entry VM that is started at once.
    pub entries: Vec<&'static str>,
    /// How many targets; their zones rotate over `biratnagar` and `itahari`.
    pub targets: usize,
    /// Further lines of each entry VM's settings file.
    pub settings: &'static str,
}

impl Default for SystemPlan {
    fn default() -> Self {
        Self {
            entries: vec!["biratnagar", "biratnagar", "itahari"],
            targets: 4,
            settings: "",
        }
    }
}

/// Running processes. They are ended when this value is dropped.
pub struct TestSystem {
    plan: SystemPlan,
    ports: PortBlock,
    directory: PathBuf,
    platform: Vec<TestProcess>,
    entries: Vec<TestProcess>,
    clients: Vec<EntryClient>,
    commands: usize,
}

/// Starts a system, runs a test on it and ends it. A failing test prints the end of every
/// process's output and keeps the files.
///
/// # Panics
/// When the test fails or takes too long.
pub fn run_test<Body>(name: &str, plan: SystemPlan, body: Body)
where
    Body: AsyncFnOnce(&mut TestSystem),
{
    let limited = runtime::run(async {
        let test = async {
            let mut system = TestSystem::start(name, plan).await;
            body(&mut system).await;
            system.assert_no_panic();
        };
        monoio::time::timeout(TEST_LIMIT, test).await
    });
    assert!(limited.unwrap().is_ok(), "the test took too long");
}

impl TestSystem {
    async fn start(name: &str, plan: SystemPlan) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("process-{}-{name}", std::process::id()));
        fs::create_dir_all(&directory).expect("a directory for this test");
        let mut system = Self {
            ports: PortBlock::take(),
            directory,
            platform: Vec::new(),
            entries: Vec::new(),
            clients: Vec::new(),
            commands: 0,
            plan,
        };
        system.start_platform().await;
        for _ in 0..system.plan.entries.len() {
            system.start_entry();
        }
        system.apply_first_ticket().await;
        for index in 0..system.entries.len() {
            system.await_ready(index).await;
        }
        system.await_membership().await;
        system
    }

    fn assert_no_panic(&self) {
        for (index, entry) in self.entries.iter().enumerate() {
            let panicked = entry.output_text().contains("panicked");
            assert!(!panicked, "entry VM {index} panicked");
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    fn target_options(&self) -> Vec<String> {
        let options = [
            ("--listen", self.ports.target(0).to_string()),
            ("--count", self.plan.targets.to_string()),
            ("--zones", "biratnagar,itahari".to_string()),
        ];
        let options = options.into_iter();
        let options = options.flat_map(|(name, value)| [name.to_string(), value]);
        std::iter::once("targets".to_string())
            .chain(options)
            .collect()
    }

    async fn start_platform(&mut self) {
        let mut arguments = self.target_options();
        let output = self.run_standin(&arguments, "--print-vms").await;
        let mut vms = output;
        for index in 0..self.plan.entries.len() {
            vms.push_str(&self.entry_line(index));
        }
        fs::write(self.path("vms.yaml"), vms).unwrap();
        let log = self.ports.log().to_string();
        self.start_standin("log", &["log", "--listen", &log].map(String::from));
        let (list, file) = (self.ports.vm_list().to_string(), self.path("vms.yaml"));
        let file = file.display().to_string();
        // The lag is the platform's; tests count from the moment at which the list says something.
        let vms = ["vms", "--listen", &list, "--file", &file, "--lag", "0ms"];
        self.start_standin("vms", &vms.map(String::from));
        arguments.extend(["--threads".to_string(), "1".to_string()]);
        self.start_standin("targets", &arguments);
    }

    async fn run_standin(&mut self, arguments: &[String], switch: &str) -> String {
        let output = self.path("standin.out");
        let arguments = arguments.iter().map(String::as_str).chain([switch]);
        let mut process = TestProcess::start("standin", arguments, output);
        assert!(process.ended().await.success(), "{}", process.output_text());
        process.output_text()
    }

    fn start_standin(&mut self, name: &str, arguments: &[String]) {
        let output = self.path(&format!("{name}.out"));
        let process = TestProcess::start("standin", arguments, output);
        self.platform.push(process);
    }

    fn entry_line(&self, index: usize) -> String {
        let address = self.ports.entry(index);
        let zone = self.plan.entries[index];
        format!(
            "- {{name: entry-{index}, address: \"{address}\", zone: {zone}, role: entry, \
             state: live}}\n"
        )
    }

    /// Starts a process for the entry VM at `index`, which needs a zone in the plan.
    fn spawn_entry(&self, index: usize) -> TestProcess {
        let settings = self.path(&format!("entry-{index}.yaml"));
        let text = format!(
            "listen: \"{}\"\navailability_zone: {}\nplatform: {{log: \"{}\", vm_list: \"{}\"}}\n{}",
            self.ports.entry(index),
            self.plan.entries[index],
            self.ports.log(),
            self.ports.vm_list(),
            self.plan.settings,
        );
        fs::write(&settings, text).unwrap();
        let run = (0..).map(|run| self.path(&format!("entry-{index}.{run}.out")));
        let mut unused = run.skip_while(|path| path.exists());
        let output = unused.next().expect("an unused name");
        let settings = settings.display().to_string();
        TestProcess::start("filbertpitch", ["serve", "--settings", &settings], output)
    }

    fn start_entry(&mut self) {
        let index = self.entries.len();
        let process = self.spawn_entry(index);
        self.entries.push(process);
        let client = EntryClient::new(self.ports.entry(index));
        self.clients.push(client);
    }

    /// Lists and starts one more entry VM; returns its index.
    pub async fn add_entry(&mut self, zone: &'static str) -> usize {
        let index = self.entries.len();
        self.plan.entries.push(zone);
        let address = self.ports.entry(index);
        let vm = json!({ "name": format!("entry-{index}"), "address": address, "zone": zone,
            "role": "entry", "state": "live" });
        control(self.ports.vm_list(), "/control/add", &vm).await;
        self.start_entry();
        index
    }

    /// Starts a new process at the address of an entry VM whose process has ended.
    pub fn restart_entry(&mut self, index: usize) {
        self.entries[index] = self.spawn_entry(index);
    }

    /// Takes a VM off the platform's list.
    pub async fn unlist(&self, name: &str) {
        let request = json!({ "name": name });
        control(self.ports.vm_list(), "/control/remove", &request).await;
    }

    /// Says in the platform's list that a VM is leaving.
    pub async fn list_leaving(&self, name: &str) {
        let request = json!({ "name": name });
        control(self.ports.vm_list(), "/control/leaving", &request).await;
    }

    /// A client of an entry VM.
    pub fn client(&self, index: usize) -> EntryClient {
        self.clients[index].clone()
    }

    /// Clients of all entry VMs.
    pub fn clients(&self) -> Vec<EntryClient> {
        self.clients.clone()
    }

    /// The process of an entry VM.
    pub fn entry(&mut self, index: usize) -> &mut TestProcess {
        &mut self.entries[index]
    }

    /// Sends a signal to the process of an entry VM.
    pub fn signal(&mut self, index: usize, signal: Signal) {
        self.entries[index].signal(signal);
    }

    /// Sends a signal to the process of the targets.
    pub fn signal_targets(&mut self, signal: Signal) {
        let targets = self.platform.last_mut();
        targets.expect("the targets were started").signal(signal);
    }

    /// Waits until an entry VM is ready.
    pub async fn await_ready(&mut self, index: usize) {
        let client = self.client(index);
        let entry = &mut self.entries[index];
        wait_for(&format!("entry VM {index} is ready"), async || {
            assert_eq!(entry.exit_status(), None, "entry VM {index} ended");
            (client.readiness().await == Some(StatusCode::OK)).then_some(())
        })
        .await;
    }

    /// Waits until the entry VMs have heard of each other.
    async fn await_membership(&self) {
        for client in &self.clients {
            wait_for("the entry VMs know each other", async || {
                let status = client.status().await?;
                let live = status.peers.iter().filter(is_live).count();
                (live + 1 >= self.clients.len()).then_some(())
            })
            .await;
        }
    }

    /// The state of every entry VM.
    pub async fn statuses(&self) -> Vec<VmStatus> {
        let mut statuses = Vec::new();
        for client in &self.clients {
            statuses.push(client.status().await.expect("the VM responds"));
        }
        statuses
    }

    async fn apply_first_ticket(&mut self) {
        let arguments = self.target_options();
        let arguments = [arguments, vec!["--print-ticket".to_string()]].concat();
        let ticket = self.run_standin(&arguments, "1").await;
        let log = self.ports.log();
        wait_for("the log responds", async || {
            let pool = EntryClient::new(log);
            let path = "/v1/streams/tickets/records".parse().unwrap();
            let request = ClientRequest::new(Method::GET, path);
            pool.send(&request, Duration::from_secs(1)).await.ok()
        })
        .await;
        let mut command = self.apply_ticket(&ticket);
        let status = command.ended().await;
        assert!(status.success(), "{}", command.output_text());
    }

    /// Starts `filbertpitch ticket apply` for a text, asking all entry VMs.
    pub fn apply_ticket(&mut self, text: &str) -> TestProcess {
        self.apply_ticket_bytes(text.as_bytes())
    }

    /// Starts `filbertpitch ticket apply` for a file with any content.
    pub fn apply_ticket_bytes(&mut self, text: &[u8]) -> TestProcess {
        let file = self.path(&format!("ticket-{}.yaml", self.commands));
        fs::write(&file, text).unwrap();
        let mut arguments = vec!["ticket".to_string(), "apply".to_string()];
        arguments.push(file.display().to_string());
        arguments.extend([
            "--json".into(),
            "--log".into(),
            self.ports.log().to_string(),
        ]);
        for client in &self.clients {
            arguments.extend(["--via".to_string(), client.address().to_string()]);
        }
        self.command(&arguments)
    }

    /// Starts a command of the product.
    pub fn command<Argument>(&mut self, arguments: &[Argument]) -> TestProcess
    where
        Argument: AsRef<std::ffi::OsStr>,
    {
        let output = self.path(&format!("command-{}.out", self.commands));
        self.commands += 1;
        TestProcess::start("filbertpitch", arguments, output)
    }

    /// Writes a file for a command and returns its path.
    pub fn write_file(&self, name: &str, content: &[u8]) -> String {
        let path = self.path(name);
        fs::write(&path, content).unwrap();
        path.display().to_string()
    }

    /// The address of the log.
    pub fn log(&self) -> SocketAddr {
        self.ports.log()
    }

    /// Changes the log's behaviour.
    pub async fn control_log(&self, change: LogControl) {
        control(self.ports.log(), "/control", &change).await;
    }

    /// Starts or ends an outage of the log.
    pub async fn set_log_outage(&self, outage: bool) {
        self.control_log(LogControl {
            outage: Some(outage),
            ..LogControl::default()
        })
        .await;
    }

    /// Injects a fault into one target.
    pub async fn control_target(&self, index: usize, fault: TargetControl) {
        let address = control_address(self.ports.target(index));
        control(address, "/control", &fault).await;
    }

    /// The ledgers of all targets.
    pub async fn evidence(&self) -> Evidence {
        let targets = (0..self.plan.targets).map(|index| self.ports.target(index));
        let controls = targets.map(control_address).collect::<Vec<_>>();
        Evidence::collect(&controls).await
    }

    /// The ledger of one target.
    pub async fn evidence_of(&self, index: usize) -> Evidence {
        let address = control_address(self.ports.target(index));
        Evidence::collect(&[address]).await
    }
}

fn is_live(peer: &&PeerStatus) -> bool {
    peer.state == PeerState::Live && peer.incarnation.is_some()
}

impl Drop for TestSystem {
    fn drop(&mut self) {
        self.entries.clear();
        self.platform.clear();
        if !std::thread::panicking() {
            // Files that cannot be removed do no harm.
            let _ = fs::remove_dir_all(&self.directory);
            return;
        }
        eprintln!(
            "outputs of the processes are in {}",
            self.directory.display()
        );
        let files = fs::read_dir(&self.directory).into_iter().flatten();
        let mut paths = files.flatten().map(|file| file.path()).collect::<Vec<_>>();
        paths.retain(|path| path.extension().is_some_and(|extension| extension == "out"));
        paths.sort();
        for path in paths {
            let text = read_text(&path);
            let lines = text.lines().collect::<Vec<_>>();
            let first = lines.len().saturating_sub(EXCERPT_LINES);
            eprintln!("--- {}", path.display());
            eprintln!("{}", lines[first..].join("\n"));
        }
    }
}
