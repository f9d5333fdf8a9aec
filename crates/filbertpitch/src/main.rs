//! The filbertpitch command.

use std::process::ExitCode;

fn main() -> ExitCode {
    filbertpitch::cli::main()
}
