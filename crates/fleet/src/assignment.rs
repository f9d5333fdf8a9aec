//! Which VM should hold which target.
//!
//! Every VM computes the same answer from the same lists. The targets of an availability zone go to
//! the VMs of that zone, because a cut between zones then separates no target from its holder; the
//! targets of a zone without VMs go to all others. Each target prefers the VMs in an order of its
//! own (rendezvous hashing), so that a VM that comes or goes moves few other targets, and a VM takes
//! no more than its share, which is as large as its part of the processor time.

use std::hash::Hasher;

use fnv::FnvHasher;

/// A VM that can hold targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderCandidate<'a> {
    /// The VM's name.
    pub vm: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// The processor time that it has, in thousandths of a core.
    pub processor: u32,
}

/// A target that needs a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignableTarget<'a> {
    /// The target's name.
    pub target: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
}

/// The position in `holders` of the VM that should hold each target, in the order of `targets`.
/// Nothing without holders.
pub fn assign_targets(
    holders: &[HolderCandidate<'_>],
    targets: &[AssignableTarget<'_>],
) -> Vec<Option<usize>> {
    let mut assigned = vec![None; targets.len()];
    let mut zones = targets.iter().map(|target| target.zone).collect::<Vec<_>>();
    zones.sort_unstable();
    zones.dedup();
    for zone in zones {
        let local = |holder: &HolderCandidate<'_>| holder.zone == zone;
        let any_local = holders.iter().any(local);
        let candidates = (0..holders.len())
            .filter(|&holder| !any_local || local(&holders[holder]))
            .collect::<Vec<_>>();
        if candidates.is_empty() {
            continue;
        }
        assign_zone(holders, &candidates, targets, zone, &mut assigned);
    }
    assigned
}

fn assign_zone(
    holders: &[HolderCandidate<'_>],
    candidates: &[usize],
    targets: &[AssignableTarget<'_>],
    zone: &str,
    assigned: &mut [Option<usize>],
) {
    let mut members = (0..targets.len())
        .filter(|&target| targets[target].zone == zone)
        .collect::<Vec<_>>();
    members.sort_unstable_by_key(|&target| targets[target].target);
    let shares = compute_quotas(holders, candidates, members.len());
    let mut loads = vec![0; holders.len()];
    for target in members {
        let name = targets[target].target;
        let open = candidates
            .iter()
            .copied()
            .filter(|&holder| loads[holder] < shares[holder]);
        let choice =
            open.max_by_key(|&holder| (rendezvous_score(holders[holder].vm, name), holder));
        if let Some(holder) = choice {
            loads[holder] += 1;
            assigned[target] = Some(holder);
        }
    }
}

/// How many of `count` targets each VM takes at the most; nothing for VMs that are no candidates.
fn compute_quotas(
    holders: &[HolderCandidate<'_>],
    candidates: &[usize],
    count: usize,
) -> Vec<usize> {
    let weight = |holder: usize| f64::from(holders[holder].processor.max(1));
    let total = candidates.iter().map(|&holder| weight(holder)).sum::<f64>();
    let mut shares = vec![0; holders.len()];
    for &holder in candidates {
        shares[holder] = (count as f64 * weight(holder) / total).ceil() as usize;
    }
    shares
}

/// How much a target prefers a VM.
fn rendezvous_score(vm: &str, target: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(vm.as_bytes());
    hasher.write_u8(0);
    hasher.write(target.as_bytes());
    mix(hasher.finish())
}

/// Spreads the hash of similar names over all bits (the finalizer of SplitMix64).
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
