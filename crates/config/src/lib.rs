//! The configuration that operators publish on the platform's log.
//!
//! Every VM folds the same records in log order with the same pure function, so all VMs agree on
//! the accepted tickets without talking to each other.

pub mod spec;
