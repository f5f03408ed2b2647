//! Speed of each engine, learned from the gaps between the events of the streams that it generates.

mod domain_pace;
mod engine_pace;
mod gap_collector;
mod gap_meter;
mod pace_need;
mod pace_sample;
mod pace_table;
mod pace_turns;
mod target_pace;

pub use domain_pace::DomainPace;
pub use engine_pace::EnginePace;
pub use gap_collector::{GapCollector, SampleBudget};
pub use gap_meter::GapMeter;
pub use pace_need::PaceNeed;
pub use pace_sample::{PaceReport, PaceSample};
pub use pace_table::PaceTable;
pub use pace_turns::PaceTurns;
pub use target_pace::TargetPace;
