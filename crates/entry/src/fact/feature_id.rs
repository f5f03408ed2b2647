use std::fmt;

use base::PartId;
use calls::RequestFingerprint;
use serde::{Deserialize, Serialize};

/// Scope of the hashes of prompt parts.
const PART_SCOPE: &str = "prompt part";
/// Scope of the hashes under which failed trials are recorded.
const TRIAL_SCOPE: &str = "failed trial";

/// Identifies a feature by which a call may crash its target and that other calls can share: the
/// whole request, or a part of its prompt.
///
/// ```
/// use calls::RequestFingerprint;
/// use entry::FeatureId;
/// let request = FeatureId::from(RequestFingerprint::new("/plans", b"{}"));
/// let part = FeatureId::of_part(&"5c1e07a2".parse().unwrap());
/// assert_ne!(request, part);
/// assert_eq!(part, FeatureId::of_part(&"5c1e07a2".parse().unwrap()));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FeatureId(RequestFingerprint);

impl FeatureId {
    /// Identifier of a part of a prompt.
    pub fn of_part(part: &PartId) -> Self {
        Self(RequestFingerprint::new(
            PART_SCOPE,
            part.as_str().as_bytes(),
        ))
    }

    /// Identifier under which the failed trials of this feature are recorded.
    pub fn failed_trial(self) -> Self {
        Self(RequestFingerprint::new(TRIAL_SCOPE, self.0.as_bytes()))
    }
}

impl From<RequestFingerprint> for FeatureId {
    fn from(fingerprint: RequestFingerprint) -> Self {
        Self(fingerprint)
    }
}

impl fmt::Debug for FeatureId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for FeatureId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}
