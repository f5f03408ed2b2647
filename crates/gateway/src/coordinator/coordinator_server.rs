use std::sync::Arc;

use super::{CoordinatorReply, CoordinatorRequest};
use crate::state::{LONG_POLL_TIMEOUT, QueueRequest};
use crate::{GatewayCore, PlacementRefusal};

/// Handles the request of a node for capacity; `None` while this node stops, or can't tell which targets of
/// the service are up.
pub async fn handle_request(
    core: &Arc<GatewayCore>,
    request: CoordinatorRequest,
) -> Option<CoordinatorReply> {
    let service = &request.placement.service;
    if core.is_stopping() || core.with_state(|state, _| state.paths.is_lost(service)) {
        return None;
    }
    let source = request.placement.move_source.clone();
    if let Some(source) = &source {
        core.with_state(|state, now| state.full_targets.adopt(now, &source.full));
    }
    let service = request.placement.service.clone();
    let placed = core.place(QueueRequest {
        placement: request.placement,
        priority: request.priority,
        waited: request.waited,
        start_within: request.start_within,
        max_wait: request.max_wait.min(LONG_POLL_TIMEOUT),
        patience: request.max_wait,
        accepts_refusal: request.accepts_refusal,
        requester: Some(request.node),
    });
    match placed.await {
        Ok(placed) => {
            let (target, id) = (placed.target, placed.grant_id?);
            // Nodes of the last build, which state nothing produced, can't read a longer reply.
            let source = source.filter(|source| source.produced > 0);
            let source_left = source.and_then(|source| {
                core.with_state(|state, now| {
                    let ends_by = state.engine_end(now, &source.target, &service)?;
                    Some(ends_by.since(now))
                })
            });
            Some(CoordinatorReply::Granted {
                target,
                id,
                source_left,
            })
        }
        // Targets that asked this node to back off did not ask the requesting node.
        Err(
            PlacementRefusal::NoTarget
            | PlacementRefusal::Backoff(_)
            | PlacementRefusal::RateUsed(_),
        ) => Some(CoordinatorReply::Absent),
        Err(PlacementRefusal::TooLongWait {
            retry_after,
            estimate,
        }) => Some(CoordinatorReply::Refused {
            retry_after,
            estimate,
        }),
        Err(PlacementRefusal::Full) => Some(CoordinatorReply::Waiting),
    }
}
