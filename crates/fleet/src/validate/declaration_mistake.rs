use schema::SettingError;
use smol_str::SmolStr;
use snafu::Snafu;

/// Reason why a key set is rejected or is not complete yet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Snafu)]
pub enum DeclarationMistake {
    /// A key that `head` lists does not exist.
    #[snafu(display("{key}: the key is missing, although head lists it"))]
    KeyMissing {
        /// Name of the key.
        key: SmolStr,
    },
    /// The hash of a key's text differs from the one that `head` lists.
    #[snafu(display("{key}: the text has another hash than head lists"))]
    HashDiffers {
        /// Name of the key.
        key: SmolStr,
    },
    /// The texts of all keys together are too large.
    #[snafu(display("head: the keys have {found} bytes together, allowed {allowed}"))]
    SetTooLarge {
        /// Bytes of all keys.
        found: usize,
        /// Most bytes allowed.
        allowed: usize,
    },
    /// A mistake in `head` or in a section of the declaration.
    #[snafu(display("{mistake}"))]
    Setting {
        /// File, line, key, what was found and what is allowed.
        mistake: SettingError,
    },
}

impl DeclarationMistake {
    /// Returns whether the set may still become valid once its other keys arrive.
    pub fn is_incomplete(&self) -> bool {
        matches!(self, Self::KeyMissing { .. } | Self::HashDiffers { .. })
    }
}

impl From<SettingError> for DeclarationMistake {
    fn from(mistake: SettingError) -> Self {
        Self::Setting { mistake }
    }
}
