use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashSet};

use base::{ClockTime, NodeName, RequestId, TargetName, TimeSpan, WorkspaceName};
use calls::{ProcessId, TargetRecord};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::caller::{Exchange, Request};
use super::config::{Fault, WorldConfig, WorldReport};
use super::message::{Addr, Event, LinkRef, Msg, ReplyBody};
use super::node::Node;
use super::target::Target;

pub const NODES: usize = 6;
pub const TARGETS: usize = 8;
const CALLERS: u32 = 60;
/// The run begins later than the longest key lifetime, so that the first nodes are not new.
const START: ClockTime = ClockTime::new(10_000_000);
/// Longer than the longest pause, so that a resumed node shows what it still does.
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

pub struct World {
    pub config: WorldConfig,
    pub report: WorldReport,
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
    /// Exchanges with a lost reply; as on a TCP stream, nothing after it arrives.
    broken: HashSet<u64>,
    pub silent_in: BTreeSet<LinkRef>,
    pub silent_out: BTreeSet<LinkRef>,
    /// Windows that a successor took over, as peers learn it by gossip.
    pub handed: BTreeMap<ProcessId, ProcessId>,
    pub poison_next: bool,
    pub poison_deaths: BTreeMap<u32, Vec<usize>>,
    cut: bool,
}

impl World {
    pub fn new(config: WorldConfig) -> Self {
        let mut world = Self {
            random: Pcg64::seed_from_u64(config.seed),
            config,
            report: WorldReport::default(),
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
            silent_in: BTreeSet::new(),
            silent_out: BTreeSet::new(),
            handed: BTreeMap::new(),
            poison_next: false,
            poison_deaths: BTreeMap::new(),
            cut: false,
        };
        for at in 0..NODES {
            world.incarnation_count += 1;
            let incarnation = world.incarnation_count;
            let lifetime = world.config.key_lifetime;
            let node = Node::new(at, incarnation, ClockTime::ZERO, START, lifetime);
            world.nodes.push(node);
        }
        world.after(0, Event::Heartbeat);
        let period = world.config.fault_period_ms;
        world.after(period, Event::Inject);
        for caller in 0..CALLERS {
            world.after(u64::from(caller) + 1, Event::NextRequest(caller));
        }
        world
    }

    /// Runs until every request has ended and the last fault is over.
    pub fn run(mut self) -> WorldReport {
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
            .poison_deaths
            .values()
            .map(|deaths| deaths.len() as u32)
            .collect();
        self.report
    }

    pub fn after(&mut self, millis: u64, event: Event) {
        self.at(self.now + TimeSpan::new(millis), event);
    }

    pub fn at(&mut self, at: ClockTime, event: Event) {
        self.event_count += 1;
        self.events.insert(self.event_count, event);
        self.queue
            .push(Reverse((at.max(self.now), self.event_count)));
    }

    /// Sends in order between each pair; a cut drops what is sent across it.
    pub fn send(&mut self, from: Addr, to: Addr, msg: Msg) {
        if self.is_cut(from, to) {
            if let Msg::Reply(path, _) = msg {
                self.break_exchange(path.exchange);
            }
            return;
        }
        let delay = 1 + (domain(from) != domain(to)) as u64;
        self.after(delay, Event::Deliver(from, to, msg));
    }

    pub fn is_cut(&self, from: Addr, to: Addr) -> bool {
        match (domain(from), domain(to)) {
            (Some(left), Some(right)) => self.cut && left != right,
            _ => false,
        }
    }

    pub fn break_exchange(&mut self, id: u64) {
        if self.broken.insert(id) {
            let path = super::message::ReplyPath {
                exchange: id,
                hops: Vec::new(),
            };
            let msg = Msg::Reply(path, ReplyBody::Lost);
            self.after(500, Event::Deliver(Addr::Callers, Addr::Callers, msg));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(_, Addr::Callers, Msg::Reply(path, body)) => {
                let lost = matches!(body, ReplyBody::Lost);
                if lost || !self.broken.contains(&path.exchange) {
                    self.caller_reply(path.exchange, body);
                }
            }
            Event::Deliver(_, Addr::Target(at), msg) => self.target_message(at, msg),
            Event::Deliver(_, Addr::Node(at), _)
            | Event::CallTimer(at, ..)
            | Event::WatchTimer(at, ..)
            | Event::InquiryTimeout(at, ..)
            | Event::StopStep(at, ..) => self.node_event(at, event),
            Event::Deliver(..) => {}
            Event::ResumeNode(at, incarnation) => self.resume_node(at, incarnation),
            Event::StartNode(at) => self.start_node(at),
            Event::Accept(at, incarnation, name) => self.accept(at, incarnation, name),
            Event::Produce(at, incarnation, name) => self.produce(at, incarnation, name),
            Event::DieTarget(at, incarnation) => {
                if self.targets[at].incarnation == incarnation {
                    self.kill_target(at);
                }
            }
            Event::StartTarget(at) => self.start_target(at),
            Event::Heartbeat => {
                (0..NODES).for_each(|at| self.refresh_view(at));
                self.after(500, Event::Heartbeat);
            }
            Event::Inject => {
                self.inject();
                self.after(self.config.fault_period_ms, Event::Inject);
            }
            Event::Heal => self.cut = false,
            Event::NextRequest(caller) => self.next_request(caller),
            Event::ExchangeTimeout(id) => self.exchange_timeout(id),
        }
    }

    fn inject(&mut self) {
        let over = self.report.requests >= self.config.requests && self.exchanges.is_empty();
        if self.config.faults.is_empty() || over {
            return;
        }
        let pick = self.random.random_range(0..self.config.faults.len());
        let node = self.random.random_range(0..NODES);
        let target = self.random.random_range(0..TARGETS);
        let usable = |node: &Node| node.alive && !node.paused && !node.stopping;
        // Half of the nodes stay, so that the run goes on.
        let spare = self.nodes.iter().filter(|node| usable(node)).count() > NODES / 2;
        let node_ok = spare && usable(&self.nodes[node]);
        self.report.faults += 1;
        match self.config.faults[pick] {
            Fault::KillNode if node_ok => self.kill_node(node),
            Fault::PauseNode if node_ok => self.pause_node(node),
            Fault::StopNode if node_ok => self.stop_node(node),
            Fault::CutDomains if !self.cut => {
                self.cut = true;
                let heal = self.random.random_range(500..4_000);
                self.after(heal, Event::Heal);
            }
            Fault::KillNode | Fault::PauseNode | Fault::StopNode | Fault::CutDomains => {
                self.report.faults -= 1;
            }
            Fault::SilentOneWay => self.silence_links(false),
            Fault::SilentBoth => self.silence_links(true),
            Fault::CrashRequest => self.poison_next = true,
            Fault::ReclaimEngine => self.reclaim_target(target),
            Fault::KillEngine => self.kill_target(target),
            Fault::CallerResends => {}
        }
    }

    fn silence_links(&mut self, both: bool) {
        let mut links = Vec::new();
        for node in &self.nodes {
            links.extend(node.links());
        }
        for link in links {
            if self.random.random_bool(0.3) {
                let inward = self.random.random_bool(0.5);
                if both || inward {
                    self.silent_in.insert(link);
                }
                if both || !inward {
                    self.silent_out.insert(link);
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
        self.after(6_000, Event::DieTarget(at, incarnation));
    }
}

fn domain(addr: Addr) -> Option<usize> {
    match addr {
        Addr::Callers => None,
        Addr::Node(at) | Addr::Target(at) => Some(at % 2),
    }
}
