//! What tests of real processes share: free ports, child processes and waiting for events.

pub mod ports;
pub mod process;
pub mod wait;
