use std::sync::Arc;

use base::TimeSpan;

use super::{RoomAnswer, RoomQuestion};
use crate::state::RoomAsk;
use crate::{GatewayCore, PlaceRefusal};

/// Time for which a question waits at the desk; a node that hears nothing for longer knows that its
/// desk is gone.
const HOLD_TIME: TimeSpan = TimeSpan::new(150);

/// Answers the question of a node for room; `None` while this node stops.
pub async fn take_ask(core: &Arc<GatewayCore>, question: RoomQuestion) -> Option<RoomAnswer> {
    if core.is_stopping() {
        return None;
    }
    let asked = core.take_room(RoomAsk {
        need: question.need,
        priority: question.priority,
        waited: question.waited,
        start_within: question.start_within,
        patience: question.patience.min(HOLD_TIME),
        asker: Some(question.node),
    });
    match asked.await {
        Ok(grant) => {
            let (target, id) = (grant.target, grant.id?);
            Some(RoomAnswer::Granted { target, id })
        }
        // What targets want from this node does not bind the one that asks.
        Err(PlaceRefusal::Absent | PlaceRefusal::Quiet(_)) => Some(RoomAnswer::Absent),
        Err(PlaceRefusal::Full) => Some(RoomAnswer::Waiting),
    }
}
