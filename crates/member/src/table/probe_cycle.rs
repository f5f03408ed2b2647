use base::{ClockTime, NodeName};
use rand::seq::{IndexedRandom, SliceRandom};
use schema::member::{MessageBody, ProbeBody, RelayBody, RelayedBody};

use super::{MemberAction, MemberTable, ViewState};
use crate::probe::{PendingProbe, ProbePurpose, ProbeStage};
use crate::view::LinkState;

/// Probes without an answer that are remembered.
const PENDING_LIMIT: usize = 256;

/// Direct probes that fail in a row, while peers reach the node, before its link counts as broken.
const BROKEN_MISSES: u32 = 2;

/// One in this many probes goes to the next node by name, so that some node probes each node
/// every 1.5 s. With random rounds alone the slowest of 600 detections among 26 nodes took 6.6 s.
const SUCCESSOR_TURN: u32 = 3;

/// Unknown nodes that a node without a confirmed view probes at once.
const START_PROBES: usize = 3;

/// How much faster a node without a confirmed view looks for others.
const START_SPEED: u64 = 4;

impl MemberTable {
    /// Notes that a connection to a node was refused: the probe of it fails without delay.
    pub fn on_unreachable(&mut self, now: ClockTime, node: &NodeName) {
        for probe in &mut self.pending {
            if probe.node == *node && probe.stage == ProbeStage::Direct {
                probe.deadline = probe.deadline.min(now);
            }
        }
    }

    pub(super) fn send_probes(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + self.health.scale(self.settings.probe_period);
        let peers = self.running_peers();
        if let Some(node) = self.choose_probed(&peers) {
            let timeout = self.health.scale(self.settings.probe_timeout);
            self.send_probe(&node, ProbePurpose::Own, now + timeout, actions);
        }
        let suspected = self.suspicions.choose(&mut self.random);
        if let Some((node, _)) = suspected.cloned() {
            self.send_reconnect(now, &node, actions);
        }
    }

    /// Next node to probe: one whose link is in doubt, in some turns the successor, else the next
    /// of the random round.
    fn choose_probed(&mut self, peers: &[NodeName]) -> Option<NodeName> {
        if let Some(node) = self.recheck.take().filter(|node| peers.contains(node)) {
            return Some(node);
        }
        self.turn = self.turn.wrapping_add(1);
        if self.turn.is_multiple_of(SUCCESSOR_TURN) {
            let own = &self.settings.node;
            let next = peers.iter().find(|peer| *peer > own);
            return next.or(peers.first()).cloned();
        }
        self.ring.next(peers, &mut self.random)
    }

    /// Looks for nodes that are dead or were never heard, so that both sides of a cut meet again.
    pub(super) fn send_reconnects(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        if now < self.next_reconnect {
            return;
        }
        let starting = self.view_state != ViewState::Confirmed;
        let period = self.settings.reconnect_period;
        self.next_reconnect = now
            + if starting {
                period / START_SPEED
            } else {
                period
            };
        let Some(view) = self.view.domain(&self.settings.domain) else {
            return;
        };
        let silent = view.nodes().iter().filter(|entry| !entry.is_running());
        let mut silent: Vec<NodeName> = silent.map(|entry| entry.record.node.clone()).collect();
        silent.shuffle(&mut self.random);
        silent.truncate(if starting { START_PROBES } else { 1 });
        for node in silent {
            self.send_reconnect(now, &node, actions);
        }
    }

    pub(super) fn send_reconnect(
        &mut self,
        now: ClockTime,
        node: &NodeName,
        actions: &mut Vec<MemberAction>,
    ) {
        let deadline = now + self.settings.relay_timeout;
        self.send_probe(node, ProbePurpose::Reconnect, deadline, actions);
    }

