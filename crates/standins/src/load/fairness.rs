//! Fair shares between teams.

use std::time::Duration;

/// Jain's index of `values`: 1 if all are equal, 1 / n if one has everything.
pub fn jain_index(values: &[f64]) -> f64 {
    let sum = values.iter().sum::<f64>();
    let squares = values.iter().map(|value| value * value).sum::<f64>();
    match squares > 0.0 {
        true => sum * sum / (values.len() as f64 * squares),
        false => 1.0,
    }
}

/// Divides `capacity` so that no team gets more than it offers and the smallest share is as large
/// as possible (max-min fairness with equal weights).
pub fn fair_shares(offered: &[Duration], capacity: Duration) -> Vec<Duration> {
    let mut order = (0..offered.len()).collect::<Vec<_>>();
    order.sort_by_key(|&team| offered[team]);
    let mut shares = vec![Duration::ZERO; offered.len()];
    let mut left = capacity;
    for (position, &team) in order.iter().enumerate() {
        let waiting = (order.len() - position) as u32;
        shares[team] = offered[team].min(left / waiting);
        left -= shares[team];
    }
    shares
}
