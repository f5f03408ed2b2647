use base::{NodeName, TimeSpan};
use calls::ProcessId;
use member::NodeState;
use schema::fleet::PullAnswer;
use xtra::{Context, Handler};

use super::FleetStatus;
use super::fleet_actor::FleetActor;
use super::fleet_message::{
    AnnounceImport, AnnounceLeave, AnswerPull, FindNode, FindOtherDomainNodes, FindSuccessor,
    HeadFetched, KeysFetched, NodeListFetched, OrderCompleted, ProbeTarget, PullCompleted,
    ReadStatus, ReceiveFailures, ReceiveLoadUpdate, ReceiveMembership, ReceiveOrder,
    ReceiveRevision, SeedContacted, SetInFlight, TargetListFetched, TargetProbed, TickFleet,
};
use super::membership_part::IMPORT_PAYLOAD;

impl xtra::Actor for FleetActor {
    type Stop = ();

    async fn started(&mut self, mailbox: &xtra::Mailbox<Self>) -> Result<(), ()> {
        self.own_address = Some(mailbox.address());
        Ok(())
    }

    async fn stopped(self) {
        for task in self.platform_calls.into_values() {
            task.abort();
        }
        for task in [self.node_list_watch, self.target_list_watch]
            .into_iter()
            .flatten()
        {
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

impl Handler<ReceiveMembership> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveMembership, _: &mut Context<Self>) {
        let now = self.now();
        let revision = message.message.header.revision;
        self.parts
            .claims
            .record_peer_revision(message.from.clone(), revision);
        let mut actions = Vec::new();
        self.membership
            .on_message(now, &message.from, message.message, &mut actions);
        self.execute_member_actions(actions);
        self.reconciler.on_peer_revision(now, revision);
    }
}

impl Handler<ReceiveOrder> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveOrder, _: &mut Context<Self>) {
        self.reconciler
            .on_message(self.now(), &message.from, message.message);
    }
}

impl Handler<ReceiveFailures> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveFailures, _: &mut Context<Self>) {
        self.reconciler.on_failures(self.now(), &message.summaries);
    }
}

impl Handler<OrderCompleted> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: OrderCompleted, _: &mut Context<Self>) {
        let now = self.now();
        self.reconciler
            .on_outcome(now, &message.order, &message.outcome);
        // A probe of the target shows the effect of the order.
        self.start_probe(message.order.target);
    }
}

impl Handler<ReceiveRevision> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveRevision, _: &mut Context<Self>) {
        let actions = self
            .revision_view
            .on_digest(self.now(), &message.from, &message.digest);
        self.execute_revision_actions(actions);
    }
}

impl Handler<AnswerPull> for FleetActor {
    type Return = PullAnswer;

    async fn handle(&mut self, message: AnswerPull, _: &mut Context<Self>) -> PullAnswer {
        self.revision_view.answer_pull(self.now(), &message.request)
    }
}

impl Handler<PullCompleted> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: PullCompleted, _: &mut Context<Self>) {
        let response = message.response.as_ref();
        let actions = self
            .revision_view
            .on_pull_answer(self.now(), message.pull, response);
        self.execute_revision_actions(actions);
        self.publish_ready();
    }
}

impl Handler<HeadFetched> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: HeadFetched, _: &mut Context<Self>) {
        let (now, call) = (self.now(), message.call);
        self.platform_calls.remove(&call);
        let actions = match message.response {
            Ok(response) => self.revision_view.on_head_answer(now, call, &response),
            Err(_) => self.revision_view.on_platform_failure(now, call),
        };
        self.execute_revision_actions(actions);
        self.publish_ready();
    }
}

impl Handler<KeysFetched> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: KeysFetched, _: &mut Context<Self>) {
        let (now, call) = (self.now(), message.call);
        self.platform_calls.remove(&call);
        let actions = match message.response {
            Ok(keys) => self.revision_view.on_keys_answer(now, call, &keys),
            Err(_) => self.revision_view.on_platform_failure(now, call),
        };
        self.execute_revision_actions(actions);
        self.publish_ready();
    }
}

