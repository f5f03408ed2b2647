use base::TimeSpan;
use entry::FeatureId;
use serde::{Deserialize, Serialize};

/// Request of a node to run a call as the trial of a suspected prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// The part.
    pub part: FeatureId,
    /// How often the request was passed on.
    pub hops: u8,
}

/// Answer to a request for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialReply {
    /// The call may run.
    Granted,
    /// Another trial of the part runs; the node may ask again after this time.
    Wait(TimeSpan),
}
