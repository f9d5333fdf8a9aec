//! Plays one case of the review: `review-standin-2 CASE RECORD_FILE`. Exits with 1 if the rule was broken,
//! with 0 if it held, and with 2 if the case could not run.

mod cases;
mod executor;
mod http;
mod link;
mod record;
mod store;
mod system;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record_file)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standin-2 CASE RECORD_FILE");
        return ExitCode::from(2);
    };
    let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&directory) {
        eprintln!("{}: {error}", directory.display());
        return ExitCode::from(2);
    }
    let record_file = PathBuf::from(record_file);
    let verdict = match &*case {
        "cancelled-again" => cases::cancelled_again::run(&directory, &record_file),
        "late-heartbeat" => cases::late_heartbeat::run(&directory, &record_file),
        "endless-client" => cases::endless_client::run(&directory, &record_file),
        "restarted-machine" => cases::restarted_machine::run(&directory, &record_file),
        "older-receiver" => cases::older_receiver::run(&directory, &record_file),
        _ => Err(format!("there is no case `{case}`")),
    };
    if std::env::var_os("KEEP").is_none() {
        // Logs and settings of the processes; nothing reads them after the case.
        let _ = std::fs::remove_dir_all(&directory);
    }
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
