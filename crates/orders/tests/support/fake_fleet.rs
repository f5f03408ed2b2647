use std::ops::Range;
use std::time::Instant;

use base::{ClockTime, NodeName, RevisionNumber, TimeSpan};
use fleet::{DeclaredDomain, FleetDeclaration};
use orders::{
    ActualState, ConvergenceReport, GuardSwitches, OrderAction, OrderMessage, OrderOutcome,
    ReconcilerAction, TargetOrder,
};

use super::{FakeNode, FakeTarget, FleetShape};

/// Simulated time of one step, and the delay of a message.
const STEP: TimeSpan = TimeSpan::new(50);
/// Number of steps between two ticks of a node.
const TICK_STEPS: u64 = 5;
/// Time after which a node that is not reached counts as dead.
const DETECTION_TIME: TimeSpan = TimeSpan::from_secs(2);
/// Time after which an order to an unreachable target counts as unanswered.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

enum DeliveryContent {
    Message(usize, OrderMessage),
    Actual(ActualState),
    Order(TargetOrder),
    Outcome(TargetOrder, OrderOutcome),
}

struct Delivery {
    due: ClockTime,
    to: usize,
    content: DeliveryContent,
}

/// One order that reached its target, and its outcome.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    pub at: ClockTime,
    pub node: NodeName,
    pub order: TargetOrder,
    pub outcome: OrderOutcome,
    /// Number of targets of the domain that served the model before and after the order.
    pub ready: (usize, usize),
}

