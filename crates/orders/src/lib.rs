//! Reconciliation of targets with the declared state: orders with fencing numbers, rollouts in
//! waves, permits for loads and unloads, and the convergence report.
//!
//! Decision logic without I/O: [`DomainReconciler`] takes events and the current time and returns
//! actions.

mod actual;
mod domain;
mod order;
mod permit;
mod plan;
mod reconcile;
mod report;
mod rollout;

pub use actual::{ActualState, LoadState, LoadedVersion};
pub use domain::{
    DomainReconciler, DomainView, GuardSwitches, MembershipView, MessageBody, OrderMessage,
    ReconcilerAction, ReconcilerSettings,
};
pub use order::{FencingClock, FencingNumber, OrderAction, OrderOutcome, TargetOrder};
pub use permit::{
    HeldPermit, PermitGrant, PermitHolder, PermitLedger, PermitRequest, PermitResponse,
    WantedPermit, permit_coordinator,
};
pub use plan::{DomainPlan, RolloutPlan, TargetPlan, WantedVersion};
pub use reconcile::{
    BlockReason, NeededStep, ReconcileState, ReconcileTiming, RequiredPermit, StepGates, next_step,
};
pub use report::{ConvergenceReport, RolloutRow, TargetRow};
pub use rollout::{FailureSummary, RolloutFailures, RolloutKey, RolloutState, WaveGate};
