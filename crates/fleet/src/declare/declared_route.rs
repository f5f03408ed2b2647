use base::{LabelSelector, LabelSet, SelectorTerm};
use smol_str::SmolStr;

/// Keys of the target labels that follow from the actual state of a target and so are not known
/// from the declaration.
pub const STATE_LABEL_KEYS: [&str; 4] = ["adapter", "model", "role", "version"];

/// One declared route: which requests may be sent to which targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredRoute {
    /// Name of the route.
    pub name: SmolStr,
    /// Selector over the labels of the request.
    pub requests: LabelSelector,
    /// Selector over the labels of the target.
    pub targets: LabelSelector,
}

impl DeclaredRoute {
    /// Returns whether a target with the declared labels `labels` can match once its state is
    /// known; terms over [`STATE_LABEL_KEYS`] are not checked.
    pub fn may_match(&self, labels: &LabelSet) -> bool {
        let mut known = self
            .targets
            .terms()
            .iter()
            .filter(|term| !STATE_LABEL_KEYS.contains(&term_key(term)));
        known.all(|term| term.matches(labels))
    }
}

fn term_key(term: &SelectorTerm) -> &str {
    use SelectorTerm::{Equal, Exists, In, Missing, NotEqual, NotIn};
    match term {
        Equal(key, _) | NotEqual(key, _) | Exists(key) | Missing(key) => key,
        In(key, _) | NotIn(key, _) => key,
    }
}
