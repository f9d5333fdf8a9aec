//! The configuration that operators publish through the platform's log.
//!
//! Every VM folds the same records in log order with the same pure function, so all VMs agree on
//! the accepted tickets without communicating with each other.

mod decode;
pub mod error;
pub mod event;
pub mod fold;
pub mod follower;
pub mod history;
mod locate;
mod node;
pub mod object;
pub mod path;
pub mod policy;
pub mod publish;
pub mod read;
mod recent;
pub mod record;
pub mod resolve;
mod scan;
pub mod snapshot;
pub mod spec;
pub mod ticket;
pub mod verdict;
pub mod verify;
