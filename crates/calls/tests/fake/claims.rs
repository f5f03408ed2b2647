use base::{IncarnationNumber, RanState};
use calls::{
    ConsentStatus, ConsentVerdict, InquiryVerdict, KeyId, KeyVerdict, OwnerStatus, ProcessId,
    RetainedAnswer, TicketVerdict, WindowPhase,
};

use super::message::{Address, CallKey, CallMessage, Event, Message, ReplyBody};
use super::simulation::{Simulation, node_index, node_name};

use super::node::{Binding, PEER_TIMEOUT};

impl Simulation {
    pub fn reach(&mut self, at: usize, owner: &ProcessId) -> OwnerStatus {
        let node = &mut self.nodes[at];
        if node.imports.get_mut(owner).is_some() {
            return OwnerStatus::Imported;
        }
        if let Some(successor) = self.window_successors.get(owner) {
            return OwnerStatus::HandedOver {
                successor: successor.clone(),
            };
        }
        let peer = node.peers[node_index(&owner.node)];
        if peer.incarnation > owner.incarnation.0 {
            return OwnerStatus::Replaced;
        }
        match peer.last_heard + PEER_TIMEOUT > self.now {
            true => OwnerStatus::Reachable,
            false => OwnerStatus::Unreachable,
        }
    }

    pub fn claim_ticket(&mut self, at: usize, call: CallMessage, owner: ProcessId, sequence: u64) {
        let now = self.now;
        let Some(window) = self.nodes[at].window(&owner) else {
            self.refuse(at, call, RanState::Unknown);
            return;
        };
        let binding = Binding::Ticket(owner, sequence);
        match window.claim(now, sequence, call.body) {
            TicketVerdict::Run => self.start_call(at, call, binding),
            TicketVerdict::Join => self.join_call(at, call, &binding),
            TicketVerdict::Replay(answer) => self.replay(at, call, &answer),
            TicketVerdict::HandedOver => {
                let WindowPhase::HandedOver { successor } = window.phase().clone() else {
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

    pub fn find_witness(&mut self, at: usize, key: KeyId, mut call: CallMessage) {
        let now = self.now;
        let node = &self.nodes[at];
        let ranking = node.home.placement(key).unwrap();
        let up = |peer: &usize| *peer == at || node.peers[*peer].last_heard + PEER_TIMEOUT > now;
        let witnesses = ranking.witnesses.iter().map(node_index);
        let stopping = |peer: &usize| self.nodes[at].peers[*peer].stopping;
        match witnesses.filter(up).min_by_key(stopping) {
            Some(peer) if peer == at => self.witness(at, call),
            Some(peer) => {
                call.path.hops.push(at);
                self.send(
                    Address::Node(at),
                    Address::Node(peer),
                    Message::Witness(Box::new(call)),
                );
            }
            None => self.refuse(at, call, RanState::Unknown),
        }
    }

    pub fn witness(&mut self, at: usize, mut call: CallMessage) {
        let CallKey::Key(key) = call.key else {
            panic!("no key to witness");
        };
        let now = self.now;
        let node = &mut self.nodes[at];
        let home = node.home.placement(key).unwrap().home;
        let incarnation = node.peers[node_index(&home)].incarnation;
        let owner = ProcessId::new(home, IncarnationNumber(incarnation));
        call.arrival = match node.home.consent(now, key, &owner) {
            ConsentVerdict::Granted => ConsentStatus::Granted { by: node_name(at) },
            ConsentVerdict::Contested => ConsentStatus::Contested,
            ConsentVerdict::Unsure if call.arrival == ConsentStatus::NotAsked => {
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

    /// Forwards a call from a witness that started too recently to know the key to the other
    /// witness.
    pub fn ask_other_witness(&mut self, at: usize, key: KeyId, mut call: CallMessage) {
        let ranking = self.nodes[at].home.placement(key).unwrap();
        let mut others = ranking.witnesses.iter().map(node_index);
        let asked = |peer: &usize| *peer == at || call.path.hops.contains(peer);
        let Some(peer) = others.find(|peer| !asked(peer)) else {
            self.refuse(at, call, RanState::Unknown);
            return;
        };
        call.path.hops.push(at);
        self.pass_through(&call, peer);
        self.send(
            Address::Node(at),
            Address::Node(peer),
            Message::Witness(Box::new(call)),
        );
    }

    pub fn claim_key(&mut self, at: usize, key: KeyId, call: CallMessage) {
        let now = self.now;
        let node = &mut self.nodes[at];
        match node.home.claim(now, key, call.body, call.arrival.clone()) {
            KeyVerdict::Run => self.start_call(at, call, Binding::Key(key)),
            KeyVerdict::Join => match node.pending.get_mut(&key) {
                Some(waiting) => waiting.push(call),
                None => self.join_call(at, call, &Binding::Key(key)),
            },
            KeyVerdict::Replay(answer) => self.replay(at, call, &answer),
            KeyVerdict::Inquire(peers) => {
                node.pending.insert(key, vec![call]);
                let own = node.own();
                let incarnation = own.incarnation.0;
                for peer in peers {
                    let to = Address::Node(node_index(&peer));
                    self.send(Address::Node(at), to, Message::Inquiry(key, own.clone()));
                }
                self.schedule_after(500, Event::InquiryTimeout(at, incarnation, key));
            }
            claim => {
                let ran = claim
                    .failure()
                    .map_or(RanState::Unknown, |failure| failure.ran);
                self.refuse(at, call, ran);
            }
        }
    }

    pub fn resolve(&mut self, at: usize, key: KeyId, verdict: InquiryVerdict) {
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

    pub fn replay(&mut self, at: usize, call: CallMessage, answer: &RetainedAnswer) {
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

    pub fn join_call(&mut self, at: usize, message: CallMessage, binding: &Binding) {
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
}
