use base::{ClockTime, DomainName, IncarnationNumber, TargetName, TimeSpan};
use schema::member::{TargetDrain, TargetRecord};

use super::{MemberAction, MemberTable, ObservationSource, TargetObservation};
use crate::gossip::RumorKey;
use crate::{TargetState, merge_targets, target_state};

/// Time between two checks for recovered targets whose notice to other domains is over.
const EXPIRY_INTERVAL: TimeSpan = TimeSpan::from_secs(5);

impl MemberTable {
    /// Sets the targets of the accepted declaration; others are removed and not accepted any more.
    pub fn on_declared_targets(&mut self, now: ClockTime, targets: &[TargetName]) {
        let mut known = targets.to_vec();
        known.sort_unstable();
        for view in self.view.domains_mut() {
            view.retain_targets(&known);
        }
        self.declared_targets = Some(known);
        self.view_changed_at = now;
    }

    /// Applies an observation of a target and spreads the change.
    ///
    /// An observation of an older run is ignored, a drain is never taken back within a run, and the
    /// platform's list, which may be out of date, overrides neither the target's own answer nor a
    /// drain.
    pub fn on_target_observed(
        &mut self,
        now: ClockTime,
        observation: &TargetObservation,
        actions: &mut Vec<MemberAction>,
    ) {
        if !self.accepts_target(&observation.domain, &observation.target, observation.state) {
            return;
        }
        let view = self.view.domain(&observation.domain);
        let held = view.and_then(|view| view.target(&observation.target));
        let next = match held {
            Some(held) => {
                let is_new_run = now - held.run_first_seen < self.settings.platform_lag;
                updated_record(&held.record, observation, is_new_run)
            }
            None => Some(first_record(observation)),
        };
        if let Some(record) = next {
            self.set_target(now, record, true, actions);
        }
    }

    /// Merges a target record from a message; `spread` passes it on as a rumour.
    pub(super) fn apply_target(
        &mut self,
        now: ClockTime,
        record: &TargetRecord,
        spread: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        if !self.accepts_target(&record.domain, &record.target, target_state(record)) {
            return;
        }
        let view = self.view.domain(&record.domain);
        let held = view.and_then(|view| view.target(&record.target));
        let next = match held {
            Some(held) => merge_with_unknown_run(&held.record, record),
            None => record.clone(),
        };
        self.set_target(now, next, spread, actions);
    }

    /// Stores a target record if it changed, and reports a change of the run or state.
    fn set_target(
        &mut self,
        now: ClockTime,
        record: TargetRecord,
        spread: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(view) = self.view.domain_mut(&record.domain) else {
            return;
        };
        let before = view.target(&record.target).map(|held| &held.record);
        if before == Some(&record) {
            return;
        }
        let state = target_state(&record);
        let reported = before.map(|held| (held.incarnation, target_state(held)));
        view.set_target(now, record.clone());
        self.view_changed_at = now;
        let TargetRecord {
            target,
            domain,
            incarnation,
            ..
        } = record;
        if spread {
            self.rumors
                .push(RumorKey::Target(domain.clone(), target.clone()));
            self.push_pending |= state != TargetState::Alive;
        }
        if reported != Some((incarnation, state)) {
            actions.push(MemberAction::TargetChanged {
                target,
                domain,
                incarnation,
                state,
            });
        }
    }

    /// Periodically ends the notices of recoveries that other domains had time to learn of.
    pub(super) fn expire_targets(&mut self, now: ClockTime) {
        if now < self.next_target_expiry {
            return;
        }
        self.next_target_expiry = now + EXPIRY_INTERVAL;
        let own = self.settings.domain.clone();
        for view in self.view.domains_mut() {
            let local = *view.name() == own;
            view.expire_targets(now, local);
        }
    }

    /// Whether a record of a target may be held: it must be declared and within the limit. An
    /// unknown target of another domain is only held if it accepts no new work.
    fn accepts_target(&self, domain: &DomainName, target: &TargetName, state: TargetState) -> bool {
        let Some(view) = self.view.domain(domain) else {
            return false;
        };
        let known = self.declared_targets.as_ref();
        if known.is_some_and(|names| names.binary_search(target).is_err()) {
            return false;
        }
        if view.target(target).is_some() {
            return true;
        }
        let relevant = state != TargetState::Alive || *domain == self.settings.domain;
        relevant && view.target_count() < self.settings.max_targets_per_domain
    }
}

/// Merges two records of a target. If the run of one is unknown, its drain also applies to the run
/// of the other.
fn merge_with_unknown_run(held: &TargetRecord, record: &TargetRecord) -> TargetRecord {
    let mut joined = merge_targets(held, record);
    if held.incarnation.0 == 0 || record.incarnation.0 == 0 {
        joined.drain = held.drain.max(record.drain);
    }
    joined
}

/// Record of a target that was not known before.
fn first_record(observation: &TargetObservation) -> TargetRecord {
    let incarnation = observation.incarnation;
    TargetRecord {
        target: observation.target.clone(),
        domain: observation.domain.clone(),
        incarnation: incarnation.unwrap_or(IncarnationNumber(0)),
        drain: drain_for(observation.state),
        version: 0,
        dead: observation.state == TargetState::Dead,
    }
}

/// Returns the record after an observation, or `None` if the observation is to be ignored.
/// `is_new_run` tells that the held run is younger than the platform's lag.
fn updated_record(
    held: &TargetRecord,
    observation: &TargetObservation,
    is_new_run: bool,
) -> Option<TargetRecord> {
    let observed = observation.incarnation.unwrap_or(held.incarnation);
    if observed < held.incarnation {
        return None;
    }
    if observed > held.incarnation {
        return Some(merge_with_unknown_run(held, &first_record(observation)));
    }
    let platform = observation.source == ObservationSource::Platform;
    let observed_run_unknown =
        platform && observation.incarnation.is_none() && held.incarnation.0 != 0;
    if observed_run_unknown && is_new_run {
        return None;
    }
    let dead = observation.state == TargetState::Dead;
    let drain = held.drain.max(drain_for(observation.state));
    if platform || dead == held.dead {
        return Some(TargetRecord {
            drain,
            ..held.clone()
        });
    }
    let version = held.version.saturating_add(1);
    Some(TargetRecord {
        drain,
        version,
        dead,
        ..held.clone()
    })
}

/// Drain that a state implies.
fn drain_for(state: TargetState) -> TargetDrain {
    match state {
        TargetState::Alive | TargetState::Dead => TargetDrain::Open,
        TargetState::Leaving => TargetDrain::Leaving,
        TargetState::Reclaimed => TargetDrain::Reclaimed,
    }
}
