use std::sync::Arc;

use base::{ClockTime, EventKind, NodeName, TargetName};
use fleet::{FleetDeclaration, RevisionAction, RevisionStamp, SetSource};
use member::DeclaredNode;
use schema::fleet::PullRequest;

use super::fleet_actor::{FleetActor, ProbeState};
use super::fleet_message::{HeadFetched, KeysFetched, PullCompleted};
use crate::{PeerMessage, PeerResponse, TargetView};

impl FleetActor {
    pub(super) fn execute_revision_actions(&mut self, actions: Vec<RevisionAction>) {
        for action in actions {
            self.execute_revision_action(action);
        }
    }

    pub(super) fn execute_revision_action(&mut self, action: RevisionAction) {
        match action {
            RevisionAction::SendDigest { to, digest } => {
                self.update_address_book(&to);
                self.parts.peers.tell(to, PeerMessage::Digest(digest));
            }
            RevisionAction::Pull { to, pull, request } => self.pull(to, pull, request),
            RevisionAction::ReadHead { call, index, wait } => {
                let platform = self.parts.platform.clone();
                let read = async move {
                    let response = platform.read_head(index, wait).await;
                    HeadFetched { call, response }
                };
                let task = self.spawn_and_report(read);
                self.platform_calls.extend(task.map(|task| (call, task)));
            }
            RevisionAction::ReadKeys { call, scope } => {
                let platform = self.parts.platform.clone();
                let read = async move {
                    let response = platform.read_keys(&scope).await;
                    KeysFetched { call, response }
                };
                let task = self.spawn_and_report(read);
                self.platform_calls.extend(task.map(|task| (call, task)));
            }
            RevisionAction::CancelCall { call } => {
                if let Some(task) = self.platform_calls.remove(&call) {
                    task.abort();
                }
            }
            RevisionAction::Accepted {
                stamp,
                declaration,
                source,
            } => self.apply_declaration(stamp, declaration, &source),
            RevisionAction::Rejected {
                stamp, mistakes, ..
            } => {
                let first = mistakes
                    .first()
                    .map(ToString::to_string)
                    .unwrap_or_default();
                let detail = format!("{stamp}: {} mistakes, first: {first}", mistakes.len());
                self.record_event(EventKind::RevisionRejected, detail);
            }
            RevisionAction::Ignored { stamp, source } => {
                self.record_event(
                    EventKind::RevisionIgnored,
                    format!("{stamp} from {source:?}"),
                );
            }
            RevisionAction::PlatformLost => self.record_event(EventKind::PlatformLost, ""),
            RevisionAction::PlatformFound => self.record_event(EventKind::PlatformFound, ""),
            RevisionAction::Ready { basis } => {
                self.record_event(EventKind::NodeReady, basis.to_string());
            }
        }
    }

    /// Asks a peer for keys of a revision.
    pub(super) fn pull(&mut self, to: NodeName, pull: u64, request: PullRequest) {
        self.update_address_book(&to);
        let peers = self.parts.peers.clone();
        self.spawn_and_report(async move {
            let received = peers.ask(&to, PeerMessage::Pull(request)).await;
            let response = match received {
                Ok(PeerResponse::Pulled(response)) => Some(response),
                _ => None,
            };
            PullCompleted { pull, response }
        });
    }

    /// Puts an accepted declaration into effect in all parts of the node.
    pub(super) fn apply_declaration(
        &mut self,
        stamp: RevisionStamp,
        declaration: Arc<FleetDeclaration>,
        source: &SetSource,
    ) {
        let now = self.now();
        self.record_event(
            EventKind::RevisionAccepted,
            format!("{stamp} from {source:?}"),
        );
        let nodes: Vec<DeclaredNode> = declaration
            .nodes
            .iter()
            .map(|node| DeclaredNode {
                node: node.name.clone(),
                domain: node.domain.clone(),
                address: node.peer_address,
            })
            .collect();
        for node in &nodes {
            self.parts
                .peers
                .addresses()
                .set(node.node.clone(), node.address);
        }
        let targets: Vec<TargetName> = declaration
            .targets
            .iter()
            .map(|target| target.name.clone())
            .collect();
        let mut actions = Vec::new();
        self.membership.on_declared_nodes(now, &nodes, &mut actions);
        self.membership.on_declared_targets(now, &targets);
        self.membership
            .set_revision(stamp.revision, stamp.head_check);
        let names = nodes.into_iter().map(|node| node.node).collect();
        self.parts.claims.set_declared_nodes(stamp.revision, names);
        self.reconciler
            .on_declaration(now, stamp.revision, &declaration);
        self.replace_targets(now, stamp, declaration);
        self.execute_member_actions(actions);
    }

    /// Replaces the declaration and the targets of the view; targets that are still declared keep
    /// their state.
    pub(super) fn replace_targets(
        &mut self,
        now: ClockTime,
        stamp: RevisionStamp,
        declaration: Arc<FleetDeclaration>,
    ) {
        let own = &self.parts.identity.domain;
        let old = self.parts.view.get();
        let targets: Vec<TargetView> = declaration
            .targets
            .iter()
            .filter(|target| target.domain == *own)
            .map(|target| {
                let known = old.target(&target.name).cloned();
                known.unwrap_or_else(|| TargetView::new(target.name.clone(), now))
            })
            .collect();
        self.probes.retain(|name, _| {
            targets
                .binary_search_by(|target| target.target.cmp(name))
                .is_ok()
        });
        for target in &targets {
            self.probes
                .entry(target.target.clone())
                .or_insert(ProbeState {
                    due: now,
                    running: false,
                    failures: 0,
                });
        }
        self.parts.view.update(|view| {
            view.revision = Some(stamp.revision);
            view.fleet = Some(declaration);
            view.targets = targets;
        });
        self.publish_targets();
    }
}
