use base::PartId;
use calls::RequestFingerprint;

use super::FeatureId;

/// The features of a call that can be blamed for the death of its target.
///
/// ```
/// use calls::RequestFingerprint;
/// use entry::{CallFeatures, FeatureId};
/// let part = "5c1e07a2".parse().unwrap();
/// let fingerprint = RequestFingerprint::new("/plans", b"{}");
/// let features = CallFeatures::new(fingerprint).with_parts(std::slice::from_ref(&part));
/// assert_eq!(features.parts(), [FeatureId::of_part(&part)]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallFeatures {
    request: RequestFingerprint,
    /// Sorted, without repetitions.
    parts: Vec<FeatureId>,
}

impl CallFeatures {
    /// Features of a call without prompt parts that others may share.
    pub fn new(request: RequestFingerprint) -> Self {
        Self {
            request,
            parts: Vec::new(),
        }
    }

    /// Adds the parts of the prompt that other calls may share.
    #[must_use]
    pub fn with_parts(mut self, parts: &[PartId]) -> Self {
        self.parts = parts.iter().map(FeatureId::of_part).collect();
        self.parts.sort();
        self.parts.dedup();
        self
    }

    /// Fingerprint of the whole request.
    pub fn request(&self) -> RequestFingerprint {
        self.request
    }

    /// The shared parts of the prompt.
    pub fn parts(&self) -> &[FeatureId] {
        &self.parts
    }

    /// The whole request and the shared parts.
    pub fn iter(&self) -> impl Iterator<Item = FeatureId> {
        std::iter::once(FeatureId::from(self.request)).chain(self.parts.iter().copied())
    }

    /// Whether the call has a feature.
    pub fn contains(&self, feature: FeatureId) -> bool {
        feature == self.request.into() || self.parts.binary_search(&feature).is_ok()
    }
}
