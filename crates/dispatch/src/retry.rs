//! Limits retries to a percentage of the first starts, so that an outage does not multiply the
//! load.

use std::collections::HashMap;

use crate::entity::ServiceIndex;

/// The largest number of saved retries. A service may use saved retries beyond the percentage; they
/// cover the attempts that one VM loses when a rack of eight targets fails at low load. The retries
/// of larger losses are spread over time by the percentage.
const RETRY_BURST: u32 = 20;

/// The budget units that a retry costs. A first start earns as many units as the percentage.
const UNITS_PER_RETRY: u32 = 100;

/// The largest number of units in a budget.
const UNIT_LIMIT: u32 = RETRY_BURST * UNITS_PER_RETRY;

#[derive(Clone, Copy, Debug)]
struct ServiceBudget {
    percent: u8,
    units: u32,
}

/// The retry budgets of all services.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    services: HashMap<ServiceIndex, ServiceBudget>,
}

impl RetryBudget {
    /// Sets the retries of a service as a percentage of its first starts; zero allows no retry. A
    /// new service starts with a full budget.
    pub fn configure(&mut self, service: ServiceIndex, percent: u8) {
        let full = ServiceBudget {
            percent,
            units: UNIT_LIMIT,
        };
        let budget = self.services.entry(service).or_insert(full);
        budget.percent = percent;
    }

    /// Records the first start of a task. Starts that are retries must not be recorded.
    pub fn record_start(&mut self, service: ServiceIndex) {
        if let Some(budget) = self.services.get_mut(&service) {
            budget.units = (budget.units + u32::from(budget.percent)).min(UNIT_LIMIT);
        }
    }

    /// Takes one retry from the budget. Returns whether a retry was available.
    pub fn try_retry(&mut self, service: ServiceIndex) -> bool {
        let Some(budget) = self.services.get_mut(&service) else {
            return false;
        };
        let allowed = budget.percent > 0 && budget.units >= UNITS_PER_RETRY;
        if allowed {
            budget.units -= UNITS_PER_RETRY;
        }
        allowed
    }

    /// The number of retries that the service may take now.
    pub fn available(&self, service: ServiceIndex) -> u32 {
        let budget = self
            .services
            .get(&service)
            .filter(|budget| budget.percent > 0);
        budget.map_or(0, |budget| budget.units / UNITS_PER_RETRY)
    }
}
