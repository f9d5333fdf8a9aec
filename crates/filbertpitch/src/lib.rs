//! The parts of the filbertpitch command: settings, command line, log events, signals and the
//! entry VM itself.
//!
//! They are a library so that the tests reach them.

pub mod cli;
pub mod configuration;
pub mod engine_timer;
pub mod events;
pub mod fleet;
pub mod log_client;
pub mod metrics;
pub mod serve;
pub mod settings;
pub mod signals;
pub mod traces;
