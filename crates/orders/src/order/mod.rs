//! Orders to targets and their fencing numbers.

mod fencing_clock;
mod fencing_number;
mod order_action;
mod order_outcome;
mod target_order;

pub use fencing_clock::FencingClock;
pub use fencing_number::FencingNumber;
pub use order_action::OrderAction;
pub use order_outcome::OrderOutcome;
pub use target_order::TargetOrder;
