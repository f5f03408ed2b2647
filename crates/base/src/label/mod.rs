//! Labels, and label selectors in Kubernetes syntax.

mod label_selector;
mod label_set;

pub use label_selector::{LabelSelector, SelectorTerm};
pub use label_set::LabelSet;
