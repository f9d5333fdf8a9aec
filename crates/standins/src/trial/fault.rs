//! How faults begin and end.

use std::time::Duration;

use rand::Rng;

use super::evidence::LeavingWindow;
use super::fault_plan::Victim;
use super::message::Party;
use super::network::{Direction, Place};
use super::settings::FaultClass;
use super::sim::{SimEvent, Simulation};
use super::world_setup::{ZONES, target_entry, target_name, vm_entry, vm_name};
use crate::target_model::TargetFault;
use crate::vm_model::VmChange;

impl Simulation {
    /// Begins a planned fault.
    pub fn begin_fault(&mut self, index: usize) {
        let fault = self.faults[index];
        self.note(format_args!("{} begins", fault.class));
        let victim = match fault.class {
            FaultClass::Kill => self.begin_kill(fault.end.since(fault.begin)),
            FaultClass::Drain => self.begin_drain(),
            FaultClass::Freeze => self.begin_freeze(fault.end.since(fault.begin)),
            FaultClass::ZoneCut | FaultClass::OneWayCut => self.begin_cut(fault.class),
            FaultClass::TargetCut => self.begin_target_cut(),
            FaultClass::PlatformCut => self.begin_platform_cut(),
            FaultClass::LogDown => {
                self.platform.log.set_outage(true);
                Victim::None
            }
            FaultClass::LogSlow => {
                self.platform.log.set_slow(true);
                Victim::None
            }
            FaultClass::LostAppend => {
                self.platform.log.set_lost_answer_probability(0.5);
                Victim::None
            }
            FaultClass::TargetFreeze => self.strike_target(TargetFault::Freeze),
            FaultClass::FailFast => self.strike_target(TargetFault::FailFast { enabled: true }),
            FaultClass::TargetRestart => self.strike_target(TargetFault::Die),
            FaultClass::Straggle => self.strike_target(TargetFault::Straggle { factor: 20 }),
            FaultClass::Silent => self.begin_silence(),
            FaultClass::Burst => {
                let count = self.rng.random_range(60..250);
                self.burst(count);
                Victim::None
            }
            FaultClass::CancelWave => {
                self.burst(60);
                let count = self.rng.random_range(10..80);
                self.cancel_recent(count);
                Victim::None
            }
            FaultClass::Resubmit => Victim::None,
            FaultClass::Tickets => {
                self.begin_tickets(fault.end);
                Victim::None
            }
            FaultClass::ListStale => self.begin_stale_list(),
            FaultClass::Leave => self.begin_leaving(),
            FaultClass::Loss => {
                self.network.loss = self.rng.random_range(0.005..0.08);
                Victim::None
            }
        };
        self.faults[index].victim = victim;
        self.queue.push(fault.end, SimEvent::FaultEnds(index));
    }

    /// Ends a planned fault.
    pub fn end_fault(&mut self, index: usize) {
        let fault = self.faults[index];
        self.note(format_args!("{} ends", fault.class));
        match (fault.class, fault.victim) {
            (FaultClass::Freeze, Victim::Vm(vm)) => {
                if self.vms[vm].frozen {
                    let pause = (vm, fault.begin, self.now);
                    self.evidence.pauses.push(pause);
                }
                self.thaw_vm(vm);
            }
            (FaultClass::ZoneCut, Victim::Zone(zone)) => {
                self.cut_zones(zone, false);
                self.cut_zones(1 - zone, false);
            }
            (FaultClass::OneWayCut, Victim::Zone(zone)) => self.cut_zones(zone, false),
            (FaultClass::TargetCut, Victim::Target(target)) => self.end_target_cut(target),
            (FaultClass::PlatformCut, Victim::Zone(zone)) => self.cut_platform(zone, false),
            (FaultClass::PlatformCut, Victim::Vm(vm)) => {
                self.network.isolate(Party::Vm(vm), false);
                self.release_stalled();
            }
            (FaultClass::LogDown, _) => self.platform.log.set_outage(false),
            (FaultClass::LogSlow, _) => self.platform.log.set_slow(false),
            (FaultClass::LostAppend, _) => self.platform.log.set_lost_answer_probability(0.0),
            (FaultClass::TargetFreeze, Victim::Target(target)) => {
                self.inject(target, TargetFault::Thaw);
            }
            (FaultClass::FailFast, Victim::Target(target)) => {
                self.inject(target, TargetFault::FailFast { enabled: false });
            }
            (FaultClass::TargetRestart, Victim::Target(target)) => {
                self.inject(target, TargetFault::Restart);
            }
            (FaultClass::Straggle, Victim::Target(target)) => {
                self.inject(target, TargetFault::Straggle { factor: 1 });
            }
            (FaultClass::ListStale, _) => {
                self.platform.list.set_outage(false);
                self.platform.list.set_lag(Duration::from_secs(1));
            }
            (FaultClass::Leave, Victim::Target(target)) => self.end_leaving(target),
            (FaultClass::Loss, _) => self.network.loss = 0.0,
            _ => {}
        }
    }

