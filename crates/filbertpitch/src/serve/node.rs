//! The state of one entry VM that its tasks share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use filbertpitch_config::follower::{FollowerSettings, LogFollower};
use filbertpitch_config::spec::LimitSpec;
use filbertpitch_dispatch::claim::ClaimTable;
use filbertpitch_dispatch::engine::{DispatchEngine, EngineEvent, FleetView};
use filbertpitch_dispatch::membership::{OwnerStatus, PeerTable};
use filbertpitch_types::peer::PeerHeartbeat;
use filbertpitch_types::prelude::*;
use filbertpitch_types::status::LifecycleState;
use filbertpitch_types::time::ClockReading;
use filbertpitch_wire::client::{ConnectionPool, PoolLimits};
use futures_channel::mpsc;

use super::claims::ClaimDesk;
use super::clock::SystemClock;
use super::driver::EngineDriver;
use super::forward::ForwardGate;
use super::observe::NodeObserver;
use super::settings::NodeSettings;
use super::targets::TargetClient;
use crate::events::EventLog;

/// One entry VM.
pub struct EntryNode {
    settings: NodeSettings,
    incarnation: IncarnationId,
    driver: Rc<EngineDriver>,
    life: Cell<LifecycleState>,
    pub(super) peers: RefCell<PeerTable>,
    pub(super) follower: RefCell<LogFollower>,
    pub(super) claims: ClaimDesk,
    pub(super) forwards: ForwardGate,
    pools: RefCell<HashMap<SocketAddr, Rc<ConnectionPool>>>,
    fleet: RefCell<Option<FleetView>>,
    observer: Rc<NodeObserver>,
}

impl EntryNode {
    /// A node in state [`LifeState::Starting`], and the receiver for the timer task.
    pub fn new(
        settings: NodeSettings,
        incarnation: IncarnationId,
        log: EventLog,
    ) -> (Rc<Self>, mpsc::UnboundedReceiver<()>) {
        let clock = SystemClock::start();
        let reading = clock.read();
        let engine = DispatchEngine::new(
            settings.engine.clone(),
            incarnation,
            settings.zone.clone(),
            reading,
            incarnation.0,
        );
        let targets = TargetClient::new(settings.targets.clone());
        let observer = NodeObserver::new(log, settings.trace_sampling, settings.trace_bytes);
        let observer = Rc::new(observer);
        let (driver, timer_events) =
            EngineDriver::new(clock, engine, targets, Rc::clone(&observer));
        let own = PeerHeartbeat {
            incarnation,
            address: settings.advertise,
            zone: settings.zone.clone(),
            ready: false,
            leaving: false,
            config_next: LogOffset(0),
            handovers: Vec::new(),
        };
        let peers = PeerTable::new(
            reading.time,
            settings.membership.clone(),
            own,
            &settings.peers,
        );
        let claims = ClaimTable::new(incarnation, settings.claims.clone());
        let node = Self {
            incarnation,
            driver,
            life: Cell::new(LifecycleState::Starting),
            peers: RefCell::new(peers),
            follower: RefCell::new(LogFollower::new(FollowerSettings::default())),
            claims: ClaimDesk::new(claims),
            forwards: ForwardGate::new(),
            pools: RefCell::default(),
            fleet: RefCell::default(),
            observer,
            settings,
        };
        (Rc::new(node), timer_events)
    }

    /// The settings.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// This incarnation.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// The engine's driver.
    pub fn driver(&self) -> &Rc<EngineDriver> {
        &self.driver
    }

    /// The log events, counters and spans.
    pub fn observer(&self) -> &NodeObserver {
        &self.observer
    }

    /// Both clocks.
    pub fn now(&self) -> ClockReading {
        self.driver.clock().read()
    }

    /// Where the VM is in its life.
    pub fn life(&self) -> LifecycleState {
        self.life.get()
    }

    /// Changes the life state and tells it to peers with the next heartbeats.
    pub(super) fn set_life(&self, life: LifecycleState) {
        self.life.set(life);
        let config_next = self.follower.borrow().next_offset();
        let ready = life == LifecycleState::Ready;
        let leaving = matches!(life, LifecycleState::Draining | LifecycleState::Stopped);
        self.peers
            .borrow_mut()
            .set_own_state(ready, leaving, config_next);
        self.refresh_fleet();
    }

    /// The prefix for new submissions.
    pub fn own_prefix(&self) -> OwnerPrefix {
        OwnerPrefix {
            zone: self.settings.zone.clone(),
            address: self.settings.advertise,
            incarnation: self.incarnation,
            epoch: self.driver.inspect(DispatchEngine::current_epoch),
        }
    }

    /// Whether a configuration is in force.
    pub fn has_configuration(&self) -> bool {
        self.follower.borrow().has_state()
    }

    /// The limits in force.
    pub fn limits(&self) -> LimitSpec {
        self.follower.borrow().configuration().limits.clone()
    }

    /// What is known about the process that a prefix names.
    pub(super) fn prefix_status(&self, prefix: &OwnerPrefix) -> OwnerStatus {
        let now = self.now().time;
        self.peers.borrow().owner(now, prefix)
    }

    /// The connections to a peer or to the platform.
    pub(super) fn pool(&self, address: SocketAddr) -> Rc<ConnectionPool> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(address).or_insert_with(|| {
            let limits = PoolLimits {
                connections: self.settings.peer_connections,
                connect_timeout: self.settings.peer_timeout,
                ..PoolLimits::default()
            };
            Rc::new(ConnectionPool::new(address, limits))
        });
        Rc::clone(pool)
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn prune_pools(&self) {
        self.pools.borrow_mut().retain(|_, pool| {
            pool.prune();
            pool.open_connections() > 0 || Rc::strong_count(pool) > 1
        });
    }

    /// Tells the engine when the set of live entry VMs changed.
    pub(super) fn refresh_fleet(&self) {
        let now = self.now().time;
        let view = {
            let peers = self.peers.borrow();
            // A VM that is not ready has no share. A draining one keeps its last share for the
            // work in its queue; targets refuse what exceeds their slots.
            let (Some(zone), Some(fleet)) = (peers.zone_share(now), peers.fleet_share(now)) else {
                return;
            };
            FleetView {
                zone,
                fleet,
                live_vms: peers.live_vms(now),
                populated: peers.populated_zones(now),
            }
        };
        let changed = self.fleet.borrow().as_ref() != Some(&view);
        if changed {
            *self.fleet.borrow_mut() = Some(view.clone());
            self.driver.feed(EngineEvent::FleetChanged(view));
        }
    }
}
