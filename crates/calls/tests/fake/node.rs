use std::collections::{BTreeMap, VecDeque};

use base::{ClockTime, GenerationId, IncarnationNumber, RanState, RevisionNumber, TimeSpan};
use calls::{
    CallEvent, CallMachine, CrashLimits, CrashTable, KeyId, KeyPolicy, KeyRegistry, LinkNumber,
    LinkWatch, ProcessId, RetryBudget, SigningKey, TicketIssuer, TicketRoute, TicketRouter,
    TicketWindow, WindowImports, WindowLimits,
};

use super::message::{Addr, CallKey, CallMsg, Event, LinkRef, Msg, ReplyBody, ReplyPath};
use super::world::{NODES, TARGETS, World, node_index, node_name, workspace};

pub const DEADLINE: TimeSpan = TimeSpan::from_secs(8);
pub const VIEW_AGE: TimeSpan = TimeSpan::new(1_500);
pub const PEER_AGE: TimeSpan = TimeSpan::from_secs(5);
pub const TICKET_LIFETIME: TimeSpan = TimeSpan::from_secs(120);

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Binding {
    Free,
    Ticket(ProcessId, u64),
    Key(KeyId),
}

pub struct Call {
    pub machine: CallMachine,
    pub message: CallMsg,
    pub binding: Binding,
    pub readers: Vec<ReplyPath>,
    pub collected: Vec<(String, GenerationId, u64)>,
    pub target_incarnation: Option<IncarnationNumber>,
    pub resuming: Option<(LinkNumber, GenerationId, u64)>,
    pub placed: bool,
    pub watch: Option<LinkWatch>,
    pub timer: Option<ClockTime>,
}

#[derive(Clone, Copy, Default)]
pub struct TargetView {
    pub heard: ClockTime,
    pub leaving: bool,
    pub incarnation: u64,
}

#[derive(Clone, Copy, Default)]
pub struct PeerView {
    pub heard: ClockTime,
    pub incarnation: u64,
    pub stopping: bool,
}

impl TargetView {
    pub fn takes(&self, now: ClockTime) -> bool {
        !self.leaving && self.heard + VIEW_AGE > now
    }
}

pub struct Node {
    pub at: usize,
    pub incarnation: u64,
    pub alive: bool,
    pub paused: bool,
    pub stopping: bool,
    pub stop_by: ClockTime,
    pub inbox: VecDeque<Event>,
    pub calls: BTreeMap<u64, Call>,
    pub window: TicketWindow,
    pub imports: WindowImports,
    pub home: KeyRegistry,
    pub pending: BTreeMap<KeyId, Vec<CallMsg>>,
    pub crash: CrashTable,
    pub budget: RetryBudget,
    pub target_budgets: Vec<RetryBudget>,
    pub targets: Vec<TargetView>,
    pub peers: Vec<PeerView>,
}

pub fn secret() -> SigningKey {
    SigningKey::new(b"fake")
}

impl Node {
    pub fn new(
        at: usize,
        incarnation: u64,
        started: ClockTime,
        now: ClockTime,
        lifetime: TimeSpan,
    ) -> Self {
        let own = ProcessId::new(node_name(at), IncarnationNumber(incarnation));
        let names = (0..NODES).map(node_name).collect();
        let policy = KeyPolicy {
            lifetime,
            ..KeyPolicy::default()
        };
        Self {
            at,
            incarnation,
            alive: true,
            paused: false,
            stopping: false,
            stop_by: ClockTime::ZERO,
            inbox: VecDeque::new(),
            calls: BTreeMap::new(),
            window: TicketWindow::new(own.clone(), WindowLimits::default()),
            imports: WindowImports::new(own.clone(), WindowLimits::default(), 100),
            home: KeyRegistry::new(own, started, RevisionNumber::new(1, 1), names, policy),
            pending: BTreeMap::new(),
            crash: CrashTable::new(CrashLimits::default()),
            budget: RetryBudget::new(now),
            target_budgets: vec![RetryBudget::new(now); TARGETS],
            targets: vec![TargetView::default(); TARGETS],
            peers: vec![PeerView::default(); NODES],
        }
    }

    pub fn own(&self) -> ProcessId {
        ProcessId::new(node_name(self.at), IncarnationNumber(self.incarnation))
    }

    pub fn links(&self) -> Vec<LinkRef> {
        let open = |(id, call): (&u64, &Call)| {
            call.machine.current_link().map(|link| self.link(*id, link))
        };
        self.calls.iter().filter_map(open).collect()
    }

    pub fn link(&self, call: u64, link: LinkNumber) -> LinkRef {
        LinkRef {
            node: self.at,
            incarnation: self.incarnation,
            call,
            link,
        }
    }

    pub fn window(&mut self, owner: &ProcessId) -> Option<&mut TicketWindow> {
        match *self.window.owner() == *owner {
            true => Some(&mut self.window),
            false => self.imports.get_mut(owner),
        }
    }
}

impl World {
    pub fn node_event(&mut self, at: usize, event: Event) {
        if !self.nodes[at].alive {
            self.lose_event(event);
            return;
        }
        if self.nodes[at].paused {
            self.nodes[at].inbox.push_back(event);
            return;
        }
        let incarnation = self.nodes[at].incarnation;
        match event {
            Event::Deliver(from, _, msg) => self.node_message(at, from, msg),
            Event::CallTimer(_, run, id, due) if run == incarnation => {
                self.call_timer(at, id, due);
            }
            Event::WatchTimer(_, run, id) if run == incarnation => self.watch_tick(at, id),
            Event::InquiryTimeout(_, run, key) if run == incarnation => {
                let verdict = self.nodes[at].home.on_inquiry_timeout(key);
                self.resolve(at, key, verdict);
            }
            Event::StopStep(_, run) if run == incarnation => self.stop_step(at),
            _ => {}
        }
    }

