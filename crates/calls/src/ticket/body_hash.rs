use std::fmt;

use serde::{Deserialize, Serialize};

/// Digest of a request (BLAKE3, 128 bits), which tells a resend from another request.
///
/// ```
/// use calls::BodyHash;
/// let hash = BodyHash::new("POST", "/v1/completions", b"{}");
/// assert_ne!(hash, BodyHash::new("POST", "/v1/completions", b"{ }"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BodyHash([u8; 16]);

impl BodyHash {
    /// Hashes the method, the path with its query and the body.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }
}

impl fmt::Debug for BodyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
