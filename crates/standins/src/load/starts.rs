//! Drives targets directly, without entry VMs, to find the start rate that they reach.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{AttemptOutcome, StartAnswer, StartRequest};
use filbertpitch_types::units::DurationText;
use filbertpitch_wire::client::{ConnectionPool, PoolLimits, RequestOptions};
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::ClientRequest;
use filbertpitch_wire::runtime;
use http::Uri;
use serde::Serialize;

use super::measure::QuantileSet;
use super::settings::PortRange;
use crate::world::{CommaList, WorldName, WorldProfile};

/// The lease of each attempt.
const LEASE: Duration = Duration::from_secs(30);

/// Start tasks at targets directly, one per slot at a time, and print the rate.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "starts")]
pub struct StartsArgs {
    /// targets as IP:PORT+COUNT, separated by commas
    #[argh(option)]
    pub targets: CommaList<PortRange>,
    /// profile of the targets (default sajha)
    #[argh(option, default = "WorldName::Sajha")]
    pub profile: WorldName,
    /// tasks in progress per target (default 8)
    #[argh(option, default = "8")]
    pub slots: u16,
    /// run time of the tasks (default 0ms)
    #[argh(option, default = "DurationText(Duration::ZERO)")]
    pub run_time: DurationText,
    /// length of the run (default 5s)
    #[argh(option, default = "DurationText(Duration::from_secs(5))")]
    pub duration: DurationText,
    /// threads that send (default 1)
    #[argh(option, default = "1")]
    pub threads: usize,
}

/// The result.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct StartsReport {
    /// Completed tasks per second.
    pub rate: f64,
    /// Starts that were refused, failed or got no answer.
    pub errors: u64,
    /// Response time minus run time, in milliseconds.
    pub overhead_ms: QuantileSet,
}

#[derive(Default)]
struct StartCounts {
    job: Cell<u64>,
    errors: Cell<u64>,
}

/// Drives the targets.
///
/// # Errors
/// When the system refuses to create an event queue.
pub fn measure_starts(args: &StartsArgs) -> io::Result<StartsReport> {
    let threads = args.threads.max(1);
    let workers = (0..threads).map(|index| {
        let args = args.clone();
        thread::spawn(move || runtime::run(drive_targets(args, index)))
    });
    let workers = workers.collect::<Vec<_>>();
    let (mut overheads, mut errors) = (Vec::new(), 0);
    for worker in workers {
        let output = worker.join().expect("a load thread does not panic")?;
        overheads.extend(output.0);
        errors += output.1;
    }
    Ok(StartsReport {
        rate: overheads.len() as f64 / args.duration.0.as_secs_f64(),
        errors,
        overhead_ms: QuantileSet::of(overheads),
    })
}

async fn drive_targets(args: StartsArgs, index: usize) -> (Vec<f64>, u64) {
    let addresses = args.targets.0.iter().flat_map(|range| range.addresses());
    let own = addresses.skip(index).step_by(args.threads.max(1));
    let end = Instant::now() + args.duration.0;
    let incarnation = IncarnationId(rand::random());
    let counts = Rc::new(StartCounts::default());
    let mut lanes = Vec::new();
    for address in own {
        let pool = Rc::new(pool_of(address));
        for _ in 0..args.slots {
            // Lanes in step would measure the time to serve one burst.
            let delay = args.run_time.0.mul_f64(rand::random());
            let lane = drive_lane(pool.clone(), args.clone(), incarnation, end, counts.clone());
            lanes.push(monoio::spawn(async move {
                monoio::time::sleep(delay).await;
                lane.await
            }));
        }
    }
    let mut overheads = Vec::new();
    for lane in lanes {
        overheads.extend(lane.await);
    }
    (overheads, counts.errors.get())
}

fn pool_of(address: SocketAddr) -> ConnectionPool {
    ConnectionPool::new(address, PoolLimits::default())
}

async fn drive_lane(
    pool: Rc<ConnectionPool>,
    args: StartsArgs,
    incarnation: IncarnationId,
    end: Instant,
    counts: Rc<StartCounts>,
) -> Vec<f64> {
    let world = WorldProfile::named(args.profile);
    let mut overheads = Vec::new();
    while Instant::now() < end {
        let job = counts.job.get();
        counts.job.set(job + 1);
        let attempt = AttemptId {
            incarnation,
            job: JobNumber(job),
            task: TaskIndex(0),
            attempt: AttemptNumber(0),
        };
        let started = Instant::now();
        match start_once(&pool, &world, attempt, args.run_time).await {
            true => {
                let overhead = started.elapsed().saturating_sub(args.run_time.0);
                overheads.push(overhead.as_secs_f64() * 1e3);
            }
            false => counts.errors.set(counts.errors.get() + 1),
        }
    }
    overheads
}

async fn start_once(
    pool: &ConnectionPool,
    world: &WorldProfile,
    attempt: AttemptId,
    run_time: DurationText,
) -> bool {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let message = StartRequest {
        attempt,
        service: world.service.clone(),
        kind: world.kinds[0].name.clone(),
        input: format!("run={run_time}").into(),
        lease_until: WallTime(now.as_millis() as u64) + LEASE,
        resume_from: None,
    };
    let target = Uri::from_static("/v1/tasks");
    let Ok(request) = ClientRequest::post(target, BodyFormat::Json, &message) else {
        return false;
    };
    let response = pool.request(&request, &RequestOptions::default()).await;
    let answer = response
        .ok()
        .and_then(|response| response.decode(BodyFormat::Json).ok());
    answer.is_some_and(|answer: StartAnswer| {
        answer.attempt == attempt && matches!(answer.verdict, AttemptOutcome::Done { .. })
    })
}
