//! The limit on concurrent tasks of one step on one target, under clients of several VMs. The simulated fleet checks
//! each start.

mod support;

use std::time::Duration;

use filbertpitch_types::fleet::JobReply;
use filbertpitch_types::prelude::*;
use support::{JobShape, SimFleet, SimOptions};
use test_case::test_case;

/// The clients, which send their next job after each answer, and the jobs of each.
const CLIENTS: usize = 18;
const JOBS: usize = 40;

/// A job whose tasks must run on different targets.
fn job() -> JobShape {
    JobShape {
        tasks: 3,
        cores: 10,
        work: Duration::from_millis(40),
        declared: Duration::from_millis(40),
        client_timeout: Duration::from_secs(4),
        spread_limit: Some(1),
        ..JobShape::default()
    }
}

/// Guards against two tasks of a step on one target where the limit is one: the holder chooses another target than the
/// coordinator has suggested, on which the step has a task already.
#[test_case(&[3], &[8]; "one zone")]
#[test_case(&[1, 1, 1], &[3, 3, 2]; "three zones")]
fn holders_keep_the_limit_on_tasks_of_a_step(vms: &[usize], targets: &[usize]) {
    for seed in 1..=4 {
        let mut fleet = SimFleet::new(SimOptions {
            seed,
            vms: vms.to_vec(),
            targets: targets.to_vec(),
            cores: 32,
            // The load is heavier than the capacity; jobs wait instead of being rejected.
            queues: vec![(1.6, Duration::from_secs(1))],
            ..SimOptions::default()
        });
        fleet.run_for(Duration::from_secs(3));
        let mut clients = (0..CLIENTS)
            .map(|client| vec![fleet.submit(client % 3, job())])
            .collect::<Vec<_>>();
        let is_answered = |fleet: &SimFleet, id: &JobId| fleet.jobs[id].reply.is_some();
        while clients.iter().any(|jobs| jobs.len() < JOBS) {
            fleet.run_for(Duration::from_millis(2));
            for (client, jobs) in clients.iter_mut().enumerate() {
                let is_idle = jobs.last().is_some_and(|id| is_answered(&fleet, id));
                if is_idle && jobs.len() < JOBS {
                    jobs.push(fleet.submit(client % 3, job()));
                }
            }
        }
        fleet.run_for(Duration::from_secs(3));
        let jobs = clients.iter().flatten();
        let completed = jobs.filter(|id| fleet.jobs[*id].reply == Some(JobReply::Completed));
        assert_eq!(completed.count(), CLIENTS * JOBS, "seed {seed}");
    }
}
