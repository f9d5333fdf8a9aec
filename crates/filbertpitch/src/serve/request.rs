//! Checks on job requests that need no state.

use std::time::Duration;

use filbertpitch_config::spec::LimitSpec;
use filbertpitch_types::caller::{JOB_TASK_LIMIT, JobRequest};

/// The longest declared run time that is accepted: 1 day.
const DECLARED_LIMIT: Duration = Duration::from_secs(24 * 3600);

/// A job request that breaks a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestProblem {
    /// The field, as a path within the request.
    pub field: Box<str>,
    /// What is wrong with it.
    pub message: Box<str>,
}

impl std::fmt::Display for RequestProblem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.field, self.message)
    }
}

/// Checks a job request against the limits in force.
///
/// # Errors
/// The first field that breaks a rule.
pub fn check_request(request: &JobRequest, limits: &LimitSpec) -> Result<(), RequestProblem> {
    let problem = |field: &str, message: String| RequestProblem {
        field: field.into(),
        message: message.into(),
    };
    let limit = JOB_TASK_LIMIT.min(usize::from(limits.job_tasks));
    if request.tasks.is_empty() {
        return Err(problem("tasks", "a job needs at least one task".into()));
    }
    if request.tasks.len() > limit {
        let message = format!("{} tasks exceed the limit of {limit}", request.tasks.len());
        return Err(problem("tasks", message));
    }
    if request.deadline.is_zero() {
        return Err(problem("deadline", "it must be above zero".into()));
    }
    if request.deadline > limits.job_deadline {
        let message = format!(
            "it exceeds the limit of {} s",
            limits.job_deadline.as_secs()
        );
        return Err(problem("deadline", message));
    }
    for (index, task) in request.tasks.iter().enumerate() {
        let field = format!("tasks[{index}].declared");
        if task.declared.is_zero() {
            return Err(problem(&field, "it must be above zero".into()));
        }
        if task.declared > DECLARED_LIMIT {
            return Err(problem(&field, "it exceeds the limit of 24 h".into()));
        }
    }
    Ok(())
}
