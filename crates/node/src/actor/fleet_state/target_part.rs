use std::sync::Arc;

use base::{ByteCount, ClockTime, DomainName, EventKind, IncarnationNumber, TargetName, TimeSpan};
use fleet::FleetDeclaration;
use member::{ObservationSource, TargetObservation, TargetState};
use sched::TargetInfo;

use super::ProbeResult;
use super::fleet_actor::FleetActor;
use super::fleet_message::TargetProbed;
use crate::{EngineHealth, TargetPhase, TargetView};

/// Least time between two probes of a target by its first-ranked prober.
const MIN_PROBE_PERIOD: TimeSpan = TimeSpan::new(500);
/// Least time between two probes for each target of a prober, which bounds the traffic of a node.
const PROBE_PERIOD_PER_TARGET: TimeSpan = TimeSpan::new(200);
/// Longest time between two probes by the first-ranked prober, so that a leaving target is noticed
/// within 3 seconds.
const MAX_PROBE_PERIOD: TimeSpan = TimeSpan::new(2_200);
/// Factor by which the probe period of the second-ranked prober is longer than that of the first.
const SECOND_PROBER_FACTOR: u64 = 3;
/// Failed probes in a row after which a target counts as down.
const PROBE_FAILURES: u32 = 2;

impl FleetActor {
    /// Sets the phase of a target of this node's domain from its state in the membership table.
    pub(super) fn on_target_state(
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
        self.update_target(target, |entry, now| entry.set_phase(phase, now));
    }

    /// Changes the state of a target in the view; `change` returns whether it changed anything.
    pub(super) fn update_target(
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
            self.record_event(kind, target.as_str());
        }
        self.health_sent_at.remove(target);
        self.parts.view.update(|view| view.targets[at] = entry);
        self.publish_targets();
    }

    /// Sends the targets, and whether they may get work, to the scheduling actor if they changed.
    pub(super) fn publish_targets(&mut self) {
        let view = self.parts.view.get();
        let infos: Vec<TargetInfo> = view
            .targets
            .iter()
            .map(|entry| TargetInfo {
                target: entry.target.clone(),
                domain: self.parts.identity.domain.clone(),
                usable: entry.phase == TargetPhase::Up,
                weight_bytes: weight_bytes_of(&view.fleet, entry),
            })
            .collect();
        if self.published_targets == infos {
            return;
        }
        self.published_targets.clone_from(&infos);
        self.parts.sched.set_targets(infos);
    }

    /// Starts the probes that are due.
    pub(super) fn probe_due_targets(&mut self) {
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
        let live = self.prober_table.live().len();
        let share = self.probes.len().div_ceil(live.max(1)) as u64;
        let period = (PROBE_PERIOD_PER_TARGET * share)
            .max(MIN_PROBE_PERIOD)
            .min(MAX_PROBE_PERIOD);
        for target in due {
            self.probe_if_assigned(target, now, period);
        }
    }

    /// Ranks the live nodes of the domain as probers of each target.
    pub(super) fn rank_probers(&mut self) {
        let live = self.membership.live_nodes(&self.parts.identity.domain);
        self.prober_table.set_live(live);
        self.prober_table.rank_all(self.probes.keys());
    }

    /// Schedules the next probe of a target and starts one now if this node is one of its probers.
    fn probe_if_assigned(&mut self, target: TargetName, now: ClockTime, period: TimeSpan) {
        let own = &self.parts.identity.node;
        let probers = self.prober_table.probers(&target);
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
                probe.due = now + period * SECOND_PROBER_FACTOR;
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
        let client = self.parts.probe.clone();
        let (kind, address) = (declared.kind, declared.address);
        let started = self.now();
        self.spawn_and_report(async move {
            let result = client.probe(target.clone(), kind, address).await;
            TargetProbed {
                target,
                started,
                result,
            }
        });
    }

    /// Handles the result of a probe. A refused connection marks the target as dead at once, failed
    /// probes only after `PROBE_FAILURES` in a row.
    pub(super) fn on_probe_result(&mut self, probed: TargetProbed) {
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
                (Some(health.incarnation), reported_state(health.leaving))
            }
            ProbeResult::Service {
                leaving,
                incarnation,
            } => (Some(*incarnation), reported_state(*leaving)),
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
            self.update_health(&target, &health);
            self.report_actual_state(&target, &health, started);
            self.queue_report(&target, &report, started);
            self.parts.sched.report_load(report);
        }
        self.observe_target(target, incarnation, state);
    }

    /// Reports the observed state of a target to the membership table and updates its phase.
    pub(super) fn observe_target(
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
        self.membership
            .on_target_observed(now, &observation, &mut actions);
        self.execute_member_actions(actions);
        // A first observation that agrees with the table causes no action there, but the phase in
        // the view may still be unknown.
        let domain = self.parts.identity.domain.clone();
        if let Some(known) = self.membership.target(&domain, &target) {
            self.on_target_state(&target, &domain, known.state);
        }
    }

    /// Stores the health of a target; a new incarnation means that the previous one has ended.
    pub(super) fn update_health(&mut self, target: &TargetName, health: &EngineHealth) {
        let previous = self.parts.view.get();
        let old = previous
            .target(target)
            .and_then(|entry| entry.health.as_ref());
        if let Some(old) = old
            && old.incarnation != health.incarnation
        {
            // The previous incarnation has ended, and with it the work that ran there.
            let died = Some(old.incarnation);
            self.parts.sched.report_failure(target.clone(), died);
        }
        self.update_target(target, |entry, now| {
            let changed = entry.health.as_ref() != Some(health);
            entry.observed_at = now;
            if changed {
                entry.health = Some(health.clone());
            }
            changed
        });
    }
}

fn reported_state(leaving: bool) -> TargetState {
    match leaving {
        true => TargetState::Leaving,
        false => TargetState::Alive,
    }
}

/// Sums the weights of the models that a target has loaded.
fn weight_bytes_of(fleet: &Option<Arc<FleetDeclaration>>, entry: &TargetView) -> ByteCount {
    let (Some(fleet), Some(health)) = (fleet, &entry.health) else {
        return ByteCount(0);
    };
    let sizes = health
        .loaded
        .iter()
        .filter_map(|loaded| fleet.model(&loaded.model));
    ByteCount(sizes.map(|model| model.weight_bytes.0).sum())
}
