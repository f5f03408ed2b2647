//! Progress of rollouts: waves, failures and halting.

mod failure_summary;
mod rollout_failures;
mod rollout_key;
mod rollout_state;
mod wave_gate;

pub use failure_summary::FailureSummary;
pub use rollout_failures::RolloutFailures;
pub use rollout_key::RolloutKey;
pub use rollout_state::RolloutState;
pub use wave_gate::WaveGate;
