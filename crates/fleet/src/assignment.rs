//! Assignment of targets to the VMs that hold them.
//!
//! The assignment is a pure function of the lists of VMs and targets, so that all VMs compute the
//! same one. The targets of an availability zone are assigned to VMs of that zone, because a
//! network partition between zones then separates no target from its holder. Targets of a zone
//! without VMs are spread over all other VMs. Rendezvous hashing ranks the VMs for each target, so
//! that few other targets move when a VM joins or leaves. A quota in proportion to its processor
//! time limits the targets of each VM.

use std::hash::Hasher;

use fnv::FnvHasher;

/// A VM that can hold targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderCandidate<'a> {
    /// The VM's name.
    pub vm: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// The processor time available to it, in thousandths of a core.
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

/// For each of `targets`, the position in `holders` of the VM that should hold it; `None` if there
/// are no holders.
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

/// The most targets, out of `count`, that each VM may hold; 0 for VMs that are not among the
/// candidates.
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

/// The rank of a VM for a target; the highest one is preferred.
fn rendezvous_score(vm: &str, target: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(vm.as_bytes());
    hasher.write_u8(0);
    hasher.write(target.as_bytes());
    mix(hasher.finish())
}

/// Mixes all bits of the hash, since similar names have similar FNV hashes (the finalizer of
/// SplitMix64).
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
