use std::fmt;

use base::{GenerationId, TargetName, WorkspaceName};
use subtle::ConstantTimeEq;

/// Length of the truncated MAC in bytes.
const MAC_BYTES: usize = 16;
/// Key derivation context, which separates these MACs from other uses of the same secret.
const MAC_CONTEXT: &str = "agatemoor resume token 1";

/// Key of the MAC of resume tokens: keyed BLAKE3, truncated to 128 bits.
#[derive(Clone)]
pub struct ResumeKey {
    key: [u8; 32],
}

impl ResumeKey {
    /// Derives the key from the secret that all nodes share.
    ///
    /// ```
    /// let _key = node::ResumeKey::new("a secret of the fleet");
    /// ```
    pub fn new(secret: &str) -> Self {
        Self {
            key: blake3::derive_key(MAC_CONTEXT, secret.as_bytes()),
        }
    }

    fn sign(
        &self,
        workspace: &WorkspaceName,
        target: &TargetName,
        generation: &GenerationId,
    ) -> String {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        for text in [workspace.as_str(), target.as_str(), generation.as_str()] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        let hex = hasher.finalize().to_hex();
        hex[..2 * MAC_BYTES].to_owned()
    }
}

/// Token that identifies a generation to its caller, who can resume it at any node.
///
/// An event id is the token, a dot and the offset of the event: `TARGET~GENERATION~MAC.OFFSET`.
///
/// ```
/// use node::{ResumeKey, ResumeToken};
/// let key = ResumeKey::new("a secret of the fleet");
/// let workspace = "tarn".parse().unwrap();
/// let token = ResumeToken::new(&key, &workspace, "e1".parse().unwrap(), "g1".parse().unwrap());
/// let id = format!("{token}.7");
/// let (read, offset) = ResumeToken::parse(&key, &workspace, &id).unwrap();
/// assert_eq!((read, offset), (token, 7));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumeToken {
    /// Target that holds the generation.
    pub target: TargetName,
    /// The generation.
    pub generation: GenerationId,
    mac: String,
}

impl ResumeToken {
    /// Creates the token of a generation for one workspace.
    pub fn new(
        key: &ResumeKey,
        workspace: &WorkspaceName,
        target: TargetName,
        generation: GenerationId,
    ) -> Self {
        let mac = key.sign(workspace, &target, &generation);
        Self {
            target,
            generation,
            mac,
        }
    }

    /// Parses an event id into token and offset; `None` if it is malformed or its MAC does not
    /// match the key and the workspace.
    pub fn parse(key: &ResumeKey, workspace: &WorkspaceName, id: &str) -> Option<(Self, u64)> {
        let (token, offset) = id.rsplit_once('.')?;
        let mut parts = token.split('~');
        let target: TargetName = parts.next()?.parse().ok()?;
        let generation: GenerationId = parts.next()?.parse().ok()?;
        let mac = parts.next()?;
        let token = Self::new(key, workspace, target, generation);
        let same: bool = token.mac.as_bytes().ct_eq(mac.as_bytes()).into();
        let whole = parts.next().is_none();
        (same && whole).then_some((token, offset.parse().ok()?))
    }
}

impl fmt::Display for ResumeToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}~{}", self.target, self.generation, self.mac)
    }
}
