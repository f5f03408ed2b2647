//! What probes found at a target.

mod load_state;
mod loaded_version;
mod target_actual;

pub use load_state::LoadState;
pub use loaded_version::LoadedVersion;
pub use target_actual::TargetActual;
