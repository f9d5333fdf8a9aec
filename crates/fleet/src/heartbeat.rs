//! Intervals of the envelopes between two VMs, and the time-outs that follow from them.
//!
//! With the same interval for all pairs of VMs, envelopes would use up the processor time of every
//! VM in a fleet of some dozens. The intervals therefore grow with the number of peers and bound
//! the envelopes that a VM sends per second. To the peers that run its tasks, a VM keeps the short
//! interval: a client whose VM is lost sends its job again after little more than a second, and by
//! then the earlier runs must have been stopped.
//!
//! Each envelope advertises the longest time until the next one, from which the receiver derives
//! its time-outs. A longer interval is used only once the receiver has acknowledged it. Where the
//! intervals are long, a lost peer is detected by missing acknowledgements: unacknowledged
//! envelopes are repeated at the short interval.

use std::time::Duration;

/// Intervals between envelopes, and the margins of the time-outs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatSettings {
    /// The longest time between envelopes to a peer of a small fleet.
    pub base_interval: Duration,
    /// Added to the interval for each peer of the same availability zone: limits the envelopes to
    /// these peers to 67 per second.
    pub same_zone_step: Duration,
    /// Added to the interval for each peer of another availability zone: limits the envelopes to
    /// these peers to 34 per second.
    pub other_zone_step: Duration,
    /// The longest time between envelopes to a peer of a small fleet while tasks wait.
    pub demand_interval: Duration,
    /// The shortest time between two envelopes that only report waiting tasks, for each pair of VMs
    /// of one availability zone: bounds the processor time for them.
    pub same_zone_spacing: Duration,
    /// Like `same_zone_spacing`, between VMs of different availability zones, for each pair of VMs
    /// of the fleet.
    pub other_zone_spacing: Duration,
    /// With a longer spacing than this, waiting tasks are reported with the regular envelopes only:
    /// the report would come too late for the shortest tasks.
    pub max_demand_spacing: Duration,
    /// How much longer than one interval a peer may be silent before it gets no more work: a delay
    /// of two short intervals.
    pub silent_margin: Duration,
    /// How much longer than two intervals a peer may be silent before it is marked lost.
    pub lost_margin: Duration,
}

impl Default for HeartbeatSettings {
    fn default() -> Self {
        Self {
            base_interval: Duration::from_millis(150),
            same_zone_step: Duration::from_millis(15),
            other_zone_step: Duration::from_millis(30),
            demand_interval: Duration::from_millis(25),
            same_zone_spacing: Duration::from_micros(1000),
            other_zone_spacing: Duration::from_micros(150),
            max_demand_spacing: Duration::from_millis(100),
            silent_margin: Duration::from_millis(300),
            lost_margin: Duration::from_millis(600),
        }
    }
}

impl HeartbeatSettings {
    /// The silence after which a peer that sends an envelope every `interval` gets no more work.
    pub fn silent_after(&self, interval: Duration) -> Duration {
        interval + self.silent_margin
    }

    /// The silence after which a peer that sends an envelope every `interval` is marked lost.
    pub fn lost_after(&self, interval: Duration) -> Duration {
        interval * 2 + self.lost_margin
    }

    /// How long ago a peer that sends an envelope every `interval` may have heard this VM before it
    /// is marked lost: the peer names a message with its next envelope.
    pub fn unheard_after(&self, interval: Duration) -> Duration {
        self.lost_after(interval) + interval
    }
}

/// Whether a peer is in the same availability zone as this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerLocality {
    /// In the same availability zone.
    SameZone,
    /// In another availability zone.
    OtherZone,
}

/// The number of live peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// Peers in the same availability zone.
    pub same_zone: u32,
    /// Peers in other availability zones.
    pub other_zone: u32,
}

impl PeerCounts {
    /// Counts a peer.
    pub fn add(&mut self, locality: PeerLocality) {
        match locality {
            PeerLocality::SameZone => self.same_zone += 1,
            PeerLocality::OtherZone => self.other_zone += 1,
        }
    }
}

