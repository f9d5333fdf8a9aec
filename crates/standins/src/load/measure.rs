//! Measures over the records of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::record::{JobRecord, JobResult};
use super::schedule::DemandStep;

/// Ratios are recorded in units of 1/10,000.
const RATIO_SCALE: f64 = 10_000.0;
/// The window in which the return to normal after a step is judged.
const RECOVERY_WINDOW: Duration = Duration::from_millis(250);
/// A window is normal if its median ratio is below this multiple of the median before the step.
const RECOVERY_FACTOR: f64 = 1.1;
/// A window is normal if at most this share of its jobs is not complete.
const RECOVERY_REJECTED: f64 = 0.01;

/// Quantiles of a measure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuantileSet {
    /// How many values there are.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The maximum.
    pub max: f64,
}

impl QuantileSet {
    /// The quantiles of `values`, with three significant digits or better.
    pub fn of<Values>(values: Values) -> Self
    where
        Values: IntoIterator<Item = f64>,
    {
        let mut histogram = Histogram::<u64>::new(4).expect("a valid precision");
        for value in values {
            let scaled = (value.max(0.0) * RATIO_SCALE).round() as u64;
            histogram
                .record(scaled)
                .expect("the histogram resizes itself");
        }
        let quantile = |quantile| histogram.value_at_quantile(quantile) as f64 / RATIO_SCALE;
        Self {
            count: histogram.len(),
            p50: quantile(0.5),
            p90: quantile(0.9),
            p99: quantile(0.99),
            p999: quantile(0.999),
            max: histogram.max() as f64 / RATIO_SCALE,
        }
    }
}

/// The response time of a job over its ideal.
pub fn response_ratio(record: &JobRecord, network: Duration) -> f64 {
    ratio(record.latency, record.ideal + network)
}

/// The response time of a job over the ideal with the run time that the targets measured.
pub fn measured_ratio(record: &JobRecord, network: Duration) -> f64 {
    ratio(record.latency, record.measured + network)
}

fn ratio(latency: Duration, ideal: Duration) -> f64 {
    latency.as_secs_f64() / ideal.as_secs_f64().max(1e-6)
}

/// The quantiles of the response time over ideal of the completed jobs that `include` selects.
pub fn ratio_quantiles<Include>(
    records: &[JobRecord],
    network: Duration,
    include: Include,
) -> QuantileSet
where
    Include: Fn(&JobRecord) -> bool,
{
    let complete = records
        .iter()
        .filter(|record| record.result == JobResult::Complete);
    let included = complete.filter(|record| include(record));
    QuantileSet::of(included.map(|record| response_ratio(record, network)))
}

/// The run time of completed jobs, by the second of their answer.
pub fn work_per_second(records: &[JobRecord], length: Duration) -> Vec<Duration> {
    let mut seconds = vec![Duration::ZERO; length.as_secs() as usize];
    for record in records
        .iter()
        .filter(|record| record.result == JobResult::Complete)
    {
        let second = (record.at + record.latency).as_secs() as usize;
        if let Some(work) = seconds.get_mut(second) {
            *work += record.work;
        }
    }
    seconds
}

/// The time from the end of a step to the first of two successive normal windows of arrivals;
/// `None` if the system does not return to normal before `end`.
pub fn recovery_time(
    records: &[JobRecord],
    step: DemandStep,
    end: Duration,
    network: Duration,
) -> Option<Duration> {
    let before = ratio_quantiles(records, network, |record| record.at < step.start);
    let threshold = before.p50 * RECOVERY_FACTOR;
    let mut previous = false;
    let mut start = step.end();
    while start + RECOVERY_WINDOW <= end {
        let window = start..start + RECOVERY_WINDOW;
        let jobs = records.iter().filter(|record| window.contains(&record.at));
        let jobs = jobs.copied().collect::<Vec<_>>();
        let normal = is_normal(&jobs, threshold, network);
        if normal && previous {
            return Some(start - RECOVERY_WINDOW - step.end());
        }
        previous = normal;
        start += RECOVERY_WINDOW;
    }
    None
}

fn is_normal(jobs: &[JobRecord], threshold: f64, network: Duration) -> bool {
    let rejected = jobs
        .iter()
        .filter(|record| record.result != JobResult::Complete);
    let rejected = rejected.count() as f64 / jobs.len().max(1) as f64;
    let ratios = ratio_quantiles(jobs, network, |_| true);
    rejected <= RECOVERY_REJECTED && ratios.p50 <= threshold
}
