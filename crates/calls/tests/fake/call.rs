use std::sync::Arc;

use base::{ClockTime, ErrorKind, GenerationId, RanState};
use calls::{
    AnswerMode, CallAction, CallEvent, CallMachine, CallOutcome, CallPlan, ConnectionNumber,
    CrashMessage, CrashVerdict, ResumePoint, RetainedAnswer,
};
use rand::Rng;

use super::message::{Address, CallMessage, ConnectionId, Event, Message, ReplyBody};
use super::simulation::{NODES, Simulation, TARGETS, target_index, target_name};

use super::node::{Binding, Call, DEADLINE};

impl Simulation {
    pub fn call_timer(&mut self, at: usize, id: u64, due: ClockTime) {
        let call = self.nodes[at].calls.get(&id);
        if call.is_some_and(|call| call.timer == Some(due)) {
            self.feed(at, id, CallEvent::Timer, None);
        }
    }

    pub fn start_call(&mut self, at: usize, message: CallMessage, binding: Binding) {
        self.call_count += 1;
        let id = self.call_count;
        let keyed = binding != Binding::Unbound;
        let mut plan = CallPlan::new(format!("c{id}").parse().unwrap());
        plan.repeatable = message.idempotent || !self.config.switches.respect_repeatable;
        plan.uninterruptible = keyed && !message.idempotent;
        plan.deadline = Some(self.now + DEADLINE);
        plan.seed = self.random.random();
        plan.resume = message
            .resume
            .clone()
            .map(|(target, generation, next_offset)| ResumePoint {
                target,
                generation,
                next_offset,
            });
        if !message.streamed {
            plan.mode = AnswerMode::Buffered;
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
            monitor: None,
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
        self.perform_all(at, id, actions, None);
    }

    /// Feeds one event, with its token if it has one, to a call and performs the resulting actions.
    pub fn feed(
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
        self.perform_all(at, id, actions, token);
    }

    pub fn perform_all(
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
            self.perform(at, id, action, token.as_ref());
        }
    }

    pub fn perform(
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
        let accepts_calls = call
            .machine
            .target()
            .is_some_and(|target| views[target_index(target)].accepts_calls(now));
        match action {
            CallAction::ChooseTarget { exclude, retry } => {
                let event = self.choose_target(at, id, &exclude, retry);
                self.feed(at, id, event, None);
            }
            CallAction::Connect { connection, target } => {
                call.target_incarnation = None;
                call.resuming = None;
                self.leave_target(at, id);
                self.open(at, id, connection, target_index(&target));
            }
            CallAction::Send {
                connection, target, ..
            } => {
                let target_at = target_index(&target);
                if !accepts_calls && switches.avoid_leaving {
                    self.feed(at, id, CallEvent::ConnectFailed { connection }, None);
                    return;
                }
                call.placed = true;
                let message = Box::new(call.message.clone());
                let fingerprint = message.fingerprint;
                if switches.record_first_byte {
                    let event = CallEvent::FirstByteSent { connection };
                    call.machine.on_event(now, event, &mut Vec::new());
                }
                let messages = node.crash.on_placed(now, fingerprint, &target);
                let connection = node.connection(id, connection);
                self.notify_peers(at, messages);
                self.send_on(
                    at,
                    connection,
                    target_at,
                    Message::Request(connection, message),
                );
            }
            CallAction::Resume {
                connection,
                target,
                generation,
                offset,
            } => {
                call.resuming = Some((connection, generation, offset));
                self.open(at, id, connection, target_index(&target));
            }
            CallAction::Deliver { .. } => {
                if switches.check_offsets {
                    let (generation, offset) = token.unwrap().clone();
                    self.deliver(at, id, generation, offset);
                }
            }
            CallAction::DiscardAnswer => call.collected.clear(),
            CallAction::CloseConnection { .. } => call.monitor = None,
            CallAction::Cancel { target, generation } => {
                let to = Address::Target(target_index(&target));
                self.send(Address::Node(at), to, Message::Cancel(generation));
            }
            CallAction::SetTimer { at: due } => {
                call.timer = Some(due);
                self.schedule_at(due, Event::CallTimer(at, incarnation, id, due));
            }
            CallAction::Detach(failure) => {
                for path in std::mem::take(&mut call.readers) {
                    self.reply(at, path, ReplyBody::Fail(failure.ran));
                }
            }
            CallAction::Finish { .. } => self.finish_call(at, id),
            CallAction::Fail(failure) => {
                if failure.kind == ErrorKind::CrashSuspect {
                    let counter = match call.message.crashes_targets {
                        true => &mut self.report.crash_refusals,
                        false => &mut self.report.wrong_crash_refusals,
                    };
                    *counter += 1;
                }
                self.fail_call(at, id, failure.ran);
            }
            CallAction::Abandon { ran } => self.fail_call(at, id, ran),
            CallAction::Drop => {}
        }
    }

