use std::fmt;

use serde::{Deserialize, Serialize};

/// Hash of a whole request (BLAKE3, 128 bits), by which a resend is told from another request that
/// carries the same ticket or key.
///
/// ```
/// use calls::RequestHash;
/// let hash = RequestHash::new("POST", "/v1/completions", b"{}");
/// assert_ne!(hash, RequestHash::new("POST", "/v1/completions", b"{ }"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestHash([u8; 16]);

impl RequestHash {
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

impl fmt::Debug for RequestHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
