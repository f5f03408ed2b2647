//! Reconciliation of targets with the declared state: orders with fencing numbers, rollouts in
//! waves, shares of the weight store and the convergence report.
//!
//! Decision logic without I/O: [`OrderBoard`] takes events and a time and returns actions.

mod actual;
mod board;
mod order;
mod plan;
mod reconcile;
mod report;
mod rollout;
mod slot;

pub use actual::{LoadState, LoadedVersion, TargetActual};
pub use board::{
    BoardAction, BoardSettings, BoardView, DomainView, GuardSwitches, MessageBody, OrderBoard,
    OrderMessage,
};
pub use order::{FencingClock, FencingNumber, OrderAction, OrderOutcome, TargetOrder};
pub use plan::{DomainPlan, RolloutPlan, TargetPlan, WantedVersion};
pub use reconcile::{
    BlockReason, GateReader, LoopTiming, NeededStep, OrderLoop, StepNeed, next_step,
};
pub use report::{ConvergenceReport, RolloutRow, TargetRow};
pub use rollout::{FailureCount, RolloutKey, RolloutState, RolloutSummary, WaveGate};
pub use slot::{
    HeldSlot, SlotAnswer, SlotAsk, SlotGrant, SlotHolder, SlotLedger, SlotWant, loader_of,
};
