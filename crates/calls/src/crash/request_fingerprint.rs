use std::fmt;

use serde::{Deserialize, Serialize};

/// Hash of the content that determines what a target does for a request, without key and priority.
///
/// ```
/// use calls::RequestFingerprint;
/// assert_eq!(RequestFingerprint::new("quill", b"{}"), RequestFingerprint::new("quill", b"{}"));
/// assert_ne!(RequestFingerprint::new("quill", b"{}"), RequestFingerprint::new("heath", b"{}"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; 16]);

impl RequestFingerprint {
    /// Hashes the body and its scope, which is the model or service (BLAKE3, 128 bits).
    pub fn new(scope: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(scope.len() as u64).to_le_bytes());
        hasher.update(scope.as_bytes());
        hasher.update(body);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }

    /// The hash.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
