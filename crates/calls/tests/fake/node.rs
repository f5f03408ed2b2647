use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use base::{
    ClockTime, ErrorKind, GenerationId, IncarnationNumber, RanState, RevisionNumber, TimeSpan,
};
use calls::{
    AnswerMode, CallAction, CallEvent, CallMachine, CallOutcome, CallPlan, ConsentVerdict,
    CrashLimits, CrashMessage, CrashTable, CrashVerdict, InquiryVerdict, KeyArrival, KeyClaim,
    KeyHome, KeyId, KeyPolicy, LinkNumber, LinkWatch, OwnerId, OwnerReach, ProbeOutcome,
    ResumePoint, RetainedAnswer, RetryBudget, TargetDeath, TicketClaim, TicketIssuer, TicketKey,
    TicketRoute, TicketRouting, TicketWindow, WatchPolicy, WatchVerdict, WindowImports,
    WindowLimits, WindowPhase,
};
use rand::Rng;

use super::message::{
    Addr, CallKey, CallMsg, Event, LinkRef, Msg, ReplyBody, ReplyPath, TargetSays,
};
use super::world::{
    NODES, TARGETS, World, node_index, node_name, target_index, target_name, workspace,
};

const DEADLINE: TimeSpan = TimeSpan::from_secs(8);
const VIEW_AGE: TimeSpan = TimeSpan::new(1_500);
const PEER_AGE: TimeSpan = TimeSpan::from_secs(5);
const TICKET_LIFETIME: TimeSpan = TimeSpan::from_secs(120);

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Binding {
    Free,
    Ticket(OwnerId, u64),
    Key(KeyId),
}

pub struct Call {
    machine: CallMachine,
    message: CallMsg,
    binding: Binding,
    readers: Vec<ReplyPath>,
    collected: Vec<(String, GenerationId, u64)>,
    target_incarnation: Option<IncarnationNumber>,
    resuming: Option<(LinkNumber, GenerationId, u64)>,
    placed: bool,
    watch: Option<LinkWatch>,
    timer: Option<ClockTime>,
}

#[derive(Clone, Copy, Default)]
struct TargetView {
    heard: ClockTime,
    leaving: bool,
    incarnation: u64,
}

#[derive(Clone, Copy, Default)]
struct PeerView {
    heard: ClockTime,
    incarnation: u64,
    stopping: bool,
}

impl TargetView {
    fn takes(&self, now: ClockTime) -> bool {
        !self.leaving && self.heard + VIEW_AGE > now
    }
}

pub struct Node {
    pub at: usize,
    pub incarnation: u64,
    pub alive: bool,
    pub paused: bool,
    pub stopping: bool,
    stop_by: ClockTime,
    inbox: VecDeque<Event>,
    calls: BTreeMap<u64, Call>,
    window: TicketWindow,
    imports: WindowImports,
    home: KeyHome,
    pending: BTreeMap<KeyId, Vec<CallMsg>>,
    crash: CrashTable,
    budget: RetryBudget,
    target_budgets: Vec<RetryBudget>,
    targets: Vec<TargetView>,
    peers: Vec<PeerView>,
}

fn secret() -> TicketKey {
    TicketKey::new(b"fake")
}

