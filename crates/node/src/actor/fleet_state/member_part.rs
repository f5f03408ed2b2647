use base::{EventKind, NodeName, RevisionNumber, TimeSpan};
use calls::ProcessId;
use fleet::{FleetPeer, RevisionStamp};
use member::{MemberAction, NodeState, ObservationSource, TargetObservation, TargetState};
use schema::fleet::RevisionDigest;

use super::fleet_actor::FleetActor;
use super::fleet_message::{NodesRead, SeedAnswered, TargetsRead};
use crate::{ListedTarget, PeerMessage, PeerReply};

/// Nodes of another domain that revisions are exchanged with.
const FAR_PEERS: usize = 2;
/// Wait of one watch of the platform's list of VMs.
const LIST_WAIT: TimeSpan = TimeSpan::from_secs(30);
/// Pause after a failed read of that list.
const LIST_PAUSE: TimeSpan = TimeSpan::from_secs(5);
/// Payload of membership messages that tells who took a ticket window over.
pub const IMPORT_PAYLOAD: u8 = 1;
/// Windows whose successors are remembered.
const SUCCESSOR_LIMIT: usize = 4_096;

impl FleetActor {
    pub(super) fn carry_out_member(&mut self, actions: Vec<MemberAction>) {
        for action in actions {
            self.carry_out_member_action(action);
        }
    }

    pub(super) fn carry_out_member_action(&mut self, action: MemberAction) {
        match action {
            MemberAction::Send { to, message } => {
                self.learn_address(&to);
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
                self.learn_address(&node);
                if state == NodeState::Alive {
                    // A new run of a peer knows the health of no target yet.
                    self.told_health.clear();
                }
                let kind = match state {
                    NodeState::Alive => EventKind::PeerAlive,
                    NodeState::Suspect => EventKind::PeerSuspect,
                    NodeState::Leaving => EventKind::PeerLeaving,
                    NodeState::Dead => EventKind::PeerDead,
                };
                self.note(kind, format!("{node} run {incarnation}"));
            }
            MemberAction::NodeRemoved { node } => self.parts.claims.record_node_deleted(node),
            MemberAction::TargetChanged {
                target,
                domain,
                state,
                ..
            } => {
                self.change_target(&target, &domain, state);
            }
            MemberAction::LinkBroken { node } => {
                self.note(EventKind::PeerLinkBroken, node.as_str());
            }
            MemberAction::LinkRestored { node } => {
                self.note(EventKind::PeerRestored, node.as_str());
            }
            MemberAction::DomainChanged { domain, reachable } => {
                let kind = match reachable {
                    true => EventKind::DomainFound,
                    false => EventKind::DomainLost,
                };
                self.note(kind, domain.as_str());
            }
            MemberAction::RevisionMissing {
                from,
                revision,
                digest,
            } => self.see_revision(&from, revision, digest),
            MemberAction::PayloadReceived { kind, bytes, .. } => self.take_payload(kind, &bytes),
            MemberAction::Superseded { incarnation } => {
                self.note(EventKind::NodeSuperseded, format!("run {incarnation}"));
                // The node stops at the first such message.
                let _ = self.parts.superseded.try_send(incarnation);
            }
            MemberAction::ViewStateChanged { state } => {
                self.note(EventKind::ViewChanged, state.to_string());
            }
        }
    }

    /// A membership message told of a revision that this node does not have.
    fn see_revision(&mut self, from: &NodeName, revision: RevisionNumber, head_check: u64) {
        let stamp = RevisionStamp {
            revision,
            head_check,
        };
        let digest = RevisionDigest {
            accepted: Some(stamp.into()),
            rejected: None,
            confirmed_age_ms: None,
        };
        let actions = self.revision.on_digest(self.now(), from, &digest);
        self.carry_out_revision(actions);
    }

