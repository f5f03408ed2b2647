use base::{ClockTime, DomainName, IncarnationNumber, TargetName, TimeSpan};
use schema::member::{TargetDrain, TargetRecord};

use super::{MemberAction, MemberTable, ObservationSource, TargetObservation};
use crate::gossip::RumorKey;
use crate::{TargetState, merge_targets, target_state};

/// Time between two looks for recoveries that are old enough to be forgotten.
const EXPIRY_PERIOD: TimeSpan = TimeSpan::from_secs(5);

impl MemberTable {
    /// Restricts the known targets to those of the accepted declaration.
    pub fn on_declared_targets(&mut self, now: ClockTime, targets: &[TargetName]) {
        let mut known = targets.to_vec();
        known.sort_unstable();
        for view in self.view.domains_mut() {
            view.retain_targets(&known);
        }
        self.known_targets = Some(known);
        self.digest_changed = now;
    }

    /// Takes an observation of a target and spreads what it changes.
    ///
    /// An older run is ignored, a drain is never taken back within a run, and the platform's
    /// lagging list overrides neither the target's own answer nor a drain.
    pub fn on_target_observed(
        &mut self,
        now: ClockTime,
        observation: &TargetObservation,
        actions: &mut Vec<MemberAction>,
    ) {
        if !self.may_hold(&observation.domain, &observation.target, observation.state) {
            return;
        }
        let view = self.view.domain(&observation.domain);
        let held = view.and_then(|view| view.target(&observation.target));
        let next = match held {
            Some(held) => {
                let fresh = now - held.run_since < self.settings.platform_lag;
                observe_again(&held.record, observation, fresh)
            }
            None => Some(observe_first(observation)),
        };
        if let Some(record) = next {
            self.set_target(now, record, true, actions);
        }
    }

    /// Takes a record from a message; `spread` passes it on as a rumour.
    pub(super) fn apply_target(
        &mut self,
        now: ClockTime,
        record: &TargetRecord,
        spread: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        if !self.may_hold(&record.domain, &record.target, target_state(record)) {
            return;
        }
        let view = self.view.domain(&record.domain);
        let held = view.and_then(|view| view.target(&record.target));
        let next = match held {
            Some(held) => join_targets(&held.record, record),
            None => record.clone(),
        };
        self.set_target(now, next, spread, actions);
    }

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
        let shown = before.map(|held| (held.incarnation, target_state(held)));
        view.set_target(now, record.clone());
        self.digest_changed = now;
        let TargetRecord {
            target,
            domain,
            incarnation,
            ..
        } = record;
        if spread {
            self.rumors
                .push(RumorKey::Target(domain.clone(), target.clone()));
            self.push_wanted |= state != TargetState::Alive;
        }
        if shown != Some((incarnation, state)) {
            actions.push(MemberAction::TargetChanged {
                target,
                domain,
                incarnation,
                state,
            });
        }
    }

    /// Forgets recoveries that every domain had time to learn of.
    pub(super) fn expire_targets(&mut self, now: ClockTime) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now + EXPIRY_PERIOD;
        let own = self.settings.domain.clone();
        for view in self.view.domains_mut() {
            let local = *view.name() == own;
            view.expire_targets(now, local);
        }
    }

    /// Whether a target is declared, fits, and is of use: of other domains' targets only those
    /// are held that are or were in trouble.
    fn may_hold(&self, domain: &DomainName, target: &TargetName, state: TargetState) -> bool {
        let Some(view) = self.view.domain(domain) else {
            return false;
        };
        let known = self.known_targets.as_ref();
        if known.is_some_and(|names| names.binary_search(target).is_err()) {
            return false;
        }
        if view.target(target).is_some() {
            return true;
        }
        let useful = state != TargetState::Alive || *domain == self.settings.domain;
        useful && view.target_count() < self.settings.target_limit
    }
}

/// Joins records, where a drain of a run that is not known holds for the run that is.
fn join_targets(held: &TargetRecord, record: &TargetRecord) -> TargetRecord {
    let mut joined = merge_targets(held, record);
    if held.incarnation.0 == 0 || record.incarnation.0 == 0 {
        joined.drain = held.drain.max(record.drain);
    }
    joined
}

fn observe_first(observation: &TargetObservation) -> TargetRecord {
    let incarnation = observation.incarnation;
    TargetRecord {
        target: observation.target.clone(),
        domain: observation.domain.clone(),
        incarnation: incarnation.unwrap_or(IncarnationNumber(0)),
        drain: drain_of(observation.state),
        version: 0,
        dead: observation.state == TargetState::Dead,
    }
}

/// Returns the record after an observation; `fresh` runs are younger than the platform's lag.
fn observe_again(
    held: &TargetRecord,
    observation: &TargetObservation,
    fresh: bool,
) -> Option<TargetRecord> {
    let seen = observation.incarnation.unwrap_or(held.incarnation);
    if seen < held.incarnation {
        return None;
    }
    if seen > held.incarnation {
        return Some(join_targets(held, &observe_first(observation)));
    }
    let platform = observation.source == ObservationSource::Platform;
    let unsure = platform && observation.incarnation.is_none() && held.incarnation.0 != 0;
    if unsure && fresh {
        return None;
    }
    let dead = observation.state == TargetState::Dead;
    let drain = held.drain.max(drain_of(observation.state));
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

fn drain_of(state: TargetState) -> TargetDrain {
    match state {
        TargetState::Alive | TargetState::Dead => TargetDrain::Open,
        TargetState::Leaving => TargetDrain::Leaving,
        TargetState::Reclaimed => TargetDrain::Reclaimed,
    }
}
