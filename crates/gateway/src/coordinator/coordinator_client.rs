use std::net::SocketAddr;
use std::sync::Arc;

use base::{ClockTime, TargetName, TimeSpan};
use entry::{PlacementRequest, PlacementScope};
use metrics::counter;

use super::{CoordinatorReply, CoordinatorRequest};
use crate::peer::PeerClient;
use crate::state::QueueRequest;
use crate::{CapacityReservation, GatewayCore, PlacementRefusal};

/// Longest time that a generation to be moved waits for capacity before the request is made anew
/// with what the node knows by then.
const MOVE_MAX_WAIT: TimeSpan = TimeSpan::new(600);

/// Request of a call on this node for capacity on a target.
#[derive(Clone, Debug)]
pub struct CapacityRequest {
    /// What the call requires of the target.
    pub placement: PlacementRequest,
    /// Priority rank; 0 is the most urgent.
    pub priority: u8,
    /// When the call arrived.
    pub arrived: ClockTime,
    /// Time after its arrival within which the call has to be placed to be on time.
    pub start_within: TimeSpan,
    /// Longest time that the call waits from now on.
    pub max_wait: TimeSpan,
}

/// Outcome of a request to the coordinator.
enum CoordinatorOutcome {
    Placed(Box<CapacityReservation>),
    Refused(PlacementRefusal),
    /// This node has to place the call itself: no coordinator answers, the coordinator offers no
    /// engine, or this node is the coordinator.
    Local,
}

/// Reserves capacity for a call on a target. For a generation, the coordinator of the failure domain
/// chooses the target; if there is none that answers, and for calls to plain services, this node
/// does.
///
/// # Errors
/// If there is no target, none has capacity in time, or all asked this node to back off; the call
/// was not sent.
pub async fn reserve_capacity(
    core: &Arc<GatewayCore>,
    request: CapacityRequest,
) -> Result<CapacityReservation, PlacementRefusal> {
    let service = request.placement.service.to_string();
    let is_move = request.placement.move_source.is_some();
    let reserved = reserve_in_time(core, request).await;
    if !is_move && matches!(reserved, Err(PlacementRefusal::Full)) {
        let labels = [("service", service), ("cause", "waited".to_owned())];
        counter!("gateway_queue_refusals_total", &labels).increment(1);
    }
    reserved
}

async fn reserve_in_time(
    core: &Arc<GatewayCore>,
    mut request: CapacityRequest,
) -> Result<CapacityReservation, PlacementRefusal> {
    let start = core.now();
    if request.placement.engine.is_some() {
        match request_from_coordinator(core, &request).await {
            CoordinatorOutcome::Placed(reservation) => return Ok(*reservation),
            CoordinatorOutcome::Refused(refusal) => return Err(refusal),
            CoordinatorOutcome::Local => {
                request.placement.scope = local_scope(core, &request.placement);
            }
        }
    }
    let now = core.now();
    let max_wait = request.max_wait.saturating_sub(now.since(start));
    let queued = QueueRequest {
        accepts_refusal: accepts_refusal(&request.placement),
        placement: request.placement,
        priority: request.priority,
        waited: now.since(request.arrived),
        start_within: request.start_within,
        max_wait,
        patience: max_wait,
        requester: None,
    };
    core.reserve_local(queued).await
}

/// Reserves capacity for a generation that is to be moved, once no other node copies off its engine;
/// `None` if there is none in time.
pub async fn reserve_for_move(
    core: &Arc<GatewayCore>,
    placement: PlacementRequest,
) -> Option<CapacityReservation> {
    let request = CapacityRequest {
        placement,
        priority: 0,
        arrived: core.now(),
        start_within: TimeSpan::ZERO,
        max_wait: MOVE_MAX_WAIT,
    };
    reserve_capacity(core, request).await.ok()
}

/// Whether a call may be refused at once if it is expected to wait for too long: calls of callers
/// for engines, who return later; a generation that runs does not.
fn accepts_refusal(placement: &PlacementRequest) -> bool {
    placement.engine.is_some() && placement.move_source.is_none()
}

