use std::fmt::Write;

use base::{ErrorKind, RetryAdvice};
use strum::IntoEnumIterator;

/// Source of the error kinds; their doc comments are the column `meaning` of the table.
const SOURCE: &str = include_str!("../../../base/src/error/error_kind.rs");

const PAGE_HEADER: &str = "\
# Error kinds

Written by `cargo run -p agatemoor --example reference` from the code; do not edit.

Every error is an OpenAI error object with `code`, `type`, `message`, `ran` and `retry_after_ms`.
The column `ran` says whether the request ran, and `retry` when to send it again. These are defaults:
a response can differ from them, and its own `ran` and `retry_after_ms` then apply; the headers
`x-request-ran` and `Retry-After` agree with them. [callers.md](callers.md) says what a caller does
with each value of `ran`.

| code | status | type | ran | retry | meaning |
|---|---|---|---|---|---|
";

/// Renders the page with the table of all error kinds in the order of their declaration.
pub fn render_errors() -> String {
    let mut text = PAGE_HEADER.to_owned();
    for kind in ErrorKind::iter() {
        let answer = kind.response();
        let (status, category, ran) = (answer.status, answer.category, answer.ran);
        let retry = match answer.retry {
            RetryAdvice::Never => "never".to_owned(),
            RetryAdvice::After(span) => format!("after {span}"),
        };
        let meaning = doc_comment_of(kind);
        // Writing to a String can't fail.
        let _ = writeln!(
            text,
            "| `{kind}` | {status} | `{category}` | {ran} | {retry} | {meaning} |"
        );
    }
    text
}

/// Returns the doc comment of a kind in the source of the enum.
fn doc_comment_of(kind: ErrorKind) -> String {
    let name = format!("{kind:?},");
    let mut doc: Vec<&str> = Vec::new();
    for line in SOURCE.lines().map(str::trim) {
        if line == name {
            return doc.join(" ");
        }
        match line.strip_prefix("///") {
            Some(part) => doc.push(part.trim()),
            None => doc.clear(),
        }
    }
    panic!("the source has no kind {name}");
}
