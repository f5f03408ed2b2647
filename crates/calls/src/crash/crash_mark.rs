use base::{IncarnationNumber, TargetName};
use serde::{Deserialize, Serialize};

use crate::RequestFingerprint;

/// The end of one run of a target process, by a crash or a kill.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetDeath {
    /// The target.
    pub target: TargetName,
    /// Incarnation of the run that died.
    pub incarnation: IncarnationNumber,
}

/// Records that a request was running on a target when the target died.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashMark {
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: RequestFingerprint,
    /// Death of the target.
    pub death: TargetDeath,
}

/// Message between the nodes of a domain about marked requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMessage {
    /// A request was running on a target that died.
    Marked(CrashMark),
    /// A marked request completed, so it did not cause these deaths.
    Cleared {
        /// Fingerprint of the request.
        #[serde(rename = "print")]
        fingerprint: RequestFingerprint,
        /// Deaths for which the request was marked.
        deaths: Vec<TargetDeath>,
    },
    /// A marked request was sent to a target.
    Placed {
        /// Fingerprint of the request.
        #[serde(rename = "print")]
        fingerprint: RequestFingerprint,
        /// The target.
        target: TargetName,
    },
    /// A marked request no longer runs on a target.
    Left {
        /// Fingerprint of the request.
        #[serde(rename = "print")]
        fingerprint: RequestFingerprint,
        /// The target.
        target: TargetName,
    },
}
