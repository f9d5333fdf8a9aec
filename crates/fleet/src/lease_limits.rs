//! Until when the runs of a coordinator may go on.
//!
//! A coordinator that loses the contact with a holder must know when its runs there have ended, and a
//! client whose VM has failed sends its job again after a fixed time. A holder therefore lets no
//! lease last longer than the coordinator timeout after the latest message that the coordinator has
//! named. A new run may use the lease that its target has.
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

/// Allows for the difference between holder and target about the end of a lease: the error of the
/// estimated clock, and the drift of the clock during a lease.
pub const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// The lease limits of the runs of all coordinators.
#[derive(Clone, Copy, Debug)]
pub struct LeaseLimits<'a> {
    links: &'a TiSlice<VmIndex, Option<PeerLink>>,
    settings: &'a HeldSettings,
}

impl<'a> LeaseLimits<'a> {
    /// The limits that follow from the state of the links.
    pub fn new(links: &'a TiSlice<VmIndex, Option<PeerLink>>, settings: &'a HeldSettings) -> Self {
        Self { links, settings }
    }

    /// The latest time at which a lease may end while the target has `run`, as far as the contact with
    /// the coordinator limits it; unlimited if this VM is the coordinator itself or the coordinator is
    /// not known.
    pub fn coordinator_limit(&self, run: &TargetRun) -> TimePoint {
        let link = run.coordinator.and_then(|vm| self.links.get(vm)?.as_ref());
        let Some(link) = link else {
            return TimePoint(u64::MAX);
        };
        let heard = link.peer_heard_until().unwrap_or_default();
        let limit = heard + self.settings.coordinator_timeout;
        limit.max(run.since + self.settings.lease)
    }

    /// The latest time at which a lease may end while the target has a run of a job that the process
    /// `origin` has forwarded to `coordinator`; unlimited if the job was not forwarded or the coordinator
    /// is not known. Without a statement of the coordinator, the limit has passed.
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
