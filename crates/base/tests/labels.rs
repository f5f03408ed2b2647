//! Label sets, and label selectors in Kubernetes syntax.

use base::{LabelSelector, LabelSet};
use yare::parameterized;

fn selector(text: &str) -> LabelSelector {
    text.parse().expect("a valid selector")
}

/// Guards against a selector that matches a target which it excludes, or the reverse.
#[parameterized(
    equal = { "model=quill", "model=quill", true },
    equal_twice = { "model==quill", "model=quill", true },
    other_value = { "model=quill", "model=heath", false },
    missing_label = { "model=quill", "tier=a", false },
    not_equal = { "model!=quill", "model=heath", true },
    not_equal_missing = { "model!=quill", "tier=a", true },
    not_equal_same = { "model!=quill", "model=quill", false },
    in_list = { "version in (3, 2)", "version=2", true },
    not_in_list = { "version in (3,2)", "version=4", false },
    in_missing = { "version in (3,2)", "", false },
    notin_list = { "version notin (3,2)", "version=2", false },
    notin_missing = { "version notin (3,2)", "", true },
    exists = { "retired", "retired=no", true },
    exists_missing = { "retired", "", false },
    absent = { "!retired", "", true },
    absent_present = { "!retired", "retired=no", false },
    all_terms = { "model=quill,version in (2,3),!retired", "model=quill,version=3", true },
    one_term_fails = { "model=quill,!retired", "model=quill,retired=yes", false },
    empty = { "", "model=quill", true },
)]
fn a_selector_matches(text: &str, labels: &str, expected: bool) {
    let labels: LabelSet = labels.parse().expect("valid labels");
    assert_eq!(selector(text).matches(&labels), expected);
}

/// Guards against accepting a malformed selector with another meaning.
#[parameterized(
    lone_comma = { "," },
    open_list = { "version in (2,3" },
    empty_list = { "version in ()" },
    no_key = { "=quill" },
    no_value = { "model=" },
    space_in_value = { "model=two words" },
    lone_negation = { "!" },
)]
fn a_malformed_selector_is_refused(text: &str) {
    assert!(text.parse::<LabelSelector>().is_err());
}

/// Guards against a selector whose meaning changes when it is written and parsed again.
#[parameterized(
    mixed = { "model=quill,version in (2,3),tier notin (a,b),zone!=z,hot,!retired" },
    empty = { "" },
)]
fn a_written_selector_is_read_back(text: &str) {
    let first = selector(text);
    assert_eq!(selector(&first.to_string()), first);
}

/// Guards against accepting a malformed label set, such as one with two values for a key.
#[parameterized(
    twice = { "a=1,a=2" },
    no_equals = { "a" },
    empty_key = { "=1" },
)]
fn a_malformed_label_set_is_refused(text: &str) {
    assert!(text.parse::<LabelSet>().is_err());
}
