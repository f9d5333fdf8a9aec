//! The parts of the filbertpitch command: settings, command line, log events and signals.
//!
//! They are a library so that the tests reach them.

pub mod cli;
pub mod events;
pub mod settings;
pub mod signals;
