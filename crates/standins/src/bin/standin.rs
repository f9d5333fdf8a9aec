//! The simulated log service, VM list and targets as processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use eyre::{Result, WrapErr};
use filbertpitch_standins::declare::TargetGroup;
use filbertpitch_standins::http::log_host::LogHost;
use filbertpitch_standins::http::random_entry::RandomEntry;
use filbertpitch_standins::http::target_pool::serve_targets;
use filbertpitch_standins::http::vm_host::VmHost;
use filbertpitch_standins::load::settings::PortRange;
use filbertpitch_standins::log_model::{LogModel, LogSettings};
use filbertpitch_standins::vm_model::VmModel;
use filbertpitch_standins::world::{CommaList, KindProfile, TeamShare, WorldName, WorldProfile};
use filbertpitch_types::platform::VmList;
use filbertpitch_types::prelude::*;
use filbertpitch_types::units::DurationText;
use filbertpitch_wire::runtime;
use filbertpitch_wire::server::{HttpServer, RequestHandler, ServerLimits};

/// The load generator holds one connection per job in flight.
const CONNECTION_LIMIT: usize = 15_000;

/// Simulated environment of filbertpitch.
#[derive(FromArgs)]
struct StandinArgs {
    #[argh(subcommand)]
    command: StandinCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandinCommand {
    Log(LogArgs),
    Vms(VmArgs),
    Entry(EntryArgs),
    Targets(Box<TargetArgs>),
}

/// Serve a simulated log service.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
struct LogArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// appends per second (default 300)
    #[argh(option, default = "300")]
    append_rate: u32,
    /// latency of an append (default 5ms)
    #[argh(option, default = "DurationText(Duration::from_millis(5))")]
    append_latency: DurationText,
    /// how long records are kept (default 24h)
    #[argh(option, default = "DurationText(Duration::from_secs(24 * 3600))")]
    retention: DurationText,
    /// probability that the answer to an append is lost (default 0)
    #[argh(option, default = "0.0")]
    lost_answers: f64,
    /// seed of lost answers (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Serve a simulated list of VMs.
#[derive(FromArgs)]
#[argh(subcommand, name = "vms")]
struct VmArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// YAML file with the initial list
    #[argh(option)]
    file: Option<PathBuf>,
    /// time until a change is visible (default 2s)
    #[argh(option, default = "DurationText(Duration::from_secs(2))")]
    lag: DurationText,
}

/// Serve the baseline entry VM, which places every task at a random target.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
struct EntryArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// targets as IP:PORT+COUNT, separated by commas
    #[argh(option)]
    targets: CommaList<PortRange>,
    /// connections per target (default 64)
    #[argh(option, default = "64")]
    connections: usize,
}

/// Serve simulated targets on consecutive ports, or print their declaration.
#[derive(FromArgs)]
#[argh(subcommand, name = "targets")]
struct TargetArgs {
    /// address of the first target
    #[argh(option)]
    listen: SocketAddr,
    /// number of targets (default 50)
    #[argh(option, default = "50")]
    count: u16,
    /// number of the first target, for several processes (default 0)
    #[argh(option, default = "0")]
    first: u16,
    /// profile `sajha` or `glacis` (default sajha)
    #[argh(option, default = "WorldName::Sajha")]
    profile: WorldName,
    /// availability zones, separated by commas (default: of the profile)
    #[argh(option)]
    zones: Option<CommaList<ZoneName>>,
    /// teams, separated by commas (default: of the profile)
    #[argh(option)]
    teams: Option<CommaList<TeamShare>>,
    /// service (default: of the profile)
    #[argh(option)]
    service: Option<ServiceName>,
    /// kinds as NAME:RUN[:SHARE][:once], separated by commas (default: of the profile)
    #[argh(option)]
    kinds: Option<CommaList<KindProfile>>,
    /// how many of the kinds each target takes, rotating (default all)
    #[argh(option)]
    kinds_per_target: Option<usize>,
    /// slots per target (default 8)
    #[argh(option, default = "8")]
    slots: u16,
    /// connections per target (default 64)
    #[argh(option, default = "64")]
    connections: u16,
    /// threads that share the targets (default 1)
    #[argh(option, default = "1")]
    threads: usize,
    /// print the change ticket with this number that declares the targets, and exit
    #[argh(option)]
    print_ticket: Option<TicketNumber>,
    /// print the VM list of the targets, and exit
    #[argh(switch)]
    print_vms: bool,
}

