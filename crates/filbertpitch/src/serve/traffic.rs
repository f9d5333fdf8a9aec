//! The bytes of control traffic: heartbeats, log and VM list.

use std::cell::Cell;

use filbertpitch_wire::client::{ClientError, ConnectionPool, RequestOptions};
use filbertpitch_wire::message::{ClientRequest, ClientResponse, ServerRequest, ServerResponse};
use http::{HeaderName, HeaderValue};

/// The bytes that the transport adds to the head of a sent message: the fixed part of the first
/// line, the lines for host, content length and content type, and the empty line.
const ADDED_HEAD_BYTES: usize = 100;
/// The bytes of the first line and of the empty line of a received message.
const FRAME_BYTES: usize = 21;
/// The bytes of a header line beside name and value.
const HEADER_BYTES: usize = 4;

/// What a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficClass {
    /// Heartbeats between entry VMs.
    Heartbeat,
    /// Reads and appends of the log.
    Log,
    /// Reads of the VM list.
    VmList,
}

/// Bytes of HTTP messages, without the headers of TCP and IP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ByteCount {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Counts the bytes of control traffic.
///
/// Bodies and headers are counted; what the transport adds to a head counts as
/// [`ADDED_HEAD_BYTES`], because the transport does not report it.
#[derive(Debug, Default)]
pub struct ControlTraffic {
    counts: [Cell<ByteCount>; 3],
}

impl ControlTraffic {
    /// The bytes since the start of the process.
    pub fn bytes(&self, class: TrafficClass) -> ByteCount {
        self.counts[class as usize].get()
    }

    /// Sends a request and counts it and its response.
    pub async fn request(
        &self,
        class: TrafficClass,
        pool: &ConnectionPool,
        request: &ClientRequest,
        options: &RequestOptions,
    ) -> Result<ClientResponse, ClientError> {
        let target = request.target.to_string().len() + request.method.as_str().len();
        let lines = header_bytes(pairs(&request.headers));
        let sent = ADDED_HEAD_BYTES + target + lines + request.body.len();
        self.add(class, sent, 0);
        let response = pool.request(request, options).await?;
        let lines = header_bytes(response.headers.iter());
        let received = FRAME_BYTES + lines + response.body.len();
        self.add(class, 0, received);
        Ok(response)
    }

    /// Counts a request that this VM answered.
    pub fn answered(
        &self,
        class: TrafficClass,
        request: &ServerRequest,
        response: &ServerResponse,
    ) {
        let lines = header_bytes(request.headers.iter());
        let target = request.path().len() + request.method.as_str().len();
        let received = FRAME_BYTES + target + lines + request.body.len();
        let lines = header_bytes(pairs(&response.headers));
        let sent = ADDED_HEAD_BYTES + lines + response.body.len();
        self.add(class, sent, received);
    }

    fn add(&self, class: TrafficClass, sent: usize, received: usize) {
        let cell = &self.counts[class as usize];
        let mut count = cell.get();
        count.sent += u64::try_from(sent).unwrap_or(u64::MAX);
        count.received += u64::try_from(received).unwrap_or(u64::MAX);
        cell.set(count);
    }
}

fn pairs(
    headers: &[(HeaderName, HeaderValue)],
) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    headers.iter().map(|(name, value)| (name, value))
}

fn header_bytes<'a, I>(headers: I) -> usize
where
    I: Iterator<Item = (&'a HeaderName, &'a HeaderValue)>,
{
    let lines = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
    lines.sum()
}