/// Failure domains whose engines a node may use without a coordinator. Only a coordinator knows the
/// load on the engines of other domains, so other nodes use these only if their own domain has no
/// engine of the service.
fn local_scope(core: &GatewayCore, placement: &PlacementRequest) -> PlacementScope {
    core.with_state(|state, now| {
        let has_local = state.balancer.has_local_target(now, &placement.service);
        match has_local && !state.is_coordinator(now) {
            true => PlacementScope::OwnDomain,
            false => PlacementScope::AllDomains,
        }
    })
}

/// Requests capacity from the coordinator until it is granted or the wait is over; a coordinator
/// that does not answer is marked as unreachable and the next in rank is asked.
async fn request_from_coordinator(
    core: &Arc<GatewayCore>,
    request: &CapacityRequest,
) -> CoordinatorOutcome {
    let client = PeerClient::new(core.clone());
    let placement = &request.placement;
    let end = core.now() + request.max_wait;
    let mut declined = Vec::new();
    loop {
        let Some(coordinator) = find_coordinator(core, placement) else {
            return CoordinatorOutcome::Local;
        };
        let refusal = core.with_state(|state, now| {
            if state.balancer.is_service_evacuated(&placement.service) {
                return Some(PlacementRefusal::NoTarget);
            }
            let left = state.balancer.wait_left(now, &placement.service)?;
            Some(state.refuse_for(now, &placement.service, left))
        });
        if let Some(refusal) = refusal {
            return CoordinatorOutcome::Refused(refusal);
        }
        let now = core.now();
        let message = CoordinatorRequest {
            node: core.node().clone(),
            placement: add_local_state(core, placement, &declined),
            priority: request.priority,
            waited: now.since(request.arrived),
            start_within: request.start_within,
            max_wait: end.since(now),
            accepts_refusal: accepts_refusal(placement),
        };
        match client.request_placement(coordinator, message).await {
            Some(CoordinatorReply::Granted {
                target,
                id,
                source_left,
            }) => {
                if let (Some(left), Some(source)) = (source_left, &placement.move_source) {
                    core.with_state(|state, now| {
                        state.move_scheduler.set_end(&source.target, now + left);
                    });
                }
                let reserved = CapacityReservation::from_grant(
                    core.clone(),
                    coordinator,
                    target.clone(),
                    id,
                    placement.load,
                );
                match reserved {
                    Some(reservation) => {
                        return CoordinatorOutcome::Placed(Box::new(reservation));
                    }
                    // A coordinator does not offer again what this node declined.
                    None if declined.contains(&target) => return CoordinatorOutcome::Local,
                    None => declined.push(target),
                }
            }
            Some(CoordinatorReply::Waiting) if core.now() < end => {}
            Some(CoordinatorReply::Waiting) => {
                return CoordinatorOutcome::Refused(PlacementRefusal::Full);
            }
            Some(CoordinatorReply::Refused {
                retry_after,
                estimate,
            }) => {
                return CoordinatorOutcome::Refused(PlacementRefusal::TooLongWait {
                    retry_after,
                    estimate,
                });
            }
            Some(CoordinatorReply::Absent) => return CoordinatorOutcome::Local,
            None => {
                core.with_state(|state, now| state.coordinator.mark_unreachable(now, coordinator));
            }
        }
    }
}

/// Address of the coordinator that places a call: that of the own failure domain or, for a
/// generation to be moved, that of the domain of its engine. `None` if it is this node or there is
/// none.
fn find_coordinator(core: &GatewayCore, placement: &PlacementRequest) -> Option<SocketAddr> {
    core.with_state(|state, now| {
        let own = state.peers.own_address();
        let source = placement.move_source.as_ref();
        let domain = source.map_or(&core.settings.domain, |source| &source.domain);
        let coordinator = state.coordinator_of(now, domain);
        coordinator.filter(|coordinator| Some(*coordinator) != own)
    })
}

/// Adds what only this node knows of targets to a placement request: those that it cannot use,
/// those whose grant it `declined`, and the failures that it observed.
fn add_local_state(
    core: &GatewayCore,
    placement: &PlacementRequest,
    declined: &[TargetName],
) -> PlacementRequest {
    let mut placement = placement.clone();
    core.with_state(|state, now| {
        placement
            .excluded
            .extend(state.balancer.unavailable_targets(now, &placement.service));
        placement.excluded.extend(declined.iter().cloned());
        placement.failure_delays = state.balancer.failure_delays(now, &placement.service);
    });
    placement
}
