//! The exchange between two VMs over connections that break, repeat and delay.

use std::time::Duration;

use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_fleet::link::{LinkNews, LinkPhase, LinkSettings, PeerLink};
use filbertpitch_fleet::pace::{PaceSettings, PeerCounts, PeerDistance};
use filbertpitch_types::fleet::{
    CapacityReport, DemandReport, FleetMessage, HoldingReport, PeerEnvelope, PeerIdentity,
    PeerState, TaskTimeliness,
};
use filbertpitch_types::prelude::*;

const START: TimePoint = TimePoint(9_000_000);

/// The time without an envelope after which a peer of a small fleet is given up.
const LOST_AFTER: Duration = Duration::from_millis(900);

const ONE_PEER: PeerCounts = PeerCounts { near: 0, far: 1 };

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn identity(vm: &str, incarnation: u64) -> PeerIdentity {
    PeerIdentity {
        vm: vm.parse().unwrap(),
        incarnation: IncarnationId(incarnation),
        address: "127.0.0.1:7000".parse().unwrap(),
        zone: "north".parse().unwrap(),
        processor: MilliCores(250),
    }
}

fn link_to(peer: PeerIdentity) -> PeerLink {
    PeerLink::new(LinkSettings::default(), peer, PeerDistance::Far, START)
}

fn template(from: PeerIdentity, now: TimePoint) -> PeerEnvelope {
    PeerEnvelope {
        from,
        to: None,
        losses: 0,
        sent_at: now,
        heartbeat_interval_ms: 150,
        state: PeerState::Ready,
        config_version: None,
        first_message: 0,
        messages: Vec::new(),
        next_expected: 0,
        demand: DemandReport::default(),
        holdings_version: 1,
        holdings: Some(vec![HoldingReport {
            target: "target-1".parse().unwrap(),
            token: FencingToken(3),
        }]),
        capacities: vec![CapacityReport {
            free: ResourceVector::from((8000, 64, 0)),
            slowdown_percent: 100,
        }],
    }
}

fn message(number: u32) -> FleetMessage {
    FleetMessage::Decline(number)
}

/// Two VMs and the links between them.
struct Pair {
    a: PeerLink,
    b: PeerLink,
    a_process: u64,
    now: TimePoint,
}

impl Pair {
    fn new() -> Self {
        let link = |vm, process| link_to(identity(vm, process));
        let mut pair = Self {
            a: link("vm-b", 2),
            b: link("vm-a", 1),
            a_process: 1,
            now: START,
        };
        pair.deliver();
        pair.answer();
        pair
    }

    /// The next envelope of A.
    fn envelope(&mut self) -> PeerEnvelope {
        let template = template(identity("vm-a", self.a_process), self.now);
        self.a.fill(self.now, template)
    }

    fn take(&mut self, envelope: PeerEnvelope) -> LinkNews {
        self.b.receive(self.now, envelope, |_| TargetIndex::from(4))
    }

    /// Sends an envelope from A to B and confirms it.
    fn deliver(&mut self) -> LinkNews {
        let envelope = self.envelope();
        let news = self.take(envelope);
        let receipt = self.b.receipt(IncarnationId(2));
        self.a.confirmed(&receipt);
        news
    }

    /// Sends an envelope from B to A.
    fn answer(&mut self) {
        let template = template(identity("vm-b", 2), self.now);
        let envelope = self.b.fill(self.now, template);
        self.a.receive(self.now, envelope, |_| TargetIndex::from(4));
        let receipt = self.a.receipt(IncarnationId(self.a_process));
        self.b.confirmed(&receipt);
    }
}

/// Guards against a message that takes effect twice after its receipt was lost.
#[test]
fn a_message_is_delivered_once_in_order() {
    let mut pair = Pair::new();
    pair.a.push(message(1));
    let envelope = pair.envelope();
    assert_eq!(pair.take(envelope).messages, [message(1)]);
    // The receipt is lost.
    pair.a.failed();
    pair.a.push(message(2));
    assert_eq!(pair.deliver().messages, [message(2)]);
    assert_eq!(pair.deliver().messages, []);
}

/// Guards against a message that is lost with its connection.
#[test]
fn an_envelope_that_did_not_arrive_is_repeated() {
    let mut pair = Pair::new();
    pair.a.push(message(1));
    pair.envelope();
    pair.a.failed();
    assert!(pair.a.wants_envelope(pair.now, None, ONE_PEER));
    assert_eq!(pair.deliver().messages, [message(1)]);
    assert!(!pair.a.wants_envelope(pair.now, None, ONE_PEER));
}

