//! The committed documentation pages match the code and each other.

#[path = "../examples/reference/error_page.rs"]
mod error_page;
#[path = "../examples/reference/event_page.rs"]
mod event_page;

use std::fs;
use std::path::Path;

use base::{ErrorKind, EventKind};
use strum::IntoEnumIterator;

/// Guards against an event that was added or changed without updating the page of events.
#[test]
fn events_page_is_current() {
    let committed = include_str!("../../../docs/events.md");
    assert_eq!(committed, event_page::render_events());
}

/// Guards against an error kind that was added or changed without updating the page of errors.
#[test]
fn errors_page_is_current() {
    let committed = include_str!("../../../docs/errors.md");
    assert_eq!(committed, error_page::render_errors());
}

/// Guards against two events with the same number, which would make numbers ambiguous.
#[test]
fn event_numbers_are_unique() {
    let mut numbers: Vec<u16> = EventKind::iter().map(EventKind::number).collect();
    let count = numbers.len();
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len(), count);
}

/// Guards against an error kind without a description in the table.
#[test]
fn every_error_has_a_meaning() {
    for line in error_page::render_errors().lines() {
        assert!(!line.ends_with("|  |"), "{line}");
    }
    assert!(ErrorKind::iter().count() > 0);
}

/// Guards against an operator page that names an event which does not exist.
#[test]
fn operations_page_names_known_events() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    let rows = page
        .lines()
        .filter_map(|line| line.strip_prefix("| event `"));
    let mut count = 0;
    for row in rows {
        let name = row.split('`').next().unwrap_or_default();
        assert!(name.parse::<EventKind>().is_ok(), "{name} is no event");
        count += 1;
    }
    assert!(count > 0, "the page has a table of events");
}

/// Guards against broken links between pages.
#[test]
fn links_between_pages_resolve() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let pages = [
        "README.md",
        "CONTRIBUTING.md",
        "docs/callers.md",
        "docs/errors.md",
        "docs/events.md",
        "docs/glossary.md",
        "docs/OPERATIONS.md",
    ];
    let mut count = 0;
    for name in pages {
        let page = root.join(name);
        let text = fs::read_to_string(&page).unwrap();
        let links = text.split("](").skip(1);
        for link in links.filter_map(|rest| rest.split(')').next()) {
            let target = page.with_file_name(link);
            assert!(target.exists(), "{name} links to {link}");
            count += 1;
        }
    }
    assert!(count > 0, "the pages have links");
}