/// The intervals of one link.
#[derive(Clone, Debug)]
pub struct HeartbeatPacing {
    settings: HeartbeatSettings,
    locality: PeerLocality,
    /// The interval that fits the state of the link.
    planned: Duration,
    /// The interval in the latest envelope.
    advertised: Duration,
    /// The interval that the peer has acknowledged.
    acknowledged: Duration,
    /// The interval that the peer has advertised.
    peer_interval: Duration,
}

impl HeartbeatPacing {
    /// Starts with the intervals of a small fleet.
    pub fn new(settings: HeartbeatSettings, locality: PeerLocality) -> Self {
        let interval = settings.base_interval;
        Self {
            settings,
            locality,
            planned: interval,
            advertised: interval,
            acknowledged: interval,
            peer_interval: interval,
        }
    }

    /// Whether the peer is in the same availability zone.
    pub fn locality(&self) -> PeerLocality {
        self.locality
    }

    /// Plans the interval for a fleet of this size; `is_holder` if the peer runs tasks for this VM.
    /// Intervals grow by doubling, so that they change rarely.
    pub fn plan_interval(&mut self, counts: PeerCounts, is_holder: bool) {
        self.planned = self.settings.base_interval;
        if is_holder {
            return;
        }
        let wanted = match self.locality {
            PeerLocality::SameZone => self.settings.same_zone_step * counts.same_zone,
            PeerLocality::OtherZone => self.settings.other_zone_step * counts.other_zone,
        };
        while self.planned < wanted {
            self.planned *= 2;
        }
    }

    /// Plans the short interval, because the peer is asked to run tasks.
    pub fn use_base_interval(&mut self) {
        self.planned = self.settings.base_interval;
    }

    /// The longest time between two envelopes to the peer.
    pub fn own_interval(&self) -> Duration {
        self.planned.min(self.acknowledged)
    }

    /// The interval to advertise in the next envelope, which the caller must send.
    pub fn advertise(&mut self) -> Duration {
        self.advertised = self.planned;
        self.advertised
    }

    /// Records that the peer has acknowledged the latest envelope.
    pub fn record_ack(&mut self) {
        self.acknowledged = self.advertised;
    }

    /// Records that the latest envelope was not acknowledged; the peer may have received it.
    pub fn record_missing_ack(&mut self) {
        self.acknowledged = self.acknowledged.min(self.advertised);
    }

    /// Records the interval that the peer has advertised. Returns whether it is shorter than before.
    pub fn record_peer_interval(&mut self, peer_interval: Duration) -> bool {
        let interval = peer_interval.max(self.settings.base_interval);
        let former = std::mem::replace(&mut self.peer_interval, interval);
        interval < former
    }

    /// Resets what is known of the peer, because another process runs there.
    pub fn reset_peer(&mut self) {
        self.peer_interval = self.settings.base_interval;
        self.advertised = self.settings.base_interval;
        self.acknowledged = self.settings.base_interval;
    }

    /// The time between two envelopes that only report waiting tasks; `urgent` if one of the tasks
    /// is more urgent than those that the peer knows of.
    pub fn demand_spacing(&self, counts: PeerCounts, urgent: bool) -> Duration {
        let spacing = match self.locality {
            PeerLocality::SameZone => {
                self.settings.same_zone_spacing * counts.same_zone.saturating_pow(2)
            }
            PeerLocality::OtherZone => {
                let all = counts.same_zone + counts.other_zone;
                self.settings.other_zone_spacing * all.saturating_pow(2)
            }
        };
        if spacing > self.settings.max_demand_spacing {
            return self.own_interval();
        }
        match urgent {
            true => spacing,
            false => spacing.max(self.settings.demand_interval),
        }
    }

    /// The silence after which the peer gets no more work.
    pub fn silent_after(&self) -> Duration {
        self.settings.silent_after(self.peer_interval)
    }

    /// How long ago the peer may have heard this VM before it is marked lost.
    pub fn unheard_after(&self) -> Duration {
        self.settings.unheard_after(self.peer_interval)
    }

    /// The silence after which the peer is marked lost.
    pub fn lost_after(&self) -> Duration {
        self.settings.lost_after(self.peer_interval)
    }

    /// The time without any acknowledgement, with envelopes at the short interval, after which the
    /// peer is marked lost.
    pub fn unacked_limit(&self) -> Duration {
        self.settings.lost_after(self.settings.base_interval)
    }
}
