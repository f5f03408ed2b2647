use base::{NodeName, TimeSpan};
use calls::ProcessId;
use member::NodeState;
use schema::fleet::PullAnswer;
use xtra::{Context, Handler};

use super::FleetStatus;
use super::fleet_actor::FleetActor;
use super::fleet_message::{
    AnswerPull, FindFarNodes, FindNode, FindSuccessor, HeadRead, KeysRead, LeaveFleet, NodesRead,
    OrderAnswered, ProbeTarget, PullAnswered, ReadFleet, SeedAnswered, ShareFlight, TakeFailures,
    TakeMember, TakeNote, TakeOrder, TakeRevision, TargetProbed, TargetsRead, TellImport,
    TickFleet,
};
use super::member_part::IMPORT_PAYLOAD;

impl xtra::Actor for FleetActor {
    type Stop = ();

    async fn started(&mut self, mailbox: &xtra::Mailbox<Self>) -> Result<(), ()> {
        self.own = Some(mailbox.address());
        Ok(())
    }

    async fn stopped(self) {
        for task in self.calls.into_values() {
            task.abort();
        }
        for task in [self.list_watch, self.target_watch].into_iter().flatten() {
            task.abort();
        }
    }
}

impl Handler<TickFleet> for FleetActor {
    type Return = ();

    async fn handle(&mut self, _: TickFleet, _: &mut Context<Self>) {
        self.tick();
    }
}

impl Handler<TakeMember> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: TakeMember, _: &mut Context<Self>) {
        let now = self.now();
        let revision = message.message.header.revision;
        self.parts
            .claims
            .record_peer_revision(message.from.clone(), revision);
        let mut actions = Vec::new();
        self.member
            .on_message(now, &message.from, message.message, &mut actions);
        self.carry_out_member(actions);
        self.board.on_peer_revision(now, revision);
    }
}

impl Handler<TakeOrder> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: TakeOrder, _: &mut Context<Self>) {
        self.board
            .on_message(self.now(), &message.from, message.message);
    }
}

impl Handler<TakeFailures> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: TakeFailures, _: &mut Context<Self>) {
        self.board.on_failures(self.now(), &message.summaries);
    }
}

impl Handler<OrderAnswered> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: OrderAnswered, _: &mut Context<Self>) {
        let now = self.now();
        self.board.on_outcome(now, &message.order, &message.outcome);
        // What became of the order shows at the target.
        self.start_probe(message.order.target);
    }
}

impl Handler<TakeRevision> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: TakeRevision, _: &mut Context<Self>) {
        let actions = self
            .revision
            .on_digest(self.now(), &message.from, &message.digest);
        self.carry_out_revision(actions);
    }
}

impl Handler<AnswerPull> for FleetActor {
    type Return = PullAnswer;

    async fn handle(&mut self, message: AnswerPull, _: &mut Context<Self>) -> PullAnswer {
        self.revision.answer_pull(self.now(), &message.request)
    }
}

impl Handler<PullAnswered> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: PullAnswered, _: &mut Context<Self>) {
        let answer = message.answer.as_ref();
        let actions = self
            .revision
            .on_pull_answer(self.now(), message.pull, answer);
        self.carry_out_revision(actions);
        self.publish_ready();
    }
}

impl Handler<HeadRead> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: HeadRead, _: &mut Context<Self>) {
        let (now, call) = (self.now(), message.call);
        self.calls.remove(&call);
        let actions = match message.answer {
            Ok(answer) => self.revision.on_head(now, call, &answer),
            Err(_) => self.revision.on_platform_failed(now, call),
        };
        self.carry_out_revision(actions);
        self.publish_ready();
    }
}

impl Handler<KeysRead> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: KeysRead, _: &mut Context<Self>) {
        let (now, call) = (self.now(), message.call);
        self.calls.remove(&call);
        let actions = match message.answer {
            Ok(keys) => self.revision.on_keys(now, call, &keys),
            Err(_) => self.revision.on_platform_failed(now, call),
        };
        self.carry_out_revision(actions);
        self.publish_ready();
    }
}

