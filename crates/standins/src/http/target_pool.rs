//! Many targets in one process, on consecutive ports, divided among threads.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use filbertpitch_wire::runtime;
use filbertpitch_wire::server::{HttpServer, ServerLimits};

use super::clock::HostClock;
use super::target_host::TargetHost;
use super::ticker::PreciseTicker;
use super::timers::{HostIndex, TimerTable};
use crate::target_model::TargetProfile;

/// Connections that each target accepts beyond its own limit, for its control endpoint.
const CONTROL_CONNECTIONS: usize = 2;
/// The pause before a restarted target tries again to bind to its port.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// One target to be served.
#[derive(Clone, Debug)]
pub struct ServedTarget {
    /// Where it listens.
    pub address: SocketAddr,
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
    let workers = groups.into_values().map(|group| {
        thread::spawn(move || runtime::run(serve_group(group)).and_then(|result| result))
    });
    let workers = workers.collect::<Vec<_>>();
    for worker in workers {
        worker.join().expect("a target thread does not panic")?;
    }
    Ok(())
}

/// Serves targets on the current thread.
///
/// # Errors
/// When a port is in use.
pub async fn serve_group(targets: Vec<ServedTarget>) -> io::Result<()> {
    let timers = Rc::new(TimerTable::new(HostClock::start(), PreciseTicker::start()));
    let mut hosts = Vec::new();
    for (position, target) in targets.into_iter().enumerate() {
        let limits = ServerLimits {
            connections: usize::from(target.profile.connections) + CONTROL_CONNECTIONS,
            ..ServerLimits::default()
        };
        let server = HttpServer::bind(target.address, limits.clone())?;
        let host = TargetHost::new(target.profile, timers.clone(), HostIndex(position));
        hosts.push(host.clone());
        monoio::spawn(serve_host(host, server, target.address, limits));
    }
    loop {
        let HostIndex(position) = timers.next_due().await;
        hosts[position].advance();
    }
}

/// Serves one target, across its simulated deaths.
async fn serve_host(
    host: TargetHost,
    server: HttpServer,
    address: SocketAddr,
    limits: ServerLimits,
) {
    let mut server = server;
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
