//! Dispatch decisions for fleets whose targets run tasks under leases and start every task that
//! they are told to start.
//!
//! Such a target does not check its own capacity, so exactly one entry VM, the holder of the
//! target, sends requests to it, and a fencing token excludes former holders. The VM that accepted
//! a job, the coordinator of the job, keeps the job's waiting tasks and asks holders to run them.
//! Like the `dispatch` crate, this crate performs no I/O: it takes events and the current time, and
//! returns actions.

pub mod assignment;
pub mod blocked;
pub mod cancellation;
pub mod capacity_watch;
pub mod catalog;
pub mod closed_zones;
pub mod crash_log;
pub mod engine;
pub mod health;
pub mod heartbeat;
pub mod held;
pub mod job_routing;
pub mod job_table;
pub mod kind_speed;
pub mod lease_limits;
pub mod ledger;
pub mod link;
pub mod link_table;
pub mod listing;
pub mod offers;
pub mod peer_clock;
pub mod rack_demand;
pub mod registry;
pub mod response_timeout;
pub mod run_time_model;
pub mod shedding;
pub mod stall_watch;
pub mod store_reads;
pub mod target_clock;
pub mod zone_probe;
