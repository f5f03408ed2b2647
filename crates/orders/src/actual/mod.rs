//! Actual state of a target as found by probes.

mod actual_state;
mod load_state;
mod loaded_version;

pub use actual_state::ActualState;
pub use load_state::LoadState;
pub use loaded_version::LoadedVersion;
