use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a fact when two sets are compared: 64 bits of the BLAKE3 hash of its encoding.
///
/// ```
/// use facts::FactId;
/// assert_eq!(FactId::of(&"a"), FactId::of(&"a"));
/// assert_ne!(FactId::of(&"a"), FactId::of(&"b"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FactId(pub u64);

impl FactId {
    /// Identifier of a fact.
    ///
    /// # Panics
    /// If the fact cannot be encoded, which is a bug in its `Serialize` implementation.
    pub fn of(fact: &impl Serialize) -> Self {
        let bytes = rmp_serde::to_vec(fact).expect("facts can be encoded");
        let hash = blake3::hash(&bytes);
        let mut id = [0; 8];
        id.copy_from_slice(&hash.as_bytes()[..8]);
        Self(u64::from_le_bytes(id))
    }
}

impl fmt::Debug for FactId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
