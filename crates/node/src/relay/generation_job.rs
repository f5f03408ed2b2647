use std::sync::Arc;

use base::TargetName;
use calls::{AnswerMode, CallPlan, RequestFingerprint};
use sched::WorkItem;
use serde_json::{Map, Value};

use super::ResumeKey;
use crate::{
    CallMetrics, EngineClient, EventJournal, ModelSpec, PauseDetector, RouteCandidates,
    SchedHandle, SystemClock, TargetPhase, ViewCell,
};

/// Services and state that all relays of a node share.
pub struct RelayContext {
    /// Clock of the process.
    pub clock: SystemClock,
    /// Event journal of the process.
    pub journal: EventJournal,
    /// Client of the engines.
    pub engine: Arc<dyn EngineClient>,
    /// Handle of the scheduling actor, which chooses targets.
    pub sched: SchedHandle,
    /// The node's current view of the fleet.
    pub view: ViewCell,
    /// Detects that the process was paused.
    pub pause: PauseDetector,
    /// Metrics of calls.
    pub metrics: CallMetrics,
    /// Key that authenticates resume tokens.
    pub resume: ResumeKey,
}

impl RelayContext {
    /// Tells whether a call may be sent to a target that was chosen earlier: the target may have
    /// left since, or this process may have been paused.
    pub fn may_send(&self, target: &TargetName) -> bool {
        let view = self.view.get();
        let state = view.target(target);
        !self.pause.was_paused() && state.is_some_and(|state| state.phase == TargetPhase::Up)
    }

    /// Tells whether a target is leaving, such as one on a VM that is being reclaimed.
    pub fn is_leaving(&self, target: &TargetName) -> bool {
        let view = self.view.get();
        let state = view.target(target);
        state.is_some_and(|state| state.phase == TargetPhase::Leaving)
    }
}

/// Everything needed to relay one generation.
pub struct GenerationJob {
    /// Properties and limits of the attempts.
    pub plan: CallPlan,
    /// The call as the routing policy sees it.
    pub item: WorkItem,
    /// Model as the caller named it.
    pub spec: ModelSpec,
    /// Engines and model versions that the declared routes allow.
    pub route: Arc<RouteCandidates>,
    /// Path under `/v1/`.
    pub path: &'static str,
    /// Body of the caller's request.
    pub body: Map<String, Value>,
    /// Fingerprint that recognises requests that crash their targets.
    pub fingerprint: RequestFingerprint,
}

impl GenerationJob {
    /// Tells whether the caller gets server-sent events.
    pub fn is_streamed(&self) -> bool {
        self.plan.mode == AnswerMode::Streamed
    }
}
