//! Decisions of an entry node that routes by host and path: routes, targets, admission, retries
//! and moves of running generations.
//!
//! Events and a time go in, decisions come out; nothing here does I/O.

mod config;
mod desk;
mod fact;
mod length;
mod line;
mod moves;
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
pub use length::OutputGuess;
pub use line::{LineCall, LinePace, LineTicket, WaitLine};
pub use moves::{CopyLocks, MovePhase, MovePlan, MoveStep, MoveTurn, MoveTurns, StreamFacts};
pub use retry::RetryShare;
pub use target::{
    BoardChanges, EndedRun, LoadOrigin, LoadSum, MoveSource, PeerLoads, PlaceChoice, PlaceNeed,
    PlaceReach, TargetBoard, TargetHealth, TargetOutcome, TargetPhase, TargetQuiet, TargetRecord,
    TargetState, reading_time,
};
pub use view::{ItemChange, ItemMirror, LapseGuard, PublishedItem};
