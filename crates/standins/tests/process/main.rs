//! Tests with real processes on loopback: entry VMs, log, VM list and targets.
//!
//! The binaries are those in the target directory of the test executable, so `cargo test
//! --workspace` builds them first; with `-p filbertpitch-standins` alone the binary of the entry VM
//! may be missing or old. Each test judges the system by the answers that callers got and by the
//! start ledgers of the targets, which the code under test does not write.

mod bad_input;
mod bare_keys;
mod log_outage;
mod owner_loss;
mod replacement;
mod shutdown;
mod support;
mod targets;
mod tickets;
