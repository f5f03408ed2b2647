//! Labels and selectors in the syntax of Kubernetes.

mod label_selector;
mod label_set;

pub use label_selector::{LabelSelector, SelectorTerm};
pub use label_set::LabelSet;