    /// Notes which process took a ticket window over.
    fn take_payload(&mut self, kind: u8, bytes: &[u8]) {
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

    /// A node of the same domain as `node`, if that is not the own domain.
    pub(super) fn find_substitute(&self, node: &NodeName) -> Option<ProcessId> {
        let known = self.member.node(node)?;
        if known.domain == self.parts.identity.domain {
            return None;
        }
        let live = self.member.live_nodes(&known.domain);
        let other = live.into_iter().find(|name| name != node)?;
        let run = self.member.node(&other)?.incarnation;
        self.learn_address(&other);
        Some(ProcessId::new(other, run))
    }

    pub(super) fn learn_address(&self, node: &NodeName) {
        let known = self.member.node(node).and_then(|view| view.address);
        if let Some(address) = known {
            self.parts.peers.addresses().set(node.clone(), address);
        }
    }

    /// Gives the revision view the live nodes that it may talk to.
    pub(super) fn tell_peers(&mut self) {
        let own = &self.parts.identity;
        let mut peers = Vec::new();
        for (domain, reachable) in self.member.domains() {
            let nodes = match domain == own.domain {
                true => self.member.live_nodes(&domain),
                false if reachable => self.member.bridges(&domain),
                false => Vec::new(),
            };
            let limit = match domain == own.domain {
                true => usize::MAX,
                false => FAR_PEERS,
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
        let actions = self.revision.on_peers(self.now(), &peers);
        self.carry_out_revision(actions);
    }

    pub(super) fn watch_list(&mut self, reader: bool) {
        let now = self.now();
        let running = self
            .list_watch
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        if running || now < self.next_list || (!reader && self.list_read) {
            return;
        }
        self.ask_seeds();
        let Some(address) = self.own.clone() else {
            return;
        };
        let platform = self.parts.platform.clone();
        let index = self.list_index;
        self.next_list = now + LIST_PAUSE;
        self.list_watch = Some(tokio::spawn(async move {
            let answer = platform.read_nodes(index, LIST_WAIT).await;
            // The actor is gone once the node has stopped.
            let _ = address.send(NodesRead { answer }).detach().await;
        }));
    }

    /// Asks the nodes of the settings who they are, until a declaration names all nodes.
    pub(super) fn ask_seeds(&mut self) {
        if self.revision.accepted().is_some() {
            return;
        }
        for address in self.parts.seeds.clone() {
            let peers = self.parts.peers.clone();
            let Some(own) = self.own.clone() else {
                return;
            };
            let anyone = self.parts.identity.node.clone();
            tokio::spawn(async move {
                let reply = peers
                    .ask_address(address, &anyone, PeerMessage::Hello)
                    .await;
                if let Ok(PeerReply::Hello(hello)) = reply {
                    let answered = SeedAnswered {
                        address,
                        node: hello.node,
                        domain: hello.domain,
                    };
                    // The actor is gone once the node has stopped.
                    let _ = own.send(answered).detach().await;
                }
            });
        }
    }

    /// Only readers watch the targets; the others learn of them by gossip.
    pub(super) fn watch_targets(&mut self, reader: bool) {
        let now = self.now();
        let running = self
            .target_watch
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        if running || !reader || now < self.next_targets {
            return;
        }
        self.next_targets = now + LIST_PAUSE;
        let Some(address) = self.own.clone() else {
            return;
        };
        let platform = self.parts.platform.clone();
        let index = self.target_index;
        self.target_watch = Some(tokio::spawn(async move {
            let answer = platform.read_targets(index, LIST_WAIT).await;
            // The actor is gone once the node has stopped.
            let _ = address.send(TargetsRead { answer }).detach().await;
        }));
    }

    pub(super) fn take_listed_targets(&mut self, index: u64, targets: Vec<ListedTarget>) {
        let now = self.now();
        self.target_index = index;
        self.next_targets = now;
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
            self.member
                .on_target_observed(now, &observation, &mut actions);
            self.carry_out_member(actions);
        }
    }
}
