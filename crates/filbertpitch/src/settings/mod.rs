//! The settings of one process, read from a YAML file.
//!
//! Settings describe the VM; services, targets and teams are configured by tickets.

mod findings;
mod fleet;
mod load;
mod locate;
mod rules;
mod sections;
mod units;

pub use findings::{SettingsFinding, SettingsFindings};
pub use fleet::{FleetListen, FleetNodeSettings, load_fleet_settings, parse_fleet_settings};
pub use load::{ADDRESS_FORM, load_settings, parse_settings};
pub use sections::{
    HeartbeatSettings, LeaseSettings, LifecycleSettings, ObservabilitySettings, OutcomeSettings,
    PlatformSettings, ServerSettings, Settings,
};
pub use units::{LogLevel, SampleRatio};
