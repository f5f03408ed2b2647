//! Decisions of a gateway that routes requests by host and path: routes, targets, admission,
//! retries and moves of running generations to other engines.
//!
//! Callers pass in events and the time and get decisions back; nothing here does I/O.

mod config;
mod coordinator;
mod fact;
mod length;
mod line;
mod moves;
mod retry;
mod target;
mod view;

pub use config::{
    ConfigVersion, EngineSpec, KeyDenial, RepeatPolicy, RequestLimits, RouteRule, ServeConfig,
    ServiceSpec, ServiceWeight, WorkspaceRule,
};
pub use coordinator::{
    CapacityGrant, CoordinatorCandidate, GrantId, GrantTracker, rank_coordinators,
};
pub use fact::{
    AttemptTracker, CrashSign, FactState, LeaveNotice, OpenAttempt, SuspectCall, SuspectTracker,
    TargetFact,
};
pub use length::OutputGuess;
pub use line::{LineCall, LinePace, LineTicket, WaitLine};
pub use moves::{
    CopyLocks, MoveMachine, MovePhase, MoveScheduler, MoveStep, MoveTurn, StreamProgress,
};
pub use retry::RetryShare;
pub use target::{
    BoardChanges, EndedRun, LoadOrigin, LoadSum, MoveSource, PeerLoads, PlaceChoice, PlaceNeed,
    PlaceReach, TargetBoard, TargetHealth, TargetOutcome, TargetPhase, TargetQuiet, TargetRecord,
    TargetState, reading_time,
};
pub use view::{ItemChange, ItemMirror, LeaseGuard, PublishedItem};
