//! Prediction of the memory that a target will need.

mod growth_curve;
mod growth_outlook;
mod memory_view;
mod view_history;

pub use growth_curve::{GROWTH_STEPS, GrowthCurve};
pub use growth_outlook::GrowthOutlook;
pub use memory_view::MemoryView;
pub use view_history::ViewHistory;
