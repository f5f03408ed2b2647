use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ParseError;

/// Labels of a target, model or workspace, sorted by key.
///
/// Parsing fails on a pair without `=`, an empty key and a key that occurs twice.
///
/// ```
/// let set: base::LabelSet = "model=quill, version=2".parse().unwrap();
/// assert_eq!(set.get("version"), Some("2"));
/// assert_eq!(set.to_string(), "model=quill,version=2");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct LabelSet {
    pairs: Vec<(SmolStr, SmolStr)>,
}

impl LabelSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns this set with `key` set to `value`.
    #[must_use]
    pub fn with_label(mut self, key: &str, value: &str) -> Self {
        match self.find(key) {
            Ok(at) => self.pairs[at].1 = SmolStr::new(value),
            Err(at) => self
                .pairs
                .insert(at, (SmolStr::new(key), SmolStr::new(value))),
        }
        self
    }

    /// Returns the value of `key`.
    pub fn get(&self, key: &str) -> Option<&str> {
        let at = self.find(key).ok()?;
        Some(&self.pairs[at].1)
    }

    /// Returns the pairs sorted by key.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pairs
            .iter()
            .map(|(key, value)| (key.as_str(), value.as_str()))
    }

    /// Index of `key`, or the index at which to insert it.
    fn find(&self, key: &str) -> Result<usize, usize> {
        self.pairs.binary_search_by(|pair| pair.0.as_str().cmp(key))
    }
}

impl fmt::Display for LabelSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, (key, value)) in self.pairs.iter().enumerate() {
            let comma = if at == 0 { "" } else { "," };
            write!(f, "{comma}{key}={value}")?;
        }
        Ok(())
    }
}

impl FromStr for LabelSet {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fail = || {
            ParseError::new(
                "label set",
                text,
                "distinct pairs such as model=quill,tier=a",
            )
        };
        let mut set = Self::new();
        if text.trim().is_empty() {
            return Ok(set);
        }
        for pair in text.split(',') {
            let (key, value) = pair.split_once('=').ok_or_else(fail)?;
            let (key, value) = (key.trim(), value.trim());
            if key.is_empty() || set.get(key).is_some() {
                return Err(fail());
            }
            set = set.with_label(key, value);
        }
        Ok(set)
    }
}

impl TryFrom<SmolStr> for LabelSet {
    type Error = ParseError;

    fn try_from(text: SmolStr) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<LabelSet> for SmolStr {
    fn from(set: LabelSet) -> Self {
        SmolStr::new(set.to_string())
    }
}
