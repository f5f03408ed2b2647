use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{LabelSet, ParseError};

/// One condition of a selector.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SelectorTerm {
    /// `key=value`
    Equal(SmolStr, SmolStr),
    /// `key!=value`; also true if the label is missing, as in Kubernetes.
    NotEqual(SmolStr, SmolStr),
    /// `key in (a,b)`, values sorted.
    In(SmolStr, Vec<SmolStr>),
    /// `key notin (a,b)`; also true if the label is missing.
    NotIn(SmolStr, Vec<SmolStr>),
    /// `key`
    Exists(SmolStr),
    /// `!key`
    Missing(SmolStr),
}

impl SelectorTerm {
    /// Whether `labels` meet this condition.
    pub fn matches(&self, labels: &LabelSet) -> bool {
        match self {
            Self::Equal(key, value) => labels.get(key) == Some(value),
            Self::NotEqual(key, value) => labels.get(key) != Some(value),
            Self::In(key, values) => labels.get(key).is_some_and(|found| contains(values, found)),
            Self::NotIn(key, values) => {
                !labels.get(key).is_some_and(|found| contains(values, found))
            }
            Self::Exists(key) => labels.get(key).is_some(),
            Self::Missing(key) => labels.get(key).is_none(),
        }
    }
}

/// Binary search, since the values of a term are sorted.
fn contains(values: &[SmolStr], found: &str) -> bool {
    values
        .binary_search_by(|value| value.as_str().cmp(found))
        .is_ok()
}

/// A conjunction of label conditions; the empty selector matches everything.
///
/// ```
/// use base::{LabelSelector, LabelSet};
/// let selector: LabelSelector = "model=quill,version in (2,3),!retired".parse().unwrap();
/// let labels: LabelSet = "model=quill,version=3".parse().unwrap();
/// assert!(selector.matches(&labels));
/// assert!(!selector.matches(&labels.with_label("retired", "yes")));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct LabelSelector {
    terms: Vec<SelectorTerm>,
}

impl LabelSelector {
    /// Creates a selector that matches everything.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns this selector with one more condition.
    #[must_use]
    pub fn with_term(mut self, term: SelectorTerm) -> Self {
        self.terms.push(term);
        self
    }

    /// Whether `labels` meet every condition.
    pub fn matches(&self, labels: &LabelSet) -> bool {
        self.terms.iter().all(|term| term.matches(labels))
    }

    /// Returns the conditions in the order in which they were written.
    pub fn terms(&self) -> &[SelectorTerm] {
        &self.terms
    }
}

impl fmt::Display for LabelSelector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, term) in self.terms.iter().enumerate() {
            if at > 0 {
                f.write_str(",")?;
            }
            match term {
                SelectorTerm::Equal(key, value) => write!(f, "{key}={value}")?,
                SelectorTerm::NotEqual(key, value) => write!(f, "{key}!={value}")?,
                SelectorTerm::In(key, values) => write!(f, "{key} in ({})", values.join(","))?,
                SelectorTerm::NotIn(key, values) => {
                    write!(f, "{key} notin ({})", values.join(","))?
                }
                SelectorTerm::Exists(key) => write!(f, "{key}")?,
                SelectorTerm::Missing(key) => write!(f, "!{key}")?,
            }
        }
        Ok(())
    }
}

impl FromStr for LabelSelector {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut selector = Self::new();
        if text.trim().is_empty() {
            return Ok(selector);
        }
        for part in split_terms(text) {
            let term = parse_term(part.trim()).ok_or_else(|| {
                ParseError::new(
                    "selector",
                    text,
                    "terms such as model=quill,tier in (a,b),!retired",
                )
            })?;
            selector.terms.push(term);
        }
        Ok(selector)
    }
}

/// Splits at the commas outside parentheses.
fn split_terms(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let (mut start, mut depth) = (0, 0_i32);
    for (at, c) in text.char_indices() {
        match c {
            '(' => depth += 1,
            ')' => depth -= 1,
            ',' if depth == 0 => {
                parts.push(&text[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }
    parts.push(&text[start..]);
    parts
}

fn parse_term(part: &str) -> Option<SelectorTerm> {
    if let Some(key) = part.strip_prefix('!') {
        return Some(SelectorTerm::Missing(parse_word(key)?));
    }
    if let Some((key, value)) = part.split_once("!=") {
        return Some(SelectorTerm::NotEqual(parse_word(key)?, parse_word(value)?));
    }
    if let Some((key, value)) = part.split_once("==").or_else(|| part.split_once('=')) {
        return Some(SelectorTerm::Equal(parse_word(key)?, parse_word(value)?));
    }
    if let Some((key, values)) = part.split_once(" notin ") {
        return Some(SelectorTerm::NotIn(parse_word(key)?, parse_values(values)?));
    }
    if let Some((key, values)) = part.split_once(" in ") {
        return Some(SelectorTerm::In(parse_word(key)?, parse_values(values)?));
    }
    Some(SelectorTerm::Exists(parse_word(part)?))
}

fn parse_word(text: &str) -> Option<SmolStr> {
    let word = text.trim();
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_./:".contains(c);
    (!word.is_empty() && word.chars().all(allowed)).then(|| SmolStr::new(word))
}

fn parse_values(text: &str) -> Option<Vec<SmolStr>> {
    let inner = text.trim().strip_prefix('(')?.strip_suffix(')')?;
    let mut values: Vec<_> = inner.split(',').map(parse_word).collect::<Option<_>>()?;
    values.sort_unstable();
    values.dedup();
    Some(values)
}

impl TryFrom<SmolStr> for LabelSelector {
    type Error = ParseError;

    fn try_from(text: SmolStr) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<LabelSelector> for SmolStr {
    fn from(selector: LabelSelector) -> Self {
        SmolStr::new(selector.to_string())
    }
}
