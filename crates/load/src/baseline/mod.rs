//! Simple routing policies with which other policies are compared.

mod baseline_policy;

pub use baseline_policy::{BaselinePolicy, SelectionRule};
