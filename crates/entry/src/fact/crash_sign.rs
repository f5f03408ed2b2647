use base::{IncarnationNumber, TargetName};
use calls::RequestFingerprint;
use serde::{Deserialize, Serialize};

/// A call was on a target when that died.
///
/// Calls that were there together have a sign each. Copies of one call there have one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashSign {
    /// The call.
    pub print: RequestFingerprint,
    /// The target.
    pub target: TargetName,
    /// Its run, as the node that sent the call knew it.
    pub incarnation: IncarnationNumber,
    /// Deaths of that run that the node knew of when it sent the call: a target that comes back
    /// unnoticed is another run.
    pub earlier: u16,
}
