//! Requests for tasks of which an earlier run has not ended.
//!
//! A client that gets no answer sends its job again, to any VM. Runs at the request of the VM that
//! had the job before may not have ended when the first request of the new coordinator arrives. The
//! holder keeps such a request and refuses it when the earlier run has ended, so that the task is
//! not started elsewhere in the meantime.

use filbertpitch_dispatch::entity::VmIndex;
use filbertpitch_types::prelude::*;

/// A request that waits for the end of an earlier run of its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockedRequest {
    /// The coordinator that has sent the request.
    pub coordinator: VmIndex,
    /// The run that it asks for.
    pub run: RunName,
}

/// The blocked requests of a holder.
#[derive(Clone, Debug, Default)]
pub struct BlockedRequests(Vec<BlockedRequest>);

impl BlockedRequests {
    /// Adds a request. One that is repeated is refused once: the coordinator may have sent its next request
    /// under the same run number when a second refusal arrives.
    pub fn add(&mut self, request: BlockedRequest) {
        if !self.0.contains(&request) {
            self.0.push(request);
        }
    }

    /// Removes the requests of a coordinator that is lost.
    pub fn drop_coordinator(&mut self, coordinator: VmIndex) {
        self.0.retain(|request| request.coordinator != coordinator);
    }

    /// Removes the requests that a coordinator has withdrawn.
    pub fn withdraw(&mut self, coordinator: VmIndex, tasks: &[TaskName]) {
        self.0.retain(|request| {
            request.coordinator != coordinator || !tasks.contains(&request.run.task)
        });
    }

    /// Removes and returns the requests whose task satisfies `condition`.
    pub fn take_if<F>(&mut self, condition: F) -> Vec<BlockedRequest>
    where
        F: Fn(&TaskName) -> bool,
    {
        self.0
            .extract_if(.., |request| condition(&request.run.task))
            .collect()
    }

    /// Whether no request is blocked.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
