//! Reconciliation of one target: its next step, its state between ticks, and the retry back-off.

mod block_reason;
mod needed_step;
mod next_step;
mod reconcile_state;
mod reconcile_timing;
mod repeat_table;

pub use block_reason::BlockReason;
pub use needed_step::{NeededStep, RequiredPermit};
pub(crate) use next_step::find_victim;
pub use next_step::{StepGates, next_step};
pub use reconcile_state::ReconcileState;
pub use reconcile_timing::ReconcileTiming;
