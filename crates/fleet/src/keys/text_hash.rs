use std::fmt;
use std::str::FromStr;

use base::ParseError;

/// BLAKE3 hash of a key's text.
///
/// ```
/// let hash = fleet::TextHash::of("[domain patan]\n");
/// assert_eq!(hash.to_string().parse::<fleet::TextHash>().unwrap(), hash);
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TextHash([u8; 32]);

impl TextHash {
    /// Hashes `text`.
    pub fn of(text: &str) -> Self {
        Self(*blake3::hash(text.as_bytes()).as_bytes())
    }

    /// Returns the first eight bytes, which are enough to distinguish texts that no attacker chose.
    pub fn prefix(self) -> u64 {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(bytes)
    }
}

impl fmt::Display for TextHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }
}

impl fmt::Debug for TextHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl FromStr for TextHash {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let hash = blake3::Hash::from_hex(text);
        let fail = |_| ParseError::new("BLAKE3 hash", text, "64 hexadecimal digits");
        hash.map(|hash| Self(*hash.as_bytes())).map_err(fail)
    }
}
