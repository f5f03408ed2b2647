use base::TargetName;
use calls::RetryBudget;
use sched::DispatchOutcome;
use xtra::{Context, Handler};

use super::sched_actor::{SchedActor, WaitingCall};
use super::sched_message::{
    CancelCall, FinishCall, MarkAdmitted, MarkSent, ReceiveCrash, ReceiveDigest, ReportFailure,
    ReportLoad, ReportProgress, SetTargets, SubmitCall, TickSched,
};
use crate::actor::CallPlacement;

impl Handler<SubmitCall> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: SubmitCall, _: &mut Context<Self>) {
        let SubmitCall {
            mut item,
            fingerprint,
            retry,
            reply,
        } = message;
        if let Some(refusal) = self.apply_crash_verdict(&mut item, fingerprint) {
            // Sending fails if the caller has disconnected, which needs no answer.
            let _ = reply.send(refusal);
            return;
        }
        if retry && !self.take_retry_token(&item) {
            // Sending fails if the caller has disconnected, which needs no answer.
            let _ = reply.send(CallPlacement::RetryRefused);
            return;
        }
        let now = self.clock.now();
        if !retry {
            let budget = self.workspace_budgets.entry(item.workspace.clone());
            budget
                .or_insert_with(|| RetryBudget::new(now))
                .on_request(now);
        }
        self.exclude_open_breakers(&mut item);
        let waiting = WaitingCall { fingerprint, reply };
        self.waiting.insert(item.request.clone(), waiting);
        self.policy.submit(now, item);
        self.execute_actions();
    }
}

impl Handler<CancelCall> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: CancelCall, _: &mut Context<Self>) {
        let now = self.clock.now();
        if self.waiting.remove(&message.request).is_some() {
            self.policy.withdraw(now, &message.request);
        } else {
            self.end_call(&message.request, DispatchOutcome::Cancelled);
        }
        self.execute_actions();
    }
}

impl Handler<MarkSent> for SchedActor {
    type Return = ();

    /// From here on the request can be blamed for a crash of its target; one that was never sent
    /// cannot.
    async fn handle(&mut self, message: MarkSent, _: &mut Context<Self>) {
        let now = self.clock.now();
        let Some(call) = self.running.get_mut(&message.request) else {
            return;
        };
        call.sent = true;
        let placed = self.crashes.on_placed(now, call.fingerprint, &call.target);
        self.send_crash_messages(placed);
    }
}

impl Handler<MarkAdmitted> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: MarkAdmitted, _: &mut Context<Self>) {
        let now = self.clock.now();
        if let Some(call) = self.running.get_mut(&message.request) {
            call.location = Some((message.address, message.generation));
            self.policy.on_admitted(now, &message.request);
        }
        self.execute_actions();
    }
}

impl Handler<ReportProgress> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: ReportProgress, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.policy
            .on_progress(now, &message.request, message.produced);
        self.execute_actions();
    }
}

impl Handler<FinishCall> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: FinishCall, _: &mut Context<Self>) {
        self.end_call(&message.request, message.outcome);
        self.execute_actions();
    }
}

impl Handler<ReportFailure> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: ReportFailure, _: &mut Context<Self>) {
        self.on_target_failed(message.target, message.died);
    }
}

impl Handler<ReceiveCrash> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveCrash, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.crashes.on_message(now, message.message);
    }
}

impl Handler<SetTargets> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: SetTargets, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.policy.on_targets(now, &message.targets);
        let known = |name: &TargetName| {
            let found = message
                .targets
                .binary_search_by(|info| info.target.cmp(name));
            found.is_ok()
        };
        self.breakers.retain(|name, _| known(name));
        self.target_budgets.retain(|name, _| known(name));
        self.execute_actions();
    }
}

impl Handler<ReportLoad> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: ReportLoad, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.policy.on_report(now, message.report);
        self.execute_actions();
    }
}

impl Handler<ReceiveDigest> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveDigest, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.policy.on_digest(now, message.digest);
        self.execute_actions();
    }
}

impl Handler<TickSched> for SchedActor {
    type Return = ();

    async fn handle(&mut self, _: TickSched, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.policy.on_tick(now);
        self.crashes.expire(now);
        self.execute_actions();
    }
}
