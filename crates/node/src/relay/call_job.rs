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

/// What every relay of a node shares.
pub struct RelayParts {
    /// Clock of the process.
    pub clock: SystemClock,
    /// Events of the process.
    pub journal: EventJournal,
    /// Client of the engines.
    pub engine: Arc<dyn EngineClient>,
    /// The scheduling actor.
    pub sched: SchedHandle,
    /// The fleet as the node knows it.
    pub view: ViewCell,
    /// Tells whether the process was paused.
    pub pause: PauseDetector,
    /// Figures for operators.
    pub metrics: CallMetrics,
    /// Secret of resume tokens.
    pub resume: ResumeKey,
}

impl RelayParts {
    /// Tells whether a call may be sent to a target chosen before, as it may leave meanwhile.
    pub fn may_send(&self, target: &TargetName) -> bool {
        let view = self.view.get();
        let state = view.target(target);
        !self.pause.was_paused() && state.is_some_and(|state| state.phase == TargetPhase::Up)
    }

    /// Tells whether a target is about to be taken away.
    pub fn is_leaving(&self, target: &TargetName) -> bool {
        let view = self.view.get();
        let state = view.target(target);
        state.is_some_and(|state| state.phase == TargetPhase::Leaving)
    }
}

/// One generation to be relayed.
pub struct CallJob {
    /// Rules of its attempts.
    pub plan: CallPlan,
    /// What the routing policy needs to know.
    pub item: WorkItem,
    /// Model as the caller named it.
    pub spec: ModelSpec,
    /// Engines and versions that the selectors allow.
    pub route: Arc<RouteCandidates>,
    /// Path under `/v1/`.
    pub path: &'static str,
    /// Body of the caller.
    pub body: Map<String, Value>,
    /// Fingerprint against requests that crash their targets.
    pub print: RequestFingerprint,
}

impl CallJob {
    /// Tells whether the caller gets server-sent events.
    pub fn is_streamed(&self) -> bool {
        self.plan.mode == AnswerMode::Streamed
    }
}