impl Handler<NodeListFetched> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: NodeListFetched, _: &mut Context<Self>) {
        let Ok((index, nodes)) = message.response else {
            return;
        };
        let now = self.now();
        self.node_list_index = index;
        self.node_list_read = true;
        self.next_node_list_at = now;
        let mut actions = Vec::new();
        let lag = TimeSpan::from_secs(30);
        self.membership
            .on_platform_list(now, &nodes, lag, &mut actions);
        for node in &nodes {
            self.update_address_book(&node.node);
        }
        self.execute_member_actions(actions);
    }
}

impl Handler<TargetListFetched> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: TargetListFetched, _: &mut Context<Self>) {
        if let Ok((index, targets)) = message.response {
            self.on_target_list(index, targets);
        }
    }
}

impl Handler<SeedContacted> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: SeedContacted, _: &mut Context<Self>) {
        if message.node == self.parts.identity.node {
            return;
        }
        self.parts
            .peers
            .addresses()
            .set(message.node.clone(), message.address);
        self.seeds.insert(message.node, message.domain);
        self.update_revision_peers();
    }
}

impl Handler<TargetProbed> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: TargetProbed, _: &mut Context<Self>) {
        self.on_probe_result(message);
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

impl Handler<ReceiveLoadUpdate> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveLoadUpdate, _: &mut Context<Self>) {
        self.on_load_update(&message.from, message.update);
    }
}

impl Handler<SetInFlight> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: SetInFlight, _: &mut Context<Self>) {
        self.in_flight = message.targets;
    }
}

impl Handler<AnnounceLeave> for FleetActor {
    type Return = ();

    async fn handle(&mut self, _: AnnounceLeave, _: &mut Context<Self>) {
        let mut actions = Vec::new();
        self.membership.announce_leave(self.now(), &mut actions);
        self.execute_member_actions(actions);
    }
}

impl Handler<ReadStatus> for FleetActor {
    type Return = FleetStatus;

    async fn handle(&mut self, _: ReadStatus, _: &mut Context<Self>) -> FleetStatus {
        FleetStatus {
            revision: self.revision_view.status(self.now()),
            nodes: self.membership.nodes(&self.parts.identity.domain),
            domains: self.membership.domains(),
            view_state: self.membership.view_state(),
            convergence: self.reconciler.report(self.now()),
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
        self.update_address_book(&message.node);
        self.membership.node(&message.node)
    }
}

impl Handler<AnnounceImport> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: AnnounceImport, _: &mut Context<Self>) {
        let identity = &self.parts.identity;
        let own = ProcessId::new(identity.node.clone(), identity.incarnation);
        let entry = (message.owner.clone(), own.clone());
        self.successors.insert(message.owner, own);
        if let Ok(bytes) = rmp_serde::to_vec(&entry) {
            self.membership.publish_payload(IMPORT_PAYLOAD, bytes);
        }
    }
}

impl Handler<FindSuccessor> for FleetActor {
    type Return = Option<ProcessId>;

    async fn handle(&mut self, message: FindSuccessor, _: &mut Context<Self>) -> Option<ProcessId> {
        if let Some(successor) = self.successors.get(&message.owner) {
            let successor = successor.clone();
            self.update_address_book(&successor.node);
            return Some(successor);
        }
        let known = self.membership.node(&message.owner.node)?;
        let running = known.incarnation == message.owner.incarnation
            && matches!(known.state, NodeState::Alive | NodeState::Suspect);
        // Only nodes of its own domain know which process imported the window of a stopped node.
        (!running).then(|| self.find_other_node_of_domain(&message.owner.node))?
    }
}

impl Handler<FindOtherDomainNodes> for FleetActor {
    type Return = Vec<NodeName>;

    async fn handle(&mut self, _: FindOtherDomainNodes, _: &mut Context<Self>) -> Vec<NodeName> {
        let own = &self.parts.identity.domain;
        let domains = self.membership.domains();
        let others = domains.into_iter().filter(|(name, up)| name != own && *up);
        let nodes = others.flat_map(|(name, _)| self.membership.live_nodes(&name));
        let nodes: Vec<NodeName> = nodes.collect();
        for node in &nodes {
            self.update_address_book(node);
        }
        nodes
    }
}
