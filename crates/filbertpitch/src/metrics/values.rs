//! The values of all metrics at one time.

use super::MetricName;

/// The values of all metrics at one time; counters count from the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MetricValues(Vec<(MetricName, u64)>);

impl MetricValues {
    /// Sets the value of a metric.
    pub fn set<N>(&mut self, name: MetricName, value: N)
    where
        N: TryInto<u64>,
    {
        // A value that does not fit is far beyond any that occurs.
        let value = value.try_into().unwrap_or(u64::MAX);
        self.0.push((name, value));
    }

    /// The value of a metric.
    pub fn get(&self, name: MetricName) -> Option<u64> {
        let found = self.0.iter().find(|(other, _)| *other == name);
        found.map(|(_, value)| *value)
    }

    /// All values in the order in which they were set.
    pub fn iter(&self) -> impl Iterator<Item = (MetricName, u64)> {
        self.0.iter().copied()
    }
}
