//! Until when the runs of a coordinator may go on.
//!
//! A coordinator that loses the contact with a holder must know when its runs there have ended, and a
//! client whose VM has failed sends its job again after a fixed time. A holder therefore lets no
//! lease last longer than the coordinator timeout after the latest message that the coordinator has
//! named. A new run may use the lease that its target has. The limits are in real time: the lease that a
//! holder grants ends by them on a slow clock, too.
//!
//! The client of a forwarded job sends the job again when the VM that has forwarded it has failed, so the
//! runs of such a job have a second limit: the same time after the last sign of life of that VM. The
//! coordinator states in its envelopes when it was, and a run starts only on a target whose lease ends
//! by the limit.

use std::time::Duration;

use filbertpitch_dispatch::entity::VmIndex;
use filbertpitch_types::prelude::*;
use typed_index_collections::TiSlice;

use crate::held::HeldSettings;
use crate::ledger::TargetRun;
use crate::link::PeerLink;
use crate::target_clock::max_lease_duration;

/// The time after the last possible end of a lease until its runs count as ended: `EXPIRY_TIME`, and 50 ms
/// for the different speeds of the VMs' clocks and late timers of targets.
pub const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// The lease limits of the runs of all coordinators.
#[derive(Clone, Copy, Debug)]
pub struct LeaseLimits<'a> {
    links: &'a TiSlice<VmIndex, Option<PeerLink>>,
    settings: &'a HeldSettings,
    examined_at: TimePoint,
}

impl<'a> LeaseLimits<'a> {
    /// The limits that follow from the state of the links, and from when the clients of this VM were
    /// examined.
    pub fn new(
        links: &'a TiSlice<VmIndex, Option<PeerLink>>,
        settings: &'a HeldSettings,
        examined_at: TimePoint,
    ) -> Self {
        Self {
            links,
            settings,
            examined_at,
        }
    }

    /// The latest time at which a lease may end while the target has `run`, as far as the contact with
    /// the coordinator limits it, or the examination of the clients if this VM is the coordinator itself;
    /// unlimited if the coordinator is not known.
    ///
    /// With a lease of 1 s and requests that are up to 175 ms late, a run has ended by 1,200 + 50 ms
    /// (`EXPIRY_TIME`) after the contact or 175 + 1,020.5 + 50 ms after its request. The coordinator counts
    /// 1,200 + 100 ms and 175 + 1,020.5 + 100 ms. A client sends its job again 1,300 ms after its connection
    /// has ended, which is later than the contact, the examination and the request: an envelope is composed
    /// and a run requested only after an examination that has found the connection open.
    pub fn coordinator_limit(&self, run: &TargetRun) -> TimePoint {
        let Some(coordinator) = run.coordinator else {
            return TimePoint(u64::MAX);
        };
        let alive_at = match self.links.get(coordinator).and_then(Option::as_ref) {
            Some(link) => link.peer_heard_until().unwrap_or_default(),
            None => self.examined_at,
        };
        let limit = alive_at + self.settings.coordinator_timeout;
        limit.max(run.since + max_lease_duration(self.settings.lease))
    }

    /// The latest time at which a lease may end while the target has a run of a job that the process
    /// `origin` has forwarded to `coordinator`; unlimited if the job was not forwarded or the coordinator
    /// is not known. Without a statement of the coordinator, the limit has passed.
    ///
    /// A run has ended by 1,200 + 50 ms (`EXPIRY_TIME`) after the sign of life of which the holder knows; the
    /// client counts 1,300 ms from the last one.
    pub fn origin_limit(
        &self,
        coordinator: Option<VmIndex>,
        origin: Option<IncarnationId>,
    ) -> TimePoint {
        let (Some(coordinator), Some(origin)) = (coordinator, origin) else {
            return TimePoint(u64::MAX);
        };
        let heard = match self.links.get(coordinator).and_then(Option::as_ref) {
            Some(link) => link.origin_heard_at(origin),
            // This VM is the coordinator.
            None => {
                let mut links = self.links.iter().flatten();
                let first = links.find(|link| link.identity().incarnation == origin);
                first.map(PeerLink::last_sign_of_life)
            }
        };
        heard.unwrap_or_default() + self.settings.coordinator_timeout
    }
}
