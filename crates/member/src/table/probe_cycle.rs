use base::{ClockTime, NodeName};
use rand::seq::{IndexedRandom, SliceRandom};
use schema::member::{MessageBody, ProbeBody, RelayBody, RelayedBody};

use super::{MemberAction, MemberTable, ViewState};
use crate::probe::{PendingProbe, ProbePurpose, ProbeStage};
use crate::view::LinkState;

/// Most probes without an answer; no further ones are sent above it.
const MAX_PENDING_PROBES: usize = 256;

/// Direct probes that fail in a row, while peers reach the node, before its link counts as broken.
const BROKEN_LINK_FAILURES: u32 = 2;

/// One in this many probes goes to the next node by name, so that each node is probed by its
/// predecessor every 1.5 s. With random rounds alone the slowest of 600 detections among 26 nodes
/// took 6.6 s.
const SUCCESSOR_PROBE_EVERY: u32 = 3;

/// Number of dead or unknown nodes that a node without a confirmed view probes at once.
const UNCONFIRMED_RECONNECT_PROBES: usize = 3;

/// Factor by which a node without a confirmed view probes dead or unknown nodes more often.
const UNCONFIRMED_RECONNECT_FACTOR: u64 = 4;

impl MemberTable {
    /// Handles a refused connection to a node: the direct probe of it fails without waiting for the
    /// timeout.
    pub fn on_connection_refused(&mut self, now: ClockTime, node: &NodeName) {
        for probe in &mut self.pending_probes {
            if probe.node == *node && probe.stage == ProbeStage::Direct {
                probe.deadline = probe.deadline.min(now);
            }
        }
    }

    /// Sends the periodic probe for failure detection, and one to a random suspected node, which
    /// gets the chance to refute.
    pub(super) fn send_due_probes(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + self.local_health.scale(self.settings.probe_interval);
        let peers = self.running_peers();
        if let Some(node) = self.choose_probed_node(&peers) {
            let timeout = self.local_health.scale(self.settings.probe_timeout);
            self.send_probe(
                &node,
                ProbePurpose::FailureDetection,
                now + timeout,
                actions,
            );
        }
        let suspected = self.suspicions.choose(&mut self.random);
        if let Some((node, _)) = suspected.cloned() {
            self.send_reconnect_probe(now, &node, actions);
        }
    }

    /// Chooses the node to probe: one whose link may be broken, else the successor in every
    /// `SUCCESSOR_PROBE_EVERY`th turn, else the next of the random round.
    fn choose_probed_node(&mut self, peers: &[NodeName]) -> Option<NodeName> {
        if let Some(node) = self.recheck_node.take().filter(|node| peers.contains(node)) {
            return Some(node);
        }
        self.probe_turn = self.probe_turn.wrapping_add(1);
        if self.probe_turn.is_multiple_of(SUCCESSOR_PROBE_EVERY) {
            let own = &self.settings.node;
            let next = peers.iter().find(|peer| *peer > own);
            return next.or(peers.first()).cloned();
        }
        self.probe_order.next(peers, &mut self.random)
    }

    /// Periodically probes nodes of the own domain that are dead or unknown, so that both sides of
    /// a network partition find each other again.
    pub(super) fn send_due_reconnect_probes(
        &mut self,
        now: ClockTime,
        actions: &mut Vec<MemberAction>,
    ) {
        if now < self.next_reconnect {
            return;
        }
        let unconfirmed = self.view_state != ViewState::Confirmed;
        let interval = self.settings.reconnect_interval;
        self.next_reconnect = now
            + if unconfirmed {
                interval / UNCONFIRMED_RECONNECT_FACTOR
            } else {
                interval
            };
        let Some(view) = self.view.domain(&self.settings.domain) else {
            return;
        };
        let silent = view.nodes().iter().filter(|entry| !entry.is_running());
        let mut silent: Vec<NodeName> = silent.map(|entry| entry.record.node.clone()).collect();
        silent.shuffle(&mut self.random);
        silent.truncate(if unconfirmed {
            UNCONFIRMED_RECONNECT_PROBES
        } else {
            1
        });
        for node in silent {
            self.send_reconnect_probe(now, &node, actions);
        }
    }

    /// Probes a node that may be dead; a missing answer has no effect.
    pub(super) fn send_reconnect_probe(
        &mut self,
        now: ClockTime,
        node: &NodeName,
        actions: &mut Vec<MemberAction>,
    ) {
        let deadline = now + self.settings.indirect_probe_timeout;
        self.send_probe(node, ProbePurpose::Reconnect, deadline, actions);
    }

    /// Probes a node on behalf of a peer (an indirect probe).
    pub(super) fn handle_relay(
        &mut self,
        now: ClockTime,
        origin: &NodeName,
        relay: &RelayBody,
        actions: &mut Vec<MemberAction>,
    ) {
        if self.view.node(&relay.node).is_none() || relay.node == self.settings.node {
            return;
        }
        let purpose = ProbePurpose::Relay {
            origin: origin.clone(),
            origin_sequence: relay.sequence,
        };
        let deadline = now + self.settings.probe_timeout;
        self.send_probe(&relay.node, purpose, deadline, actions);
    }

    /// Handles the answer to a probe; returns false if no such probe is pending.
    pub(super) fn handle_ack(
        &mut self,
        from: &NodeName,
        sequence: u64,
        actions: &mut Vec<MemberAction>,
    ) -> bool {
        let mut pending = self.pending_probes.iter();
        let index = pending.position(|probe| probe.sequence == sequence && probe.node == *from);
        let Some(index) = index else {
            return false;
        };
        let probe = self.pending_probes.swap_remove(index);
        match probe.purpose {
            ProbePurpose::Relay {
                origin,
                origin_sequence,
            } => {
                self.send_relayed(&origin, origin_sequence, true, actions);
            }
            ProbePurpose::FailureDetection if probe.stage == ProbeStage::Direct => {
                self.local_health.improve()
            }
            ProbePurpose::FailureDetection | ProbePurpose::Reconnect => {}
        }
        self.restore_link(from, actions);
        true
    }

