use base::{EventKind, NodeName, RevisionNumber, TimeSpan};
use calls::ProcessId;
use fleet::{FleetPeer, RevisionStamp};
use member::{MemberAction, NodeState, ObservationSource, TargetObservation, TargetState};
use schema::fleet::RevisionDigest;

use super::fleet_actor::FleetActor;
use super::fleet_message::{NodeListFetched, SeedContacted, TargetListFetched};
use crate::{ListedTarget, PeerMessage, PeerResponse};

/// Number of nodes of each other domain that revisions are exchanged with.
const OTHER_DOMAIN_PEERS: usize = 2;
/// How long one watch request for a list of VMs waits at the platform for a change.
const LIST_WATCH_WAIT: TimeSpan = TimeSpan::from_secs(30);
/// Pause before a failed read of such a list is repeated.
const LIST_RETRY_PAUSE: TimeSpan = TimeSpan::from_secs(5);
/// Kind of gossip payload that tells which process imported a ticket window.
pub const IMPORT_PAYLOAD: u8 = 1;
/// Most windows whose importing process is remembered.
const SUCCESSOR_LIMIT: usize = 4_096;

impl FleetActor {
    pub(super) fn execute_member_actions(&mut self, actions: Vec<MemberAction>) {
        for action in actions {
            self.execute_member_action(action);
        }
    }

    pub(super) fn execute_member_action(&mut self, action: MemberAction) {
        match action {
            MemberAction::Send { to, message } => {
                self.update_address_book(&to);
                self.parts
                    .peers
                    .tell(to, PeerMessage::Member(Box::new(message)));
            }
            MemberAction::NodeChanged {
                node,
                state,
                incarnation,
                ..
            } => {
                self.update_address_book(&node);
                if state == NodeState::Alive {
                    // A new incarnation of a peer does not know the health of any target yet.
                    self.health_sent_at.clear();
                }
                let kind = match state {
                    NodeState::Alive => EventKind::PeerAlive,
                    NodeState::Suspect => EventKind::PeerSuspect,
                    NodeState::Leaving => EventKind::PeerLeaving,
                    NodeState::Dead => EventKind::PeerDead,
                };
                self.record_event(kind, format!("{node} run {incarnation}"));
            }
            MemberAction::NodeRemoved { node } => self.parts.claims.record_node_deleted(node),
            MemberAction::TargetChanged {
                target,
                domain,
                state,
                ..
            } => {
                self.on_target_state(&target, &domain, state);
            }
            MemberAction::LinkBroken { node } => {
                self.record_event(EventKind::PeerLinkBroken, node.as_str());
            }
            MemberAction::LinkRestored { node } => {
                self.record_event(EventKind::PeerRestored, node.as_str());
            }
            MemberAction::DomainChanged { domain, reachable } => {
                let kind = match reachable {
                    true => EventKind::DomainFound,
                    false => EventKind::DomainLost,
                };
                self.record_event(kind, domain.as_str());
            }
            MemberAction::RevisionMissing {
                from,
                revision,
                digest,
            } => self.on_revision_missing(&from, revision, digest),
            MemberAction::PayloadReceived { kind, bytes, .. } => self.on_payload(kind, &bytes),
            MemberAction::Superseded { incarnation } => {
                self.record_event(EventKind::NodeSuperseded, format!("run {incarnation}"));
                // The node stops at the first such message, so later ones may be dropped.
                let _ = self.parts.superseded.try_send(incarnation);
            }
            MemberAction::ViewStateChanged { state } => {
                self.record_event(EventKind::ViewChanged, state.to_string());
            }
        }
    }

    /// Handles a membership message that names a revision which this node does not have.
    fn on_revision_missing(&mut self, from: &NodeName, revision: RevisionNumber, head_check: u64) {
        let stamp = RevisionStamp {
            revision,
            head_check,
        };
        let digest = RevisionDigest {
            accepted: Some(stamp.into()),
            rejected: None,
            confirmed_age_ms: None,
        };
        let actions = self.revision_view.on_digest(self.now(), from, &digest);
        self.execute_revision_actions(actions);
    }

    /// Remembers which process imported a ticket window, as reported by a gossip payload.
    fn on_payload(&mut self, kind: u8, bytes: &[u8]) {
        if kind != IMPORT_PAYLOAD {
            return;
        }
        if let Ok((owner, successor)) = rmp_serde::from_slice::<(ProcessId, ProcessId)>(bytes) {
            if self.successors.len() >= SUCCESSOR_LIMIT {
                self.successors.pop_first();
            }
            self.successors.insert(owner, successor);
        }
    }

    /// Returns another live node of the domain of `node`; `None` if that is this node's domain.
    pub(super) fn find_other_node_of_domain(&self, node: &NodeName) -> Option<ProcessId> {
        let known = self.membership.node(node)?;
        if known.domain == self.parts.identity.domain {
            return None;
        }
        let live = self.membership.live_nodes(&known.domain);
        let other = live.into_iter().find(|name| name != node)?;
        let incarnation = self.membership.node(&other)?.incarnation;
        self.update_address_book(&other);
        Some(ProcessId::new(other, incarnation))
    }

