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
pub struct PaceSettings {
    /// The longest time without an envelope to a peer of a small fleet.
    pub beat_interval: Duration,
    /// What each peer of the same availability zone adds to the interval: bounds the envelopes to
    /// them to 67 per second.
    pub near_share: Duration,
    /// What each peer of another availability zone adds to the interval: bounds the envelopes to
    /// them to 34 per second.
    pub far_share: Duration,
    /// The longest time without an envelope to a peer of a small fleet while tasks wait.
    pub demand_interval: Duration,
    /// The least time between two envelopes that only tell of waiting tasks, for each pair of VMs of
    /// one availability zone: bounds the processor time for them.
    pub near_spacing: Duration,
    /// The same for each pair of VMs of the fleet, between VMs of different availability zones.
    pub far_spacing: Duration,
    /// Waiting tasks are told with the next regular envelope only if they could not be told more
    /// often than this: the shortest tasks are of no use much later.
    pub spacing_limit: Duration,
    /// How much longer than one interval a peer may be silent before it gets no work: a delay of two
    /// short intervals.
    pub silent_slack: Duration,
    /// How much longer than two intervals a peer may be silent before it is given up.
    pub lost_slack: Duration,
}

impl Default for PaceSettings {
    fn default() -> Self {
        Self {
            beat_interval: Duration::from_millis(150),
            near_share: Duration::from_millis(15),
            far_share: Duration::from_millis(30),
            demand_interval: Duration::from_millis(25),
            near_spacing: Duration::from_micros(1000),
            far_spacing: Duration::from_micros(150),
            spacing_limit: Duration::from_millis(100),
            silent_slack: Duration::from_millis(300),
            lost_slack: Duration::from_millis(600),
        }
    }
}

impl PaceSettings {
    /// The time without an envelope after which a peer that sends one every `beat` gets no work.
    pub fn silent_after(&self, beat: Duration) -> Duration {
        beat + self.silent_slack
    }

    /// The time without an envelope after which a peer that sends one every `beat` is given up.
    pub fn lost_after(&self, beat: Duration) -> Duration {
        beat * 2 + self.lost_slack
    }
}

/// Whether two VMs are in the same availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerDistance {
    /// In the same one.
    Near,
    /// In different ones.
    Far,
}

/// How many other VMs are heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// In the same availability zone.
    pub near: u32,
    /// In other availability zones.
    pub far: u32,
}

impl PeerCounts {
    /// Counts a peer.
    pub fn add(&mut self, distance: PeerDistance) {
        match distance {
            PeerDistance::Near => self.near += 1,
            PeerDistance::Far => self.far += 1,
        }
    }
}

/// The intervals of one link.
#[derive(Clone, Debug)]
pub struct LinkPace {
    settings: PaceSettings,
    distance: PeerDistance,
    /// What fits the state of the link.
    planned: Duration,
    /// What the latest envelope has told.
    told: Duration,
    /// What the peer has confirmed.
    confirmed: Duration,
    /// What the peer has told.
    peer_beat: Duration,
}

impl LinkPace {
    /// The pace of a small fleet.
    pub fn new(settings: PaceSettings, distance: PeerDistance) -> Self {
        let beat = settings.beat_interval;
        Self {
            settings,
            distance,
            planned: beat,
            told: beat,
            confirmed: beat,
            peer_beat: beat,
        }
    }

    /// Where the peer is.
    pub fn distance(&self) -> PeerDistance {
        self.distance
    }

    /// Plans the interval for a fleet of some size; `engaged` if the peer runs tasks for this VM.
    /// Intervals double, so that the peer has to be told rarely.
    pub fn plan(&mut self, counts: PeerCounts, engaged: bool) {
        self.planned = self.settings.beat_interval;
        if engaged {
            return;
        }
        let wanted = match self.distance {
            PeerDistance::Near => self.settings.near_share * counts.near,
            PeerDistance::Far => self.settings.far_share * counts.far,
        };
        while self.planned < wanted {
            self.planned *= 2;
        }
    }

    /// Keeps the short interval from now on, because the peer is asked to run tasks.
    pub fn engage(&mut self) {
        self.planned = self.settings.beat_interval;
    }

    /// The longest time between two envelopes to the peer.
    pub fn own_beat(&self) -> Duration {
        self.planned.min(self.confirmed)
    }

    /// What the next envelope tells. It must be sent.
    pub fn tell(&mut self) -> Duration {
        self.told = self.planned;
        self.told
    }

    /// The peer has taken over the latest envelope.
    pub fn confirm(&mut self) {
        self.confirmed = self.told;
    }

    /// Whether the peer has taken over the latest envelope is not known.
    pub fn doubt(&mut self) {
        self.confirmed = self.confirmed.min(self.told);
    }

    /// Takes over the interval that the peer has told.
    pub fn learn(&mut self, peer_beat: Duration) {
        self.peer_beat = peer_beat.max(self.settings.beat_interval);
    }

    /// Another process runs at the other end.
    pub fn forget_peer(&mut self) {
        self.peer_beat = self.settings.beat_interval;
        self.told = self.settings.beat_interval;
        self.confirmed = self.settings.beat_interval;
    }

    /// The time between two envelopes that only tell of waiting tasks; `urgent` if a task is more
    /// urgent than those that the peer knows of.
    pub fn demand_spacing(&self, counts: PeerCounts, urgent: bool) -> Duration {
        let spacing = match self.distance {
            PeerDistance::Near => self.settings.near_spacing * counts.near.saturating_pow(2),
            PeerDistance::Far => {
                let all = counts.near + counts.far;
                self.settings.far_spacing * all.saturating_pow(2)
            }
        };
        if spacing > self.settings.spacing_limit {
            return self.own_beat();
        }
        match urgent {
            true => spacing,
            false => spacing.max(self.settings.demand_interval),
        }
    }

    /// The time without an envelope after which the peer gets no work.
    pub fn silent_after(&self) -> Duration {
        self.settings.silent_after(self.peer_beat)
    }

    /// The time without an envelope after which the peer is given up.
    pub fn lost_after(&self) -> Duration {
        self.settings.lost_after(self.peer_beat)
    }

    /// The time without any receipt, with envelopes at the short interval, after which the peer is given
    /// up.
    pub fn unanswered_limit(&self) -> Duration {
        self.settings.lost_after(self.settings.beat_interval)
    }

    /// The time without an envelope after which the peer has certainly given this VM up.
    pub fn missed_after(&self) -> Duration {
        self.settings.lost_after(self.told.max(self.confirmed))
    }
}
