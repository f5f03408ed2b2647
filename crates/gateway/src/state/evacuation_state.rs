use std::sync::Arc;

use base::{ClockTime, DomainName, EventKind, IncarnationNumber, TargetName, TimeSpan};
use entry::{CallFeatures, EvacuationChange, EvacuationRecord, TargetPhase};
use metrics::gauge;

use super::{CallTimes, GatewayCore, GatewayState, SendCheck};
use crate::{DecodeError, ViewArea, ViewDecoder};

/// Time after a node learnt of an evacuation within which it may still send what moves of
/// generations need: copies, resumes and releases.
///
/// Users allow 5 s from the write of the key; nodes learn of it within 2 s.
const MOVE_GRACE: TimeSpan = TimeSpan::from_secs(3);
/// Time before the end of that within which no generation is stopped any more: a stop takes 0.2 s
/// on average, and if the destination fails after it, the source has to be allowed to resume.
const STOP_MARGIN: TimeSpan = TimeSpan::from_secs(1);

/// What this node may still send to targets of evacuated failure domains.
impl GatewayState {
    /// Adopts what the copy of the configuration area says about evacuations; returns what changes,
    /// and the failures of items that can't be decoded.
    pub(super) fn read_evacuations(
        &mut self,
        now: ClockTime,
        codec: &dyn ViewDecoder,
    ) -> (Vec<EvacuationChange>, Vec<DecodeError>) {
        let Some(position) = self.view.config_items.position() else {
            return (Vec::new(), Vec::new());
        };
        let mut failures = Vec::new();
        let mut evacuated = Vec::new();
        for item in self.view.config_items.items() {
            match codec.read_evacuation(item) {
                Ok(Some(domain)) => evacuated.push((domain, item.revision)),
                Ok(None) => {}
                Err(failure) => failures.push(failure),
            }
        }
        let changes = self.evacuations.adopt_read(now, position, evacuated);
        self.apply_evacuations(now, &changes);
        (changes, failures)
    }

    /// Adopts the records of evacuations that a peer knows; returns what changes.
    pub fn adopt_evacuations(
        &mut self,
        now: ClockTime,
        records: Vec<EvacuationRecord>,
    ) -> Vec<EvacuationChange> {
        let records = records.into_iter();
        let changes = records.filter_map(|record| self.evacuations.adopt(now, record));
        let changes: Vec<_> = changes.collect();
        self.apply_evacuations(now, &changes);
        changes
    }

    /// Stops or resumes the use of the targets of domains, and schedules the moves of generations.
    fn apply_evacuations(&mut self, now: ClockTime, changes: &[EvacuationChange]) {
        if changes.is_empty() {
            return;
        }
        let domains = self.evacuations.evacuated_domains();
        let domains = domains.into_iter().map(|(domain, _)| domain);
        self.balancer.set_evacuated(domains.collect());
        for change in changes {
            self.draining_domains
                .retain(|known| *known != change.domain);
            if change.is_evacuated {
                self.draining_domains.push(change.domain.clone());
                let targets = self.balancer.targets_in(&change.domain);
                self.schedule_moves(now, &targets);
            }
        }
        self.serve_queue(now);
    }

    /// Time for which what moves need may still be sent to a target; `None` without a limit, as its
    /// failure domain is not evacuated.
    fn move_grace_left(&self, now: ClockTime, target: &TargetName) -> Option<TimeSpan> {
        let state = self
            .balancer
            .target(target)
            .filter(|one| one.is_evacuated)?;
        let known_for = self.evacuations.evacuated_for(now, &state.record.domain)?;
        Some(MOVE_GRACE.saturating_sub(known_for))
    }

    /// Whether requests that a move needs may be sent to a target now.
    pub fn may_send_for_move(&self, now: ClockTime, target: &TargetName) -> bool {
        let left = self.move_grace_left(now, target);
        left.is_none_or(|left| left > TimeSpan::ZERO)
    }

    /// Whether there is time to move a generation off a target: it may be stopped there now.
    pub fn has_time_to_move(&self, now: ClockTime, source: &TargetName) -> bool {
        let left = self.move_grace_left(now, source);
        left.is_none_or(|left| left > STOP_MARGIN)
    }

