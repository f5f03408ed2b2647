//! Decisions of a gateway that routes requests by host and path: routes, targets, admission,
//! retries and moves of running generations to other engines.
//!
//! Callers pass in events and the time and get decisions back; nothing here does I/O.

mod body;
mod config;
mod coordinator;
mod fact;
mod length;
mod moves;
mod pace;
mod path;
mod queue;
mod rate;
mod retry;
mod target;
mod view;

pub use body::{BodyBudget, BodyLease};
pub use config::{
    ConfigLag, ConfigOmission, ConfigVersion, EngineSpec, KeyDenial, RepeatPolicy, RequestLimits,
    RouteRule, ServeConfig, ServiceSpec, ServiceWeight, WorkspaceIdentity, WorkspaceRule,
};
pub use coordinator::{
    CapacityGrant, CoordinatorCandidate, GrantId, GrantTracker, rank_coordinators,
};
pub use fact::{
    ANSWER_PROOF_TIME, AttemptId, AttemptTracker, CallFeatures, CallVerdict, CrashSign,
    DeathEvidence, FactState, FeatureId, LeaveNotice, NamedRate, OpenAttempt, ProvenParts, RunEnd,
    SuspectCall, SuspectTracker, TargetFact, TrialLedger,
};
pub use length::OutputEstimate;
pub use moves::{
    CopyLocks, FullTargets, MoveMachine, MovePhase, MovePlan, MovePlanner, MoveScheduler, MoveStep,
    MoveTicket, MoveTurn, MoveWorth, NoticeEstimate, StreamProgress,
};
pub use pace::{
    DomainPace, EnginePace, GapCollector, GapMeter, PaceNeed, PaceReport, PaceSample, PaceTable,
    PaceTurns, SampleBudget, TargetPace,
};
pub use path::{PathChange, PathTable, ServicePath};
pub use queue::{
    CallQueue, CallsAhead, EventRate, PlacementPacer, PlacementRate, QueueLane, QueueStatus,
    QueueTicket, QueuedCall, ShareSlot, WaitEstimate, WaitEstimator, WaitRefusal, WorkspaceShares,
};
pub use rate::{
    DomainPeak, FleetReach, PermitOutcome, RateBucket, RateGrant, RateLedger, RateRecord,
    ReturnSchedule, SendPermit, TargetRate,
};
pub use retry::RetryShare;
pub use target::{
    BackoffMemory, EndedRun, LoadBalancer, LoadOrigin, MoveSource, PeerLoads, PlacementDecision,
    PlacementRequest, PlacementScope, RefusalLimit, RefusalReport, RefusalState, TargetBackoff,
    TargetChanges, TargetHealth, TargetLoad, TargetOutcome, TargetPhase, TargetRecord, TargetState,
    prefill_time,
};
pub use view::{
    AnswerReport, AnswerSpan, EvacuationChange, EvacuationLedger, EvacuationRecord, HistoryRules,
    ItemChange, ItemMirror, KEEP_TIME, KeptItem, LeaseGuard, PublishedItem, RemovalLog, StoreEra,
    StorePosition, latest_gap,
};
