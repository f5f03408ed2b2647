use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashSet};

use base::{ClockTime, NodeName, RequestId, TargetName, TimeSpan, WorkspaceName};
use calls::{ProcessId, TargetRecord};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::caller::{Exchange, Request};
use super::config::{FaultKind, SimulationConfig, SimulationReport};
use super::message::{Address, ConnectionId, Event, Message, ReplyBody};
use super::node::Node;
use super::target::Target;

pub const NODES: usize = 6;
pub const TARGETS: usize = 8;
const CALLERS: u32 = 60;
/// Start time of a run. It is later than the longest key lifetime, so that the initial nodes do not
/// count as new.
const START: ClockTime = ClockTime::new(10_000_000);
/// Time that a run continues after its last request. It is longer than the longest pause of a node,
/// so that effects of a node that resumes late are recorded.
const SETTLE_MS: u64 = 75_000;

pub fn node_name(at: usize) -> NodeName {
    format!("n{at}").parse().unwrap()
}

pub fn node_index(name: &NodeName) -> usize {
    name.as_str()[1..].parse().unwrap()
}

pub fn target_name(at: usize) -> TargetName {
    format!("e{at}").parse().unwrap()
}

pub fn target_index(name: &TargetName) -> usize {
    name.as_str()[1..].parse().unwrap()
}

pub fn request_id(number: u32) -> RequestId {
    format!("r{number}").parse().unwrap()
}

pub fn workspace() -> WorkspaceName {
    "tarn".parse().unwrap()
}

/// State of a run: the event queue and all simulated nodes, targets, callers and faults.
pub struct Simulation {
    pub config: SimulationConfig,
    pub report: SimulationReport,
    pub now: ClockTime,
    pub random: Pcg64,
    queue: BinaryHeap<Reverse<(ClockTime, u64)>>,
    events: BTreeMap<u64, Event>,
    event_count: u64,
    pub nodes: Vec<Node>,
    pub targets: Vec<Target>,
    pub generation_count: u64,
    pub call_count: u64,
    pub exchange_count: u64,
    pub incarnation_count: u64,
    pub requests: Vec<Request>,
    pub exchanges: BTreeMap<u64, Exchange>,
    /// Exchanges that lost a reply. As on a TCP stream, nothing that was sent later arrives.
    broken: HashSet<u64>,
    /// Connections that drop messages from the target to the node.
    pub silent_to_node: BTreeSet<ConnectionId>,
    /// Connections that drop messages from the node to the target.
    pub silent_to_target: BTreeSet<ConnectionId>,
    /// New owner of each ticket window that was handed over; nodes would learn it by gossip.
    pub window_successors: BTreeMap<ProcessId, ProcessId>,
    /// Whether the next request will crash its targets.
    pub next_request_crashes: bool,
    /// Targets that ran each crashing request.
    pub targets_crashed: BTreeMap<u32, Vec<usize>>,
    /// Whether the failure domains are cut off from each other.
    cut: bool,
}

impl Simulation {
    pub fn new(config: SimulationConfig) -> Self {
        let mut simulation = Self {
            random: Pcg64::seed_from_u64(config.seed),
            config,
            report: SimulationReport::default(),
            now: START,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            event_count: 0,
            nodes: Vec::new(),
            targets: (0..TARGETS).map(|_| Target::new(1)).collect(),
            generation_count: 0,
            call_count: 0,
            exchange_count: 0,
            incarnation_count: 0,
            requests: Vec::new(),
            exchanges: BTreeMap::new(),
            broken: HashSet::new(),
            silent_to_node: BTreeSet::new(),
            silent_to_target: BTreeSet::new(),
            window_successors: BTreeMap::new(),
            next_request_crashes: false,
            targets_crashed: BTreeMap::new(),
            cut: false,
        };
        for at in 0..NODES {
            simulation.incarnation_count += 1;
            let incarnation = simulation.incarnation_count;
            let lifetime = simulation.config.key_lifetime;
            let node = Node::new(at, incarnation, ClockTime::ZERO, START, lifetime);
            simulation.nodes.push(node);
        }
        simulation.schedule_after(0, Event::RefreshViews);
        let period = simulation.config.fault_period_ms;
        simulation.schedule_after(period, Event::InjectFault);
        for caller in 0..CALLERS {
            simulation.schedule_after(u64::from(caller) + 1, Event::NextRequest(caller));
        }
        simulation
    }

