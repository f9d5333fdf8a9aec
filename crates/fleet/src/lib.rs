//! Decisions for fleets whose targets run tasks under leases and start whatever they are told.
//!
//! Such a target cannot guard its room, so exactly one entry VM, its holder, gives it orders, and a
//! fencing token shuts out former holders. The VM that accepted a job, its home, keeps the job's
//! waiting tasks and asks holders to run them. Like the `dispatch` crate, this one does no I/O:
//! events and the time go in, actions come out.

pub mod assignment;
pub mod catalog;
pub mod clock;
pub mod engine;
pub mod health;
pub mod heartbeat;
pub mod held;
pub mod job_table;
pub mod ledger;
pub mod link;
pub mod listing;
pub mod offers;
pub mod registry;
pub mod response_timeout;
pub mod run_time_model;
pub mod zone_probe;