/// Guards against a peer that is given work although it is silent, and against one that is given up
/// for a short silence.
#[test]
fn a_silent_peer_is_given_up_later() {
    let mut pair = Pair::new();
    let silent_after = pair.b.pace().silent_after();
    assert_eq!(silent_after, ms(450));
    assert!(!pair.b.judge(START + silent_after - ms(1), false));
    assert!(pair.b.is_live());
    assert!(!pair.b.judge(START + silent_after, false));
    assert_eq!(pair.b.phase(), LinkPhase::Silent);
    let lost_at = START + LOST_AFTER;
    assert!(!pair.b.judge(lost_at - ms(1), false));
    assert!(pair.b.judge(lost_at, false));
    assert!(!pair.b.judge(lost_at, false), "it is given up once");
    assert!(pair.b.holdings().is_empty());
    pair.now = lost_at + ms(10);
    let news = pair.deliver();
    assert!(news.appeared);
    assert_eq!(
        pair.b.holdings().len(),
        0,
        "the peer believes that its holdings are known"
    );
}

/// Guards against a process that has ended and still counts as alive.
#[test]
fn a_refused_connection_gives_the_peer_up_at_once() {
    let mut pair = Pair::new();
    assert!(pair.b.judge(START + ms(1), true));
    assert!(matches!(pair.b.phase(), LinkPhase::Lost { dead: true, .. }));
    assert!(!pair.b.is_suspect());
}

/// Guards against promises to a peer that has been given up, of which only one side knows.
#[test]
fn the_other_side_learns_of_a_loss() {
    let mut pair = Pair::new();
    pair.a.push(message(1));
    assert!(pair.a.judge(START + LOST_AFTER, false));
    pair.now = START + ms(1000);
    let news = pair.deliver();
    assert!(news.dropped);
    assert!(news.messages.is_empty(), "the message was dropped");
    pair.a.push(message(2));
    let news = pair.deliver();
    assert!(!news.dropped);
    assert_eq!(news.messages, [message(2)]);
}

/// Guards against messages of a former process that arrive after those of the new one.
#[test]
fn a_new_process_replaces_the_former_one() {
    let mut pair = Pair::new();
    pair.a.push(message(1));
    let late = pair.envelope();
    pair.a = link_to(identity("vm-b", 2));
    pair.a_process = 11;
    pair.a.push(message(5));
    let news = pair.deliver();
    assert!(news.dropped);
    assert_eq!(news.messages, [message(5)]);
    assert!(pair.b.is_former(late.from.incarnation));
    // The store may still list the former process.
    assert!(!pair.b.note_record(&identity("vm-a", 1), 1, pair.now));
}

fn silence(link: &mut PeerLink) -> TimePoint {
    let lost_at = START + LOST_AFTER;
    assert!(link.judge(lost_at, false));
    lost_at
}

/// Guards against an old record that ends the link to a process that lives (fault run, seed 10265).
#[test]
fn an_old_record_does_not_replace_a_process_that_was_heard() {
    let mut pair = Pair::new();
    let lost_at = silence(&mut pair.b);
    let earlier = identity("vm-a", 77);
    assert!(!pair.b.note_record(&earlier, 5, lost_at));
    assert!(!pair.b.note_record(&earlier, 5, lost_at + ms(500)));
    assert_eq!(pair.b.identity().incarnation, IncarnationId(1));
    // A record that is renewed is written by a process that lives.
    assert!(pair.b.note_record(&earlier, 6, lost_at + ms(1000)));
    assert_eq!(pair.b.identity().incarnation, IncarnationId(77));
}

/// Guards against two VMs that ignore each other forever, because one of them takes a wrong record
/// for newer than what it hears.
#[test]
fn a_process_that_speaks_is_believed_over_its_record() {
    let mut pair = Pair::new();
    let lost_at = silence(&mut pair.b);
    let other = identity("vm-a", 77);
    pair.b.note_record(&other, 5, lost_at);
    pair.b.note_record(&other, 6, lost_at);
    pair.now = lost_at + ms(500);
    assert!(!pair.b.is_former(IncarnationId(1)));
    assert!(pair.deliver().appeared);
    assert_eq!(pair.b.identity().incarnation, IncarnationId(1));
}

/// Guards against two VMs that ignore each other forever after an envelope of a process that has
/// ended arrives late (fault run, seed 10265).
#[test]
fn a_receipt_shows_which_process_runs() {
    let mut pair = Pair::new();
    let mut late = template(identity("vm-a", 77), START);
    late.sent_at = START;
    pair.take(late);
    assert_eq!(pair.b.identity().incarnation, IncarnationId(77));
    let receipt = pair.a.receipt(IncarnationId(1));
    // The receipt of an earlier envelope may be older than the new process.
    pair.now = START + ms(10);
    pair.b
        .fill(pair.now, template(identity("vm-b", 2), pair.now));
    assert!(pair.b.confirmed(&receipt));
    assert_eq!(pair.b.identity().incarnation, IncarnationId(1));
    assert!(pair.b.is_former(IncarnationId(77)));
    assert!(pair.deliver().appeared);
}