    pub(super) fn relay_probe(
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

    /// Returns whether the answer belongs to a probe that waits for it.
    pub(super) fn take_ack(
        &mut self,
        from: &NodeName,
        sequence: u64,
        actions: &mut Vec<MemberAction>,
    ) -> bool {
        let mut pending = self.pending.iter();
        let place = pending.position(|probe| probe.sequence == sequence && probe.node == *from);
        let Some(place) = place else {
            return false;
        };
        let probe = self.pending.swap_remove(place);
        match probe.purpose {
            ProbePurpose::Relay {
                origin,
                origin_sequence,
            } => {
                self.send_result(&origin, origin_sequence, true, actions);
            }
            ProbePurpose::Own if probe.stage == ProbeStage::Direct => self.health.improve(),
            ProbePurpose::Own | ProbePurpose::Reconnect => {}
        }
        self.restore_link(from, actions);
        true
    }

    pub(super) fn take_result(&mut self, result: &RelayedBody, actions: &mut Vec<MemberAction>) {
        let sequence = result.sequence;
        let mut pending = self.pending.iter();
        let place = pending.position(|probe| probe.sequence == sequence);
        let Some(place) = place else {
            return;
        };
        let probe = &mut self.pending[place];
        if probe.purpose != ProbePurpose::Own {
            return;
        }
        probe.missing_results = probe.missing_results.saturating_sub(1);
        if !result.answered {
            return;
        }
        let probe = self.pending.swap_remove(place);
        self.break_link(&probe.node, actions);
    }

    pub(super) fn expire_probes(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let mut due = Vec::new();
        self.pending.retain(|probe| {
            let late = probe.deadline <= now;
            if late {
                due.push(probe.clone());
            }
            !late
        });
        for probe in due {
            self.fail_probe(now, probe, actions);
        }
    }

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
                self.send_result(&origin, *origin_sequence, false, actions);
            }
            (ProbePurpose::Own, ProbeStage::Direct) => self.ask_peers(now, probe, actions),
            (ProbePurpose::Own, ProbeStage::Indirect) => {
                if self.settings.mechanisms.local_health {
                    self.health.worsen(probe.missing_results);
                }
                self.suspect_node(now, &probe.node, actions);
            }
        }
    }

    /// Repeats a probe through peers, or directly if there are none.
    fn ask_peers(
        &mut self,
        now: ClockTime,
        mut probe: PendingProbe,
        actions: &mut Vec<MemberAction>,
    ) {
        if let Some(entry) = self.view.node_mut(&probe.node) {
            entry.misses = entry.misses.saturating_add(1);
        }
        let mut helpers = Vec::new();
        if self.settings.mechanisms.indirect_probes {
            helpers = self.running_peers();
            helpers.retain(|peer| *peer != probe.node && self.has_link(peer));
            helpers.shuffle(&mut self.random);
            helpers.truncate(self.settings.relay_peers);
        }
        let sequence = probe.sequence;
        probe.stage = ProbeStage::Indirect;
        probe.deadline = now + self.health.scale(self.settings.relay_timeout);
        probe.missing_results = helpers.len() as u32;
        let node = probe.node.clone();
        self.pending.push(probe);
        for helper in &helpers {
            let relay = RelayBody {
                sequence,
                node: node.clone(),
            };
            self.send(helper, MessageBody::Relay(relay), actions);
        }
        if helpers.is_empty() {
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
        if self.pending.len() >= PENDING_LIMIT {
            return;
        }
        self.sequence += 1;
        let sequence = self.sequence;
        self.pending.push(PendingProbe {
            sequence,
            node: node.clone(),
            purpose,
            stage: ProbeStage::Direct,
            deadline,
            missing_results: 0,
        });
        self.send(node, MessageBody::Probe(ProbeBody { sequence }), actions);
    }

    fn send_result(
        &mut self,
        origin: &NodeName,
        sequence: u64,
        answered: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        let result = RelayedBody { sequence, answered };
        self.send(origin, MessageBody::Relayed(result), actions);
    }

    /// Notes that peers reach a node while this node does not.
    fn break_link(&mut self, node: &NodeName, actions: &mut Vec<MemberAction>) {
        let Some(entry) = self.view.node_mut(node) else {
            return;
        };
        if entry.misses < BROKEN_MISSES {
            self.recheck = Some(node.clone());
            return;
        }
        if entry.link == LinkState::Good {
            entry.link = LinkState::Broken;
            actions.push(MemberAction::LinkBroken { node: node.clone() });
        }
    }

    fn restore_link(&mut self, node: &NodeName, actions: &mut Vec<MemberAction>) {
        let Some(entry) = self.view.node_mut(node) else {
            return;
        };
        entry.misses = 0;
        if entry.link == LinkState::Broken {
            entry.link = LinkState::Good;
            actions.push(MemberAction::LinkRestored { node: node.clone() });
        }
    }
}
