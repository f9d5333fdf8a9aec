//! Plays a case of the review against the project's program and tells whether a rule was broken.
//!
//! Usage: `review-standin-3 CASE RECORD SCRATCH`. Exits with 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run.

mod cases;
mod executor;
mod http;
mod record;
mod store;
mod system;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;
use system::{Failure, Places, repository};

fn run() -> Result<bool, Failure> {
    let mut arguments = std::env::args().skip(1);
    let mut next = || {
        arguments
            .next()
            .ok_or("usage: review-standin-3 CASE RECORD SCRATCH")
    };
    let (case, record, scratch) = (next()?, next()?, next()?);
    let places = Places {
        // The program starts in the root of the repository.
        repository: std::env::current_dir().or_else(|_| repository())?,
        scratch: PathBuf::from(scratch),
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(&record))?;
    record.note(&format!("case {case}, trouble: {trouble}"));
    cases::play(&case, places, record, trouble)
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
