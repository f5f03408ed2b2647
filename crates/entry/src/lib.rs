//! Decisions of an entry node that routes by host and path: routes, targets, admission, retries
//! and moves of running generations.
//!
//! Events and a time go in, decisions come out; nothing here does I/O.

mod config;
mod desk;
mod fact;
mod length;
mod moves;
mod queue;
mod retry;
mod target;
mod view;

pub use config::{
    ConfigVersion, EngineSpec, KeyDenial, RepeatRule, RequestLimits, RouteRule, ServeConfig,
    ServiceSpec, ServiceWeight, WorkspaceRule,
};
pub use desk::{DeskCandidate, GrantId, GrantLedger, RoomGrant, rank_desks};
pub use fact::{
    AttemptLog, CrashSign, FactBook, LeaveWord, NodeFact, OpenAttempt, SuspectPlace, SuspectPlaces,
};
pub use length::OutputEstimate;
pub use moves::{CopyLocks, MovePhase, MovePlan, MoveStep, MoveTurn, MoveTurns, StreamFacts};
pub use queue::{CallQueue, PlacementPacer, QueueTicket, QueuedCall};
pub use retry::RetryShare;
pub use target::{
    EndedRun, LoadBalancer, LoadOrigin, MoveSource, PeerLoads, PlacementDecision, PlacementRequest,
    PlacementScope, TargetBackoff, TargetChanges, TargetHealth, TargetLoad, TargetOutcome,
    TargetPhase, TargetRecord, TargetState, prefill_time,
};
pub use view::{ItemChange, ItemMirror, LapseGuard, PublishedItem};
