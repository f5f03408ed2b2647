use subtle::ConstantTimeEq;

/// Context of the key derivation, so that the key differs from other keys of the same secret.
const MAC_CONTEXT: &str = "agatemoor peer message 1";

/// Key that authenticates requests between nodes with a MAC (keyed BLAKE3).
///
/// ```
/// let key = node::PeerKey::new("a secret of the fleet");
/// let mac = key.sign("/peer/tell", b"body");
/// assert!(key.verify("/peer/tell", b"body", &mac));
/// assert!(!key.verify("/peer/ask", b"body", &mac));
/// ```
#[derive(Clone)]
pub struct PeerKey {
    key: [u8; 32],
}

impl PeerKey {
    /// Derives the key from the secret that all nodes share.
    pub fn new(secret: &str) -> Self {
        Self {
            key: blake3::derive_key(MAC_CONTEXT, secret.as_bytes()),
        }
    }

    /// Returns the MAC of a request to `path` with `body`, in hexadecimal.
    pub fn sign(&self, path: &str, body: &[u8]) -> String {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&(path.len() as u64).to_le_bytes());
        hasher.update(path.as_bytes());
        hasher.update(body);
        hasher.finalize().to_hex().to_string()
    }

    /// Checks in constant time that `mac` is the MAC of a request to `path` with `body`.
    pub fn verify(&self, path: &str, body: &[u8], mac: &str) -> bool {
        self.sign(path, body)
            .as_bytes()
            .ct_eq(mac.as_bytes())
            .into()
    }
}
