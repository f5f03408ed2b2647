use std::sync::Arc;
use std::time::Instant;

use base::{ClockTime, ErrorKind, ModelName, RequestId, TargetName, TokenCount};
use sched::{
    DispatchOutcome, PeerDigest, RequestPriority, RoutePolicy, SchedAction, TargetInfo, WorkItem,
};

use super::call_state::{CallPlace, call_index};
use super::cost_book::{PROBE_BYTES, digest_bytes};
use super::event_queue::TrialEvent;
use super::trial_run::{NODE_DELAY, TrialRun};
use crate::CallOutcome;

/// Dispatches of one call, after which it is refused or fails.
const MOST_ATTEMPTS: u32 = 3;
/// Bounds of a workspace at a node, too large to matter for the baselines.
const WORKSPACE_LIMIT: u32 = 100_000;
/// Kind of a failure that no correct engine model produces.
const INCOMPLETE: &str = "incomplete_answer";
const MODEL: &str = "quill";

impl TrialRun<'_> {
    /// Calls a policy, measures the time it takes and carries out its actions.
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
        self.cost.add_call(start.elapsed(), submit);
        for action in actions.drain(..) {
            self.carry_out(node, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, node: usize, action: SchedAction) {
        let legal = match action {
            SchedAction::Dispatch {
                request,
                target,
                priority,
            } => self.dispatch(node, &request, &target, priority),
            SchedAction::Refuse { request, kind, .. } => self.refuse(node, &request, kind),
            SchedAction::SetPriority { request, priority } => {
                self.pass_priority(node, &request, priority)
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
        let (Some(call), Ok(engine)) = (self.find_waiting(node, request), engine) else {
            return false;
        };
        let state = &mut self.calls[call];
        if state.excluded.contains(target) {
            return false;
        }
        state.attempt += 1;
        state.place = CallPlace::Placed { engine };
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
        let Some(call) = self.find_waiting(node, request) else {
            return false;
        };
        self.end_call(call, &CallOutcome::Refused(kind.to_string().into()));
        true
    }

    fn pass_priority(
        &mut self,
        node: usize,
        request: &RequestId,
        priority: RequestPriority,
    ) -> bool {
        let Some(call) = call_index(request).filter(|call| *call < self.calls.len()) else {
            return false;
        };
        let state = &self.calls[call];
        // A request that just ended is a legal race.
        if let (CallPlace::Placed { engine }, true) = (state.place, state.node == node) {
            let event = TrialEvent::Prioritise {
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
        let domain = self.seats[node].domain.clone();
        for peer in 0..self.seats.len() {
            if peer == node || self.seats[peer].domain != domain {
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

    /// Hands a call to the policy of its node, for the first time or again.
    pub(super) fn submit_call(&mut self, call: usize) {
        self.calls[call].place = CallPlace::Waiting;
        let item = self.build_item(call);
        let node = self.calls[call].node;
        self.call_policy(node, true, |policy, now| policy.submit(now, item));
    }

    fn build_item(&self, call: usize) -> WorkItem {
        let state = &self.calls[call];
        let spec = &state.spec;
        // A short word of letters is always a valid name.
        let model: ModelName = MODEL.parse().expect("valid model name");
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

    /// Shows every node which targets are usable.
    pub(super) fn show_targets(&mut self) {
        let info = |cell: &super::engine_cell::EngineCell| TargetInfo {
            target: cell.target.clone(),
            domain: cell.domain.clone(),
            usable: cell.is_usable(),
            weight_bytes: base::ByteCount(0),
        };
        let targets: Vec<_> = self.engines.iter().map(info).collect();
        for node in 0..self.policies.len() {
            self.call_policy(node, false, |policy, now| policy.on_targets(now, &targets));
        }
    }

    /// Tells a policy that its call runs.
    pub(super) fn note_admitted(&mut self, call: usize, attempt: u32) {
        if !self.is_current(call, attempt) {
            return;
        }
        let (node, request) = self.name_call(call);
        self.call_policy(node, false, |policy, now| policy.on_admitted(now, &request));
    }

    /// Tells a policy how far its call is.
    pub(super) fn note_progress(&mut self, call: usize, attempt: u32, produced: u32) {
        if !self.is_current(call, attempt) {
            return;
        }
        let (node, request) = self.name_call(call);
        let produced = TokenCount(produced);
        self.call_policy(node, false, |policy, now| {
            policy.on_progress(now, &request, produced);
        });
    }

    /// Ends a complete call.
    pub(super) fn note_completed(&mut self, call: usize, attempt: u32) {
        if !self.is_current(call, attempt) {
            return;
        }
        let state = &self.calls[call];
        let outcome = match state.timeline.tokens() == state.spec.output_tokens {
            true => CallOutcome::Complete,
            false => CallOutcome::Failed(INCOMPLETE.into()),
        };
        self.end_call(call, &outcome);
        let (node, request) = self.name_call(call);
        let produced = TokenCount(self.calls[call].timeline.tokens());
        self.call_policy(node, false, |policy, now| {
            policy.on_progress(now, &request, produced);
            policy.on_finished(now, &request, DispatchOutcome::Complete);
        });
    }

    /// Tries a call again that its target did not admit, or refuses it.
    pub(super) fn note_not_admitted(&mut self, call: usize, attempt: u32) {
        if !self.is_current(call, attempt) {
            return;
        }
        self.finish_attempt(call, DispatchOutcome::NotAdmitted);
        if attempt < MOST_ATTEMPTS {
            self.submit_call(call);
            return;
        }
        let kind = ErrorKind::Overloaded.to_string();
        self.end_call(call, &CallOutcome::Refused(kind.into()));
    }

    /// Tries a call again whose target is lost before the first token, or ends it.
    pub(super) fn note_lost(&mut self, call: usize, attempt: u32) {
        if !self.is_current(call, attempt) {
            return;
        }
        self.finish_attempt(call, DispatchOutcome::Failed);
        if attempt < MOST_ATTEMPTS && self.calls[call].timeline.tokens() == 0 {
            self.submit_call(call);
            return;
        }
        self.end_lost(call);
    }

    fn finish_attempt(&mut self, call: usize, finish: DispatchOutcome) {
        let state = &mut self.calls[call];
        if let CallPlace::Placed { engine } = state.place {
            state.excluded.push(self.targets[engine].clone());
        }
        state.place = CallPlace::Waiting;
        let (node, request) = self.name_call(call);
        self.call_policy(node, false, |policy, now| {
            policy.on_finished(now, &request, finish);
        });
    }

    fn name_call(&self, call: usize) -> (usize, RequestId) {
        let state = &self.calls[call];
        (state.node, state.request.clone())
    }

    fn find_waiting(&self, node: usize, request: &RequestId) -> Option<usize> {
        let call = call_index(request)?;
        let state = self.calls.get(call)?;
        (state.node == node && state.place == CallPlace::Waiting).then_some(call)
    }
}
