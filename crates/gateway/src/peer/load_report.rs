use std::net::SocketAddr;

use base::{ClockTime, DomainName, NodeName, TargetName};
use entry::{GrantId, PaceReport, PeerLoads, RefusalReport, TargetLoad};
use serde::{Deserialize, Serialize};

use super::ExtendedMessage;
use super::node_digest::peer_origin;
use crate::GatewayCore;

/// Load of the calls of one node on targets, which it sends to peers when the load changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Node that sends the report.
    pub node: NodeName,
    /// Failure domain of the sender.
    pub domain: DomainName,
    /// Address of the sender for peers.
    pub address: SocketAddr,
    /// When the report was sent, by the clock of the sender; orders its reports.
    #[serde(rename = "told_at")]
    pub sent_at: ClockTime,
    /// Load of its calls in flight on each target.
    pub loads: Vec<(TargetName, TargetLoad)>,
    /// Grants of coordinators whose load is included in `loads`.
    pub accepted: Vec<GrantId>,
    /// Whether calls of the sender wait for engines.
    pub is_waiting: bool,
    /// Leaving engines off which the sender copies a generation now.
    #[serde(rename = "moving")]
    pub copying_sources: Vec<TargetName>,
    /// Gaps between events that the sender observed at engines since its last report to the
    /// receiver.
    #[serde(skip)]
    pub paces: Vec<PaceReport>,
    /// What the sender knows of the calls that targets may refuse.
    #[serde(skip)]
    pub refusals: Vec<RefusalReport>,
}

/// Parts of a load report that earlier builds don't know.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadExtension {
    #[serde(default)]
    paces: Vec<PaceReport>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    refusals: Vec<RefusalReport>,
}

impl ExtendedMessage for LoadReport {
    type Extension = LoadExtension;

    fn take_extension(&mut self) -> LoadExtension {
        LoadExtension {
            paces: std::mem::take(&mut self.paces),
            refusals: std::mem::take(&mut self.refusals),
        }
    }

    fn extend(&mut self, extension: LoadExtension) {
        self.paces = extension.paces;
        self.refusals = extension.refusals;
    }
}

impl LoadReport {
    /// Creates the report of this node for a peer.
    pub fn new(core: &GatewayCore, receiver: SocketAddr) -> Self {
        core.with_state(|state, now| Self {
            node: core.node().clone(),
            domain: core.settings.domain.clone(),
            address: core.settings.peer_address,
            sent_at: now,
            loads: state.balancer.own_loads(),
            accepted: state.coordinator.accepted_grants(now),
            is_waiting: state.has_queued_generations(),
            copying_sources: state.move_scheduler.copying_sources(),
            paces: state.take_gap_samples(now, receiver),
            refusals: state.balancer.refusal_reports(now),
        })
    }

    /// Applies the report of a peer: its loads, the grants that it accepted and its copies.
    pub fn apply(self, core: &GatewayCore) {
        core.adopt_refusals(&self.refusals, "load report");
        let copying_changed = core.with_state(|state, now| {
            state
                .peers
                .refresh(now, self.address, &self.node, self.is_waiting);
            let is_newest = state.balancer.apply_peer_loads(PeerLoads {
                origin: peer_origin(core, &self.domain, &self.node),
                received_at: now,
                sent_at: self.sent_at,
                loads: self.loads,
            });
            state.balancer.add_paces(now, &self.node, &self.paces);
            state.confirm_grants(&self.accepted);
            if is_newest {
                state
                    .copy_locks
                    .update_holder(now, &self.node, &self.copying_sources);
            }
            state.serve_queue(now);
            is_newest
                && state
                    .move_scheduler
                    .replace_peer_copying(now, &self.node, &self.copying_sources)
        });
        if copying_changed {
            core.recheck_moves();
        }
    }
}
