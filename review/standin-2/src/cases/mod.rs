//! The cases of the review.

pub mod cancelled_again;
pub mod endless_client;
pub mod late_heartbeat;
pub mod older_receiver;
pub mod restarted_machine;
