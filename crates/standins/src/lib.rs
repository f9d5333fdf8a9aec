//! Stand-ins for everything around filbertpitch: the log service, the VM list and the targets.
//!
//! Each stand-in is a model without I/O that receives the time as an argument. The HTTP processes
//! and the seeded fault-injection run use the same models, so both test the same behaviour. This
//! crate is not shipped.

pub mod audit;
pub mod children;
pub mod declare;
pub mod http;
pub mod ledger;
pub mod load;
pub mod log_model;
pub mod plan;
pub mod target_model;
pub mod trial;
pub mod vm_model;
pub mod world;
