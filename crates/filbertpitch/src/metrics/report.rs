//! Sends the values of an interval.

use std::collections::HashMap;
use std::fmt;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, MetricError, StatsdClient};

use super::{MetricKind, MetricName, MetricValues};

/// The first part of every name.
const PREFIX: &str = "filbertpitch";
/// The largest datagram, in bytes: it passes an Ethernet unfragmented.
const DATAGRAM_BYTES: usize = 1432;

/// Why metrics could not be sent.
#[derive(Debug)]
pub struct ReportError(MetricError);

impl fmt::Display for ReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for ReportError {}

/// Sends metrics to one address.
///
/// The socket never blocks: a datagram that the operating system does not take is lost, and the
/// next interval reports the error.
pub struct MetricsReporter {
    client: StatsdClient,
    sent: HashMap<MetricName, u64>,
}

impl MetricsReporter {
    /// A reporter to `address` for the VM that is known as `vm`.
    ///
    /// # Errors
    /// When the operating system refuses the socket.
    pub fn new(address: SocketAddr, vm: SocketAddr) -> Result<Self, ReportError> {
        let refused = |error: std::io::Error| ReportError(error.into());
        let any = match address {
            SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
        };
        let socket = UdpSocket::bind(any).map_err(refused)?;
        socket.set_nonblocking(true).map_err(refused)?;
        let sink = BufferedUdpMetricSink::with_capacity(address, socket, DATAGRAM_BYTES);
        let prefix = format!("{PREFIX}.{}", vm_part(vm));
        Ok(Self {
            client: StatsdClient::from_sink(&prefix, sink.map_err(ReportError)?),
            sent: HashMap::new(),
        })
    }

    /// Sends all values: gauges as they are, counters as the increase since the last report.
    ///
    /// # Errors
    /// The first failure; the other values are sent nevertheless.
    pub fn report(&mut self, values: &MetricValues) -> Result<(), ReportError> {
        let mut result = Ok(());
        for (name, value) in values.iter() {
            result = result.and(self.send(name, value));
        }
        result.and(self.client.flush()).map_err(ReportError)
    }

    fn send(&mut self, name: MetricName, value: u64) -> Result<(), MetricError> {
        let spec = name.spec();
        match spec.kind {
            MetricKind::Gauge => self.client.gauge(spec.name, value).map(drop),
            MetricKind::Counter => {
                let before = self.sent.insert(name, value).unwrap_or(0);
                let increase = value.saturating_sub(before);
                self.client.count(spec.name, increase).map(drop)
            }
        }
    }
}

/// The address as one part of a name.
fn vm_part(vm: SocketAddr) -> String {
    let text = vm.to_string();
    let parts = text.split(|character: char| !character.is_ascii_alphanumeric());
    parts
        .filter(|part| !part.is_empty())
        .collect::<Vec<_>>()
        .join("_")
}
