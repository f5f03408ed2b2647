use base::{ClockTime, IncarnationNumber, TimeSpan};
use calls::{
    CallEvent, ConnectionMonitor, ConnectionNumber, MonitorPolicy, MonitorVerdict, ProbeOutcome,
    TargetDeath,
};

use super::message::{Address, ConnectionId, Event, Message, TargetReply};
use super::simulation::{Simulation, target_index, target_name};

use super::node::Call;

impl Simulation {
    pub fn on_target_reply(&mut self, at: usize, connection: ConnectionId, reply: TargetReply) {
        let now = self.now;
        let (id, number) = (connection.call, connection.connection);
        let switches = self.config.switches;
        let Some(call) = self.nodes[at].calls.get_mut(&id) else {
            return;
        };
        if call.machine.current_connection() != Some(number) {
            return;
        }
        let received = call.machine.next_offset();
        if let Some(monitor) = &mut call.monitor
            && matches!(reply, TargetReply::Accepted(_) | TargetReply::Token(..))
        {
            monitor.on_bytes(now, received);
        }
        let connection = number;
        match reply {
            TargetReply::Connected(incarnation) => self.connected(at, id, connection, incarnation),
            TargetReply::Refused => {
                let target = call.machine.target().cloned();
                let incarnation = call.target_incarnation;
                if let (Some(target), Some(incarnation)) = (target, incarnation) {
                    self.target_died(at, target_index(&target), incarnation);
                }
                self.feed(at, id, CallEvent::ConnectFailed { connection }, None);
            }
            TargetReply::Lost => {
                let partial = !call.collected.is_empty();
                if !switches.check_end && partial {
                    self.finish_call(at, id);
                } else {
                    self.feed(at, id, CallEvent::ConnectionLost { connection }, None);
                }
            }
            TargetReply::NotAdmitted => {
                let event = CallEvent::NotAdmitted {
                    connection,
                    retry_after: None,
                };
                self.feed(at, id, event, None);
            }
            TargetReply::Accepted(name) => {
                let generation = name.as_str();
                let event = CallEvent::Accepted {
                    connection,
                    generation,
                };
                self.feed(at, id, event, None);
            }
            TargetReply::Token(name, offset) => {
                let event = CallEvent::Token {
                    connection,
                    generation: name.as_str(),
                    offset,
                    len: 1,
                };
                if !switches.check_offsets {
                    self.deliver(at, id, name.clone(), offset);
                }
                self.feed(at, id, event, Some((name.clone(), offset)));
            }
            TargetReply::End(name, count) => {
                let event = CallEvent::EndOfStream {
                    connection,
                    generation: name.as_str(),
                    count,
                };
                self.feed(at, id, event, None);
            }
            TargetReply::ResumeRefused => {
                self.feed(at, id, CallEvent::ResumeRefused { connection }, None);
            }
            TargetReply::Probed(incarnation, produced) => {
                let outcome = ProbeOutcome::Answered {
                    incarnation,
                    produced,
                };
                self.probed(at, id, connection, outcome);
            }
            TargetReply::ProbeRefused => self.probed(at, id, connection, ProbeOutcome::Refused),
            TargetReply::ProbeTimedOut => self.probed(at, id, connection, ProbeOutcome::TimedOut),
        }
    }

    pub fn connected(
        &mut self,
        at: usize,
        id: u64,
        connection: ConnectionNumber,
        run: IncarnationNumber,
    ) {
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
        let monitor = ConnectionMonitor::new(now, run, MonitorPolicy::default());
        let tick = monitor.next_check_at();
        call.monitor = Some(monitor);
        let resuming = call
            .resuming
            .clone()
            .filter(|(number, ..)| *number == connection);
        let incarnation = node.incarnation;
        self.schedule_at(tick, Event::MonitorTimer(at, incarnation, id));
        self.feed(at, id, CallEvent::Connected { connection }, None);
        if let Some((number, generation, offset)) = resuming {
            let connection = self.nodes[at].connection(id, number);
            self.send_on(
                at,
                connection,
                target,
                Message::Resume(connection, generation, offset),
            );
        }
    }

    pub fn monitor_tick(&mut self, at: usize, id: u64) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let incarnation = node.incarnation;
        let Some(call) = node.calls.get_mut(&id) else {
            return;
        };
        let (Some(monitor), Some(number)) = (&mut call.monitor, call.machine.current_connection())
        else {
            return;
        };
        let verdict = monitor.on_tick(now);
        let next = monitor.next_check_at().max(now + TimeSpan::new(100));
        let target = target_index(call.machine.target().unwrap());
        let generation = call.machine.generation().cloned();
        let connection = node.connection(id, number);
        self.schedule_at(next, Event::MonitorTimer(at, incarnation, id));
        match verdict {
            MonitorVerdict::Probe => {
                let msg = Message::Probe(connection, generation);
                self.send(Address::Node(at), Address::Target(target), msg);
                let late = Message::FromTarget(connection, TargetReply::ProbeTimedOut);
                self.schedule_after(
                    400,
                    Event::Deliver(Address::Target(target), Address::Node(at), late),
                );
            }
            MonitorVerdict::ConnectionSilent => {
                self.feed(
                    at,
                    id,
                    CallEvent::ConnectionSilent { connection: number },
                    None,
                );
            }
            _ => {}
        }
    }

    pub fn probed(
        &mut self,
        at: usize,
        id: u64,
        connection: ConnectionNumber,
        outcome: ProbeOutcome,
    ) {
        let now = self.now;
        let call = self.nodes[at].calls.get_mut(&id).unwrap();
        let target = call.machine.target().unwrap().clone();
        let incarnation = call.target_incarnation.unwrap();
        let Some(monitor) = &mut call.monitor else {
            return;
        };
        match monitor.on_probe(now, outcome) {
            MonitorVerdict::ConnectionSilent => {
                self.feed(at, id, CallEvent::ConnectionSilent { connection }, None)
            }
            MonitorVerdict::TargetDead => self.target_died(at, target_index(&target), incarnation),
            MonitorVerdict::TargetUnreachable => {
                self.feed(at, id, CallEvent::TargetDied { target }, None);
            }
            MonitorVerdict::Wait | MonitorVerdict::Probe => {}
        }
    }

    pub fn target_died(&mut self, at: usize, target: usize, incarnation: IncarnationNumber) {
        let name = target_name(target);
        let now = self.now;
        let node = &mut self.nodes[at];
        node.targets[target].last_heard = ClockTime::ZERO;
        let death = TargetDeath {
            target: name.clone(),
            incarnation,
        };
        let messages = node.crash.on_target_died(now, death);
        let on_target = |call: &Call| {
            call.machine.target() == Some(&name) && call.target_incarnation == Some(incarnation)
        };
        let calls = node.calls.iter().filter(|(_, call)| on_target(call));
        let ids: Vec<_> = calls.map(|(id, _)| *id).collect();
        self.notify_peers(at, messages);
        for id in ids {
            let target = name.clone();
            self.feed(at, id, CallEvent::TargetDied { target }, None);
        }
    }
}
