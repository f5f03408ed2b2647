use base::{ClockTime, NodeName, TargetName};

use super::{HeldPermit, PermitRequest, PermitResponse, WantedPermit};
use crate::{BlockReason, ReconcileTiming};

/// Maximum number of permits wanted in one request.
const WANTED_LIMIT: usize = 64;
/// Maximum number of permits wanted for one rollout in one request, so that a blocked rollout does
/// not crowd out the others.
const WANTED_PER_ROLLOUT_LIMIT: usize = 8;
/// Number of empty requests sent after the last one with content, in case some are lost. An empty
/// request returns all permits.
const EMPTY_REQUEST_REPEATS: u32 = 4;

/// Permit that the node holds, since when, and whether an order was sent under it.
#[derive(Clone, Debug)]
struct HeldEntry {
    permit: HeldPermit,
    since: ClockTime,
    used: bool,
}

/// Permits that a node holds, and its requests to the permit coordinator.
#[derive(Clone, Debug, Default)]
pub struct PermitHolder {
    coordinator: Option<NodeName>,
    /// Number of the latest request.
    number: u64,
    requested_at: Option<ClockTime>,
    empty_requests_due: u32,
    held: Vec<HeldEntry>,
    requested: Vec<WantedPermit>,
    refused: Vec<(TargetName, BlockReason)>,
}

impl PermitHolder {
    /// Node that this node regards as the permit coordinator.
    pub fn coordinator(&self) -> Option<&NodeName> {
        self.coordinator.as_ref()
    }

    /// Sets the coordinator. If it changed, permits that are not in use are dropped.
    pub fn set_coordinator(
        &mut self,
        coordinator: Option<NodeName>,
        in_use: impl Fn(&TargetName) -> bool,
    ) {
        if self.coordinator == coordinator {
            return;
        }
        self.coordinator = coordinator;
        self.drop_unused(in_use);
    }

    /// Drops permits that are not in use; responses to earlier requests will be ignored.
    pub fn drop_unused(&mut self, in_use: impl Fn(&TargetName) -> bool) {
        self.held.retain(|entry| in_use(&entry.permit.target));
        self.number += 1;
        self.requested.clear();
        self.refused.clear();
        self.requested_at = None;
        self.empty_requests_due = EMPTY_REQUEST_REPEATS;
    }

    /// Permit held for a target.
    pub fn find(&self, target: &TargetName) -> Option<&HeldPermit> {
        let mut entries = self.held.iter().map(|entry| &entry.permit);
        entries.find(|permit| permit.target == *target)
    }

    /// Releases the permit for a target; the next request reports this to the coordinator.
    pub fn release(&mut self, target: &TargetName) {
        let before = self.held.len();
        self.held.retain(|entry| entry.permit.target != *target);
        if self.held.len() != before {
            self.requested_at = None;
            self.empty_requests_due = EMPTY_REQUEST_REPEATS;
        }
    }

    /// Records that an order was sent under the permit for `target`.
    pub fn mark_used(&mut self, target: &TargetName) {
        for entry in &mut self.held {
            entry.used |= entry.permit.target == *target;
        }
    }

    /// Releases permits to take a model out of service that were not used in time: the count of
    /// ready targets on which they were granted is out of date by then.
    pub fn drop_expired(&mut self, now: ClockTime, timing: &ReconcileTiming) {
        let before = self.held.len();
        self.held.retain(|entry| {
            let fresh = now - entry.since <= timing.capacity_max_age;
            entry.used || entry.permit.lost_model.is_none() || fresh
        });
        if self.held.len() != before {
            self.requested_at = None;
        }
    }

    /// Why the coordinator has not granted the permit for `target`.
    pub fn refusal(&self, target: &TargetName) -> BlockReason {
        if self.coordinator.is_none() {
            return BlockReason::NoMajority;
        }
        let mut refused = self.refused.iter();
        let found = refused.find(|(name, _)| name == target);
        found.map_or(BlockReason::NoSlot, |(_, reason)| *reason)
    }

    /// Returns the next request if one is due.
    pub fn next_request(
        &mut self,
        now: ClockTime,
        wants: Vec<WantedPermit>,
        timing: &ReconcileTiming,
    ) -> Option<PermitRequest> {
        self.coordinator.as_ref()?;
        if self
            .requested_at
            .is_some_and(|at| now - at < timing.message_interval)
        {
            return None;
        }
        if !wants.is_empty() || !self.held.is_empty() {
            self.empty_requests_due = EMPTY_REQUEST_REPEATS;
        } else if self.empty_requests_due == 0 {
            return None;
        } else {
            self.empty_requests_due -= 1;
        }
        self.requested_at = Some(now);
        self.number += 1;
        self.requested = bounded(wants);
        Some(PermitRequest {
            number: self.number,
            wants: self.requested.clone(),
            held: self.held.iter().map(|entry| entry.permit.clone()).collect(),
        })
    }

    /// Handles a response of the coordinator. A response of another node or to an earlier request
    /// is ignored, since the coordinator counted its permits as returned when it read the later
    /// request.
    pub fn on_response(&mut self, now: ClockTime, from: &NodeName, response: PermitResponse) {
        if self.coordinator.as_ref() != Some(from) || response.request != self.number {
            return;
        }
        for grant in response.grants {
            let requested = self
                .requested
                .iter()
                .any(|want| want.target == grant.target);
            if requested && self.find(&grant.target).is_none() {
                self.held.push(HeldEntry {
                    permit: grant,
                    since: now,
                    used: false,
                });
            }
        }
        self.refused = response.refused;
    }
}

/// Applies the limits per request and per rollout.
fn bounded(wants: Vec<WantedPermit>) -> Vec<WantedPermit> {
    let mut kept: Vec<WantedPermit> = Vec::new();
    for want in wants {
        let same = kept.iter().filter(|known| known.rollout == want.rollout);
        if kept.len() < WANTED_LIMIT && same.count() < WANTED_PER_ROLLOUT_LIMIT {
            kept.push(want);
        }
    }
    kept
}