    /// Copies a node's address from the membership table to the address book, if known.
    pub(super) fn update_address_book(&self, node: &NodeName) {
        let known = self.membership.node(node).and_then(|view| view.address);
        if let Some(address) = known {
            self.parts.peers.addresses().set(node.clone(), address);
        }
    }

    /// Tells the revision view which live nodes it may exchange revisions with.
    pub(super) fn update_revision_peers(&mut self) {
        let own = &self.parts.identity;
        let mut peers = Vec::new();
        for (domain, reachable) in self.membership.domains() {
            let nodes = match domain == own.domain {
                true => self.membership.live_nodes(&domain),
                false if reachable => self.membership.bridges(&domain),
                false => Vec::new(),
            };
            let limit = match domain == own.domain {
                true => usize::MAX,
                false => OTHER_DOMAIN_PEERS,
            };
            let others = nodes.into_iter().filter(|node| *node != own.node);
            peers.extend(
                others
                    .take(limit)
                    .map(|node| FleetPeer::new(node, domain.clone())),
            );
        }
        for (node, domain) in &self.seeds {
            if !peers.iter().any(|peer| peer.node == *node) {
                peers.push(FleetPeer::new(node.clone(), domain.clone()));
            }
        }
        peers.sort_unstable();
        let actions = self.revision_view.on_peers(self.now(), &peers);
        self.execute_revision_actions(actions);
    }

    /// Starts a watch of the platform's list of node VMs if none runs. A node that does not watch
    /// the platform still reads the list until one read has succeeded.
    pub(super) fn watch_node_list(&mut self, reader: bool) {
        let now = self.now();
        let running = self
            .node_list_watch
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        if running || now < self.next_node_list_at || (!reader && self.node_list_read) {
            return;
        }
        self.contact_seeds();
        let Some(address) = self.own_address.clone() else {
            return;
        };
        let platform = self.parts.platform.clone();
        let index = self.node_list_index;
        self.next_node_list_at = now + LIST_RETRY_PAUSE;
        self.node_list_watch = Some(tokio::spawn(async move {
            let response = platform.read_nodes(index, LIST_WATCH_WAIT).await;
            // Sending fails only once the node, and with it the actor, has stopped.
            let _ = address.send(NodeListFetched { response }).detach().await;
        }));
    }

    /// Asks the nodes at the seed addresses for their names, until a declaration is accepted, which
    /// names all nodes.
    pub(super) fn contact_seeds(&mut self) {
        if self.revision_view.accepted().is_some() {
            return;
        }
        for address in self.parts.seeds.clone() {
            let peers = self.parts.peers.clone();
            let Some(own) = self.own_address.clone() else {
                return;
            };
            let receiver = self.parts.identity.node.clone();
            tokio::spawn(async move {
                let response = peers
                    .ask_address(address, &receiver, PeerMessage::Hello)
                    .await;
                if let Ok(PeerResponse::Hello(hello)) = response {
                    let answered = SeedContacted {
                        address,
                        node: hello.node,
                        domain: hello.domain,
                    };
                    // Sending fails only once the node, and with it the actor, has stopped.
                    let _ = own.send(answered).detach().await;
                }
            });
        }
    }

    /// Starts a watch of the platform's list of target VMs if none runs. Only nodes that watch the
    /// platform do so; the others learn of changes by gossip.
    pub(super) fn watch_target_list(&mut self, reader: bool) {
        let now = self.now();
        let running = self
            .target_list_watch
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        if running || !reader || now < self.next_target_list_at {
            return;
        }
        self.next_target_list_at = now + LIST_RETRY_PAUSE;
        let Some(address) = self.own_address.clone() else {
            return;
        };
        let platform = self.parts.platform.clone();
        let index = self.target_list_index;
        self.target_list_watch = Some(tokio::spawn(async move {
            let response = platform.read_targets(index, LIST_WATCH_WAIT).await;
            // Sending fails only once the node, and with it the actor, has stopped.
            let _ = address.send(TargetListFetched { response }).detach().await;
        }));
    }

    /// Reports the targets that the platform lists as leaving to the membership table.
    pub(super) fn on_target_list(&mut self, index: u64, targets: Vec<ListedTarget>) {
        let now = self.now();
        self.target_list_index = index;
        self.next_target_list_at = now;
        for listed in targets.into_iter().filter(|listed| listed.leaving) {
            let view = self.parts.view.get();
            let fleet = view.fleet.as_ref();
            let Some(declared) = fleet.and_then(|fleet| fleet.target(&listed.target)) else {
                continue;
            };
            let observation = TargetObservation {
                target: listed.target,
                domain: declared.domain.clone(),
                incarnation: None,
                state: TargetState::Leaving,
                source: ObservationSource::Platform,
            };
            let mut actions = Vec::new();
            self.membership
                .on_target_observed(now, &observation, &mut actions);
            self.execute_member_actions(actions);
        }
    }
}