/// Guards against messages that count as repeated because their numbers began anew (fault run,
/// seed 10070).
#[test]
fn messages_to_a_process_that_is_known_again_arrive() {
    let mut pair = Pair::new();
    for number in 0..3 {
        pair.a.push(message(number));
        pair.deliver();
    }
    // A late envelope of a former process at the other end.
    let late = template(identity("vm-b", 77), START);
    pair.a.receive(pair.now, late, |_| TargetIndex::from(4));
    pair.now = START + ms(10);
    assert!(pair.deliver().messages.is_empty());
    assert_eq!(pair.a.identity().incarnation, IncarnationId(2));
    pair.a.push(message(9));
    assert_eq!(pair.deliver().messages, [message(9)]);
}

/// Guards against a request that is carried out twice because its receipt was lost and the link
/// returned to its sender.
#[test]
fn a_process_that_is_known_again_repeats_nothing() {
    let mut pair = Pair::new();
    pair.a.push(message(1));
    let envelope = pair.envelope();
    assert_eq!(pair.take(envelope).messages, [message(1)]);
    pair.a.failed();
    pair.take(template(identity("vm-a", 77), START));
    let receipt = pair.a.receipt(IncarnationId(1));
    pair.now = START + ms(10);
    pair.b
        .fill(pair.now, template(identity("vm-b", 2), pair.now));
    assert!(pair.b.confirmed(&receipt));
    assert!(pair.deliver().messages.is_empty());
    pair.a.push(message(2));
    assert_eq!(pair.deliver().messages, [message(2)]);
}

/// Guards against a restarted VM whose link falls back to its former process.
#[test]
fn a_receipt_of_an_earlier_envelope_does_not_bring_a_process_back() {
    let mut pair = Pair::new();
    pair.b
        .fill(pair.now, template(identity("vm-b", 2), pair.now));
    let receipt = pair.a.receipt(IncarnationId(1));
    pair.now = START + ms(10);
    pair.take(template(identity("vm-a", 77), pair.now));
    assert!(!pair.b.confirmed(&receipt));
    assert_eq!(pair.b.identity().incarnation, IncarnationId(77));
}

/// Guards against an envelope that was held up for a second and shows its sender as alive.
#[test]
fn an_old_envelope_does_not_show_that_its_sender_lives() {
    let mut pair = Pair::new();
    let held_up = pair.envelope();
    pair.now = START + ms(1000);
    assert!(pair.b.judge(pair.now, false));
    let news = pair.take(held_up);
    assert!(!news.appeared);
    assert!(!pair.b.is_live());
    assert!(pair.b.last_heard() <= START + ms(1));
}

/// Guards against room that is requested twice before the holder reports again.
#[test]
fn requested_room_is_not_free() {
    let mut pair = Pair::new();
    let holding = pair.a.holdings()[0];
    assert_eq!(pair.a.free_room(&holding).cpu, MilliCores(8000));
    pair.a.push(message(1));
    pair.a
        .note_request(holding.target, ResourceVector::from((6000, 10, 0)));
    assert_eq!(pair.a.free_room(&holding).cpu, MilliCores(2000));
    pair.deliver();
    assert_eq!(pair.a.free_room(&holding).cpu, MilliCores(2000));
    pair.answer();
    let holding = pair.a.holdings()[0];
    assert_eq!(
        pair.a.free_room(&holding).cpu,
        MilliCores(8000),
        "the report includes it"
    );
}

/// Guards against a takeover from a VM that lives but cannot be heard.
#[test]
fn marks_in_the_store_show_that_a_silent_vm_lives() {
    let mut pair = Pair::new();
    let lost_at = START + LOST_AFTER;
    let own = identity("vm-a", 1);
    pair.b.note_record(&own, 4, START);
    pair.b.judge(lost_at, false);
    assert!(
        !pair.b.is_alive_elsewhere(lost_at),
        "a first mark may be old"
    );
    pair.b.note_record(&own, 5, lost_at);
    assert!(pair.b.is_alive_elsewhere(lost_at + ms(100)));
    pair.b.note_record(&own, 5, lost_at + ms(1700));
    assert!(!pair.b.is_alive_elsewhere(lost_at + ms(1900)));
}

