use std::fmt;

use base::WorkspaceName;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::ProcessId;

/// Length of the truncated MAC in bytes; RFC 2104 allows no less than half of the hash.
pub(super) const MAC_BYTES: usize = 16;
/// Prefix of the authenticated data, so that a MAC made with the same secret for another purpose is
/// never valid for a ticket.
const MAC_CONTEXT: &[u8] = b"agatemoor ticket 1";

/// Symmetric key that signs tickets with HMAC-SHA256, truncated to 128 bits.
///
/// ```
/// let key = calls::SigningKey::new(b"a secret of the fleet");
/// assert_eq!(format!("{key:?}"), "SigningKey(..)");
/// ```
#[derive(Clone)]
pub struct SigningKey {
    state: Hmac<Sha256>,
}

impl SigningKey {
    /// Creates a key from the secret that all nodes share.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes secrets of any length.
    pub fn new(secret: &[u8]) -> Self {
        let mut state =
            <Hmac<Sha256> as Mac>::new_from_slice(secret).expect("HMAC takes any length");
        state.update(MAC_CONTEXT);
        Self { state }
    }

    /// Computes the MAC of a ticket; it covers the workspace, so that no other one can use the
    /// ticket.
    pub(super) fn sign(
        &self,
        workspace: &WorkspaceName,
        owner: &ProcessId,
        sequence: u64,
        expiry: u64,
    ) -> [u8; MAC_BYTES] {
        let mut state = self.state.clone();
        for text in [workspace.as_str(), owner.node.as_str()] {
            state.update(&(text.len() as u64).to_le_bytes());
            state.update(text.as_bytes());
        }
        for number in [owner.incarnation.0, sequence, expiry] {
            state.update(&number.to_le_bytes());
        }
        let full = state.finalize().into_bytes();
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&full[..MAC_BYTES]);
        mac
    }

    /// Compares two MACs in constant time.
    pub(super) fn macs_equal(left: &[u8; MAC_BYTES], right: &[u8; MAC_BYTES]) -> bool {
        left.ct_eq(right).into()
    }
}

impl fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SigningKey(..)")
    }
}