fn main() -> Result<()> {
    let args = argh::from_env::<StandinArgs>();
    match args.command {
        StandinCommand::Log(args) => serve_log(args),
        StandinCommand::Vms(args) => serve_vms(args),
        StandinCommand::Entry(args) => serve_entry(args),
        StandinCommand::Targets(args) => run_targets(*args),
    }
}

fn serve_log(args: LogArgs) -> Result<()> {
    let settings = LogSettings {
        append_rate: args.append_rate,
        append_latency: args.append_latency.0,
        retention: args.retention.0,
        lost_answer_probability: args.lost_answers,
        seed: args.seed,
        ..LogSettings::default()
    };
    serve(args.listen, || LogHost::new(LogModel::new(settings)))
}

fn serve_vms(args: VmArgs) -> Result<()> {
    let list = match &args.file {
        None => VmList::default(),
        Some(file) => {
            let text = std::fs::read_to_string(file)
                .wrap_err_with(|| format!("cannot read {}", file.display()))?;
            serde_norway::from_str(&text)
                .wrap_err_with(|| format!("{} is not a VM list", file.display()))?
        }
    };
    serve(args.listen, || {
        VmHost::new(VmModel::new(list.vms, args.lag.0))
    })
}

fn serve_entry(args: EntryArgs) -> Result<()> {
    let ranges = args.targets.0.into_iter();
    let targets = ranges.flat_map(PortRange::addresses).collect();
    serve(args.listen, || {
        RandomEntry::new(args.listen, targets, args.connections)
    })
}

fn serve<Host, Build>(listen: SocketAddr, build: Build) -> Result<()>
where
    Host: RequestHandler + 'static,
    Build: FnOnce() -> Host,
{
    runtime::run(async {
        let limits = ServerLimits {
            connections: CONNECTION_LIMIT,
            ..ServerLimits::default()
        };
        let server = HttpServer::bind(listen, limits)
            .wrap_err_with(|| format!("cannot listen on {listen}"))?;
        // The server stops when its last handle is dropped.
        let _handle = server.stop_handle();
        server.run(build()).await;
        Ok(())
    })?
}

fn run_targets(args: TargetArgs) -> Result<()> {
    let threads = args.threads;
    let (print_ticket, print_vms) = (args.print_ticket, args.print_vms);
    let group = target_group(args);
    if let Some(number) = print_ticket {
        let nonce = format!("standins-{:016x}", rand::random::<u64>()).parse()?;
        print!("{}", serde_norway::to_string(&group.ticket(number, nonce))?);
        return Ok(());
    }
    if print_vms {
        print!("{}", serde_norway::to_string(&group.vms())?);
        return Ok(());
    }
    let listen = group.listen;
    serve_targets(group.served(), threads)
        .wrap_err_with(|| format!("cannot serve from {listen} on"))
}

fn target_group(args: TargetArgs) -> TargetGroup {
    let mut world = WorldProfile::named(args.profile);
    if let Some(CommaList(zones)) = args.zones {
        world.zones = zones;
    }
    if let Some(CommaList(teams)) = args.teams {
        world.teams = teams;
    }
    if let Some(service) = args.service {
        world.service = service;
    }
    if let Some(CommaList(kinds)) = args.kinds {
        world.kinds = kinds;
    }
    TargetGroup {
        kinds_per_target: args.kinds_per_target.unwrap_or(world.kinds.len()),
        world,
        listen: args.listen,
        count: args.count,
        first: args.first,
        slots: args.slots,
        connections: args.connections,
    }
}
