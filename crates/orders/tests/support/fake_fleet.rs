use std::ops::Range;
use std::time::Instant;

use base::{ClockTime, NodeName, RevisionNumber, TimeSpan};
use fleet::{DeclaredDomain, FleetDeclaration};
use orders::{
    BoardAction, ConvergenceReport, GuardSwitches, OrderAction, OrderMessage, OrderOutcome,
    TargetActual, TargetOrder,
};

use super::{FakeNode, FakeTarget, FleetShape};

const STEP: TimeSpan = TimeSpan::new(50);
const TICK_STEPS: u64 = 5;
const DETECT: TimeSpan = TimeSpan::from_secs(2);
const ANSWER_WAIT: TimeSpan = TimeSpan::from_secs(1);

enum Parcel {
    Message(usize, OrderMessage),
    Actual(TargetActual),
    Order(TargetOrder),
    Outcome(TargetOrder, OrderOutcome),
}

struct Mail {
    due: ClockTime,
    to: usize,
    parcel: Parcel,
}

/// One order as its target took it.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    pub at: ClockTime,
    pub node: NodeName,
    pub order: TargetOrder,
    pub outcome: OrderOutcome,
    /// Targets of the domain that served the model before and after.
    pub ready: (usize, usize),
}

/// Nodes and targets in virtual time.
pub struct FakeFleet {
    pub now: ClockTime,
    pub nodes: Vec<FakeNode>,
    pub targets: Vec<FakeTarget>,
    pub records: Vec<OrderRecord>,
    /// Highest sum of the rates of all loads at one time.
    pub peak_rate: u64,
    /// Deliver every order a second time.
    pub twice: bool,
    /// Nanoseconds of every tick.
    pub ticks: Vec<u64>,
    /// Nodes probe all targets of their domain and not just those that they own.
    pub probe_all: bool,
    /// Group of nodes that alone reaches a target, if any.
    pub reach: Vec<Option<u8>>,
    /// Steps between two lists of live nodes; revisions of peers come half as often.
    pub view_steps: u64,
    steps: u64,
    mail: Vec<Mail>,
    /// Positions of the targets of each domain.
    spans: Vec<Range<usize>>,
}

impl FakeFleet {
    pub fn new(shape: &FleetShape, guards: GuardSwitches) -> Self {
        let fleet = shape.declare();
        let count = fleet.nodes.len();
        let targets = fleet.targets.iter().map(|target| {
            let (name, domain) = (target.name.clone(), target.domain.clone());
            FakeTarget::new(name, domain, shape.bytes, target.fencing)
        });
        let targets: Vec<_> = targets.collect();
        let spans = fleet.domains.iter().map(|domain| {
            let start = targets.partition_point(|target| target.domain < domain.name);
            start..targets.partition_point(|target| target.domain <= domain.name)
        });
        let spans: Vec<_> = spans.collect();
        let nodes = fleet.nodes.iter().enumerate().map(|(at, node)| {
            let (name, run) = (node.name.clone(), at as u64 + 1);
            let mut fake = FakeNode::new(name, node.domain.clone(), run, guards, count);
            let same = |domain: &DeclaredDomain| domain.name == node.domain;
            fake.place = fleet.domains.iter().position(same).unwrap();
            fake
        });
        Self {
            now: ClockTime::ZERO,
            nodes: nodes.collect(),
            reach: vec![None; targets.len()],
            targets,
            records: Vec::new(),
            peak_rate: 0,
            twice: false,
            ticks: Vec::new(),
            probe_all: true,
            view_steps: 10,
            steps: 0,
            mail: Vec::new(),
            spans,
        }
    }

    /// A fleet in which all targets hold `version`.
    pub fn holding(shape: &FleetShape, guards: GuardSwitches, version: &str) -> Self {
        let mut fleet = Self::new(shape, guards);
        fleet
            .targets
            .iter_mut()
            .for_each(|target| target.hold(version));
        fleet
    }

    pub fn declare(&mut self, index: u64, shape: &FleetShape) {
        let fleet = shape.declare();
        let nodes: Vec<usize> = (0..self.nodes.len()).collect();
        self.declare_at(&nodes, index, &fleet);
    }

    pub fn declare_at(&mut self, nodes: &[usize], index: u64, fleet: &FleetDeclaration) {
        for at in nodes {
            let revision = RevisionNumber::new(1, index);
            self.nodes[*at]
                .board
                .on_declaration(self.now, revision, fleet);
        }
    }

    pub fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `met` or for at most `limit`; returns the time that it took.
    pub fn run_until(&mut self, limit: TimeSpan, met: impl Fn(&Self) -> bool) -> Option<TimeSpan> {
        let start = self.now;
        while self.now - start < limit {
            self.step();
            if met(self) {
                return Some(self.now - start);
            }
        }
        None
    }

    /// Runs until `met`; fails if that takes more than five minutes.
    pub fn expect_soon(&mut self, met: impl Fn(&Self) -> bool) {
        let took = self.run_until(TimeSpan::from_secs(300), met);
        assert!(took.is_some(), "{}", self.report());
    }

