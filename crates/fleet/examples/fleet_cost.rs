//! Measures the processor time of the engines per idle second and per job, and the bytes of the
//! envelopes, in simulated fleets of 39, 147 and 300 VMs. Encoding, HTTP and sockets are not included.
//!
//! `cargo run --release -p filbertpitch-fleet --example fleet_cost [VMS...]`. The last column identifies
//! the decisions: two versions that decide alike print the same.

#[path = "../tests/support/mod.rs"]
mod support;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use filbertpitch_types::fleet::PeerEnvelope;
use filbertpitch_types::prelude::*;
use rustix::time::{ClockId, clock_gettime};
use support::{ALLOWANCE_MS, STRETCH, SimFleet, SimOptions, run_load};

/// The mean cores of a task.
const TASK_CORES: f64 = 32.0;

/// Jobs per second and VM: the usual load, and a peak at which tasks wait.
const LOADS: [f64; 2] = [18.0, 30.0];

const IDLE_SECONDS: f64 = 5.0;
const LOAD_SECONDS: f64 = 2.0;

/// How long `run_load` waits for the results.
const RESULT_SECONDS: f64 = 12.0;

/// The size of an envelope between VMs.
fn size_of_envelope(envelope: &PeerEnvelope) -> usize {
    rmp_serde::to_vec(envelope).map_or(0, |bytes| bytes.len())
}

/// The processor time of this thread: other processes do not count.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let whole = Duration::from_secs(u64::try_from(time.tv_sec).unwrap_or(0));
    whole + Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or(0))
}

/// A fleet with targets of two sizes and three speeds.
fn start_fleet(vms: usize) -> SimFleet {
    let zones = if vms < 100 { 4 } else { 6 };
    let share = |count: usize| (0..zones).map(move |zone| (count + zone) / zones).collect();
    let processors = std::iter::repeat_n(MilliCores(500), 2);
    let processors = processors.chain(std::iter::repeat_n(MilliCores(120), vms));
    let queue = (STRETCH, Duration::from_secs_f64(ALLOWANCE_MS / 1000.0));
    let mut fleet = SimFleet::new(SimOptions {
        seed: 0,
        vms: share(vms),
        targets: share(vms * 8),
        cores: 64,
        queues: vec![queue; 3],
        processors: processors.collect(),
        ..SimOptions::default()
    });
    for (index, target) in fleet.targets.iter_mut().enumerate() {
        if index % 3 == 2 {
            target.capacity = ResourceVector::from((96_000, 131_072, 0));
        }
        target.speed_percent = [80, 100, 125][index / 3 % 3];
    }
    fleet.run_for(Duration::from_secs(6));
    fleet
}

/// Time, envelopes and bytes of each VM.
#[derive(Clone, Copy, Debug)]
struct Spent {
    micros: f64,
    envelopes: f64,
    bytes: f64,
}

impl Spent {
    fn read(fleet: &SimFleet) -> Self {
        let vms = fleet.vm_count() as f64;
        Self {
            micros: fleet.engine_time.as_secs_f64() * 1e6 / vms,
            envelopes: fleet.envelopes() as f64 / vms,
            bytes: fleet.envelope_bytes as f64 / vms,
        }
    }

    /// What was spent since `before`, less `seconds` of `idle`.
    fn since(self, before: Self, seconds: f64, idle: Self) -> Self {
        Self {
            micros: self.micros - before.micros - seconds * idle.micros,
            envelopes: self.envelopes - before.envelopes - seconds * idle.envelopes,
            bytes: self.bytes - before.bytes - seconds * idle.bytes,
        }
    }

    fn divided_by(self, count: f64) -> Self {
        Self {
            micros: self.micros / count,
            envelopes: self.envelopes / count,
            bytes: self.bytes / count,
        }
    }

    fn print(self, what: &str) {
        let Self {
            micros,
            envelopes,
            bytes,
        } = self;
        print!("{what} {micros:.0} us {envelopes:.1} envelopes {bytes:.0} bytes; ");
    }
}

fn measure(vms: usize) {
    const NOTHING: Spent = Spent {
        micros: 0.0,
        envelopes: 0.0,
        bytes: 0.0,
    };
    let mut fleet = start_fleet(vms);
    fleet.envelope_size = Some(size_of_envelope);
    fleet.processor_clock = Some(processor_time);
    let weights = vec![1.0; fleet.vm_count()];
    let before = Spent::read(&fleet);
    fleet.run_for(Duration::from_secs_f64(IDLE_SECONDS));
    let spent = Spent::read(&fleet).since(before, 0.0, NOTHING);
    let idle = spent.divided_by(IDLE_SECONDS);
    print!("{vms} VMs: ");
    idle.print("idle second");
    for load in LOADS {
        let before = Spent::read(&fleet);
        let rate = load * vms as f64;
        let result = run_load(&mut fleet, LOAD_SECONDS, TASK_CORES, &weights, |_| rate);
        let seconds = LOAD_SECONDS + RESULT_SECONDS;
        let spent = Spent::read(&fleet).since(before, seconds, idle);
        spent.divided_by(load * LOAD_SECONDS).print("job");
        print!("worth {:.3}; ", result.value_share());
    }
    let mut hasher = DefaultHasher::new();
    for notice in &fleet.notices {
        format!("{notice:?}").hash(&mut hasher);
    }
    println!("decisions {:016x}", hasher.finish());
}

fn main() {
    let sizes = std::env::args().skip(1);
    let sizes = sizes.filter_map(|size| size.parse().ok());
    let mut sizes = sizes.collect::<Vec<usize>>();
    if sizes.is_empty() {
        sizes = vec![39, 147, 300];
    }
    sizes.into_iter().for_each(measure);
}
