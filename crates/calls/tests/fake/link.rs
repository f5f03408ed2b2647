use base::{ClockTime, IncarnationNumber, TimeSpan};
use calls::{
    CallEvent, LinkNumber, LinkWatch, ProbeOutcome, TargetDeath, WatchPolicy, WatchVerdict,
};

use super::message::{Addr, Event, LinkRef, Msg, TargetSays};
use super::world::{World, target_index, target_name};

use super::node::Call;

impl World {
    pub fn target_said(&mut self, at: usize, link: LinkRef, said: TargetSays) {
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

    pub fn connected(&mut self, at: usize, id: u64, link: LinkNumber, run: IncarnationNumber) {
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

    pub fn watch_tick(&mut self, at: usize, id: u64) {
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

    pub fn probed(&mut self, at: usize, id: u64, link: LinkNumber, outcome: ProbeOutcome) {
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

    pub fn target_died(&mut self, at: usize, target: usize, incarnation: IncarnationNumber) {
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
}