    /// Whether faults of these classes are present or ended less than `recovery` ago.
    pub fn is_disturbed(&self, classes: &[FaultClass], recovery: Duration) -> bool {
        self.faults.iter().any(|fault| {
            let concerns = classes.contains(&fault.class);
            concerns && fault.begin <= self.now && self.now.since(fault.end) < recovery
        })
    }

    fn draw_vm(&mut self) -> Option<usize> {
        let vms = self.ready_vms();
        // With the last VM of all, every request would only be refused.
        (vms.len() > 1).then(|| vms[self.rng.random_range(0..vms.len())])
    }

    fn begin_kill(&mut self, pause: Duration) -> Victim {
        let Some(vm) = self.draw_vm() else {
            return Victim::None;
        };
        self.kill_vm(vm);
        match self.rng.random_bool(0.5) {
            true => self.restart_in_place(vm, pause),
            false => self.replace_vm(vm, pause),
        }
        Victim::Vm(vm)
    }

    fn begin_drain(&mut self) -> Victim {
        let Some(vm) = self.draw_vm() else {
            return Victim::None;
        };
        self.note(format_args!("vm {vm} is to stop"));
        self.with_vm(vm, |process| process.begin_drain());
        let pause = Duration::from_millis(self.rng.random_range(100..8_000));
        self.replace_vm(vm, pause);
        Victim::Vm(vm)
    }

    fn begin_freeze(&mut self, length: Duration) -> Victim {
        let Some(vm) = self.draw_vm() else {
            return Victim::None;
        };
        self.freeze_vm(vm);
        // The platform gives up on a VM that does not react for long, although it may wake.
        if length > Duration::from_secs(50) && self.rng.random_bool(0.5) {
            self.replace_vm(vm, Duration::from_secs(5));
        }
        Victim::Vm(vm)
    }

    fn restart_in_place(&mut self, vm: usize, pause: Duration) {
        let (zone, address) = (self.vms[vm].zone, self.vms[vm].address);
        let event = SimEvent::StartVm { zone, address };
        self.queue.push(self.now + pause, event);
    }

    /// Takes a VM from the list and starts another one at a new address.
    fn replace_vm(&mut self, vm: usize, pause: Duration) {
        let (zone, old) = (self.vms[vm].zone, self.vms[vm].address);
        let address = self.new_vm_address(zone);
        self.change_list(VmChange::Remove(vm_name(old)));
        self.change_list(VmChange::Add(vm_entry(zone, address)));
        let event = SimEvent::StartVm { zone, address };
        self.queue.push(self.now + pause, event);
    }

    fn change_list(&mut self, change: VmChange) {
        self.platform.list.change(self.now, change);
    }

