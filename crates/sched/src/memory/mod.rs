//! Prediction of the memory use of targets.

mod growth_curve;
mod growth_estimate;
mod memory_view;
mod view_history;

pub use growth_curve::{GROWTH_STEPS, GrowthCurve};
pub use growth_estimate::GrowthEstimate;
pub use memory_view::MemoryView;
pub use view_history::ViewHistory;
