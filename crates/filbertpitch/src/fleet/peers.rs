//! Envelopes to and from other entry VMs.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::entity::VmIndex;
use filbertpitch_fleet::engine::FleetEvent;
use filbertpitch_types::fleet::{EnvelopeAck, PeerEnvelope};
use filbertpitch_types::prelude::*;
use filbertpitch_wire::client::{ClientErrorKind, ConnectionPool, PoolLimits, RequestOptions};
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::{ClientRequest, ServerRequest, ServerResponse};
use filbertpitch_wire::server::RequestHandler;
use http::{Method, StatusCode, Uri};

use super::driver::FleetDriver;
use super::forwarding::{self, JOB_PATH};

/// Where envelopes are sent. The number changes with the layout of envelopes.
const ENVELOPE_PATH: &str = "/peer/envelope/13";

/// How envelopes and receipts are encoded.
const ENVELOPE_FORMAT: BodyFormat = BodyFormat::PackedMessagePack;

/// The time for an envelope and its receipt. Later, it is repeated on a new connection.
const ENVELOPE_TIMEOUT: Duration = Duration::from_millis(250);

/// The connections to other entry VMs.
#[derive(Default)]
pub(super) struct PeerPools {
    pools: RefCell<HashMap<SocketAddr, Rc<ConnectionPool>>>,
}

impl PeerPools {
    fn pool(&self, address: SocketAddr) -> Rc<ConnectionPool> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(address).or_insert_with(|| {
            let limits = PoolLimits {
                connections: 4,
                connect_timeout: ENVELOPE_TIMEOUT,
                ..PoolLimits::default()
            };
            Rc::new(ConnectionPool::new(address, limits))
        });
        Rc::clone(pool)
    }

    /// Sends an envelope and feeds the receipt to the engine.
    pub(super) fn send(
        &self,
        driver: &Rc<FleetDriver>,
        peer: Option<(VmIndex, EnvelopeNumber)>,
        address: SocketAddr,
        envelope: PeerEnvelope,
    ) {
        let pool = self.pool(address);
        let driver = Rc::clone(driver);
        monoio::spawn(async move {
            let result = exchange(&pool, &envelope).await;
            let Some((peer, number)) = peer else {
                return;
            };
            driver.feed(match result {
                Ok(ack) => FleetEvent::EnvelopeAcked { peer, number, ack },
                Err(kind) => {
                    // Established connections may be silent although new ones work.
                    pool.close_idle();
                    let refused = kind == Some(ClientErrorKind::Refused);
                    FleetEvent::EnvelopeFailed {
                        peer,
                        number,
                        refused,
                    }
                }
            });
        });
    }
}

async fn exchange(
    pool: &ConnectionPool,
    envelope: &PeerEnvelope,
) -> Result<EnvelopeAck, Option<ClientErrorKind>> {
    let target = Uri::from_static(ENVELOPE_PATH);
    let request = ClientRequest::post(target, ENVELOPE_FORMAT, envelope).map_err(|_| None)?;
    let options = RequestOptions {
        timeout: ENVELOPE_TIMEOUT,
        ..RequestOptions::default()
    };
    let response = pool.request(&request, &options).await;
    let response = response.map_err(|error| Some(error.kind))?;
    if response.status != StatusCode::OK {
        return Err(None);
    }
    response.decode(ENVELOPE_FORMAT).map_err(|_| None)
}

/// Answers other entry VMs.
pub(super) struct PeerHandler {
    driver: Rc<FleetDriver>,
}

impl PeerHandler {
    pub(super) fn new(driver: Rc<FleetDriver>) -> Self {
        Self { driver }
    }
}

impl RequestHandler for PeerHandler {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        if request.path() == JOB_PATH {
            return forwarding::answer_peer(&self.driver, &request).await;
        }
        if request.method != Method::POST || request.path() != ENVELOPE_PATH {
            return ServerResponse::error(
                StatusCode::NOT_FOUND,
                "no_such_path",
                "there is no resource with this method and path",
            );
        }
        match request.decode::<PeerEnvelope>(ENVELOPE_FORMAT) {
            Ok(envelope) => {
                let receipt = self.driver.receive(envelope);
                ServerResponse::encoded(StatusCode::OK, ENVELOPE_FORMAT, &receipt)
            }
            Err(error) => {
                ServerResponse::error(StatusCode::BAD_REQUEST, "bad_request", &error.to_string())
            }
        }
    }

    /// A forwarded job is removed when the VM that has forwarded it closes the connection. Envelopes
    /// are handled without waiting.
    fn cancels_on_disconnect(&self) -> bool {
        true
    }
}
