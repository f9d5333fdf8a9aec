//! Identifiers, units, outcomes and protocol messages shared by every crate.
//!
//! These types are separate from the scheduling logic and from the transport, so that the command
//! line, the dispatcher and the test tools share one definition of each message.

pub mod caller;
pub mod configuration;
pub mod fleet;
pub mod ids;
pub mod lease;
pub mod outcome;
pub mod peer;
pub mod platform;
pub mod prelude;
pub mod resources;
pub mod run;
pub mod status;
pub mod target;
pub mod text;
pub mod time;
pub mod trace;
pub mod units;
