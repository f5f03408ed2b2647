use std::sync::Arc;
use std::time::Instant;

use base::{ClockTime, ErrorKind, ModelName, RequestId, TargetName, TokenCount};
use sched::{
    DispatchOutcome, PeerDigest, RequestPriority, RoutePolicy, SchedAction, TargetInfo, WorkItem,
};

use super::call_state::{CallPhase, call_index};
use super::cost_recorder::{PROBE_BYTES, digest_bytes};
use super::event_queue::TrialEvent;
use super::trial_run::{NODE_DELAY, TrialRun};
use crate::CallOutcome;

/// Most dispatches of one call; if the last one fails too, the call is refused or fails.
const MAX_ATTEMPTS: u32 = 3;
/// Queue and stream limit of a workspace at a node, too large to affect the baselines.
const WORKSPACE_LIMIT: u32 = 100_000;
/// Error kind of an answer whose token count differs from the call's output length, which a
/// correct engine model never gives.
const INCOMPLETE_ANSWER: &str = "incomplete_answer";
const MODEL_NAME: &str = "quill";

impl TrialRun<'_> {
    /// Calls a policy, measures the elapsed time and applies the actions that it returns.
    pub(super) fn call_policy(
        &mut self,
        node: usize,
        submit: bool,
        event: impl FnOnce(&mut dyn RoutePolicy, ClockTime),
    ) {
        let now = self.clock();
        let mut actions = std::mem::take(&mut self.actions);
        let policy = &mut self.policies[node];
        let start = Instant::now();
        event(policy.as_mut(), now);
        policy.drain_actions(&mut actions);
        self.cost.record_policy_call(start.elapsed(), submit);
        for action in actions.drain(..) {
            self.apply_action(node, action);
        }
        self.actions = actions;
    }

    fn apply_action(&mut self, node: usize, action: SchedAction) {
        let legal = match action {
            SchedAction::Dispatch {
                request,
                target,
                priority,
            } => self.dispatch(node, &request, &target, priority),
            SchedAction::Refuse { request, kind, .. } => self.refuse(node, &request, kind),
            SchedAction::SetPriority { request, priority } => {
                self.forward_priority(node, &request, priority)
            }
            SchedAction::Publish(digest) => self.publish(node, &digest),
            SchedAction::Probe(target) => self.probe(node, &target),
        };
        if !legal {
            self.cost.illegal += 1;
        }
    }

    fn dispatch(
        &mut self,
        node: usize,
        request: &RequestId,
        target: &TargetName,
        priority: RequestPriority,
    ) -> bool {
        let engine = self.targets.binary_search(target);
        let (Some(call), Ok(engine)) = (self.find_queued(node, request), engine) else {
            return false;
        };
        let state = &mut self.calls[call];
        if state.excluded.contains(target) {
            return false;
        }
        state.attempt += 1;
        state.phase = CallPhase::Dispatched { engine };
        let attempt = state.attempt;
        self.cost.dispatches += 1;
        let event = TrialEvent::Submit {
            engine,
            call,
            attempt,
            priority,
        };
        self.queue.push(self.now + NODE_DELAY, event);
        true
    }

    fn refuse(&mut self, node: usize, request: &RequestId, kind: ErrorKind) -> bool {
        let Some(call) = self.find_queued(node, request) else {
            return false;
        };
        self.end_call(call, &CallOutcome::Refused(kind.to_string().into()));
        true
    }

    fn forward_priority(
        &mut self,
        node: usize,
        request: &RequestId,
        priority: RequestPriority,
    ) -> bool {
        let Some(call) = call_index(request).filter(|call| *call < self.calls.len()) else {
            return false;
        };
        let state = &self.calls[call];
        // The request may have ended just before; the action is still legal then.
        if let (CallPhase::Dispatched { engine }, true) = (state.phase, state.node == node) {
            let event = TrialEvent::SetPriority {
                engine,
                call,
                priority,
            };
            self.queue.push(self.now + NODE_DELAY, event);
        }
        state.node == node
    }

    fn publish(&mut self, node: usize, digest: &PeerDigest) -> bool {
        let bytes = digest_bytes(digest);
        let domain = self.node_contexts[node].domain.clone();
        for peer in 0..self.node_contexts.len() {
            if peer == node || self.node_contexts[peer].domain != domain {
                continue;
            }
            self.cost.digest_bytes += bytes;
            let (node, digest) = (peer, digest.clone());
            let at = self.now + NODE_DELAY;
            self.queue.push(at, TrialEvent::Digest { node, digest });
        }
        true
    }

    fn probe(&mut self, node: usize, target: &TargetName) -> bool {
        let Ok(engine) = self.targets.binary_search(target) else {
            return false;
        };
        self.cost.probe_bytes += PROBE_BYTES;
        let at = self.now + NODE_DELAY;
        self.queue.push(at, TrialEvent::Probe { node, engine });
        true
    }

    /// Submits a call to the policy of its node, on arrival or for a retry.
    pub(super) fn submit_call(&mut self, call: usize) {
        self.calls[call].phase = CallPhase::Queued;
        let item = self.build_work_item(call);
        let node = self.calls[call].node;
        self.call_policy(node, true, |policy, now| policy.submit(now, item));
    }

    fn build_work_item(&self, call: usize) -> WorkItem {
        let state = &self.calls[call];
        let spec = &state.spec;
        // A short word of letters is always a valid name.
        let model: ModelName = MODEL_NAME.parse().expect("valid model name");
        WorkItem {
            request: state.request.clone(),
            workspace: spec.workspace.clone(),
            weight: 1,
            queue_limit: WORKSPACE_LIMIT,
            stream_limit: WORKSPACE_LIMIT,
            model: Some(model),
            kind: spec.kind,
            prompt_tokens: TokenCount(spec.prompt_tokens),
            max_tokens: spec.max_tokens.map(TokenCount),
            prefix: spec.prefix,
            candidates: Arc::clone(&self.targets),
            excluded: state.excluded.clone(),
            arrival: self.clock(),
            deadline: None,
        }
    }

    /// Passes the list of targets and whether each is usable to the policy of every node.
    pub(super) fn update_targets(&mut self) {
        let info = |slot: &super::engine_slot::EngineSlot| TargetInfo {
            target: slot.target.clone(),
            domain: slot.domain.clone(),
            usable: slot.is_usable(),
            weight_bytes: base::ByteCount(0),
        };
        let targets: Vec<_> = self.engines.iter().map(info).collect();
        for node in 0..self.policies.len() {
            self.call_policy(node, false, |policy, now| policy.on_targets(now, &targets));
        }
    }

    /// Tells the policy that its call was admitted by the engine.
    pub(super) fn handle_admitted(&mut self, call: usize, attempt: u32) {
        if !self.is_latest_attempt(call, attempt) {
            return;
        }
        let (node, request) = self.node_and_request(call);
        self.call_policy(node, false, |policy, now| policy.on_admitted(now, &request));
    }

    /// Tells the policy how many tokens its call has produced.
    pub(super) fn handle_progress(&mut self, call: usize, attempt: u32, produced: u32) {
        if !self.is_latest_attempt(call, attempt) {
            return;
        }
        let (node, request) = self.node_and_request(call);
        let produced = TokenCount(produced);
        self.call_policy(node, false, |policy, now| {
            policy.on_progress(now, &request, produced);
        });
    }

    /// Ends a call whose last token was sent and tells the policy.
    pub(super) fn handle_completed(&mut self, call: usize, attempt: u32) {
        if !self.is_latest_attempt(call, attempt) {
            return;
        }
        let state = &self.calls[call];
        let outcome = match state.timeline.tokens() == state.spec.output_tokens {
            true => CallOutcome::Complete,
            false => CallOutcome::Failed(INCOMPLETE_ANSWER.into()),
        };
        self.end_call(call, &outcome);
        let (node, request) = self.node_and_request(call);
        let produced = TokenCount(self.calls[call].timeline.tokens());
        self.call_policy(node, false, |policy, now| {
            policy.on_progress(now, &request, produced);
            policy.on_finished(now, &request, DispatchOutcome::Complete);
        });
    }

    /// Retries a call that its target did not admit, or refuses it after the last attempt.
    pub(super) fn handle_not_admitted(&mut self, call: usize, attempt: u32) {
        if !self.is_latest_attempt(call, attempt) {
            return;
        }
        self.finish_attempt(call, DispatchOutcome::NotAdmitted);
        if attempt < MAX_ATTEMPTS {
            self.submit_call(call);
            return;
        }
        let kind = ErrorKind::Overloaded.to_string();
        self.end_call(call, &CallOutcome::Refused(kind.into()));
    }

    /// Retries a lost call if its caller has no token yet and attempts are left; otherwise
    /// fails it.
    pub(super) fn handle_lost(&mut self, call: usize, attempt: u32) {
        if !self.is_latest_attempt(call, attempt) {
            return;
        }
        self.finish_attempt(call, DispatchOutcome::Failed);
        if attempt < MAX_ATTEMPTS && self.calls[call].timeline.tokens() == 0 {
            self.submit_call(call);
            return;
        }
        self.fail_lost_call(call);
    }

    /// Excludes the target of a failed attempt and tells the policy that the attempt ended.
    fn finish_attempt(&mut self, call: usize, outcome: DispatchOutcome) {
        let state = &mut self.calls[call];
        if let CallPhase::Dispatched { engine } = state.phase {
            state.excluded.push(self.targets[engine].clone());
        }
        state.phase = CallPhase::Queued;
        let (node, request) = self.node_and_request(call);
        self.call_policy(node, false, |policy, now| {
            policy.on_finished(now, &request, outcome);
        });
    }

    fn node_and_request(&self, call: usize) -> (usize, RequestId) {
        let state = &self.calls[call];
        (state.node, state.request.clone())
    }

    fn find_queued(&self, node: usize, request: &RequestId) -> Option<usize> {
        let call = call_index(request)?;
        let state = self.calls.get(call)?;
        (state.node == node && state.phase == CallPhase::Queued).then_some(call)
    }
}
