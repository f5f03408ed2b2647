//! Targets: what is known of each, its load and health, and the choice of one for a call.

mod board_changes;
mod board_words;
mod load_sum;
mod place_choice;
mod target_board;
mod target_health;
mod target_quiet;
mod target_record;
mod target_state;

pub use board_changes::{BoardChanges, EndedRun};
pub use load_sum::{LoadOrigin, LoadSum, PeerLoads, reading_time};
pub use place_choice::{MoveSource, PlaceChoice, PlaceNeed, PlaceReach};
pub use target_board::TargetBoard;
pub use target_health::{TargetHealth, TargetOutcome};
pub use target_quiet::TargetQuiet;
pub use target_record::TargetRecord;
pub use target_state::{TargetPhase, TargetState};
