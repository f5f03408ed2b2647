use base::{LabelSelector, LabelSet, SelectorTerm};
use smol_str::SmolStr;

/// Labels of a target that follow from its actual state, which the declaration does not know.
pub const OVERLAY_KEYS: [&str; 4] = ["adapter", "model", "role", "version"];

/// Which requests may go to which targets.
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
    /// Tells whether a target with the declared labels `labels` may match once its state is known.
    pub fn may_match(&self, labels: &LabelSet) -> bool {
        let mut known = self
            .targets
            .terms()
            .iter()
            .filter(|term| !OVERLAY_KEYS.contains(&term_key(term)));
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