    /// Handles the result of an indirect probe from a peer; an answered one ends the probe.
    pub(super) fn handle_relayed(&mut self, result: &RelayedBody, actions: &mut Vec<MemberAction>) {
        let sequence = result.sequence;
        let mut pending = self.pending_probes.iter();
        let index = pending.position(|probe| probe.sequence == sequence);
        let Some(index) = index else {
            return;
        };
        let probe = &mut self.pending_probes[index];
        if probe.purpose != ProbePurpose::FailureDetection {
            return;
        }
        probe.outstanding_results = probe.outstanding_results.saturating_sub(1);
        if !result.answered {
            return;
        }
        let probe = self.pending_probes.swap_remove(index);
        self.record_relayed_answer(&probe.node, actions);
    }

    /// Fails the probes whose deadline has passed.
    pub(super) fn expire_probes(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let mut due = Vec::new();
        self.pending_probes.retain(|probe| {
            let expired = probe.deadline <= now;
            if expired {
                due.push(probe.clone());
            }
            !expired
        });
        for probe in due {
            self.fail_probe(now, probe, actions);
        }
    }

    /// Handles a probe without an answer: a direct one is followed by an indirect one, and after
    /// that the node is suspected.
    fn fail_probe(&mut self, now: ClockTime, probe: PendingProbe, actions: &mut Vec<MemberAction>) {
        match (&probe.purpose, probe.stage) {
            (ProbePurpose::Reconnect, _) => {}
            (
                ProbePurpose::Relay {
                    origin,
                    origin_sequence,
                },
                _,
            ) => {
                let origin = origin.clone();
                self.send_relayed(&origin, *origin_sequence, false, actions);
            }
            (ProbePurpose::FailureDetection, ProbeStage::Direct) => {
                self.start_indirect_probe(now, probe, actions)
            }
            (ProbePurpose::FailureDetection, ProbeStage::Indirect) => {
                if self.settings.features.local_health {
                    self.local_health.worsen(probe.outstanding_results);
                }
                self.suspect_node(now, &probe.node, actions);
            }
        }
    }

    /// Asks peers to probe a node; sends the direct probe again if there are no peers to ask.
    fn start_indirect_probe(
        &mut self,
        now: ClockTime,
        mut probe: PendingProbe,
        actions: &mut Vec<MemberAction>,
    ) {
        if let Some(entry) = self.view.node_mut(&probe.node) {
            entry.failed_direct_probes = entry.failed_direct_probes.saturating_add(1);
        }
        let mut relays = Vec::new();
        if self.settings.features.indirect_probes {
            relays = self.running_peers();
            relays.retain(|peer| *peer != probe.node && self.has_working_link(peer));
            relays.shuffle(&mut self.random);
            relays.truncate(self.settings.indirect_probe_peers);
        }
        let sequence = probe.sequence;
        probe.stage = ProbeStage::Indirect;
        probe.deadline = now
            + self
                .local_health
                .scale(self.settings.indirect_probe_timeout);
        probe.outstanding_results = relays.len() as u32;
        let node = probe.node.clone();
        self.pending_probes.push(probe);
        for relay_peer in &relays {
            let relay = RelayBody {
                sequence,
                node: node.clone(),
            };
            self.send(relay_peer, MessageBody::Relay(relay), actions);
        }
        if relays.is_empty() {
            self.send(&node, MessageBody::Probe(ProbeBody { sequence }), actions);
        }
    }

    fn send_probe(
        &mut self,
        node: &NodeName,
        purpose: ProbePurpose,
        deadline: ClockTime,
        actions: &mut Vec<MemberAction>,
    ) {
        if self.pending_probes.len() >= MAX_PENDING_PROBES {
            return;
        }
        self.sequence += 1;
        let sequence = self.sequence;
        self.pending_probes.push(PendingProbe {
            sequence,
            node: node.clone(),
            purpose,
            stage: ProbeStage::Direct,
            deadline,
            outstanding_results: 0,
        });
        self.send(node, MessageBody::Probe(ProbeBody { sequence }), actions);
    }

    /// Tells a peer the result of the probe it asked for.
    fn send_relayed(
        &mut self,
        origin: &NodeName,
        sequence: u64,
        answered: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        let result = RelayedBody { sequence, answered };
        self.send(origin, MessageBody::Relayed(result), actions);
    }

    /// Handles that peers reach a node while this node does not: the link is probed again, and
    /// counts as broken after `BROKEN_LINK_FAILURES` failures.
    fn record_relayed_answer(&mut self, node: &NodeName, actions: &mut Vec<MemberAction>) {
        let Some(entry) = self.view.node_mut(node) else {
            return;
        };
        if entry.failed_direct_probes < BROKEN_LINK_FAILURES {
            self.recheck_node = Some(node.clone());
            return;
        }
        if entry.link == LinkState::Good {
            entry.link = LinkState::Broken;
            actions.push(MemberAction::LinkBroken { node: node.clone() });
        }
    }

    /// Resets the failures of a link whose node answered a direct probe.
    fn restore_link(&mut self, node: &NodeName, actions: &mut Vec<MemberAction>) {
        let Some(entry) = self.view.node_mut(node) else {
            return;
        };
        entry.failed_direct_probes = 0;
        if entry.link == LinkState::Broken {
            entry.link = LinkState::Good;
            actions.push(MemberAction::LinkRestored { node: node.clone() });
        }
    }
}