    /// Runs until every request has ended and the settling time after it has passed.
    pub fn run(mut self) -> SimulationReport {
        let mut end = None;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            let event = self.events.remove(&number).unwrap();
            self.handle(event);
            let ended = self.report.requests >= self.config.requests && self.exchanges.is_empty();
            if ended && end.is_none() {
                self.report.virtual_ms = (self.now - START).as_millis();
                end = Some(self.now + TimeSpan::new(SETTLE_MS));
            }
            if end.is_some_and(|end| self.now > end) {
                break;
            }
        }
        self.report.crash_deaths = self
            .targets_crashed
            .values()
            .map(|deaths| deaths.len() as u32)
            .collect();
        self.report
    }

    pub fn schedule_after(&mut self, millis: u64, event: Event) {
        self.schedule_at(self.now + TimeSpan::new(millis), event);
    }

    pub fn schedule_at(&mut self, at: ClockTime, event: Event) {
        self.event_count += 1;
        self.events.insert(self.event_count, event);
        self.queue
            .push(Reverse((at.max(self.now), self.event_count)));
    }

    /// Delivers a message after a delay that preserves the order between each pair of addresses; a
    /// message between domains that are cut off from each other is dropped.
    pub fn send(&mut self, from: Address, to: Address, msg: Message) {
        if self.is_cut(from, to) {
            if let Message::Reply(path, _) = msg {
                self.break_exchange(path.exchange);
            }
            return;
        }
        let delay = 1 + (domain(from) != domain(to)) as u64;
        self.schedule_after(delay, Event::Deliver(from, to, msg));
    }

    pub fn is_cut(&self, from: Address, to: Address) -> bool {
        match (domain(from), domain(to)) {
            (Some(left), Some(right)) => self.cut && left != right,
            _ => false,
        }
    }

    /// Breaks the connection of a caller: later replies are lost, and the caller is told 500 ms later.
    pub fn break_exchange(&mut self, id: u64) {
        if self.broken.insert(id) {
            let path = super::message::ReplyPath {
                exchange: id,
                hops: Vec::new(),
            };
            let msg = Message::Reply(path, ReplyBody::Lost);
            self.schedule_after(500, Event::Deliver(Address::Callers, Address::Callers, msg));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(_, Address::Callers, Message::Reply(path, body)) => {
                let lost = matches!(body, ReplyBody::Lost);
                if lost || !self.broken.contains(&path.exchange) {
                    self.caller_reply(path.exchange, body);
                }
            }
            Event::Deliver(_, Address::Target(at), msg) => self.target_message(at, msg),
            Event::Deliver(_, Address::Node(at), _)
            | Event::CallTimer(at, ..)
            | Event::MonitorTimer(at, ..)
            | Event::InquiryTimeout(at, ..)
            | Event::CheckStop(at, ..) => self.node_event(at, event),
            Event::Deliver(..) => {}
            Event::ResumeNode(at, incarnation) => self.resume_node(at, incarnation),
            Event::StartNode(at) => self.start_node(at),
            Event::Accept(at, incarnation, name) => self.accept(at, incarnation, name),
            Event::Produce(at, incarnation, name) => self.produce(at, incarnation, name),
            Event::KillTarget(at, incarnation) => {
                if self.targets[at].incarnation == incarnation {
                    self.kill_target(at);
                }
            }
            Event::StartTarget(at) => self.start_target(at),
            Event::RefreshViews => {
                (0..NODES).for_each(|at| self.refresh_view(at));
                self.schedule_after(500, Event::RefreshViews);
            }
            Event::InjectFault => {
                self.inject_fault();
                self.schedule_after(self.config.fault_period_ms, Event::InjectFault);
            }
            Event::EndCut => self.cut = false,
            Event::NextRequest(caller) => self.next_request(caller),
            Event::ExchangeTimeout(id) => self.exchange_timeout(id),
        }
    }

    fn inject_fault(&mut self) {
        let over = self.report.requests >= self.config.requests && self.exchanges.is_empty();
        if self.config.faults.is_empty() || over {
            return;
        }
        let pick = self.random.random_range(0..self.config.faults.len());
        let node = self.random.random_range(0..NODES);
        let target = self.random.random_range(0..TARGETS);
        let usable = |node: &Node| node.alive && !node.paused && !node.stopping;
        // At least half of the nodes stay usable, so that the run can make progress.
        let enough_nodes = self.nodes.iter().filter(|node| usable(node)).count() > NODES / 2;
        let node_usable = enough_nodes && usable(&self.nodes[node]);
        self.report.faults += 1;
        match self.config.faults[pick] {
            FaultKind::KillNode if node_usable => self.kill_node(node),
            FaultKind::PauseNode if node_usable => self.pause_node(node),
            FaultKind::StopNode if node_usable => self.stop_node(node),
            FaultKind::CutDomains if !self.cut => {
                self.cut = true;
                let cut_ms = self.random.random_range(500..4_000);
                self.schedule_after(cut_ms, Event::EndCut);
            }
            FaultKind::KillNode
            | FaultKind::PauseNode
            | FaultKind::StopNode
            | FaultKind::CutDomains => {
                self.report.faults -= 1;
            }
            FaultKind::SilentOneWay => self.silence_connections(false),
            FaultKind::SilentBoth => self.silence_connections(true),
            FaultKind::CrashRequest => self.next_request_crashes = true,
            FaultKind::ReclaimEngine => self.reclaim_target(target),
            FaultKind::KillEngine => self.kill_target(target),
            FaultKind::CallerResends => {}
        }
    }

    fn silence_connections(&mut self, both: bool) {
        let mut connections = Vec::new();
        for node in &self.nodes {
            connections.extend(node.connections());
        }
        for connection in connections {
            if self.random.random_bool(0.3) {
                let inward = self.random.random_bool(0.5);
                if both || inward {
                    self.silent_to_node.insert(connection);
                }
                if both || !inward {
                    self.silent_to_target.insert(connection);
                }
            }
        }
    }

    fn reclaim_target(&mut self, at: usize) {
        let target = &mut self.targets[at];
        if !target.alive || target.leaving {
            return;
        }
        target.leaving = true;
        let incarnation = target.incarnation;
        self.report.history.targets.push(TargetRecord::Leaving {
            target: target_name(at),
            at: self.now,
        });
        self.schedule_after(6_000, Event::KillTarget(at, incarnation));
    }
}

/// Failure domain of a node or target; callers are in none.
fn domain(address: Address) -> Option<usize> {
    match address {
        Address::Callers => None,
        Address::Node(at) | Address::Target(at) => Some(at % 2),
    }
}
