//! Which process may decide about a submission.
//!
//! A VM that is not the owner never says "not run": it cannot know what the owner did.

use std::net::SocketAddr;

use filbertpitch_types::peer::ForwardCommand;
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
}

/// Decides where a request for a submission of `owner` goes. The owner of a bare key is whoever
/// claimed it.
pub fn route_submission(
    owner: &OwnerPrefix,
    this: IncarnationId,
    status: &OwnerStatus,
) -> RouteDecision {
    match status {
        OwnerStatus::Local => RouteDecision::Local,
        OwnerStatus::HandedOver(notice) if notice.to == this => RouteDecision::Local,
        OwnerStatus::HandedOver(notice) => RouteDecision::Forward {
            address: notice.address,
            owner: notice.to,
        },
        OwnerStatus::Gone => RouteDecision::OwnerGone,
        // An owner that missed heartbeats may answer a request all the same.
        OwnerStatus::Live(_) | OwnerStatus::Unreachable => RouteDecision::Forward {
            address: owner.address,
            owner: owner.incarnation,
        },
    }
}

/// What the process that took over from an owner is asked: it keeps outcomes and decides nothing.
///
/// It may lack outcomes that the owner had forgotten. To its engine, such a bare key would look
/// like one that never ran.
pub fn successor_command(command: &ForwardCommand) -> ForwardCommand {
    ForwardCommand::Lookup(command.submission().clone())
}