impl Node {
    pub fn new(
        at: usize,
        incarnation: u64,
        started: ClockTime,
        now: ClockTime,
        lifetime: TimeSpan,
    ) -> Self {
        let own = OwnerId::new(node_name(at), IncarnationNumber(incarnation));
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
            home: KeyHome::new(own, started, RevisionNumber::new(1, 1), names, policy),
            pending: BTreeMap::new(),
            crash: CrashTable::new(CrashLimits::default()),
            budget: RetryBudget::new(now),
            target_budgets: vec![RetryBudget::new(now); TARGETS],
            targets: vec![TargetView::default(); TARGETS],
            peers: vec![PeerView::default(); NODES],
        }
    }

    fn own(&self) -> OwnerId {
        OwnerId::new(node_name(self.at), IncarnationNumber(self.incarnation))
    }

    pub fn links(&self) -> Vec<LinkRef> {
        let open = |(id, call): (&u64, &Call)| {
            call.machine.current_link().map(|link| self.link(*id, link))
        };
        self.calls.iter().filter_map(open).collect()
    }

    fn link(&self, call: u64, link: LinkNumber) -> LinkRef {
        LinkRef {
            node: self.at,
            incarnation: self.incarnation,
            call,
            link,
        }
    }

    fn window(&mut self, owner: &OwnerId) -> Option<&mut TicketWindow> {
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

    fn call_timer(&mut self, at: usize, id: u64, due: ClockTime) {
        let call = self.nodes[at].calls.get(&id);
        if call.is_some_and(|call| call.timer == Some(due)) {
            self.feed(at, id, CallEvent::Timer, None);
        }
    }

    /// What peers of a dead process notice of a message to it.
    fn lose_event(&mut self, event: Event) {
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
    fn lose_path(&mut self, mut path: ReplyPath) {
        let exchange = self.exchanges.get(&path.exchange);
        let started = exchange.is_some_and(|exchange| exchange.tokens > 0);
        match path.hops.pop() {
            Some(hop) if self.nodes[hop].alive && !started => {
                self.reply(hop, path, ReplyBody::Fail(RanState::Unknown));
            }
            _ => self.break_exchange(path.exchange),
        }
    }

    fn node_message(&mut self, at: usize, from: Addr, msg: Msg) {
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

    fn reply(&mut self, at: usize, mut path: ReplyPath, body: ReplyBody) {
        let to = match path.hops.pop() {
            Some(hop) => Addr::Node(hop),
            None => Addr::Callers,
        };
        self.send(Addr::Node(at), to, Msg::Reply(path, body));
    }

    fn forward(&mut self, at: usize, owner: OwnerId, mut call: CallMsg) {
        call.path.hops.push(at);
        self.pass_through(&call, node_index(&owner.node));
        let to = Addr::Node(node_index(&owner.node));
        call.addressee = Some(owner);
        self.send(Addr::Node(at), to, Msg::Call(Box::new(call)));
    }

    fn pass_through(&mut self, call: &CallMsg, node: usize) {
        if let Some(exchange) = self.exchanges.get_mut(&call.path.exchange) {
            exchange.nodes.push(node);
        }
    }

    fn refuse(&mut self, at: usize, call: CallMsg, ran: RanState) {
        self.reply(at, call.path, ReplyBody::Fail(ran));
    }

    fn take_call(&mut self, at: usize, call: CallMsg) {
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
                let routing = TicketRouting::new(own, secret());
                match routing.decide(&ticket, &workspace(), &reach, hops) {
                    TicketRoute::RunHere | TicketRoute::RunImported => {
                        self.claim_ticket(at, call, ticket.owner, ticket.sequence);
                    }
                    TicketRoute::Forward(owner) | TicketRoute::Successor(owner) => {
                        self.forward(at, owner, call);
                    }
                    TicketRoute::Answer(failure) => self.refuse(at, call, failure.ran),
                }
            }
            CallKey::Key(key) if call.addressee.is_some() => self.claim_key(at, key, call),
            CallKey::Key(key) => self.find_witness(at, key, call),
        }
    }

    fn reach(&mut self, at: usize, owner: &OwnerId) -> OwnerReach {
        let node = &mut self.nodes[at];
        if node.imports.get_mut(owner).is_some() {
            return OwnerReach::Imported;
        }
        if let Some(successor) = self.handed.get(owner) {
            return OwnerReach::HandedOver {
                successor: successor.clone(),
            };
        }
        let peer = node.peers[node_index(&owner.node)];
        if peer.incarnation > owner.incarnation.0 {
            return OwnerReach::Replaced;
        }
        match peer.heard + PEER_AGE > self.now {
            true => OwnerReach::Reachable,
            false => OwnerReach::Unreachable,
        }
    }

    fn claim_ticket(&mut self, at: usize, call: CallMsg, owner: OwnerId, sequence: u64) {
        let now = self.now;
        let Some(window) = self.nodes[at].window(&owner) else {
            self.refuse(at, call, RanState::Unknown);
            return;
        };
        let binding = Binding::Ticket(owner, sequence);
        match window.claim(now, sequence, call.body) {
            TicketClaim::Run => self.start_call(at, call, binding),
            TicketClaim::Join => self.join_call(at, call, &binding),
            TicketClaim::Replay(answer) => self.replay(at, call, &answer),
            TicketClaim::Moved => {
                let WindowPhase::Moved { successor } = window.phase().clone() else {
                    panic!("moved without a successor");
                };
                self.forward(at, successor, call);
            }
            claim => {
                let ran = claim.failure().unwrap().ran;
                self.refuse(at, call, ran);
            }
        }
    }

    fn find_witness(&mut self, at: usize, key: KeyId, mut call: CallMsg) {
        let now = self.now;
        let node = &self.nodes[at];
        let ranking = node.home.ranking(key).unwrap();
        let up = |peer: &usize| *peer == at || node.peers[*peer].heard + PEER_AGE > now;
        let witnesses = ranking.witnesses.iter().map(node_index);
        let stopping = |peer: &usize| self.nodes[at].peers[*peer].stopping;
        match witnesses.filter(up).min_by_key(stopping) {
            Some(peer) if peer == at => self.witness(at, call),
            Some(peer) => {
                call.path.hops.push(at);
                self.send(
                    Addr::Node(at),
                    Addr::Node(peer),
                    Msg::Witness(Box::new(call)),
                );
            }
            None => self.refuse(at, call, RanState::Unknown),
        }
    }

    fn witness(&mut self, at: usize, mut call: CallMsg) {
        let CallKey::Key(key) = call.key else {
            panic!("no key to witness");
        };
        let now = self.now;
        let node = &mut self.nodes[at];
        let home = node.home.ranking(key).unwrap().home;
        let incarnation = node.peers[node_index(&home)].incarnation;
        let owner = OwnerId::new(home, IncarnationNumber(incarnation));
        call.arrival = match node.home.consent(now, key, &owner) {
            ConsentVerdict::Granted => KeyArrival::Granted { by: node_name(at) },
            ConsentVerdict::Contested => KeyArrival::Contested,
            ConsentVerdict::Unsure if call.arrival == KeyArrival::Direct => {
                self.ask_other_witness(at, key, call);
                return;
            }
            _ => {
                self.refuse(at, call, RanState::Unknown);
                return;
            }
        };
        self.forward(at, owner, call);
    }

    /// Passes a call on from a witness that is new to one that may know more.
    fn ask_other_witness(&mut self, at: usize, key: KeyId, mut call: CallMsg) {
        let ranking = self.nodes[at].home.ranking(key).unwrap();
        let mut others = ranking.witnesses.iter().map(node_index);
        let asked = |peer: &usize| *peer == at || call.path.hops.contains(peer);
        let Some(peer) = others.find(|peer| !asked(peer)) else {
            self.refuse(at, call, RanState::Unknown);
            return;
        };
        call.path.hops.push(at);
        self.pass_through(&call, peer);
        self.send(
            Addr::Node(at),
            Addr::Node(peer),
            Msg::Witness(Box::new(call)),
        );
    }

    fn claim_key(&mut self, at: usize, key: KeyId, call: CallMsg) {
        let now = self.now;
        let node = &mut self.nodes[at];
        match node.home.claim(now, key, call.body, call.arrival.clone()) {
            KeyClaim::Run => self.start_call(at, call, Binding::Key(key)),
            KeyClaim::Join => match node.pending.get_mut(&key) {
                Some(waiting) => waiting.push(call),
                None => self.join_call(at, call, &Binding::Key(key)),
            },
            KeyClaim::Replay(answer) => self.replay(at, call, &answer),
            KeyClaim::Ask(peers) => {
                node.pending.insert(key, vec![call]);
                let own = node.own();
                let incarnation = own.incarnation.0;
                for peer in peers {
                    let to = Addr::Node(node_index(&peer));
                    self.send(Addr::Node(at), to, Msg::Inquiry(key, own.clone()));
                }
                self.after(500, Event::InquiryTimeout(at, incarnation, key));
            }
            claim => {
                let ran = claim
                    .failure()
                    .map_or(RanState::Unknown, |failure| failure.ran);
                self.refuse(at, call, ran);
            }
        }
    }

    fn resolve(&mut self, at: usize, key: KeyId, verdict: InquiryVerdict) {
        if verdict == InquiryVerdict::Waiting {
            return;
        }
        let Some(waiting) = self.nodes[at].pending.remove(&key) else {
            return;
        };
        for (number, call) in waiting.into_iter().enumerate() {
            match verdict {
                InquiryVerdict::Run if number == 0 => self.start_call(at, call, Binding::Key(key)),
                InquiryVerdict::Run => self.join_call(at, call, &Binding::Key(key)),
                _ => self.refuse(at, call, RanState::Unknown),
            }
        }
    }

    fn replay(&mut self, at: usize, call: CallMsg, answer: &RetainedAnswer) {
        self.report.replayed += 1;
        let text = std::str::from_utf8(&answer.body).unwrap();
        let mut count = 0;
        for line in text.lines() {
            let mut parts = line.split(' ');
            let target = parts.next().unwrap().parse().unwrap();
            let generation = parts.next().unwrap().parse().unwrap();
            let body = ReplyBody::Token(target, generation, count);
            self.reply(at, call.path.clone(), body);
            count += 1;
        }
        self.reply(at, call.path, ReplyBody::End(count));
    }

    fn join_call(&mut self, at: usize, message: CallMsg, binding: &Binding) {
        let calls = &mut self.nodes[at].calls;
        let Some(call) = calls.values_mut().find(|call| call.binding == *binding) else {
            self.refuse(at, message, RanState::Unknown);
            return;
        };
        call.readers.push(message.path.clone());
        if !call.message.streamed {
            return;
        }
        for (target, generation, offset) in call.collected.clone() {
            let target = target.parse().unwrap();
            let body = ReplyBody::Token(target, generation, offset);
            self.reply(at, message.path.clone(), body);
        }
    }

    fn start_call(&mut self, at: usize, message: CallMsg, binding: Binding) {
        self.call_count += 1;
        let id = self.call_count;
        let keyed = binding != Binding::Free;
        let mut plan = CallPlan::new(format!("c{id}").parse().unwrap());
        plan.repeatable = message.idempotent || !self.config.switches.respect_repeatable;
        plan.uninterruptible = keyed && !message.idempotent;
        plan.deadline = Some(self.now + DEADLINE);
        plan.seed = self.random.random();
        plan.resume = message
            .resume
            .clone()
            .map(|(target, generation, next)| ResumePoint {
                target,
                generation,
                next,
            });
        if !message.streamed {
            plan.mode = AnswerMode::Whole;
        }
        let call = Call {
            machine: CallMachine::new(plan),
            readers: vec![message.path.clone()],
            message,
            binding,
            collected: Vec::new(),
            target_incarnation: None,
            resuming: None,
            placed: false,
            watch: None,
            timer: None,
        };
        let now = self.now;
        self.nodes[at].calls.insert(id, call);
        self.nodes[at].budget.on_request(now);
        let mut actions = Vec::new();
        self.nodes[at]
            .calls
            .get_mut(&id)
            .unwrap()
            .machine
            .start(now, &mut actions);
        self.act(at, id, actions, None);
    }

    /// Feeds one event, with its token if it has one, and carries out what follows.
    fn feed(
        &mut self,
        at: usize,
        id: u64,
        event: CallEvent<'_>,
        token: Option<(GenerationId, u64)>,
    ) {
        let now = self.now;
        let Some(call) = self.nodes[at].calls.get_mut(&id) else {
            return;
        };
        let mut actions = Vec::new();
        call.machine.on_event(now, event, &mut actions);
        self.act(at, id, actions, token);
    }

    fn act(
        &mut self,
        at: usize,
        id: u64,
        actions: Vec<CallAction>,
        token: Option<(GenerationId, u64)>,
    ) {
        for action in actions {
            if !self.nodes[at].calls.contains_key(&id) {
                return;
            }
            self.carry_out(at, id, action, token.as_ref());
        }
    }

    fn carry_out(
        &mut self,
        at: usize,
        id: u64,
        action: CallAction,
        token: Option<&(GenerationId, u64)>,
    ) {
        let now = self.now;
        let switches = self.config.switches;
        let node = &mut self.nodes[at];
        let incarnation = node.incarnation;
        let call = node.calls.get_mut(&id).unwrap();
        let views = &node.targets;
        let takes = call
            .machine
            .target()
            .is_some_and(|target| views[target_index(target)].takes(now));
        match action {
            CallAction::ChooseTarget { exclude, retry } => {
                let event = self.choose_target(at, id, &exclude, retry);
                self.feed(at, id, event, None);
            }
            CallAction::Connect { link, target } => {
                call.target_incarnation = None;
                call.resuming = None;
                self.leave_target(at, id);
                self.open(at, id, link, target_index(&target));
            }
            CallAction::Send { link, target, .. } => {
                let target_at = target_index(&target);
                if !takes && switches.heed_leaving {
                    self.feed(at, id, CallEvent::ConnectFailed { link }, None);
                    return;
                }
                call.placed = true;
                let message = Box::new(call.message.clone());
                let print = message.print;
                if switches.note_first_byte {
                    let event = CallEvent::FirstByteSent { link };
                    call.machine.on_event(now, event, &mut Vec::new());
                }
                let notice = node.crash.on_placed(now, print, &target);
                let link = node.link(id, link);
                self.tell_peers(at, notice);
                self.send_on(at, link, target_at, Msg::Request(link, message));
            }
            CallAction::Resume {
                link,
                target,
                generation,
                offset,
            } => {
                call.resuming = Some((link, generation, offset));
                self.open(at, id, link, target_index(&target));
            }
            CallAction::Deliver { .. } => {
                if switches.check_offsets {
                    let (generation, offset) = token.unwrap().clone();
                    self.deliver(at, id, generation, offset);
                }
            }
            CallAction::DiscardAnswer => call.collected.clear(),
            CallAction::CloseLink { .. } => call.watch = None,
            CallAction::Cancel { target, generation } => {
                let to = Addr::Target(target_index(&target));
                self.send(Addr::Node(at), to, Msg::Cancel(generation));
            }
            CallAction::SetTimer { at: due } => {
                call.timer = Some(due);
                self.at(due, Event::CallTimer(at, incarnation, id, due));
            }
            CallAction::Detach(failure) => {
                for path in std::mem::take(&mut call.readers) {
                    self.reply(at, path, ReplyBody::Fail(failure.ran));
                }
            }
            CallAction::Finish { .. } => self.finish_call(at, id),
            CallAction::Fail(failure) => {
                if failure.kind == ErrorKind::CrashSuspect {
                    let counter = match call.message.poison {
                        true => &mut self.report.condemned,
                        false => &mut self.report.innocents_condemned,
                    };
                    *counter += 1;
                }
                self.fail_call(at, id, failure.ran);
            }
            CallAction::Abandon { ran } => self.fail_call(at, id, ran),
            CallAction::Drop => {}
        }
    }

    fn choose_target(
        &mut self,
        at: usize,
        id: u64,
        exclude: &[base::TargetName],
        retry: bool,
    ) -> CallEvent<'static> {
        let now = self.now;
        let switches = self.config.switches;
        let node = &mut self.nodes[at];
        let print = node.calls[&id].message.print;
        if let CrashVerdict::Condemned { retry_after } = node.crash.judge(now, print) {
            return CallEvent::NoTarget {
                kind: ErrorKind::CrashSuspect,
                retry_after: Some(retry_after),
            };
        }
        let fits = |target: &usize| {
            let name = target_name(*target);
            let known = node.targets[*target].takes(now) || !switches.heed_leaving;
            known && !exclude.contains(&name) && node.crash.allows(now, print, &name)
        };
        let all: Vec<_> = (0..TARGETS).filter(fits).collect();
        let near: Vec<_> = all
            .iter()
            .copied()
            .filter(|target| target % 2 == at % 2)
            .collect();
        let pool = if near.is_empty() { all } else { near };
        if pool.is_empty() {
            return CallEvent::NoTarget {
                kind: ErrorKind::NoTarget,
                retry_after: None,
            };
        }
        let target = pool[self.random.random_range(0..pool.len())];
        let budget = &mut node.target_budgets[target];
        if !retry {
            budget.on_request(now);
        } else if switches.bound_retries && !node.budget.take_both(budget, now) {
            return CallEvent::RetryRefused { retry_after: None };
        }
        CallEvent::TargetChosen {
            target: target_name(target),
        }
    }

    fn open(&mut self, at: usize, id: u64, link: LinkNumber, target: usize) {
        let link = self.nodes[at].link(id, link);
        self.send(Addr::Node(at), Addr::Target(target), Msg::Open(link));
    }

    fn send_on(&mut self, at: usize, link: LinkRef, target: usize, msg: Msg) {
        if !self.silent_out.contains(&link) {
            self.send(Addr::Node(at), Addr::Target(target), msg);
        }
    }

    fn deliver(&mut self, at: usize, id: u64, generation: GenerationId, offset: u64) {
        let call = self.nodes[at].calls.get_mut(&id).unwrap();
        let target = call.machine.target().unwrap().clone();
        let item = (target.to_string(), generation.clone(), offset);
        call.collected.push(item);
        if !call.message.streamed {
            return;
        }
        for path in call.readers.clone() {
            let body = ReplyBody::Token(target.clone(), generation.clone(), offset);
            self.reply(at, path, body);
        }
    }

    fn finish_call(&mut self, at: usize, id: u64) {
        self.leave_target(at, id);
        let node = &mut self.nodes[at];
        let call = node.calls.remove(&id).unwrap();
        let notice = node.crash.on_completed(call.message.print);
        self.tell_peers(at, notice);
        let resumed = call.message.resume.as_ref().map_or(0, |point| point.2);
        let count = call.collected.len() as u64 + resumed;
        let lines = call.collected.iter();
        let body: String = lines
            .map(|(target, name, _)| format!("{target} {name}\n"))
            .collect();
        let answer = RetainedAnswer {
            status: 200,
            content_type: "text/event-stream".into(),
            body: body.into_bytes().into(),
        };
        for path in call.readers {
            if !call.message.streamed {
                for (target, generation, offset) in call.collected.clone() {
                    let target = target.parse().unwrap();
                    let body = ReplyBody::Token(target, generation, offset);
                    self.reply(at, path.clone(), body);
                }
            }
            self.reply(at, path, ReplyBody::End(count));
        }
        self.settle(at, call.binding, CallOutcome::Answered(Arc::new(answer)));
    }

    fn fail_call(&mut self, at: usize, id: u64, ran: RanState) {
        self.leave_target(at, id);
        let call = self.nodes[at].calls.remove(&id).unwrap();
        for path in call.readers {
            self.reply(at, path, ReplyBody::Fail(ran));
        }
        let outcome = match ran {
            RanState::No => CallOutcome::NotRun,
            ran => CallOutcome::Unanswered(ran),
        };
        self.settle(at, call.binding, outcome);
    }

    fn settle(&mut self, at: usize, binding: Binding, outcome: CallOutcome) {
        let node = &mut self.nodes[at];
        match binding {
            Binding::Free => {}
            Binding::Key(key) => node.home.finish(key, outcome),
            Binding::Ticket(owner, sequence) => {
                if let Some(window) = node.window(&owner) {
                    window.finish(sequence, outcome);
                }
            }
        }
    }

    fn leave_target(&mut self, at: usize, id: u64) {
        let node = &mut self.nodes[at];
        let call = node.calls.get_mut(&id).unwrap();
        if !std::mem::take(&mut call.placed) {
            return;
        }
        let print = call.message.print;
        let Some(target) = call.machine.target().cloned() else {
            return;
        };
        let notice = node.crash.on_left(print, &target);
        self.tell_peers(at, notice);
    }

    fn tell_peers(&mut self, at: usize, notice: impl IntoIterator<Item = CrashMessage>) {
        for message in notice {
            for peer in (0..NODES).filter(|peer| *peer != at) {
                let msg = Msg::Crash(message.clone());
                self.send(Addr::Node(at), Addr::Node(peer), msg);
            }
        }
    }

    fn target_said(&mut self, at: usize, link: LinkRef, said: TargetSays) {
        let now = self.now;
        let (id, number) = (link.call, link.link);
        let switches = self.config.switches;
        let Some(call) = self.nodes[at].calls.get_mut(&id) else {
            return;
        };
        if call.machine.current_link() != Some(number) {
            return;
        }
        let received = call.machine.next_offset();
        if let Some(watch) = &mut call.watch
            && matches!(said, TargetSays::Accepted(_) | TargetSays::Token(..))
        {
            watch.on_bytes(now, received);
        }
        let link = number;
        match said {
            TargetSays::Connected(incarnation) => self.connected(at, id, link, incarnation),
            TargetSays::Refused => {
                let target = call.machine.target().cloned();
                let incarnation = call.target_incarnation;
                if let (Some(target), Some(incarnation)) = (target, incarnation) {
                    self.target_died(at, target_index(&target), incarnation);
                }
                self.feed(at, id, CallEvent::ConnectFailed { link }, None);
            }
            TargetSays::Lost => {
                let partial = !call.collected.is_empty();
                if !switches.check_end && partial {
                    self.finish_call(at, id);
                } else {
                    self.feed(at, id, CallEvent::LinkLost { link }, None);
                }
            }
            TargetSays::NotAdmitted => {
                let event = CallEvent::NotAdmitted {
                    link,
                    retry_after: None,
                };
                self.feed(at, id, event, None);
            }
            TargetSays::Accepted(name) => {
                let generation = name.as_str();
                let event = CallEvent::Accepted { link, generation };
                self.feed(at, id, event, None);
            }
            TargetSays::Token(name, offset) => {
                let event = CallEvent::Token {
                    link,
                    generation: name.as_str(),
                    offset,
                    len: 1,
                };
                if !switches.check_offsets {
                    self.deliver(at, id, name.clone(), offset);
                }
                self.feed(at, id, event, Some((name.clone(), offset)));
            }
            TargetSays::End(name, count) => {
                let event = CallEvent::EndOfStream {
                    link,
                    generation: name.as_str(),
                    count,
                };
                self.feed(at, id, event, None);
            }
            TargetSays::ResumeRefused => {
                self.feed(at, id, CallEvent::ResumeRefused { link }, None);
            }
            TargetSays::Probed(incarnation, produced) => {
                let outcome = ProbeOutcome::Answered {
                    incarnation,
                    produced,
                };
                self.probed(at, id, link, outcome);
            }
            TargetSays::ProbeRefused => self.probed(at, id, link, ProbeOutcome::Refused),
            TargetSays::ProbeTimedOut => self.probed(at, id, link, ProbeOutcome::TimedOut),
        }
    }

    fn connected(&mut self, at: usize, id: u64, link: LinkNumber, run: IncarnationNumber) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let call = node.calls.get_mut(&id).unwrap();
        let target = target_index(call.machine.target().unwrap());
        if let Some(known) = call.target_incarnation
            && known != run
        {
            self.target_died(at, target, known);
            return;
        }
        call.target_incarnation = Some(run);
        let watch = LinkWatch::new(now, run, WatchPolicy::default());
        let tick = watch.next_tick();
        call.watch = Some(watch);
        let resuming = call.resuming.clone().filter(|(number, ..)| *number == link);
        let incarnation = node.incarnation;
        self.at(tick, Event::WatchTimer(at, incarnation, id));
        self.feed(at, id, CallEvent::Connected { link }, None);
        if let Some((number, generation, offset)) = resuming {
            let link = self.nodes[at].link(id, number);
            self.send_on(at, link, target, Msg::Resume(link, generation, offset));
        }
    }

    fn watch_tick(&mut self, at: usize, id: u64) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let incarnation = node.incarnation;
        let Some(call) = node.calls.get_mut(&id) else {
            return;
        };
        let (Some(watch), Some(number)) = (&mut call.watch, call.machine.current_link()) else {
            return;
        };
        let verdict = watch.on_tick(now);
        let next = watch.next_tick().max(now + TimeSpan::new(100));
        let target = target_index(call.machine.target().unwrap());
        let generation = call.machine.generation().cloned();
        let link = node.link(id, number);
        self.at(next, Event::WatchTimer(at, incarnation, id));
        match verdict {
            WatchVerdict::Probe => {
                let msg = Msg::Probe(link, generation);
                self.send(Addr::Node(at), Addr::Target(target), msg);
                let late = Msg::Said(link, TargetSays::ProbeTimedOut);
                self.after(
                    400,
                    Event::Deliver(Addr::Target(target), Addr::Node(at), late),
                );
            }
            WatchVerdict::LinkSilent => {
                self.feed(at, id, CallEvent::LinkSilent { link: number }, None);
            }
            _ => {}
        }
    }

    fn probed(&mut self, at: usize, id: u64, link: LinkNumber, outcome: ProbeOutcome) {
        let now = self.now;
        let call = self.nodes[at].calls.get_mut(&id).unwrap();
        let target = call.machine.target().unwrap().clone();
        let incarnation = call.target_incarnation.unwrap();
        let Some(watch) = &mut call.watch else {
            return;
        };
        match watch.on_probe(now, outcome) {
            WatchVerdict::LinkSilent => self.feed(at, id, CallEvent::LinkSilent { link }, None),
            WatchVerdict::TargetDead => self.target_died(at, target_index(&target), incarnation),
            WatchVerdict::TargetUnreachable => {
                self.feed(at, id, CallEvent::TargetDied { target }, None);
            }
            WatchVerdict::Wait | WatchVerdict::Probe => {}
        }
    }

    fn target_died(&mut self, at: usize, target: usize, incarnation: IncarnationNumber) {
        let name = target_name(target);
        let now = self.now;
        let node = &mut self.nodes[at];
        node.targets[target].heard = ClockTime::ZERO;
        let death = TargetDeath {
            target: name.clone(),
            incarnation,
        };
        let notices = node.crash.on_target_died(now, death);
        let on_target = |call: &Call| {
            call.machine.target() == Some(&name) && call.target_incarnation == Some(incarnation)
        };
        let calls = node.calls.iter().filter(|(_, call)| on_target(call));
        let ids: Vec<_> = calls.map(|(id, _)| *id).collect();
        self.tell_peers(at, notices);
        for id in ids {
            let target = name.clone();
            self.feed(at, id, CallEvent::TargetDied { target }, None);
        }
    }

    /// Probes of targets and peers, as membership does them; none pass a cut or reach the dead.
    pub fn refresh_view(&mut self, at: usize) {
        if !self.nodes[at].alive || self.nodes[at].paused {
            return;
        }
        let now = self.now;
        for peer in 0..NODES {
            let up = self.nodes[peer].alive && !self.nodes[peer].paused;
            if up && !self.is_cut(Addr::Node(at), Addr::Node(peer)) {
                self.nodes[at].peers[peer] = PeerView {
                    heard: now,
                    incarnation: self.nodes[peer].incarnation,
                    stopping: self.nodes[peer].stopping,
                };
            }
        }
        for target in 0..TARGETS {
            let state = &self.targets[target];
            if !state.alive || self.is_cut(Addr::Node(at), Addr::Target(target)) {
                continue;
            }
            let view = TargetView {
                heard: now,
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
        inbox.into_iter().for_each(|event| self.lose_event(event));
        paths.into_iter().for_each(|path| self.lose_path(path));
        let back = self.random.random_range(1_000..3_000);
        self.after(back, Event::StartNode(at));
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
        self.after(span, Event::ResumeNode(at, incarnation));
    }

    pub fn resume_node(&mut self, at: usize, incarnation: u64) {
        let node = &mut self.nodes[at];
        if node.incarnation != incarnation || !node.paused {
            return;
        }
        node.paused = false;
        let inbox = std::mem::take(&mut node.inbox);
        // A node that was paused reads its view again before it does anything else.
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
        self.after(100, Event::StopStep(at, incarnation));
    }

    fn stop_step(&mut self, at: usize) {
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
            self.after(100, Event::StopStep(at, incarnation));
            return;
        }
        let usable = |peer: &PeerView| !peer.stopping && peer.heard + PEER_AGE > now;
        let fresh = |peer: &usize| *peer != at && usable(&node.peers[*peer]);
        if let Some(peer) = (0..NODES).find(fresh) {
            let run = IncarnationNumber(node.peers[peer].incarnation);
            let successor = OwnerId::new(node_name(peer), run);
            let windows = node.imports.iter_mut();
            let mut exports: Vec<_> = windows
                .filter_map(|window| window.export(now, successor.clone()))
                .collect();
            exports.extend(node.window.export(now, successor));
            for export in exports {
                let msg = Msg::Import(Box::new(export));
                self.send(Addr::Node(at), Addr::Node(peer), msg);
            }
        }
        // Time for calls that are under way to be passed on to the successor.
        self.after(500, Event::StopStep(at, incarnation));
    }
}
