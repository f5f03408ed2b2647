use std::fmt;

use serde::{Deserialize, Serialize};

/// Fingerprint of what a request makes a target do: its content, without key and priority.
///
/// ```
/// use calls::CrashPrint;
/// assert_eq!(CrashPrint::new("quill", b"{}"), CrashPrint::new("quill", b"{}"));
/// assert_ne!(CrashPrint::new("quill", b"{}"), CrashPrint::new("heath", b"{}"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashPrint([u8; 16]);

impl CrashPrint {
    /// Hashes the model or service and the body (BLAKE3, 128 bits).
    pub fn new(scope: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(scope.len() as u64).to_le_bytes());
        hasher.update(scope.as_bytes());
        hasher.update(body);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }
}

impl fmt::Debug for CrashPrint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for CrashPrint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
