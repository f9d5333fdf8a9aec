//! One entry VM as a process: `filbertpitch serve`.

mod callers;
mod claims;
mod clock;
mod driver;
mod forward;
mod lifecycle;
mod node;
mod observe;
mod peers;
mod platform;
mod request;
mod router;
mod settings;
mod snapshots;
mod status;
mod targets;
mod traffic;

pub use self::lifecycle::{EntryLife, Starting};
pub use self::node::EntryNode;
pub use self::observe::{
    LoopCounts, NodeObserver, OverloadChange, OverloadWatch, PeerChange, PeerWatch, SeenPeer,
};
pub use self::settings::NodeSettings;
pub use self::traffic::{ByteCount, ControlTraffic, TrafficClass};
