//! Replacement of every entry VM.

use filbertpitch_types::prelude::*;
use filbertpitch_types::status::VmStatus;
use rustix::process::Signal;

use crate::shutdown::{assert_answered, assert_kept, mixed_load};
use crate::support::load::count_outcome;
use crate::support::{LoadRun, SystemPlan, TestSystem, run_test, wait_for};

/// How many of the kept outcomes are compared: one in this many.
const SAMPLE_STEP: usize = 7;

/// Starts a VM in the zone of an old one; the old one is stopped once the new one is ready.
async fn replace(system: &mut TestSystem, load: &LoadRun, old: usize) -> usize {
    let zone = ["biratnagar", "biratnagar", "itahari"][old];
    let new = system.add_entry(zone).await;
    system.await_ready(new).await;
    load.add(system.client(new));
    system.signal(old, Signal::TERM);
    let status = system.entry(old).ended().await;
    assert_eq!(status.code(), Some(0), "{status}");
    system.unlist(&format!("entry-{old}")).await;
    let answered = load.answered();
    wait_for("the load goes on", async || {
        (load.answered() > answered + 10).then_some(())
    })
    .await;
    new
}

fn target_names(status: &VmStatus) -> Vec<TargetName> {
    let targets = status.targets.iter();
    targets.map(|target| target.target.clone()).collect()
}

/// Guards against a configuration, outcomes or requests that are lost when no process of the
/// original system is left and the log was down for a part of the replacement.
#[test]
fn replacing_every_vm_loses_nothing() {
    run_test("replacement", SystemPlan::default(), async |system| {
        let load = LoadRun::start(mixed_load(), &system.clients());
        wait_for("the load runs", async || {
            (load.answered() > 30).then_some(())
        })
        .await;
        let before = system.statuses().await;
        let mut replacements = Vec::new();
        for old in 0..3 {
            system.set_log_outage(old == 1).await;
            replacements.push(replace(system, &load, old).await);
        }
        let records = load.finish().await;

        for &index in &replacements {
            let status = system
                .client(index)
                .status()
                .await
                .expect("the VM responds");
            assert_eq!(status.config.ticket, Some(TicketNumber(1)));
            assert_eq!(target_names(&status), target_names(&before[0]));
        }
        let evidence = system.evidence().await;
        evidence.assert_no_doubled_start();
        assert_answered(&records, &evidence);
        assert!(count_outcome(&records, JobOutcome::Complete) > 60);
        let sample = records.iter().step_by(SAMPLE_STEP).collect::<Vec<_>>();
        for &index in &replacements {
            assert_kept(&system.client(index), &sample).await;
        }
        let after = system.evidence().await.starts();
        assert_eq!(after, evidence.starts(), "a resubmission started something");
    });
}