    pub fn choose_target(
        &mut self,
        at: usize,
        id: u64,
        exclude: &[base::TargetName],
        retry: bool,
    ) -> CallEvent<'static> {
        let now = self.now;
        let switches = self.config.switches;
        let node = &mut self.nodes[at];
        let fingerprint = node.calls[&id].message.fingerprint;
        if let CrashVerdict::Refused { retry_after } = node.crash.verdict(now, fingerprint) {
            return CallEvent::NoTarget {
                kind: ErrorKind::CrashSuspect,
                retry_after: Some(retry_after),
            };
        }
        let fits = |target: &usize| {
            let name = target_name(*target);
            let known = node.targets[*target].accepts_calls(now) || !switches.avoid_leaving;
            known && !exclude.contains(&name) && node.crash.allows(now, fingerprint, &name)
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
        } else if switches.limit_retries && !node.budget.try_take_both(budget, now) {
            return CallEvent::RetryRefused { retry_after: None };
        }
        CallEvent::TargetChosen {
            target: target_name(target),
        }
    }

    pub fn open(&mut self, at: usize, id: u64, connection: ConnectionNumber, target: usize) {
        let connection = self.nodes[at].connection(id, connection);
        self.send(
            Address::Node(at),
            Address::Target(target),
            Message::Open(connection),
        );
    }

    pub fn send_on(&mut self, at: usize, connection: ConnectionId, target: usize, msg: Message) {
        if !self.silent_to_target.contains(&connection) {
            self.send(Address::Node(at), Address::Target(target), msg);
        }
    }

    pub fn deliver(&mut self, at: usize, id: u64, generation: GenerationId, offset: u64) {
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

    pub fn finish_call(&mut self, at: usize, id: u64) {
        self.leave_target(at, id);
        let node = &mut self.nodes[at];
        let call = node.calls.remove(&id).unwrap();
        let messages = node.crash.on_completed(call.message.fingerprint);
        self.notify_peers(at, messages);
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

    pub fn fail_call(&mut self, at: usize, id: u64, ran: RanState) {
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

    pub fn settle(&mut self, at: usize, binding: Binding, outcome: CallOutcome) {
        let node = &mut self.nodes[at];
        match binding {
            Binding::Unbound => {}
            Binding::Key(key) => node.home.finish(key, outcome),
            Binding::Ticket(owner, sequence) => {
                if let Some(window) = node.window(&owner) {
                    window.finish(sequence, outcome);
                }
            }
        }
    }

    pub fn leave_target(&mut self, at: usize, id: u64) {
        let node = &mut self.nodes[at];
        let call = node.calls.get_mut(&id).unwrap();
        if !std::mem::take(&mut call.placed) {
            return;
        }
        let fingerprint = call.message.fingerprint;
        let Some(target) = call.machine.target().cloned() else {
            return;
        };
        let messages = node.crash.on_left(fingerprint, &target);
        self.notify_peers(at, messages);
    }

    pub fn notify_peers(&mut self, at: usize, messages: impl IntoIterator<Item = CrashMessage>) {
        for message in messages {
            for peer in (0..NODES).filter(|peer| *peer != at) {
                let msg = Message::Crash(message.clone());
                self.send(Address::Node(at), Address::Node(peer), msg);
            }
        }
    }
}
