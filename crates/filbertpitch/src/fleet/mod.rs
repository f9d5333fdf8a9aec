//! An entry VM of a fleet whose targets run tasks under leases: the engine's I/O.

mod callers;
mod clients;
mod clock;
mod driver;
mod follow;
mod forwarding;
mod life;
mod metrics;
mod node;
mod notices;
mod peers;
mod targets;

pub use life::{FleetLife, Ready, Starting};
pub use metrics::{CONFIGURATION_PATH, FleetMetrics};
pub use node::FleetNode;
