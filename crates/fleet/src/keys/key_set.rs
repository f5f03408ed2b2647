use std::sync::Arc;

use smol_str::SmolStr;

/// Name and text of one key in the configuration service; sets share the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyText {
    /// Name of the key without the prefix.
    pub name: SmolStr,
    /// Value of the key.
    pub text: Arc<str>,
}

impl KeyText {
    /// Creates a key with its text.
    pub fn new(name: impl AsRef<str>, text: impl Into<Arc<str>>) -> Self {
        Self {
            name: SmolStr::new(name),
            text: text.into(),
        }
    }
}

/// All keys of one declaration: the text of the `head` key, and the other keys sorted by name.
///
/// ```
/// use fleet::{KeySet, KeyText, make_head};
/// let keys = vec![KeyText::new("fleet.ini", "[domain patan]\n")];
/// let set = KeySet::new(make_head(1, &keys), keys);
/// assert!(set.text("fleet.ini").is_some());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeySet {
    head: Arc<str>,
    keys: Vec<KeyText>,
}

impl KeySet {
    /// Creates a set; of several keys with the same name the first one is kept.
    pub fn new(head: impl Into<Arc<str>>, mut keys: Vec<KeyText>) -> Self {
        keys.sort_by(|left, right| left.name.cmp(&right.name));
        keys.dedup_by(|next, kept| next.name == kept.name);
        Self {
            head: head.into(),
            keys,
        }
    }

    /// Returns the text of the `head` key.
    pub fn head(&self) -> &Arc<str> {
        &self.head
    }

    /// Returns the keys other than `head`, sorted by name.
    pub fn keys(&self) -> &[KeyText] {
        &self.keys
    }

    /// Returns the text of the key `name`.
    pub fn text(&self, name: &str) -> Option<&Arc<str>> {
        let at = self
            .keys
            .binary_search_by(|key| key.name.as_str().cmp(name));
        Some(&self.keys[at.ok()?].text)
    }
}
