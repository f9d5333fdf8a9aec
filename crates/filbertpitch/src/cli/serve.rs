//! `filbertpitch serve`.

use eyre::WrapErr;
use filbertpitch_dispatch::engine::EngineSettings;
use filbertpitch_dispatch::membership::MembershipSettings;
use filbertpitch_dispatch::submission::SubmissionSettings;
use filbertpitch_types::prelude::*;
use filbertpitch_wire::runtime;
use slog::b;

use super::{CommandError, ExitStatus, ServeCommand};
use crate::events::{EventLog, LogEvent};
use crate::serve::{EntryLife, NodeSettings, Starting};
use crate::settings::{Settings, load_settings};
use crate::signals::TerminationSignals;

/// Runs an entry VM.
pub(super) fn run(command: &ServeCommand) -> Result<ExitStatus, CommandError> {
    let settings = load_settings(&command.settings)
        .map_err(|findings| CommandError::bad_input(findings.into()))?;
    let level = settings.observability.log_level;
    let (log, _guard) = EventLog::start(std::io::stdout(), level);
    runtime::run(serve(&settings, log))
        .wrap_err("the event queue cannot be created")
        .map_err(CommandError::failed)?
        .map_err(CommandError::failed)
}

async fn serve(settings: &Settings, log: EventLog) -> eyre::Result<ExitStatus> {
    let incarnation = IncarnationId(rand::random());
    let identity = incarnation.to_string();
    let address = settings.advertised.to_string();
    log.record(
        LogEvent::ProcessStarting,
        b!("incarnation" => &identity, "address" => &address),
    );
    let mut signals = TerminationSignals::register().wrap_err("signals cannot be received")?;
    let starting = EntryLife::<Starting>::start(node_settings(settings), incarnation, log.clone());
    let starting = match starting {
        Ok(starting) => starting,
        Err(error) => {
            let text = error.to_string();
            log.record(LogEvent::StartFailed, b!("error" => &text));
            return Err(error).wrap_err_with(|| format!("cannot listen on {}", settings.listen));
        }
    };
    let mut stop = std::pin::pin!(signals.next());
    let ready = monoio::select! {
        ready = starting.load_configuration() => ready,
        // Nothing was accepted without a configuration, so there is nothing to finish.
        _ = &mut stop => return Ok(ExitStatus::Success),
    };
    log.record(LogEvent::ProcessReady, b!("incarnation" => &identity));
    let draining = ready
        .serve_until(async {
            // A signal socket that fails can receive no further signal; stopping is the safe end.
            let _ = stop.await;
        })
        .await;
    log.record(LogEvent::ProcessDraining, b!("incarnation" => &identity));
    let drained = draining.finish().await;
    if !drained {
        log.record(LogEvent::DrainTimedOut, b!("incarnation" => &identity));
    }
    log.record(LogEvent::ProcessStopped, b!("incarnation" => &identity));
    Ok(ExitStatus::Success)
}

/// The node's settings from the settings file.
fn node_settings(settings: &Settings) -> NodeSettings {
    let defaults = NodeSettings::new(
        settings.listen,
        settings.availability_zone.clone(),
        settings.platform.log,
    );
    NodeSettings {
        advertise: settings.advertised,
        vm_list: Some(settings.platform.vm_list),
        peers: settings.seed_peers.clone(),
        drain_timeout: settings.lifecycle.drain_timeout,
        server: settings.server.limits(),
        engine: engine_settings(settings),
        membership: MembershipSettings {
            heartbeat_interval: settings.heartbeat.interval,
            ..MembershipSettings::default()
        },
        metrics: settings.observability.metrics,
        trace_sampling: settings.observability.trace_sampling,
        ..defaults
    }
}

fn engine_settings(settings: &Settings) -> EngineSettings {
    EngineSettings {
        submissions: SubmissionSettings {
            acceptance_window: settings.outcomes.epoch_window,
            byte_limit: settings.outcomes.byte_limit,
            ..SubmissionSettings::default()
        },
        lease_floor: settings.leases.duration,
        lease_margin: settings.leases.safety_margin,
        ..EngineSettings::default()
    }
}
