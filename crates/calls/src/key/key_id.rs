use std::fmt;

use base::WorkspaceName;
use serde::{Deserialize, Serialize};

/// Identifies an idempotency key by a hash of its workspace and the key's text.
///
/// ```
/// use calls::KeyId;
/// let key = KeyId::new(&"tarn".parse().unwrap(), "order-17");
/// assert_ne!(key, KeyId::new(&"moor".parse().unwrap(), "order-17"));
/// assert_eq!(key.to_string().len(), 32);
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyId([u8; 16]);

impl KeyId {
    /// Hashes `workspace` and `key` (BLAKE3, 128 bits).
    pub fn new(workspace: &WorkspaceName, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        let name = workspace.as_str();
        hasher.update(&(name.len() as u64).to_le_bytes());
        hasher.update(name.as_bytes());
        hasher.update(key.as_bytes());
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }
}

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
