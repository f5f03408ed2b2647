//! Memory for bodies of calls and responses that are held as a whole.

mod body_budget;

pub use body_budget::{BodyBudget, BodyLease};
