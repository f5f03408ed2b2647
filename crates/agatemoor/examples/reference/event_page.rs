use std::fmt::Write;

use base::EventKind;
use strum::IntoEnumIterator;

const PAGE_HEADER: &str = "\
# Event catalogue

Written by `cargo run -p agatemoor --example reference` from the code; do not edit.

Every event has a number that never changes its meaning. `/ops/events` of a node returns its latest
events, `agatemoor timeline` merges those of several nodes, and the log has each event at the level
given here. [OPERATIONS.md](OPERATIONS.md) says what to do about those that ask for action.

| number | name | scope | level | meaning |
|---|---|---|---|---|
";

/// Renders the page with the catalogue of all event kinds, sorted by number.
pub fn render_events() -> String {
    let mut kinds: Vec<EventKind> = EventKind::iter().collect();
    kinds.sort_by_key(|kind| kind.number());
    let mut text = PAGE_HEADER.to_owned();
    for kind in kinds {
        let (number, scope, meaning) = (kind.number(), kind.scope(), kind.meaning());
        let level = node::event_level(kind).as_str().to_lowercase();
        // Writing to a String can't fail.
        let _ = writeln!(
            text,
            "| {number} | `{kind}` | {scope} | {level} | {meaning} |"
        );
    }
    text
}