    fn begin_cut(&mut self, class: FaultClass) -> Victim {
        let zone = self.rng.random_range(0..ZONES);
        self.cut_zones(zone, true);
        if class == FaultClass::ZoneCut {
            self.cut_zones(1 - zone, true);
        }
        Victim::Zone(zone)
    }

    /// Cuts the messages from a zone to the other one.
    fn cut_zones(&mut self, from: usize, active: bool) {
        let (from, to) = (Place::Zone(from), Place::Zone(1 - from));
        self.network.cut(from, to, active);
        self.release_stalled();
    }

    fn begin_target_cut(&mut self) -> Victim {
        let target = self.rng.random_range(0..self.targets.len());
        let party = Party::Target(target);
        let directions = [Direction::Inbound, Direction::Outbound];
        let chosen = self.rng.random_range(0..3);
        for (index, direction) in directions.into_iter().enumerate() {
            // The third choice is both.
            if chosen == index || chosen == directions.len() {
                self.network.sever(party, direction, true);
                self.note(format_args!("target-{target} loses {direction:?}"));
            }
        }
        Victim::Target(target)
    }

    fn end_target_cut(&mut self, target: usize) {
        let party = Party::Target(target);
        self.network.sever(party, Direction::Inbound, false);
        self.network.sever(party, Direction::Outbound, false);
        self.release_stalled();
    }

    fn begin_platform_cut(&mut self) -> Victim {
        match self.draw_vm() {
            Some(vm) if self.rng.random_bool(0.5) => {
                self.network.isolate(Party::Vm(vm), true);
                Victim::Vm(vm)
            }
            _ => {
                let zone = self.rng.random_range(0..ZONES);
                self.cut_platform(zone, true);
                Victim::Zone(zone)
            }
        }
    }

    fn cut_platform(&mut self, zone: usize, active: bool) {
        let zone = Place::Zone(zone);
        self.network.cut(zone, Place::Platform, active);
        self.network.cut(Place::Platform, zone, active);
        self.release_stalled();
    }

    fn strike_target(&mut self, fault: TargetFault) -> Victim {
        let target = self.rng.random_range(0..self.targets.len());
        self.note(format_args!("target-{target} {fault:?}"));
        self.inject(target, fault);
        Victim::Target(target)
    }

    /// The present connections of one target, or between the VMs, carry nothing any more.
    fn begin_silence(&mut self) -> Victim {
        let target = self.rng.random_range(0..self.targets.len());
        let between_vms = self.rng.random_bool(0.3);
        let silenced = self.network.silence(|connection| match between_vms {
            true => matches!(
                (connection.pool.from, connection.host),
                (Party::Vm(_), Party::Vm(_))
            ),
            false => connection.host == Party::Target(target),
        });
        self.note(format_args!("{silenced} connections are silent"));
        Victim::None
    }

    fn begin_stale_list(&mut self) -> Victim {
        match self.rng.random_bool(0.5) {
            true => self.platform.list.set_outage(true),
            false => self.platform.list.set_lag(Duration::from_secs(15)),
        }
        Victim::None
    }

    fn begin_leaving(&mut self) -> Victim {
        let target = self.rng.random_range(0..self.targets.len());
        self.note(format_args!("target-{target} is leaving"));
        self.change_list(VmChange::MarkLeaving(target_name(target)));
        let from = self.platform.list.settled_at(self.now);
        self.evidence.leaving.push(LeavingWindow {
            target,
            from,
            until: self.end,
        });
        if self.rng.random_bool(0.5) {
            self.inject(target, TargetFault::Leave);
        }
        Victim::Target(target)
    }

    fn end_leaving(&mut self, target: usize) {
        self.inject(target, TargetFault::Stay);
        let now = self.now;
        self.change_list(VmChange::Add(target_entry(target)));
        // The list shows the target as live again, whatever made it leave.
        let windows = self.evidence.leaving.iter_mut();
        let open = windows.filter(|window| window.target == target && window.until > now);
        open.for_each(|window| window.until = now);
    }
}
