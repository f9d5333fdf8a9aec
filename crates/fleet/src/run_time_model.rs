//! Predicts the run time of the tasks of a job from the time-out of its client.
//!
//! Clients set longer time-outs for larger jobs, which often predicts the run time better than the
//! one that they declare. For each queue, a linear regression with exponentially fading weights
//! over completed jobs shows whether and how the two are related.

use std::time::Duration;

/// The number of recent jobs that dominate the regression.
const MAX_WEIGHT_JOBS: f64 = 200.0;

/// The jobs after which the regression is used.
const MIN_JOBS: u32 = 12;

/// The weight of the latest job in the mean prediction error.
const ERROR_GAIN: f64 = 0.05;

/// The limit of a single prediction error, in doublings.
const MAX_ERROR_DOUBLINGS: f64 = 4.0;

/// The regression is used when its error is below this fraction of the error of the baseline.
const MAX_ERROR_RATIO: f64 = 0.8;

/// The shortest run time that is predicted, in milliseconds.
const MIN_RUN_MS: f64 = 1.0;

/// The longest run time that is told apart from longer ones. Sums over all tasks of a job do not overflow.
pub const MAX_RUN_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// A regression of run times on client time-outs, both in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimeModel {
    jobs: u32,
    weight: f64,
    mean_timeout: f64,
    mean_run: f64,
    variance: f64,
    covariance: f64,
    /// Mean errors of the regression and of the baseline, in doublings.
    line_error: f64,
    baseline_error: f64,
}

impl RunTimeModel {
    /// The run time that the regression predicts, if its predictions have been better than the
    /// baseline.
    pub fn predict(&self, client_timeout: Duration) -> Option<Duration> {
        let is_better =
            self.jobs >= MIN_JOBS && self.line_error < self.baseline_error * MAX_ERROR_RATIO;
        let predicted = is_better.then(|| self.line(client_timeout)).flatten()?;
        Some(Duration::try_from_secs_f64(predicted / 1000.0).unwrap_or(MAX_RUN_TIME))
    }

    fn line(&self, client_timeout: Duration) -> Option<f64> {
        if self.variance <= f64::EPSILON {
            return None;
        }
        let slope = self.covariance / self.variance;
        let offset = client_timeout.as_secs_f64() * 1000.0 - self.mean_timeout;
        Some((self.mean_run + slope * offset).max(MIN_RUN_MS))
    }

    /// Adds a job whose longest task took `run`; `baseline` is the estimate without the regression.
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
