//! One entry VM as a process: `filbertpitch serve`.

mod callers;
mod claims;
mod clock;
mod driver;
mod forward;
mod lifecycle;
mod node;
mod peers;
mod platform;
mod request;
mod router;
mod settings;
mod status;
mod targets;

pub use self::lifecycle::{EntryLife, Starting};
pub use self::settings::NodeSettings;
