//! `filbertpitch fleet`.

use eyre::WrapErr;
use filbertpitch_types::prelude::*;
use filbertpitch_wire::runtime;
use slog::b;

use super::{CommandError, ExitStatus, FleetCommand};
use crate::events::{EventLog, LogEvent};
use crate::fleet::{FleetLife, Starting};
use crate::settings::{FleetNodeSettings, load_fleet_settings};
use crate::signals::TerminationSignals;

/// Runs an entry VM of a fleet.
pub(super) fn run(command: &FleetCommand) -> Result<ExitStatus, CommandError> {
    let settings = load_fleet_settings(&command.settings)
        .map_err(|findings| CommandError::bad_input(findings.into()))?;
    let (log, _guard) = EventLog::start(std::io::stdout(), settings.log_level);
    runtime::run(serve(command, settings, log))
        .wrap_err("the event queue cannot be created")
        .map_err(CommandError::failed)?
        .map_err(CommandError::failed)
}

async fn serve(
    command: &FleetCommand,
    settings: FleetNodeSettings,
    log: EventLog,
) -> eyre::Result<ExitStatus> {
    let incarnation = IncarnationId(rand::random());
    let identity = incarnation.to_string();
    log.record(
        LogEvent::ProcessStarting,
        b!("incarnation" => &identity, "vm" => settings.vm.as_str()),
    );
    let mut signals = TerminationSignals::register().wrap_err("signals cannot be received")?;
    let file = command.settings.clone();
    let starting = FleetLife::<Starting>::start(settings, file, incarnation, log.clone());
    let starting = match starting {
        Ok(starting) => starting,
        Err(error) => {
            let text = error.to_string();
            log.record(LogEvent::StartFailed, b!("error" => &text));
            return Err(error).wrap_err("the servers cannot listen");
        }
    };
    let mut stop = std::pin::pin!(signals.next());
    let ready = monoio::select! {
        ready = starting.load() => ready,
        // Nothing was accepted without a configuration, so there is nothing to finish.
        _ = &mut stop => return Ok(ExitStatus::Success),
    };
    log.record(LogEvent::ProcessReady, b!("incarnation" => &identity));
    let drained = ready
        .serve_until(async {
            // A signal socket that fails can receive no further signal; stopping is the safe end.
            let _ = stop.await;
        })
        .await;
    if !drained {
        log.record(LogEvent::DrainTimedOut, b!("incarnation" => &identity));
    }
    log.record(LogEvent::ProcessStopped, b!("incarnation" => &identity));
    Ok(ExitStatus::Success)
}
