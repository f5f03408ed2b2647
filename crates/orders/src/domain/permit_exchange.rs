use base::{ClockTime, NodeName, TargetName};

use super::{DomainReconciler, MessageBody, ReconcilerAction};
use crate::{ActualState, FencingNumber, PermitRequest, WantedPermit, permit_coordinator};

/// Exchange of permit requests and responses, both as a node that wants permits and as the permit
/// coordinator.
impl DomainReconciler {
    /// Determines the permit coordinator by the current list of live nodes.
    pub(super) fn update_coordinator(&mut self, now: ClockTime) {
        let Some(plan) = &self.plan else {
            return;
        };
        let coordinator = permit_coordinator(plan, &self.view.live, &self.settings.guards);
        let is_self = coordinator.as_ref() == Some(&self.settings.node);
        self.ledger.set_active(is_self.then_some(now));
        if self.holder.coordinator() != coordinator.as_ref() {
            let used = self.targets_using_permits();
            let in_use = |target: &TargetName| used.contains(target);
            self.holder.set_coordinator(coordinator, in_use);
        }
    }

    /// Drops the permits that no target is using.
    pub(super) fn drop_unused(&mut self) {
        let used = self.targets_using_permits();
        self.holder.drop_unused(|target| used.contains(target));
    }

    /// Owned targets that are loading or to which an order to load is in flight.
    pub(super) fn targets_using_permits(&self) -> Vec<TargetName> {
        let pairs = self.target_states.iter().zip(&self.actual_states);
        let used = pairs.filter(|(state, actual)| {
            let loading = actual.as_ref().is_some_and(ActualState::is_loading);
            let ordered = state.sent().is_some_and(|order| order.action.is_load());
            state.is_owned() && (loading || ordered)
        });
        used.map(|(state, _)| state.target().clone()).collect()
    }

    /// Sends a permit request to the coordinator, which may be this node, if one is due.
    pub(super) fn request_permits(&mut self, now: ClockTime, wants: Vec<WantedPermit>) {
        let Some(request) = self.holder.next_request(now, wants, &self.settings.timing) else {
            return;
        };
        let Some(coordinator) = self.holder.coordinator().cloned() else {
            return;
        };
        if coordinator == self.settings.node {
            let number = self.message_number();
            self.handle_permit_request(now, &coordinator, number, request);
        } else {
            self.send(coordinator, MessageBody::PermitRequest(request));
        }
    }

    /// Passes a permit request to the ledger.
    pub(super) fn handle_permit_request(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        number: FencingNumber,
        request: PermitRequest,
    ) {
        let Some(plan) = self.plan.take() else {
            return;
        };
        let mut ledger = std::mem::take(&mut self.ledger);
        let view = self.domain_view(now, &plan);
        ledger.on_request(&view, from, number.incarnation, request);
        self.ledger = ledger;
        self.plan = Some(plan);
    }

    /// As the coordinator, answers pending permit requests and requests the probes that this needs.
    pub(super) fn answer_permit_requests(&mut self, now: ClockTime) {
        if !self.ledger.is_active() {
            return;
        }
        let Some(plan) = self.plan.take() else {
            return;
        };
        let mut ledger = std::mem::take(&mut self.ledger);
        let has_pending_requests = ledger.has_pending_requests();
        for at in ledger.take_unconfirmed_returns(now) {
            let probe = ReconcilerAction::Probe(plan.targets[at].name.clone());
            self.actions.push(probe);
        }
        let view = self.domain_view(now, &plan);
        let responses = ledger.answer_requests(&view, &self.view.live, &self.settings.guards);
        self.ledger = ledger;
        if has_pending_requests {
            self.probe_domain(now);
        }
        self.plan = Some(plan);
        for (to, response) in responses {
            if to == self.settings.node {
                self.holder.on_response(now, &to, response);
            } else {
                self.send(to, MessageBody::PermitResponse(response));
            }
        }
    }

    /// Probes the targets without a recent observation, since a coordinator with pending requests
    /// needs a recent observation of all targets of its domain.
    pub(super) fn probe_domain(&mut self, now: ClockTime) {
        let timing = &self.settings.timing;
        for (state, actual) in self.target_states.iter_mut().zip(&self.actual_states) {
            let fresh = |actual: &ActualState| now - actual.observed_at <= timing.reprobe_max_age;
            if actual.as_ref().is_some_and(fresh) || !state.claim_probe(now, timing) {
                continue;
            }
            let probe = ReconcilerAction::Probe(state.target().clone());
            self.actions.push(probe);
        }
    }
}
