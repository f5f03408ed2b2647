use schema::SettingMistake;
use smol_str::SmolStr;
use snafu::Snafu;

/// Why a key set is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Snafu)]
pub enum DeclarationMistake {
    /// A key that `head` lists is not there.
    #[snafu(display("{key}: the key is missing, although head lists it"))]
    KeyMissing {
        /// Name of the key.
        key: SmolStr,
    },
    /// The text of a key is not the one that `head` lists.
    #[snafu(display("{key}: the text has another hash than head lists"))]
    HashDiffers {
        /// Name of the key.
        key: SmolStr,
    },
    /// The keys together are too large.
    #[snafu(display("head: the keys have {found} bytes together, allowed {allowed}"))]
    SetTooLarge {
        /// Bytes of all keys.
        found: usize,
        /// Most bytes.
        allowed: usize,
    },
    /// A mistake within one key.
    #[snafu(display("{mistake}"))]
    Setting {
        /// File, line, key, what was found and what is allowed.
        mistake: SettingMistake,
    },
}

impl DeclarationMistake {
    /// Tells whether the set may become valid by itself, once its other keys arrive.
    pub fn is_incomplete(&self) -> bool {
        matches!(self, Self::KeyMissing { .. } | Self::HashDiffers { .. })
    }
}

impl From<SettingMistake> for DeclarationMistake {
    fn from(mistake: SettingMistake) -> Self {
        Self::Setting { mistake }
    }
}
