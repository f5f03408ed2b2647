use std::net::SocketAddr;

use base::{ClockTime, DomainName, NodeName, TargetName};
use entry::{GrantId, PeerLoads, TargetLoad};
use serde::{Deserialize, Serialize};

use super::node_digest::peer_origin;
use crate::GatewayCore;

/// Loads of a node on engines, as it tells peers when they change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadNews {
    /// The node.
    pub node: NodeName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its address for peers.
    pub address: SocketAddr,
    /// Time on its clock, which orders what it says.
    pub told_at: ClockTime,
    /// Its calls in flight on targets.
    pub loads: Vec<(TargetName, TargetLoad)>,
    /// Grants of desks among these loads.
    pub accepted: Vec<GrantId>,
    /// Whether calls wait there for engines.
    pub is_waiting: bool,
    /// Leaving engines off which it moves something now.
    pub moving: Vec<TargetName>,
}

impl LoadNews {
    /// Describes this node.
    pub fn of_core(core: &GatewayCore) -> Self {
        core.with_state(|state, now| Self {
            node: core.node().clone(),
            domain: core.settings.domain.clone(),
            address: core.settings.peer_address,
            told_at: now,
            loads: state.board.own_loads(),
            accepted: state.desk.accepted(now),
            is_waiting: state.is_waiting(),
            moving: state.turns.own_moving(),
        })
    }

    /// Takes what a peer says.
    pub fn apply(self, core: &GatewayCore) {
        let turns_changed = core.with_state(|state, now| {
            state
                .peers
                .refresh(now, self.address, &self.node, self.is_waiting);
            let is_newest = state.board.apply_peer_loads(PeerLoads {
                origin: peer_origin(core, &self.domain, &self.node),
                received_at: now,
                sent_at: self.told_at,
                loads: self.loads,
            });
            state.confirm_grants(&self.accepted);
            if is_newest {
                state.locks.note_moving(now, &self.node, &self.moving);
            }
            state.serve_line(now);
            is_newest && state.turns.note_moving(now, &self.node, &self.moving)
        });
        if turns_changed {
            core.wake_pumps();
        }
    }
}
