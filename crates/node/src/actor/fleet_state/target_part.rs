use std::sync::Arc;

use base::{ByteCount, ClockTime, DomainName, EventKind, IncarnationNumber, TargetName, TimeSpan};
use fleet::FleetDeclaration;
use member::{ObservationSource, TargetObservation, TargetState};
use sched::TargetInfo;

use super::ProbeResult;
use super::fleet_actor::FleetActor;
use super::fleet_message::TargetProbed;
use crate::{EngineHealth, TargetPhase, TargetView};

/// Least time between two probes of a target by its first prober.
const PROBE_PERIOD: TimeSpan = TimeSpan::new(500);
/// Time that each target of a prober adds to that period, which bounds the traffic of a node.
const PROBE_SHARE: TimeSpan = TimeSpan::new(200);
/// Longest time between two probes, so that a target that leaves is known within 3 seconds.
const PROBE_LIMIT: TimeSpan = TimeSpan::new(2_200);
/// Times that the second prober of a target waits longer than the first one.
const SECOND_FACTOR: u64 = 3;
/// Failed probes in a row after which a target counts as down.
const PROBE_FAILURES: u32 = 2;

impl FleetActor {
    pub(super) fn change_target(
        &mut self,
        target: &TargetName,
        domain: &DomainName,
        state: TargetState,
    ) {
        if *domain != self.parts.identity.domain {
            return;
        }
        let phase = match state {
            TargetState::Alive => TargetPhase::Up,
            TargetState::Leaving | TargetState::Reclaimed => TargetPhase::Leaving,
            TargetState::Dead => TargetPhase::Down,
        };
        self.edit_target(target, |entry, now| entry.set_phase(phase, now));
    }

    /// Changes the state of a target; `change` tells whether it made a difference.
    pub(super) fn edit_target(
        &mut self,
        target: &TargetName,
        change: impl FnOnce(&mut TargetView, ClockTime) -> bool,
    ) {
        let now = self.now();
        let view = self.parts.view.get();
        let found = view
            .targets
            .binary_search_by(|entry| entry.target.cmp(target));
        let Ok(at) = found else {
            return;
        };
        let mut entry = view.targets[at].clone();
        let before = entry.phase;
        if !change(&mut entry, now) {
            return;
        }
        if entry.phase != before {
            let kind = match entry.phase {
                TargetPhase::Up => EventKind::TargetUp,
                TargetPhase::Leaving => EventKind::TargetLeaving,
                TargetPhase::Down | TargetPhase::Unknown => EventKind::TargetDown,
            };
            self.note(kind, target.as_str());
        }
        self.told_health.remove(target);
        self.parts.view.edit(|view| view.targets[at] = entry);
        self.publish_targets();
    }

    /// Tells the policy which targets are there and whether they may get work.
    pub(super) fn publish_targets(&mut self) {
        let view = self.parts.view.get();
        let infos: Vec<TargetInfo> = view
            .targets
            .iter()
            .map(|entry| TargetInfo {
                target: entry.target.clone(),
                domain: self.parts.identity.domain.clone(),
                usable: entry.phase == TargetPhase::Up,
                weight_bytes: weight_of(&view.fleet, entry),
            })
            .collect();
        if self.published == infos {
            return;
        }
        self.published.clone_from(&infos);
        self.parts.sched.set_targets(infos);
    }

    pub(super) fn probe_targets(&mut self) {
        let now = self.now();
        let due: Vec<TargetName> = self
            .probes
            .iter()
            .filter(|(_, probe)| !probe.running && probe.due <= now)
            .map(|(name, _)| name.clone())
            .collect();
        if due.is_empty() {
            return;
        }
        self.rank_probers();
        let live = self.probers.live().len();
        let share = self.probes.len().div_ceil(live.max(1)) as u64;
        let period = (PROBE_SHARE * share).max(PROBE_PERIOD).min(PROBE_LIMIT);
        for target in due {
            self.probe_if_owner(target, now, period);
        }
    }

    /// Ranks the probers of the targets of the domain over the nodes that live now.
    pub(super) fn rank_probers(&mut self) {
        let live = self.member.live_nodes(&self.parts.identity.domain);
        self.probers.set_live(live);
        self.probers.rank_all(self.probes.keys());
    }

