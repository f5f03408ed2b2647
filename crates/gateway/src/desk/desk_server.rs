use std::sync::Arc;

use base::{ErrorKind, TimeSpan};

use super::{RoomAnswer, RoomQuestion};
use crate::GatewayCore;
use crate::state::RoomAsk;

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
        Err(refusal) if refusal.kind == ErrorKind::NoTarget => Some(RoomAnswer::Absent),
        Err(_) => Some(RoomAnswer::Waiting),
    }
}
