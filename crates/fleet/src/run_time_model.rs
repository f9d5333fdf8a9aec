//! Predicts how long the tasks of a job run from how long its client waits.
//!
//! Clients that send larger jobs wait longer for them, which often tells more than the run time that
//! they declare. Whether it does, and how much, is learned for each queue: a line is fitted through
//! the jobs that were done, with older ones fading out.

use std::time::Duration;

/// How many of the latest jobs dominate.
const MAX_WEIGHT_JOBS: f64 = 200.0;

/// The jobs after which the line is used.
const MIN_JOBS: u32 = 12;

/// The share of the latest job in the recent prediction error.
const ERROR_GAIN: f64 = 0.05;

/// Errors beyond this many doublings count as this.
const MAX_ERROR_DOUBLINGS: f64 = 4.0;

/// The line is used when its error is below this fraction of the error without it.
const MAX_ERROR_RATIO: f64 = 0.8;

/// The shortest run time that is predicted, in milliseconds.
const MIN_RUN_MS: f64 = 1.0;

/// A line through the points (patience, run time), both in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimeModel {
    jobs: u32,
    weight: f64,
    mean_timeout: f64,
    mean_run: f64,
    variance: f64,
    covariance: f64,
    /// The recent errors with the line and without it, in doublings.
    line_error: f64,
    baseline_error: f64,
}

impl RunTimeModel {
    /// The run time that the line predicts, if it has proved to predict better than the estimate
    /// without it.
    pub fn predict(&self, client_timeout: Duration) -> Option<Duration> {
        let is_better =
            self.jobs >= MIN_JOBS && self.line_error < self.baseline_error * MAX_ERROR_RATIO;
        let predicted = is_better.then(|| self.line(client_timeout)).flatten()?;
        Some(Duration::from_secs_f64(predicted / 1000.0))
    }

    fn line(&self, client_timeout: Duration) -> Option<f64> {
        if self.variance <= f64::EPSILON {
            return None;
        }
        let slope = self.covariance / self.variance;
        let offset = client_timeout.as_secs_f64() * 1000.0 - self.mean_timeout;
        Some((self.mean_run + slope * offset).max(MIN_RUN_MS))
    }

    /// Learns from a job whose longest task took `run`; `plain` is what was estimated without the
    /// line.
    pub fn observe(&mut self, client_timeout: Duration, run: Duration, baseline: Duration) {
        let run_ms = (run.as_secs_f64() * 1000.0).max(MIN_RUN_MS);
        let baseline_ms = (baseline.as_secs_f64() * 1000.0).max(MIN_RUN_MS);
        if let Some(predicted) = self
            .line(client_timeout)
            .filter(|_| self.jobs >= MIN_JOBS / 2)
        {
            let error = |value: f64| (value / run_ms).log2().abs().min(MAX_ERROR_DOUBLINGS);
            self.line_error += (error(predicted) - self.line_error) * ERROR_GAIN;
            self.baseline_error += (error(baseline_ms) - self.baseline_error) * ERROR_GAIN;
        }
        self.jobs = self.jobs.saturating_add(1);
        self.weight = self.weight.min(MAX_WEIGHT_JOBS) + 1.0;
        let share = 1.0 / self.weight;
        let timeout_ms = client_timeout.as_secs_f64() * 1000.0;
        let timeout_delta = timeout_ms - self.mean_timeout;
        let run_delta = run_ms - self.mean_run;
        self.mean_timeout += timeout_delta * share;
        self.mean_run += run_delta * share;
        self.variance = (1.0 - share) * (self.variance + share * timeout_delta * timeout_delta);
        self.covariance = (1.0 - share) * (self.covariance + share * timeout_delta * run_delta);
    }
}
