//! The arguments of every command.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use argh::FromArgs;
use filbertpitch_types::prelude::*;
use filbertpitch_types::text::ParseError;
use filbertpitch_types::trace::TraceNumber;

use crate::settings::ADDRESS_FORM;

/// Dispatches short tasks to the targets that can run them.
#[derive(Debug, FromArgs)]
#[argh(error_code(0, "The command did what was asked."))]
#[argh(error_code(1, "The command was carried out and failed."))]
#[argh(error_code(2, "The arguments or a file are not valid; nothing was done."))]
#[argh(error_code(3, "No VM or log could be reached."))]
#[argh(error_code(4, "The work certainly did not run; submit it again with a new key."))]
#[argh(error_code(5, "It is not known whether the work ran."))]
pub struct Arguments {
    /// the command
    #[argh(subcommand)]
    pub command: Command,
}

/// A command.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Runs an entry VM.
    Serve(ServeCommand),
    /// Runs an entry VM of a fleet whose targets run tasks under leases.
    Fleet(FleetCommand),
    /// Checks a settings file or a configuration.
    Check(CheckCommand),
    /// Applies and shows tickets.
    Ticket(TicketCommand),
    /// Submits a job.
    Submit(SubmitCommand),
    /// Shows the state of a VM.
    Status(StatusCommand),
    /// Shows the spans of a traced request.
    Trace(TraceCommand),
}

/// Run an entry VM until SIGTERM or SIGINT.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeCommand {
    /// the settings file
    #[argh(option, arg_name = "FILE")]
    pub settings: PathBuf,
}

/// Run an entry VM of a fleet whose targets run tasks under leases, until SIGTERM or SIGINT.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct FleetCommand {
    /// the settings file; it is read again on SIGHUP and when it changes
    #[argh(option, arg_name = "FILE")]
    pub settings: PathBuf,
}

/// Check a settings file, or a configuration of a fleet before it is published, and report
/// everything that is wrong with it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// the configuration of a fleet: the value of its record as JSON
    #[argh(positional, arg_name = "FILE")]
    pub file: Option<PathBuf>,
    /// the settings file is for `fleet`, not for `serve`
    #[argh(switch)]
    pub fleet: bool,
    /// check this settings file instead of a configuration
    #[argh(option, arg_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// compare with the configuration in force: its version, which is read from the VM named by
    /// `--vm`, or a file; write `./7` for a file with the name `7`
    #[argh(option, arg_name = "VERSION-OR-FILE")]
    pub against: Option<ConfigurationBase>,
    /// the metrics address of a VM of the fleet
    #[argh(option, arg_name = "ADDRESS", from_str_fn(parse_address))]
    pub vm: Option<SocketAddr>,
    /// a list of targets: a JSON object with the entry of each target under its name
    #[argh(option, arg_name = "FILE")]
    pub targets: Option<PathBuf>,
    /// treat warnings as errors
    #[argh(switch)]
    pub strict: bool,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// What a configuration is compared with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationBase {
    /// The configuration with this version, which a VM has in force.
    Version(ConfigVersion),
    /// The configuration in this file.
    File(PathBuf),
}

impl FromStr for ConfigurationBase {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(match text.parse() {
            Ok(version) => Self::Version(ConfigVersion(version)),
            Err(_) => Self::File(text.into()),
        })
    }
}

/// Apply and show the numbered tickets that configure services, targets, teams and limits.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ticket")]
pub struct TicketCommand {
    /// the action
    #[argh(subcommand)]
    pub action: TicketAction,
}

/// What to do with tickets.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum TicketAction {
    /// Applies a ticket.
    Apply(TicketApplyCommand),
    /// Lists tickets.
    List(TicketListCommand),
    /// Shows a ticket.
    Show(TicketShowCommand),
}

/// Append a ticket to the log and wait until it is in effect.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct TicketApplyCommand {
    /// the ticket file
    #[argh(positional, arg_name = "FILE")]
    pub file: PathBuf,
    /// the address of the log
    #[argh(option, arg_name = "ADDRESS", from_str_fn(parse_address))]
    pub log: SocketAddr,
    /// the address of an entry VM whose state is reported; may be repeated
    #[argh(option, arg_name = "ADDRESS", from_str_fn(parse_address))]
    pub via: Vec<SocketAddr>,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// List the tickets in the log and whether they were accepted.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct TicketListCommand {
    /// the address of the log
    #[argh(option, arg_name = "ADDRESS", from_str_fn(parse_address))]
    pub log: SocketAddr,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show a ticket and why it was accepted or rejected.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct TicketShowCommand {
    /// the number of the ticket
    #[argh(positional, arg_name = "NUMBER")]
    pub number: TicketNumber,
    /// the address of the log
    #[argh(option, arg_name = "ADDRESS", from_str_fn(parse_address))]
    pub log: SocketAddr,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Submit a job and wait for its outcome.
///
/// The identifier of the submission is printed first. Submitting again with the same identifier
/// never starts a task twice.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct SubmitCommand {
    /// the job as YAML or JSON: team, service, deadline and tasks
    #[argh(positional, arg_name = "FILE")]
    pub file: PathBuf,
    /// the address of an entry VM, at least one; further ones are tried when it does not respond
    #[argh(option, arg_name = "ADDRESS", from_str_fn(parse_address))]
    pub via: Vec<SocketAddr>,
    /// the client's part of the identifier, random if absent
    #[argh(option, arg_name = "KEY")]
    pub key: Option<String>,
    /// the identifier of an earlier submission of the same job, or a bare key with the time of
    /// its first submission: KEY@UNIX_MILLISECONDS
    #[argh(option, arg_name = "SUBMISSION")]
    pub submission: Option<SubmissionId>,
    /// trace the job and print its spans after the response
    #[argh(switch)]
    pub trace: bool,
    /// print the response as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the state of an entry VM: configuration, peers, targets, queues and counters.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
    /// the address of the VM
    #[argh(option, arg_name = "ADDRESS", from_str_fn(parse_address))]
    pub via: SocketAddr,
    /// print the state as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the spans of a traced request as a tree.
///
/// Every VM keeps the spans that it recorded itself, so all VMs should be named. Offsets between
/// spans of different VMs depend on how well their clocks agree.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceCommand {
    /// the trace id: 32 hexadecimal digits
    #[argh(positional, arg_name = "TRACE_ID")]
    pub trace: TraceNumber,
    /// the addresses of entry VMs, separated by commas; at least one, may be repeated
    #[argh(option, arg_name = "ADDRESSES")]
    pub via: Vec<AddressList>,
    /// print the spans as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Addresses separated by commas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressList(pub Vec<SocketAddr>);

impl FromStr for AddressList {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let addresses = text.split(',').map(address);
        addresses.collect::<Result<_, _>>().map(Self)
    }
}

fn address(text: &str) -> Result<SocketAddr, ParseError> {
    let error = |_| ParseError::new("address", text, ADDRESS_FORM);
    text.parse().map_err(error)
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    address(text).map_err(|error| error.to_string())
}
