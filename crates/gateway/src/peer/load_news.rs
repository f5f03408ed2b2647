use base::{ClockTime, DomainName, NodeName, TargetName};
use entry::{LoadOrigin, LoadSum, PeerLoads};
use serde::{Deserialize, Serialize};

use crate::GatewayCore;

/// Loads of a node on engines, as it tells peers when they change: those of its failure domain, and
/// those of the domains whose engines it uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadNews {
    /// The node.
    pub node: NodeName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Time on its clock, which orders what it says.
    pub told_at: ClockTime,
    /// Its calls in flight on targets.
    pub loads: Vec<(TargetName, LoadSum)>,
    /// Leaving engines off which it moves something now.
    pub moving: Vec<TargetName>,
}

impl LoadNews {
    /// Describes this node.
    pub fn of_core(core: &GatewayCore) -> Self {
        core.with_state(|state, now| Self {
            node: core.node().clone(),
            domain: core.settings.domain.clone(),
            told_at: now,
            loads: state.board.own_loads(),
            moving: state.turns.own_moving(),
        })
    }

    /// Takes what a peer says.
    pub fn apply(self, core: &GatewayCore) {
        let origin = match self.domain == core.settings.domain {
            true => LoadOrigin::Node(self.node.clone()),
            false => LoadOrigin::FarNode(self.node.clone()),
        };
        let turns_changed = core.with_state(|state, now| {
            let is_newest = state.board.take_peer(PeerLoads {
                origin,
                heard_at: now,
                told_at: self.told_at,
                loads: self.loads,
            });
            is_newest && state.turns.note_moving(now, &self.node, &self.moving)
        });
        if turns_changed {
            core.wake_pumps();
        }
    }
}
