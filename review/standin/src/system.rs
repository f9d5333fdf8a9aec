//! A small deployment: the store, executors, and VMs as processes of the project's own program.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::executor::{Executor, Plan};
use crate::http::{self, Server};
use crate::record::Record;
use crate::store::Store;

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";

unsafe extern "C" {
    fn prctl(option: i32, argument: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

/// A process of the project's own program with the command of the deploy file.
pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    process: Option<Child>,
}

impl Vm {
    pub fn start(&mut self) -> io::Result<()> {
        let output = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.output)?;
        let mut command = Command::new("target/release/filbertpitch");
        command.args(["fleet", "--settings"]).arg(&self.settings);
        command
            .env_clear()
            .env("FILBERTPITCH_SETTINGS", &self.settings);
        command
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output);
        // The process must not outlive this one, however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9, 0, 0, 0);
                Ok(())
            });
        }
        self.process = Some(command.spawn()?);
        Ok(())
    }

    /// The resident memory of the process.
    pub fn memory_mb(&self) -> u64 {
        let id = self.process.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1024
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct System {
    pub record: Record,
    pub store: Store,
    pub vms: Vec<Vm>,
    pub executors: Vec<Executor>,
    pub servers: Vec<Server>,
    _store_server: Server,
    directory: PathBuf,
}

impl Drop for System {
    fn drop(&mut self) {
        self.vms.clear();
        for server in &self.servers {
            server.stop();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Free loopback addresses.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners = (0..count).map(|_| TcpListener::bind("127.0.0.1:0"));
    let listeners = listeners.collect::<io::Result<Vec<_>>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

impl System {
    /// Starts the stand-ins and one VM for each of `zones`, and waits until all VMs are ready.
    pub fn start(record: Record, zones: &[&str], plans: Vec<Plan>) -> io::Result<Self> {
        let store = Store::default();
        let store_server = store.serve()?;
        let route = format!(
            "{{\"name\":\"q1\",\"host\":\"{HOST}\",\"pathPrefix\":\"{PREFIX}\",\"service\":\"desk\",\
             \"priority\":0,\"maxAttempts\":2,\"stretch\":1.6,\"sloMs\":60}}"
        );
        configure(&store, 3, &[route]);
        let mut executors = Vec::new();
        let mut servers = Vec::new();
        for plan in plans {
            let (executor, server) = Executor::start(plan, &store, &record)?;
            executors.push(executor);
            servers.push(server);
        }
        let name = format!("review-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        let addresses = free_addresses(zones.len() * 4)?;
        let seeds = addresses
            .chunks(4)
            .take(3)
            .map(|ports| format!("\"{}\"", ports[2]));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let mut vms = Vec::new();
        for (index, (zone, ports)) in zones.iter().zip(addresses.chunks(4)).enumerate() {
            let name = format!("front-{zone}-{}", index + 1);
            // What deploy/settings.yaml gives with the bounds of the small sites.
            let text = format!(
                "vm: \"{name}\"\navailability_zone: \"{zone}\"\nlisten:\n  callers: \"{}\"\n  ready: \"{}\"\n  \
                 peers: \"{}\"\n  metrics: \"{}\"\nstore: \"{}\"\nseed_peers: [{seeds}]\nlease: 1000ms\n\
                 resend_delay: 1300ms\nstop_grace: 6s\nfar_factor: 3\nprocessor_share: 0.25\n",
                ports[0], ports[1], ports[2], ports[3], store_server.address
            );
            let settings = directory.join(format!("{name}.yaml"));
            fs::write(&settings, text)?;
            vms.push(Vm {
                output: directory.join(format!("{name}.log")),
                name,
                front: ports[0],
                ready: ports[1],
                settings,
                process: None,
            });
        }
        for vm in &mut vms {
            vm.start()?;
        }
        let system = Self {
            record,
            store,
            vms,
            executors,
            servers,
            _store_server: store_server,
            directory,
        };
        let since = Instant::now();
        let mut ready = 0;
        while ready < system.vms.len() {
            if since.elapsed() > Duration::from_secs(15) {
                return Err(io::Error::other("the VMs are not ready"));
            }
            let wait = Duration::from_secs(1);
            let answer = http::call(system.vms[ready].ready, "GET", "/v1/ready", "x", wait, "");
            match answer.is_ok_and(|it| it.status() == 200) {
                true => ready += 1,
                false => thread::sleep(Duration::from_millis(20)),
            }
        }
        // The time in which a machine that has just started isn't in touch.
        thread::sleep(Duration::from_millis(3500));
        system.record.note("all VMs are ready and in touch");
        Ok(system)
    }

    /// Sends a request of a client and records it and its answer.
    pub fn call(
        &self,
        vm: usize,
        method: &str,
        path: &str,
        wait: Duration,
        body: &str,
    ) -> io::Result<http::Message> {
        let name = &self.vms[vm].name;
        self.record
            .note(&format!("client sends {method} {path} to {name}: {body}"));
        let answer = http::call(self.vms[vm].front, method, path, HOST, wait, body);
        let text = match &answer {
            Ok(answer) => format!(
                "{} {}",
                answer.status(),
                String::from_utf8_lossy(&answer.body)
            ),
            Err(error) => format!("nothing ({error})"),
        };
        self.record.note(&format!(
            "client gets from {name} for {method} {path}: {text}"
        ));
        answer
    }
}

/// Writes a configuration.
pub fn configure(store: &Store, version: u64, routes: &[String]) {
    let text = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"rejectsOverload\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":60000}}}}",
        routes.join(",")
    );
    store.put("keyed.op", b"config", text.as_bytes());
}
