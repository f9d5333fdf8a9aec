//! The parts of the filbertpitch command: settings, log events and signals.
//!
//! They are a library so that the tests reach them.

pub mod events;
pub mod settings;
pub mod signals;
