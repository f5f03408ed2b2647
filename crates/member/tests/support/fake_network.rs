use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use base::{ClockTime, DomainName, NodeName, TimeSpan};
use member::{
    DeclaredNode, MechanismSet, MemberAction, MemberMessage, MemberTable, NodeState,
    TargetObservation,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::FakeNode;

const TICK: u64 = 50;

/// Nodes, messages under way, and what the tables told.
pub struct FakeNetwork {
    pub now: ClockTime,
    pub nodes: Vec<FakeNode>,
    /// Directed pairs whose messages are lost.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Directed pairs whose next message is lost.
    pub drop_next: Vec<(usize, usize)>,
    /// What each table told besides messages.
    pub told: Vec<(ClockTime, usize, MemberAction)>,
    pub kinds: BTreeMap<&'static str, (u64, u64)>,
    pub largest: u64,
    places: BTreeMap<NodeName, usize>,
    declared: Vec<DeclaredNode>,
    mechanisms: MechanismSet,
    random: Pcg64Mcg,
    queue: BTreeMap<(Reverse<u64>, u64), (usize, usize, MemberMessage)>,
    order: u64,
}

impl FakeNetwork {
    /// Creates `count` nodes in each of `domains` domains; none runs yet.
    pub fn new(domains: usize, count: usize, seed: u64, mechanisms: MechanismSet) -> Self {
        let mut nodes = Vec::new();
        let mut declared = Vec::new();
        for place in 0..domains * count {
            let domain: DomainName = format!("balaju{}", place / count).parse().unwrap();
            let name: NodeName = format!("{domain}-{}", place % count).parse().unwrap();
            let address = "127.0.0.1:9000".parse().unwrap();
            nodes.push(FakeNode::new(name.clone(), domain.clone()));
            declared.push(DeclaredNode {
                node: name,
                domain,
                address,
            });
        }
        let places = nodes
            .iter()
            .enumerate()
            .map(|(place, node)| (node.name.clone(), place));
        Self {
            now: ClockTime::new(1_000),
            places: places.collect(),
            nodes,
            cuts: BTreeSet::new(),
            drop_next: Vec::new(),
            told: Vec::new(),
            kinds: BTreeMap::new(),
            largest: 0,
            declared,
            mechanisms,
            random: Pcg64Mcg::seed_from_u64(seed),
            queue: BTreeMap::new(),
            order: 0,
        }
    }

    /// Creates a network, starts all nodes and lets it settle.
    pub fn settled(domains: usize, count: usize, seed: u64) -> Self {
        Self::settled_with(domains, count, seed, MechanismSet::default())
    }

    pub fn settled_with(domains: usize, count: usize, seed: u64, mechanisms: MechanismSet) -> Self {
        let mut network = Self::new(domains, count, seed, mechanisms);
        for place in 0..network.nodes.len() {
            network.start(place);
        }
        network.run(20_000);
        network.told.clear();
        network
    }

    /// Starts a node, or restarts it as a new run.
    pub fn start(&mut self, place: usize) {
        let seed = self.random.random();
        let millis = self.now.as_millis();
        self.nodes[place].start(millis, seed, self.mechanisms);
        let declared = self.declared.clone();
        self.with_table(place, |table, now, actions| {
            table.on_declared(now, &declared, actions)
        });
    }

    pub fn kill(&mut self, place: usize) {
        self.nodes[place].table = None;
        self.nodes[place].held.clear();
    }

    pub fn pause(&mut self, place: usize) {
        self.nodes[place].paused = true;
    }

    /// Resumes a node: its timers fire before it reads what arrived meanwhile.
    pub fn resume(&mut self, place: usize) {
        self.nodes[place].paused = false;
        self.tick(place);
        for (from, message) in std::mem::take(&mut self.nodes[place].held) {
            self.deliver(from, place, message);
        }
    }

    pub fn leave(&mut self, place: usize) {
        self.with_table(place, |table, now, actions| table.leave(now, actions));
    }

    pub fn observe(&mut self, place: usize, observation: &TargetObservation) {
        self.with_table(place, |table, now, actions| {
            table.on_target_observed(now, observation, actions);
        });
    }

    /// Loses all messages between two groups, in both directions.
    pub fn cut(&mut self, left: &[usize], right: &[usize]) {
        for &one in left {
            for &other in right {
                self.cuts.insert((one, other));
                self.cuts.insert((other, one));
            }
        }
    }

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
            for place in 0..self.nodes.len() {
                self.tick(place);
            }
        }
    }

    /// State of one node in the table of another.
    pub fn state(&self, at: usize, of: usize) -> NodeState {
        let view = self.nodes[at].table().node(&self.nodes[of].name);
        view.map_or(NodeState::Dead, |view| view.state)
    }

    /// First time that the table of one node told a state of another, of any run.
    pub fn first_told(&self, at: usize, of: usize, wanted: NodeState) -> Option<ClockTime> {
        let told = self.told.iter().find(|(_, by, action)| {
            matches!(action, MemberAction::Changed { node, state, .. }
                if *by == at && *node == self.nodes[of].name && *state == wanted)
        });
        told.map(|(time, ..)| *time)
    }

    /// How often any table told that a node is in a state.
    pub fn count_told(&self, of: usize, wanted: NodeState) -> usize {
        let places = 0..self.nodes.len();
        places
            .filter(|at| self.first_told(*at, of, wanted).is_some())
            .count()
    }

    pub fn sent_bytes(&self) -> Vec<u64> {
        self.nodes.iter().map(|node| node.sent_bytes).collect()
    }

    /// Whether all running nodes see one another's run alive, and those of a domain hold equal
    /// records.
    pub fn agrees(&self) -> bool {
        let places = 0..self.nodes.len();
        let level = self.nodes.iter().all(|node| {
            self.agrees_within(
                places
                    .clone()
                    .filter(|at| self.nodes[*at].domain == node.domain),
            )
        });
        let running = self.running();
        let mut pairs = running
            .iter()
            .flat_map(|at| running.iter().map(move |of| (*at, *of)));
        level && pairs.all(|(at, of)| self.sees_alive(at, of))
    }

    /// Whether one node knows the present run of another as alive.
    pub fn sees_alive(&self, at: usize, of: usize) -> bool {
        let view = self.nodes[at].table().node(&self.nodes[of].name);
        let run = self.nodes[of].table().incarnation();
        view.is_some_and(|view| view.state == NodeState::Alive && view.incarnation == run)
    }

    /// Whether the running ones of some nodes hold equal records.
    pub fn agrees_within(&self, places: impl Iterator<Item = usize>) -> bool {
        let running = places.filter(|place| self.nodes[*place].runs_freely());
        let digests: BTreeSet<u64> = running
            .map(|place| self.nodes[place].table().view_digest())
            .collect();
        digests.len() <= 1
    }

    fn running(&self) -> Vec<usize> {
        let places = 0..self.nodes.len();
        places
            .filter(|place| self.nodes[*place].runs_freely())
            .collect()
    }

    pub fn with_table(
        &mut self,
        place: usize,
        call: impl FnOnce(&mut MemberTable, ClockTime, &mut Vec<MemberAction>),
    ) {
        let mut actions = Vec::new();
        if let Some(table) = &mut self.nodes[place].table {
            call(table, self.now, &mut actions);
        }
        for action in actions {
            self.carry_out(place, action);
        }
    }

    fn tick(&mut self, place: usize) {
        if self.nodes[place].runs_freely() {
            self.with_table(place, MemberTable::on_tick);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: MemberMessage) {
        if self.nodes[to].paused {
            return self.nodes[to].held.push((from, message));
        }
        let sender = self.nodes[from].name.clone();
        self.with_table(to, |table, now, actions| {
            table.on_message(now, &sender, message, actions);
        });
    }

    fn carry_out(&mut self, from: usize, action: MemberAction) {
        let MemberAction::Send { to, message } = action else {
            return self.told.push((self.now, from, action));
        };
        let to = self.places[&to];
        let size = rmp_serde::to_vec(&message).unwrap().len() as u64;
        let kind = self.kinds.entry(body_name(&message)).or_default();
        *kind = (kind.0 + 1, kind.1 + size);
        self.largest = self.largest.max(size);
        self.nodes[from].sent_bytes += size;
        self.nodes[from].sent_messages += 1;
        self.nodes[to].received_bytes += size;
        if let Some(place) = self.drop_next.iter().position(|pair| *pair == (from, to)) {
            self.drop_next.swap_remove(place);
            return;
        }
        if self.cuts.contains(&(from, to)) || self.nodes[to].table.is_none() {
            return;
        }
        let near = self.nodes[from].domain == self.nodes[to].domain;
        let latency = TimeSpan::new(if near {
            1
        } else {
            self.random.random_range(2..20)
        });
        self.order += 1;
        let time = (self.now + latency).as_millis();
        self.queue
            .insert((Reverse(time), u64::MAX - self.order), (from, to, message));
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
