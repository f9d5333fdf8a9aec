//! Partitions the slots and connections of an availability zone's targets among its entry VMs.
//!
//! Every VM computes the same partition from the same configuration and the same set of VMs, so the
//! VMs exchange no messages about it.

/// The position of this VM among the VMs that share a set of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharePosition {
    /// The index in the sorted list of VMs, below `vms`.
    pub position: u32,
    /// The number of VMs that share the targets. With zero, every VM has an empty share.
    pub vms: u32,
}

/// What one VM may use of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetShare {
    /// The number of slots.
    pub slots: u16,
    /// The part of `slots` that long attempts may use.
    pub long: u16,
    /// The number of connections.
    pub connections: u16,
}

/// The slots of a target that long attempts must leave free, so that they never block short ones.
const SHORT_RESERVE: u16 = 2;

/// Returns how many of a target's slots long attempts of all VMs may use.
///
/// The reserve for short attempts leaves at least one slot. Otherwise, long tasks of a kind that
/// only targets with one or two slots can run could never start.
pub fn long_slots(slots: u16) -> u16 {
    slots - short_reserve(slots)
}

fn short_reserve(slots: u16) -> u16 {
    SHORT_RESERVE.min(slots.saturating_sub(1))
}

/// Returns how many of a target's connections the VMs of other zones may use in total.
///
/// The limit of a quarter also leaves connections for checks, which open their own.
pub fn remote_connections(connections: u16) -> u16 {
    connections / 4
}

/// Computes one VM's shares of a zone's targets, in the order of the targets' names.
///
/// The remainder of each division is assigned round-robin, starting after the VM that received the
/// last unit of the previous target. The total slots of two VMs therefore differ by at most one.
#[derive(Clone, Debug)]
pub struct SharePartitioner {
    position: SharePosition,
    slots: PartitionCursor,
    reserve: PartitionCursor,
    connections: PartitionCursor,
}

impl SharePartitioner {
    /// Starts a partition from the point of view of the VM at `position`.
    pub fn new(position: SharePosition) -> Self {
        Self {
            position,
            slots: PartitionCursor::default(),
            reserve: PartitionCursor::default(),
            connections: PartitionCursor::default(),
        }
    }

    /// Returns the VM's share of the next target, which has `slots` and `connections` in total.
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

    /// Returns the VM's part of the slots reserved for short attempts.
    ///
    /// With fewer slots than VMs, only VMs that have a slot can contribute to the reserve.
    fn next_reserve(&mut self, slot_cursor: PartitionCursor, slots: u16) -> u16 {
        let reserve = short_reserve(slots);
        if u32::from(slots) < self.position.vms {
            let mut cursor = slot_cursor;
            return cursor.next_part(self.position, reserve);
        }
        self.reserve.next_part(self.position, reserve)
    }
}

/// The VM that receives the next unit of the round-robin assignment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PartitionCursor {
    next: u32,
}

impl PartitionCursor {
    /// Returns the part of `total` for the VM at `position`, whose number of VMs must not be zero.
    pub fn next_part(&mut self, position: SharePosition, total: u16) -> u16 {
        let SharePosition { position, vms } = position;
        let total = u32::from(total);
        let rank = (position + vms - self.next) % vms;
        self.next = (self.next + total) % vms;
        let share = total / vms + u32::from(rank < total % vms);
        u16::try_from(share).expect("a share is at most the total")
    }
}
