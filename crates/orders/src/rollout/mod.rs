//! Progress of rollouts: waves, failures and halts.

mod failure_count;
mod rollout_key;
mod rollout_state;
mod rollout_summary;
mod wave_gate;

pub use failure_count::FailureCount;
pub use rollout_key::RolloutKey;
pub use rollout_state::RolloutState;
pub use rollout_summary::RolloutSummary;
pub use wave_gate::WaveGate;
