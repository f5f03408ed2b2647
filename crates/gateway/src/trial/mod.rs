//! Trials of prompt parts that are suspected of crashing targets: one call at a time in the fleet
//! runs with such a part, until an answer clears the part or a crash confirms the suspicion.

mod call_trial;
mod trial_client;
mod trial_message;

pub use call_trial::CallTrial;
pub use trial_client::grant_trial;
pub use trial_message::{TrialReply, TrialRequest};