fn in_time(priority: u8) -> Option<(TaskTimeliness, u8)> {
    Some((TaskTimeliness::InTime, priority))
}

/// Guards against waiting tasks that holders learn of with the next beat only.
#[test]
fn waiting_tasks_are_reported_promptly() {
    let mut pair = Pair::new();
    const PEERS: PeerCounts = PeerCounts { near: 0, far: 6 };
    let settings = PaceSettings::default();
    assert!(!pair.a.wants_envelope(START + ms(20), None, PEERS));
    assert!(!pair.a.wants_envelope(START + ms(5), in_time(0), PEERS));
    assert!(pair.a.wants_envelope(START + ms(6), in_time(0), PEERS));
    let mut urgent = template(identity("vm-a", 1), START);
    urgent.demand.tasks = 1;
    pair.a.fill(START, urgent);
    pair.a.failed();
    assert!(
        !pair.a.wants_envelope(START + ms(7), in_time(0), PEERS),
        "that was told"
    );
    assert!(
        pair.a
            .wants_envelope(START + settings.demand_interval, in_time(0), PEERS)
    );
    assert!(
        pair.a
            .wants_envelope(START + settings.beat_interval, None, PEERS)
    );
}

/// Guards against reports whose number grows with the square of the number of VMs.
#[test]
fn a_large_fleet_reports_waiting_tasks_less_often() {
    let mut pair = Pair::new();
    pair.a.fill(START, template(identity("vm-a", 1), START));
    pair.a.failed();
    let counts = PeerCounts { near: 9, far: 21 };
    let due = START + PaceSettings::default().beat_interval;
    assert!(!pair.a.wants_envelope(due - ms(1), in_time(0), counts));
    assert!(pair.a.wants_envelope(due, in_time(0), counts));
}

/// Guards against a peer of a large fleet that is given up because it sends envelopes as rarely as it
/// has told, and against one that does so before it is certain that it was heard.
#[test]
fn a_longer_beat_counts_once_it_is_confirmed() {
    let mut pair = Pair::new();
    let counts = PeerCounts { near: 10, far: 17 };
    pair.a.pace_mut().plan(counts, false);
    pair.envelope();
    pair.a.failed();
    assert_eq!(pair.a.pace().own_beat(), ms(150), "it may not be known");
    pair.deliver();
    let told_at = pair.now;
    assert_eq!(pair.a.pace().own_beat(), ms(600));
    assert!(!pair.a.wants_envelope(told_at + ms(599), None, counts));
    assert!(pair.a.wants_envelope(told_at + ms(600), None, counts));
    assert!(!pair.b.judge(told_at + ms(899), false));
    assert!(pair.b.is_live());
    assert!(!pair.b.judge(told_at + ms(1799), false));
    assert!(pair.b.judge(told_at + ms(1800), false));
    assert_eq!(pair.a.pace().missed_after(), pair.b.pace().lost_after());
}

/// Guards against a lost home whose runs are stopped only when its client has sent the job again.
#[test]
fn a_vm_that_runs_tasks_for_another_misses_it_soon() {
    let mut pair = Pair::new();
    let counts = PeerCounts { near: 75, far: 225 };
    pair.a.pace_mut().plan(counts, false);
    pair.deliver();
    assert!(pair.b.pace().lost_after() > ms(5000));
    pair.a.pace_mut().engage();
    assert!(pair.a.wants_envelope(pair.now + ms(150), None, counts));
    pair.deliver();
    assert_eq!(pair.b.pace().lost_after(), LOST_AFTER);
    pair.a.pace_mut().plan(counts, true);
    assert_eq!(pair.a.pace().own_beat(), ms(150));
}

/// Guards against tasks that are sent to a peer that has just stopped answering.
#[test]
fn a_peer_without_a_receipt_gets_no_work() {
    let mut pair = Pair::new();
    assert!(pair.b.takes_work());
    pair.b.failed();
    assert!(pair.b.is_live() && !pair.b.takes_work());
    pair.deliver();
    assert!(pair.b.takes_work());
}

/// Guards against a new process that is judged by the beat of the former one.
#[test]
fn a_new_process_has_the_beat_of_a_small_fleet() {
    let mut pair = Pair::new();
    let counts = PeerCounts { near: 0, far: 100 };
    pair.a.pace_mut().plan(counts, false);
    pair.deliver();
    assert!(pair.b.pace().lost_after() > LOST_AFTER);
    pair.a = link_to(identity("vm-b", 2));
    pair.a_process = 11;
    pair.deliver();
    assert_eq!(pair.b.pace().lost_after(), LOST_AFTER);
}