    fn probe_if_owner(&mut self, target: TargetName, now: ClockTime, period: TimeSpan) {
        let own = &self.parts.identity.node;
        let probers = self.probers.probers(&target);
        let rank = probers.iter().position(|name| name == own);
        let Some(probe) = self.probes.get_mut(&target) else {
            return;
        };
        match rank {
            None => probe.due = now + period,
            Some(0) => {
                probe.due = now + period;
                self.start_probe(target);
            }
            Some(_) => {
                probe.due = now + period * SECOND_FACTOR;
                self.start_probe(target);
            }
        }
    }

    pub(super) fn start_probe(&mut self, target: TargetName) {
        let view = self.parts.view.get();
        let Some(fleet) = &view.fleet else {
            return;
        };
        let Some(declared) = fleet.target(&target) else {
            return;
        };
        if let Some(probe) = self.probes.get_mut(&target) {
            probe.running = true;
        }
        let reader = self.parts.probe.clone();
        let (kind, address) = (declared.kind, declared.address);
        let started = self.now();
        self.spawn_for(async move {
            let result = reader.probe(target.clone(), kind, address).await;
            TargetProbed {
                target,
                started,
                result,
            }
        });
    }

    pub(super) fn take_probe(&mut self, probed: TargetProbed) {
        let TargetProbed {
            target,
            started,
            result,
        } = probed;
        let Some(probe) = self.probes.get_mut(&target) else {
            return;
        };
        probe.running = false;
        let (incarnation, state) = match &result {
            ProbeResult::Engine { health, .. } => {
                (Some(health.incarnation), phase_state(health.leaving))
            }
            ProbeResult::Service {
                leaving,
                incarnation,
            } => (Some(*incarnation), phase_state(*leaving)),
            ProbeResult::Refused => (None, TargetState::Dead),
            ProbeResult::Failed => {
                probe.failures += 1;
                if probe.failures < PROBE_FAILURES {
                    return;
                }
                (None, TargetState::Dead)
            }
        };
        if state != TargetState::Dead {
            probe.failures = 0;
        }
        if let ProbeResult::Engine { health, report } = result {
            self.take_health(&target, &health);
            self.observe_actual(&target, &health, started);
            self.queue_report(&target, &report, started);
            self.parts.sched.take_report(report);
        }
        self.observe(target, incarnation, state);
    }

    pub(super) fn observe(
        &mut self,
        target: TargetName,
        incarnation: Option<IncarnationNumber>,
        state: TargetState,
    ) {
        let now = self.now();
        let observation = TargetObservation {
            target: target.clone(),
            domain: self.parts.identity.domain.clone(),
            incarnation,
            state,
            source: ObservationSource::HealthCheck,
        };
        let mut actions = Vec::new();
        self.member
            .on_target_observed(now, &observation, &mut actions);
        self.carry_out_member(actions);
        // A first observation that agrees with the table changes nothing there.
        let domain = self.parts.identity.domain.clone();
        if let Some(known) = self.member.target(&domain, &target) {
            self.change_target(&target, &domain, known.state);
        }
    }

    pub(super) fn take_health(&mut self, target: &TargetName, health: &EngineHealth) {
        let previous = self.parts.view.get();
        let old = previous
            .target(target)
            .and_then(|entry| entry.health.as_ref());
        if let Some(old) = old
            && old.incarnation != health.incarnation
        {
            // The earlier run is gone, with whatever ran there.
            let died = Some(old.incarnation);
            self.parts.sched.note_failure(target.clone(), died);
        }
        self.edit_target(target, |entry, now| {
            let changed = entry.health.as_ref() != Some(health);
            entry.observed_at = now;
            if changed {
                entry.health = Some(health.clone());
            }
            changed
        });
    }
}

fn phase_state(leaving: bool) -> TargetState {
    match leaving {
        true => TargetState::Leaving,
        false => TargetState::Alive,
    }
}

fn weight_of(fleet: &Option<Arc<FleetDeclaration>>, entry: &TargetView) -> ByteCount {
    let (Some(fleet), Some(health)) = (fleet, &entry.health) else {
        return ByteCount(0);
    };
    let sizes = health
        .loaded
        .iter()
        .filter_map(|loaded| fleet.model(&loaded.model));
    ByteCount(sizes.map(|model| model.weight_bytes.0).sum())
}
