//! The connections to targets.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_fleet::engine::{FleetAction, FleetEvent};
use filbertpitch_platform::target_client;
use filbertpitch_wire::client::{ConnectionPool, PoolLimits};

use super::driver::FleetDriver;

/// The time for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// The time for a new connection. A target that does not accept one in this time is not reached.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The most connections to one target: looks, and orders for as many tasks as usually fit.
const CONNECTIONS: usize = 8;

/// How long an unused connection is kept. New connections cost more than idle ones.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// The connection pools of all targets.
#[derive(Default)]
pub(super) struct TargetPools {
    pools: RefCell<HashMap<SocketAddr, Rc<ConnectionPool>>>,
}

impl TargetPools {
    fn pool(&self, address: SocketAddr) -> Rc<ConnectionPool> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(address).or_insert_with(|| {
            let limits = PoolLimits {
                connections: CONNECTIONS,
                idle_timeout: IDLE_TIMEOUT,
                connect_timeout: CONNECT_TIMEOUT,
                ..PoolLimits::default()
            };
            Rc::new(ConnectionPool::new(address, limits))
        });
        Rc::clone(pool)
    }

    /// Closes the connections to a target.
    pub(super) fn disconnect(&self, address: SocketAddr) {
        let pool = self.pools.borrow_mut().remove(&address);
        if let Some(pool) = pool {
            pool.close_idle();
        }
    }

    /// Sends an order or a look and feeds the answer to the engine.
    pub(super) fn send(&self, driver: &Rc<FleetDriver>, action: FleetAction) {
        let driver = Rc::clone(driver);
        match action {
            FleetAction::Start {
                target,
                name,
                address,
                request: order,
                options,
            } => {
                let pool = self.pool(address);
                monoio::spawn(async move {
                    let answer = target_client::send_start(&pool, &name, &order, options).await;
                    driver.feed(FleetEvent::StartResult {
                        target,
                        token: order.token,
                        run: order.run,
                        answer,
                    });
                });
            }
            FleetAction::Stop {
                target,
                name,
                address,
                request: order,
                options,
            } => {
                let pool = self.pool(address);
                monoio::spawn(async move {
                    let answer = target_client::send_stop(&pool, &name, &order, options).await;
                    driver.feed(FleetEvent::StopResult {
                        target,
                        token: order.token,
                        run: order.run,
                        answer,
                    });
                });
            }
            FleetAction::Probe {
                target,
                name,
                address,
            } => {
                let pool = self.pool(address);
                monoio::spawn(async move {
                    let reached = target_client::send_probe(&pool, &name, PROBE_TIMEOUT).await;
                    driver.feed(FleetEvent::ProbeResult { target, reached });
                });
            }
            FleetAction::Poll {
                target,
                name,
                address,
                plan,
            } => {
                let pool = self.pool(address);
                monoio::spawn(async move {
                    if plan.options.fresh_connection {
                        // A new connection replaces one that may be at fault.
                        pool.close_oldest_idle();
                    }
                    let answer =
                        target_client::send_poll(&pool, &name, &plan.request, plan.options).await;
                    driver.feed(FleetEvent::PollResult {
                        target,
                        token: plan.request.token,
                        number: plan.number,
                        answer,
                    });
                });
            }
            _ => {}
        }
    }
}
