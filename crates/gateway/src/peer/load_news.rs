use base::{ClockTime, NodeName, TargetName};
use entry::{LoadOrigin, LoadSum, PeerLoads};
use serde::{Deserialize, Serialize};

use crate::GatewayCore;

/// Loads of a node on engines, as it tells the peers of its failure domain when they change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadNews {
    /// The node.
    pub node: NodeName,
    /// Time on its clock, which orders what it says.
    pub told_at: ClockTime,
    /// Its calls in flight on targets.
    pub loads: Vec<(TargetName, LoadSum)>,
}

impl LoadNews {
    /// Describes this node.
    pub fn of_core(core: &GatewayCore) -> Self {
        core.with_state(|state, now| Self {
            node: core.node().clone(),
            told_at: now,
            loads: state.board.own_loads(),
        })
    }

    /// Takes what a peer of the own domain says.
    pub fn apply(self, core: &GatewayCore) {
        core.with_state(|state, now| {
            state.board.take_peer(PeerLoads {
                origin: LoadOrigin::Node(self.node),
                heard_at: now,
                told_at: self.told_at,
                loads: self.loads,
            });
        });
    }
}
