//! How the entry VMs of an availability zone divide its targets.
//!
//! Every VM computes the same division from the same configuration and list of VMs, so no message
//! is needed to agree on it.

/// The place of this VM among the VMs that divide a set of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharePosition {
    /// The index in the sorted list of VMs, below `vms`.
    pub position: u32,
    /// How many VMs divide the targets; zero gives every VM an empty share.
    pub vms: u32,
}

/// What one VM may use of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetShare {
    /// Slots.
    pub slots: u16,
    /// Slots that long attempts may use; included in `slots`.
    pub long: u16,
    /// Connections.
    pub connections: u16,
}

/// Slots that long attempts must leave free on a target, so that short work is never blocked.
const SHORT_RESERVE: u16 = 2;

/// The slots of a target that long attempts may use, over all VMs.
///
/// A target with one or two slots takes one long attempt; otherwise a kind that only small targets
/// can run could never run long.
pub fn long_slots(slots: u16) -> u16 {
    slots - short_reserve(slots)
}

fn short_reserve(slots: u16) -> u16 {
    SHORT_RESERVE.min(slots.saturating_sub(1))
}

/// The part of a target's connections that VMs of other zones may use, over all of them.
///
/// A quarter also leaves room for checks, which open connections of their own.
pub fn remote_connections(connections: u16) -> u16 {
    connections / 4
}

/// Deals the targets of a zone, in the order of their names, to the VMs.
///
/// The remainders of one target continue where those of the previous one ended, so the totals of
/// two VMs differ by at most one.
#[derive(Clone, Debug)]
pub struct SharePartitioner {
    position: SharePosition,
    slots: PartitionCursor,
    reserve: PartitionCursor,
    connections: PartitionCursor,
}

impl SharePartitioner {
    /// Starts a division for one VM.
    pub fn new(position: SharePosition) -> Self {
        Self {
            position,
            slots: PartitionCursor::default(),
            reserve: PartitionCursor::default(),
            connections: PartitionCursor::default(),
        }
    }

    /// The VM's share of the next target, which has `slots` and `connections` in all.
    pub fn next_share(&mut self, slots: u16, connections: u16) -> TargetShare {
        if self.position.vms == 0 {
            return TargetShare::default();
        }
        let slot_cursor = self.slots;
        let slot_share = self.slots.next_part(self.position, slots);
        let reserve = self.next_reserve(slot_cursor, slots);
        let local_connections = connections - remote_connections(connections);
        TargetShare {
            slots: slot_share,
            long: slot_share - reserve,
            connections: self.connections.next_part(self.position, local_connections),
        }
    }

    /// With fewer slots than VMs, the reserve must come from the VMs that have a slot.
    fn next_reserve(&mut self, slot_cursor: PartitionCursor, slots: u16) -> u16 {
        let reserve = short_reserve(slots);
        if u32::from(slots) < self.position.vms {
            let mut cursor = slot_cursor;
            return cursor.next_part(self.position, reserve);
        }
        self.reserve.next_part(self.position, reserve)
    }
}

/// Which VM is dealt the next unit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PartitionCursor {
    next: u32,
}

impl PartitionCursor {
    /// The part of `total` that falls to one VM; `position` must not be among zero VMs.
    pub fn next_part(&mut self, position: SharePosition, total: u16) -> u16 {
        let SharePosition { position, vms } = position;
        let total = u32::from(total);
        let rank = (position + vms - self.next) % vms;
        self.next = (self.next + total) % vms;
        let share = total / vms + u32::from(rank < total % vms);
        u16::try_from(share).expect("a share is at most the total")
    }
}
