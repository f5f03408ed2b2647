use std::net::SocketAddr;
use std::sync::Arc;

use base::{ClockTime, TargetName, TimeSpan};
use entry::{PlacementRequest, PlacementScope};

use super::{RoomAnswer, RoomQuestion};
use crate::peer::PeerExchange;
use crate::state::RoomAsk;
use crate::{GatewayCore, PlaceHold, PlaceRefusal};

/// Time for which a generation waits to be moved before it asks anew with what it knows then.
const MOVE_PATIENCE: TimeSpan = TimeSpan::new(600);

/// A call that asks for room.
#[derive(Clone, Debug)]
pub struct RoomWish {
    /// What it needs.
    pub need: PlacementRequest,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// When it arrived.
    pub arrived: ClockTime,
    /// Time after its arrival within which it has to be placed to be on time.
    pub start_within: TimeSpan,
    /// Time for which it waits from now on.
    pub patience: TimeSpan,
}

/// What came of asking desks.
enum DeskEnd {
    Placed(Box<PlaceHold>),
    Refused(PlaceRefusal),
    /// No desk answers, or this node is the desk.
    Alone,
}

/// Gets room for a call: from the desk of the failure domain for a generation, by what this node
/// knows otherwise.
///
/// # Errors
/// If there is no target, or none has room in time; the call was not sent.
pub async fn acquire_room(
    core: &Arc<GatewayCore>,
    mut wish: RoomWish,
) -> Result<PlaceHold, PlaceRefusal> {
    let start = core.now();
    if wish.need.engine.is_some() {
        match ask_desks(core, &wish).await {
            DeskEnd::Placed(hold) => return Ok(*hold),
            DeskEnd::Refused(refusal) => return Err(refusal),
            DeskEnd::Alone => wish.need.scope = own_reach(core, &wish.need),
        }
    }
    let now = core.now();
    let ask = RoomAsk {
        need: wish.need,
        priority: wish.priority,
        waited: now.since(wish.arrived),
        start_within: wish.start_within,
        patience: wish.patience.saturating_sub(now.since(start)),
        asker: None,
    };
    core.acquire(ask).await
}

/// Gets room for a generation that moves, as soon as its engine is free to copy it.
pub async fn acquire_move(core: &Arc<GatewayCore>, need: PlacementRequest) -> Option<PlaceHold> {
    let wish = RoomWish {
        need,
        priority: 0,
        arrived: core.now(),
        start_within: TimeSpan::ZERO,
        patience: MOVE_PATIENCE,
    };
    acquire_room(core, wish).await.ok()
}

/// Engines that a node without a desk may use: it knows what is on those of other domains only if it
/// is the desk.
fn own_reach(core: &GatewayCore, need: &PlacementRequest) -> PlacementScope {
    core.with_state(|state, now| {
        let has_near = state.board.has_local_target(now, &need.service);
        match has_near && !state.is_desk(now) {
            true => PlacementScope::OwnDomain,
            false => PlacementScope::AllDomains,
        }
    })
}

async fn ask_desks(core: &Arc<GatewayCore>, wish: &RoomWish) -> DeskEnd {
    let exchange = PeerExchange::new(core.clone());
    let need = &wish.need;
    let end = core.now() + wish.patience;
    let mut declined = Vec::new();
    loop {
        let Some(desk) = find_desk(core, need) else {
            return DeskEnd::Alone;
        };
        let quiet = core.with_state(|state, now| state.board.backoff_left(now, &need.service));
        if let Some(left) = quiet {
            return DeskEnd::Refused(PlaceRefusal::Quiet(left));
        }
        let now = core.now();
        let question = RoomQuestion {
            node: core.node().clone(),
            need: told_need(core, need, &declined),
            priority: wish.priority,
            waited: now.since(wish.arrived),
            start_within: wish.start_within,
            patience: end.since(now),
        };
        match exchange.ask_room(desk, &question).await {
            Some(RoomAnswer::Granted { target, id }) => {
                let hold = PlaceHold::accept(core.clone(), desk, target.clone(), id, need.load);
                match hold {
                    Some(hold) => return DeskEnd::Placed(Box::new(hold)),
                    None => declined.push(target),
                }
            }
            Some(RoomAnswer::Waiting) if core.now() < end => {}
            Some(RoomAnswer::Waiting) => return DeskEnd::Refused(PlaceRefusal::Full),
            Some(RoomAnswer::Absent) => return DeskEnd::Alone,
            None => core.with_state(|state, now| state.desk.doubt(now, desk)),
        }
    }
}

/// Address of the desk of the failure domain, or of the one that a generation moves away from;
/// `None` if it is this node.
fn find_desk(core: &GatewayCore, need: &PlacementRequest) -> Option<SocketAddr> {
    core.with_state(|state, now| {
        let own = state.peers.own_address();
        let source = need.move_source.as_ref();
        let domain = source.map_or(&core.settings.domain, |source| &source.domain);
        let desk = state.move_desk(now, domain);
        desk.filter(|desk| Some(*desk) != own)
    })
}

/// The need with what only this node knows of targets.
fn told_need(
    core: &GatewayCore,
    need: &PlacementRequest,
    declined: &[TargetName],
) -> PlacementRequest {
    let mut need = need.clone();
    core.with_state(|state, now| {
        need.excluded
            .extend(state.board.unavailable_targets(now, &need.service));
        need.excluded.extend(declined.iter().cloned());
        need.failure_delays = state.board.failure_delays(now, &need.service);
    });
    need
}
