//! Collects counters and ledgers from the targets.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use filbertpitch_wire::client::{ConnectionPool, PoolLimits, RequestOptions};
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::ClientRequest;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;

use crate::http::target_control::{COUNTERS_PATH, CounterAnswer, LEDGER_PATH, LedgerPage};
use crate::ledger::LedgerEntry;

/// The largest page of a ledger in bytes.
const PAGE_BYTES: usize = 16 << 20;

/// The control endpoint of one target.
pub struct TargetProbe {
    address: SocketAddr,
    pool: ConnectionPool,
}

impl TargetProbe {
    /// A probe without connections.
    pub fn new(address: SocketAddr) -> Self {
        let limits = PoolLimits {
            connections: 1,
            ..PoolLimits::default()
        };
        Self {
            address,
            pool: ConnectionPool::new(address, limits),
        }
    }

    /// The target's counters.
    ///
    /// # Errors
    /// When the target does not answer.
    pub async fn counters(&self) -> Result<CounterAnswer> {
        self.get(COUNTERS_PATH).await
    }

    /// The ledger entries from position `from` on.
    ///
    /// # Errors
    /// When the target does not answer.
    pub async fn ledger(&self, from: usize) -> Result<Vec<LedgerEntry>> {
        let mut entries = Vec::new();
        loop {
            let position = from + entries.len();
            let page = self
                .get::<LedgerPage>(&format!("{LEDGER_PATH}?from={position}"))
                .await?;
            let complete = page.entries.is_empty() || position + page.entries.len() >= page.total;
            entries.extend(page.entries);
            if complete {
                return Ok(entries);
            }
        }
    }

    async fn get<Message>(&self, path: &str) -> Result<Message>
    where
        Message: DeserializeOwned,
    {
        let request = ClientRequest::new(Method::GET, path.parse()?);
        let options = RequestOptions {
            timeout: Duration::from_secs(10),
            max_response_body: PAGE_BYTES,
            ..RequestOptions::default()
        };
        let response = self.pool.request(&request, &options).await;
        let response = response.wrap_err_with(|| format!("target {}", self.address))?;
        if response.status != StatusCode::OK {
            return Err(eyre!("target {}: status {}", self.address, response.status));
        }
        Ok(response.decode(BodyFormat::Json)?)
    }
}
