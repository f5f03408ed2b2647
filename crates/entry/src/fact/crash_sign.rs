use base::{IncarnationNumber, TargetName};
use calls::RequestFingerprint;
use serde::{Deserialize, Serialize};

/// Record that a target died while a call ran on it, which makes the call a possible cause.
///
/// Each of several calls on the target gets its own sign. Identical calls share one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashSign {
    /// Fingerprint of the call.
    pub print: RequestFingerprint,
    /// The target.
    pub target: TargetName,
    /// Run of the target, as the node that sent the call knew it.
    pub incarnation: IncarnationNumber,
    /// Deaths of that run that the node knew of when it sent the call. A target may restart before
    /// nodes see its new incarnation; this tells the two deaths apart.
    pub earlier: u16,
}
