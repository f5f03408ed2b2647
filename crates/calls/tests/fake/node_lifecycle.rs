use base::{IncarnationNumber, TimeSpan};
use calls::{ProcessId, TicketWindow, WindowPhase};
use rand::Rng;

use super::message::{Address, Event, Message};
use super::simulation::{NODES, Simulation, TARGETS, node_name};

use super::node::{Node, PEER_TIMEOUT, PeerView, TargetView};

impl Simulation {
    /// Updates a node's view of its peers and targets, as probes of the membership protocol would.
    /// A process that is dead or cut off is not seen.
    pub fn refresh_view(&mut self, at: usize) {
        if !self.nodes[at].alive || self.nodes[at].paused {
            return;
        }
        let now = self.now;
        for peer in 0..NODES {
            let up = self.nodes[peer].alive && !self.nodes[peer].paused;
            if up && !self.is_cut(Address::Node(at), Address::Node(peer)) {
                self.nodes[at].peers[peer] = PeerView {
                    last_heard: now,
                    incarnation: self.nodes[peer].incarnation,
                    stopping: self.nodes[peer].stopping,
                };
            }
        }
        for target in 0..TARGETS {
            let state = &self.targets[target];
            if !state.alive || self.is_cut(Address::Node(at), Address::Target(target)) {
                continue;
            }
            let view = TargetView {
                last_heard: now,
                leaving: state.leaving,
                incarnation: state.incarnation,
            };
            let known = std::mem::replace(&mut self.nodes[at].targets[target], view).incarnation;
            if known != 0 && known != view.incarnation {
                self.target_died(at, target, IncarnationNumber(known));
                self.nodes[at].targets[target] = view;
            }
        }
        let node = &mut self.nodes[at];
        node.window.expire(now);
        node.imports.expire(now);
        node.home.expire(now);
        node.crash.expire(now);
    }

    pub fn kill_node(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.alive = false;
        node.paused = false;
        let inbox = std::mem::take(&mut node.inbox);
        let calls = std::mem::take(&mut node.calls);
        let pending = std::mem::take(&mut node.pending);
        let readers = calls.into_values().flat_map(|call| call.readers);
        let waiting = pending.into_values().flatten().map(|call| call.path);
        let paths: Vec<_> = readers.chain(waiting).collect();
        let direct = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.node == at);
        let direct: Vec<_> = direct.map(|(id, _)| *id).collect();
        direct.into_iter().for_each(|id| self.break_exchange(id));
        inbox.into_iter().for_each(|event| self.drop_event(event));
        paths.into_iter().for_each(|path| self.break_path(path));
        let back = self.random.random_range(1_000..3_000);
        self.schedule_after(back, Event::StartNode(at));
    }

    pub fn start_node(&mut self, at: usize) {
        self.incarnation_count += 1;
        self.report.restarts += 1;
        let (run, now) = (self.incarnation_count, self.now);
        self.nodes[at] = Node::new(at, run, now, now, self.config.key_lifetime);
        self.refresh_view(at);
    }

    pub fn pause_node(&mut self, at: usize) {
        self.nodes[at].paused = true;
        let incarnation = self.nodes[at].incarnation;
        let span = self.random.random_range(1_000..60_000);
        self.schedule_after(span, Event::ResumeNode(at, incarnation));
    }

    pub fn resume_node(&mut self, at: usize, incarnation: u64) {
        let node = &mut self.nodes[at];
        if node.incarnation != incarnation || !node.paused {
            return;
        }
        node.paused = false;
        let inbox = std::mem::take(&mut node.inbox);
        // A node that was paused refreshes its view before it handles anything else.
        self.refresh_view(at);
        inbox
            .into_iter()
            .for_each(|event| self.node_event(at, event));
    }

    pub fn stop_node(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        node.stopping = true;
        node.stop_by = now + TimeSpan::from_secs(10);
        node.window.seal();
        node.home.seal();
        node.imports.iter_mut().for_each(TicketWindow::seal);
        let incarnation = node.incarnation;
        self.schedule_after(100, Event::CheckStop(at, incarnation));
    }

    pub fn check_stop(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let incarnation = node.incarnation;
        if *node.window.phase() != WindowPhase::Sealed {
            self.kill_node(at);
            return;
        }
        let mut open = self.exchanges.values();
        let relays = open.any(|exchange| exchange.nodes.contains(&at));
        let busy = relays || !node.calls.is_empty() || !node.pending.is_empty();
        if busy && now < node.stop_by {
            self.schedule_after(100, Event::CheckStop(at, incarnation));
            return;
        }
        let usable = |peer: &PeerView| !peer.stopping && peer.last_heard + PEER_TIMEOUT > now;
        let fresh = |peer: &usize| *peer != at && usable(&node.peers[*peer]);
        if let Some(peer) = (0..NODES).find(fresh) {
            let run = IncarnationNumber(node.peers[peer].incarnation);
            let successor = ProcessId::new(node_name(peer), run);
            let windows = node.imports.iter_mut();
            let mut exports: Vec<_> = windows
                .filter_map(|window| window.export(now, successor.clone()))
                .collect();
            exports.extend(node.window.export(now, successor));
            for export in exports {
                let msg = Message::Import(Box::new(export));
                self.send(Address::Node(at), Address::Node(peer), msg);
            }
        }
        // Leaves time to forward calls in transit to the successor.
        self.schedule_after(500, Event::CheckStop(at, incarnation));
    }
}
