use std::net::SocketAddr;
use std::sync::Arc;

use base::{ErrorKind, TimeSpan};
use entry::{PlaceNeed, PlaceReach};

use super::{RoomAnswer, RoomQuestion};
use crate::peer::PeerExchange;
use crate::state::{FULL_RETRY, RoomAsk};
use crate::{GatewayCore, PlaceHold, PlaceRefusal};

/// What came of asking desks.
enum DeskEnd {
    Placed(PlaceHold),
    Full,
    /// No desk answers, or this node is the desk.
    Alone,
}

/// Gets room for a call, waiting for at most `patience`: from the desk of the failure domain for a
/// generation, by what this node knows otherwise.
///
/// # Errors
/// If there is no target, or none has room in time; the call was not sent.
pub async fn acquire_room(
    core: &Arc<GatewayCore>,
    need: &PlaceNeed,
    priority: u8,
    patience: TimeSpan,
) -> Result<PlaceHold, PlaceRefusal> {
    let start = core.now();
    let mut need = need.clone();
    if need.engine.is_some() {
        match ask_desks(core, &need, priority, patience).await {
            DeskEnd::Placed(hold) => return Ok(hold),
            DeskEnd::Full => {
                return Err(PlaceRefusal {
                    kind: ErrorKind::Overloaded,
                    retry_after: FULL_RETRY,
                });
            }
            DeskEnd::Alone => need.reach = own_reach(core, &need),
        }
    }
    let waited = core.now().since(start);
    let ask = RoomAsk {
        need,
        priority,
        waited,
        patience: patience.saturating_sub(waited),
        asker: None,
    };
    core.acquire(ask).await
}

/// Gets room for a generation that moves, at once or not at all.
pub async fn acquire_now(core: &Arc<GatewayCore>, need: &PlaceNeed) -> Option<PlaceHold> {
    acquire_room(core, need, 0, TimeSpan::ZERO).await.ok()
}

/// Engines that a node without a desk may use: it knows what is on those of other domains only if it
/// is the desk.
fn own_reach(core: &GatewayCore, need: &PlaceNeed) -> PlaceReach {
    core.with_state(|state, now| {
        let has_near = state.board.has_near(now, &need.service);
        match has_near && !state.is_desk(now) {
            true => PlaceReach::Near,
            false => PlaceReach::Any,
        }
    })
}

async fn ask_desks(
    core: &Arc<GatewayCore>,
    need: &PlaceNeed,
    priority: u8,
    patience: TimeSpan,
) -> DeskEnd {
    let exchange = PeerExchange::new(core.clone());
    let start = core.now();
    let mut declined = Vec::new();
    loop {
        let Some(desk) = find_desk(core) else {
            return DeskEnd::Alone;
        };
        let waited = core.now().since(start);
        let question = RoomQuestion {
            node: core.node().clone(),
            need: told_need(core, need, &declined),
            priority,
            waited,
            patience: patience.saturating_sub(waited),
        };
        match exchange.ask_room(desk, &question).await {
            Some(RoomAnswer::Granted { target, id }) => {
                let hold = PlaceHold::accept(core.clone(), target.clone(), id, need.load);
                match hold {
                    Some(hold) => return DeskEnd::Placed(hold),
                    None => declined.push(target),
                }
            }
            Some(RoomAnswer::Waiting) if core.now().since(start) < patience => {}
            Some(RoomAnswer::Waiting) => return DeskEnd::Full,
            Some(RoomAnswer::Absent) => return DeskEnd::Alone,
            None => core.with_state(|state, now| state.desk.doubt(now, desk)),
        }
    }
}

/// Address of the desk of the failure domain; `None` if it is this node.
fn find_desk(core: &GatewayCore) -> Option<SocketAddr> {
    core.with_state(|state, now| {
        let own = state.peers.own_address();
        let desk = state.desks(now).first().copied();
        desk.filter(|desk| Some(*desk) != own)
    })
}

/// The need with what only this node knows of targets.
fn told_need(core: &GatewayCore, need: &PlaceNeed, declined: &[base::TargetName]) -> PlaceNeed {
    let mut need = need.clone();
    core.with_state(|state, now| {
        need.excluded.extend(state.board.barred(now, &need.service));
        need.excluded.extend(declined.iter().cloned());
        need.delays = state.board.failure_delays(now, &need.service);
    });
    need
}