    pub fn expect_converged(&self) {
        assert!(self.converged(), "{}", self.report());
    }

    pub fn report(&self) -> ConvergenceReport {
        let reports = self.nodes.iter().filter(|node| node.runs(self.now));
        let reports = reports.map(|node| node.board.report(self.now));
        let start = ConvergenceReport {
            now: self.now,
            ..ConvergenceReport::default()
        };
        reports.fold(start, ConvergenceReport::merge)
    }

    pub fn converged(&self) -> bool {
        self.report().converged()
    }

    /// Whether every target serves `version` and holds nothing else.
    pub fn all_serve(&self, version: &str) -> bool {
        let mut targets = self.targets.iter().filter(|target| target.alive);
        targets.all(|target| target.has(version) && target.versions.len() == 1)
    }

    /// Position of the node that gives the orders to a target, by its own view.
    pub fn owner(&self, target: &str) -> usize {
        let target = target.parse().unwrap();
        let owns = |node: &FakeNode| node.alive && node.board.owns(&target);
        self.nodes.iter().position(owns).unwrap()
    }

    pub fn loader(&self) -> usize {
        let loads = |node: &FakeNode| node.alive && node.board.is_loader();
        self.nodes.iter().position(loads).unwrap()
    }

    pub fn pause(&mut self, node: usize, span: TimeSpan) {
        self.nodes[node].paused_until = self.now + span;
    }

    pub fn restart_node(&mut self, node: usize, index: u64, fleet: &FleetDeclaration) {
        let now = self.now;
        let node_ref = &mut self.nodes[node];
        node_ref.run += 1_000;
        node_ref.alive = true;
        node_ref.board = FakeNode::board(
            &node_ref.name,
            &node_ref.domain,
            node_ref.run,
            node_ref.guards,
            now,
        );
        self.declare_at(&[node], index, fleet);
    }

    fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        for target in &mut self.targets {
            target.advance(self.now);
        }
        self.deliver();
        self.note_reached();
        for at in 0..self.nodes.len() {
            let turn = self.steps + at as u64;
            if self.nodes[at].runs(self.now) {
                if turn.is_multiple_of(self.view_steps) {
                    self.list_nodes(at);
                }
                if turn.is_multiple_of(2 * self.view_steps) {
                    self.gossip(at);
                }
                if turn.is_multiple_of(TICK_STEPS) {
                    self.tick(at);
                }
            }
        }
        let sum = self.targets.iter().map(FakeTarget::rate).sum();
        self.peak_rate = self.peak_rate.max(sum);
    }

    fn tick(&mut self, at: usize) {
        for position in self.spans[self.nodes[at].place].clone() {
            let node = &self.nodes[at];
            if self.probe_all || node.board.owns(&self.targets[position].name) {
                self.probe(at, position);
            }
        }
        let start = Instant::now();
        let actions = self.nodes[at].board.on_tick(self.now);
        self.ticks.push(start.elapsed().as_nanos() as u64);
        for action in actions {
            match action {
                BoardAction::Probe(name) => {
                    let mut targets = self.targets.iter();
                    if let Some(position) = targets.position(|target| target.name == name) {
                        self.probe(at, position);
                    }
                }
                BoardAction::Order(order) => self.post(at, STEP, Parcel::Order(order)),
                BoardAction::Send { to, message } => {
                    let to = self.nodes.iter().position(|node| node.name == to);
                    self.post(to.unwrap(), STEP, Parcel::Message(at, message));
                }
                BoardAction::Log { .. } => {}
            }
        }
    }

    fn post(&mut self, to: usize, after: TimeSpan, parcel: Parcel) {
        let due = self.now + after;
        self.mail.push(Mail { due, to, parcel });
    }

    fn reaches(&self, node: usize, position: usize) -> bool {
        let group = self.nodes[node].group;
        self.targets[position].alive && self.reach[position].is_none_or(|only| only == group)
    }

    fn probe(&mut self, node: usize, position: usize) {
        if self.reaches(node, position) {
            let actual = self.targets[position].actual(self.now);
            self.post(node, STEP, Parcel::Actual(actual));
        }
    }

    fn deliver(&mut self) {
        let (due, kept) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|mail| mail.due <= self.now);
        self.mail = kept;
        let due: Vec<Mail> = due;
        for mail in due {
            if !self.nodes[mail.to].alive {
                continue;
            }
            if !self.nodes[mail.to].runs(self.now) {
                // Connections between nodes do not outlive a pause.
                if !matches!(mail.parcel, Parcel::Message(..)) {
                    self.mail.push(mail);
                }
                continue;
            }
            self.hand_over(mail);
        }
    }

    fn hand_over(&mut self, mail: Mail) {
        let (now, to) = (self.now, mail.to);
        match mail.parcel {
            Parcel::Message(from, message) => {
                if self.nodes[from].group == self.nodes[to].group {
                    let name = self.nodes[from].name.clone();
                    self.nodes[to].board.on_message(now, &name, message);
                }
            }
            Parcel::Actual(actual) => self.nodes[to].board.on_actual(actual),
            Parcel::Outcome(order, outcome) => {
                self.nodes[to].board.on_outcome(now, &order, &outcome);
            }
            Parcel::Order(order) => self.write_order(to, order),
        }
    }

    fn write_order(&mut self, node: usize, order: TargetOrder) {
        let allowed =
            self.nodes[node].late_writes || self.nodes[node].board.may_send(self.now, &order);
        if !allowed {
            self.post(
                node,
                TimeSpan::ZERO,
                Parcel::Outcome(order, OrderOutcome::NotSent),
            );
            return;
        }
        let mut targets = self.targets.iter();
        let position = targets
            .position(|target| target.name == order.target)
            .unwrap();
        if !self.reaches(node, position) {
            let outcome = Parcel::Outcome(order, OrderOutcome::Unknown);
            self.post(node, ANSWER_WAIT, outcome);
            return;
        }
        let before = self.count_ready(position);
        let outcome = self.targets[position].take(self.now, &order);
        if self.twice {
            let copy = self.targets[position].take(self.now, &order);
            assert_eq!(copy, outcome, "a repeated order has another outcome");
        }
        let after = self.count_ready(position);
        self.records.push(OrderRecord {
            at: self.now,
            node: self.nodes[node].name.clone(),
            order: order.clone(),
            outcome: outcome.clone(),
            ready: (before, after),
        });
        self.post(node, STEP, Parcel::Outcome(order, outcome));
    }

    pub fn count_ready(&self, position: usize) -> usize {
        let domain = &self.targets[position].domain;
        let same = self
            .targets
            .iter()
            .filter(|target| target.domain == *domain);
        same.filter(|target| target.serves()).count()
    }

    fn note_reached(&mut self) {
        for at in 0..self.nodes.len() {
            for other in 0..self.nodes.len() {
                if self.nodes[at].place != self.nodes[other].place {
                    continue;
                }
                let same = self.nodes[at].group == self.nodes[other].group;
                if same && self.nodes[other].runs(self.now) {
                    self.nodes[at].reached[other] = self.now;
                }
            }
        }
    }

    fn list_nodes(&mut self, at: usize) {
        let node = &self.nodes[at];
        let live = |(other, peer): &(usize, &FakeNode)| {
            peer.domain == node.domain && self.now - node.reached[*other] <= DETECT
        };
        let peers = self.nodes.iter().enumerate().filter(live);
        let names = peers.map(|(_, peer)| peer.name.clone()).collect();
        self.nodes[at].board.on_live_nodes(self.now, names);
    }

    /// A node hears the revisions of the peers that it reaches.
    fn gossip(&mut self, at: usize) {
        let (group, domain) = (self.nodes[at].group, self.nodes[at].domain.clone());
        let peers = self.nodes.iter().enumerate();
        let heard = peers.filter(|(other, peer)| {
            *other != at && peer.group == group && peer.domain == domain && peer.runs(self.now)
        });
        let revisions: Vec<_> = heard
            .filter_map(|(_, peer)| peer.board.revision())
            .collect();
        for revision in revisions {
            self.nodes[at].board.on_peer_revision(self.now, revision);
        }
    }

    /// Node and order with this action that are decided and not written yet.
    pub fn pending_order(&self, action: &str) -> Option<(usize, TargetOrder)> {
        self.mail.iter().find_map(|mail| match &mail.parcel {
            Parcel::Order(order) if order.action.name() == action => Some((mail.to, order.clone())),
            _ => None,
        })
    }

    /// Puts nodes into groups that do not reach each other.
    pub fn split(&mut self, groups: &[u8]) {
        for (node, group) in self.nodes.iter_mut().zip(groups) {
            node.group = *group;
        }
    }

    /// Orders taken since `start` that meet a condition.
    pub fn taken_since(&self, start: ClockTime, met: impl Fn(&OrderRecord) -> bool) -> usize {
        let records = self.records.iter().filter(|record| record.at > start);
        let taken = records.filter(|record| record.outcome == OrderOutcome::Taken);
        taken.filter(|record| met(record)).count()
    }

    /// Orders that unloaded something which served and left fewer than `least` ready targets.
    pub fn shortfalls(&self, least: usize) -> Vec<&OrderRecord> {
        let short =
            |record: &&OrderRecord| record.ready.1 < record.ready.0 && record.ready.1 < least;
        self.records.iter().filter(short).collect()
    }

    pub fn count_orders(&self, action: &str) -> usize {
        let same = |record: &&OrderRecord| record.order.action.name() == action;
        self.records.iter().filter(same).count()
    }

    /// Distinct targets that were told to load a version.
    pub fn loaded_on(&self, version: &str) -> usize {
        let loads = self
            .records
            .iter()
            .filter(|record| match &record.order.action {
                OrderAction::Load { version: found, .. } => found.as_str() == version,
                _ => false,
            });
        let mut names: Vec<_> = loads.map(|record| record.order.target.clone()).collect();
        names.sort_unstable();
        names.dedup();
        names.len()
    }
}
