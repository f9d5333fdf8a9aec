//! Decisions for fleets whose targets run tasks under leases and start whatever they are told.
//!
//! Such a target cannot guard its room, so exactly one entry VM, its holder, gives it orders, and a
//! fencing token shuts out former holders. The VM that accepted a job, its home, keeps the job's
//! waiting tasks and asks holders to run them. Like the `dispatch` crate, this one does no I/O:
//! events and the time go in, actions come out.

pub mod answers;
pub mod assignment;
pub mod catalog;
pub mod clock;
pub mod demand;
pub mod engine;
pub mod held;
pub mod home;
pub mod ledger;
pub mod link;
pub mod listing;
pub mod pace;
pub mod patience;
pub mod reach;
pub mod registry;
pub mod verdict;
