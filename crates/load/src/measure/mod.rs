//! The measures of section 1.2 of the design, collected as callers see them.

mod call_timeline;
mod measure_book;
mod measure_summary;

pub use call_timeline::{CallOutcome, CallTimeline, FIRST_TOKEN_LIMIT, GAP_LIMIT};
pub use measure_book::{MeasureBook, WorkTally};
pub use measure_summary::{ClassSummary, CostSummary, MeasureSummary};
