//! The command line.

mod arguments;
mod check;
mod check_configuration;
mod error;
mod exit;
mod fleet;
mod remote;
mod serve;
mod status;
mod submit;
mod table;
mod ticket;
mod trace;

pub use arguments::{
    AddressList, Arguments, CheckCommand, Command, ConfigurationBase, FleetCommand, ServeCommand,
    StatusCommand, SubmitCommand, TicketAction, TicketApplyCommand, TicketCommand,
    TicketListCommand, TicketShowCommand, TraceCommand,
};
pub use error::CommandError;
pub use exit::ExitStatus;
pub use remote::{RemoteError, VmClient};
pub use table::TextTable;

use std::env;
use std::process::ExitCode;

use argh::FromArgs;

/// The name of the command in messages.
const PROGRAM: &str = "filbertpitch";

/// Runs the command with the arguments of the process.
pub fn main() -> ExitCode {
    let arguments = env::args_os()
        .skip(1)
        .map(|argument| argument.into_string());
    let status = match arguments.collect::<Result<Vec<_>, _>>() {
        Ok(arguments) => run(&arguments),
        Err(_) => {
            eprintln!("{PROGRAM}: an argument is not valid UTF-8");
            ExitStatus::BadInput
        }
    };
    status.into()
}

/// Runs the command and prints its results and errors.
fn run(arguments: &[String]) -> ExitStatus {
    let arguments = arguments.iter().map(String::as_str).collect::<Vec<_>>();
    match Arguments::from_args(&[PROGRAM], &arguments) {
        Ok(arguments) => execute(arguments.command).unwrap_or_else(|error| {
            eprintln!("{PROGRAM}: {error}");
            error.status
        }),
        Err(exit) if exit.status.is_ok() => {
            let printed = table::print_text(&format!("{}\n", exit.output));
            printed.map_or_else(|error| error.status, |()| ExitStatus::Success)
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            ExitStatus::BadInput
        }
    }
}

fn execute(command: Command) -> Result<ExitStatus, CommandError> {
    match command {
        Command::Serve(command) => serve::run(&command),
        Command::Fleet(command) => fleet::run(&command),
        Command::Check(command) => check::run(&command),
        Command::Ticket(command) => match &command.action {
            TicketAction::Apply(command) => ticket::apply(command),
            TicketAction::List(command) => ticket::list(command),
            TicketAction::Show(command) => ticket::show(command),
        },
        Command::Submit(command) => submit::run(&command),
        Command::Status(command) => status::run(&command),
        Command::Trace(command) => trace::run(&command),
    }
}
