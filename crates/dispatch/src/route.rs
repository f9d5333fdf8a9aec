//! Which process may decide about a submission.
//!
//! A VM that is not the owner never says "not run": it cannot know what the owner did.

use std::net::SocketAddr;

use filbertpitch_types::prelude::*;

use crate::membership::OwnerStatus;

/// Where a request for a submission goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// This process decides.
    Local,
    /// The process at this address decides, if it is the expected incarnation.
    Forward {
        /// Where to send it.
        address: SocketAddr,
        /// Who is expected there.
        owner: IncarnationId,
    },
    /// Nobody will ever run it; whether it ran is unknown.
    OwnerGone,
    /// The log must decide who owns this bare key.
    Claim,
}

/// Decides where a request for `submission` goes.
pub fn route_submission(
    submission: &SubmissionId,
    this: IncarnationId,
    status: &OwnerStatus,
) -> RouteDecision {
    let Some(prefix) = submission.prefix() else {
        return RouteDecision::Claim;
    };
    match status {
        OwnerStatus::This => RouteDecision::Local,
        OwnerStatus::HandedOver(notice) if notice.to == this => RouteDecision::Local,
        OwnerStatus::HandedOver(notice) => RouteDecision::Forward {
            address: notice.address,
            owner: notice.to,
        },
        OwnerStatus::Gone => RouteDecision::OwnerGone,
        // An owner that missed heartbeats may answer a request all the same.
        OwnerStatus::Live(_) | OwnerStatus::Unreachable => RouteDecision::Forward {
            address: prefix.address,
            owner: prefix.incarnation,
        },
    }
}
