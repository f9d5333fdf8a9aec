//! Routes a request for a submission to the process that may decide about that submission.
//!
//! A VM that does not own a submission never answers that the submission was not run, because only
//! the owner knows that.

use std::net::SocketAddr;

use filbertpitch_types::peer::ForwardCommand;
use filbertpitch_types::prelude::*;

use crate::membership::OwnerStatus;

/// The process that handles a request for a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// This process handles the request.
    Local,
    /// The request is forwarded to the process at `address`, which handles it only if it is the
    /// expected incarnation.
    Forward {
        /// The address of the other process.
        address: SocketAddr,
        /// The incarnation that is expected at that address.
        owner: IncarnationId,
    },
    /// The owner no longer exists, and neither does a successor with its outcomes. The submission
    /// will not be run any more, and whether it ran is unknown.
    OwnerGone,
}

/// Routes a request for a submission of `owner`, whose status is `status`, in the incarnation `this`.
/// The owner of a bare key is the incarnation that claimed the key.
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
        // An owner that missed heartbeats may still be able to handle a request.
        OwnerStatus::Live(_) | OwnerStatus::Unreachable => RouteDecision::Forward {
            address: owner.address,
            owner: owner.incarnation,
        },
    }
}

/// The command that is sent to the successor of an owner instead of `command`: only a lookup.
///
/// The successor has the outcomes that were handed over, but not those that the owner had evicted.
/// Its engine would take a bare key with an evicted outcome for one that was never run.
pub fn successor_command(command: &ForwardCommand) -> ForwardCommand {
    ForwardCommand::Lookup(command.submission().clone())
}
