//! Limits retries to a part of the starts, so that an outage does not multiply the load.

use std::collections::HashMap;

use crate::entity::ServiceIndex;

/// Retries allowed beyond the percentage. It covers the attempts that one VM loses when a rack of
/// eight targets fails at low load; larger losses are spread by the percentage.
const RETRY_BURST: u32 = 20;

/// Budget units per retry; one start earns as many units as the percentage.
const UNITS_PER_RETRY: u32 = 100;

/// Units that can be saved up.
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
    /// Sets the allowed retries as a percentage of first starts; zero allows none.
    pub fn configure(&mut self, service: ServiceIndex, percent: u8) {
        let full = ServiceBudget {
            percent,
            units: UNIT_LIMIT,
        };
        let budget = self.services.entry(service).or_insert(full);
        budget.percent = percent;
    }

    /// Counts the first start of a task. Retries earn nothing.
    pub fn record_start(&mut self, service: ServiceIndex) {
        if let Some(budget) = self.services.get_mut(&service) {
            budget.units = (budget.units + u32::from(budget.percent)).min(UNIT_LIMIT);
        }
    }

    /// Takes one retry from the budget, if there is one.
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

    /// How many retries the service could take now.
    pub fn available(&self, service: ServiceIndex) -> u32 {
        let budget = self
            .services
            .get(&service)
            .filter(|budget| budget.percent > 0);
        budget.map_or(0, |budget| budget.units / UNITS_PER_RETRY)
    }
}
