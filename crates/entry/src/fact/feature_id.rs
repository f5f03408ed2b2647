use std::fmt;

use base::PartId;
use calls::RequestFingerprint;
use serde::{Deserialize, Serialize};

/// Scope of the hashes of prompt parts.
const PART_SCOPE: &str = "prompt part";
/// Scope of the hashes under which failed trials are recorded.
const TRIAL_SCOPE: &str = "failed trial";
/// First bytes of the hashes of failed trials, by which they are told from those of calls.
const TRIAL_PREFIX: [u8; 4] = [0xfa, 0x11, 0xed, 0x7a];

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
/// assert!(part.failed_trial().is_failed_trial());
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FeatureId([u8; 16]);

impl FeatureId {
    /// Identifier of a part of a prompt.
    pub fn of_part(part: &PartId) -> Self {
        RequestFingerprint::new(PART_SCOPE, part.as_str().as_bytes()).into()
    }

    /// Identifier under which the failed trials of this feature are recorded.
    #[must_use]
    pub fn failed_trial(self) -> Self {
        let mut id = Self::from(RequestFingerprint::new(TRIAL_SCOPE, &self.0));
        id.0[..TRIAL_PREFIX.len()].copy_from_slice(&TRIAL_PREFIX);
        id
    }

    /// Whether failed trials are recorded under this identifier.
    pub fn is_failed_trial(self) -> bool {
        self.0.starts_with(&TRIAL_PREFIX)
    }
}

impl From<RequestFingerprint> for FeatureId {
    fn from(fingerprint: RequestFingerprint) -> Self {
        Self(fingerprint.to_bytes())
    }
}

impl fmt::Debug for FeatureId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for FeatureId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