/// Simulated nodes and targets in virtual time.
pub struct FakeFleet {
    pub now: ClockTime,
    pub nodes: Vec<FakeNode>,
    pub targets: Vec<FakeTarget>,
    pub records: Vec<OrderRecord>,
    /// Highest total rate of all loads at any time.
    pub peak_rate: u64,
    /// Whether every order is delivered twice.
    pub duplicate_orders: bool,
    /// Processing time of every tick in nanoseconds.
    pub tick_nanos: Vec<u64>,
    /// Whether nodes probe all targets of their domain and not only those that they own.
    pub probe_all: bool,
    /// For each target, the only group of nodes that reaches it; `None` if all nodes do.
    pub reaching_group: Vec<Option<u8>>,
    /// Number of steps between two lists of live nodes; revisions of peers arrive half as often.
    pub membership_steps: u64,
    steps: u64,
    deliveries: Vec<Delivery>,
    /// For each domain, the positions of its targets.
    target_ranges: Vec<Range<usize>>,
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
        let target_ranges = fleet.domains.iter().map(|domain| {
            let start = targets.partition_point(|target| target.domain < domain.name);
            start..targets.partition_point(|target| target.domain <= domain.name)
        });
        let target_ranges: Vec<_> = target_ranges.collect();
        let nodes = fleet.nodes.iter().enumerate().map(|(at, node)| {
            let (name, incarnation) = (node.name.clone(), at as u64 + 1);
            let mut fake = FakeNode::new(name, node.domain.clone(), incarnation, guards, count);
            let same = |domain: &DeclaredDomain| domain.name == node.domain;
            fake.domain_position = fleet.domains.iter().position(same).unwrap();
            fake
        });
        Self {
            now: ClockTime::ZERO,
            nodes: nodes.collect(),
            reaching_group: vec![None; targets.len()],
            targets,
            records: Vec::new(),
            peak_rate: 0,
            duplicate_orders: false,
            tick_nanos: Vec::new(),
            probe_all: true,
            membership_steps: 10,
            steps: 0,
            deliveries: Vec::new(),
            target_ranges,
        }
    }

    /// Creates a fleet in which all targets have loaded `version`.
    pub fn with_loaded_version(shape: &FleetShape, guards: GuardSwitches, version: &str) -> Self {
        let mut fleet = Self::new(shape, guards);
        fleet
            .targets
            .iter_mut()
            .for_each(|target| target.add_version(version));
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
                .reconciler
                .on_declaration(self.now, revision, fleet);
        }
    }

    pub fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `condition` holds, but no longer than `limit`; returns the time that it took.
    pub fn run_until(
        &mut self,
        limit: TimeSpan,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<TimeSpan> {
        let start = self.now;
        while self.now - start < limit {
            self.step();
            if condition(self) {
                return Some(self.now - start);
            }
        }
        None
    }

    /// Runs until `condition` holds; fails if that takes more than five minutes of virtual time.
    pub fn expect_eventually(&mut self, condition: impl Fn(&Self) -> bool) {
        let took = self.run_until(TimeSpan::from_secs(300), condition);
        assert!(took.is_some(), "{}", self.report());
    }

    pub fn expect_converged(&self) {
        assert!(self.converged(), "{}", self.report());
    }

    pub fn report(&self) -> ConvergenceReport {
        let reports = self.nodes.iter().filter(|node| node.runs(self.now));
        let reports = reports.map(|node| node.reconciler.report(self.now));
        let start = ConvergenceReport {
            now: self.now,
            ..ConvergenceReport::default()
        };
        reports.fold(start, ConvergenceReport::merge)
    }

    pub fn converged(&self) -> bool {
        self.report().converged()
    }

    /// Whether every live target serves `version` and has no other version.
    pub fn all_serve(&self, version: &str) -> bool {
        let mut targets = self.targets.iter().filter(|target| target.alive);
        targets.all(|target| target.has(version) && target.versions.len() == 1)
    }

    /// Position of the first live node that regards itself as the owner of a target.
    pub fn owner(&self, target: &str) -> usize {
        let target = target.parse().unwrap();
        let owns = |node: &FakeNode| node.alive && node.reconciler.owns(&target);
        self.nodes.iter().position(owns).unwrap()
    }

    /// Position of the first live node that regards itself as a permit coordinator.
    pub fn coordinator(&self) -> usize {
        let coordinates = |node: &FakeNode| node.alive && node.reconciler.is_coordinator();
        self.nodes.iter().position(coordinates).unwrap()
    }

    pub fn pause(&mut self, node: usize, span: TimeSpan) {
        self.nodes[node].paused_until = self.now + span;
    }

    pub fn restart_node(&mut self, node: usize, index: u64, fleet: &FleetDeclaration) {
        let now = self.now;
        let node_ref = &mut self.nodes[node];
        node_ref.incarnation += 1_000;
        node_ref.alive = true;
        node_ref.reconciler = FakeNode::reconciler(
            &node_ref.name,
            &node_ref.domain,
            node_ref.incarnation,
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
        self.update_last_reached();
        for at in 0..self.nodes.len() {
            let turn = self.steps + at as u64;
            if self.nodes[at].runs(self.now) {
                if turn.is_multiple_of(self.membership_steps) {
                    self.update_live_nodes(at);
                }
                if turn.is_multiple_of(2 * self.membership_steps) {
                    self.deliver_peer_revisions(at);
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
        for position in self.target_ranges[self.nodes[at].domain_position].clone() {
            let node = &self.nodes[at];
            if self.probe_all || node.reconciler.owns(&self.targets[position].name) {
                self.probe(at, position);
            }
        }
        let start = Instant::now();
        let actions = self.nodes[at].reconciler.on_tick(self.now);
        self.tick_nanos.push(start.elapsed().as_nanos() as u64);
        for action in actions {
            match action {
                ReconcilerAction::Probe(name) => {
                    let mut targets = self.targets.iter();
                    if let Some(position) = targets.position(|target| target.name == name) {
                        self.probe(at, position);
                    }
                }
                ReconcilerAction::Order(order) => {
                    self.post(at, STEP, DeliveryContent::Order(order))
                }
                ReconcilerAction::Send { to, message } => {
                    let to = self.nodes.iter().position(|node| node.name == to);
                    self.post(to.unwrap(), STEP, DeliveryContent::Message(at, message));
                }
                ReconcilerAction::Log { .. } => {}
            }
        }
    }

    fn post(&mut self, to: usize, after: TimeSpan, content: DeliveryContent) {
        let due = self.now + after;
        self.deliveries.push(Delivery { due, to, content });
    }

    fn reaches(&self, node: usize, position: usize) -> bool {
        let group = self.nodes[node].group;
        self.targets[position].alive
            && self.reaching_group[position].is_none_or(|only| only == group)
    }

    fn probe(&mut self, node: usize, position: usize) {
        if self.reaches(node, position) {
            let actual = self.targets[position].actual(self.now);
            self.post(node, STEP, DeliveryContent::Actual(actual));
        }
    }

    fn deliver(&mut self) {
        let (due, kept) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|delivery| delivery.due <= self.now);
        self.deliveries = kept;
        let due: Vec<Delivery> = due;
        for delivery in due {
            if !self.nodes[delivery.to].alive {
                continue;
            }
            if !self.nodes[delivery.to].runs(self.now) {
                // Connections between nodes break during a pause, so messages are lost.
                if !matches!(delivery.content, DeliveryContent::Message(..)) {
                    self.deliveries.push(delivery);
                }
                continue;
            }
            self.deliver_one(delivery);
        }
    }

    fn deliver_one(&mut self, delivery: Delivery) {
        let (now, to) = (self.now, delivery.to);
        match delivery.content {
            DeliveryContent::Message(from, message) => {
                if self.nodes[from].group == self.nodes[to].group {
                    let name = self.nodes[from].name.clone();
                    self.nodes[to].reconciler.on_message(now, &name, message);
                }
            }
            DeliveryContent::Actual(actual) => self.nodes[to].reconciler.on_actual_state(actual),
            DeliveryContent::Outcome(order, outcome) => {
                self.nodes[to].reconciler.on_outcome(now, &order, &outcome);
            }
            DeliveryContent::Order(order) => self.send_order(to, order),
        }
    }

    fn send_order(&mut self, node: usize, order: TargetOrder) {
        let allowed = self.nodes[node].skips_send_check
            || self.nodes[node].reconciler.may_send(self.now, &order);
        if !allowed {
            self.post(
                node,
                TimeSpan::ZERO,
                DeliveryContent::Outcome(order, OrderOutcome::NotSent),
            );
            return;
        }
        let mut targets = self.targets.iter();
        let position = targets
            .position(|target| target.name == order.target)
            .unwrap();
        if !self.reaches(node, position) {
            let outcome = DeliveryContent::Outcome(order, OrderOutcome::Unknown);
            self.post(node, ANSWER_TIMEOUT, outcome);
            return;
        }
        let before = self.count_ready(position);
        let outcome = self.targets[position].apply_order(self.now, &order);
        if self.duplicate_orders {
            let copy = self.targets[position].apply_order(self.now, &order);
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
        self.post(node, STEP, DeliveryContent::Outcome(order, outcome));
    }

    /// Number of targets that serve the model in the domain of the target at `position`.
    pub fn count_ready(&self, position: usize) -> usize {
        let domain = &self.targets[position].domain;
        let same = self
            .targets
            .iter()
            .filter(|target| target.domain == *domain);
        same.filter(|target| target.serves()).count()
    }

    fn update_last_reached(&mut self) {
        for at in 0..self.nodes.len() {
            for other in 0..self.nodes.len() {
                if self.nodes[at].domain_position != self.nodes[other].domain_position {
                    continue;
                }
                let same = self.nodes[at].group == self.nodes[other].group;
                if same && self.nodes[other].runs(self.now) {
                    self.nodes[at].last_reached[other] = self.now;
                }
            }
        }
    }

    fn update_live_nodes(&mut self, at: usize) {
        let node = &self.nodes[at];
        let live = |(other, peer): &(usize, &FakeNode)| {
            peer.domain == node.domain && self.now - node.last_reached[*other] <= DETECTION_TIME
        };
        let peers = self.nodes.iter().enumerate().filter(live);
        let names = peers.map(|(_, peer)| peer.name.clone()).collect();
        self.nodes[at].reconciler.on_live_nodes(self.now, names);
    }

    /// Tells a node the revisions of the peers that it reaches.
    fn deliver_peer_revisions(&mut self, at: usize) {
        let (group, domain) = (self.nodes[at].group, self.nodes[at].domain.clone());
        let peers = self.nodes.iter().enumerate();
        let reachable = peers.filter(|(other, peer)| {
            *other != at && peer.group == group && peer.domain == domain && peer.runs(self.now)
        });
        let revisions: Vec<_> = reachable
            .filter_map(|(_, peer)| peer.reconciler.revision())
            .collect();
        for revision in revisions {
            self.nodes[at]
                .reconciler
                .on_peer_revision(self.now, revision);
        }
    }

    /// An order with this action that has been decided but not sent yet, and its node.
    pub fn pending_order(&self, action: &str) -> Option<(usize, TargetOrder)> {
        self.deliveries
            .iter()
            .find_map(|delivery| match &delivery.content {
                DeliveryContent::Order(order) if order.action.name() == action => {
                    Some((delivery.to, order.clone()))
                }
                _ => None,
            })
    }

    /// Partitions the nodes into groups that do not reach each other.
    pub fn split(&mut self, groups: &[u8]) {
        for (node, group) in self.nodes.iter_mut().zip(groups) {
            node.group = *group;
        }
    }

    /// Number of orders accepted after `start` that meet a condition.
    pub fn accepted_since(
        &self,
        start: ClockTime,
        condition: impl Fn(&OrderRecord) -> bool,
    ) -> usize {
        let records = self.records.iter().filter(|record| record.at > start);
        let accepted = records.filter(|record| record.outcome == OrderOutcome::Accepted);
        accepted.filter(|record| condition(record)).count()
    }

    /// Orders that reduced the number of ready targets to fewer than `min_ready`.
    pub fn shortfalls(&self, min_ready: usize) -> Vec<&OrderRecord> {
        let short =
            |record: &&OrderRecord| record.ready.1 < record.ready.0 && record.ready.1 < min_ready;
        self.records.iter().filter(short).collect()
    }

    /// Number of orders with this action that reached their targets.
    pub fn count_orders(&self, action: &str) -> usize {
        let same = |record: &&OrderRecord| record.order.action.name() == action;
        self.records.iter().filter(same).count()
    }

    /// Number of targets that were ordered to load a version.
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
