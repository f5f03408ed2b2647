use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use base::{ClockTime, DomainName, NodeName, TimeSpan};
use member::{
    DeclaredNode, MemberAction, MemberMessage, MemberTable, NodeState, ProtocolFeatures,
    TargetObservation,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::FakeNode;

/// Time between two ticks of each table, in milliseconds.
const TICK: u64 = 50;

/// Simulated nodes, the messages in flight, and the actions that the tables returned.
pub struct FakeNetwork {
    pub now: ClockTime,
    pub nodes: Vec<FakeNode>,
    /// (sender, receiver) pairs between which all messages are lost.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// (sender, receiver) pairs whose next message is lost.
    pub drop_next_message: Vec<(usize, usize)>,
    /// Time, node and action for every action other than sending a message.
    pub reported: Vec<(ClockTime, usize, MemberAction)>,
    /// Messages and bytes sent, by kind of body.
    pub traffic_by_kind: BTreeMap<&'static str, (u64, u64)>,
    /// Size of the largest message in bytes.
    pub largest_message: u64,
    indexes: BTreeMap<NodeName, usize>,
    declared: Vec<DeclaredNode>,
    features: ProtocolFeatures,
    random: Pcg64Mcg,
    /// Messages in flight, by descending time and order of sending, so that the next one is last.
    queue: BTreeMap<(Reverse<u64>, u64), (usize, usize, MemberMessage)>,
    message_count: u64,
}

impl FakeNetwork {
    /// Creates `count` nodes in each of `domains` domains, none of them started.
    pub fn new(domains: usize, count: usize, seed: u64, features: ProtocolFeatures) -> Self {
        let mut nodes = Vec::new();
        let mut declared = Vec::new();
        for index in 0..domains * count {
            let domain: DomainName = format!("balaju{}", index / count).parse().unwrap();
            let name: NodeName = format!("{domain}-{}", index % count).parse().unwrap();
            let address = "127.0.0.1:9000".parse().unwrap();
            nodes.push(FakeNode::new(name.clone(), domain.clone()));
            declared.push(DeclaredNode {
                node: name,
                domain,
                address,
            });
        }
        let indexes = nodes
            .iter()
            .enumerate()
            .map(|(index, node)| (node.name.clone(), index));
        Self {
            now: ClockTime::new(1_000),
            indexes: indexes.collect(),
            nodes,
            blocked_links: BTreeSet::new(),
            drop_next_message: Vec::new(),
            reported: Vec::new(),
            traffic_by_kind: BTreeMap::new(),
            largest_message: 0,
            declared,
            features,
            random: Pcg64Mcg::seed_from_u64(seed),
            queue: BTreeMap::new(),
            message_count: 0,
        }
    }

    /// Creates a network, starts all nodes, runs it for 20 s and clears the reported actions.
    pub fn converged(domains: usize, count: usize, seed: u64) -> Self {
        Self::converged_with(domains, count, seed, ProtocolFeatures::default())
    }

    /// Like `converged`, with a given set of protocol features.
    pub fn converged_with(
        domains: usize,
        count: usize,
        seed: u64,
        features: ProtocolFeatures,
    ) -> Self {
        let mut network = Self::new(domains, count, seed, features);
        for index in 0..network.nodes.len() {
            network.start(index);
        }
        network.run(20_000);
        network.reported.clear();
        network
    }

    /// Starts a node; if it runs already, replaces it by a new run.
    pub fn start(&mut self, index: usize) {
        let seed = self.random.random();
        let millis = self.now.as_millis();
        self.nodes[index].start(millis, seed, self.features);
        let declared = self.declared.clone();
        self.with_table(index, |table, now, actions| {
            table.on_declared_nodes(now, &declared, actions)
        });
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].table = None;
        self.nodes[index].queued_while_paused.clear();
    }

    pub fn pause(&mut self, index: usize) {
        self.nodes[index].paused = true;
    }

    /// Resumes a paused node: it ticks before it handles the messages that arrived meanwhile.
    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        self.tick(index);
        for (from, message) in std::mem::take(&mut self.nodes[index].queued_while_paused) {
            self.deliver(from, index, message);
        }
    }

    pub fn leave(&mut self, index: usize) {
        self.with_table(index, |table, now, actions| {
            table.announce_leave(now, actions)
        });
    }

    pub fn observe(&mut self, index: usize, observation: &TargetObservation) {
        self.with_table(index, |table, now, actions| {
            table.on_target_observed(now, observation, actions);
        });
    }

    /// Blocks all links between two groups of nodes, in both directions.
    pub fn block_between(&mut self, left: &[usize], right: &[usize]) {
        for &one in left {
            for &other in right {
                self.blocked_links.insert((one, other));
                self.blocked_links.insert((other, one));
            }
        }
    }

    /// Advances virtual time: delivers the messages that are due and ticks all nodes.
    pub fn run(&mut self, millis: u64) {
        let end = self.now.as_millis() + millis;
        while self.now.as_millis() < end {
            let next = self.now.as_millis() + TICK;
            while let Some(entry) = self.queue.last_entry() {
                if entry.key().0.0 > next {
                    break;
                }
                let ((Reverse(time), _), (from, to, message)) = entry.remove_entry();
                self.now = ClockTime::new(time.max(self.now.as_millis()));
                self.deliver(from, to, message);
            }
            self.now = ClockTime::new(next);
            for index in 0..self.nodes.len() {
                self.tick(index);
            }
        }
    }

    /// State of a node in the table of another.
    pub fn state(&self, observer: usize, subject: usize) -> NodeState {
        let view = self.nodes[observer].table().node(&self.nodes[subject].name);
        view.map_or(NodeState::Dead, |view| view.state)
    }

    /// First time that a node's table reported another node in a state, of any run.
    pub fn first_reported(
        &self,
        observer: usize,
        subject: usize,
        wanted: NodeState,
    ) -> Option<ClockTime> {
        let reported = self.reported.iter().find(|(_, by, action)| {
            matches!(action, MemberAction::NodeChanged { node, state, .. }
                if *by == observer && *node == self.nodes[subject].name && *state == wanted)
        });
        reported.map(|(time, ..)| *time)
    }

    /// Number of nodes whose tables reported a node in a state.
    pub fn count_reported(&self, subject: usize, wanted: NodeState) -> usize {
        let indexes = 0..self.nodes.len();
        indexes
            .filter(|at| self.first_reported(*at, subject, wanted).is_some())
            .count()
    }

    pub fn sent_bytes(&self) -> Vec<u64> {
        self.nodes.iter().map(|node| node.sent_bytes).collect()
    }

    /// Whether the running nodes of each domain hold equal records, and every running node sees the
    /// current run of every other one alive.
    pub fn views_converged(&self) -> bool {
        let indexes = 0..self.nodes.len();
        let views_equal = self.nodes.iter().all(|node| {
            self.views_equal_among(
                indexes
                    .clone()
                    .filter(|at| self.nodes[*at].domain == node.domain),
            )
        });
        let running = self.running();
        let mut pairs = running
            .iter()
            .flat_map(|at| running.iter().map(move |of| (*at, *of)));
        views_equal && pairs.all(|(at, of)| self.sees_alive(at, of))
    }

    /// Whether one node knows the current run of another as alive.
    pub fn sees_alive(&self, observer: usize, subject: usize) -> bool {
        let view = self.nodes[observer].table().node(&self.nodes[subject].name);
        let run = self.nodes[subject].table().incarnation();
        view.is_some_and(|view| view.state == NodeState::Alive && view.incarnation == run)
    }

    /// Whether those of the given nodes that run hold equal records.
    pub fn views_equal_among(&self, indexes: impl Iterator<Item = usize>) -> bool {
        let running = indexes.filter(|index| self.nodes[*index].is_active());
        let digests: BTreeSet<u64> = running
            .map(|index| self.nodes[index].table().view_digest())
            .collect();
        digests.len() <= 1
    }

    fn running(&self) -> Vec<usize> {
        let indexes = 0..self.nodes.len();
        indexes
            .filter(|index| self.nodes[*index].is_active())
            .collect()
    }

    /// Calls a function with a node's table and carries out the returned actions; does nothing if
    /// the node does not run.
    pub fn with_table(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut MemberTable, ClockTime, &mut Vec<MemberAction>),
    ) {
        let mut actions = Vec::new();
        if let Some(table) = &mut self.nodes[index].table {
            call(table, self.now, &mut actions);
        }
        for action in actions {
            self.execute(index, action);
        }
    }

    fn tick(&mut self, index: usize) {
        if self.nodes[index].is_active() {
            self.with_table(index, MemberTable::on_tick);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: MemberMessage) {
        if self.nodes[to].paused {
            return self.nodes[to].queued_while_paused.push((from, message));
        }
        let sender = self.nodes[from].name.clone();
        self.with_table(to, |table, now, actions| {
            table.on_message(now, &sender, message, actions);
        });
    }

    fn execute(&mut self, from: usize, action: MemberAction) {
        let MemberAction::Send { to, message } = action else {
            return self.reported.push((self.now, from, action));
        };
        let to = self.indexes[&to];
        let size = rmp_serde::to_vec(&message).unwrap().len() as u64;
        let kind = self.traffic_by_kind.entry(body_name(&message)).or_default();
        *kind = (kind.0 + 1, kind.1 + size);
        self.largest_message = self.largest_message.max(size);
        self.nodes[from].sent_bytes += size;
        self.nodes[from].sent_messages += 1;
        self.nodes[to].received_bytes += size;
        if let Some(index) = self
            .drop_next_message
            .iter()
            .position(|pair| *pair == (from, to))
        {
            self.drop_next_message.swap_remove(index);
            return;
        }
        if self.blocked_links.contains(&(from, to)) || self.nodes[to].table.is_none() {
            return;
        }
        let same_domain = self.nodes[from].domain == self.nodes[to].domain;
        let latency = TimeSpan::new(if same_domain {
            1
        } else {
            self.random.random_range(2..20)
        });
        self.message_count += 1;
        let time = (self.now + latency).as_millis();
        self.queue.insert(
            (Reverse(time), u64::MAX - self.message_count),
            (from, to, message),
        );
    }
}

fn body_name(message: &MemberMessage) -> &'static str {
    use schema::member::MessageBody;
    match message.body {
        MessageBody::Probe(_) => "probe",
        MessageBody::Ack(_) => "ack",
        MessageBody::Relay(_) => "relay",
        MessageBody::Relayed(_) => "relayed",
        MessageBody::SyncStart(_) => "sync_start",
        MessageBody::SyncOffer(_) => "sync_offer",
        MessageBody::SyncRecords(_) => "sync_records",
        MessageBody::Gossip => "gossip",
    }
}
