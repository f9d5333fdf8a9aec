//! How often a VM sends envelopes to another one, and when the other one is missed.
//!
//! Answers fleets of many VMs. With the same interval for all pairs, envelopes would take the
//! processor time of every VM as soon as there are some dozens of them. The intervals grow with the
//! number of peers, so that a VM sends a bounded number of envelopes per second. A VM keeps the short
//! interval to those that run its tasks: a client whose VM is lost sends its job again after little
//! more than a second, and by then the earlier runs must have been stopped.
//!
//! Each envelope tells the longest time to the next one, and the receiver judges silence by that. A
//! longer interval is used only once the receiver has confirmed it. Where the intervals are long, a loss
//! is noticed by envelopes that get no receipt: they are repeated at the short interval.

use std::time::Duration;

/// Intervals between envelopes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatSettings {
    /// The longest time without an envelope to a peer of a small fleet.
    pub base_interval: Duration,
    /// What each peer of the same availability zone adds to the interval: bounds the envelopes to
    /// them to 67 per second.
    pub same_zone_step: Duration,
    /// What each peer of another availability zone adds to the interval: bounds the envelopes to
    /// them to 34 per second.
    pub other_zone_step: Duration,
    /// The longest time without an envelope to a peer of a small fleet while tasks wait.
    pub demand_interval: Duration,
    /// The least time between two envelopes that only tell of waiting tasks, for each pair of VMs of
    /// one availability zone: bounds the processor time for them.
    pub same_zone_spacing: Duration,
    /// The same for each pair of VMs of the fleet, between VMs of different availability zones.
    pub other_zone_spacing: Duration,
    /// Waiting tasks are told with the next regular envelope only if they could not be told more
    /// often than this: the shortest tasks are of no use much later.
    pub max_demand_spacing: Duration,
    /// How much longer than one interval a peer may be silent before it gets no work: a delay of two
    /// short intervals.
    pub silent_margin: Duration,
    /// How much longer than two intervals a peer may be silent before it is given up.
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
    /// The time without an envelope after which a peer that sends one every `beat` gets no work.
    pub fn silent_after(&self, beat: Duration) -> Duration {
        beat + self.silent_margin
    }

    /// The time without an envelope after which a peer that sends one every `beat` is given up.
    pub fn lost_after(&self, beat: Duration) -> Duration {
        beat * 2 + self.lost_margin
    }
}

/// Whether two VMs are in the same availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerLocality {
    /// In the same one.
    SameZone,
    /// In different ones.
    OtherZone,
}

/// How many other VMs are heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// In the same availability zone.
    pub same_zone: u32,
    /// In other availability zones.
    pub other_zone: u32,
}

impl PeerCounts {
    /// Counts a peer.
    pub fn add(&mut self, distance: PeerLocality) {
        match distance {
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
    /// What fits the state of the link.
    planned: Duration,
    /// What the latest envelope has told.
    advertised: Duration,
    /// What the peer has confirmed.
    acknowledged: Duration,
    /// What the peer has told.
    peer_interval: Duration,
}

impl HeartbeatPacing {
    /// The pace of a small fleet.
    pub fn new(settings: HeartbeatSettings, distance: PeerLocality) -> Self {
        let beat = settings.base_interval;
        Self {
            settings,
            locality: distance,
            planned: beat,
            advertised: beat,
            acknowledged: beat,
            peer_interval: beat,
        }
    }

    /// Where the peer is.
    pub fn locality(&self) -> PeerLocality {
        self.locality
    }

    /// Plans the interval for a fleet of some size; `engaged` if the peer runs tasks for this VM.
    /// Intervals double, so that the peer has to be told rarely.
    pub fn plan_interval(&mut self, counts: PeerCounts, engaged: bool) {
        self.planned = self.settings.base_interval;
        if engaged {
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

    /// Keeps the short interval from now on, because the peer is asked to run tasks.
    pub fn use_base_interval(&mut self) {
        self.planned = self.settings.base_interval;
    }

    /// The longest time between two envelopes to the peer.
    pub fn own_interval(&self) -> Duration {
        self.planned.min(self.acknowledged)
    }

    /// What the next envelope tells. It must be sent.
    pub fn advertise(&mut self) -> Duration {
        self.advertised = self.planned;
        self.advertised
    }

    /// The peer has taken over the latest envelope.
    pub fn record_ack(&mut self) {
        self.acknowledged = self.advertised;
    }

    /// Whether the peer has taken over the latest envelope is not known.
    pub fn record_missing_ack(&mut self) {
        self.acknowledged = self.acknowledged.min(self.advertised);
    }

    /// Takes over the interval that the peer has told.
    pub fn record_peer_interval(&mut self, peer_beat: Duration) {
        self.peer_interval = peer_beat.max(self.settings.base_interval);
    }

    /// Another process runs at the other end.
    pub fn reset_peer(&mut self) {
        self.peer_interval = self.settings.base_interval;
        self.advertised = self.settings.base_interval;
        self.acknowledged = self.settings.base_interval;
    }

    /// The time between two envelopes that only tell of waiting tasks; `urgent` if a task is more
    /// urgent than those that the peer knows of.
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

    /// The time without an envelope after which the peer gets no work.
    pub fn silent_after(&self) -> Duration {
        self.settings.silent_after(self.peer_interval)
    }

    /// The time without an envelope after which the peer is given up.
    pub fn lost_after(&self) -> Duration {
        self.settings.lost_after(self.peer_interval)
    }

    /// The time without any receipt, with envelopes at the short interval, after which the peer is given
    /// up.
    pub fn unanswered_limit(&self) -> Duration {
        self.settings.lost_after(self.settings.base_interval)
    }

    /// The time without an envelope after which the peer has certainly given this VM up.
    pub fn peer_lost_after(&self) -> Duration {
        self.settings
            .lost_after(self.advertised.max(self.acknowledged))
    }
}
