//! The state of one entry VM of a fleet that its tasks share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertpitch_fleet::engine::{FleetEngine, FleetSettings};
use filbertpitch_fleet::held::HeldSettings;
use filbertpitch_fleet::job_routing::RoutingSettings;
use filbertpitch_fleet::lease_limits::LEASE_MARGIN;
use filbertpitch_fleet::link::LinkSettings;
use filbertpitch_fleet::target_clock::max_lease_duration;
use filbertpitch_platform::store::StoreClient;
use filbertpitch_types::fleet::PeerIdentity;
use filbertpitch_types::prelude::*;
use filbertpitch_wire::server::ConnectionWatch;
use futures_channel::mpsc;

use super::clock::FleetClock;
use super::driver::FleetDriver;
use super::metrics::FleetMetrics;
use crate::events::EventLog;
use crate::settings::FleetNodeSettings;

/// One entry VM of a fleet.
pub struct FleetNode {
    identity: PeerIdentity,
    driver: Rc<FleetDriver>,
    store: StoreClient,
    /// With connections of its own, so that the configuration does not wait for pages of the list.
    configuration_store: StoreClient,
    /// The response time of the first read of the configuration.
    first_response: Cell<Option<Duration>>,
    log: EventLog,
    metrics: Rc<FleetMetrics>,
    /// The configuration in force as the operator has published it.
    published: RefCell<Option<Bytes>>,
}

impl FleetNode {
    /// A node that has read nothing yet, and the receiver for its timer task. `watch` must be that of the
    /// servers on which clients and other VMs wait.
    pub(super) fn new(
        settings: &FleetNodeSettings,
        incarnation: IncarnationId,
        watch: Rc<ConnectionWatch>,
        log: EventLog,
    ) -> (Rc<Self>, mpsc::UnboundedReceiver<()>) {
        let clock = FleetClock::start();
        let identity = PeerIdentity {
            processor: settings.processor(),
            vm: settings.vm.clone(),
            incarnation,
            address: settings.listen.peers,
            zone: settings.availability_zone.clone(),
        };
        let engine = FleetEngine::new(
            engine_settings(settings),
            identity.clone(),
            clock.read(),
            incarnation.0,
        );
        let metrics = Rc::new(FleetMetrics::default());
        let (driver, timer_events) =
            FleetDriver::new(clock, engine, watch, log.clone(), Rc::clone(&metrics));
        let node = Self {
            identity,
            driver,
            store: StoreClient::new(settings.store),
            configuration_store: StoreClient::new(settings.store),
            first_response: Cell::new(None),
            log,
            metrics,
            published: RefCell::default(),
        };
        (Rc::new(node), timer_events)
    }

    pub(super) fn identity(&self) -> &PeerIdentity {
        &self.identity
    }

    pub(super) fn driver(&self) -> &Rc<FleetDriver> {
        &self.driver
    }

    pub(super) fn store(&self) -> &StoreClient {
        &self.store
    }

    pub(super) fn configuration_store(&self) -> &StoreClient {
        &self.configuration_store
    }

    /// The response time of the first read of the configuration; `None` before it.
    pub(super) fn first_response(&self) -> Option<Duration> {
        self.first_response.get()
    }

    /// Records a successful read of the configuration.
    pub(super) fn note_configuration_read(&self, response_time: Duration) {
        if self.first_response.get().is_none() {
            self.first_response.set(Some(response_time));
        }
    }

    pub(super) fn log(&self) -> &EventLog {
        &self.log
    }

    pub(super) fn metrics(&self) -> &FleetMetrics {
        &self.metrics
    }

    /// The value of the record whose configuration is in force; `None` before the first one.
    pub(super) fn published_configuration(&self) -> Option<Bytes> {
        self.published.borrow().clone()
    }

    /// Keeps the value of the record whose configuration has come into force.
    pub(super) fn keep_published(&self, value: &Bytes) {
        // `value` is a slice of a page of records, which a clone would keep in memory.
        *self.published.borrow_mut() = Some(Bytes::copy_from_slice(value));
    }
}

/// With a shorter delay, runs would end with each interruption that is too short to be noticed as a
/// loss.
const MIN_RESEND_DELAY: Duration = Duration::from_millis(1200);

fn engine_settings(settings: &FleetNodeSettings) -> FleetSettings {
    let links = LinkSettings::default();
    let ended_by = settings.resend_delay.max(MIN_RESEND_DELAY) - LEASE_MARGIN;
    let started_by = ended_by.saturating_sub(max_lease_duration(settings.lease));
    FleetSettings {
        held: HeldSettings {
            lease: settings.lease,
            poll_wait: settings.lease.mul_f64(LOOK_WAIT_SHARE),
            coordinator_timeout: ended_by,
            ..HeldSettings::default()
        },
        links: LinkSettings {
            max_request_delay: started_by.min(links.max_request_delay),
            ..links
        },
        routing: RoutingSettings {
            enabled: settings.forward_jobs,
            lateness: settings.forward_lateness,
        },
        far_factor: settings.far_factor,
        ..FleetSettings::default()
    }
}

/// How long looks wait, as a part of the lease: two looks may get lost before it ends.
const LOOK_WAIT_SHARE: f64 = 0.4;
