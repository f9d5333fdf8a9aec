//! Stand-ins and cases of the review. `review-standin CASE RECORD` plays a case; the exit status is 1 if the rule
//! was broken, 0 if it held and 2 if the case couldn't run.

mod cases;
mod executor;
mod http;
mod json;
mod record;
mod store;
mod system;

use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let arguments = std::env::args().collect::<Vec<_>>();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let played = Record::create(path).and_then(|record| {
        record.note(&format!("case {case}, trouble {trouble}"));
        let broken = cases::play(case, trouble, record.clone())?;
        for text in &broken {
            record.note(&format!("BROKEN: {text}"));
        }
        record.note(if broken.is_empty() {
            "the rule held"
        } else {
            "the rule was broken"
        });
        Ok(broken)
    });
    match played {
        Ok(broken) if broken.is_empty() => ExitCode::SUCCESS,
        Ok(broken) => {
            println!("{} broken, first: {}", broken.len(), broken[0]);
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