    /// What peers of a dead process notice of a message to it.
    pub fn lose_event(&mut self, event: Event) {
        match event {
            Event::Deliver(_, _, Msg::NewTicket(path) | Msg::Reply(path, _)) => {
                self.break_exchange(path.exchange);
            }
            Event::Deliver(_, _, Msg::Call(call) | Msg::Witness(call)) => {
                self.lose_path(call.path);
            }
            _ => {}
        }
    }

    /// The connection that led to this path broke at its far end. The node before it says so,
    /// unless tokens were passed on already; then it breaks its own connection as well.
    pub fn lose_path(&mut self, mut path: ReplyPath) {
        let exchange = self.exchanges.get(&path.exchange);
        let started = exchange.is_some_and(|exchange| exchange.tokens > 0);
        match path.hops.pop() {
            Some(hop) if self.nodes[hop].alive && !started => {
                self.reply(hop, path, ReplyBody::Fail(RanState::Unknown));
            }
            _ => self.break_exchange(path.exchange),
        }
    }

    pub fn node_message(&mut self, at: usize, from: Addr, msg: Msg) {
        let now = self.now;
        let node = &mut self.nodes[at];
        match msg {
            Msg::NewTicket(path) => {
                let issuer = TicketIssuer::new(secret(), TICKET_LIFETIME);
                let ticket = issuer.issue(&mut node.window, now, &workspace());
                self.reply(at, path, ReplyBody::Ticket(ticket));
            }
            Msg::Call(call) => self.take_call(at, *call),
            Msg::Witness(call) => self.witness(at, *call),
            Msg::CallerGone(exchange) => {
                let held = |call: &Call| call.readers.iter().any(|path| path.exchange == exchange);
                let found = node.calls.iter().find(|(_, call)| held(call));
                let Some(id) = found.map(|(id, _)| *id) else {
                    return;
                };
                let call = node.calls.get_mut(&id).unwrap();
                call.readers.retain(|path| path.exchange != exchange);
                if call.readers.is_empty() {
                    self.feed(at, id, CallEvent::CallerGone, None);
                }
            }
            Msg::Reply(path, body) => self.reply(at, path, body),
            Msg::Inquiry(key, asker) => {
                let answer = node.home.on_inquiry(now, key, &asker);
                let msg = Msg::Inquired(key, at, asker.incarnation.0, answer);
                self.send(Addr::Node(at), from, msg);
            }
            Msg::Inquired(key, peer, incarnation, answer) => {
                if node.incarnation == incarnation && node.pending.contains_key(&key) {
                    let verdict = node.home.on_answer(key, &node_name(peer), answer);
                    self.resolve(at, key, verdict);
                }
            }
            Msg::Crash(message) => node.crash.on_message(now, message),
            Msg::Import(export) => {
                let owner = export.owner.clone();
                if node.imports.import(now, *export).is_ok() {
                    let own = node.own();
                    self.handed.insert(owner, own);
                }
            }
            Msg::Said(link, said) => {
                if link.incarnation == node.incarnation {
                    self.target_said(at, link, said);
                }
            }
            other => panic!("node got {other:?}"),
        }
    }

    pub fn reply(&mut self, at: usize, mut path: ReplyPath, body: ReplyBody) {
        let to = match path.hops.pop() {
            Some(hop) => Addr::Node(hop),
            None => Addr::Callers,
        };
        self.send(Addr::Node(at), to, Msg::Reply(path, body));
    }

    pub fn forward(&mut self, at: usize, owner: ProcessId, mut call: CallMsg) {
        call.path.hops.push(at);
        self.pass_through(&call, node_index(&owner.node));
        let to = Addr::Node(node_index(&owner.node));
        call.addressee = Some(owner);
        self.send(Addr::Node(at), to, Msg::Call(Box::new(call)));
    }

    pub fn pass_through(&mut self, call: &CallMsg, node: usize) {
        if let Some(exchange) = self.exchanges.get_mut(&call.path.exchange) {
            exchange.nodes.push(node);
        }
    }

    pub fn refuse(&mut self, at: usize, call: CallMsg, ran: RanState) {
        self.reply(at, call.path, ReplyBody::Fail(ran));
    }

    pub fn take_call(&mut self, at: usize, call: CallMsg) {
        let own = self.nodes[at].own();
        if call.addressee.as_ref().is_some_and(|owner| *owner != own) {
            self.refuse(at, call, RanState::Unknown);
            return;
        }
        if call.resume.is_some() || !self.config.switches.bind_owner {
            self.start_call(at, call, Binding::Free);
            return;
        }
        match call.key.clone() {
            CallKey::Neither if self.nodes[at].stopping => self.refuse(at, call, RanState::No),
            CallKey::Neither => self.start_call(at, call, Binding::Free),
            CallKey::Ticket(ticket) => {
                let reach = self.reach(at, &ticket.owner);
                let hops = call.path.hops.len() as u8;
                let routing = TicketRouter::new(own, secret());
                match routing.route(&ticket, &workspace(), &reach, hops) {
                    TicketRoute::OwnWindow | TicketRoute::ImportedWindow => {
                        self.claim_ticket(at, call, ticket.owner, ticket.sequence);
                    }
                    TicketRoute::Forward(owner) | TicketRoute::ForwardToSuccessor(owner) => {
                        self.forward(at, owner, call);
                    }
                    TicketRoute::Fail(failure) => self.refuse(at, call, failure.ran),
                }
            }
            CallKey::Key(key) if call.addressee.is_some() => self.claim_key(at, key, call),
            CallKey::Key(key) => self.find_witness(at, key, call),
        }
    }
}