    /// Whether a generation on `source` may be stopped to be moved to `destination`, which may be
    /// asked to resume it.
    ///
    /// On a source that does not leave, the generation would run to its end. So it is only stopped
    /// there if the source may be asked to resume it as well, in case the destination fails, and
    /// neither has used up a rate, for which a resume waits only a while.
    pub fn may_stop_for_move(
        &self,
        now: ClockTime,
        features: &CallFeatures,
        source: &TargetName,
        destination: &TargetName,
    ) -> bool {
        let may_resume = |target, is_source| {
            let check = SendCheck {
                features,
                is_trial: false,
                target,
                admission: None,
                times: CallTimes::new(now),
                is_resume: true,
                is_source,
                permit: None,
            };
            self.check_send(now, &check).is_ok()
        };
        let found = self.balancer.target(destination);
        let is_leaving = |target| {
            let found = self.balancer.target(target);
            found.is_none_or(|one| one.phase == TargetPhase::Leaving)
        };
        let is_at_rate = |source, destination| {
            let engines = [source, destination].into_iter();
            let mut known = engines.filter_map(|name| self.balancer.target(name));
            known.any(|one| one.rate.wait_left(now).is_some())
        };
        self.has_time_to_move(now, source)
            && found.is_some_and(|one| one.is_open())
            && may_resume(destination, false)
            && (is_leaving(source)
                || (may_resume(source, true) && !is_at_rate(source, destination)))
    }

    /// Whether a run of a target may be asked for its state.
    pub fn may_poll(&self, target: &TargetName, incarnation: IncarnationNumber) -> bool {
        let found = self.balancer.target(target);
        found.is_some_and(|one| one.record.incarnation == incarnation && !one.is_evacuated)
    }

    /// Evacuated domains on whose engines this node has no generation any more and had some, or of
    /// which that was not logged yet; each is returned once.
    fn take_drained_domains(&mut self) -> Vec<DomainName> {
        let balancer = &self.balancer;
        let (drained, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.draining_domains)
            .into_iter()
            .partition(|domain| balancer.own_generations_in(domain) == 0);
        self.draining_domains = left;
        drained
    }
}

/// Reads evacuations and logs their course.
impl GatewayCore {
    /// Adopts evacuations after the items of an area were read from the store or a peer; items that
    /// can't be decoded are only logged if items `changed`.
    pub(super) fn read_evacuations(
        &self,
        state: &mut GatewayState,
        now: ClockTime,
        area: ViewArea,
        changed: bool,
    ) -> Vec<EvacuationChange> {
        if area != ViewArea::Config {
            return Vec::new();
        }
        let (changes, failures) = state.read_evacuations(now, &*self.ports.items);
        for failure in failures.iter().filter(|_| changed) {
            log::warn!(
                event = EventKind::RevisionRejected.number(),
                node = self.node().as_str();
                "request for an evacuation can't be read and is ignored: {failure}"
            );
        }
        changes
    }

    /// Logs evacuations that began or were taken back, and makes generations check whether to move;
    /// `from` names the source of the news.
    pub fn handle_evacuations(&self, changes: &[EvacuationChange], from: &str) {
        for change in changes {
            let (event, text) = match change.is_evacuated {
                true => (
                    EventKind::EvacuationBegun,
                    "failure domain is evacuated: its targets get nothing more",
                ),
                false => (
                    EventKind::EvacuationWithdrawn,
                    "evacuation taken back: the targets of the failure domain are used again",
                ),
            };
            let left =
                self.with_state(|state, _| state.balancer.own_generations_in(&change.domain));
            log::info!(
                event = event.number(),
                node = self.node().as_str(),
                domain = change.domain.as_str(),
                revision = change.position.revision,
                generations = left,
                from = from;
                "{text}"
            );
        }
        if !changes.is_empty() {
            self.recheck_moves();
        }
    }

    /// Reports the generations that are left in evacuated domains, and logs domains without any.
    pub(super) fn report_evacuations(self: &Arc<Self>) {
        let (drained, left) = self.with_state(|state, _| {
            let drained = state.take_drained_domains();
            let evacuated = state.evacuations.evacuated_domains();
            let drained: Vec<_> = evacuated
                .iter()
                .filter(|(domain, _)| drained.contains(domain))
                .cloned()
                .collect();
            let left: u32 = evacuated
                .iter()
                .map(|(domain, _)| state.balancer.own_generations_in(domain))
                .sum();
            (drained, left)
        });
        gauge!("gateway_evacuated_generations").set(f64::from(left));
        for (domain, revision) in drained {
            log::info!(
                event = EventKind::EvacuationFinished.number(),
                node = self.node().as_str(),
                domain = domain.as_str(),
                revision = revision,
                generations = 0;
                "no generation of this node is left on the engines of the evacuated failure domain"
            );
        }
    }
}
