use base::TargetName;
use calls::RetryBudget;
use sched::DispatchOutcome;
use xtra::{Context, Handler};

use super::sched_actor::{SchedActor, WaitingCall};
use super::sched_message::{
    AdmitCall, FinishCall, NoteSent, NoteTargetFailure, PassTime, ProgressCall, SubmitCall,
    TakeCrash, TakeDigest, TakeReport, TakeTargets, WithdrawCall,
};
use crate::actor::CallPlacement;

impl Handler<SubmitCall> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: SubmitCall, _: &mut Context<Self>) {
        let SubmitCall {
            mut item,
            print,
            retry,
            reply,
        } = message;
        if let Some(refusal) = self.judge_crash(&mut item, print) {
            // A caller that went away needs no answer.
            let _ = reply.send(refusal);
            return;
        }
        if retry && !self.allows_retry(&item) {
            // A caller that went away needs no answer.
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
        self.exclude_broken(&mut item);
        let waiting = WaitingCall { print, reply };
        self.waiting.insert(item.request.clone(), waiting);
        self.policy.submit(now, item);
        self.carry_out();
    }
}

impl Handler<WithdrawCall> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: WithdrawCall, _: &mut Context<Self>) {
        let now = self.clock.now();
        if self.waiting.remove(&message.request).is_some() {
            self.policy.withdraw(now, &message.request);
        } else {
            self.end_call(&message.request, DispatchOutcome::Cancelled);
        }
        self.carry_out();
    }
}

impl Handler<NoteSent> for SchedActor {
    type Return = ();

    /// Only what was sent can have crashed a target.
    async fn handle(&mut self, message: NoteSent, _: &mut Context<Self>) {
        let now = self.clock.now();
        let Some(call) = self.running.get_mut(&message.request) else {
            return;
        };
        call.sent = true;
        let placed = self.crashes.on_placed(now, call.print, &call.target);
        self.tell_peers(placed);
    }
}

impl Handler<AdmitCall> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: AdmitCall, _: &mut Context<Self>) {
        let now = self.clock.now();
        if let Some(call) = self.running.get_mut(&message.request) {
            call.place = Some((message.address, message.generation));
            self.policy.on_admitted(now, &message.request);
        }
        self.carry_out();
    }
}

impl Handler<ProgressCall> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: ProgressCall, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.policy
            .on_progress(now, &message.request, message.produced);
        self.carry_out();
    }
}

impl Handler<FinishCall> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: FinishCall, _: &mut Context<Self>) {
        self.end_call(&message.request, message.state);
        self.carry_out();
    }
}

impl Handler<NoteTargetFailure> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: NoteTargetFailure, _: &mut Context<Self>) {
        self.fail_target(message.target, message.died);
    }
}

impl Handler<TakeCrash> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: TakeCrash, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.crashes.on_message(now, message.message);
    }
}

impl Handler<TakeTargets> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: TakeTargets, _: &mut Context<Self>) {
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
        self.carry_out();
    }
}

impl Handler<TakeReport> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: TakeReport, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.policy.on_report(now, message.report);
        self.carry_out();
    }
}

impl Handler<TakeDigest> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: TakeDigest, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.policy.on_digest(now, message.digest);
        self.carry_out();
    }
}

impl Handler<PassTime> for SchedActor {
    type Return = ();

    async fn handle(&mut self, _: PassTime, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.policy.on_tick(now);
        self.crashes.expire(now);
        self.carry_out();
    }
}
