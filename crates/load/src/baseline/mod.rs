//! The policies that every other one is compared with.

mod baseline_policy;

pub use baseline_policy::{BaselinePolicy, ChoiceRule};
