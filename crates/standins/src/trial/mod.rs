//! The seeded fault run: several entry VMs, targets, the platform and clients in one process on a
//! virtual clock.
//!
//! The decisions are those of the product; the composition inside a VM follows its serve loop. The
//! network, the targets, the log and the VM list are models that a seed drives, so a seed gives
//! the same run to the byte. What the run asserts comes from the ledgers of the simulated targets
//! and from the answers that simulated clients received, never from the code under test.

mod client;
mod evidence;
mod fault;
mod fault_plan;
mod message;
mod network;
mod operator;
mod platform;
mod queue;
mod report;
mod settings;
mod sim;
mod target_host;
mod trace;
mod verify;
mod vm;
mod wiring;
mod world_setup;

pub use self::report::TrialReport;
pub use self::settings::{FaultClass, TrialSettings};

/// Runs one seed.
pub fn run_trial(settings: &TrialSettings) -> TrialReport {
    sim::Simulation::new(settings).run()
}