impl Handler<NodesRead> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: NodesRead, _: &mut Context<Self>) {
        let Ok((index, nodes)) = message.answer else {
            return;
        };
        let now = self.now();
        self.list_index = index;
        self.list_read = true;
        self.next_list = now;
        let mut actions = Vec::new();
        let lag = TimeSpan::from_secs(30);
        self.member.on_platform_list(now, &nodes, lag, &mut actions);
        for node in &nodes {
            self.learn_address(&node.node);
        }
        self.carry_out_member(actions);
    }
}

impl Handler<TargetsRead> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: TargetsRead, _: &mut Context<Self>) {
        if let Ok((index, targets)) = message.answer {
            self.take_listed_targets(index, targets);
        }
    }
}

impl Handler<SeedAnswered> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: SeedAnswered, _: &mut Context<Self>) {
        if message.node == self.parts.identity.node {
            return;
        }
        self.parts
            .peers
            .addresses()
            .set(message.node.clone(), message.address);
        self.seeds.insert(message.node, message.domain);
        self.tell_peers();
    }
}

impl Handler<TargetProbed> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: TargetProbed, _: &mut Context<Self>) {
        self.take_probe(message);
    }
}

impl Handler<ProbeTarget> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: ProbeTarget, _: &mut Context<Self>) {
        let running = self
            .probes
            .get(&message.target)
            .is_none_or(|probe| probe.running);
        if !running {
            self.start_probe(message.target);
        }
    }
}

impl Handler<TakeNote> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: TakeNote, _: &mut Context<Self>) {
        self.take_note(&message.from, message.note);
    }
}

impl Handler<ShareFlight> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: ShareFlight, _: &mut Context<Self>) {
        self.flight = message.targets;
    }
}

impl Handler<LeaveFleet> for FleetActor {
    type Return = ();

    async fn handle(&mut self, _: LeaveFleet, _: &mut Context<Self>) {
        let mut actions = Vec::new();
        self.member.announce_leave(self.now(), &mut actions);
        self.carry_out_member(actions);
    }
}

impl Handler<ReadFleet> for FleetActor {
    type Return = FleetStatus;

    async fn handle(&mut self, _: ReadFleet, _: &mut Context<Self>) -> FleetStatus {
        FleetStatus {
            revision: self.revision.status(self.now()),
            nodes: self.member.nodes(&self.parts.identity.domain),
            domains: self.member.domains(),
            view_state: self.member.view_state(),
            convergence: self.board.report(self.now()),
        }
    }
}

impl Handler<FindNode> for FleetActor {
    type Return = Option<member::NodeSnapshot>;

    async fn handle(
        &mut self,
        message: FindNode,
        _: &mut Context<Self>,
    ) -> Option<member::NodeSnapshot> {
        self.learn_address(&message.node);
        self.member.node(&message.node)
    }
}

impl Handler<TellImport> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: TellImport, _: &mut Context<Self>) {
        let identity = &self.parts.identity;
        let own = ProcessId::new(identity.node.clone(), identity.incarnation);
        let news = (message.owner.clone(), own.clone());
        self.successors.insert(message.owner, own);
        if let Ok(bytes) = rmp_serde::to_vec(&news) {
            self.member.publish_payload(IMPORT_PAYLOAD, bytes);
        }
    }
}

impl Handler<FindSuccessor> for FleetActor {
    type Return = Option<ProcessId>;

    async fn handle(&mut self, message: FindSuccessor, _: &mut Context<Self>) -> Option<ProcessId> {
        if let Some(successor) = self.successors.get(&message.owner) {
            let successor = successor.clone();
            self.learn_address(&successor.node);
            return Some(successor);
        }
        let known = self.member.node(&message.owner.node)?;
        let running = known.incarnation == message.owner.incarnation
            && matches!(known.state, NodeState::Alive | NodeState::Suspect);
        // Only the nodes of its own domain know who took the window of a stopped node over.
        (!running).then(|| self.find_substitute(&message.owner.node))?
    }
}

impl Handler<FindFarNodes> for FleetActor {
    type Return = Vec<NodeName>;

    async fn handle(&mut self, _: FindFarNodes, _: &mut Context<Self>) -> Vec<NodeName> {
        let own = &self.parts.identity.domain;
        let domains = self.member.domains();
        let others = domains.into_iter().filter(|(name, up)| name != own && *up);
        let nodes = others.flat_map(|(name, _)| self.member.live_nodes(&name));
        let nodes: Vec<NodeName> = nodes.collect();
        for node in &nodes {
            self.learn_address(node);
        }
        nodes
    }
}
