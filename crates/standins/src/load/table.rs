//! The report as text.

use std::fmt::{self, Display, Formatter};

use super::measure::QuantileSet;
use super::report::LoadReport;

impl Display for QuantileSet {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            count,
            p50,
            p90,
            p99,
            p999,
            max,
        } = self;
        write!(
            f,
            "{p50:>10.3} {p90:>10.3} {p99:>10.3} {p999:>10.3} {max:>10.3} {count:>9}"
        )
    }
}

fn header(f: &mut Formatter<'_>) -> fmt::Result {
    let columns = ["p50", "p90", "p99", "p99.9", "max"].map(|name| format!("{name:>10}"));
    writeln!(f, "{:<26} {} {:>9}", "", columns.join(" "), "jobs")
}

impl Display for LoadReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.write_load(f)?;
        self.write_quantiles(f)?;
        self.write_teams(f)?;
        self.write_steps(f)?;
        self.write_checks(f)
    }
}

impl LoadReport {
    fn write_load(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let load = &self.load;
        writeln!(f, "jobs {}, tasks {}", load.jobs, load.tasks)?;
        let (offered, completed) = (load.offered_load, load.completed_load);
        writeln!(
            f,
            "offered load {offered:.3}, completed {completed:.3} of capacity"
        )?;
        let results = load.results.iter();
        let results = results.map(|(name, count)| format!("{name} {count}"));
        writeln!(f, "results: {}", results.collect::<Vec<_>>().join(", "))?;
        writeln!(
            f,
            "late {}, resubmitted {}, largest delay of the generator {:.1} ms",
            load.late, load.resubmitted, load.send_delay_ms
        )?;
        let seconds = self.completed_per_second.iter();
        let seconds = seconds.map(|share| format!("{share:.2}"));
        writeln!(
            f,
            "completed per second: {}",
            seconds.collect::<Vec<_>>().join(" ")
        )
    }

    fn write_quantiles(&self, f: &mut Formatter<'_>) -> fmt::Result {
        header(f)?;
        writeln!(f, "{:<26} {}", "response / ideal", self.ratio)?;
        writeln!(
            f,
            "{:<26} {}",
            "response / measured run", self.measured_ratio
        )?;
        writeln!(f, "{:<26} {}", "  short work", self.short_ratio)?;
        writeln!(f, "{:<26} {}", "  long work", self.long_ratio)?;
        writeln!(f, "{:<26} {}", "response, ms", self.latency_ms)?;
        writeln!(f, "{:<26} {}", "  short work, ms", self.short_latency_ms)
    }

    fn write_teams(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for team in &self.teams {
            writeln!(f, "{:<26} {}", format!("team {}", team.name), team.ratio)?;
        }
        for team in &self.teams {
            let (offered, done, fair) = (team.offered_s, team.done_s, team.fair_s);
            let name = &team.name;
            writeln!(
                f,
                "team {name}: offered {offered:.1} s, done {done:.1} s, fair {fair:.1} s"
            )?;
        }
        let (jain, work) = (self.jain, self.jain_of_work);
        writeln!(
            f,
            "Jain index: work over fair share {jain:.4}, work {work:.4}"
        )
    }

    fn write_steps(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            let recovery = match step.recovery_s {
                Some(time) => format!("{time:.2} s"),
                None => "none".to_string(),
            };
            writeln!(
                f,
                "step {}x: completed {:.3} of capacity, jobs {}, not run {} (p99 after {:.1} ms), \
                 return to normal {recovery}",
                step.factor, step.completed_share, step.jobs, step.not_run, step.reject_ms.p99
            )?;
        }
        Ok(())
    }

    fn write_checks(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let counters = &self.messages.counters;
        writeln!(
            f,
            "messages {}, starts {}, wasted {:.4} (joins {}, refusals {}, checks {}, stops {}, \
             throttles {}, checkpoints {})",
            counters.messages,
            counters.starts,
            self.messages.wasted_ratio,
            counters.joins,
            counters.refusals,
            counters.checks,
            counters.stops,
            counters.throttles,
            counters.checkpoints
        )?;
        let audit = &self.audit;
        writeln!(
            f,
            "audit: starts {}, tasks {}, doubled {}, not run but started {}, done without start \
             {}, unread targets {}",
            audit.starts,
            audit.tasks,
            audit.doubled,
            audit.not_run_but_started,
            audit.done_without_start,
            audit.unread_targets
        )?;
        for doubled in &audit.examples {
            writeln!(
                f,
                "  {:?}: {} and {}",
                doubled.reason, doubled.first, doubled.second
            )?;
        }
        for (text, count) in &self.errors {
            writeln!(f, "error {text}: {count}")?;
        }
        Ok(())
    }
}
