//! The models as HTTP processes.

pub mod clock;
pub mod log_host;
pub mod random_entry;
pub mod reply;
pub mod target_control;
pub mod target_host;
pub mod target_pool;
pub mod ticker;
pub mod timers;
pub mod vm_host;
