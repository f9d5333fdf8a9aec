//! Many targets in one process, on consecutive ports, divided among threads.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use filbertpitch_wire::runtime;
use filbertpitch_wire::server::{HttpServer, ServerLimits};

use super::clock::HostClock;
use super::target_host::{TargetControlHost, TargetHost};
use super::ticker::PreciseTicker;
use super::timers::{HostIndex, TimerTable};
use crate::target_model::TargetProfile;

/// The control port of a target is this far above its own port. It is separate because entry VMs
/// may use all connections of the target, and because it also works while the target is dead.
pub const CONTROL_PORT_OFFSET: u16 = 10_000;
/// The pause before a restarted target tries again to bind to its port.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// One target to be served.
#[derive(Clone, Debug)]
pub struct ServedTarget {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where its control endpoint listens.
    pub control: SocketAddr,
    /// What it is able to do.
    pub profile: TargetProfile,
}

/// Serves targets on `threads` threads until the process ends.
///
/// # Errors
/// When a port is in use, or the system refuses to create an event queue.
pub fn serve_targets(targets: Vec<ServedTarget>, threads: usize) -> io::Result<()> {
    let mut groups = BTreeMap::<usize, Vec<ServedTarget>>::new();
    for (position, target) in targets.into_iter().enumerate() {
        groups
            .entry(position % threads.max(1))
            .or_default()
            .push(target);
    }
    let (sender, receiver) = channel();
    for group in groups.into_values() {
        let sender = sender.clone();
        thread::spawn(move || {
            // The receiver is gone if another thread has already failed.
            let _ = sender.send(runtime::run(serve_group(group)).flatten());
        });
    }
    drop(sender);
    // A thread only ends with an error; the first one ends the process.
    receiver.recv().unwrap_or(Ok(()))
}

async fn serve_group(targets: Vec<ServedTarget>) -> io::Result<()> {
    TargetServers::bind(targets)?.serve().await;
    Ok(())
}

/// Targets of one thread that are bound to their ports.
pub struct TargetServers {
    timers: Rc<TimerTable>,
    hosts: Vec<BoundHost>,
}

struct BoundHost {
    host: TargetHost,
    server: HttpServer,
    control: HttpServer,
    address: SocketAddr,
    control_address: SocketAddr,
    limits: ServerLimits,
}

impl TargetServers {
    /// Binds to the ports. Must be called inside a runtime.
    ///
    /// # Errors
    /// When a port is in use.
    pub fn bind(targets: Vec<ServedTarget>) -> io::Result<Self> {
        let timers = Rc::new(TimerTable::new(HostClock::start(), PreciseTicker::start()));
        let hosts = targets.into_iter().enumerate().map(|(position, target)| {
            let limits = ServerLimits {
                connections: usize::from(target.profile.connections),
                ..ServerLimits::default()
            };
            let server = HttpServer::bind(target.address, limits.clone())?;
            let control = HttpServer::bind(target.control, ServerLimits::default())?;
            Ok(BoundHost {
                host: TargetHost::new(target.profile, timers.clone(), HostIndex(position)),
                address: server.local_addr()?,
                control_address: control.local_addr()?,
                server,
                control,
                limits,
            })
        });
        let hosts = hosts.collect::<io::Result<Vec<_>>>()?;
        Ok(Self { timers, hosts })
    }

    /// The addresses of the targets, with the ports that the system chose if none were given.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|bound| bound.address).collect()
    }

    /// The addresses of the control endpoints.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.hosts
            .iter()
            .map(|bound| bound.control_address)
            .collect()
    }

    /// Serves the targets; does not complete.
    pub async fn serve(self) {
        let mut hosts = Vec::new();
        for bound in self.hosts {
            hosts.push(bound.host.clone());
            monoio::spawn(serve_host(bound));
        }
        loop {
            let HostIndex(position) = self.timers.next_due().await;
            hosts[position].advance();
        }
    }
}

/// Serves one target, across its simulated deaths.
async fn serve_host(bound: BoundHost) {
    let BoundHost {
        host,
        mut server,
        control,
        address,
        limits,
        ..
    } = bound;
    // The server stops when its last handle is dropped.
    let _control = control.stop_handle();
    monoio::spawn(control.run(TargetControlHost(host.clone())));
    loop {
        host.set_server(server.stop_handle());
        // Not awaited: a connection that was silenced keeps the server from ending.
        monoio::spawn(server.run(host.clone()));
        host.await_death().await;
        host.await_restart().await;
        server = bind_again(address, &limits).await;
    }
}

async fn bind_again(address: SocketAddr, limits: &ServerLimits) -> HttpServer {
    loop {
        if let Ok(server) = HttpServer::bind(address, limits.clone()) {
            return server;
        }
        monoio::time::sleep(BIND_RETRY_DELAY).await;
    }
}

/// The kinds that the target at `position` takes: `count` of all kinds, rotating.
pub fn rotating_kinds<Kind>(kinds: &[Kind], position: usize, count: usize) -> BTreeSet<Kind>
where
    Kind: Clone + Ord,
{
    let rotated = kinds.iter().cycle().skip(position % kinds.len().max(1));
    rotated.take(count.min(kinds.len())).cloned().collect()
}
